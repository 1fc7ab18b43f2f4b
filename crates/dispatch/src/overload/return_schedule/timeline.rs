//! How the capacity that is set aside for retries of one service is divided in time.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Minimum wait of a refused caller. Its answer and its retry travel about this long.
const MIN_WAIT_MS: Millis = Millis(20);
/// Time over which the wishes of each class are averaged.
const WISH_WINDOW_MS: Millis = Millis(1_000);
/// Share of the capacity up to which the wishes of more urgent classes are served from the
/// gaps that remain anyway.
const NEGLIGIBLE_SHARE: f64 = 0.05;
/// Span by which retries may arrive closer together than they were reserved. Callers'
/// times on the network differ by less.
const RELEASE_TOLERANCE_MS: Millis = Millis(50);
/// Span over which callers without a reservation are spread, so that they do not return
/// together.
const SPREAD_MS: Millis = Millis(1_000);

/// A reservation on the timeline.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slot {
    /// Fingerprint and deadline of the request.
    pub(super) id: (u64, Millis),
    class: LoadClass,
    work_ms: Millis,
    /// Time that the reservation took of the capacity when it was made.
    length_ms: Millis,
}

/// Reservations in the order of their times.
///
/// Each takes a span that the capacity set aside needs for its run. The spans follow from
/// the present rate: when the rate falls, reservations that were made at the earlier rate
/// take longer, so that further ones come later.
#[derive(Debug)]
pub(super) struct Timeline {
    /// Reservations by time, used ones included. Spans are at least a millisecond long, so
    /// that no two have the same time.
    slots: BTreeMap<Millis, Slot>,
    /// Time that the capacity needs for one millisecond of work, in milliseconds.
    stretch: f64,
    /// End of the spans of slots that were removed.
    busy_until: Millis,
    /// End of the spans of retries that were admitted.
    released_until: Millis,
    /// Time that the last caller without a reservation was told, plus its span.
    spread_until: Millis,
    wishes: [Wishes; LOAD_CLASSES],
}

impl Default for Timeline {
    fn default() -> Self {
        Self {
            slots: BTreeMap::new(),
            stretch: 1.0,
            busy_until: Millis::ZERO,
            released_until: Millis::ZERO,
            spread_until: Millis::ZERO,
            wishes: [Wishes::default(); LOAD_CLASSES],
        }
    }
}

impl Timeline {
    /// Sets the rate at which calls with this work can be served.
    pub(super) fn set_rate(&mut self, rate_per_s: f64, work_ms: Millis) {
        self.stretch = 1_000.0 / rate_per_s / work_ms.0 as f64;
    }

    /// Returns the first time with an unused span for a call.
    ///
    /// Less urgent classes come behind all reservations of more urgent ones. They also
    /// leave every second span (or more) unused while more urgent callers are refused,
    /// because reservations are not revoked in favour of those.
    pub(super) fn first_free(&self, class: LoadClass, work_ms: Millis, now: Millis) -> Millis {
        let length_ms = self.length_of(work_ms);
        let earliest = self.earliest_for(class, length_ms, now);
        let mut free_from = self.busy_until;
        for (at, slot) in &self.slots {
            let start = free_from.max(earliest);
            if start + length_ms <= *at {
                return start;
            }
            free_from = free_from.max(*at) + self.length_of(slot.work_ms);
        }
        free_from.max(earliest)
    }

    fn earliest_for(&self, class: LoadClass, length_ms: Millis, now: Millis) -> Millis {
        let stride = stride_beside(self.urgent_share(class, now));
        let mut earliest = now + MIN_WAIT_MS;
        for (at, slot) in &self.slots {
            if slot.class < class {
                earliest = earliest.max(*at + self.length_of(slot.work_ms));
            }
            if slot.class >= class && stride > 1 {
                earliest = earliest.max(*at + Millis(length_ms.0.saturating_mul(stride)));
            }
        }
        earliest
    }

    /// Returns whether more urgent callers claim the whole capacity.
    pub(super) fn is_crowded_out(&self, class: LoadClass, now: Millis) -> bool {
        self.urgent_share(class, now) >= 1.0
    }

    /// Records that a call of this class was refused.
    pub(super) fn note_wish(&mut self, class: LoadClass, work_ms: Millis, now: Millis) {
        let length_ms = self.length_of(work_ms);
        self.wishes[class.index()].note(length_ms, now);
    }

    /// Adds a reservation at a time that [`Self::first_free`] has returned.
    pub(super) fn insert(
        &mut self,
        at: Millis,
        class: LoadClass,
        work_ms: Millis,
        id: (u64, Millis),
    ) {
        let length_ms = self.length_of(work_ms);
        let slot = Slot {
            id,
            class,
            work_ms,
            length_ms,
        };
        let replaced = self.slots.insert(at, slot);
        assert!(replaced.is_none(), "two reservations at one time");
    }

    /// Admits the retry of the reservation at `at`. Returns false if so many retries were
    /// admitted just now that this one would add to a burst.
    pub(super) fn release(&mut self, at: Millis, now: Millis) -> bool {
        let Some(slot) = self.slots.get(&at) else {
            return false;
        };
        // At a rate that has fallen since, the reservation is kept as it was given.
        let length_ms = slot.length_ms.min(self.length_of(slot.work_ms));
        let backlog_ms = self.released_until.since(now);
        if backlog_ms > length_ms + RELEASE_TOLERANCE_MS {
            return false;
        }
        self.released_until = self.released_until.max(now) + length_ms;
        true
    }

    /// Returns the time for a caller without a reservation, given the first time with an
    /// unused span.
    pub(super) fn spread(&mut self, free_at: Millis, work_ms: Millis) -> Millis {
        let is_within = (free_at..=free_at + SPREAD_MS).contains(&self.spread_until);
        let at = match is_within {
            true => self.spread_until,
            false => free_at,
        };
        self.spread_until = at + self.length_of(work_ms);
        at
    }

    /// Removes the first reservation if its time meets a condition.
    pub(super) fn pop_first_if(
        &mut self,
        is_past: impl FnOnce(Millis) -> bool,
    ) -> Option<(Millis, Slot)> {
        let first = self.slots.first_entry()?;
        if !is_past(*first.key()) {
            return None;
        }
        let (at, slot) = first.remove_entry();
        self.busy_until = self.busy_until.max(at) + self.length_of(slot.work_ms);
        Some((at, slot))
    }

    /// Returns the number of reservations, used ones included.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether nothing on the timeline affects later reservations.
    pub(super) fn is_unused(&self, now: Millis) -> bool {
        let ends_at = self.busy_until.max(self.released_until);
        self.slots.is_empty() && ends_at <= now && self.wishes.iter().all(|w| w.is_past(now))
    }

    fn length_of(&self, work_ms: Millis) -> Millis {
        let length_ms = (work_ms.0 as f64 * self.stretch).ceil();
        Millis((length_ms as u64).max(1))
    }

    /// Returns the share of the capacity that refused callers of more urgent classes claim.
    fn urgent_share(&self, class: LoadClass, now: Millis) -> f64 {
        let mut claimed_ms = 0.0;
        for wishes in &self.wishes[..class.index()] {
            claimed_ms += wishes.claimed_ms(now);
        }
        claimed_ms / WISH_WINDOW_MS.0 as f64
    }
}

/// Time on the timeline that refused callers of one class have claimed, decayed to about a
/// third (by a factor of e) per [`WISH_WINDOW_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct Wishes {
    claimed_ms: f64,
    updated_at: Millis,
}

impl Wishes {
    fn note(&mut self, length_ms: Millis, now: Millis) {
        self.claimed_ms = self.claimed_ms(now) + length_ms.0 as f64;
        self.updated_at = now;
    }

    fn claimed_ms(&self, now: Millis) -> f64 {
        let age = now.since(self.updated_at).0 as f64 / WISH_WINDOW_MS.0 as f64;
        self.claimed_ms * (-age).exp()
    }

    fn is_past(&self, now: Millis) -> bool {
        now.since(self.updated_at) > WISH_WINDOW_MS
    }
}

/// Returns how many spans apart the reservations of a class are, so that the given share
/// of the capacity is left to more urgent classes.
fn stride_beside(urgent_share: f64) -> u64 {
    if !(NEGLIGIBLE_SHARE..1.0).contains(&urgent_share) {
        return 1;
    }
    (1.0 / (1.0 - urgent_share)).ceil() as u64
}
