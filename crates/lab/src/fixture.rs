//! Entries and gates of a given size, for measuring what one decision costs.

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
/// A time at which no target is cold any more.
const WARM_AT: Millis = Millis::from_secs(60);

/// The policy that the experiments use.
#[must_use]
pub fn policy() -> Arc<ServicePolicy> {
    catalogue()[0].service_policy(0)
}

/// A view of so many targets, each with a report.
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

/// An entry that knows so many targets, all warm and with a fresh report.
#[must_use]
pub fn entry_with_targets(targets: usize) -> EntryService {
    let view = Arc::new(view_with_targets(targets));
    EntryService::new(&EntrySettings { seed: SEED }, view, Millis::ZERO)
}

/// A report as it rides on an answer.
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

/// Picks a target for a first attempt and ends it with an answer; `step` makes
/// time pass and loads differ.
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

/// A gate that keeps so many records of ticketed calls.
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

/// Takes in a call, runs it at once and ends it with an answer.
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
        panic!("an idle gate runs a call at once");
    };
    let end = RunEnd::Answered {
        answer: None,
        failed: false,
    };
    for wake in gate.finish(run, end, SERVICE_TIME_US, now) {
        let is_own_end = ticket.is_some() && matches!(wake, Wake::Settled(..));
        assert!(is_own_end, "nobody was held, but the gate says {wake:?}");
    }
}
