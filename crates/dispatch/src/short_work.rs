//! How many slots a gate leaves to short work.

use crate::prelude::*;

/// Work is long beside other work that takes at most this part of its time.
const MIN_LENGTH_RATIO: u64 = 3;
/// Times the mean number of slots that short work takes is left to it, since it
/// comes in bursts ...
const RESERVE_FACTOR: f64 = 2.0;
/// ... and this part of all slots at most: beyond it long work would starve. A
/// quarter was better than an eighth where half of a service's targets were lost
/// (330 against 846 failed payments of 6,497, and 1,623 without).
const MAX_RESERVED_DIVISOR: u32 = 4;
/// Span over which short work is counted: a service that is asked a few times a
/// second keeps its share, one that is not gives it back soon.
pub(crate) const RECENT_WINDOW_MS: Millis = Millis(1_000);

/// The short work that came lately, if any.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShortWork {
    recent: Option<RecentWork>,
}

/// The shortest work that came lately, with what is about as short.
#[derive(Clone, Copy, Debug)]
struct RecentWork {
    shortest_ms: Millis,
    /// When such work last came.
    updated_at: Millis,
    /// Run times that were asked for until then, those of [`RECENT_WINDOW_MS`] before at
    /// a third.
    demand_ms: f64,
}

impl ShortWork {
    /// Work of this length is asked for.
    pub fn note_call(&mut self, work_ms: Millis, now: Millis) {
        let known = self.recent(now);
        let mut known = match known {
            Some(known) if !is_much_longer(known.shortest_ms, work_ms) => known,
            _ => RecentWork {
                shortest_ms: work_ms,
                updated_at: now,
                demand_ms: 0.0,
            },
        };
        if !is_much_longer(work_ms, known.shortest_ms) {
            known.demand_ms = known.demand_ms(now) + work_ms.0 as f64;
            known.updated_at = now;
            known.shortest_ms = work_ms.min(known.shortest_ms);
        }
        self.recent = Some(known);
    }

    /// How many of a target's slots work of this length leaves free.
    ///
    /// Failure answered: a service has lost half of its targets, and long uploads
    /// hold the slots of the rest. Targets of other services ask it short questions,
    /// each for a payment of their own. Refused for want of a slot, a question costs
    /// a whole payment, though five of them take no longer than one upload. To go
    /// first in the line is not enough: most calls are refused before they stand in
    /// one. With slots left free they mostly start at once, and uploads lose little.
    #[must_use]
    pub fn slots_reserved_from(&self, work_ms: Millis, slots: u32, now: Millis) -> u32 {
        let Some(known) = self.recent(now) else {
            return 0;
        };
        if !is_much_longer(work_ms, known.shortest_ms) {
            return 0;
        }
        let mean_slots = known.demand_ms(now) / RECENT_WINDOW_MS.0 as f64;
        let wanted = (mean_slots * RESERVE_FACTOR).round() as u32;
        wanted.min(slots / MAX_RESERVED_DIVISOR)
    }

    fn recent(&self, now: Millis) -> Option<RecentWork> {
        self.recent
            .filter(|known| now.since(known.updated_at) <= RECENT_WINDOW_MS)
    }
}

impl RecentWork {
    /// Run times that were asked for lately; divided by [`RECENT_WINDOW_MS`], the mean
    /// number of slots that they take.
    fn demand_ms(&self, now: Millis) -> f64 {
        let age = now.since(self.updated_at).0 as f64 / RECENT_WINDOW_MS.0 as f64;
        self.demand_ms * (-age).exp()
    }
}

/// Whether work is so much longer than other work that it gives way to it.
const fn is_much_longer(work_ms: Millis, other_ms: Millis) -> bool {
    other_ms.0 * MIN_LENGTH_RATIO <= work_ms.0
}
