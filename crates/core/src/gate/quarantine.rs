//! Suspects run alone: they wait until nothing runs, and nothing starts beside
//! them. Innocent calls get their turn between two suspects.

use std::collections::BTreeSet;

use super::RunId;
use super::queue::Place;
use crate::prelude::*;

/// Suspects that may wait at one gate.
const MAX_HELD: usize = 16;

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
    held: BTreeSet<Place>,
    alone: Option<Alone>,
    /// While set, nothing starts until the target is empty.
    drain_until: Option<Millis>,
    /// Innocent calls to be started before the next suspect.
    owed: u32,
}

impl Quarantine {
    pub(super) fn len(&self) -> usize {
        self.held.len()
    }

    pub(super) fn has_room(&self) -> bool {
        self.held.len() < MAX_HELD
    }

    /// No suspect waits or runs alone.
    pub(super) fn is_idle(&self) -> bool {
        self.held.is_empty() && self.alone.is_none()
    }

    /// Whether nothing may be started now.
    pub(super) const fn blocks(&self) -> bool {
        self.alone.is_some() || self.drain_until.is_some()
    }

    pub(super) const fn is_running_alone(&self) -> bool {
        self.alone.is_some()
    }

    pub(super) fn insert(&mut self, place: Place) {
        self.held.insert(place);
    }

    pub(super) fn remove(&mut self, place: &Place) {
        self.held.remove(place);
        if self.held.is_empty() {
            self.drain_until = None;
        }
    }

    pub(super) fn first(&self) -> Option<Place> {
        self.held.first().copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Place> {
        self.held.iter()
    }

    /// Whether the next turn is a suspect's. A drain once begun is not broken
    /// off by innocents that arrive meanwhile.
    pub(super) fn is_turn(&self, no_innocent_waits: bool) -> bool {
        let is_due = self.owed == 0 || no_innocent_waits || self.drain_until.is_some();
        !self.held.is_empty() && is_due
    }

    /// Holds others back until the target is empty; false when that has taken
    /// too long.
    pub(super) fn drain(&mut self, now: Millis) -> bool {
        let until = *self.drain_until.get_or_insert(now + MAX_DRAIN);
        now < until
    }

    /// Ends a suspect's turn: the next so many starts are for the innocent.
    pub(super) const fn owe(&mut self, innocents: u32) {
        self.drain_until = None;
        self.owed = innocents;
    }

    pub(super) fn begin_alone(&mut self, run: RunId, now: Millis) {
        let until = now + MAX_ALONE;
        self.alone = Some(Alone { run, until });
        self.drain_until = None;
    }

    /// Ends the turn of the suspect that runs alone; the next so many starts
    /// are for the innocent.
    pub(super) fn end_alone(&mut self, run: RunId, innocents: u32) {
        if self.alone.is_some_and(|alone| alone.run == run) {
            self.alone = None;
            self.owe(innocents);
        }
    }

    /// Ends the time of a suspect that has kept the target too long.
    pub(super) fn end_overlong(&mut self, now: Millis) -> Option<RunId> {
        let alone = self.alone.filter(|alone| alone.until <= now)?;
        self.alone = None;
        Some(alone.run)
    }

    pub(super) const fn note_innocent_start(&mut self) {
        self.owed = self.owed.saturating_sub(1);
    }
}
