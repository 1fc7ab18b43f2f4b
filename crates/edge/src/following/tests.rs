//! Tests that the staleness of the state that nodes act on stays bounded under faults.

mod calls;
mod era;
mod fleet;
mod knowledge;
mod large_answers;
mod partial_outage;
mod parts;
#[path = "../../tests/all/support/source.rs"]
#[allow(dead_code, reason = "only tests with sockets use all of it")]
mod source;

use std::time::Duration;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::prelude::*;
use fleet::Fleet;
use source::SourceMode;

/// Time within which changes must be in force.
const IN_FORCE_MS: Millis = Millis(2_000);
/// Enough nodes that three of them are readers and the others are followers.
const NODES: usize = 10;
/// Interval between two versions of the configuration.
const VERSION_INTERVAL: Duration = Duration::from_millis(170);
/// Interval between two checks of the state in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// An injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The store treats all nodes in this mode.
    Store(SourceMode),
    /// The store repeatedly drops its history.
    StoreDropsHistory,
    /// The store returns from a copy that is older by half a second. What was published
    /// since is gone, and the state of now is written again with the next version.
    StoreReturnsFromCopy,
    /// The store rejects one reader and serves the other nodes.
    StoreRejectsReader,
    /// The store rejects all readers and serves the other nodes.
    StoreRejectsAllReaders,
    /// The store answers no watch of one reader, but all other calls.
    StoreDropsReaderWatches,
    /// A reader freezes: its links stay open without sending anything.
    ReaderFreezes,
    /// All readers freeze.
    AllReadersFreeze,
    /// The reads of all readers hang, while they continue to publish what they know.
    AllReadersHang,
    /// A reader stops and starts again.
    ReaderRestarts,
    /// All readers stop and start again.
    AllReadersRestart,
    /// A follower stops and starts again.
    FollowerRestarts,
}

const FAULTS: [Fault; 14] = [
    Fault::Store(SourceMode::DroppingCalls),
    Fault::Store(SourceMode::Failing),
    Fault::Store(SourceMode::DroppingWatches),
    Fault::StoreDropsHistory,
    Fault::StoreReturnsFromCopy,
    Fault::StoreRejectsReader,
    Fault::StoreRejectsAllReaders,
    Fault::StoreDropsReaderWatches,
    Fault::ReaderFreezes,
    Fault::AllReadersFreeze,
    Fault::AllReadersHang,
    Fault::ReaderRestarts,
    Fault::AllReadersRestart,
    Fault::FollowerRestarts,
];

/// A fault, its start and its duration.
#[derive(Clone, Copy, Debug)]
struct FaultWindow {
    fault: Fault,
    start_ms: u64,
    duration_ms: u64,
}

impl FaultWindow {
    fn is_active(&self, now: Millis) -> bool {
        (self.start_ms..self.start_ms + self.duration_ms).contains(&now.0)
    }
}

/// Guards against nodes that do not serve a route although it was confirmed longer ago
/// than changes may take, or that return to an older version of it. This never followed
/// from a single fault, but for example from a store that falls silent just as it accepts
/// a watch, a reader that stops in the same second, and a node that starts meanwhile.
/// Therefore this test combines all pairs of faults and starts the second at each stage
/// of the delays caused by the first: during the first fault, as it ends, and after it.
#[test]
fn two_faults_at_any_moment_keep_staleness_bounded() {
    let mut pairs = Vec::new();
    for first in FAULTS {
        for second in FAULTS {
            for step in 0..SECOND_FAULT_STEPS {
                // Each step starts at a different time between two renewals.
                let start_ms = 5_000 + step * 90;
                // A long fault lets the backoff after failed reads reach its maximum.
                let duration_ms = if step % 2 == 0 { 1_700 } else { 5_000 };
                let first_fault = FaultWindow {
                    fault: first,
                    start_ms,
                    duration_ms,
                };
                let second_fault = FaultWindow {
                    fault: second,
                    start_ms: start_ms + duration_ms - 1_700 + step * 290,
                    duration_ms: 900,
                };
                pairs.push(vec![first_fault, second_fault]);
            }
        }
    }
    run_all(&pairs);
}

/// Number of start times of the second fault, from 1.7 s before to 0.9 s after the end of
/// the first one.
const SECOND_FAULT_STEPS: u64 = 10;

/// Combines three overlapping faults of up to two seconds each. The cases are random, but
/// the same in each run.
#[test]
fn three_faults_at_any_moment_keep_staleness_bounded() {
    const CASES: u64 = 400;
    let mut cases = Vec::new();
    for seed in 0..CASES {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut case = Vec::new();
        for _ in 0..3 {
            case.push(FaultWindow {
                fault: FAULTS[rng.random_range(0..FAULTS.len())],
                start_ms: rng.random_range(5_000..8_000),
                duration_ms: rng.random_range(100..2_000),
            });
        }
        cases.push(case);
    }
    run_all(&cases);
}

/// Guards against a follower that waits for its readers although it had to skip their
/// updates. The readers restart while the store rejects them, so that they begin with a
/// listing, and one freezes. Delays are random, so the case is repeated.
#[test]
fn a_follower_that_skips_updates_reads_the_store_itself() {
    let window = |fault, start_ms, duration_ms| FaultWindow {
        fault,
        start_ms,
        duration_ms,
    };
    let case = vec![
        window(Fault::ReaderFreezes, 6_289, 477),
        window(Fault::AllReadersRestart, 5_206, 354),
        window(Fault::StoreRejectsAllReaders, 5_646, 1_652),
    ];
    run_all(&vec![case; 60]);
}

/// Runs all cases on as many threads as there are processors.
fn run_all(cases: &[Vec<FaultWindow>]) {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get());
    std::thread::scope(|scope| {
        for part in cases.chunks(cases.len().div_ceil(threads)) {
            scope.spawn(move || {
                for case in part {
                    run(case);
                }
            });
        }
    });
}

fn run(faults: &[FaultWindow]) {
    in_virtual_time(run_case(faults));
}

fn in_virtual_time<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(test)
}

async fn run_case(faults: &[FaultWindow]) {
    let mut fleet = Fleet::start(NODES).await;
    let last_end_ms = faults.iter().map(|at| at.start_ms + at.duration_ms).max();
    let end_ms = last_end_ms.unwrap_or_default() + 3 * IN_FORCE_MS.0;
    let mut next_version = Duration::ZERO;
    loop {
        let now = fleet.elapsed();
        if Millis::from_duration(now).0 >= end_ms {
            return;
        }
        let now_ms = Millis::from_duration(now);
        let active_faults = faults.iter().filter(|at| at.is_active(now_ms));
        fleet.set_faults(active_faults.map(|at| at.fault).collect());
        fleet.apply();
        if now >= next_version {
            next_version += VERSION_INTERVAL;
            fleet.put_next_version();
        }
        fleet.check(faults);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
