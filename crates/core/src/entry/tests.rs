//! Replays failures against the entry in virtual time, with fixed seeds.

use std::net::{Ipv4Addr, SocketAddr};

use super::*;
use crate::view::ReceivedLoad;

mod bounds;
mod ejection;
mod herding;
mod picking;
mod retries;
mod slow_start;
mod tickets;

const FAR_DEADLINE: Millis = Millis(1_000_000);
const NEW_INCARNATION: Incarnation = Incarnation(9_000);
const SERVICE_US: u32 = 20_000;

fn policy() -> ServicePolicy {
    ServicePolicy {
        service: ServiceName::new("cashier"),
        depends_on: Vec::new(),
        slots: 12,
        connections: 250,
        queue_limit: 24,
        calls: Vec::new(),
        deadline_ms: Millis(2_000),
        ticket_ttl_ms: Millis(120_000),
        max_records: 1_000,
        max_stored_answer_bytes: 65_536,
        buffer_bytes: 65_536,
        max_request_bytes: 1 << 20,
        cold_ramp_ms: Millis(10_000),
        budgets: Budgets {
            probes_per_s: 1.0,
            probe_burst: 1,
            retry_share: 0.1,
            hedge_share: 0.05,
            hedge_quantile: 0.95,
        },
        ejection: EjectionPolicy {
            consecutive_failures: 5,
            max_ejected_share: 0.5,
            base_ejection_ms: Millis(1_000),
            max_ejection_ms: Millis(8_000),
        },
    }
}

fn target_view(number: usize) -> TargetView {
    TargetView {
        vm: VmId::new(&format!("vm-{number:03}")),
        data_centre: DataCentre::new("dc-1"),
        peer: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        incarnation: Some(incarnation_of(number)),
        distance_us: 100,
        leaving: false,
        doubtful: false,
        load: None,
    }
}

fn incarnation_of(number: usize) -> Incarnation {
    Incarnation(1_000 + number as u64)
}

fn view(targets: usize) -> ServiceView {
    ServiceView {
        policy: Arc::new(policy()),
        targets: (0..targets).map(target_view).collect(),
    }
}

fn service(view: &ServiceView) -> EntryService {
    let settings = EntrySettings { seed: 7 };
    EntryService::new(&settings, Arc::new(view.clone()), Millis::ZERO)
}

fn report(number: usize, outstanding: u32, clock_ms: u64) -> LoadReport {
    LoadReport {
        in_flight: outstanding.min(12),
        queued: outstanding.saturating_sub(12),
        limit: 12,
        service_time_us: SERVICE_US,
        gate_clock_ms: Millis(clock_ms),
        incarnation: incarnation_of(number),
        leaving: false,
    }
}

fn received_load(number: usize, outstanding: u32, at: u64) -> Option<ReceivedLoad> {
    Some(ReceivedLoad {
        report: report(number, outstanding, at),
        received_at: Millis(at),
    })
}

fn ended(end: AttemptEnd) -> AttemptOutcome {
    AttemptOutcome {
        end,
        latency_us: SERVICE_US,
        load: None,
    }
}

const SUCCESS: AttemptEnd = AttemptEnd::Answered { failed: false };
const FAILURE: AttemptEnd = AttemptEnd::Answered { failed: true };

fn refused(code: ResultCode) -> AttemptEnd {
    AttemptEnd::Refused(Refusal::fixed(code))
}

fn pick(service: &mut EntryService, now: u64) -> Pick {
    pick_excluding(service, &[], now).expect("a target is usable")
}

fn pick_excluding(
    service: &mut EntryService,
    exclude: &[TargetIndex],
    now: u64,
) -> Result<Pick, Refusal> {
    let request = PickRequest {
        exclude,
        deadline_at: FAR_DEADLINE,
    };
    service.pick(&request, Millis(now))
}

/// Sends one attempt to a given target and ends it with `end`.
fn end_at(service: &mut EntryService, target: u32, end: AttemptEnd, now: u64) {
    outcome_at(service, target, &ended(end), now);
}

fn outcome_at(service: &mut EntryService, target: u32, outcome: &AttemptOutcome, now: u64) {
    let pick = service.pick_fixed(TargetIndex(target), Millis(now));
    service.finish(&pick, outcome, Millis(now));
}

fn answer_with_load(service: &mut EntryService, report: &LoadReport, now: u64) {
    let number = (report.incarnation.0 % 1_000) as u32;
    let mut outcome = ended(SUCCESS);
    outcome.load = Some(*report);
    outcome_at(service, number, &outcome, now);
}

/// Picks and ends `calls` attempts in sequence, one per millisecond, and
/// returns the number of attempts per target.
fn run(
    service: &mut EntryService,
    from: u64,
    calls: u64,
    end_of: impl Fn(usize) -> AttemptEnd,
) -> Vec<u32> {
    let mut counts = vec![0; 600];
    for now in from..from + calls {
        let pick = pick(service, now);
        let number = pick.target.0 as usize;
        counts[number] += 1;
        let mut outcome = ended(end_of(number));
        if outcome.end == FAILURE {
            outcome.latency_us = 100;
        }
        service.finish(&pick, &outcome, Millis(now));
    }
    counts
}

fn call() -> CallProgress {
    CallProgress {
        idempotent: true,
        attempts: 1,
        depth: 0,
        deadline_at: FAR_DEADLINE,
        may_have_run: false,
    }
}

fn given_up(next: Next) -> Refusal {
    match next {
        Next::GiveUp(refusal) => refusal,
        Next::Retry => panic!("the call was retried"),
    }
}
