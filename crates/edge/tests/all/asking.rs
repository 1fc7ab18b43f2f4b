//! Whom entries ask, and how often.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_wire::link::{ToEntry, ToGate};
use parking_lot::Mutex;
use tokio::net::TcpListener;

use crate::support::caller::{Caller, DEADLINE, ask};
use crate::support::gate_end::{GateEnd, answer};
use crate::support::{Fleet, fleet, member, set_directory};

/// A gate that takes no more is left alone for at least this long.
const LEFT_ALONE: Duration = Duration::from_millis(400);

/// What a gate of a test says to each call.
#[derive(Clone, Copy)]
enum Says {
    Answer,
    End(CallEnd),
}

/// The terms of the calls that a gate was asked to take.
type AskedFor = Arc<Mutex<Vec<CallTerms>>>;

/// A target of the service behind a gate that the test plays, and what this gate was
/// asked for.
async fn target(fleet: &Fleet, number: u8, says: Says) -> (Member, AskedFor) {
    let ip = format!("127.201.0.{number}");
    let listener = TcpListener::bind((ip.as_str(), fleet.gate_port)).await;
    let listener = listener.expect("the gate's port");
    let asked = AskedFor::default();
    let counted = Arc::clone(&asked);
    tokio::spawn(async move {
        let mut gate = GateEnd::accept(&listener, u64::from(number)).await;
        while let Some(frame) = gate.rest().await {
            let (id, terms) = match frame {
                ToGate::Call { id, terms, .. } | ToGate::Offer { id, terms, .. } => (id, terms),
                ToGate::Ping => {
                    gate.send(&ToEntry::Pong).await;
                    continue;
                }
                _ => continue,
            };
            counted.lock().push(terms.clone());
            match says {
                Says::Answer => gate.send(&answer(id, &terms.request_id)).await,
                Says::End(end) => gate.send(&ToEntry::Ended { id, end }).await,
            }
        }
    });
    let address: SocketAddr = format!("{ip}:1").parse().expect("an address");
    (member(usize::from(number), "s", address), asked)
}

/// All VMs have lost power, and the list still names the targets that are no more.
/// Their gates say that they take nothing for them. Asked again by every call, in
/// every round, they would use up the time that calls have to find another target.
#[tokio::test]
async fn a_gate_that_takes_no_more_is_left_alone_for_a_while() {
    let fleet = fleet(&["other"]).await;
    let (sound, served) = target(&fleet, 1, Says::Answer).await;
    let (gone, asked) = target(&fleet, 2, Says::End(CallEnd::Leaving)).await;
    set_directory(&fleet.directory, "s", vec![sound, gone]);
    let began = Instant::now();
    for number in 0..40 {
        let id = format!("id-{number}");
        let answer = ask(fleet.vms[0].callers, "GET", "/read/x", &id).await;
        assert_eq!(answer.status(), 200);
    }
    let most = 1 + began.elapsed().as_millis() / LEFT_ALONE.as_millis();
    let asked = asked.lock().len();
    assert!(asked as u128 <= most, "asked {asked} times of {most}");
    assert_eq!(served.lock().len(), 40);
}

/// No target has room. The caller of a lookup is refused, comes back when it was told,
/// and asks for the same with what is left of its deadline. Gates are told how much of
/// its objective is gone, so that it takes no slot from a newcomer who can be in time.
#[tokio::test]
async fn the_objective_of_a_caller_that_comes_back_counts_from_its_first_request() {
    let fleet = fleet(&["other"]).await;
    let (full, asked) = target(&fleet, 3, Says::End(CallEnd::Busy)).await;
    set_directory(&fleet.directory, "s", vec![full]);
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let began = Instant::now();
    let first = caller.look_up_until("/read/x", "id-1", DEADLINE).await;
    assert_eq!(first.status(), 503);
    let waited = began.elapsed();
    let left = DEADLINE - waited;
    let second = caller.look_up_until("/read/x", "id-2", left).await;
    assert_eq!(second.status(), 503);
    let asked = asked.lock();
    let again = asked.iter().find(|terms| terms.request_id == "id-2");
    let again = again.expect("the gate was asked again");
    let gone_ms = again.whole_objective_ms.since(again.objective_ms);
    let most_ms = again.whole_objective_ms.0.min(waited.as_millis() as u64);
    assert!(gone_ms.0 + 20 >= most_ms, "{gone_ms:?} of {most_ms} ms");
}
