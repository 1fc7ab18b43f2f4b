//! Payments run at most once, whatever fails.
//!
//! Every failure is brought about in exact order: a test waits until a journal
//! or a node's status shows the event, and then strikes.

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

/// The service of payments, and one without calls for an entry far away.
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

/// Each target runs one call at a time.
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

/// Time of a run during which a test strikes; long enough for a busy machine.
const RUN_US: u64 = 400_000;
/// Time of a run behind which others wait.
const LONG_RUN_US: u64 = 1_500_000;
/// A deadline that a test lets pass.
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

/// A payment whose run takes a while.
fn slow_charge(nonce: &str) -> Call {
    Call::charge(nonce).with("standin-service-us", RUN_US)
}

/// A payment that holds a slot while others wait.
fn long_charge(nonce: &str) -> Call {
    Call::charge(nonce)
        .with("standin-service-us", LONG_RUN_US)
        .with("hitch-deadline-ms", 20_000)
}

/// A ticketed payment, fetched from the first entry.
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

/// Entries that are not the payment's gate.
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
    let fits = |status: &NodeStatus| {
        let mut targets = status.services.iter().flat_map(|known| &known.targets);
        targets.any(|target| target.vm.as_str() == gate && target.in_flight == count)
    };
    deployment.wait_status(entry, &what, fits).await.map(drop)
}

/// Fails when an answer denies a run that may have been, or claims one.
fn assert_uncertain(answer: &WholeAnswer) {
    let certainty = certainty_of(answer);
    let is_uncertain = matches!(
        certainty,
        Certainty::Unknown | Certainty::NotYet | Certainty::TicketDead
    );
    assert!(is_uncertain, "{:?} is {certainty:?}", code_of(answer));
}

/// Fails unless an answer is the stored one of the payment's run.
fn assert_replayed(payment: &Payment, answer: &WholeAnswer) {
    assert_eq!(code_of(answer), Some(ResultCode::Replayed));
    assert!(payment.call.is_answered_by(answer), "{:?}", answer.body);
}

/// Fails unless the payment ran once and no other ran twice.
fn assert_ran_once(deployment: &Deployment, payment: &Payment) {
    assert_eq!(payment.runs(deployment).len(), 1);
    assert_at_most_once(deployment);
}
