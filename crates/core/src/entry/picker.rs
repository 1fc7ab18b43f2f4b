//! Choosing one target from a tier.

use rand::RngExt;
use rand::rngs::Xoshiro256PlusPlus;

use crate::entry::TargetIndex;
use crate::entry::score::ServiceAverages;
use crate::entry::table::TargetTable;
use crate::prelude::*;

/// Tiers of up to this size are compared completely. In larger tiers two random
/// targets are compared, so that the cost of a pick does not grow with the
/// service and two entries with the same information rarely make the same
/// choice.
const COMPARE_ALL_UP_TO: usize = 8;
/// Maximum number of random draws to find two targets.
const MAX_DRAWS: usize = 16;
/// Scores that differ by less than this share count as equal.
const TIE_SHARE: f32 = 0.03;

/// Everything that a choice depends on except the tier.
pub(crate) struct Picker<'a> {
    pub(crate) table: &'a TargetTable,
    pub(crate) averages: &'a ServiceAverages,
    pub(crate) policy: &'a ServicePolicy,
    pub(crate) exclude: &'a [TargetIndex],
    pub(crate) now: Millis,
}

impl Picker<'_> {
    /// Returns the target of `tier` with the lowest expected time. Ties are
    /// broken at random. Returns `None` if all targets are excluded.
    pub(crate) fn choose(&self, tier: &[u32], rng: &mut Xoshiro256PlusPlus) -> Option<TargetIndex> {
        if tier.len() <= COMPARE_ALL_UP_TO {
            return self.best_of_all(tier, rng);
        }
        self.best_of_two(tier, rng)
    }

    fn best_of_all(&self, tier: &[u32], rng: &mut Xoshiro256PlusPlus) -> Option<TargetIndex> {
        let mut best = None;
        let mut best_held_back = None;
        for index in tier {
            if self.is_excluded(*index) {
                continue;
            }
            let ramp = self.ramp(*index);
            let cost = self.cost(*index, ramp, rng);
            if is_held_back(ramp, rng) {
                keep_lower(&mut best_held_back, *index, cost);
                continue;
            }
            keep_lower(&mut best, *index, cost);
        }
        let (index, _) = best.or(best_held_back)?;
        Some(TargetIndex(index))
    }

    fn best_of_two(&self, tier: &[u32], rng: &mut Xoshiro256PlusPlus) -> Option<TargetIndex> {
        let mut best = None;
        let mut first = None;
        for _ in 0..MAX_DRAWS {
            let index = tier[rng.random_range(0..tier.len())];
            if first == Some(index) || self.is_excluded(index) {
                continue;
            }
            let ramp = self.ramp(index);
            if is_held_back(ramp, rng) {
                continue;
            }
            keep_lower(&mut best, index, self.cost(index, ramp, rng));
            if first.is_some() {
                break;
            }
            first = Some(index);
        }
        match best {
            Some((index, _)) => Some(TargetIndex(index)),
            None => self.next_from_random_position(tier, rng),
        }
    }

    fn next_from_random_position(
        &self,
        tier: &[u32],
        rng: &mut Xoshiro256PlusPlus,
    ) -> Option<TargetIndex> {
        let (before, after) = tier.split_at(rng.random_range(0..tier.len()));
        for index in after.iter().chain(before) {
            if self.is_excluded(*index) {
                continue;
            }
            return Some(TargetIndex(*index));
        }
        None
    }

    fn cost(&self, index: u32, ramp: f32, rng: &mut Xoshiro256PlusPlus) -> f32 {
        let target = self.table.at(index);
        let estimate = target.estimate(self.averages, self.policy.slots, ramp, self.now);
        estimate.expected_us(self.averages) * (1.0 + TIE_SHARE * rng.random::<f32>())
    }

    fn ramp(&self, index: u32) -> f32 {
        if self.table.all_warm(self.now) {
            return 1.0;
        }
        let target = self.table.at(index);
        self.table
            .relative_ramp(target, self.policy.cold_ramp_ms, self.now)
    }

    fn is_excluded(&self, index: u32) -> bool {
        self.exclude.contains(&TargetIndex(index))
    }
}

/// Excludes a cold target from most choices. Its score alone is not enough: the
/// target is idle, so every entry would find it the best one.
fn is_held_back(ramp: f32, rng: &mut Xoshiro256PlusPlus) -> bool {
    ramp < 1.0 && rng.random::<f32>() >= ramp
}

fn keep_lower(best: &mut Option<(u32, f32)>, index: u32, cost: f32) {
    if best.is_none_or(|(_, known)| cost < known) {
        *best = Some((index, cost));
    }
}
