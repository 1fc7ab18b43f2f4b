//! Slots that a gate reserves for short work.

use crate::prelude::*;

/// Work counts as long if it takes at least this many times as long as the shortest
/// recent work.
const MIN_LENGTH_RATIO: u64 = 3;
/// Slots are reserved for this many times the mean number of slots that short work takes,
/// since it comes in bursts.
const RESERVE_FACTOR: f64 = 2.0;
/// At most the number of slots divided by this is reserved, since long work would starve
/// beyond it. A quarter was better than an eighth in a run where half of a service's
/// targets were lost: 330 against 846 failed payments of 6,497, and 1,623 without any
/// reservation.
const MAX_RESERVED_DIVISOR: u32 = 4;
/// Time over which short work is averaged. A service that is called a few times a second
/// keeps its reservation; one that is no longer called gives it up soon.
pub(crate) const RECENT_WINDOW_MS: Millis = Millis(1_000);

/// Tracks the short work that arrived recently, if any.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShortWork {
    recent: Option<RecentWork>,
}

/// The shortest recent work, together with work of about the same length.
#[derive(Clone, Copy, Debug)]
struct RecentWork {
    shortest_ms: Millis,
    /// Time at which such work last arrived.
    updated_at: Millis,
    /// Sum of the run times requested until then, decayed to about a third (by a factor
    /// of e) per [`RECENT_WINDOW_MS`].
    demand_ms: f64,
}

impl ShortWork {
    /// Records that work of this length has arrived.
    pub fn note_call(&mut self, work_ms: Millis, now: Millis) {
        let recent = self.recent(now);
        let mut recent = match recent {
            Some(recent) if !is_much_longer(recent.shortest_ms, work_ms) => recent,
            _ => RecentWork {
                shortest_ms: work_ms,
                updated_at: now,
                demand_ms: 0.0,
            },
        };
        if !is_much_longer(work_ms, recent.shortest_ms) {
            recent.demand_ms = recent.demand_ms(now) + work_ms.0 as f64;
            recent.updated_at = now;
            recent.shortest_ms = work_ms.min(recent.shortest_ms);
        }
        self.recent = Some(recent);
    }

    /// Returns how many of a target's slots work of this length must leave free.
    ///
    /// Guards against payments that are lost because a short call is refused. When a
    /// service has lost half of its targets, long uploads hold the slots of the rest.
    /// Targets of other services make short calls to it, each on behalf of a payment. A
    /// short call that is refused for lack of a slot costs a whole payment, although five
    /// of them take no longer than one upload. Priority in the queue is not enough, since
    /// most calls are refused before they are queued. With slots left free, most of them
    /// start at once, and uploads lose little.
    #[must_use]
    pub fn reserved_slots(&self, work_ms: Millis, slots: u32, now: Millis) -> u32 {
        let Some(recent) = self.recent(now) else {
            return 0;
        };
        if !is_much_longer(work_ms, recent.shortest_ms) {
            return 0;
        }
        let mean_slots = recent.demand_ms(now) / RECENT_WINDOW_MS.0 as f64;
        let reserved = (mean_slots * RESERVE_FACTOR).round() as u32;
        reserved.min(slots / MAX_RESERVED_DIVISOR)
    }

    fn recent(&self, now: Millis) -> Option<RecentWork> {
        self.recent
            .filter(|recent| now.since(recent.updated_at) <= RECENT_WINDOW_MS)
    }
}

impl RecentWork {
    /// Returns the run times requested recently. Divided by [`RECENT_WINDOW_MS`], this is
    /// the mean number of slots that they take.
    fn demand_ms(&self, now: Millis) -> f64 {
        let age = now.since(self.updated_at).0 as f64 / RECENT_WINDOW_MS.0 as f64;
        self.demand_ms * (-age).exp()
    }
}

/// Returns whether work is so much longer than other work that it yields to it.
const fn is_much_longer(work_ms: Millis, other_ms: Millis) -> bool {
    other_ms.0 * MIN_LENGTH_RATIO <= work_ms.0
}
