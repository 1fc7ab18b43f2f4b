//! Entries and gates of a given size, for measuring the cost of a decision.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use hornbeamhitch_core::entry::{EntryService, EntrySettings};
use hornbeamhitch_core::gate::{Arrival, Gate, GateSettings, RunEnd, Verdict, Wake};
use hornbeamhitch_core::view::ReceivedLoad;

use crate::case::catalogue;
use crate::prelude::*;

const SEED: u64 = 1;
const SERVICE_TIME_US: u32 = 10_000;
const DEADLINE_MS: Millis = Millis(1_000);
/// Time at which all targets are warm.
const WARM_AT: Millis = Millis::from_secs(60);

/// Service policy of the experiments.
#[must_use]
pub fn policy() -> Arc<ServicePolicy> {
    catalogue()[0].service_policy(0)
}

/// Creates a view with this number of targets, each with a load report.
#[must_use]
pub fn view_with_targets(targets: usize) -> ServiceView {
    let mut listed = Vec::with_capacity(targets);
    for index in 0..targets {
        let address = Ipv4Addr::from(0x0a00_0000 + index as u32);
        listed.push(TargetView {
            vm: VmId::new(&format!("vm-{index:04}")),
            data_centre: DataCentre::new("dc-0"),
            peer: SocketAddr::new(IpAddr::V4(address), 7_000),
            incarnation: Some(Incarnation(1)),
            distance_us: 100,
            leaving: false,
            doubtful: false,
            load: Some(ReceivedLoad {
                report: report(index as u32 % 12, Millis::ZERO),
                received_at: Millis::ZERO,
            }),
        });
    }
    ServiceView {
        policy: policy(),
        targets: listed,
    }
}

/// Creates an entry with this number of targets, each with a fresh load report.
#[must_use]
pub fn entry_with_targets(targets: usize) -> EntryService {
    let view = Arc::new(view_with_targets(targets));
    EntryService::new(&EntrySettings { seed: SEED }, view, Millis::ZERO)
}

/// Creates a load report as answers carry it.
#[must_use]
pub const fn report(in_flight: u32, gate_clock_ms: Millis) -> LoadReport {
    LoadReport {
        in_flight,
        queued: 0,
        limit: 12,
        service_time_us: SERVICE_TIME_US,
        gate_clock_ms,
        incarnation: Incarnation(1),
        leaving: false,
    }
}

/// Picks a target for a first attempt and finishes the attempt with an answer. Time and
/// load depend on `step`.
pub fn pick_and_finish(entry: &mut EntryService, step: u64) {
    let now = WARM_AT + Millis(step / 4);
    let request = PickRequest {
        exclude: &[],
        deadline_at: now + DEADLINE_MS,
    };
    let pick = entry.pick(&request, now).expect("all targets are usable");
    let outcome = AttemptOutcome {
        end: AttemptEnd::Answered { failed: false },
        latency_us: SERVICE_TIME_US,
        load: Some(report((step % 12) as u32, now)),
    };
    entry.finish(&pick, &outcome, now);
}

/// Creates a gate that has this number of records of ticketed calls.
#[must_use]
pub fn gate_with_records(records: u64) -> Gate {
    let settings = GateSettings {
        vm: VmId::new("vm-0000"),
        incarnation: Incarnation(1),
        seed: SEED,
        max_stored_bytes: 64 << 20,
    };
    let mut gate = Gate::new(settings, policy(), Millis::ZERO);
    for key in 0..records {
        let ticket = Ticket {
            service: policy().service.clone(),
            gate: VmId::new("vm-0000"),
            incarnation: Incarnation(1),
            key: CallKey(u128::from(key)),
            expires_at: policy().ticket_ttl_ms,
        };
        arrive_and_finish(&mut gate, Some(&ticket), 0);
    }
    gate
}

/// Admits a call, runs it immediately and finishes it with an answer.
pub fn arrive_and_finish(gate: &mut Gate, ticket: Option<&Ticket>, step: u64) {
    let now = Millis(step / 4);
    let arrival = Arrival {
        class: CallClass::Interactive,
        deadline_at: now + DEADLINE_MS,
        ticket,
        digest: step,
        fingerprint: step + 1,
    };
    let Verdict::Run(run) = gate.arrive(&arrival, now) else {
        panic!("an idle gate runs a call immediately");
    };
    let end = RunEnd::Answered {
        answer: None,
        failed: false,
    };
    for wake in gate.finish(run, end, SERVICE_TIME_US, now) {
        let is_own_end = ticket.is_some() && matches!(wake, Wake::Settled(..));
        assert!(
            is_own_end,
            "no call was queued, but the gate returned {wake:?}"
        );
    }
}
