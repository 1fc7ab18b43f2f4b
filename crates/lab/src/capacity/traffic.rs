//! Entry and gate against targets and records.

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
/// Calls between two ticks of the gate.
const CALLS_A_TICK: u64 = 1_000;
const UPDATES: u64 = 100;
const SEED: u64 = 1;
const MAX_STORED_BYTES: u64 = 1 << 30;
/// The built-in value of the text.
const MAX_STORED_ANSWER_BYTES: u32 = 65_536;
const SERVICE_TIME_US: u32 = 10_000;

/// An entry against targets.
#[derive(Clone, Debug, Serialize)]
pub struct EntryFigures {
    /// Targets of the service.
    pub targets: usize,
    /// A pick with its finish.
    pub pick_and_finish: StepTime,
    /// The choice of a gate for a ticket.
    pub ticket_gate: StepTime,
    /// Taking over a view in which every load has changed.
    pub update: StepTime,
    /// Memory of the entry, its view not counted.
    pub entry_bytes: u64,
    /// Memory of the view.
    pub view_bytes: u64,
}

/// A gate against records.
#[derive(Clone, Debug, Serialize)]
pub struct GateFigures {
    /// Records held.
    pub records: u64,
    /// Stored answer of each.
    pub answer_bytes: usize,
    /// An arrival without a ticket and its end.
    pub plain: StepTime,
    /// An arrival with a new ticket and its end, records being forgotten at
    /// the same rate.
    pub ticketed: StepTime,
    /// Memory of the gate.
    pub gate_bytes: u64,
}

/// Measures an entry.
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

/// The policy of the experiments, with answers kept as the text's built-in
/// value has it.
fn gate_policy() -> Arc<ServicePolicy> {
    let mut policy = ServicePolicy::clone(&policy());
    policy.max_stored_answer_bytes = MAX_STORED_ANSWER_BYTES;
    Arc::new(policy)
}

/// Measures a gate with so many records.
#[must_use]
pub fn measure_gate(records: u64, answer_bytes: usize) -> GateFigures {
    let policy = gate_policy();
    let mut gate = gate_with_answers(&policy, records, answer_bytes);
    let ttl_ms = policy.ticket_ttl_ms.0;
    // New calls come so fast that as many records expire as are added; they
    // are forgotten by a tick, as in the daemon.
    let ticketed = time_steps(records.max(CALLS_A_TICK), |step| {
        let now = Millis(ttl_ms + step * ttl_ms / records.max(1));
        let key = records + step;
        ticketed_call(&mut gate, &policy, key, answer_bytes, now);
        if step % CALLS_A_TICK == 0 {
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
        panic!("an idle gate runs a call at once");
    };
    let end = RunEnd::Answered {
        answer,
        failed: false,
    };
    drop(gate.finish(run, end, SERVICE_TIME_US, now));
}
