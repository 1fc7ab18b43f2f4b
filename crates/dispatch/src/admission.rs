//! When a gate starts a call in its target.

use std::collections::BTreeSet;

use crate::contention::{Chance, Contention};
use crate::knee::KneeEstimator;
use crate::prelude::*;
use crate::short_work::ShortWork;

#[cfg(test)]
mod tests;

/// A reading of the target's speed is good for this long. Neighbours on the
/// same host change it many times a second, so an older one says nothing.
const SPEED_READING_TTL_MS: Millis = Millis(10);
/// While calls wait for a slow spell to end, the speed is read this often.
const SPEED_READING_INTERVAL_MS: Millis = Millis(15);
/// Up to this share of the usual run time, in percent, a target counts as fast.
const MAX_FAST_PERCENT: u32 = 150;
/// Up to this share a target is moderately slow, as one is for some seconds
/// after its start. It is taken where nothing is lost by it: where the call
/// still meets its objective, or misses it at usual speed as well. After all
/// targets of a service were restarted at once there is nothing faster.
const MAX_MODERATE_PERCENT: u32 = 250;
/// Slots taken for granted before the target's entry is known.
const DEFAULT_SLOTS: u32 = 4;
/// A target that refused a connection is left alone for this long.
const DOWN_PERIOD_MS: Millis = Millis(150);

/// How fast a target's VM was at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedReading {
    /// Time that work takes, in percent of the usual.
    pub slowness_percent: u32,
    /// When it was read.
    pub read_at: Millis,
}

/// A call as a gate decides about it; times are in the gate's clock.
#[derive(Clone, Copy, Debug)]
pub struct GateCall {
    /// Rank of its route; 0 goes first.
    pub priority: u8,
    /// Mean run time of its route at usual speed.
    pub work_ms: Millis,
    /// It may wait here until then.
    pub queue_until: Millis,
    /// Its caller is served well if it ends by then.
    pub objective_at: Millis,
    /// The span in which a newcomer of its kind is served well.
    pub whole_objective_ms: Millis,
    /// From then on it takes a slow target too.
    pub slow_from: Millis,
    /// It must have ended by then.
    pub deadline_at: Millis,
}

impl GateCall {
    /// Its run time at a speed in percent of the usual time.
    fn run_at(&self, slowness_percent: u32) -> Millis {
        Millis(self.work_ms.0 * u64::from(slowness_percent) / 100)
    }
}

/// Why a gate does not take a call; in every case it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refused {
    /// The gate takes no new work.
    Leaving,
    /// The target cannot be reached.
    Down,
    /// The target is in a slow spell.
    Slow,
    /// No slot is free soon enough.
    Busy,
    /// The deadline would pass first.
    Late,
}

/// What to do with a call now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to the target.
    Start,
    /// Read the target's speed and ask again.
    ReadSpeed,
    /// Ask again when a slot has come free, or at this time.
    Wait(Millis),
    /// Refuse it.
    Refuse(Refused),
}

/// A call's place in the line of a gate: by rank, then those that can still meet
/// their objective, then the shorter work, then by arrival.
///
/// A call that is late already loses little by waiting longer, and one that is
/// not would become late behind it: in an overload all would be late.
///
/// Short work first, because it is mostly what targets ask of each other while
/// they hold a slot for their own caller. Behind a line of long uploads such a
/// call misses its deadline, and the work that waits for it is lost as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    priority: u8,
    misses_objective: bool,
    work_ms: Millis,
    sequence: u64,
}

/// Admission of one gate.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    in_flight: u32,
    knee: KneeEstimator,
    contention: Contention,
    /// Calls in line.
    queue: BTreeSet<QueuePosition>,
    last_sequence: u64,
    speed: Option<SpeedReading>,
    short_work: ShortWork,
    leaving: bool,
    down_until: Millis,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            slots: DEFAULT_SLOTS,
            in_flight: 0,
            knee: KneeEstimator::default(),
            contention: Contention::default(),
            queue: BTreeSet::new(),
            last_sequence: 0,
            speed: None,
            short_work: ShortWork::default(),
            leaving: false,
            down_until: Millis::ZERO,
        }
    }
}

impl Admission {
    /// Takes over how many requests the target runs at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.knee.set_slots(self.slots);
    }

    /// Learns from a run that was answered well: `running` requests ran when it
    /// began, at this speed of the VM.
    pub fn learn_run(
        &mut self,
        running: u32,
        slowness_percent: u32,
        work_ms: Millis,
        ran_ms: Millis,
        now: Millis,
    ) {
        // Cold targets count too: all of them are, after a loss of power, and a knee
        // is felt most when every caller is back at once.
        if slowness_percent > MAX_MODERATE_PERCENT {
            return;
        }
        let usual_ms = work_ms.0.max(1) as f64 * f64::from(slowness_percent.max(1)) / 100.0;
        self.knee.learn(running, ran_ms.0 as f64 / usual_ms, now);
    }

    /// Forgets what was learnt of the target, which has started again.
    pub fn forget_target(&mut self) {
        self.speed = None;
        self.down_until = Millis::ZERO;
        self.knee.forget();
    }

    /// From now on (or no longer) refuses new work.
    pub const fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether new work is refused.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Requests that the target runs at once.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Calls running in the target.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Calls in line.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Takes in a reading of the target's speed.
    pub fn note_speed(&mut self, reading: SpeedReading) {
        let is_newer = self
            .speed
            .is_none_or(|known| reading.read_at >= known.read_at);
        if is_newer {
            self.speed = Some(reading);
        }
    }

    /// The last reading, if it still says something.
    #[must_use]
    pub fn fresh_speed(&self, now: Millis) -> Option<SpeedReading> {
        let reading = self.speed?;
        (now.since(reading.read_at) <= SPEED_READING_TTL_MS).then_some(reading)
    }

    /// The target refused a connection.
    pub fn note_connection_refused(&mut self, now: Millis) {
        self.down_until = now + DOWN_PERIOD_MS;
    }

    /// Puts a call in line.
    pub fn enqueue(&mut self, call: &GateCall, now: Millis) -> QueuePosition {
        self.last_sequence += 1;
        self.short_work.note_call(call.work_ms, now);
        let position = QueuePosition {
            priority: call.priority,
            misses_objective: now + call.work_ms > call.objective_at,
            work_ms: call.work_ms,
            sequence: self.last_sequence,
        };
        self.queue.insert(position);
        position
    }

    /// Takes a call out of the line without starting it.
    pub fn dequeue(&mut self, position: QueuePosition) {
        self.queue.remove(&position);
    }

    /// Takes a call out of the line and counts it as running.
    pub fn start(&mut self, position: QueuePosition) {
        self.queue.remove(&position);
        self.in_flight += 1;
    }

    /// A run has ended, in whatever way.
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Decides about a call in line.
    #[must_use]
    pub fn decide(&mut self, position: QueuePosition, call: &GateCall, now: Millis) -> Verdict {
        if self.leaving {
            return Verdict::Refuse(Refused::Leaving);
        }
        if now < self.down_until {
            return Verdict::Refuse(Refused::Down);
        }
        if now + call.work_ms > call.deadline_at && self.in_flight > 0 || now >= call.deadline_at {
            return Verdict::Refuse(Refused::Late);
        }
        let limit = self
            .limit()
            .saturating_sub(
                self.short_work
                    .slots_reserved_from(call.work_ms, self.slots, now),
            );
        let limit = limit.max(1);
        let ahead = self.queue.range(..position).count() as u32;
        let free_slots = limit.saturating_sub(self.in_flight);
        if ahead >= free_slots {
            let verdict = self.wait_for_slot(call, ahead - free_slots, limit, now);
            if verdict == Verdict::Refuse(Refused::Busy) {
                self.note_rejected(call, now);
            }
            return verdict;
        }
        let Some(speed) = self.fresh_speed(now) else {
            return Verdict::ReadSpeed;
        };
        if is_fast_enough(call, speed.slowness_percent, now) {
            let run_ms = call.run_at(speed.slowness_percent);
            let chance = Chance::of(call, run_ms, now);
            if self.contention.must_yield(call.priority, chance, now) {
                return Verdict::Refuse(Refused::Busy);
            }
            return Verdict::Start;
        }
        if now >= call.queue_until {
            return Verdict::Refuse(Refused::Slow);
        }
        Verdict::Wait((speed.read_at + SPEED_READING_INTERVAL_MS).min(call.queue_until))
    }

    /// Requests that are run at once: as many as do not slow each other down.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        match self.knee.limit() {
            // Nothing is known of the target yet.
            0 => self.slots,
            limit => limit,
        }
    }

    fn note_rejected(&mut self, call: &GateCall, now: Millis) {
        let slowness_percent = self.speed.map_or(100, |speed| speed.slowness_percent);
        // In a slow spell nothing would be in time; it is over when a slot is free.
        let run_ms = call.run_at(slowness_percent.min(MAX_MODERATE_PERCENT));
        let chance = Chance::of(call, run_ms, now);
        self.contention
            .note_rejected(call.priority, chance, run_ms, now);
    }

    /// A call that would wait longer than it may is told at once.
    fn wait_for_slot(&self, call: &GateCall, ahead: u32, limit: u32, now: Millis) -> Verdict {
        let mut work_ms = call.work_ms.0;
        for position in &self.queue {
            work_ms = work_ms.max(position.work_ms.0);
        }
        let wait = Millis(work_ms * u64::from(ahead + 1) / u64::from(limit.max(1)));
        if now + wait > call.queue_until {
            return Verdict::Refuse(Refused::Busy);
        }
        Verdict::Wait(call.queue_until)
    }
}

/// Whether a call should start at this speed.
fn is_fast_enough(call: &GateCall, slowness_percent: u32, now: Millis) -> bool {
    if slowness_percent <= MAX_FAST_PERCENT {
        return true;
    }
    let ends_at = now + call.run_at(slowness_percent);
    if ends_at > call.deadline_at {
        return false;
    }
    if now >= call.slow_from {
        return true;
    }
    let meets_objective = ends_at <= call.objective_at;
    let misses_it_anyway = now + call.work_ms > call.objective_at;
    slowness_percent <= MAX_MODERATE_PERCENT && (meets_objective || misses_it_anyway)
}
