//! Whom entries ask, and how often.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_wire::link::{ToEntry, ToGate};
use tokio::net::TcpListener;

use crate::support::caller::ask;
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

/// A target of the service behind a gate that the test plays, and the calls that
/// this gate was asked to take.
async fn target(fleet: &Fleet, number: u8, says: Says) -> (Member, Arc<AtomicU32>) {
    let ip = format!("127.201.0.{number}");
    let listener = TcpListener::bind((ip.as_str(), fleet.gate_port)).await;
    let listener = listener.expect("the gate's port");
    let asked = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&asked);
    tokio::spawn(async move {
        let mut gate = GateEnd::accept(&listener, u64::from(number)).await;
        while let Some(frame) = gate.rest().await {
            let (id, terms) = match frame {
                ToGate::Call { id, terms, .. } | ToGate::Ask { id, terms, .. } => (id, terms),
                ToGate::Ping => {
                    gate.send(&ToEntry::Pong).await;
                    continue;
                }
                _ => continue,
            };
            counted.fetch_add(1, Ordering::Relaxed);
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
    let asked = asked.load(Ordering::Relaxed);
    assert!(u128::from(asked) <= most, "asked {asked} times of {most}");
    assert_eq!(served.load(Ordering::Relaxed), 40);
}
