//! Which gates entries send calls to, how often, and with which terms.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_wire::link::{ToEntry, ToGate};
use parking_lot::Mutex;
use tokio::net::TcpListener;

use crate::support::caller::{Caller, DEADLINE, request};
use crate::support::gate_end::{FakeGate, answer};
use crate::support::{Fleet, fleet, member, set_directory};

/// Minimum time for which a gate that refuses all work is avoided.
const MIN_AVOIDANCE: Duration = Duration::from_millis(400);

/// How a fake gate replies to each call.
#[derive(Clone, Copy)]
enum GateReply {
    Answer,
    End(CallEnd),
}

/// The terms of the calls that a fake gate has received.
type ReceivedTerms = Arc<Mutex<Vec<CallTerms>>>;

/// Starts a fake gate and returns its target as a listed member, together with the
/// terms that the gate receives.
async fn scripted_target(fleet: &Fleet, number: u8, reply: GateReply) -> (Member, ReceivedTerms) {
    let ip = format!("127.201.0.{number}");
    let listener = TcpListener::bind((ip.as_str(), fleet.gate_port)).await;
    let listener = listener.expect("the gate's port");
    let received = ReceivedTerms::default();
    let recorded = Arc::clone(&received);
    tokio::spawn(async move {
        let mut gate = FakeGate::accept(&listener, u64::from(number)).await;
        while let Some(frame) = gate.next_unless_closed().await {
            let (id, terms) = match frame {
                ToGate::Call { id, terms, .. } | ToGate::Offer { id, terms, .. } => (id, terms),
                ToGate::Ping => {
                    gate.send(&ToEntry::Pong).await;
                    continue;
                }
                _ => continue,
            };
            recorded.lock().push(terms.clone());
            match reply {
                GateReply::Answer => gate.send(&answer(id, &terms.request_id)).await,
                GateReply::End(end) => gate.send(&ToEntry::Ended { id, end }).await,
            }
        }
    });
    let address: SocketAddr = format!("{ip}:1").parse().expect("an address");
    (member(usize::from(number), "s", address), received)
}

/// Guards against calls that spend their time on targets that no longer exist. After
/// a power loss of all VMs the list still contains such targets, and their gates
/// refuse all work. If every call tried them in every round, too little time would be
/// left to find another target.
#[tokio::test]
async fn a_gate_that_refuses_all_work_is_avoided_for_a_while() {
    let fleet = fleet(&["other"]).await;
    let (healthy, served) = scripted_target(&fleet, 1, GateReply::Answer).await;
    let (departed, received) = scripted_target(&fleet, 2, GateReply::End(CallEnd::Leaving)).await;
    set_directory(&fleet.directory, "s", vec![healthy, departed]);
    let started = Instant::now();
    for number in 0..40 {
        let id = format!("id-{number}");
        let answer = request(fleet.vms[0].callers, "GET", "/read/x", &id).await;
        assert_eq!(answer.status(), 200);
    }
    let max_received = 1 + started.elapsed().as_millis() / MIN_AVOIDANCE.as_millis();
    let received = received.lock().len();
    assert!(
        received as u128 <= max_received,
        "the gate received {received} calls instead of at most {max_received}"
    );
    assert_eq!(served.lock().len(), 40);
}

/// Guards against treating a retried lookup as a new one. Its caller was refused
/// because no slot was free, and retries with the rest of its deadline. The terms sent
/// to gates must contain how much of the objective has passed, so that the retry takes
/// no slot from a new call that can still meet its objective.
#[tokio::test]
async fn a_retrying_callers_objective_counts_from_its_first_request() {
    let fleet = fleet(&["other"]).await;
    let (busy, received) = scripted_target(&fleet, 3, GateReply::End(CallEnd::Busy)).await;
    set_directory(&fleet.directory, "s", vec![busy]);
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let started = Instant::now();
    let first = caller
        .look_up_with_deadline("/read/x", "id-1", DEADLINE)
        .await;
    assert_eq!(first.status(), 503);
    let elapsed = started.elapsed();
    let remaining = DEADLINE - elapsed;
    let second = caller
        .look_up_with_deadline("/read/x", "id-2", remaining)
        .await;
    assert_eq!(second.status(), 503);
    let received = received.lock();
    let retry = received.iter().find(|terms| terms.request_id == "id-2");
    let retry = retry.expect("the gate received the retry");
    let elapsed_ms = retry.whole_objective_ms.since(retry.objective_ms);
    let expected_ms = retry.whole_objective_ms.0.min(elapsed.as_millis() as u64);
    assert!(
        elapsed_ms.0 + 20 >= expected_ms,
        "{elapsed_ms:?} have passed instead of at least {expected_ms} ms"
    );
}
