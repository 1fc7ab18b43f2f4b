//! Estimates how many requests a target runs at once without slowing all of them down.
//!
//! A target announces how many requests it takes at once. Some targets slow down well
//! before that number, and some do not slow down at all; only the run times show which.
//! So run times are compared by the number of concurrent requests, at equal speed of the
//! VM and relative to the usual run time of the route.

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Maximum number of concurrency levels that are measured separately. Those of larger
/// targets are grouped.
const MAX_LEVELS: u32 = 16;
/// Half-life of a sample's weight. Run times vary by about a third, so some dozen samples
/// per level are wanted, and a target under load has them within a second. A level that
/// is no longer used is forgotten within some half-lives, and thereby tried again.
const HALF_LIFE_MS: f64 = 6_000.0;
/// Weight, in samples, of the estimate of the next lower level. Until a level has about
/// as many samples of its own, it is expected to be as fast as the level below it.
const PRIOR_SAMPLES: f64 = 6.0;
/// Weight of the run time against concurrency: 1 would consider throughput alone, 2 would
/// weigh each caller's waiting time as much as throughput.
const DELAY_EXPONENT: f64 = 1.5;
/// Factor by which a lower limit must be better than a higher one. Chance alone makes a
/// difference of a tenth.
const MIN_IMPROVEMENT: f64 = 1.1;
/// Lower bound of the limit, in percent of the slots. Where one route mixes runs of a
/// millisecond with runs of half a second, run times say little about concurrency:
/// without this bound, such targets were limited to two of four slots, and callers were
/// refused.
const MIN_LIMIT_PERCENT: u32 = 80;
/// Upper bound of a sample, in multiples of the usual run time, so that one run that hung
/// weighs no more than a few slow ones.
const MAX_RATIO: f64 = 4.0;

/// Run times of requests that started at one level of concurrency.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Number of samples, with older ones weighted less.
    samples: f64,
    /// Sum of their run times, relative to the usual run time.
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

/// Learns the number of concurrent requests beyond which a target slows down.
///
/// All slots are used until the target shows a knee, and again when it has not shown one
/// for a while. Keeping a fifth of the slots free as a precaution caused refusals in each
/// overload at targets without a knee. Raising the limit towards the slots one by one was
/// no better: it costs as much at targets without a knee as it saves at others.
#[derive(Debug, Default)]
pub struct KneeEstimator {
    slots: u32,
    levels: Vec<Level>,
    limit: u32,
}

impl KneeEstimator {
    /// Sets how many requests the target takes at once. A different number discards what
    /// was learnt.
    pub fn set_slots(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.forget();
    }

    /// Discards what was learnt about an earlier incarnation of the target.
    pub fn forget(&mut self) {
        let levels = self.slots.min(MAX_LEVELS) as usize;
        self.levels = vec![Level::default(); levels];
        self.limit = self.slots;
    }

    /// Returns how many requests may run at once.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Learns from a run at usual speed of the VM. `running` requests ran when it began,
    /// itself included; it took `ratio` times the usual time of its route.
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

    /// Returns the largest limit that is about as good as the best one.
    fn best_limit(&mut self, now: Millis) -> u32 {
        let mut values = Vec::with_capacity(self.levels.len());
        let mut best = 0.0_f64;
        // The usual time of a route is learnt elsewhere and may be wrong. The first level
        // shows by how much, and each other level is compared with the one below.
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
