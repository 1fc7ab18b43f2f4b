//! Tests of the gate in virtual time.

use std::sync::Arc;

use super::*;

mod admission;
mod at_most_once;
mod crash;
mod interleavings;

const INCARNATION: Incarnation = Incarnation(7);
const TICKET_TTL_MS: u64 = 120_000;
const FAR_DEADLINE_MS: u64 = 60_000;

fn policy() -> ServicePolicy {
    ServicePolicy {
        service: ServiceName::new("cashier"),
        depends_on: Vec::new(),
        slots: 1,
        connections: 250,
        queue_limit: 2,
        calls: Vec::new(),
        deadline_ms: Millis(2_000),
        ticket_ttl_ms: Millis(TICKET_TTL_MS),
        max_records: 8,
        max_stored_answer_bytes: 1_000,
        buffer_bytes: 0,
        max_request_bytes: 1_000_000,
        cold_ramp_ms: Millis::ZERO,
        budgets: Budgets {
            probes_per_s: 1.0,
            probe_burst: 1,
            retry_share: 0.1,
            hedge_share: 0.0,
            hedge_quantile: 0.95,
        },
        ejection: EjectionPolicy {
            consecutive_failures: 5,
            max_ejected_share: 0.5,
            base_ejection_ms: Millis(1_000),
            max_ejection_ms: Millis(30_000),
        },
    }
}

fn gate_of(vm: &str, incarnation: Incarnation, policy: &ServicePolicy) -> Gate {
    let settings = GateSettings {
        vm: VmId::new(vm),
        incarnation,
        seed: 1,
        max_stored_bytes: 2_000,
    };
    Gate::new(settings, Arc::new(policy.clone()), Millis::ZERO)
}

fn gate(policy: &ServicePolicy) -> Gate {
    gate_of("vm-1", INCARNATION, policy)
}

fn ticket(key: u128, expires_at_ms: u64) -> Ticket {
    Ticket {
        service: ServiceName::new("cashier"),
        gate: VmId::new("vm-1"),
        incarnation: INCARNATION,
        key: CallKey(key),
        expires_at: Millis(expires_at_ms),
    }
}

fn plain(deadline_at_ms: u64) -> Arrival<'static> {
    Arrival {
        class: CallClass::Interactive,
        deadline_at: Millis(deadline_at_ms),
        ticket: None,
        digest: 0,
        fingerprint: 0,
    }
}

fn with_ticket(ticket: &Ticket) -> Arrival<'_> {
    Arrival {
        ticket: Some(ticket),
        digest: 42,
        ..plain(FAR_DEADLINE_MS)
    }
}

fn stored(size_bytes: usize) -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![0; size_bytes],
    })
}

fn answered(size_bytes: usize) -> RunEnd {
    RunEnd::Answered {
        answer: Some(stored(size_bytes)),
        failed: false,
    }
}

fn answered_plain() -> RunEnd {
    RunEnd::Answered {
        answer: None,
        failed: false,
    }
}

#[track_caller]
fn run_of(verdict: Verdict) -> RunId {
    match verdict {
        Verdict::Run(run) | Verdict::Wait(run) => run,
        other => panic!("not admitted: {other:?}"),
    }
}

#[track_caller]
fn code_of(verdict: Verdict) -> ResultCode {
    match verdict {
        Verdict::Refuse(refusal) => refusal.code,
        other => panic!("not refused: {other:?}"),
    }
}

#[track_caller]
fn fence_code(answer: FenceAnswer) -> ResultCode {
    match answer {
        FenceAnswer::Settled(Settlement::Refused(refusal)) => refusal.code,
        other => panic!("not refused: {other:?}"),
    }
}

fn refused(run: RunId, code: ResultCode, wakes: &[Wake]) -> bool {
    wakes
        .iter()
        .any(|wake| matches!(wake, Wake::Refuse(id, refusal) if *id == run && refusal.code == code))
}

fn settled(run: RunId, code: ResultCode, wakes: &[Wake]) -> bool {
    wakes.iter().any(|wake| {
        matches!(wake, Wake::Settled(id, Settlement::Refused(refusal))
            if *id == run && refusal.code == code)
    })
}
