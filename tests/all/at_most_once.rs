//! Payments run at most once, whatever fails.
//!
//! Each test causes its failure at a defined point: it first waits until a journal
//! or a node's status shows the preceding event.

mod callers;
mod kills;
mod partitions;
mod pauses;
mod records;

use eyre::Result;
use hornbeamhitch_standins::http_client::WholeAnswer;
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_types::status::NodeStatus;

use crate::support::caller::{Call, certainty_of, code_of};
use crate::support::payment::{Payment, assert_at_most_once};
use crate::support::{Deployment, Member};

/// The service that runs payments, and the service `desk` without calls for a
/// [`FarEntry`](crate::support::far_entry::FarEntry).
const TEXT: &str = r#"{
  "deployment": "test",
  "services": {
    "desk": { "depends_on": ["cashier"] },
    "cashier": {
      "slots": 4,
      "deadline_ms": 10000,
      "connections": 50,
      "calls": [
        { "name": "charge", "match": "POST /charge", "idempotent": false, "class": "payment" },
        { "name": "price", "match": "GET /price", "idempotent": true },
      ],
    },
  },
}"#;

/// A text with which each target runs one call at a time.
const ONE_SLOT_TEXT: &str = r#"{
  "deployment": "test",
  "services": {
    "cashier": {
      "slots": 1,
      "deadline_ms": 10000,
      "queue_limit": 4,
      "connections": 50,
      "calls": [
        { "name": "charge", "match": "POST /charge", "idempotent": false, "class": "payment" },
      ],
    },
  },
}"#;

/// Run time of a call during which a test causes a failure. It is long enough for
/// a busy machine.
const RUN_US: u64 = 400_000;
/// Run time of a call while others wait in the queue.
const LONG_RUN_US: u64 = 1_500_000;
/// Deadline that passes during a test.
const SHORT_DEADLINE_MS: u64 = 500;

fn cashiers(count: usize) -> Vec<Member> {
    let mut members = Vec::new();
    for number in 1..=count {
        members.push(Member::new(&format!("cashier-{number}"), "cashier"));
    }
    members
}

async fn deployment(count: usize) -> Result<Deployment> {
    Deployment::start(TEXT, cashiers(count)).await
}

/// A payment that runs for [`RUN_US`].
fn slow_charge(nonce: &str) -> Call {
    Call::charge(nonce).with("standin-service-us", RUN_US)
}

/// A payment that occupies a slot while others wait.
fn long_charge(nonce: &str) -> Call {
    Call::charge(nonce)
        .with("standin-service-us", LONG_RUN_US)
        .with("hitch-deadline-ms", 20_000)
}

/// A payment with a ticket from the first entry.
async fn payment(deployment: &Deployment, call: Call) -> Result<Payment> {
    Payment::ticketed(deployment.entry("cashier-1"), call).await
}

/// A ticketed payment whose ticket names the gate of one VM.
async fn payment_at(deployment: &Deployment, gate: &str, call: Call) -> Result<Payment> {
    for number in 0..200 {
        let mut call = call.clone();
        call.nonce = format!("{}-{number}", call.nonce);
        let payment = payment(deployment, call).await?;
        if payment.gate() == gate {
            return Ok(payment);
        }
    }
    eyre::bail!("no key of 200 belongs to {gate}")
}

/// Names of all nodes other than the payment's gate.
fn other_entries(deployment: &Deployment, payment: &Payment) -> Vec<String> {
    let mut names = deployment.fleet.names();
    names.retain(|vm| vm != payment.gate());
    names
}

/// Waits until an entry has this many calls in flight at a gate.
async fn wait_in_flight(
    deployment: &Deployment,
    entry: &str,
    gate: &str,
    count: u32,
) -> Result<()> {
    let what = format!("{count} calls in flight from {entry} at {gate}");
    let is_reached = |status: &NodeStatus| {
        let mut targets = status.services.iter().flat_map(|known| &known.targets);
        targets.any(|target| target.vm.as_str() == gate && target.in_flight == count)
    };
    deployment
        .wait_status(entry, &what, is_reached)
        .await
        .map(drop)
}

/// Fails if an answer states that the call ran or that it did not run, although
/// neither is certain.
fn assert_uncertain(answer: &WholeAnswer) {
    let certainty = certainty_of(answer);
    let is_uncertain = matches!(
        certainty,
        Certainty::Unknown | Certainty::NotYet | Certainty::TicketDead
    );
    assert!(is_uncertain, "{:?} is {certainty:?}", code_of(answer));
}

/// Fails unless the answer is the stored answer of the payment's run.
fn assert_replayed(payment: &Payment, answer: &WholeAnswer) {
    assert_eq!(code_of(answer), Some(ResultCode::Replayed));
    assert!(payment.call.is_answered_by(answer), "{:?}", answer.body);
}

/// Fails unless the payment ran exactly once and no other ran twice.
fn assert_ran_once(deployment: &Deployment, payment: &Payment) {
    assert_eq!(payment.runs(deployment).len(), 1);
    assert_at_most_once(deployment);
}
