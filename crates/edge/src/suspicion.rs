//! Requests that crash targets: what this node knows, and what it tells others.

use hornbeamhitch_core::suspects::{SuspectEntry, Suspects, SuspicionLevel};
use hornbeamhitch_wire::link::SuspectNotice;
use parking_lot::Mutex;
use tokio::sync::broadcast;
use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Notices that wait for a link to send them; a link that lags further has been
/// told most, and hears the rest from others.
const WAITING_NOTICES: usize = 256;

/// What is held against requests, shared by this node's entry, gate and links.
///
/// Failure answered: a request crashes each target that runs it, and its caller
/// sends it again, to any node. Every node that hears of the crashes refuses it;
/// the word goes over all open links and on from there. Links exist wherever
/// calls go, so who might send the request to a target hears of it.
#[derive(Debug)]
pub struct Suspicion {
    known: Mutex<Suspects>,
    news: broadcast::Sender<SuspectNotice>,
    clock: ProcessClock,
}

impl Suspicion {
    /// Nothing is held against anyone yet.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        Self {
            known: Mutex::new(Suspects::new()),
            news: broadcast::channel(WAITING_NOTICES).0,
            clock,
        }
    }

    /// Whether a request is refused everywhere.
    #[must_use]
    pub fn is_convicted(&self, fingerprint: u64) -> bool {
        self.known.lock().level(fingerprint) == SuspicionLevel::Convicted
    }

    /// The target has crashed with these requests in flight.
    pub fn observe_crash(&self, fingerprints: &[u64]) {
        let alone = fingerprints.len() == 1;
        let now = self.clock.now();
        let entries = self.known.lock().observe_crash(fingerprints, alone, now);
        for entry in &entries {
            let standing: &'static str = entry.standing.into();
            let crashes = entry.crashes;
            let fingerprint = format!("{:016x}", entry.fingerprint);
            log::warn!(fingerprint, standing, crashes; "a request was in flight in a crash");
            self.tell(entry);
        }
    }

    /// A request ran well. It may share its fingerprint with others that do, so
    /// any good run clears it, not only one alone.
    pub fn ran_well(&self, fingerprint: u64) {
        let mut known = self.known.lock();
        if known.is_empty() {
            return;
        }
        let cleared = known.clear(fingerprint, self.clock.now());
        drop(known);
        if let Some(entry) = cleared {
            self.tell(&entry);
        }
    }

    /// Takes in what another node says, and passes on what is new.
    pub fn hear(&self, notice: &SuspectNotice) {
        let Some(entry) = from_notice(notice) else {
            log::warn!("a notice with an unknown standing was dropped");
            return;
        };
        if self.known.lock().merge(&entry, self.clock.now()) {
            self.tell(&entry);
        }
    }

    /// All that is known, for a link that has just opened, and what follows.
    pub fn follow(&self) -> (Vec<SuspectNotice>, broadcast::Receiver<SuspectNotice>) {
        let news = self.news.subscribe();
        let known = self.known.lock();
        let entries = known.entries(self.clock.now());
        (entries.map(|entry| to_notice(&entry)).collect(), news)
    }

    fn tell(&self, entry: &SuspectEntry) {
        // Without links there is nobody to tell.
        let _ = self.news.send(to_notice(entry));
    }
}

/// Hash of what a request has in common with its next sending: method, path,
/// body, and the service beside which it began.
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
    let standing: &'static str = entry.standing.into();
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
    let standing = all.into_iter().find(|standing| {
        let name: &'static str = standing.into();
        name == notice.standing
    })?;
    Some(SuspectEntry {
        fingerprint: notice.fingerprint,
        version: notice.version,
        standing,
        crashes: notice.crashes,
        age_ms: notice.age_ms,
    })
}
