//! Cost of entries by the number of targets, and of gates by the number of records.

use std::hint::black_box;
use std::sync::Arc;

use hornbeamhitch_core::entry::{EntryService, EntrySettings};
use hornbeamhitch_core::gate::{Arrival, Gate, GateSettings, RunEnd, StoredAnswer, Verdict};
use hornbeamhitch_core::view::ReceivedLoad;
use serde::Serialize;

use crate::capacity::memory::held_bytes;
use crate::capacity::stopwatch::{StepTime, time_steps};
use crate::fixture::{entry_with_targets, pick_and_finish, policy, report, view_with_targets};
use crate::prelude::*;

const STEPS: u64 = 50_000;
/// Number of calls between two ticks of the gate.
const CALLS_PER_TICK: u64 = 1_000;
const UPDATES: u64 = 100;
const SEED: u64 = 1;
const MAX_STORED_BYTES: u64 = 1 << 30;
/// Default of the setting in the configuration text.
const MAX_STORED_ANSWER_BYTES: u32 = 65_536;
const SERVICE_TIME_US: u32 = 10_000;

/// Cost of an entry with some number of targets.
#[derive(Clone, Debug, Serialize)]
pub struct EntryFigures {
    /// Number of targets of the service.
    pub targets: usize,
    /// Time of a pick and its finish.
    pub pick_and_finish: StepTime,
    /// Time of the choice of a gate for a ticket.
    pub ticket_gate: StepTime,
    /// Time of an update to a view in which every load has changed.
    pub update: StepTime,
    /// Memory of the entry without its view, in bytes.
    pub entry_bytes: u64,
    /// Memory of the view, in bytes.
    pub view_bytes: u64,
}

/// Cost of a gate with some number of records.
#[derive(Clone, Debug, Serialize)]
pub struct GateFigures {
    /// Number of records.
    pub records: u64,
    /// Length of the stored answer of each record, in bytes.
    pub answer_bytes: usize,
    /// Time of an arrival without a ticket and its finish.
    pub plain: StepTime,
    /// Time of an arrival with a new ticket and its finish, while records expire at the
    /// same rate.
    pub ticketed: StepTime,
    /// Memory of the gate, in bytes.
    pub gate_bytes: u64,
}

/// Measures an entry with this number of targets.
#[must_use]
pub fn measure_entry(targets: usize) -> EntryFigures {
    let mut entry = entry_with_targets(targets);
    let picks = time_steps(STEPS, |step| pick_and_finish(&mut entry, step));
    let tickets = time_steps(STEPS, |step| {
        let _ = black_box(entry.ticket_gate(CallKey(u128::from(step)), Millis(60_000)));
    });
    let mut views = Vec::new();
    for variant in 0..2 {
        let mut view = view_with_targets(targets);
        for target in &mut view.targets {
            target.load = Some(ReceivedLoad {
                report: report(variant, Millis::from_secs(70)),
                received_at: Millis::from_secs(70),
            });
        }
        views.push(Arc::new(view));
    }
    let update = time_steps(UPDATES, |step| {
        entry.update(Arc::clone(&views[step as usize % 2]), Millis::from_secs(70));
    });
    drop(entry);
    drop(views);
    let view = Arc::new(view_with_targets(targets));
    let entry = EntryService::new(
        &EntrySettings { seed: SEED },
        Arc::clone(&view),
        Millis::ZERO,
    );
    EntryFigures {
        targets,
        pick_and_finish: picks,
        ticket_gate: tickets,
        update,
        entry_bytes: held_bytes(Box::new(entry)),
        view_bytes: held_bytes(view),
    }
}

/// Policy of the experiments, with the default limit on stored answers of the
/// configuration text.
fn gate_policy() -> Arc<ServicePolicy> {
    let mut policy = ServicePolicy::clone(&policy());
    policy.max_stored_answer_bytes = MAX_STORED_ANSWER_BYTES;
    Arc::new(policy)
}

/// Measures a gate with this number of records.
#[must_use]
pub fn measure_gate(records: u64, answer_bytes: usize) -> GateFigures {
    let policy = gate_policy();
    let mut gate = gate_with_answers(&policy, records, answer_bytes);
    let ttl_ms = policy.ticket_ttl_ms.0;
    // New calls arrive at the rate at which records expire. Ticks remove the expired
    // records, as in the daemon.
    let ticketed = time_steps(records.max(CALLS_PER_TICK), |step| {
        let now = Millis(ttl_ms + step * ttl_ms / records.max(1));
        let key = records + step;
        ticketed_call(&mut gate, &policy, key, answer_bytes, now);
        if step % CALLS_PER_TICK == 0 {
            drop(gate.tick(now));
        }
    });
    drop(gate);
    let mut gate = gate_with_answers(&policy, records, answer_bytes);
    let plain = time_steps(STEPS, |step| {
        run_call(&mut gate, None, step, None, Millis(ttl_ms + step / 4));
    });
    GateFigures {
        records,
        answer_bytes,
        plain,
        ticketed,
        gate_bytes: held_bytes(Box::new(gate_with_answers(&policy, records, answer_bytes))),
    }
}

fn gate_with_answers(policy: &Arc<ServicePolicy>, records: u64, answer_bytes: usize) -> Gate {
    let settings = GateSettings {
        vm: VmId::new("vm-0000"),
        incarnation: Incarnation(1),
        seed: SEED,
        max_stored_bytes: MAX_STORED_BYTES,
    };
    let mut gate = Gate::new(settings, Arc::clone(policy), Millis::ZERO);
    let ttl_ms = policy.ticket_ttl_ms.0;
    for key in 0..records {
        let now = Millis(key * ttl_ms / records);
        ticketed_call(&mut gate, policy, key, answer_bytes, now);
    }
    gate
}

fn ticketed_call(
    gate: &mut Gate,
    policy: &ServicePolicy,
    key: u64,
    answer_bytes: usize,
    now: Millis,
) {
    let ticket = Ticket {
        service: policy.service.clone(),
        gate: VmId::new("vm-0000"),
        incarnation: Incarnation(1),
        key: CallKey(u128::from(key)),
        expires_at: now + policy.ticket_ttl_ms,
    };
    let answer = StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![0; answer_bytes],
    };
    run_call(gate, Some(&ticket), key, Some(Arc::new(answer)), now);
}

fn run_call(
    gate: &mut Gate,
    ticket: Option<&Ticket>,
    digest: u64,
    answer: Option<Arc<StoredAnswer>>,
    now: Millis,
) {
    let arrival = Arrival {
        class: CallClass::Interactive,
        deadline_at: now + Millis(1_000),
        ticket,
        digest,
        fingerprint: digest + 1,
    };
    let Verdict::Run(run) = gate.arrive(&arrival, now) else {
        panic!("an idle gate runs a call immediately");
    };
    let end = RunEnd::Answered {
        answer,
        failed: false,
    };
    drop(gate.finish(run, end, SERVICE_TIME_US, now));
}
