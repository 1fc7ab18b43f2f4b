//! Runs many cases and policies, each on its own, and keeps their order.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::policy::PolicyKind;
use crate::prelude::*;
use crate::world::{RunReport, World};

/// Runs that are independent of each other may share the machine, but leave
/// half of it to others.
const CORES_PER_THREAD: usize = 2;

/// One run to make.
#[derive(Clone, Debug)]
pub struct Job {
    /// The experiment.
    pub case: Case,
    /// The way of picking.
    pub kind: PolicyKind,
}

/// Every case with every way of picking.
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

/// Makes all runs; the reports come in the order of the jobs, whatever thread
/// made them, so that output repeats.
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
