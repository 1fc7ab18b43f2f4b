//! Processor time and memory of a process, as the kernel counts them.

use std::collections::BTreeMap;
use std::fs;

use crate::prelude::*;

/// Fields of `/proc/<pid>/stat` behind the name, counted from the state.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;
/// Second field of `/proc/<pid>/statm`.
const RESIDENT_PAGES_FIELD: usize = 1;

/// Processor time of a process since its start.
#[derive(Clone, Debug, Default)]
pub struct ProcessTime {
    /// User and system time of all threads, ended ones included.
    total: Duration,
    /// The same of the threads that live, by their names.
    by_thread: BTreeMap<String, Duration>,
}

impl ProcessTime {
    /// Reads the kernel's count.
    ///
    /// # Errors
    ///
    /// Fails when there is no such process.
    pub fn read(process_id: u32) -> Result<Self> {
        let own = format!("/proc/{process_id}");
        let mut time = Self {
            total: read_stat(&format!("{own}/stat"))?.busy,
            by_thread: BTreeMap::new(),
        };
        for thread in fs::read_dir(format!("{own}/task"))? {
            let path = thread?.path().join("stat");
            // A thread may end between the listing and the reading.
            let Ok(stat) = read_stat(&path.to_string_lossy()) else {
                continue;
            };
            *time.by_thread.entry(stat.name).or_default() += stat.busy;
        }
        Ok(time)
    }

    /// What was spent since an earlier reading.
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

    /// All threads together.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.total
    }

    /// Shares of one core over a span, by thread name and in `total`.
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
    // The name stands in brackets and may itself contain some.
    let Some((head, fields)) = text.rsplit_once(')') else {
        bail!("{path} has no name in brackets");
    };
    let name = head.split_once('(').map_or("", |(_, name)| name);
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> Result<u64> {
        let field = fields.get(index).ok_or_else(|| eyre!("{path} is short"))?;
        Ok(field.parse()?)
    };
    let busy_ticks = ticks(USER_TICKS_FIELD)? + ticks(SYSTEM_TICKS_FIELD)?;
    let per_s = rustix::param::clock_ticks_per_second() as f64;
    Ok(Stat {
        name: name.to_owned(),
        busy: Duration::from_secs_f64(busy_ticks as f64 / per_s),
    })
}

/// Memory of a process that is in use, in bytes.
///
/// # Errors
///
/// Fails when there is no such process.
pub fn resident_bytes(process_id: u32) -> Result<u64> {
    let text = fs::read_to_string(format!("/proc/{process_id}/statm"))?;
    let pages = text.split_whitespace().nth(RESIDENT_PAGES_FIELD);
    let pages: u64 = pages.ok_or_else(|| eyre!("statm is short"))?.parse()?;
    Ok(pages * rustix::param::page_size() as u64)
}

/// The machine's load average over the last minute; figures taken under other
/// work say more about that work.
#[must_use]
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|text| text.parse().ok()).unwrap_or(f64::NAN)
}
