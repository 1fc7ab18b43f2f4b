//! The suspects known to one node: bounded, expiring and mergeable.

use std::collections::BTreeMap;

use hornbeamhitch_types::prelude::*;

use super::{Mark, NO_FINGERPRINT, SuspectEntry, SuspectSet, SuspicionLevel};

/// How long an expired entry is kept as a tombstone that has no effect on
/// requests.
///
/// Each hop between nodes makes an entry look younger by its transit time. If
/// an expired entry were removed at once, an echo from a node that received it
/// later would restore it briefly, and in a large fleet such echoes could
/// follow each other indefinitely. The tombstone is older than every echo and
/// therefore wins.
const TOMBSTONE_RETENTION: Millis = Millis::from_secs(60);

/// Maximum number of fingerprints that one node stores.
pub const MAX_SUSPECTS: usize = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StoredMark {
    mark: Mark,
    /// Time of expiry by this node's clock. The time of the observation is not
    /// stored because it may lie before the origin of this clock.
    expires_at: Millis,
    /// The entry has expired and only serves as a tombstone against echoes.
    expired: bool,
}

impl StoredMark {
    const fn new(mark: Mark, expires_at: Millis) -> Self {
        Self {
            mark,
            expires_at,
            expired: false,
        }
    }

    /// Returns the mark in force. An expired entry keeps its version, but the
    /// request is no longer suspected.
    const fn in_force(&self) -> Mark {
        if !self.expired {
            return self.mark;
        }
        Mark {
            version: self.mark.version,
            level: SuspicionLevel::Clear,
            crashes: 0,
        }
    }

    fn age_ms(&self, now: Millis) -> Millis {
        let left = self.expires_at.since(now);
        self.mark.lifetime().minus(left)
    }
}

/// Order in which marks are evicted, lowest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    level: SuspicionLevel,
    expires_at: Millis,
    fingerprint: u64,
}

/// The mutable store of one node.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    known: BTreeMap<u64, StoredMark>,
}

impl Suspects {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target crashed with these requests in flight; `alone` if
    /// there was exactly one call in flight. Returns the entries to send to
    /// other nodes.
    pub fn observe_crash(
        &mut self,
        fingerprints: &[u64],
        alone: bool,
        now: Millis,
    ) -> Vec<SuspectEntry> {
        let mut entries = Vec::with_capacity(fingerprints.len());
        for fingerprint in fingerprints {
            if *fingerprint == NO_FINGERPRINT {
                continue;
            }
            let mark = self.mark(*fingerprint).after_crash(alone);
            let expires_at = now + mark.lifetime();
            if !self.store(*fingerprint, StoredMark::new(mark, expires_at)) {
                continue;
            }
            entries.push(SuspectEntry::new(*fingerprint, mark, Millis::ZERO));
        }
        entries
    }

    /// Records that a suspect ran alone without a crash. Returns the entry to
    /// send to other nodes; `None` if the request was not a suspect.
    pub fn clear(&mut self, fingerprint: u64, now: Millis) -> Option<SuspectEntry> {
        let before = self.mark(fingerprint);
        let mark = before.after_successful_run();
        if mark == before {
            return None;
        }
        let expires_at = now + mark.lifetime();
        self.store(fingerprint, StoredMark::new(mark, expires_at));
        Some(SuspectEntry::new(fingerprint, mark, Millis::ZERO))
    }

    /// Merges an entry from another node; returns true if something changed.
    ///
    /// Of two equal marks the older one is kept, so an entry that nodes keep
    /// exchanging still expires: no echo makes it younger.
    pub fn merge(&mut self, entry: &SuspectEntry, now: Millis) -> bool {
        let mark = entry.mark();
        let expires_at = now + mark.lifetime().minus(entry.age_ms);
        if entry.fingerprint == NO_FINGERPRINT || expires_at <= now {
            return false;
        }
        let received = StoredMark::new(mark, expires_at);
        let Some(known) = self.known.get(&entry.fingerprint) else {
            return self.store(entry.fingerprint, received);
        };
        if known.mark > mark || (known.mark == mark && known.expires_at <= expires_at) {
            return false;
        }
        self.store(entry.fingerprint, received)
    }

    /// Expires entries that have reached their time; returns true if a
    /// suspicion level changed.
    pub fn tick(&mut self, now: Millis) -> bool {
        let mut changed = false;
        for known in self.known.values_mut() {
            if known.expired || known.expires_at > now {
                continue;
            }
            known.expired = true;
            changed = true;
        }
        self.known
            .retain(|_, known| known.expires_at + TOMBSTONE_RETENTION > now);
        changed
    }

    /// Returns the set that traffic threads read.
    #[must_use]
    pub fn snapshot(&self) -> SuspectSet {
        let mut set = SuspectSet::default();
        for (fingerprint, known) in &self.known {
            if !known.expired {
                set.push(*fingerprint, known.mark);
            }
        }
        set
    }

    /// Returns all entries to send to other nodes, ordered by fingerprint.
    pub fn entries(&self, now: Millis) -> impl Iterator<Item = SuspectEntry> + '_ {
        let active = self.known.iter().filter(|(_, known)| !known.expired);
        active.map(move |(key, known)| SuspectEntry::new(*key, known.mark, known.age_ms(now)))
    }

    /// Returns the suspicion level of a fingerprint.
    #[must_use]
    pub fn level(&self, fingerprint: u64) -> SuspicionLevel {
        self.mark(fingerprint).level
    }

    /// Returns the number of stored fingerprints, including cleared and expired
    /// ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether the store is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub(crate) fn mark(&self, fingerprint: u64) -> Mark {
        match self.known.get(&fingerprint) {
            Some(known) => known.in_force(),
            None => Mark::default(),
        }
    }

    /// Raises a mark to one known elsewhere in this process, so that the next
    /// observation builds on it.
    pub(crate) fn raise(&mut self, fingerprint: u64, mark: Mark, now: Millis) {
        if self.mark(fingerprint) < mark {
            let expires_at = now + mark.lifetime();
            self.store(fingerprint, StoredMark::new(mark, expires_at));
        }
    }

    /// Stores an entry; returns false if the store is full of more severe
    /// entries.
    fn store(&mut self, fingerprint: u64, known: StoredMark) -> bool {
        if !self.known.contains_key(&fingerprint)
            && self.known.len() >= MAX_SUSPECTS
            && !self.evict(known.mark.level)
        {
            return false;
        }
        self.known.insert(fingerprint, known);
        true
    }

    /// Makes room for a mark: the least severe one is evicted first, then the
    /// one that expires first.
    ///
    /// A flood of suspects (many requests in flight in each crash) must not
    /// evict a conviction, because the convicted request would crash targets
    /// again. Nothing more severe than the new mark is ever evicted.
    fn evict(&mut self, new_level: SuspicionLevel) -> bool {
        let mut least: Option<EvictionRank> = None;
        for (fingerprint, known) in &self.known {
            let rank = EvictionRank {
                level: known.in_force().level,
                expires_at: known.expires_at,
                fingerprint: *fingerprint,
            };
            if least.is_none_or(|least| rank < least) {
                least = Some(rank);
            }
        }
        let Some(victim) = least.filter(|victim| victim.level <= new_level) else {
            return false;
        };
        self.known.remove(&victim.fingerprint);
        true
    }
}
