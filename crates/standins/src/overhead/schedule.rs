//! When calls are due, whatever answers do.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::prelude::*;

/// A thread's sleep ends late by about this much; the rest is spun away.
const SPIN_TIME: Duration = Duration::from_micros(60);

/// Independent arrivals, drawn ahead; each is handed out once.
pub(super) struct Schedule {
    due: Vec<Duration>,
    next: AtomicUsize,
    origin: Instant,
}

impl Schedule {
    /// Arrivals from `origin` on over a span.
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

    /// How many arrivals there are.
    pub(super) fn len(&self) -> usize {
        self.due.len()
    }

    /// The next arrival that nobody has taken.
    pub(super) fn take(&self) -> Option<Instant> {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        let offset = self.due.get(index)?;
        Some(self.origin + *offset)
    }
}

/// Waits for a point in time, to within microseconds on an idle core.
pub(super) fn wait_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > SPIN_TIME {
        thread::sleep(left - SPIN_TIME);
    }
    while Instant::now() < due {
        std::hint::spin_loop();
    }
}
