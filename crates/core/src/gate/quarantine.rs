//! Suspects run alone: they wait until nothing runs, and nothing starts beside
//! them. Innocent calls get their turn between two suspects.

use std::collections::BTreeSet;

use super::RunId;
use super::queue::QueuePosition;
use crate::prelude::*;

/// Suspects that may wait at one gate.
const MAX_WAITING: usize = 16;

/// Longest time for which a suspect keeps the target to itself. One that hangs
/// must not take the target from everyone else.
const MAX_ALONE: Millis = Millis(1_000);

/// Longest time for which a suspect may hold others back until the target is
/// empty; one long upload must not stop the target.
const MAX_DRAIN: Millis = Millis(500);

/// The suspect that has the target to itself.
#[derive(Clone, Copy, Debug)]
struct Alone {
    run: RunId,
    until: Millis,
}

/// Suspects that wait or run.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    waiting: BTreeSet<QueuePosition>,
    alone: Option<Alone>,
    /// While set, nothing starts until the target is empty.
    drain_until: Option<Millis>,
    /// Innocent calls to be started before the next suspect.
    reserved_starts: u32,
}

impl Quarantine {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn has_room(&self) -> bool {
        self.waiting.len() < MAX_WAITING
    }

    /// No suspect waits or runs alone.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.alone.is_none()
    }

    /// Whether nothing may be started now.
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

    /// Whether the next turn is a suspect's. A drain once begun is not broken
    /// off by innocents that arrive meanwhile.
    pub(super) fn is_turn(&self, is_queue_empty: bool) -> bool {
        let is_due = self.reserved_starts == 0 || is_queue_empty || self.drain_until.is_some();
        !self.waiting.is_empty() && is_due
    }

    /// Holds others back until the target is empty; false when that has taken
    /// too long.
    pub(super) fn drain(&mut self, now: Millis) -> bool {
        let until = *self.drain_until.get_or_insert(now + MAX_DRAIN);
        now < until
    }

    /// Ends a suspect's turn: the next so many starts are for the innocent.
    pub(super) const fn reserve_starts(&mut self, starts: u32) {
        self.drain_until = None;
        self.reserved_starts = starts;
    }

    pub(super) fn begin_alone(&mut self, run: RunId, now: Millis) {
        let until = now + MAX_ALONE;
        self.alone = Some(Alone { run, until });
        self.drain_until = None;
    }

    /// Ends the turn of the suspect that runs alone; the next so many starts
    /// are for the innocent.
    pub(super) fn end_alone(&mut self, run: RunId, starts: u32) {
        if self.alone.is_some_and(|alone| alone.run == run) {
            self.alone = None;
            self.reserve_starts(starts);
        }
    }

    /// Ends the time of a suspect that has kept the target too long.
    pub(super) fn end_overdue(&mut self, now: Millis) -> Option<RunId> {
        let alone = self.alone.filter(|alone| alone.until <= now)?;
        self.alone = None;
        Some(alone.run)
    }

    pub(super) const fn count_regular_start(&mut self) {
        self.reserved_starts = self.reserved_starts.saturating_sub(1);
    }
}
