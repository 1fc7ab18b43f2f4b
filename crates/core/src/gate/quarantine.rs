//! Suspects run alone: they wait until no call is running, and no other call
//! starts beside them. Other calls get their turn between two suspects.

use std::collections::BTreeSet;

use super::RunId;
use super::queue::QueuePosition;
use crate::prelude::*;

/// Maximum number of suspects waiting at one gate.
const MAX_WAITING: usize = 16;

/// Maximum time for which a suspect runs alone. A suspect that hangs must not
/// block the target for all others.
const MAX_ALONE: Millis = Millis(1_000);

/// Maximum time for which other calls are held back until the target is idle.
/// One long upload must not block the target.
const MAX_DRAIN: Millis = Millis(500);

/// The suspect that is running alone.
#[derive(Clone, Copy, Debug)]
struct Alone {
    run: RunId,
    until: Millis,
}

/// Suspects that are waiting or running.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    waiting: BTreeSet<QueuePosition>,
    alone: Option<Alone>,
    /// While set, no call starts until the target is idle.
    drain_until: Option<Millis>,
    /// Number of other calls to start before the next suspect.
    reserved_starts: u32,
}

impl Quarantine {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn has_room(&self) -> bool {
        self.waiting.len() < MAX_WAITING
    }

    /// Whether no suspect is waiting or running alone.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.alone.is_none()
    }

    /// Whether no call may start now.
    pub(super) const fn blocks(&self) -> bool {
        self.alone.is_some() || self.drain_until.is_some()
    }

    pub(super) const fn is_running_alone(&self) -> bool {
        self.alone.is_some()
    }

    pub(super) fn insert(&mut self, position: QueuePosition) {
        self.waiting.insert(position);
    }

    pub(super) fn remove(&mut self, position: &QueuePosition) {
        self.waiting.remove(position);
        if self.waiting.is_empty() {
            self.drain_until = None;
        }
    }

    pub(super) fn first(&self) -> Option<QueuePosition> {
        self.waiting.first().copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuePosition> {
        self.waiting.iter()
    }

    /// Whether the next turn is a suspect's. A drain that has begun continues
    /// although other calls arrive meanwhile.
    pub(super) fn is_turn(&self, is_queue_empty: bool) -> bool {
        let is_due = self.reserved_starts == 0 || is_queue_empty || self.drain_until.is_some();
        !self.waiting.is_empty() && is_due
    }

    /// Holds other calls back until the target is idle; returns false if that
    /// has taken too long.
    pub(super) fn drain(&mut self, now: Millis) -> bool {
        let until = *self.drain_until.get_or_insert(now + MAX_DRAIN);
        now < until
    }

    /// Ends a suspect's turn: the next `starts` starts are reserved for other
    /// calls.
    pub(super) const fn reserve_starts(&mut self, starts: u32) {
        self.drain_until = None;
        self.reserved_starts = starts;
    }

    pub(super) fn begin_alone(&mut self, run: RunId, now: Millis) {
        let until = now + MAX_ALONE;
        self.alone = Some(Alone { run, until });
        self.drain_until = None;
    }

    /// Ends the turn of the suspect that runs alone; the next `starts` starts
    /// are reserved for other calls.
    pub(super) fn end_alone(&mut self, run: RunId, starts: u32) {
        if self.alone.is_some_and(|alone| alone.run == run) {
            self.alone = None;
            self.reserve_starts(starts);
        }
    }

    /// Ends the exclusive time of a suspect that has run alone for too long.
    pub(super) fn end_overdue(&mut self, now: Millis) -> Option<RunId> {
        let alone = self.alone.filter(|alone| alone.until <= now)?;
        self.alone = None;
        Some(alone.run)
    }

    pub(super) const fn count_regular_start(&mut self) {
        self.reserved_starts = self.reserved_starts.saturating_sub(1);
    }
}
