//! Times at which calls are due, which do not depend on answers.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::prelude::*;

/// A thread's sleep ends late by about this much, so the last part of a wait is a
/// spin loop.
const SPIN_TIME: Duration = Duration::from_micros(60);

/// Poisson arrivals, drawn in advance. Each is taken once.
pub(super) struct Schedule {
    due: Vec<Duration>,
    next: AtomicUsize,
    origin: Instant,
}

impl Schedule {
    /// Draws arrivals over a time span from `origin`.
    pub(super) fn draw(rate_per_s: f64, span: Duration, seed: u64, origin: Instant) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut due = Vec::new();
        let mut at_s = 0.0;
        loop {
            let unit: f64 = rng.random();
            at_s -= (1.0 - unit).ln() / rate_per_s;
            if at_s >= span.as_secs_f64() {
                break;
            }
            due.push(Duration::from_secs_f64(at_s));
        }
        Self {
            due,
            next: AtomicUsize::new(0),
            origin,
        }
    }

    /// Returns the total number of arrivals.
    pub(super) fn len(&self) -> usize {
        self.due.len()
    }

    /// Takes the next arrival.
    pub(super) fn take(&self) -> Option<Instant> {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        let offset = self.due.get(index)?;
        Some(self.origin + *offset)
    }
}

/// Waits until a point in time, precise to microseconds on an idle core.
pub(super) fn wait_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > SPIN_TIME {
        thread::sleep(left - SPIN_TIME);
    }
    while Instant::now() < due {
        std::hint::spin_loop();
    }
}
