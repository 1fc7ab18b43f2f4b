//! Requests that crash targets, and the notices by which nodes share what they know of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hornbeamhitch_dispatch::faults::crashes::{
    AllowedTargets, CrashHistory, CrashLevel, CrashedRun, TrialDenied, target_hash,
};
use hornbeamhitch_types::crash::{CrashId, CrashNotice};
use parking_lot::Mutex;
use tokio::sync::broadcast;
use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Notices queued for a slow link. A link that lags further is sent everything anew.
const NOTICE_CAPACITY: usize = 256;
/// Time after which the caller of a request that runs only as a trial may retry.
const TRIAL_RETRY_AFTER_MS: Millis = Millis::from_secs(1);

/// The requests that crash targets, shared by this node's entry, gate and links.
///
/// A request may crash each target that runs it while its caller retries it at any node.
/// Notices are sent over all open links, and each node forwards what is new to it. Links
/// exist wherever calls are sent, so each node that could send the request to a target
/// receives them.
#[derive(Debug)]
pub struct Suspicion {
    history: Mutex<CrashHistory>,
    notices: broadcast::Sender<CrashNotice>,
    clock: ProcessClock,
    /// Number of the next crash. It starts at random, so that crashes that two processes
    /// observe at one target differ.
    next_number: AtomicU64,
}

impl Suspicion {
    /// Creates a history without any crashes.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        Self {
            history: Mutex::new(CrashHistory::default()),
            notices: broadcast::channel(NOTICE_CAPACITY).0,
            clock,
            next_number: AtomicU64::new(rand::random()),
        }
    }

    /// Returns how a request may run.
    #[must_use]
    pub fn level(&self, fingerprint: u64) -> CrashLevel {
        let history = self.history.lock();
        if history.is_empty() {
            return CrashLevel::Clear;
        }
        history.level(fingerprint, self.clock.now())
    }

    /// Returns on which of the available targets of its service a request may run.
    #[must_use]
    pub fn allowed_targets(&self, fingerprint: u64, available: &[Arc<Member>]) -> AllowedTargets {
        let history = self.history.lock();
        if history.is_empty() {
            return AllowedTargets::Any;
        }
        history.allowed_targets(fingerprint, available, self.clock.now())
    }

    /// Returns after which time the caller of a restricted request may retry.
    #[must_use]
    pub fn retry_after_ms(&self, fingerprint: u64) -> Millis {
        let history = self.history.lock();
        let refused_for_ms = history.refused_for_ms(fingerprint, self.clock.now());
        refused_for_ms.max(TRIAL_RETRY_AFTER_MS)
    }

    /// Returns the number of requests at a level.
    #[must_use]
    pub fn requests_at(&self, level: CrashLevel) -> usize {
        self.history.lock().requests_at(level, self.clock.now())
    }

    /// Starts a trial of a request on this node's target. The trial ends when the returned
    /// guard is dropped.
    ///
    /// # Errors
    ///
    /// Another trial is running, or the last one ended without a result a short time ago.
    pub fn begin_trial(self: &Arc<Self>, fingerprint: u64) -> Result<TrialGuard, TrialDenied> {
        let mut history = self.history.lock();
        history.begin_trial(fingerprint, self.clock.now())?;
        Ok(TrialGuard {
            suspicion: Arc::clone(self),
            fingerprint,
        })
    }

    /// Records that the target crashed with these requests in flight.
    pub fn observe_crash(&self, target: &TargetId, runs: &[CrashedRun]) {
        let id = CrashId {
            target: target_hash(target),
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
        };
        let now = self.clock.now();
        let notices = self.history.lock().observe(runs, id, now);
        let target_id = target.as_str();
        for notice in notices {
            let LoggedRequest {
                fingerprint,
                standing,
                crashes,
            } = self.describe(notice.fingerprint);
            log::warn!(
                target_id, fingerprint, standing, crashes;
                "a target crashed with a request in flight"
            );
            self.broadcast(notice);
        }
    }

    /// Records that a request succeeded. Other requests may share its fingerprint, so any
    /// success clears it, not only that of a trial.
    pub fn note_success(&self, fingerprint: u64) {
        let mut history = self.history.lock();
        let cleared = history.clear(fingerprint, self.clock.now());
        drop(history);
        if let Some(notice) = cleared {
            let LoggedRequest { fingerprint, .. } = self.describe(fingerprint);
            log::info!(fingerprint; "a request that was in flight in a crash has succeeded");
            self.broadcast(notice);
        }
    }

    /// Merges a notice from another node, and forwards what is new.
    pub fn merge_notice(&self, notice: &CrashNotice) {
        let merged = self.history.lock().merge(notice, self.clock.now());
        if let Some(notice) = merged {
            let LoggedRequest {
                fingerprint,
                standing,
                crashes,
            } = self.describe(notice.fingerprint);
            log::debug!(fingerprint, standing, crashes; "another node has reported a request");
            self.broadcast(notice);
        }
    }

    /// Logs that a request starts in the target if it was in flight in a crash.
    pub fn log_start(&self, fingerprint: u64, request: &str) {
        if self.level(fingerprint) == CrashLevel::Clear {
            return;
        }
        let LoggedRequest {
            fingerprint,
            standing,
            crashes,
        } = self.describe(fingerprint);
        log::info!(
            request, fingerprint, standing, crashes;
            "starting a request that was in flight in a crash"
        );
    }

    /// Returns all current notices, for a link that has just opened, and a receiver of
    /// later ones.
    pub fn subscribe(&self) -> (Vec<CrashNotice>, broadcast::Receiver<CrashNotice>) {
        let notices = self.notices.subscribe();
        let known = self.history.lock().notices(self.clock.now());
        (known, notices)
    }

    /// Returns what log lines say about a request.
    fn describe(&self, fingerprint: u64) -> LoggedRequest {
        let now = self.clock.now();
        let history = self.history.lock();
        LoggedRequest {
            fingerprint: format!("{fingerprint:016x}"),
            standing: history.level(fingerprint, now).into(),
            crashes: history.count(fingerprint, now),
        }
    }

    fn broadcast(&self, notice: CrashNotice) {
        // Sending fails only if there are no links.
        let _ = self.notices.send(notice);
    }
}

/// What log lines say about a request that was in flight in crashes.
struct LoggedRequest {
    fingerprint: String,
    /// Name of its [`CrashLevel`].
    standing: &'static str,
    /// Number of crashes that are held against it.
    crashes: usize,
}

/// Ends a trial when dropped.
#[derive(Debug)]
pub struct TrialGuard {
    suspicion: Arc<Suspicion>,
    fingerprint: u64,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let now = self.suspicion.clock.now();
        let mut history = self.suspicion.history.lock();
        history.end_trial(self.fingerprint, now);
    }
}

/// Hash of the properties that a request shares with its retries: host, method, path and
/// body. The VM at which it enters is none of them, since a retry may enter at any VM.
#[must_use]
pub fn fingerprint(host: &str, method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    for part in [host.to_ascii_lowercase().as_str(), method, path] {
        hash.update(part.as_bytes());
        hash.update(b"\0");
    }
    hash.update(body);
    hash.digest()
}
