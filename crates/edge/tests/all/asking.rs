//! Whom entries ask, and how often.

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

/// A gate that takes no more is left alone for at least this long.
const MIN_AVOIDANCE: Duration = Duration::from_millis(400);

/// What a gate of a test says to each call.
#[derive(Clone, Copy)]
enum GateReply {
    Answer,
    End(CallEnd),
}

/// The terms of the calls that a gate was asked to take.
type ReceivedTerms = Arc<Mutex<Vec<CallTerms>>>;

/// A target of the service behind a gate that the test plays, and what this gate was
/// asked for.
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
                ToGate::Call { id, terms, .. } | ToGate::Ask { id, terms, .. } => (id, terms),
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

/// All VMs have lost power, and the list still names the targets that are no more.
/// Their gates say that they take nothing for them. Asked again by every call, in
/// every round, they would use up the time that calls have to find another target.
#[tokio::test]
async fn a_gate_that_refuses_all_work_is_avoided_for_a_while() {
    let fleet = fleet(&["other"]).await;
    let (healthy, served) = scripted_target(&fleet, 1, GateReply::Answer).await;
    let (departed, received) = scripted_target(&fleet, 2, GateReply::End(CallEnd::Leaving)).await;
    set_directory(&fleet.directory, "s", vec![healthy, departed]);
    let began = Instant::now();
    for number in 0..40 {
        let id = format!("id-{number}");
        let answer = request(fleet.vms[0].callers, "GET", "/read/x", &id).await;
        assert_eq!(answer.status(), 200);
    }
    let max_received = 1 + began.elapsed().as_millis() / MIN_AVOIDANCE.as_millis();
    let received = received.lock().len();
    assert!(
        received as u128 <= max_received,
        "asked {received} times of {max_received}"
    );
    assert_eq!(served.lock().len(), 40);
}

/// No target has room. The caller of a lookup is refused, comes back when it was told,
/// and asks for the same with what is left of its deadline. Gates are told how much of
/// its objective is gone, so that it takes no slot from a newcomer who can be in time.
#[tokio::test]
async fn a_retrying_callers_objective_counts_from_its_first_request() {
    let fleet = fleet(&["other"]).await;
    let (busy, received) = scripted_target(&fleet, 3, GateReply::End(CallEnd::Busy)).await;
    set_directory(&fleet.directory, "s", vec![busy]);
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let began = Instant::now();
    let first = caller
        .look_up_with_deadline("/read/x", "id-1", DEADLINE)
        .await;
    assert_eq!(first.status(), 503);
    let waited = began.elapsed();
    let left = DEADLINE - waited;
    let second = caller.look_up_with_deadline("/read/x", "id-2", left).await;
    assert_eq!(second.status(), 503);
    let received = received.lock();
    let again = received.iter().find(|terms| terms.request_id == "id-2");
    let again = again.expect("the gate was asked again");
    let elapsed_ms = again.whole_objective_ms.since(again.objective_ms);
    let expected_ms = again.whole_objective_ms.0.min(waited.as_millis() as u64);
    assert!(
        elapsed_ms.0 + 20 >= expected_ms,
        "{elapsed_ms:?} of {expected_ms} ms"
    );
}
