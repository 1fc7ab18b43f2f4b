//! The queue, ordered by class, then by deadline, then by arrival.

use std::collections::BTreeSet;

use strum::VariantArray;

use super::RunId;
use crate::prelude::*;

/// Every this many calls, the next one is taken from the classes in rotation
/// and not from the highest class, so that a steady load of higher classes
/// cannot starve the others.
const FAIR_TURN_EVERY: u32 = 8;

const CLASSES: usize = CallClass::VARIANTS.len();

/// Position of a call within its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) deadline_at: Millis,
    /// Increases with each arrival, so it orders calls with equal deadlines.
    pub(super) run: RunId,
}

/// Calls that wait for a slot.
#[derive(Debug, Default)]
pub(super) struct Queue {
    by_class: [BTreeSet<QueuePosition>; CLASSES],
    len: usize,
    taken: u32,
    fair_class: usize,
}

impl Queue {
    pub(super) const fn len(&self) -> usize {
        self.len
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(super) fn insert(&mut self, class: CallClass, position: QueuePosition) {
        self.len += usize::from(self.by_class[rank(class)].insert(position));
    }

    pub(super) fn remove(&mut self, class: CallClass, position: &QueuePosition) {
        self.len -= usize::from(self.by_class[rank(class)].remove(position));
    }

    /// Removes and returns the call to serve next.
    pub(super) fn pop(&mut self) -> Option<QueuePosition> {
        if self.is_empty() {
            return None;
        }
        self.taken = self.taken.wrapping_add(1);
        if self.taken.is_multiple_of(FAIR_TURN_EVERY) {
            return self.pop_fair();
        }
        for positions in &mut self.by_class {
            let Some(position) = positions.pop_first() else {
                continue;
            };
            self.len -= 1;
            return Some(position);
        }
        None
    }

    /// Returns how many calls would be served before a new one. Counting stops
    /// above `max_counted`, so that an arrival costs no more with a long queue than
    /// with a short one.
    pub(super) fn ahead(&self, class: CallClass, deadline_at: Millis, max_counted: usize) -> usize {
        let mut ahead = 0;
        for positions in &self.by_class[..rank(class)] {
            ahead += positions.len();
        }
        let new_position = QueuePosition {
            deadline_at,
            run: RunId(u64::MAX),
        };
        for _ in self.by_class[rank(class)].range(..new_position) {
            if ahead > max_counted {
                break;
            }
            ahead += 1;
        }
        ahead
    }

    /// Returns the call that a call of `class` may displace from a full queue:
    /// the last one of the lowest class, if that class ranks below `class`.
    ///
    /// The only waiting call of a class is never displaced. Otherwise a steady
    /// load of higher classes would displace each call of the class before its
    /// fair turn, and the class would starve.
    pub(super) fn displaceable(&self, class: CallClass) -> Option<RunId> {
        for positions in self.by_class[rank(class) + 1..].iter().rev() {
            if positions.len() < 2 {
                continue;
            }
            return positions.last().map(|position| position.run);
        }
        None
    }

    /// Returns all queued calls in the order in which they are served, ignoring
    /// fair turns.
    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuePosition> {
        self.by_class.iter().flatten()
    }

    fn pop_fair(&mut self) -> Option<QueuePosition> {
        for _ in 0..CLASSES {
            self.fair_class = (self.fair_class + 1) % CLASSES;
            let Some(position) = self.by_class[self.fair_class].pop_first() else {
                continue;
            };
            self.len -= 1;
            return Some(position);
        }
        None
    }
}

const fn rank(class: CallClass) -> usize {
    class as usize
}
