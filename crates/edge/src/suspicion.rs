//! Requests that are suspected of crashing targets, and the notices by which nodes share
//! them.

use hornbeamhitch_core::suspects::{SuspectEntry, Suspects, SuspicionLevel};
use hornbeamhitch_wire::link::SuspectNotice;
use parking_lot::Mutex;
use tokio::sync::broadcast;
use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Notices queued for a slow link. A link that lags further has already sent most of
/// them, and its peer receives the rest from other nodes.
const NOTICE_CAPACITY: usize = 256;

/// The suspected requests, shared by this node's entry, gate and links.
///
/// A request may crash each target that runs it while its caller retries it at any node.
/// All nodes that learn of the crashes reject it. Notices are sent over all open links,
/// and each node forwards them. Links exist wherever calls are sent, so each node that
/// could send the request to a target receives the notice.
#[derive(Debug)]
pub struct Suspicion {
    suspects: Mutex<Suspects>,
    notices: broadcast::Sender<SuspectNotice>,
    clock: ProcessClock,
}

impl Suspicion {
    /// Creates an empty set of suspected requests.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        Self {
            suspects: Mutex::new(Suspects::new()),
            notices: broadcast::channel(NOTICE_CAPACITY).0,
            clock,
        }
    }

    /// Whether the request is rejected by all nodes.
    #[must_use]
    pub fn is_convicted(&self, fingerprint: u64) -> bool {
        self.suspects.lock().level(fingerprint) == SuspicionLevel::Convicted
    }

    /// Records that the target crashed with these requests in flight.
    pub fn observe_crash(&self, fingerprints: &[u64]) {
        let is_only_request = fingerprints.len() == 1;
        let now = self.clock.now();
        let entries = self
            .suspects
            .lock()
            .observe_crash(fingerprints, is_only_request, now);
        for entry in &entries {
            let LoggedEntry {
                fingerprint,
                standing,
                crashes,
            } = LoggedEntry::from(entry);
            log::warn!(fingerprint, standing, crashes; "a target crashed with a request in flight");
            self.broadcast(entry);
        }
    }

    /// Logs that a request starts in the target if it was in flight in a crash.
    pub fn log_start(&self, fingerprint: u64, request: &str) {
        let suspects = self.suspects.lock();
        if suspects.level(fingerprint) == SuspicionLevel::Clear {
            return;
        }
        let known = suspects.entries(self.clock.now());
        let Some(entry) = known
            .into_iter()
            .find(|entry| entry.fingerprint == fingerprint)
        else {
            return;
        };
        let LoggedEntry {
            fingerprint,
            standing,
            crashes,
        } = LoggedEntry::from(&entry);
        log::info!(request, fingerprint, standing, crashes; "starting a request that was in flight in a crash");
    }

    /// Records that a request succeeded. Other requests may share its fingerprint, so any
    /// success clears it, not only that of a request running on its own.
    pub fn note_success(&self, fingerprint: u64) {
        let mut suspects = self.suspects.lock();
        if suspects.is_empty() {
            return;
        }
        let cleared = suspects.clear(fingerprint, self.clock.now());
        drop(suspects);
        if let Some(entry) = cleared {
            let fingerprint = LoggedEntry::from(&entry).fingerprint;
            log::info!(fingerprint; "a request that was in flight in a crash has succeeded");
            self.broadcast(&entry);
        }
    }

    /// Merges a notice from another node, and forwards it if it is new.
    pub fn merge_notice(&self, notice: &SuspectNotice) {
        let Some(entry) = from_notice(notice) else {
            log::warn!("dropped a notice with an unknown standing");
            return;
        };
        if self.suspects.lock().merge(&entry, self.clock.now()) {
            let LoggedEntry {
                fingerprint,
                standing,
                crashes,
            } = LoggedEntry::from(&entry);
            log::debug!(fingerprint, standing, crashes; "another node has reported a request");
            self.broadcast(&entry);
        }
    }

    /// Returns all current notices, for a link that has just opened, and a receiver of
    /// later ones.
    pub fn subscribe(&self) -> (Vec<SuspectNotice>, broadcast::Receiver<SuspectNotice>) {
        let notices = self.notices.subscribe();
        let suspects = self.suspects.lock();
        let entries = suspects.entries(self.clock.now());
        (entries.map(|entry| to_notice(&entry)).collect(), notices)
    }

    fn broadcast(&self, entry: &SuspectEntry) {
        // Sending fails only if there are no links.
        let _ = self.notices.send(to_notice(entry));
    }
}

/// The fields of an entry that log lines contain.
struct LoggedEntry {
    fingerprint: String,
    standing: &'static str,
    crashes: u8,
}

impl From<&SuspectEntry> for LoggedEntry {
    fn from(entry: &SuspectEntry) -> Self {
        Self {
            fingerprint: format!("{:016x}", entry.fingerprint),
            standing: entry.level.into(),
            crashes: entry.crashes,
        }
    }
}

/// Hash of the properties that a request shares with its retries: method, path, body and
/// the service of the caller.
#[must_use]
pub fn fingerprint(method: &str, path: &str, body: &[u8], caller: &ServiceName) -> u64 {
    let mut hash = Xxh3::new();
    for part in [
        method.as_bytes(),
        path.as_bytes(),
        caller.as_str().as_bytes(),
    ] {
        hash.update(part);
        hash.update(b"\0");
    }
    hash.update(body);
    hash.digest()
}

fn to_notice(entry: &SuspectEntry) -> SuspectNotice {
    let standing: &'static str = entry.level.into();
    SuspectNotice {
        fingerprint: entry.fingerprint,
        version: entry.version,
        standing: standing.to_owned(),
        crashes: entry.crashes,
        age_ms: entry.age_ms,
    }
}

fn from_notice(notice: &SuspectNotice) -> Option<SuspectEntry> {
    let all = [
        SuspicionLevel::Clear,
        SuspicionLevel::Suspect,
        SuspicionLevel::Convicted,
    ];
    let level = all.into_iter().find(|level| {
        let name: &'static str = level.into();
        name == notice.standing
    })?;
    Some(SuspectEntry {
        fingerprint: notice.fingerprint,
        version: notice.version,
        level,
        crashes: notice.crashes,
        age_ms: notice.age_ms,
    })
}
