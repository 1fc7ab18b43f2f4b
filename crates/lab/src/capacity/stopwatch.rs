//! Measures the processor time of the current thread.

use cpu_time::ThreadTime;

/// Number of repetitions of a measurement, of which the best and the median are
/// reported.
const REPETITIONS: usize = 7;

/// Sums up the processor time of this thread over many short spans.
///
/// It uses the thread's processor time instead of wall-clock time, because other
/// processes share the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stopwatch {
    spent_ns: u64,
    spans: u64,
}

impl Stopwatch {
    /// Runs some work and adds its processor time.
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let started = ThreadTime::now();
        let result = work();
        self.spent_ns += u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        self.spans += 1;
        result
    }

    /// Total processor time in nanoseconds.
    #[must_use]
    pub const fn spent_ns(&self) -> u64 {
        self.spent_ns
    }

    /// Number of measured spans.
    #[must_use]
    pub const fn spans(&self) -> u64 {
        self.spans
    }
}

/// Processor time per step, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct StepTime {
    /// Minimum of all repetitions.
    pub best_ns: f64,
    /// Median of all repetitions.
    pub median_ns: f64,
}

/// Measures the mean processor time of a step over `steps` steps, several times.
pub fn time_steps(steps: u64, mut step: impl FnMut(u64)) -> StepTime {
    let mut times_ns = Vec::with_capacity(REPETITIONS);
    let mut number = 0;
    for _ in 0..REPETITIONS {
        let mut watch = Stopwatch::default();
        watch.time(|| {
            for _ in 0..steps {
                step(number);
                number += 1;
            }
        });
        times_ns.push(watch.spent_ns() as f64 / steps as f64);
    }
    times_ns.sort_by(f64::total_cmp);
    StepTime {
        best_ns: times_ns[0],
        median_ns: times_ns[REPETITIONS / 2],
    }
}
