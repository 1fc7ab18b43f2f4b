//! Random draws: arrivals, the work of calls, stalls.
//!
//! Arrivals and work come from one generator that no policy can disturb, so
//! that every policy of a case sees the very same calls.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::case::Case;
use crate::time::Micros;

/// Mean time between two stalls of one target in a noisy case.
const MEAN_STALL_GAP_US: f64 = 1_000_000.0;
const MIN_STALL_US: u64 = 5_000;
const MAX_STALL_US: u64 = 50_000;
const MIN_REPORT_AGE_US: u64 = 10_000;
const MAX_REPORT_AGE_US: u64 = 500_000;

/// One new call as its caller sends it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewCall {
    /// Time until the next one.
    pub(crate) gap: Micros,
    /// Picks the entry; reduced modulo the number of live ones.
    pub(crate) entry_draw: u64,
    /// Identity, unique within a run.
    pub(crate) identity: u64,
}

/// Draws for a whole run.
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

    /// Work of a call at one service. It belongs to the call, not to the
    /// attempt: a retry or hedge cannot make a heavy call light.
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

/// A number above 0 and up to 1 from 53 random bits.
fn unit(bits: u64) -> f64 {
    ((bits >> 11) + 1) as f64 / (1_u64 << 53) as f64
}

/// Spreads two numbers over 64 bits (the finaliser of SplitMix64).
pub(crate) const fn mix(seed: u64, salt: u64) -> u64 {
    let mut z = seed.wrapping_add(salt.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
