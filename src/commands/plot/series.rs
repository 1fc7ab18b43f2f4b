//! Aggregates ended calls over time.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use hornbeamhitch_types::code::{Certainty, ResultCode};

use crate::logs::LogLine;

/// Largest latency that the histograms can record, in milliseconds. Callers do not
/// wait longer.
const MAX_LATENCY_MS: u64 = 600_000;
/// Significant digits of recorded latencies. A plot shows fewer.
const DIGITS: u8 = 2;
/// Lowest HTTP status that means a failure in the target.
const FIRST_SERVER_ERROR: u64 = 500;

/// The outcome of a call from its caller's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::VariantArray, strum::IntoStaticStr)]
pub(super) enum Outcome {
    /// The target answered.
    #[strum(serialize = "answered")]
    Answered,
    /// The target answered with a server error.
    #[strum(serialize = "failed in the target")]
    Failed,
    /// The call was rejected and did not run.
    #[strum(serialize = "refused, not run")]
    NotRun,
    /// It is unknown whether the call ran.
    #[strum(serialize = "outcome unknown")]
    Unknown,
}

/// Number of [`Outcome`] variants.
pub(super) const OUTCOMES: usize = 4;

impl Outcome {
    /// Returns the outcome of the call whose end an entry logged, or `None` if the
    /// line is about something else.
    fn of(line: &LogLine) -> Option<Self> {
        let number = u16::try_from(line.number("code")?).ok()?;
        let code = ResultCode::from_number(number)?;
        Some(match code.certainty() {
            Certainty::Answered if line.number("status")? >= FIRST_SERVER_ERROR => Self::Failed,
            Certainty::Answered => Self::Answered,
            Certainty::NotRun | Certainty::NotYet | Certainty::TicketDead => Self::NotRun,
            Certainty::Pending | Certainty::Unknown => Self::Unknown,
        })
    }
}

/// The calls that ended within one time step.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Step {
    /// Calls per second by [`Outcome`].
    pub(super) rates: [f64; OUTCOMES],
    /// Median and 99th percentile of the latencies of answered calls, in
    /// milliseconds; `None` if no call was answered.
    pub(super) latencies_ms: Option<[u64; 2]>,
    /// Time since the first step, in seconds.
    pub(super) at_s: f64,
}

#[derive(Debug)]
struct StepData {
    counts: [u64; OUTCOMES],
    latencies: Histogram<u64>,
}

impl StepData {
    fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_MS, DIGITS);
        Self {
            counts: [0; OUTCOMES],
            latencies: latencies.expect("the bounds are in order"),
        }
    }
}

/// Ended calls by the number of their time step.
#[derive(Debug)]
pub(super) struct Series<'a> {
    step_ms: u64,
    service: Option<&'a str>,
    step_data: BTreeMap<u64, StepData>,
    suppressed_lines: u64,
}

impl<'a> Series<'a> {
    /// Creates a series for the calls of one service, or of all services.
    pub(super) const fn new(step_ms: u64, service: Option<&'a str>) -> Self {
        Self {
            step_ms,
            service,
            step_data: BTreeMap::new(),
            suppressed_lines: 0,
        }
    }

    /// Adds the ended call of a log line. Skips lines about anything else.
    pub(super) fn take(&mut self, line: &LogLine) {
        let Some(outcome) = Outcome::of(line) else {
            return;
        };
        self.suppressed_lines += line.number("suppressed").unwrap_or(0);
        if self.service.is_some() && self.service != line.text("service") {
            return;
        }
        let step = line.time_ms / self.step_ms;
        let step_data = self.step_data.entry(step).or_insert_with(StepData::new);
        step_data.counts[outcome as usize] += 1;
        if outcome == Outcome::Answered
            && let Some(took_ms) = line.number("took_ms")
        {
            step_data.latencies.saturating_record(took_ms);
        }
    }

    /// Returns the number of calls added.
    pub(super) fn calls(&self) -> u64 {
        let mut calls = 0;
        for step_data in self.step_data.values() {
            calls += step_data.counts.iter().sum::<u64>();
        }
        calls
    }

    /// Returns the number of log lines that nodes suppressed because one log
    /// statement wrote too many.
    pub(super) const fn suppressed_lines(&self) -> u64 {
        self.suppressed_lines
    }

    /// Returns the number of steps from the first call to the last.
    pub(super) fn step_count(&self) -> u64 {
        self.first_and_last()
            .map_or(0, |(first, last)| last - first + 1)
    }

    /// Returns all steps from the first to the last, including those without a
    /// call, because an outage shows as steps without calls.
    pub(super) fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let Some((first, last)) = self.first_and_last() else {
            return steps;
        };
        for number in first..=last {
            let at_s = ((number - first) * self.step_ms) as f64 / 1e3;
            let step_data = self.step_data.get(&number);
            steps.push(self.step(step_data, at_s));
        }
        steps
    }

    fn first_and_last(&self) -> Option<(u64, u64)> {
        let (&first, _) = self.step_data.first_key_value()?;
        let (&last, _) = self.step_data.last_key_value()?;
        Some((first, last))
    }

    fn step(&self, step_data: Option<&StepData>, at_s: f64) -> Step {
        let mut step = Step {
            at_s,
            ..Step::default()
        };
        let Some(step_data) = step_data else {
            return step;
        };
        for (rate, count) in step.rates.iter_mut().zip(step_data.counts) {
            *rate = count as f64 * 1e3 / self.step_ms as f64;
        }
        let latencies = &step_data.latencies;
        if !latencies.is_empty() {
            let p50 = latencies.value_at_quantile(0.5);
            let p99 = latencies.value_at_quantile(0.99);
            step.latencies_ms = Some([p50, p99]);
        }
        step
    }
}
