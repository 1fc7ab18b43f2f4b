//! Random arrivals, service times, stalls and report ages.
//!
//! Arrivals and service times do not depend on the policy, so that all policies of a
//! case get exactly the same calls.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::case::Case;
use crate::time::Micros;

/// Mean time between two stalls of a target in noisy cases.
const MEAN_STALL_GAP_US: f64 = 1_000_000.0;
const MIN_STALL_US: u64 = 5_000;
const MAX_STALL_US: u64 = 50_000;
const MIN_REPORT_AGE_US: u64 = 10_000;
const MAX_REPORT_AGE_US: u64 = 500_000;

/// A new call of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewCall {
    /// Time until the next new call.
    pub(crate) gap: Micros,
    /// Random number that selects the entry, modulo the number of nodes.
    pub(crate) entry_draw: u64,
    /// Identity of the call, unique within a run.
    pub(crate) identity: u64,
}

/// Random number generators of a run.
#[derive(Debug)]
pub(crate) struct Workload {
    calls: StdRng,
    stalls: Vec<StdRng>,
    reports: StdRng,
    mean_gap_us: f64,
    work_sigma: f64,
    seed: u64,
    sent: u64,
}

impl Workload {
    pub(crate) fn new(case: &Case, seed: u64, hosts: usize) -> Self {
        let mut stalls = Vec::with_capacity(hosts);
        for host in 0..hosts {
            stalls.push(StdRng::seed_from_u64(mix(seed, 1_000 + host as u64)));
        }
        Self {
            calls: StdRng::seed_from_u64(mix(seed, 1)),
            stalls,
            reports: StdRng::seed_from_u64(mix(seed, 2)),
            mean_gap_us: 1e6 / case.rate_per_s(),
            work_sigma: case.work_sigma,
            seed,
            sent: 0,
        }
    }

    pub(crate) fn next_call(&mut self) -> NewCall {
        let gap = exponential(&mut self.calls, self.mean_gap_us);
        self.sent += 1;
        NewCall {
            gap: Micros::from_f64(gap),
            entry_draw: self.calls.random(),
            identity: mix(self.seed, self.sent),
        }
    }

    /// Service time of a call at one service. It depends on the call and not on the
    /// attempt, so that a retry or hedge of a slow call is equally slow.
    pub(crate) fn work(&self, identity: u64, depth: u32, mean_us: f64) -> Micros {
        let uniform_1 = unit(mix(identity, 2 * u64::from(depth)));
        let uniform_2 = unit(mix(identity, 2 * u64::from(depth) + 1));
        let normal = (-2.0 * uniform_1.ln()).sqrt() * (std::f64::consts::TAU * uniform_2).cos();
        let sigma = self.work_sigma;
        Micros::from_f64(mean_us * (sigma * normal - sigma * sigma / 2.0).exp())
    }

    pub(crate) fn stall_gap(&mut self, host: usize) -> Micros {
        Micros::from_f64(exponential(&mut self.stalls[host], MEAN_STALL_GAP_US))
    }

    pub(crate) fn stall_length(&mut self, host: usize) -> Micros {
        Micros(self.stalls[host].random_range(MIN_STALL_US..=MAX_STALL_US))
    }

    pub(crate) fn report_age(&mut self) -> Micros {
        Micros(
            self.reports
                .random_range(MIN_REPORT_AGE_US..=MAX_REPORT_AGE_US),
        )
    }
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    let uniform: f64 = rng.random();
    -mean * (1.0 - uniform).ln()
}

/// Converts 53 random bits to a number in (0, 1].
fn unit(bits: u64) -> f64 {
    ((bits >> 11) + 1) as f64 / (1_u64 << 53) as f64
}

/// Hashes two numbers to 64 bits (the finaliser of SplitMix64).
pub(crate) const fn mix(seed: u64, salt: u64) -> u64 {
    let mut z = seed.wrapping_add(salt.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
