//! Suppresses lines of call sites that log too often.

use std::array;
use std::sync::atomic::{AtomicU64, Ordering};

use hornbeamhitch_types::prelude::*;
use log::Record;
use xxhash_rust::xxh3::Xxh3;

const WINDOW_MS: u64 = 10_000;
/// Far more than the number of call sites in the daemon and its libraries.
const SLOTS: usize = 1_024;
const MAX_PROBES: usize = 16;

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permit {
    /// Write the line, with the number of lines suppressed before.
    Write {
        /// Number of lines suppressed in the last window in which the call site
        /// logged.
        suppressed: u32,
    },
    /// Suppress the line.
    Suppress,
}

/// Counts lines by target, level and call site in windows of ten seconds.
///
/// During an outage every call fails in the same way and logs it. Without a
/// limit, the log store is flooded when it is needed most, and formatting takes
/// the CPU time that calls need. Each call site may write its first lines of a
/// window, so a frequent line never displaces a rare one of another call site.
#[derive(Debug)]
pub(super) struct Repeats {
    max_lines: u32,
    slots: Box<[Slot; SLOTS]>,
}

/// The counter of one call site. It is lock-free because traffic threads use it
/// concurrently.
#[derive(Debug, Default)]
struct Slot {
    /// Hash of the call site; 0 while the slot is free.
    call_site: AtomicU64,
    /// The window in the upper 32 bits, the number of lines in it in the lower
    /// 32 bits.
    count: AtomicU64,
}

impl Repeats {
    pub(super) fn new(max_lines: u32) -> Self {
        Self {
            max_lines,
            slots: Box::new(array::from_fn(|_| Slot::default())),
        }
    }

    pub(super) fn check(&self, record: &Record<'_>, now: Millis) -> Permit {
        let window = now.0 / WINDOW_MS;
        self.slot(call_site_of(record))
            .check(window as u32, self.max_lines)
    }

    /// Returns the slot of a call site. After `MAX_PROBES` collisions the call
    /// site shares a slot, which may suppress it too early but never allows
    /// more lines.
    fn slot(&self, call_site: u64) -> &Slot {
        let mut index = call_site as usize % SLOTS;
        for _ in 0..MAX_PROBES {
            let slot = &self.slots[index];
            if slot.claim(call_site) {
                return slot;
            }
            index = (index + 1) % SLOTS;
        }
        &self.slots[index]
    }
}

impl Slot {
    /// Claims the slot if it is free. Returns whether it belongs to the call
    /// site.
    fn claim(&self, call_site: u64) -> bool {
        let claimed =
            self.call_site
                .compare_exchange(0, call_site, Ordering::Relaxed, Ordering::Relaxed);
        match claimed {
            Ok(_) => true,
            Err(owner) => owner == call_site,
        }
    }

    fn check(&self, window: u32, max_lines: u32) -> Permit {
        let mut before = self.count.load(Ordering::Relaxed);
        loop {
            let after = next_count(before, window);
            match self.count.compare_exchange_weak(
                before,
                after,
                Ordering::Relaxed,
                Ordering::Relaxed,
            ) {
                Ok(_) => return permit(before, after, max_lines),
                Err(other) => before = other,
            }
        }
    }
}

fn next_count(before: u64, window: u32) -> u64 {
    let (last_window, lines) = unpack(before);
    if last_window == window {
        return pack(window, lines.saturating_add(1));
    }
    pack(window, 1)
}

fn permit(before: u64, after: u64, max_lines: u32) -> Permit {
    let (last_window, last_lines) = unpack(before);
    let (window, lines) = unpack(after);
    if lines > max_lines {
        return Permit::Suppress;
    }
    let mut suppressed = 0;
    if window != last_window {
        suppressed = last_lines.saturating_sub(max_lines);
    }
    Permit::Write { suppressed }
}

fn pack(window: u32, lines: u32) -> u64 {
    (u64::from(window) << u32::BITS) | u64::from(lines)
}

fn unpack(count: u64) -> (u32, u32) {
    ((count >> u32::BITS) as u32, count as u32)
}

/// Never 0, which marks a free slot.
fn call_site_of(record: &Record<'_>) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(record.target().as_bytes());
    hash.update(&[record.level() as u8]);
    hash.update(record.file().unwrap_or_default().as_bytes());
    hash.update(&record.line().unwrap_or_default().to_le_bytes());
    hash.digest().max(1)
}
