//! Start times of calls, which do not depend on answers.

use std::thread;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::mpsc;

use crate::prelude::*;

use super::plan::{CallKind, LoadPlan, Pacing};

/// A call that is due.
#[derive(Clone, Debug)]
pub(super) struct DueCall {
    pub(super) number: u64,
    pub(super) kind: usize,
    pub(super) tenant: Option<String>,
    /// Random number that selects the first entry.
    pub(super) entry_draw: u64,
    pub(super) intended_at: Instant,
}

/// Starts a thread that sends each call to the returned receiver when it is due.
///
/// The timers of the runtime have a resolution of a millisecond, which would show
/// in every latency. The sleep of a thread is finer by an order of magnitude.
pub(super) fn start(plan: &LoadPlan) -> Result<mpsc::UnboundedReceiver<DueCall>> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut pacer = Pacer::new(plan);
    thread::Builder::new()
        .name("load-pacer".to_owned())
        .spawn(move || pacer.run(&sender))?;
    Ok(receiver)
}

struct Pacer {
    rng: StdRng,
    kinds: Vec<CallKind>,
    weights: u64,
    rate_per_s: f64,
    pacing: Pacing,
    calls: u64,
    seconds: f64,
}

impl Pacer {
    fn new(plan: &LoadPlan) -> Self {
        let weights = plan.kinds.iter().map(|kind| u64::from(kind.weight)).sum();
        Self {
            rng: StdRng::seed_from_u64(plan.seed),
            kinds: plan.kinds.clone(),
            weights,
            rate_per_s: plan.rate_per_s,
            pacing: plan.pacing,
            calls: plan.calls,
            seconds: plan.seconds,
        }
    }

    fn run(&mut self, sender: &mpsc::UnboundedSender<DueCall>) {
        let origin = Instant::now();
        let mut at_s = 0.0;
        for number in 0..self.calls {
            at_s += self.interval_s();
            if at_s >= self.seconds {
                return;
            }
            let intended_at = origin + Duration::from_secs_f64(at_s);
            thread::sleep(intended_at.saturating_duration_since(Instant::now()));
            let due = self.draw(number, intended_at);
            if sender.send(due).is_err() {
                return;
            }
        }
    }

    fn interval_s(&mut self) -> f64 {
        let mean_s = 1.0 / self.rate_per_s;
        match self.pacing {
            Pacing::Even => mean_s,
            Pacing::Poisson => {
                let unit: f64 = self.rng.random();
                -(1.0 - unit).ln() * mean_s
            }
        }
    }

    fn draw(&mut self, number: u64, intended_at: Instant) -> DueCall {
        let kind = self.draw_kind();
        let tenants = self.kinds[kind].tenants.len();
        let tenant = match tenants {
            0 => None,
            count => {
                let index = self.rng.random_range(0..count);
                Some(self.kinds[kind].tenants[index].clone())
            }
        };
        DueCall {
            number,
            kind,
            tenant,
            entry_draw: self.rng.random(),
            intended_at,
        }
    }

    fn draw_kind(&mut self) -> usize {
        let mut left = self.rng.random_range(0..self.weights);
        for (index, kind) in self.kinds.iter().enumerate() {
            let weight = u64::from(kind.weight);
            if left < weight {
                return index;
            }
            left -= weight;
        }
        unreachable!("the draw is below the sum of all weights");
    }
}
