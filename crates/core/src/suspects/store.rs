//! One node's knowledge of suspects: bounded, ageing, mergeable.

use std::collections::BTreeMap;

use hornbeamhitch_types::prelude::*;

use super::{Mark, NO_FINGERPRINT, SuspectEntry, SuspectSet, SuspicionLevel};

/// How long an entry that has aged out is still remembered, though no longer
/// held against anyone.
///
/// Each hop between nodes makes an entry look younger by its time on the way.
/// If it were forgotten at once, an echo from a node that heard it later would
/// bring it back for a moment, and in a large fleet those moments could follow
/// each other for ever. Remembered, the older copy wins against every echo.
const TOMBSTONE_RETENTION: Millis = Millis::from_secs(60);

/// Fingerprints that one node remembers.
pub const MAX_SUSPECTS: usize = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StoredMark {
    mark: Mark,
    /// End of life in this node's clock. Kept instead of the time of birth,
    /// which may lie before the clock's origin.
    expires_at: Millis,
    /// It has aged out, and only serves to outlast its echoes.
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

    /// What is in force: the version goes on, but nothing is held any more.
    const fn in_force(&self) -> Mark {
        if !self.expired {
            return self.mark;
        }
        Mark {
            version: self.mark.version,
            standing: SuspicionLevel::Clear,
            crashes: 0,
        }
    }

    fn age_ms(&self, now: Millis) -> Millis {
        let left = self.expires_at.since(now);
        self.mark.lifetime().minus(left)
    }
}

/// Order in which marks are evicted; the least goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    standing: SuspicionLevel,
    expires_at: Millis,
    fingerprint: u64,
}

/// The mutable store of one node.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    known: BTreeMap<u64, StoredMark>,
}

impl Suspects {
    /// A store that suspects nobody.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a target crashed with these requests in flight; `alone` when
    /// there was just one. Returns what has to be told to others.
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
            if !self.put(*fingerprint, StoredMark::new(mark, expires_at)) {
                continue;
            }
            entries.push(SuspectEntry::new(*fingerprint, mark, Millis::ZERO));
        }
        entries
    }

    /// Notes that a suspect ran alone and the target lived. Returns what has to
    /// be told to others; `None` when nothing was held against it.
    pub fn clear(&mut self, fingerprint: u64, now: Millis) -> Option<SuspectEntry> {
        let before = self.mark(fingerprint);
        let mark = before.after_successful_run();
        if mark == before {
            return None;
        }
        let expires_at = now + mark.lifetime();
        self.put(fingerprint, StoredMark::new(mark, expires_at));
        Some(SuspectEntry::new(fingerprint, mark, Millis::ZERO))
    }

    /// Takes in what another node says; true when something changed.
    ///
    /// Of two equal marks the older one stays, so an entry that nodes pass
    /// round and round still ages out: no echo makes it younger.
    pub fn merge(&mut self, entry: &SuspectEntry, now: Millis) -> bool {
        let mark = entry.mark();
        let expires_at = now + mark.lifetime().minus(entry.age_ms);
        if entry.fingerprint == NO_FINGERPRINT || expires_at <= now {
            return false;
        }
        let received = StoredMark::new(mark, expires_at);
        let Some(known) = self.known.get(&entry.fingerprint) else {
            return self.put(entry.fingerprint, received);
        };
        if known.mark > mark || (known.mark == mark && known.expires_at <= expires_at) {
            return false;
        }
        self.put(entry.fingerprint, received)
    }

    /// Ages out what has reached its time; true when a standing changed.
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

    /// What traffic reads.
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

    /// All that others should hear, in the order of fingerprints.
    pub fn entries(&self, now: Millis) -> impl Iterator<Item = SuspectEntry> + '_ {
        let active = self.known.iter().filter(|(_, known)| !known.expired);
        active.map(move |(key, known)| SuspectEntry::new(*key, known.mark, known.age_ms(now)))
    }

    /// What is held against a fingerprint.
    #[must_use]
    pub fn level(&self, fingerprint: u64) -> SuspicionLevel {
        self.mark(fingerprint).standing
    }

    /// Fingerprints remembered, cleared ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no fingerprint is remembered.
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

    /// Raises a mark to one that is known elsewhere in this process, so that
    /// an observation counts on from there.
    pub(crate) fn raise(&mut self, fingerprint: u64, mark: Mark, now: Millis) {
        if self.mark(fingerprint) < mark {
            let expires_at = now + mark.lifetime();
            self.put(fingerprint, StoredMark::new(mark, expires_at));
        }
    }

    /// Stores what is known; false when the store is full of graver things.
    fn put(&mut self, fingerprint: u64, known: StoredMark) -> bool {
        if !self.known.contains_key(&fingerprint)
            && self.known.len() >= MAX_SUSPECTS
            && !self.evict(known.mark.standing)
        {
            return false;
        }
        self.known.insert(fingerprint, known);
        true
    }

    /// Makes room for a mark: the least grave goes first, then the oldest.
    ///
    /// A flood of suspects (many requests in flight in each crash) must not
    /// wash out a conviction, or the convicted request would crash targets
    /// anew; so nothing graver than the newcomer is ever evicted.
    fn evict(&mut self, newcomer: SuspicionLevel) -> bool {
        let mut least: Option<EvictionRank> = None;
        for (fingerprint, known) in &self.known {
            let rank = EvictionRank {
                standing: known.in_force().standing,
                expires_at: known.expires_at,
                fingerprint: *fingerprint,
            };
            if least.is_none_or(|least| rank < least) {
                least = Some(rank);
            }
        }
        let Some(victim) = least.filter(|victim| victim.standing <= newcomer) else {
            return false;
        };
        self.known.remove(&victim.fingerprint);
        true
    }
}
