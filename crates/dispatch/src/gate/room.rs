//! Measures how much a gate's target can run and how much work is offered to it.
//!
//! Room and demand are both counted in slots at usual speed: the run time at usual speed
//! per time. A target that takes twice as long has half the room. The speed is applied to
//! the room, so that the reports of slow and fast targets can be added up: the demand that
//! is reported to a slow target can run on a fast one.

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Time over which the usable part of the limit is averaged. It spans about ten steps of the
/// speed of a shared host.
const SMOOTHING_MS: f64 = 2_000.0;
/// Time over which run times are averaged. All targets become faster at once when they have
/// warmed up, and calls must not be refused for the time before.
const RUN_SMOOTHING_MS: f64 = 300.0;
/// Lower bound of the usable part of the limit, so that a target that nothing was sent to
/// during a slow spell is tried again.
const MIN_USABLE: f64 = 0.25;
/// Time for which a refusal for lack of speed shows that the target starts nothing, unless a
/// call starts.
const REFUSAL_HOLD_MS: Millis = Millis(100);
/// Time without a refusal for lack of speed after which the whole limit counts as usable.
const FAST_AFTER_MS: Millis = Millis(500);
/// Length of a window in which demand is counted.
const WINDOW_MS: u64 = 100;
/// Number of windows that are averaged.
const WINDOWS: u64 = 5;
/// Time after the start of the gate before its first report.
const FIRST_REPORT_MS: Millis = Millis(300);
/// Bounds of the mean run time in multiples of the expected one. Initial estimates of the
/// run time may be far too high.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.01..=10.0;

/// What else bounds the room of a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetBounds {
    /// Number of requests that may run at once.
    pub limit: u32,
    /// Number of requests a second that the target accepts while it warms up or states a
    /// limit.
    pub max_requests_per_s: Option<f64>,
    /// Whether the target can be reached and takes new work.
    pub accepts_work: bool,
}

/// What a refused or queued call lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lack {
    /// A free slot.
    Slot,
    /// A target of usual speed.
    Speed,
}

/// Meter of one gate.
#[derive(Debug)]
pub struct RoomMeter {
    started_at: Millis,
    updated_at: Millis,
    running: u32,
    limit: u32,
    /// Averaged part of the limit that runs, or could have run while nothing was refused.
    usable: f64,
    /// When a call was last refused for lack of speed, if none has started since.
    slow_at: Option<Millis>,
    last_slow_at: Option<Millis>,
    demand: DemandWindows,
    runs: RunTimes,
}

impl RoomMeter {
    /// Creates the meter of a gate that started at `started_at`.
    #[must_use]
    pub fn new(started_at: Millis) -> Self {
        Self {
            started_at,
            updated_at: started_at,
            running: 0,
            limit: 1,
            usable: 1.0,
            slow_at: None,
            last_slow_at: None,
            demand: DemandWindows::default(),
            runs: RunTimes::default(),
        }
    }

    /// Records that a call has started.
    pub fn note_started(&mut self, running: u32, limit: u32, now: Millis) {
        self.note_running(running, limit, now);
        self.slow_at = None;
    }

    /// Records a change of the number of running calls.
    pub fn note_running(&mut self, running: u32, limit: u32, now: Millis) {
        self.advance(now);
        self.running = running;
        self.limit = limit.max(1);
    }

    /// Records that a call was refused or has to wait.
    ///
    /// For lack of a slot, the whole limit is in use or held for other calls. For lack of
    /// speed, nothing starts, and only what still runs is usable.
    pub fn note_refused(&mut self, lack: Lack, now: Millis) {
        if lack == Lack::Speed {
            self.advance(now);
            self.slow_at = Some(now);
            self.last_slow_at = Some(now);
        }
    }

    /// Learns from a successful run.
    pub fn note_run(&mut self, work_ms: Millis, ran_ms: Millis, now: Millis) {
        self.runs.add(work_ms, ran_ms, now);
    }

    /// Records the demand that an entry reports.
    pub fn note_demand(&mut self, report: &DemandReport, now: Millis) {
        self.demand.add(report, now);
    }

    /// Discards the measurements of the target, after the target has restarted.
    pub fn forget_target(&mut self) {
        self.usable = 1.0;
        self.slow_at = None;
        self.last_slow_at = None;
        self.runs = RunTimes::default();
    }

    /// Returns the load to report, or `None` while too little is known.
    pub fn load(&mut self, bounds: &TargetBounds, now: Millis) -> Option<GateLoad> {
        if now.since(self.started_at) < FIRST_REPORT_MS {
            return None;
        }
        self.advance(now);
        let room_slots = match bounds.accepts_work {
            true => self.room_slots(bounds, now)?,
            false => 0.0,
        };
        let demand_slots = self.demand.mean_slots(self.started_at, now);
        Some(GateLoad {
            room_centislots: centislots(room_slots),
            demand_centislots: demand_slots.map(centislots),
        })
    }

    fn room_slots(&self, bounds: &TargetBounds, now: Millis) -> Option<f64> {
        let slowness = self.runs.slowness()?;
        let was_slow = self
            .last_slow_at
            .is_some_and(|at| now.since(at) < FAST_AFTER_MS);
        let usable = match was_slow {
            true => self.usable.max(MIN_USABLE),
            false => 1.0,
        };
        let room_slots = f64::from(bounds.limit) * usable / slowness;
        let Some(max_requests_per_s) = bounds.max_requests_per_s else {
            return Some(room_slots);
        };
        Some(room_slots.min(max_requests_per_s * self.runs.mean_work_ms() / 1_000.0))
    }

    /// Averages up to now: the running calls while nothing starts for lack of speed, and the
    /// whole limit otherwise.
    fn advance(&mut self, now: Millis) {
        let from = self.updated_at;
        self.updated_at = now.max(from);
        let held_until = match self.slow_at {
            Some(at) => (at + REFUSAL_HOLD_MS).max(from).min(now),
            None => from,
        };
        let running = f64::from(self.running) / f64::from(self.limit);
        self.average(running.min(1.0), held_until.since(from));
        self.average(1.0, now.since(held_until));
    }

    fn average(&mut self, usable: f64, span_ms: Millis) {
        let gain = 1.0 - (-(span_ms.0 as f64) / SMOOTHING_MS).exp();
        self.usable += (usable - self.usable) * gain;
    }
}

/// Work reported by entries, in windows.
#[derive(Debug, Default)]
struct DemandWindows {
    /// Number of the current window since time zero.
    current: u64,
    /// Work by window and class; the last elements belong to the current window and the ones
    /// before it.
    work_ms: [[f64; LOAD_CLASSES]; WINDOWS as usize + 1],
}

impl DemandWindows {
    fn add(&mut self, report: &DemandReport, now: Millis) {
        self.advance(now);
        let window = &mut self.work_ms[WINDOWS as usize];
        for (sum, work_ms) in window.iter_mut().zip(report.work_ms) {
            *sum += f64::from(work_ms);
        }
    }

    /// Returns the mean over the last windows, up to now.
    fn mean_slots(&mut self, started_at: Millis, now: Millis) -> [f64; LOAD_CLASSES] {
        self.advance(now);
        let span_ms = now.since(started_at).0.clamp(1, WINDOWS * WINDOW_MS);
        let passed = (now.0 % WINDOW_MS) as f64 / WINDOW_MS as f64;
        let mut mean = [0.0; LOAD_CLASSES];
        for (number, window) in self.work_ms.iter().enumerate() {
            // The oldest window counts as far as the current one is not over.
            let part = if number == 0 { 1.0 - passed } else { 1.0 };
            for (sum, work_ms) in mean.iter_mut().zip(window) {
                *sum += part * work_ms / span_ms as f64;
            }
        }
        mean
    }

    fn advance(&mut self, now: Millis) {
        let current = now.0 / WINDOW_MS;
        let passed = current.saturating_sub(self.current).min(WINDOWS + 1) as usize;
        self.current = self.current.max(current);
        self.work_ms.rotate_left(passed);
        let kept = self.work_ms.len() - passed;
        self.work_ms[kept..].fill([0.0; LOAD_CLASSES]);
    }
}

/// Run times of the last runs and the run times expected of them, with older ones weighted
/// less.
#[derive(Debug, Default)]
struct RunTimes {
    ran_ms: f64,
    work_ms: f64,
    runs: f64,
    updated_at: Millis,
}

impl RunTimes {
    fn add(&mut self, work_ms: Millis, ran_ms: Millis, now: Millis) {
        let factor = (-(now.since(self.updated_at).0 as f64) / RUN_SMOOTHING_MS).exp();
        self.updated_at = now;
        self.ran_ms = self.ran_ms * factor + ran_ms.0.max(1) as f64;
        self.work_ms = self.work_ms * factor + work_ms.0.max(1) as f64;
        self.runs = self.runs * factor + 1.0;
    }

    /// Returns the mean run time in multiples of the expected one, or `None` before the first
    /// run.
    fn slowness(&self) -> Option<f64> {
        let slowness = self.ran_ms / self.work_ms;
        (self.runs > 0.0).then(|| slowness.clamp(*SLOWNESS.start(), *SLOWNESS.end()))
    }

    fn mean_work_ms(&self) -> f64 {
        self.work_ms / self.runs
    }
}

fn centislots(slots: f64) -> u32 {
    (slots * 100.0).round() as u32
}
