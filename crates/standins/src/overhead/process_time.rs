//! Processor time and memory of a process, as the kernel reports them.

use std::collections::BTreeMap;
use std::fs;

use crate::prelude::*;

/// Indices into the fields of `/proc/<pid>/stat` after the name, where the state is 0.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;
/// Index of the resident pages in `/proc/<pid>/statm`.
const RESIDENT_PAGES_FIELD: usize = 1;

/// Processor time of a process since its start.
#[derive(Clone, Debug, Default)]
pub struct ProcessTime {
    /// User and system time of all threads, including those that have ended.
    total: Duration,
    /// User and system time of the running threads, by thread name.
    by_thread: BTreeMap<String, Duration>,
}

impl ProcessTime {
    /// Reads the processor time of a process.
    ///
    /// # Errors
    ///
    /// Fails when the process does not exist.
    pub fn read(process_id: u32) -> Result<Self> {
        let own = format!("/proc/{process_id}");
        let mut time = Self {
            total: read_stat(&format!("{own}/stat"))?.busy,
            by_thread: BTreeMap::new(),
        };
        for thread in fs::read_dir(format!("{own}/task"))? {
            let path = thread?.path().join("stat");
            // A thread may end after it was listed and before it is read.
            let Ok(stat) = read_stat(&path.to_string_lossy()) else {
                continue;
            };
            *time.by_thread.entry(stat.name).or_default() += stat.busy;
        }
        Ok(time)
    }

    /// Returns the processor time spent since an earlier reading.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        let mut by_thread = BTreeMap::new();
        for (name, after) in &self.by_thread {
            let before = before.by_thread.get(name).copied().unwrap_or_default();
            by_thread.insert(name.clone(), after.saturating_sub(before));
        }
        Self {
            total: self.total.saturating_sub(before.total),
            by_thread,
        }
    }

    /// Returns the processor time of all threads together.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.total
    }

    /// Returns the shares of one core over a time span, by thread name and as `total`.
    #[must_use]
    pub fn core_shares(&self, span: Duration) -> BTreeMap<String, f64> {
        let mut shares = BTreeMap::new();
        for (name, busy) in &self.by_thread {
            shares.insert(name.clone(), busy.as_secs_f64() / span.as_secs_f64());
        }
        shares.insert(
            "total".to_owned(),
            self.total.as_secs_f64() / span.as_secs_f64(),
        );
        shares
    }
}

struct Stat {
    name: String,
    busy: Duration,
}

fn read_stat(path: &str) -> Result<Stat> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))?;
    // The name is in parentheses and may itself contain parentheses.
    let Some((head, fields)) = text.rsplit_once(')') else {
        bail!("{path} has no name in parentheses");
    };
    let name = head.split_once('(').map_or("", |(_, name)| name);
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> Result<u64> {
        let field = fields
            .get(index)
            .ok_or_else(|| eyre!("{path} has too few fields"))?;
        Ok(field.parse()?)
    };
    let busy_ticks = ticks(USER_TICKS_FIELD)? + ticks(SYSTEM_TICKS_FIELD)?;
    let per_s = rustix::param::clock_ticks_per_second() as f64;
    Ok(Stat {
        name: name.to_owned(),
        busy: Duration::from_secs_f64(busy_ticks as f64 / per_s),
    })
}

/// Returns the resident memory of a process, in bytes.
///
/// # Errors
///
/// Fails when the process does not exist.
pub fn resident_bytes(process_id: u32) -> Result<u64> {
    let text = fs::read_to_string(format!("/proc/{process_id}/statm"))?;
    let pages = text.split_whitespace().nth(RESIDENT_PAGES_FIELD);
    let pages: u64 = pages
        .ok_or_else(|| eyre!("statm has too few fields"))?
        .parse()?;
    Ok(pages * rustix::param::page_size() as u64)
}

/// Returns the machine's load average over the last minute, or NaN if it cannot be
/// read. Reports include it because other load on the machine distorts the results.
#[must_use]
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|text| text.parse().ok()).unwrap_or(f64::NAN)
}
