//! Who reads the platform: a few nodes a data centre, elected without a word
//! of coordination.
//!
//! Every VM has a score, a hash of its name and data centre. Heartbeats carry
//! the best candidates with the age of their last sign of life, so that every
//! node soon knows the best of its data centre, and forgets the silent ones.
//! A node reads when it finds itself among the first [`READERS`] whose reads
//! do not fail, and among the first [`MAX_READERS`] at all. While views
//! disagree there are more readers than that for some seconds; no harm is
//! done, because a read changes nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hornbeamhitch_wire::control::ReaderNote;
use xxhash_rust::xxh3::xxh3_64;

use super::status::ReaderStatus;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Readers of a data centre while the platform answers them.
pub(super) const READERS: usize = 2;
/// Readers of a data centre when the first ones fail. It is the bound on the
/// load of a platform that is down: without it, each failing reader would pass
/// the task on until the whole data centre reads.
pub(super) const MAX_READERS: usize = 2 * READERS;
/// Candidates remembered and passed on, so that the next ones stand ready.
const MAX_CANDIDATES: usize = MAX_READERS + 1;
/// Silence after which a candidate is passed over.
///
/// News of a candidate crosses a data centre of 900 nodes in about five
/// heartbeats; three times that keeps a slow heartbeat from moving the rota.
const CANDIDATE_TIMEOUT: Millis = Millis::from_secs(15);

#[derive(Clone, Debug)]
struct Candidate {
    score: u64,
    note: ReaderNote,
    /// When the note was made, in this node's clock.
    stated_at: Millis,
}

/// The candidates of this node's data centre, other than itself.
#[derive(Debug)]
pub(super) struct Rota {
    own_score: u64,
    data_centre: DataCentre,
    candidates: BTreeMap<VmId, Candidate>,
}

impl Rota {
    /// Knows of no candidate but itself.
    pub(super) fn new(own: &VmId, data_centre: DataCentre) -> Self {
        Self {
            own_score: score(own, &data_centre),
            data_centre,
            candidates: BTreeMap::new(),
        }
    }

    /// Takes in what a node of the same data centre says.
    pub(super) fn merge(&mut self, note: &ReaderNote, own: &VmId, now: Millis) {
        if note.vm == *own || note.age_ms > CANDIDATE_TIMEOUT {
            return;
        }
        let order = (note.incarnation, note.clock_ms);
        if let Some(known) = self.candidates.get(&note.vm) {
            // Only a later statement counts as a sign of life, so that notes
            // going round cannot keep a dead candidate on the rota.
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

    /// Forgets the silent ones and all but the best.
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

    /// Whether this node, whose reads may be failing, is on the rota.
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

    /// Notes for peers of the data centre, the own one first when it is given.
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

    /// Addresses of candidates that hold everything.
    pub(super) fn whole_candidates(&self) -> Vec<SocketAddr> {
        let mut found = Vec::new();
        for known in self.candidates.values() {
            if known.note.whole {
                found.push(known.note.control);
            }
        }
        found
    }

    /// The candidates for operators, best first.
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
