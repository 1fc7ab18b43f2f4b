//! Failure scores of targets, by which an entry avoids failing ones (outlier ejection).

use std::collections::HashMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Half-life of the failure score in milliseconds. A target that fails for some seconds
/// is tried again within a few seconds more.
const HALF_LIFE_MS: f32 = 3_000.0;
/// Score from which a target is avoided while others are available. A single failure
/// stays below it, since one in a few hundred requests fails anywhere.
const AVOID_THRESHOLD: f32 = 1.5;
/// Factor by which a success reduces the score. A target that fails every third request
/// stays avoided, and one that has recovered does not.
const SUCCESS_DECAY: f32 = 0.8;
/// Time for which a target is not used after its VM was found unreachable for the first
/// time.
const INITIAL_UNREACHABLE_MS: Millis = Millis(400);
/// Upper bound of that time, which doubles while the VM stays unreachable.
const MAX_UNREACHABLE_MS: Millis = Millis(2_000);

/// Failure records of the targets that this entry sends to.
#[derive(Debug, Default)]
pub struct Failures {
    by_incarnation: HashMap<TargetIncarnation, Record>,
}

#[derive(Clone, Debug)]
struct Record {
    score: f32,
    scored_at: Millis,
    unreachable_until: Millis,
    unreachable_for_ms: Millis,
}

impl Record {
    const fn new(now: Millis) -> Self {
        Self {
            score: 0.0,
            scored_at: now,
            unreachable_until: Millis::ZERO,
            unreachable_for_ms: Millis::ZERO,
        }
    }

    fn score(&self, now: Millis) -> f32 {
        self.score * (-(now.since(self.scored_at).0 as f32) / HALF_LIFE_MS).exp2()
    }

    fn set_score(&mut self, score: f32, now: Millis) {
        self.score = score;
        self.scored_at = now;
    }
}

impl Failures {
    /// Records that the target answered successfully.
    pub fn note_success(&mut self, target: &Member, now: Millis) {
        if self.existing(target).is_none() {
            return;
        }
        let record = self.record(target, now);
        let score = record.score(now) * SUCCESS_DECAY;
        record.set_score(score, now);
        record.unreachable_for_ms = Millis::ZERO;
    }

    /// Records that the target failed a request, broke it off, or did not answer.
    pub fn note_failure(&mut self, target: &Member, now: Millis) {
        let record = self.record(target, now);
        let score = record.score(now) + 1.0;
        record.set_score(score, now);
    }

    /// Records that the target's VM could not be reached. The target is not used for a
    /// time that doubles with each failure, so that an unreachable VM costs few callers a
    /// connect timeout.
    pub fn note_unreachable(&mut self, target: &Member, now: Millis) {
        let record = self.record(target, now);
        let doubled = Millis(record.unreachable_for_ms.0 * 2);
        record.unreachable_for_ms = doubled.clamp(INITIAL_UNREACHABLE_MS, MAX_UNREACHABLE_MS);
        record.unreachable_until = now + record.unreachable_for_ms;
    }

    /// Returns whether other targets should be tried first.
    #[must_use]
    pub fn is_avoided(&self, target: &Member, now: Millis) -> bool {
        let Some(record) = self.existing(target) else {
            return false;
        };
        record.score(now) >= AVOID_THRESHOLD
    }

    /// Returns whether the target's VM was found unreachable a short time ago.
    #[must_use]
    pub fn is_unreachable(&self, target: &Member, now: Millis) -> bool {
        self.existing(target)
            .is_some_and(|record| now < record.unreachable_until)
    }

    /// Discards incarnations that are no longer listed.
    pub fn retain(&mut self, members: &Members) {
        self.by_incarnation
            .retain(|incarnation, _| members.contains(incarnation));
    }

    /// Returns the record of this incarnation of the target.
    fn existing(&self, target: &Member) -> Option<&Record> {
        self.by_incarnation.get(&target.incarnation())
    }

    /// Returns the record of this incarnation of the target, and creates it if there is
    /// none.
    fn record(&mut self, target: &Member, now: Millis) -> &mut Record {
        let entry = self.by_incarnation.entry(target.incarnation());
        entry.or_insert_with(|| Record::new(now))
    }
}
