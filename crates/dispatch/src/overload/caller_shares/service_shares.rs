//! Work of the callers of one service.

use super::decay::{self, Decay};
use super::recent_callers::{COVERED_MS, RecentCallers};
use super::{CallerId, Offer, ShareVerdict};
use crate::prelude::*;

/// Number of callers that are counted on their own (space-saving).
const COUNTERS: usize = 64;
/// A caller that offers more than this many times the equal share is limited.
const MAX_SHARES: f64 = 2.0;
/// Number of means that a limited caller may present to the admission level. The number of
/// callers is estimated, with an error of about a twentieth. At 1, callers of usual work are
/// limited as well in a deep overload, and turns that they cannot take go back to those who
/// offer most.
const MEAN_TOLERANCE: f64 = 1.1;
/// Time for which a new sketch limits nobody, since it has seen too little.
const WARM_UP_MS: Millis = Millis(1_000);
/// Maximum number of turns that wait for another caller. Further ones are left to the
/// caller that exceeds its share, because nobody else wants them.
const MAX_PASSED_ON: u32 = 4;
/// Time after which turns that nobody has taken lapse.
const PASSED_ON_TTL_MS: Millis = Millis(500);

/// Decayed work of one caller's calls of one class.
#[derive(Clone, Copy, Debug)]
struct Counter {
    caller: CallerId,
    class: LoadClass,
    /// Offered work, including `error`.
    offered: f64,
    /// Upper bound on the part of `offered` that belongs to callers which were counted here
    /// before.
    error: f64,
    /// Work that was not refused for the caller's share.
    presented: f64,
}

/// Decayed work of all callers of one class.
#[derive(Clone, Debug, Default)]
struct ClassWork {
    presented: f64,
    admitted: f64,
    callers: RecentCallers,
    passed_on: PassedOn,
}

/// Turns at the admission level that callers above their share have lost.
#[derive(Clone, Copy, Debug, Default)]
struct PassedOn {
    turns: u32,
    updated_at: Millis,
}

impl PassedOn {
    /// Adds a turn; returns false if enough of them wait.
    fn add(&mut self, now: Millis) -> bool {
        let turns = self.turns(now);
        if turns >= MAX_PASSED_ON {
            return false;
        }
        self.turns = turns + 1;
        self.updated_at = now;
        true
    }

    /// Takes a turn if there is one.
    fn take(&mut self, now: Millis) -> bool {
        let turns = self.turns(now);
        self.turns = turns.saturating_sub(1);
        turns > 0
    }

    fn turns(&self, now: Millis) -> u32 {
        match now.since(self.updated_at) <= PASSED_ON_TTL_MS {
            true => self.turns,
            false => 0,
        }
    }
}

/// Sketch of the callers of one service.
#[derive(Debug)]
pub(super) struct ServiceShares {
    first_offer_at: Millis,
    last_offer_at: Millis,
    decay: Decay,
    counters: Vec<Counter>,
    classes: [ClassWork; LOAD_CLASSES],
}

impl ServiceShares {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            first_offer_at: now,
            last_offer_at: now,
            decay: Decay::new(now),
            counters: Vec::new(),
            classes: Default::default(),
        }
    }

    /// Returns the time of the last call.
    pub(super) const fn last_offer_at(&self) -> Millis {
        self.last_offer_at
    }

    /// Counts a call and decides whether it is admitted.
    pub(super) fn decide(&mut self, offer: &Offer<'_>, now: Millis) -> ShareVerdict {
        self.last_offer_at = now;
        if let Some(factor) = self.decay.rebase(now) {
            self.scale(factor);
        }
        let work = offer.work_ms.0 as f64 * self.decay.weight(now);
        let index = self.counter(offer.caller, offer.class);
        self.counters[index].offered += work;
        let class = &mut self.classes[offer.class.index()];
        class.callers.note(offer.caller, now);
        let exceeds_share = offer.is_contended && self.exceeds_share(index, work, now);
        let class = &mut self.classes[offer.class.index()];
        if exceeds_share && (!offer.has_turn || class.passed_on.add(now)) {
            return ShareVerdict::ExceedsShare;
        }
        class.presented += work;
        self.counters[index].presented += work;
        if !offer.has_turn && !class.passed_on.take(now) {
            return ShareVerdict::NoTurn;
        }
        class.admitted += work;
        ShareVerdict::Admitted
    }

    /// Returns whether a caller exceeds its share with its present call, whose work is
    /// counted as offered, but not as presented.
    fn exceeds_share(&self, index: usize, work: f64, now: Millis) -> bool {
        if now.since(self.first_offer_at) < WARM_UP_MS {
            return false;
        }
        let counter = &self.counters[index];
        let class = &self.classes[counter.class.index()];
        let callers = class.callers.count(now);
        if callers.round() < 2.0 {
            return false;
        }
        let callers = callers * self.caller_weight(now);
        let own_work = counter.offered - counter.error;
        if own_work <= MAX_SHARES * class.admitted / callers {
            return false;
        }
        // In a deep overload every caller offers more than twice what it can get. All of
        // them then get the same number of turns. A call counts if the greater part of it
        // is beyond the limit, since callers of few calls would be rounded up or down.
        let is_first = counter.presented <= 0.0;
        let limit = MEAN_TOLERANCE * class.presented / callers;
        !is_first && counter.presented + work / 2.0 > limit
    }

    /// Returns the weight of a caller among the recent ones, so that work divided by callers
    /// is the work of a caller also while the sketch is new: the first work has lost some
    /// of its weight, but the first callers are still counted.
    fn caller_weight(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.first_offer_at).0 as f64;
        decay::total_weight_ms(age_ms) / age_ms.min(COVERED_MS)
    }

    /// Returns the index of the counter of a caller. If there are more callers than
    /// counters, the caller takes over the smallest one, whose value is its error.
    fn counter(&mut self, caller: CallerId, class: LoadClass) -> usize {
        let mut smallest = 0;
        for (index, counter) in self.counters.iter().enumerate() {
            if counter.caller == caller && counter.class == class {
                return index;
            }
            if counter.offered < self.counters[smallest].offered {
                smallest = index;
            }
        }
        let mut counter = Counter {
            caller,
            class,
            offered: 0.0,
            error: 0.0,
            presented: 0.0,
        };
        if self.counters.len() < COUNTERS {
            self.counters.push(counter);
            return self.counters.len() - 1;
        }
        counter.offered = self.counters[smallest].offered;
        counter.error = counter.offered;
        self.counters[smallest] = counter;
        smallest
    }

    fn scale(&mut self, factor: f64) {
        for counter in &mut self.counters {
            counter.offered *= factor;
            counter.error *= factor;
            counter.presented *= factor;
        }
        for class in &mut self.classes {
            class.presented *= factor;
            class.admitted *= factor;
        }
    }
}
