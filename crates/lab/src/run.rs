//! Runs many cases and policies in parallel and returns their reports in order.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::policy::PolicyKind;
use crate::prelude::*;
use crate::world::{RunReport, World};

/// Processor cores per thread. Half of the machine stays free for other processes.
const CORES_PER_THREAD: usize = 2;

/// A run that is to be made.
#[derive(Clone, Debug)]
pub struct Job {
    /// Experiment of the run.
    pub case: Case,
    /// Target selection policy of the run.
    pub kind: PolicyKind,
}

/// Creates a job for each case and each policy.
#[must_use]
pub fn jobs_for(cases: &[Case], kinds: &[PolicyKind]) -> Vec<Job> {
    let mut jobs = Vec::with_capacity(cases.len() * kinds.len());
    for case in cases {
        for kind in kinds {
            jobs.push(Job {
                case: case.clone(),
                kind: *kind,
            });
        }
    }
    jobs
}

/// Makes all runs. The reports are in the order of the jobs, regardless of the threads,
/// so that the output is reproducible.
#[must_use]
pub fn run_all(jobs: &[Job], seed: u64) -> Vec<RunReport> {
    let next = AtomicUsize::new(0);
    let reports = Mutex::new(vec![None; jobs.len()]);
    thread::scope(|scope| {
        for _ in 0..thread_count(jobs.len()) {
            scope.spawn(|| work(jobs, seed, &next, &reports));
        }
    });
    let reports = reports.into_inner().expect("a run that panics ends all");
    let mut done = Vec::with_capacity(jobs.len());
    for report in reports {
        done.push(report.expect("every job was made"));
    }
    done
}

fn work(jobs: &[Job], seed: u64, next: &AtomicUsize, reports: &Mutex<Vec<Option<RunReport>>>) {
    loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some(job) = jobs.get(index) else {
            return;
        };
        let report = World::new(&job.case, job.kind, seed).run();
        let mut reports = reports.lock().expect("a run that panics ends all");
        reports[index] = Some(report);
    }
}

fn thread_count(jobs: usize) -> usize {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    (cores / CORES_PER_THREAD).clamp(1, jobs.max(1))
}
