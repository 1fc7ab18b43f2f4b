//! Selection algorithms of the baselines and the oracle.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::Truth;
use super::baseline::Candidate;

/// Selects one of the candidates. There is always at least one.
pub(super) trait Chooser: std::fmt::Debug {
    /// Returns the index of the selected candidate.
    fn choose(&mut self, candidates: &[Candidate], truth: &Truth<'_>) -> usize;

    /// Whether a target has a free slot. Choosers that do not know return `true`.
    fn has_free_slot(&self, _truth: &Truth<'_>) -> bool {
        true
    }
}

pub(super) fn random(seed: u64) -> Box<dyn Chooser> {
    Box::new(Random {
        rng: StdRng::seed_from_u64(seed),
    })
}

/// Starts at a random candidate, so that entries do not use the same targets at the
/// same time.
pub(super) fn round_robin(seed: u64) -> Box<dyn Chooser> {
    Box::new(RoundRobin {
        next: (seed % 1_000) as usize,
    })
}

pub(super) fn least_in_flight(seed: u64) -> Box<dyn Chooser> {
    Box::new(LeastInFlight {
        rng: StdRng::seed_from_u64(seed),
    })
}

pub(super) fn two_choices(seed: u64) -> Box<dyn Chooser> {
    Box::new(TwoChoices {
        rng: StdRng::seed_from_u64(seed),
    })
}

pub(super) fn oracle() -> Box<dyn Chooser> {
    Box::new(Oracle)
}

#[derive(Debug)]
struct Random {
    rng: StdRng,
}

impl Chooser for Random {
    fn choose(&mut self, candidates: &[Candidate], _truth: &Truth<'_>) -> usize {
        self.rng.random_range(0..candidates.len())
    }
}

#[derive(Debug)]
struct RoundRobin {
    next: usize,
}

impl Chooser for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate], _truth: &Truth<'_>) -> usize {
        self.next += 1;
        self.next % candidates.len()
    }
}

#[derive(Debug)]
struct LeastInFlight {
    rng: StdRng,
}

impl Chooser for LeastInFlight {
    fn choose(&mut self, candidates: &[Candidate], _truth: &Truth<'_>) -> usize {
        let mut best = 0;
        let mut ties = 0_u32;
        for (index, candidate) in candidates.iter().enumerate() {
            let least = candidates[best].own_in_flight;
            if candidate.own_in_flight > least {
                continue;
            }
            if candidate.own_in_flight < least {
                best = index;
                ties = 1;
                continue;
            }
            ties += 1;
            if self.rng.random_range(0..ties) == 0 {
                best = index;
            }
        }
        best
    }
}

#[derive(Debug)]
struct TwoChoices {
    rng: StdRng,
}

impl Chooser for TwoChoices {
    fn choose(&mut self, candidates: &[Candidate], _truth: &Truth<'_>) -> usize {
        let first = self.rng.random_range(0..candidates.len());
        if candidates.len() == 1 {
            return first;
        }
        let step = self.rng.random_range(1..candidates.len());
        let second = (first + step) % candidates.len();
        if reported_load(&candidates[second]) < reported_load(&candidates[first]) {
            return second;
        }
        first
    }
}

/// Calls at the target by its last load report, or 0 if there is none.
fn reported_load(candidate: &Candidate) -> u32 {
    match candidate.load {
        Some(load) => load.in_flight + load.queued,
        None => 0,
    }
}

/// Selects the target with the earliest expected answer.
#[derive(Debug)]
struct Oracle;

impl Chooser for Oracle {
    fn choose(&mut self, candidates: &[Candidate], truth: &Truth<'_>) -> usize {
        let mut best = 0;
        let mut best_us = f64::INFINITY;
        for (index, candidate) in candidates.iter().enumerate() {
            let host = &truth.hosts[candidate.host];
            let round_trip_us = 2.0 * f64::from(candidate.distance_us);
            let expected_us = round_trip_us + host.expected_time_us(truth.mean_work_us, truth.now);
            if expected_us < best_us {
                best = index;
                best_us = expected_us;
            }
        }
        best
    }

    fn has_free_slot(&self, truth: &Truth<'_>) -> bool {
        truth.hosts.iter().any(|host| host.has_free_slot(truth.now))
    }
}
