//! What an entry holds against each target.

use std::collections::HashMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Failures count half after this time: a target that is ill for some seconds
/// is tried again within a few more.
const HALF_LIFE_MS: f32 = 3_000.0;
/// From this score on a target is avoided while others are to be had. One
/// failure alone stays below it: one in a few hundred requests fails anywhere.
const AVOID_THRESHOLD: f32 = 1.5;
/// Share of an earlier score that a success leaves, so that a target that fails
/// every third request stays avoided and one that recovered does not.
const SUCCESS_DECAY: f32 = 0.8;
/// A VM that cannot be reached is left alone for this long at first ...
const INITIAL_UNREACHABLE_MS: Millis = Millis(400);
/// ... and up to this long while it stays away.
const MAX_UNREACHABLE_MS: Millis = Millis(2_000);

/// What is known of the targets that this entry sends to.
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
    /// The target answered as it should.
    pub fn note_success(&mut self, target: &Member, now: Millis) {
        if self.existing(target).is_none() {
            return;
        }
        let record = self.record(target, now);
        let score = record.score(now) * SUCCESS_DECAY;
        record.set_score(score, now);
        record.unreachable_for_ms = Millis::ZERO;
    }

    /// The target failed a request, broke it off, or kept silent.
    pub fn note_failure(&mut self, target: &Member, now: Millis) {
        let record = self.record(target, now);
        let score = record.score(now) + 1.0;
        record.set_score(score, now);
    }

    /// The target's VM could not be reached: it is left alone for a while that
    /// doubles, so that a dark VM costs few callers a connect timeout.
    pub fn note_unreachable(&mut self, target: &Member, now: Millis) {
        let record = self.record(target, now);
        let doubled = Millis(record.unreachable_for_ms.0 * 2);
        record.unreachable_for_ms = doubled.clamp(INITIAL_UNREACHABLE_MS, MAX_UNREACHABLE_MS);
        record.unreachable_until = now + record.unreachable_for_ms;
    }

    /// Whether others go first.
    #[must_use]
    pub fn is_avoided(&self, target: &Member, now: Millis) -> bool {
        let Some(record) = self.existing(target) else {
            return false;
        };
        record.score(now) >= AVOID_THRESHOLD
    }

    /// Whether its VM was just found unreachable.
    #[must_use]
    pub fn is_unreachable(&self, target: &Member, now: Millis) -> bool {
        self.existing(target)
            .is_some_and(|record| now < record.unreachable_until)
    }

    /// Forgets lives that are no longer listed.
    pub fn retain(&mut self, members: &Members) {
        self.by_incarnation
            .retain(|incarnation, _| members.contains(incarnation));
    }

    /// What is known of this life of the target.
    fn existing(&self, target: &Member) -> Option<&Record> {
        self.by_incarnation.get(&target.incarnation())
    }

    /// The record of this life of the target, begun if there is none.
    fn record(&mut self, target: &Member, now: Millis) -> &mut Record {
        let entry = self.by_incarnation.entry(target.incarnation());
        entry.or_insert_with(|| Record::new(now))
    }
}
