//! The rota: which nodes read the platform. A few nodes per data centre are elected
//! without coordination.
//!
//! Every VM has a score, a hash of its name and data centre. Heartbeats carry the best
//! candidates with the age of their last statement, so every node soon knows the best
//! candidates of its data centre and drops silent ones. A node reads if it ranks among
//! the first [`READERS`] candidates whose reads do not fail, and among the first
//! [`MAX_READERS`] of all candidates. While the views of the nodes differ, there are more
//! readers for some seconds. This is harmless, because a read changes nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hornbeamhitch_wire::control::ReaderNote;
use xxhash_rust::xxh3::xxh3_64;

use super::status::ReaderStatus;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Readers per data centre while the platform responds to them.
pub(super) const READERS: usize = 2;
/// Limit of readers per data centre when the first ones fail. It limits the load on a
/// platform that is down: without it, each failing reader would hand over to another
/// until the whole data centre reads.
pub(super) const MAX_READERS: usize = 2 * READERS;
/// Limit of stored and relayed candidates. It includes a spare for the next reader.
const MAX_CANDIDATES: usize = MAX_READERS + 1;
/// Silence after which a candidate is ignored.
///
/// A note about a candidate reaches every node of a data centre of 900 nodes within about
/// five heartbeats. Three times that keeps a slow heartbeat from changing the rota.
const CANDIDATE_TIMEOUT: Millis = Millis::from_secs(15);

#[derive(Clone, Debug)]
struct Candidate {
    score: u64,
    note: ReaderNote,
    /// Time at which the note was made, in this node's clock.
    stated_at: Millis,
}

/// The candidates of this node's data centre other than the node itself.
#[derive(Debug)]
pub(super) struct Rota {
    own_score: u64,
    data_centre: DataCentre,
    candidates: BTreeMap<VmId, Candidate>,
}

impl Rota {
    /// Creates a rota without other candidates.
    pub(super) fn new(own: &VmId, data_centre: DataCentre) -> Self {
        Self {
            own_score: score(own, &data_centre),
            data_centre,
            candidates: BTreeMap::new(),
        }
    }

    /// Merges a note about a candidate in the same data centre.
    pub(super) fn merge(&mut self, note: &ReaderNote, own: &VmId, now: Millis) {
        if note.vm == *own || note.age_ms > CANDIDATE_TIMEOUT {
            return;
        }
        let order = (note.incarnation, note.clock_ms);
        if let Some(known) = self.candidates.get(&note.vm) {
            // Only a later statement proves that a candidate is alive, so that relayed
            // notes cannot keep a dead candidate on the rota.
            if order <= (known.note.incarnation, known.note.clock_ms) {
                return;
            }
        }
        let candidate = Candidate {
            score: score(&note.vm, &self.data_centre),
            note: note.clone(),
            stated_at: now.minus(note.age_ms),
        };
        self.candidates.insert(note.vm.clone(), candidate);
        self.trim(now);
    }

    /// Drops silent candidates and keeps only the best of the others.
    pub(super) fn trim(&mut self, now: Millis) {
        self.candidates
            .retain(|_, known| now.since(known.stated_at) <= CANDIDATE_TIMEOUT);
        while self.candidates.len() > MAX_CANDIDATES {
            let mut worst: Option<(u64, VmId)> = None;
            for known in self.candidates.values() {
                if worst.as_ref().is_none_or(|(score, _)| known.score < *score) {
                    worst = Some((known.score, known.note.vm.clone()));
                }
            }
            let Some((_, vm)) = worst else {
                return;
            };
            self.candidates.remove(&vm);
        }
    }

    /// Returns whether this node is on the rota, given whether its own reads fail.
    pub(super) fn elects_self(&self, own_failing: bool, now: Millis) -> bool {
        let mut better = 0;
        let mut better_and_working = 0;
        for known in self.candidates.values() {
            let is_silent = now.since(known.stated_at) > CANDIDATE_TIMEOUT;
            if is_silent || known.score <= self.own_score {
                continue;
            }
            better += 1;
            better_and_working += usize::from(!known.note.failing);
        }
        better < MAX_READERS && (own_failing || better_and_working < READERS)
    }

    /// Returns the notes to send to peers in the data centre, best candidate first,
    /// including `own` if given.
    pub(super) fn notes(&self, own: Option<ReaderNote>, now: Millis) -> Vec<ReaderNote> {
        let mut ranked = Vec::new();
        if let Some(note) = own {
            ranked.push((self.own_score, note));
        }
        for known in self.candidates.values() {
            let mut note = known.note.clone();
            note.age_ms = now.since(known.stated_at);
            ranked.push((known.score, note));
        }
        ranked.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
        ranked.truncate(MAX_CANDIDATES);
        ranked.into_iter().map(|(_, note)| note).collect()
    }

    /// Returns the addresses of candidates that have all slices of both documents.
    pub(super) fn whole_candidates(&self) -> Vec<SocketAddr> {
        let mut found = Vec::new();
        for known in self.candidates.values() {
            if known.note.whole {
                found.push(known.note.control);
            }
        }
        found
    }

    /// Returns the candidates for operators, best first.
    pub(super) fn status(&self) -> Vec<ReaderStatus> {
        let mut ranked: Vec<_> = self.candidates.values().collect();
        ranked.sort_by_key(|known| std::cmp::Reverse(known.score));
        let mut readers = Vec::new();
        for known in ranked {
            readers.push(ReaderStatus {
                vm: known.note.vm.clone(),
                reading: known.note.reading,
                failing: known.note.failing,
            });
        }
        readers
    }
}

fn score(vm: &VmId, data_centre: &DataCentre) -> u64 {
    xxh3_64(format!("{data_centre}\0{vm}").as_bytes())
}
