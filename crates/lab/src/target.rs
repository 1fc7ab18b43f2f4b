//! The fake target, with slots, a queue and faults.

use std::collections::VecDeque;

use crate::event::AttemptIndex;
use crate::time::Micros;

/// Time in which a target that fails fast answers.
const FAIL_FAST_WORK: Micros = Micros(200);
/// Slowdown of the first call of a cold target, in addition to the normal factor of 1.
const COLD_PENALTY: f64 = 3.0;
/// Time constant of the exponential warm-up, in which the cold penalty falls to 1/e.
const WARMING_US: f64 = 1_500_000.0;

/// A call that occupies a slot.
#[derive(Clone, Copy, Debug)]
struct Running {
    attempt: AttemptIndex,
    started_at: Micros,
    /// When the call's work is done. `None` while the call waits for its nested call.
    done_at: Option<Micros>,
}

/// State of a call at the time when its work was expected to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The work is done.
    Done,
    /// A stall delayed the work until this time.
    Later(Micros),
    /// The call does not run at the target any more.
    Gone,
}

/// A target process.
#[derive(Debug)]
pub(crate) struct FakeTarget {
    slots: usize,
    running: Vec<Running>,
    waiting: VecDeque<(AttemptIndex, Micros)>,
    frozen_until: Micros,
    slow_factor: f64,
    fails_fast: bool,
    started_cold_at: Option<Micros>,
    up: bool,
}

impl FakeTarget {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: Vec::with_capacity(slots as usize),
            waiting: VecDeque::new(),
            frozen_until: Micros::ZERO,
            slow_factor: 1.0,
            fails_fast: false,
            started_cold_at: None,
            up: true,
        }
    }

    /// Adds a call. Returns when its work will be done, or `None` if it has to wait for a
    /// slot.
    pub(crate) fn offer(
        &mut self,
        attempt: AttemptIndex,
        work: Micros,
        now: Micros,
    ) -> Option<Micros> {
        if self.running.len() >= self.slots {
            self.waiting.push_back((attempt, work));
            return None;
        }
        Some(self.start(attempt, work, now))
    }

    fn start(&mut self, attempt: AttemptIndex, work: Micros, now: Micros) -> Micros {
        let done_at = now.max(self.frozen_until) + self.time_for(work, now);
        self.running.push(Running {
            attempt,
            started_at: now,
            done_at: Some(done_at),
        });
        done_at
    }

    fn time_for(&self, work: Micros, now: Micros) -> Micros {
        if self.fails_fast {
            return FAIL_FAST_WORK;
        }
        Micros::from_f64(work.0 as f64 * self.factor(now))
    }

    /// Current service time of calls relative to a healthy, warm target.
    pub(crate) fn factor(&self, now: Micros) -> f64 {
        let Some(started_at) = self.started_cold_at else {
            return self.slow_factor;
        };
        let age_us = now.since(started_at).0 as f64;
        self.slow_factor * (1.0 + COLD_PENALTY * (-age_us / WARMING_US).exp())
    }

    pub(crate) fn progress(&self, attempt: AttemptIndex, now: Micros) -> Progress {
        for running in &self.running {
            if running.attempt != attempt {
                continue;
            }
            return match running.done_at {
                Some(done_at) if done_at > now => Progress::Later(done_at),
                Some(_) => Progress::Done,
                None => Progress::Gone,
            };
        }
        Progress::Gone
    }

    /// Marks the call's own work as done. It occupies its slot during its nested call.
    pub(crate) fn wait_for_nested_call(&mut self, attempt: AttemptIndex) {
        for running in &mut self.running {
            if running.attempt == attempt {
                running.done_at = None;
            }
        }
    }

    /// Removes a call. Returns the time for which it occupied a slot.
    pub(crate) fn remove(&mut self, attempt: AttemptIndex, now: Micros) -> Micros {
        for index in 0..self.running.len() {
            if self.running[index].attempt != attempt {
                continue;
            }
            let removed = self.running.swap_remove(index);
            return now.since(removed.started_at);
        }
        self.waiting.retain(|(waiting, _)| *waiting != attempt);
        Micros::ZERO
    }

    /// Starts the next waiting call if a slot is free. Returns when its work will be
    /// done.
    pub(crate) fn start_waiting(&mut self, now: Micros) -> Option<(AttemptIndex, Micros)> {
        if self.running.len() >= self.slots {
            return None;
        }
        let (attempt, work) = self.waiting.pop_front()?;
        Some((attempt, self.start(attempt, work, now)))
    }

    /// Stops all work for a time, as a noisy neighbour does.
    pub(crate) fn freeze(&mut self, length: Micros, now: Micros) {
        let from = self.frozen_until.max(now);
        let until = from.max(now + length);
        let shift = until.since(from);
        self.frozen_until = until;
        for running in &mut self.running {
            running.done_at = running.done_at.map(|done_at| done_at + shift);
        }
    }

    /// Stops the process. Returns the calls that ran or waited.
    pub(crate) fn crash(&mut self) -> Vec<AttemptIndex> {
        self.up = false;
        self.clear()
    }

    pub(crate) fn clear(&mut self) -> Vec<AttemptIndex> {
        let mut lost = Vec::with_capacity(self.running.len() + self.waiting.len());
        for running in self.running.drain(..) {
            lost.push(running.attempt);
        }
        for (attempt, _) in self.waiting.drain(..) {
            lost.push(attempt);
        }
        lost
    }

    pub(crate) fn start_cold(&mut self, now: Micros) {
        self.up = true;
        self.started_cold_at = Some(now);
    }

    pub(crate) fn set_slow(&mut self, factor: f64) {
        self.slow_factor = factor;
    }

    pub(crate) fn set_fails_fast(&mut self, fails_fast: bool) {
        self.fails_fast = fails_fast;
    }

    pub(crate) fn fails_fast(&self) -> bool {
        self.fails_fast
    }

    pub(crate) fn is_up(&self) -> bool {
        self.up
    }

    pub(crate) fn slots(&self) -> usize {
        self.slots
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Remaining time of the current stall.
    pub(crate) fn frozen_for(&self, now: Micros) -> Micros {
        self.frozen_until.since(now)
    }
}
