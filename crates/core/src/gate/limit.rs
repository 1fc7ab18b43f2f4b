//! The adaptive concurrency limit, which never exceeds the target's slots.

use strum::VariantArray;

use crate::prelude::*;

/// Minimum length of a measurement window.
const WINDOW: Millis = Millis(250);
/// Minimum number of answers in a window.
const MIN_SAMPLES: usize = 16;
/// Maximum number of answers stored per window; later ones overwrite earlier
/// ones.
const MAX_SAMPLES: usize = 64;
/// Slowdown relative to the baseline that counts as noise.
const TOLERATED_SLOWDOWN: f64 = 2.0;
/// Number of consecutive slow windows after which the limit is cut. A stall
/// caused by a noisy neighbour (5 to 50 ms) affects the median of at most one
/// window.
const SLOW_WINDOWS_TO_CUT: u32 = 2;
/// Smallest factor by which one window may cut the limit.
const MIN_CUT_FACTOR: f64 = 0.9;
/// Share of the limit that must have been in use for slowness to be attributed
/// to concurrency.
const BUSY_SHARE: f64 = 0.5;
/// Relative increase of the baseline per window, so that it follows a target
/// that has become permanently slower.
const BASELINE_DRIFT: f64 = 1.0 / 64.0;
/// Share of the original limit at which the effect of the cuts is checked.
const JUDGE_CUTS_AT_SHARE: f64 = 0.7;
/// The cuts count as ineffective if the slowdown is still above this share of
/// the slowdown at the first cut.
const MAX_REMAINING_SLOWDOWN: f64 = 0.85;
/// Minimum limit as a share of the slots.
const FLOOR_SHARE: f64 = 0.25;
/// Weight of one answer in the fast average from which the baseline is derived.
const FAST_SMOOTHING: f64 = 1.0 / 8.0;

const CLASSES: usize = CallClass::VARIANTS.len();

/// Usual service time of one class without contention.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    fast_us: f64,
    low_us: f64,
}

impl Baseline {
    /// Records an answer and returns its slowdown relative to the baseline.
    fn record(&mut self, sample_us: f64) -> f64 {
        if self.low_us == 0.0 {
            self.fast_us = sample_us;
            self.low_us = sample_us;
            return 1.0;
        }
        self.fast_us += (sample_us - self.fast_us) * FAST_SMOOTHING;
        sample_us / self.low_us
    }

    fn end_window(&mut self) {
        self.low_us = (self.low_us * (1.0 + BASELINE_DRIFT)).min(self.fast_us);
    }
}

/// Limit and slowdown at the first of a series of cuts.
#[derive(Clone, Copy, Debug)]
struct FirstCut {
    limit: f64,
    slowdown: f64,
}

/// The concurrency limit and the measurements from which it is derived.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    cap: u32,
    cold_ramp: Millis,
    /// When the target got its first call, or its first one after a crash.
    first_call_at: Option<Millis>,
    limit: f64,
    first_cut: Option<FirstCut>,
    baselines: [Baseline; CLASSES],
    window_started_at: Millis,
    /// Slowdowns of the answers in this window.
    slowdowns: Vec<f64>,
    samples: usize,
    peak_in_flight: u32,
    slow_windows: u32,
}

impl ConcurrencyLimit {
    pub(super) fn new(policy: &ServicePolicy, now: Millis) -> Self {
        let cap = cap_of(policy);
        Self {
            cap,
            cold_ramp: policy.cold_ramp_ms,
            first_call_at: None,
            limit: f64::from(cap),
            first_cut: None,
            baselines: [Baseline::default(); CLASSES],
            window_started_at: now,
            slowdowns: Vec::with_capacity(MAX_SAMPLES),
            samples: 0,
            peak_in_flight: 0,
            slow_windows: 0,
        }
    }

    /// Applies a changed number of slots, which also resets the limit to the
    /// new maximum.
    pub(super) fn update(&mut self, policy: &ServicePolicy) {
        let cap = cap_of(policy);
        self.cold_ramp = policy.cold_ramp_ms;
        if cap == self.cap {
            return;
        }
        self.cap = cap;
        self.limit = f64::from(cap);
        self.first_cut = None;
        self.slow_windows = 0;
    }

    /// Returns the current limit, at least 1.
    pub(super) fn current(&self, now: Millis) -> u32 {
        let limit = self.limit.min(self.ramp_limit(now));
        (limit as u32).clamp(1, self.cap)
    }

    /// Records the number of running calls after one was started.
    pub(super) fn note_start(&mut self, in_flight: u32, now: Millis) {
        self.first_call_at.get_or_insert(now);
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
    }

    /// Restarts the warm-up, because the target was restarted and is cold.
    pub(super) const fn restart_ramp(&mut self) {
        self.first_call_at = None;
    }

    /// Records an answer that was no failure.
    pub(super) fn record(&mut self, class: CallClass, service_time_us: u32, now: Millis) {
        let sample_us = f64::from(service_time_us.max(1));
        let slowdown = self.baselines[class as usize].record(sample_us);
        if self.slowdowns.len() < MAX_SAMPLES {
            self.slowdowns.push(slowdown);
        } else {
            self.slowdowns[self.samples % MAX_SAMPLES] = slowdown;
        }
        self.samples += 1;
        if now.since(self.window_started_at) >= WINDOW && self.samples >= MIN_SAMPLES {
            self.end_window(now);
        }
    }

    fn end_window(&mut self, now: Millis) {
        self.slowdowns.sort_unstable_by(f64::total_cmp);
        let slowdown = self.slowdowns[self.slowdowns.len() / 2];
        let was_busy = f64::from(self.peak_in_flight) >= self.limit * BUSY_SHARE;
        if slowdown > TOLERATED_SLOWDOWN && was_busy {
            self.slow_window(slowdown);
        } else {
            self.good_window();
        }
        for baseline in &mut self.baselines {
            baseline.end_window();
        }
        self.slowdowns.clear();
        self.samples = 0;
        self.peak_in_flight = 0;
        self.window_started_at = now;
    }

    fn slow_window(&mut self, slowdown: f64) {
        self.slow_windows += 1;
        if self.slow_windows < SLOW_WINDOWS_TO_CUT {
            return;
        }
        let from = *self.first_cut.get_or_insert(FirstCut {
            limit: self.limit,
            slowdown,
        });
        if self.limit <= from.limit * JUDGE_CUTS_AT_SHARE
            && slowdown > from.slowdown * MAX_REMAINING_SLOWDOWN
        {
            self.undo_cuts(from);
            return;
        }
        let cut = (TOLERATED_SLOWDOWN / slowdown).max(MIN_CUT_FACTOR);
        self.limit = (self.limit * cut).max(self.floor());
    }

    /// Restores the limit, because less concurrency did not make the target
    /// faster and therefore is not the cause of the slowness. Otherwise a host
    /// that became permanently slower would also lose throughput and refuse
    /// calls that it could serve.
    fn undo_cuts(&mut self, from: FirstCut) {
        self.limit = from.limit;
        self.first_cut = None;
        self.slow_windows = 0;
        for baseline in &mut self.baselines {
            baseline.low_us = baseline.fast_us;
        }
    }

    fn good_window(&mut self) {
        self.slow_windows = 0;
        let cap = f64::from(self.cap);
        if self.limit >= cap {
            self.first_cut = None;
            return;
        }
        let was_used = f64::from(self.peak_in_flight) >= self.limit.floor();
        if was_used {
            self.limit = (self.limit + 1.0).min(cap);
        }
    }

    fn floor(&self) -> f64 {
        (f64::from(self.cap) * FLOOR_SHARE).max(1.0)
    }

    /// Returns how many slots a cold target may use by now.
    fn ramp_limit(&self, now: Millis) -> f64 {
        if self.cold_ramp == Millis::ZERO {
            return f64::from(self.cap);
        }
        let Some(first_call_at) = self.first_call_at else {
            return self.floor();
        };
        let done = now.since(first_call_at).0 as f64 / self.cold_ramp.0 as f64;
        let cap = f64::from(self.cap);
        self.floor() + (cap - self.floor()) * done.min(1.0)
    }
}

/// Returns the maximum limit. Calls beyond the number of connections would only
/// wait for a connection, where the gate cannot see them.
fn cap_of(policy: &ServicePolicy) -> u32 {
    policy.slots.min(policy.connections).max(1)
}
