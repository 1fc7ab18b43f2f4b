//! Tests of the entry's estimate of a gate's clock.

use hornbeamhitch_core::view::ReceivedLoad;

use super::*;

const TEXT: &str = r#"{
  "deployment": "test",
  "services": { "cashier": { "slots": 4 } },
}"#;
const INCARNATION: Incarnation = Incarnation(7);

fn report(gate_clock_ms: u64) -> LoadReport {
    LoadReport {
        in_flight: 0,
        queued: 0,
        limit: 4,
        service_time_us: 0,
        gate_clock_ms: Millis(gate_clock_ms),
        incarnation: INCARNATION,
        leaving: false,
    }
}

/// Returns a board with one target, whose only load report came in a heartbeat.
fn board_with_heartbeat(heartbeat: LoadReport) -> EntryBoard {
    let checked = hornbeamhitch_text::check(TEXT).expect("the text is valid");
    let policy = Arc::new(checked.services[0].clone());
    let target = TargetView {
        vm: VmId::new("cashier-1"),
        data_centre: DataCentre::new("a"),
        peer: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: Some(INCARNATION),
        distance_us: 0,
        leaving: false,
        doubtful: false,
        load: Some(ReceivedLoad {
            report: heartbeat,
            received_at: Millis::ZERO,
        }),
    };
    let view = ServiceView {
        policy: Arc::clone(&policy),
        targets: vec![target],
    };
    let mut routes = RouteTable::default();
    routes
        .services
        .insert(policy.service.clone(), Arc::new(view));
    let routes = Arc::new(ArcSwap::from_pointee(routes));
    EntryBoard::new(routes, ProcessClock::start(), 1)
}

/// Guards against refusing the first payment to a gate that has only sent
/// heartbeats so far. Their load reports are read before they are sent, so the
/// clock in them lags. If the entry took it for the gate's clock, the payment's
/// deadline would be too early, and the gate would refuse a payment that has
/// enough time. Only the report in an answer is as recent as the answer.
#[test]
fn a_gates_clock_is_learned_from_its_answers_only() {
    let board = board_with_heartbeat(report(1_000));
    let (entry, _) = board.entry("cashier").expect("the service is known");
    let ticket = Ticket {
        service: ServiceName::new("cashier"),
        gate: VmId::new("cashier-1"),
        incarnation: INCARNATION,
        key: CallKey(1),
        expires_at: Millis(100_000),
    };
    let gate = entry.choose_gate(&ticket).expect("the VM is known");
    assert_eq!(gate.clock_ms, None);

    let mut guard = gate.guard;
    guard.note_head(Some(report(60_000)));
    guard.end(AttemptEnd::Answered { failed: false });
    let gate = entry.choose_gate(&ticket).expect("the VM is known");
    assert!(gate.clock_ms >= Some(Millis(60_000)));
}
