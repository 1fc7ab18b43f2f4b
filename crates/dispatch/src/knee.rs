//! How many requests a target runs at once without slowing all of them down.
//!
//! A target says how many requests it takes at once. Some slow down well before
//! that, and some do not at all; which it is shows in the run times alone. So run
//! times are compared by how many requests ran beside them, at equal speed of the
//! VM and in parts of what the route usually takes.

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Numbers of requests that are told apart; those of a larger target are grouped.
const MAX_LEVELS: u32 = 16;
/// After this span a sample counts for half. Run times spread by about a third, so
/// some dozen samples a level are wanted, and a target with work has them in a
/// second; a level that is no longer used is forgotten, and thereby tried again,
/// within some of these spans.
const HALF_LIFE_MS: f64 = 6_000.0;
/// Samples that the next lower level is taken for. Until a level has about as many
/// of its own, it is expected to be as fast as the one below it.
const PRIOR_SAMPLES: f64 = 6.0;
/// How much a slower run counts against one more run at a time: 1 would look at
/// what ends in a second alone, 2 at how long each caller waits as much.
const DELAY_EXPONENT: f64 = 1.5;
/// A smaller number has to be better by this factor: chance alone makes a tenth.
const MIN_IMPROVEMENT: f64 = 1.1;
/// This part of the slots is used whatever was learnt, in percent. Where one route
/// mixes runs of a millisecond with runs of half a second, run times say little of how
/// many ran beside them: targets were held to two of four slots, and callers refused.
const MIN_LIMIT_PERCENT: u32 = 80;
/// A run counts for this many times its usual time at most, so that one that hung
/// says no more than a few slow ones.
const MAX_RATIO: f64 = 4.0;

/// Run times of requests that started beside a certain number of others.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Samples, older ones at less.
    samples: f64,
    /// Sum of their times in parts of the usual time.
    sum: f64,
    updated_at: Millis,
}

impl Level {
    fn decay(&mut self, now: Millis) {
        let age = now.since(self.updated_at).0 as f64 / HALF_LIFE_MS;
        let factor = (-age).exp2();
        self.samples *= factor;
        self.sum *= factor;
        self.updated_at = now;
    }
}

/// Learns the number of requests beyond which a target slows down.
///
/// All that the target takes are used until it shows a knee, and again when it has
/// not shown one lately: with a fifth of the slots kept free for fear of a knee,
/// callers of targets without one were refused in each overload. Rising towards the
/// slots one by one was no better: it costs as much at targets without a knee as it
/// saves at others.
#[derive(Debug, Default)]
pub struct KneeEstimator {
    slots: u32,
    levels: Vec<Level>,
    limit: u32,
}

impl KneeEstimator {
    /// Takes over how many requests the target takes at once. Another number is
    /// learnt anew.
    pub fn set_slots(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.forget();
    }

    /// Forgets what was learnt of an earlier life of the target.
    pub fn forget(&mut self) {
        let levels = self.slots.min(MAX_LEVELS) as usize;
        self.levels = vec![Level::default(); levels];
        self.limit = self.slots;
    }

    /// Requests that are run at once.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Learns from a run at usual speed of the VM. `running` requests ran when it
    /// began, itself included; it took `ratio` times the usual time of its route.
    pub fn learn(&mut self, running: u32, ratio: f64, now: Millis) {
        let Some(number) = self.level_of(running) else {
            return;
        };
        let level = &mut self.levels[number];
        level.decay(now);
        level.samples += 1.0;
        level.sum += ratio.clamp(0.0, MAX_RATIO);
        let lowest = self.slots * MIN_LIMIT_PERCENT / 100;
        self.limit = self.best_limit(now).max(lowest).max(1);
    }

    fn level_of(&self, running: u32) -> Option<usize> {
        if self.levels.is_empty() || running == 0 {
            return None;
        }
        let levels = self.levels.len() as u32;
        let level = (running * levels).div_ceil(self.slots).clamp(1, levels);
        Some(level as usize - 1)
    }

    /// The largest number that is about as good as the best one.
    fn best_limit(&mut self, now: Millis) -> u32 {
        let mut values = Vec::with_capacity(self.levels.len());
        let mut best = 0.0_f64;
        // A route's usual time is learnt elsewhere and may be off, so the first level
        // says what it is off by, and the others are held against those below.
        let mut expected = 1.0;
        for (number, level) in self.levels.iter_mut().enumerate() {
            level.decay(now);
            let sum = level.sum + PRIOR_SAMPLES * expected;
            expected = sum / (level.samples + PRIOR_SAMPLES);
            let value = (number + 1) as f64 / expected.powf(DELAY_EXPONENT);
            best = best.max(value);
            values.push(value);
        }
        let threshold = best / MIN_IMPROVEMENT;
        let largest = values.iter().rposition(|value| *value >= threshold);
        let levels = self.levels.len() as u32;
        let number = largest.map_or(levels, |number| number as u32 + 1);
        (number * self.slots / levels.max(1)).max(1)
    }
}
