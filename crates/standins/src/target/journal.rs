//! The target's own record of its runs, which tests compare with what callers
//! were told.

use std::fs::File;
use std::io::Write;
use std::path::Path;

use crate::prelude::*;

/// Maximum number of runs that a journal records.
pub const MAX_RECORDS: usize = 1_000_000;

/// Identifying headers, method and path of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestMarks {
    /// `hitch-key`, set by the gate of a ticketed call.
    pub key: Option<String>,
    /// `hitch-ticket`.
    pub ticket: Option<String>,
    /// The caller's `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// The caller's `standin-nonce`.
    pub nonce: Option<String>,
    /// The caller's `standin-try`.
    pub try_number: Option<u64>,
    /// `hitch-attempt`.
    pub attempt: Option<u64>,
    /// `hitch-depth`.
    pub depth: Option<u64>,
    /// HTTP method.
    pub method: String,
    /// Path and query as the target receives them.
    pub path: String,
}

/// Record of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Number of the run in the journal.
    pub run: u64,
    /// Name of the target.
    pub target: String,
    /// Identifying headers, method and path of the request.
    #[serde(flatten)]
    pub marks: RequestMarks,
    /// Wall clock at the start.
    pub started_at_ms: Millis,
    /// Wall clock at the end.
    pub ended_at_ms: Option<Millis>,
    /// How the run ended.
    pub end: RunEnd,
    /// Status that the target chose for the answer, even if the answer was cut.
    pub status: Option<u16>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It is still in progress.
    Running,
    /// The work was done; the answer may still have been lost.
    Finished,
    /// The target failed fast and answered 500 immediately.
    FailedFast,
    /// The connection was closed during the run.
    Cancelled,
    /// The target crashed during the run.
    Crashed,
    /// The deadline passed during the run.
    DeadlinePassed,
}

/// Records runs in memory and, if a file is configured, as JSON lines there.
pub(super) struct Journal {
    target: String,
    state: Mutex<State>,
}

struct State {
    records: Vec<RunRecord>,
    forgotten: u64,
    crashing: bool,
    file: Option<File>,
}

impl Journal {
    pub(super) fn new(target: &str, file: Option<&Path>) -> Result<Self> {
        let file = match file {
            Some(path) => Some(
                File::create(path).wrap_err_with(|| format!("cannot create {}", path.display()))?,
            ),
            None => None,
        };
        let state = State {
            records: Vec::new(),
            forgotten: 0,
            crashing: false,
            file,
        };
        Ok(Self {
            target: target.to_owned(),
            state: Mutex::new(state),
        })
    }

    /// Records the start of a run.
    pub(super) fn start(self: &Arc<Self>, marks: RequestMarks) -> Run {
        let mut state = self.state.lock();
        let index = state.records.len();
        let record = RunRecord {
            run: u64::try_from(index).unwrap_or(u64::MAX),
            target: self.target.clone(),
            marks,
            started_at_ms: wall_clock(),
            ended_at_ms: None,
            end: RunEnd::Running,
            status: None,
        };
        state.log(&record);
        if index < MAX_RECORDS {
            state.records.push(record);
        } else {
            state.forgotten += 1;
        }
        Run {
            journal: Arc::clone(self),
            index,
            ended: false,
        }
    }

    fn end(&self, index: usize, end: RunEnd, status: Option<u16>) {
        let mut state = self.state.lock();
        let Some(record) = state.records.get_mut(index) else {
            return;
        };
        record.ended_at_ms = Some(wall_clock());
        record.end = end;
        record.status = status;
        let record = record.clone();
        state.log(&record);
    }

    /// While set, runs that are dropped count as crashed instead of cancelled.
    pub(super) fn set_crashing(&self, crashing: bool) {
        self.state.lock().crashing = crashing;
    }

    pub(super) fn all(&self) -> Vec<RunRecord> {
        self.state.lock().records.clone()
    }

    /// Returns the runs with this `hitch-key`, idempotency key or nonce.
    pub(super) fn runs_of_key(&self, key: &str) -> Vec<RunRecord> {
        let mut found = Vec::new();
        for record in &self.state.lock().records {
            let marks = &record.marks;
            let keys = [&marks.key, &marks.idempotency_key, &marks.nonce];
            if !keys.iter().any(|known| known.as_deref() == Some(key)) {
                continue;
            }
            found.push(record.clone());
        }
        found
    }

    pub(super) fn forgotten(&self) -> u64 {
        self.state.lock().forgotten
    }
}

impl State {
    fn log(&mut self, record: &RunRecord) {
        let Some(file) = &mut self.file else {
            return;
        };
        let mut line = serde_json::to_string(record).expect("a record is plain data");
        line.push('\n');
        if let Err(error) = file.write_all(line.as_bytes()) {
            log::error!("cannot write the journal: {error}");
            self.file = None;
        }
    }
}

/// A run in progress. Dropping it before [`Self::end`] records it as cancelled,
/// or as crashed during a crash.
pub(super) struct Run {
    journal: Arc<Journal>,
    index: usize,
    ended: bool,
}

impl Run {
    pub(super) fn number(&self) -> usize {
        self.index
    }

    pub(super) fn end(&mut self, end: RunEnd, status: Option<StatusCode>) {
        if self.ended {
            return;
        }
        self.ended = true;
        let status = status.map(|status| status.as_u16());
        self.journal.end(self.index, end, status);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let end = match self.journal.state.lock().crashing {
            true => RunEnd::Crashed,
            false => RunEnd::Cancelled,
        };
        self.journal.end(self.index, end, None);
    }
}
