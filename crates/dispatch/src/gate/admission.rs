//! Admission control of a gate: decides when a call starts in its target.

use std::collections::BTreeSet;

use crate::gate::contention::{Chance, Contention};
use crate::gate::knee::KneeEstimator;
use crate::gate::room::{Lack, TargetBounds};
use crate::gate::send_log::SendLog;
use crate::gate::short_work::ShortWork;
use crate::gate::stated_limit::StatedLimit;
use crate::gate::warm_up::{Pace, WarmUpLimiter};
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Time for which a reading of the target's speed is valid. Other VMs on the same host
/// change the speed many times a second, so an older reading is useless.
const SPEED_READING_TTL_MS: Millis = Millis(10);
/// Interval between readings of the speed while calls wait for a slow spell to end.
const SPEED_READING_INTERVAL_MS: Millis = Millis(15);
/// Slowness, in percent of the usual run time, up to which a target counts as fast.
const MAX_FAST_PERCENT: u32 = 150;
/// Slowness, in percent of the usual run time, up to which a target counts as moderately
/// slow. Targets are moderately slow for some seconds after their start. Such a target is
/// used where this loses nothing: the call still meets its objective, or would miss it at
/// usual speed too. After all targets of a service were restarted at once, no faster
/// target exists.
const MAX_MODERATE_PERCENT: u32 = 250;
/// Slots assumed before the target's entry is known.
const DEFAULT_SLOTS: u32 = 4;
/// Time for which no call is sent to a target that refused a connection.
const DOWN_PERIOD_MS: Millis = Millis(150);

/// Speed of a target's VM at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedReading {
    /// Run time in percent of the usual run time.
    pub slowness_percent: u32,
    /// Time of the reading.
    pub read_at: Millis,
}

/// A call as admission control sees it. Times are in the gate's clock.
#[derive(Clone, Copy, Debug)]
pub struct GateCall {
    /// Priority of its route; 0 is the highest.
    pub priority: u8,
    /// Mean run time of its route at usual speed.
    pub work_ms: Millis,
    /// Time until which the call may wait in the queue.
    pub queue_until: Millis,
    /// Time by which the call should end to meet its latency objective.
    pub objective_at: Millis,
    /// Time that a new call of the same route has to meet the objective.
    pub whole_objective_ms: Millis,
    /// Time from which the call may start on a slow target.
    pub slow_from: Millis,
    /// Deadline by which the call must have ended.
    pub deadline_at: Millis,
}

impl GateCall {
    /// Returns the run time at a slowness in percent of the usual run time.
    fn run_at(&self, slowness_percent: u32) -> Millis {
        Millis(self.work_ms.0 * u64::from(slowness_percent) / 100)
    }
}

/// Reason why a gate refuses a call. A refused call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refused {
    /// The gate takes no new work.
    Leaving,
    /// The target cannot be reached.
    Down,
    /// The target is in a slow spell.
    Slow,
    /// No slot comes free soon enough.
    Busy,
    /// The deadline would pass before the call ends.
    Late,
    /// The target is warming up and has received as many requests as it tolerates.
    WarmingUp {
        /// When it may receive the next one.
        free_at: Millis,
    },
    /// The target has received as many requests as the limit that it states allows.
    RateLimited {
        /// When it may receive the next one.
        free_at: Millis,
    },
}

/// What to do with a call now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to the target.
    Start,
    /// Read the target's speed, then decide again.
    ReadSpeed,
    /// Decide again when a slot comes free, or at this time.
    Wait(Millis),
    /// Refuse it.
    Refuse(Refused),
}

/// Position of a call in a gate's queue: ordered by priority, then calls that can still
/// meet their objective, then shorter work, then arrival.
///
/// A call that already misses its objective loses little by waiting longer. A call that
/// can still meet it would miss it too if it waited behind the first one, and in an
/// overload all calls would miss theirs.
///
/// Shorter work goes first because most of it consists of calls that targets make to each
/// other while they hold a slot for their own caller. Queued behind long uploads, such a
/// call misses its deadline, and the work that waits for it is lost as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    priority: u8,
    misses_objective: bool,
    work_ms: Millis,
    sequence: u64,
}

/// Admission control of one gate.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    in_flight: u32,
    knee: KneeEstimator,
    contention: Contention,
    /// Queued calls.
    queue: BTreeSet<QueuePosition>,
    last_sequence: u64,
    speed: Option<SpeedReading>,
    short_work: ShortWork,
    sends: SendLog,
    warm_up: WarmUpLimiter,
    stated_limit: StatedLimit,
    leaving: bool,
    down_until: Millis,
}

impl Admission {
    /// Creates the admission control of a gate whose process started at `started_at`.
    #[must_use]
    pub fn new(started_at: Millis) -> Self {
        Self {
            slots: DEFAULT_SLOTS,
            in_flight: 0,
            knee: KneeEstimator::default(),
            contention: Contention::default(),
            queue: BTreeSet::new(),
            last_sequence: 0,
            speed: None,
            short_work: ShortWork::default(),
            sends: SendLog::default(),
            warm_up: WarmUpLimiter::new(started_at),
            stated_limit: StatedLimit::default(),
            leaving: false,
            down_until: Millis::ZERO,
        }
    }

    /// Sets how many requests the target runs at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.knee.set_slots(self.slots);
    }

    /// Learns from a successful run, which started with `running` requests in the target,
    /// itself included, at this slowness of the VM.
    pub fn learn_run(
        &mut self,
        running: u32,
        slowness_percent: u32,
        work_ms: Millis,
        ran_ms: Millis,
        now: Millis,
    ) {
        // Runs on cold targets count too. All targets are cold after a power loss, and a
        // knee matters most when all callers are back at once.
        if slowness_percent > MAX_MODERATE_PERCENT {
            return;
        }
        let usual_ms = work_ms.0.max(1) as f64 * f64::from(slowness_percent.max(1)) / 100.0;
        self.knee.learn(running, ran_ms.0 as f64 / usual_ms, now);
    }

    /// Discards what was learnt about the target, after the target has restarted.
    pub fn forget_target(&mut self) {
        self.speed = None;
        self.down_until = Millis::ZERO;
        self.knee.forget();
        self.warm_up.forget_report();
        self.stated_limit = StatedLimit::default();
    }

    /// Returns the limit on the requests to the target while it warms up.
    pub const fn warm_up(&mut self) -> &mut WarmUpLimiter {
        &mut self.warm_up
    }

    /// Returns the limit on requests that the target states.
    pub const fn stated_limit(&mut self) -> &mut StatedLimit {
        &mut self.stated_limit
    }

    /// Starts or stops refusing new work.
    pub const fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Returns whether new work is refused.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns what a call with this verdict lacks, if it was refused or has to wait for lack
    /// of a slot or of speed. A limit on the rate of requests is no such lack.
    #[must_use]
    pub fn lack_of(&self, verdict: Verdict, now: Millis) -> Option<Lack> {
        match verdict {
            Verdict::Refuse(Refused::Slow) => Some(Lack::Speed),
            Verdict::Refuse(Refused::Busy) => Some(Lack::Slot),
            Verdict::Wait(_) if self.bounds(now).max_requests_per_s.is_some() => None,
            Verdict::Wait(_) => {
                let speed = self.fresh_speed(now);
                let is_slow = speed.is_some_and(|speed| speed.slowness_percent > MAX_FAST_PERCENT);
                Some(if is_slow { Lack::Speed } else { Lack::Slot })
            }
            Verdict::Start | Verdict::ReadSpeed | Verdict::Refuse(_) => None,
        }
    }

    /// Returns what bounds the room of the target now.
    #[must_use]
    pub fn bounds(&self, now: Millis) -> TargetBounds {
        let stated_per_s = self.stated_limit.per_1000_s();
        let stated_per_s = stated_per_s.map(|per_1000_s| per_1000_s as f64 / 1_000.0);
        let warm_up_per_s = self.warm_up.max_requests_per_s(now);
        let max_requests_per_s = match (stated_per_s, warm_up_per_s) {
            (Some(stated), Some(warm_up)) => Some(stated.min(warm_up)),
            (stated, warm_up) => stated.or(warm_up),
        };
        TargetBounds {
            limit: self.limit(),
            max_requests_per_s,
            accepts_work: !self.leaving && now >= self.down_until,
        }
    }

    /// Returns how many requests the target runs at once.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns how many calls run in the target.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many calls are queued.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Records a reading of the target's speed, unless a later one is known.
    pub fn note_speed(&mut self, reading: SpeedReading) {
        let is_newer = self
            .speed
            .is_none_or(|known| reading.read_at >= known.read_at);
        if is_newer {
            self.speed = Some(reading);
        }
    }

    /// Returns the last speed reading if it is still valid.
    #[must_use]
    pub fn fresh_speed(&self, now: Millis) -> Option<SpeedReading> {
        let reading = self.speed?;
        (now.since(reading.read_at) <= SPEED_READING_TTL_MS).then_some(reading)
    }

    /// Records that the target refused a connection.
    pub fn note_connection_refused(&mut self, now: Millis) {
        self.down_until = now + DOWN_PERIOD_MS;
    }

    /// Adds a call to the queue.
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

    /// Removes a call from the queue without starting it.
    pub fn dequeue(&mut self, position: QueuePosition) {
        self.queue.remove(&position);
    }

    /// Removes a call from the queue and counts it as running.
    pub fn start(&mut self, position: QueuePosition) {
        self.queue.remove(&position);
        self.in_flight += 1;
        self.sends.note_admitted();
    }

    /// Records that the request of a call that counts as running is sent now.
    pub fn note_sent(&mut self, now: Millis) {
        self.sends.note_sent(now);
    }

    /// Records that a run has ended, successfully or not.
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that a call that counts as running ends without being sent.
    pub fn withdraw(&mut self) {
        self.sends.note_withdrawn();
        self.finish();
    }

    /// Decides what to do with a queued call.
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
        let limit = self.limit().saturating_sub(self.short_work.reserved_slots(
            call.work_ms,
            self.slots,
            now,
        ));
        let limit = limit.max(1);
        let ahead = self.queue.range(..position).count() as u32;
        let limited_until = self.stated_limit.free_at(&self.sends, ahead, now);
        if let Some(free_at) = limited_until.filter(|free_at| *free_at > call.queue_until) {
            return Verdict::Refuse(Refused::RateLimited { free_at });
        }
        let free_slots = limit.saturating_sub(self.in_flight);
        if ahead >= free_slots {
            let verdict = self.wait_for_slot(call, ahead - free_slots, limit, now);
            if verdict == Verdict::Refuse(Refused::Busy) {
                self.note_rejected(call, now);
            }
            return verdict;
        }
        if let Some(free_at) = limited_until {
            return Verdict::Wait(free_at);
        }
        let Some(speed) = self.fresh_speed(now) else {
            return Verdict::ReadSpeed;
        };
        match self.warm_up.pace(&self.sends, ahead, now) {
            Pace::Send => {}
            Pace::Read => return Verdict::ReadSpeed,
            Pace::At(free_at) if free_at > call.queue_until => {
                return Verdict::Refuse(Refused::WarmingUp { free_at });
            }
            Pace::At(at) => return Verdict::Wait(at),
        }
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

    /// Returns the concurrency limit: the number of requests that run at once without
    /// slowing each other down.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        match self.knee.limit() {
            // Nothing has been learnt about the target yet.
            0 => self.slots,
            limit => limit,
        }
    }

    fn note_rejected(&mut self, call: &GateCall, now: Millis) {
        let slowness_percent = self.speed.map_or(100, |speed| speed.slowness_percent);
        // During a slow spell no call would be in time, but the spell will be over when a
        // slot comes free.
        let run_ms = call.run_at(slowness_percent.min(MAX_MODERATE_PERCENT));
        let chance = Chance::of(call, run_ms, now);
        self.contention
            .note_rejected(call.priority, chance, run_ms, now);
    }

    /// Returns [`Verdict::Wait`] if the call can expect a slot in time; refuses a call
    /// that would have to wait longer than it may. `ahead` calls must start before it,
    /// beyond those for which slots are free.
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

/// Returns whether the target is fast enough for a call to start now.
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
