//! All cases by name, for the deployments `bangkok` and `ljubljana`.

use super::{Case, Fault, FaultAt, KeyMaker, ServiceSpec};
use crate::time::Micros;

/// Number of calls that a steady case measures. A hundred of them are above the p99.9.
const STEADY_CALLS: f64 = 100_000.0;
/// Time before measurement. It is longer than the warm-up of a new gate.
const WARM_UP: Micros = Micros::from_millis(7_000);
/// Length of fault cases. It is the same for all, so that faults have the same weight.
const FAULT_DURATION: Micros = Micros::from_millis(30_000);
/// Load of the cases with several faults, in percent. While one of Ljubljana's four
/// targets is slow and another is away, the rest has a little over half the capacity.
const COMBINED_FAULTS_PERCENT: u32 = 45;
/// Length of chain cases. They are shorter, because each call causes eight.
const CHAIN_DURATION: Micros = Micros::from_millis(17_000);
const DEEPEST_CHAIN: usize = 8;
const CHAIN_NAMES: [&str; DEEPEST_CHAIN] = ["a", "b", "c", "d", "e", "f", "g", "h"];

struct Deployment {
    name: &'static str,
    lookups: ServiceSpec,
    small: ServiceSpec,
    payments: ServiceSpec,
    nodes: usize,
}

/// Returns all cases in the order of the report.
#[must_use]
pub fn catalogue() -> Vec<Case> {
    let bangkok = Deployment {
        name: "bangkok",
        lookups: service("layouts", 5, 12, 10_000.0),
        small: service("ledger", 3, 12, 10_000.0),
        payments: service("cashier", 3, 12, 10_000.0),
        nodes: 14,
    };
    let ljubljana = Deployment {
        name: "ljubljana",
        lookups: service("polica", 4, 6, 10_000.0),
        small: service("skode", 3, 6, 10_000.0),
        payments: service("izplacila", 3, 6, 10_000.0),
        nodes: 13,
    };
    let mut cases = Vec::new();
    for deployment in [&bangkok, &ljubljana] {
        push_steady(&mut cases, deployment);
        push_faults(&mut cases, deployment);
        push_chains(&mut cases, deployment);
    }
    cases
}

const fn service(name: &'static str, targets: usize, slots: u32, mean_work_us: f64) -> ServiceSpec {
    ServiceSpec {
        name,
        targets,
        slots,
        mean_work_us,
    }
}

fn push_steady(cases: &mut Vec<Case>, deployment: &Deployment) {
    for percent in [50, 80, 95, 120] {
        cases.push(steady(deployment, &deployment.lookups, "steady", percent));
    }
    for percent in [80, 95] {
        cases.push(steady(deployment, &deployment.small, "small", percent));
    }
    for percent in [50, 80, 95] {
        let mut case = steady(deployment, &deployment.payments, "tickets", percent);
        case.about = "calls that may not run twice, by tickets";
        case.ticket_keys = Some(KeyMaker::Entry);
        cases.push(case);
    }
    let mut keyed = steady(deployment, &deployment.payments, "keyed", 80);
    keyed.about = "the same, with keys that callers make";
    keyed.ticket_keys = Some(KeyMaker::Caller);
    cases.push(keyed);
    for percent in [50, 80, 95] {
        let mut case = steady(deployment, &deployment.lookups, "noisy", percent);
        case.about = "each target freezes for 5-50 ms about once a second";
        case.noisy = true;
        cases.push(case);
    }
    for percent in [50, 80] {
        let mut case = steady(deployment, &deployment.lookups, "stale", percent);
        case.about = "noisy neighbours, and reports are 10-500 ms old";
        case.noisy = true;
        case.stale_reports = true;
        cases.push(case);
    }
    let mut overload = steady(deployment, &deployment.lookups, "overload", 200);
    overload.about = "twice the capacity, and refused callers come back";
    overload.callers_resend = true;
    cases.push(overload);
}

fn push_faults(cases: &mut Vec<Case>, deployment: &Deployment) {
    let slow = vec![
        at(
            8_000,
            Fault::Slow {
                target: 0,
                factor: 4.0,
            },
        ),
        at(
            20_000,
            Fault::Slow {
                target: 0,
                factor: 1.0,
            },
        ),
    ];
    cases.push(faulty(
        deployment,
        "slow",
        "one target is four times slower for 12 s",
        slow,
    ));
    let fail_fast = vec![
        at(
            8_000,
            Fault::FailFast {
                target: 0,
                on: true,
            },
        ),
        at(
            20_000,
            Fault::FailFast {
                target: 0,
                on: false,
            },
        ),
    ];
    cases.push(faulty(
        deployment,
        "fail-fast",
        "one target answers 500 at once for 12 s",
        fail_fast,
    ));
    let drain = vec![
        at(8_000, Fault::Drain { target: 0 }),
        at(13_000, Fault::ColdStart { target: 0 }),
        at(18_000, Fault::Drain { target: 1 }),
        at(23_000, Fault::ColdStart { target: 1 }),
    ];
    cases.push(faulty(
        deployment,
        "drain-cold",
        "two targets in turn drain and start cold",
        drain,
    ));
    let crash = vec![at(10_000, Fault::CrashCall)];
    let mut crash = faulty(
        deployment,
        "crash",
        "a request crashes targets; its caller sends it again",
        crash,
    );
    crash.callers_resend = true;
    cases.push(crash);
    let together = vec![
        at(
            8_000,
            Fault::Slow {
                target: 1,
                factor: 4.0,
            },
        ),
        at(9_000, Fault::Drain { target: 0 }),
        at(14_000, Fault::ColdStart { target: 0 }),
        at(
            20_000,
            Fault::Slow {
                target: 1,
                factor: 1.0,
            },
        ),
    ];
    let about = "noisy neighbours, a slow target, and another drains and starts cold";
    let mut together = faulty(deployment, "together", about, together);
    together.noisy = true;
    together.name = format!("{}-together-{COMBINED_FAULTS_PERCENT}", deployment.name);
    together.load = f64::from(COMBINED_FAULTS_PERCENT) / 100.0;
    cases.push(together);
    let lost = vec![
        at(8_000, Fault::LoseDataCentre { data_centre: 2 }),
        at(20_000, Fault::RestoreDataCentre { data_centre: 2 }),
    ];
    cases.push(faulty(
        deployment,
        "lost-dc",
        "a data centre is lost for 12 s",
        lost,
    ));
}

fn push_chains(cases: &mut Vec<Case>, deployment: &Deployment) {
    for percent in [60, 120] {
        let mut case = steady(deployment, &deployment.small, "deep", percent);
        case.about = "calls 8 deep; each target calls the next service";
        case.chain.clear();
        for name in CHAIN_NAMES {
            case.chain
                .push(service(name, 3, deployment.small.slots, 2_000.0));
        }
        case.nodes = 3 * DEEPEST_CHAIN;
        case.duration = CHAIN_DURATION;
        cases.push(case);
    }
}

fn steady(deployment: &Deployment, service: &ServiceSpec, kind: &str, percent: u32) -> Case {
    let mut case = Case {
        name: format!("{}-{kind}-{percent}", deployment.name),
        about: "steady load, no faults",
        chain: vec![service.clone()],
        nodes: deployment.nodes,
        load: f64::from(percent) / 100.0,
        work_sigma: 0.5,
        noisy: false,
        stale_reports: false,
        ticket_keys: None,
        callers_resend: false,
        duration: Micros::ZERO,
        warm_up: WARM_UP,
        faults: Vec::new(),
    };
    let measured_s = STEADY_CALLS / case.rate_per_s();
    case.duration = WARM_UP + Micros::from_f64(measured_s * 1e6);
    case
}

fn faulty(deployment: &Deployment, kind: &str, about: &'static str, faults: Vec<FaultAt>) -> Case {
    const PERCENT: u32 = 60;
    let mut case = steady(deployment, &deployment.lookups, kind, PERCENT);
    case.about = about;
    case.duration = FAULT_DURATION;
    case.faults = faults;
    case
}

const fn at(millis: u64, fault: Fault) -> FaultAt {
    FaultAt {
        at: Micros::from_millis(millis),
        fault,
    }
}
