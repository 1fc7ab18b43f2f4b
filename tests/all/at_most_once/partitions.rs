//! Connections that break or stall, and VM lists that differ.

use eyre::Result;
use hornbeamhitch_standins::platform::VmEntry;
use hornbeamhitch_types::prelude::*;

use super::*;
use crate::support::far_entry::FarEntry;

/// Two entries have stale VM lists: one lacks the ticket's VM, the other has it at
/// the address of another VM's gate, as after an address was reassigned. Neither
/// makes the payment run at a gate that the ticket does not name. An entry with the
/// current list runs it once.
#[tokio::test]
async fn entries_with_stale_vm_lists_run_nothing_at_other_gates() -> Result<()> {
    let deployment = deployment(2).await?;
    let payment = payment_at(&deployment, "cashier-2", Call::charge("lists")).await?;
    let listed = deployment.fleet.vm_entries();
    let (first, second) = (listed[0].clone(), listed[1].clone());
    let moved = VmEntry {
        peer: first.peer,
        ..second
    };
    let (without_gate, with_wrong_address) = tokio::try_join!(
        FarEntry::with_list(TEXT, vec![first]),
        FarEntry::with_list(TEXT, vec![moved]),
    )?;

    let answer = payment.send(without_gate.addr()).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::GateGone));
    let answer = payment.send(with_wrong_address.addr()).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::WrongGate));
    assert_eq!(payment.runs(&deployment).len(), 0);

    let answer = payment.send(deployment.entry("cashier-1")).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::Answered));
    let answer = payment.send(with_wrong_address.addr()).await?;
    assert_eq!(certainty_of(&answer), Certainty::TicketDead);
    assert_ran_once(&deployment, &payment);
    Ok(())
}

/// A one-way partition lets the payment through to the gate and holds back its answer.
/// The payment runs, and the caller gets "unknown" at its deadline. Once the partition
/// heals, the same ticket returns the answer of that run.
#[tokio::test]
async fn an_answer_lost_in_a_partition_is_fetched_later() -> Result<()> {
    let deployment = deployment(2).await?;
    let far = FarEntry::start(TEXT, &deployment, &["cashier-2"]).await?;
    let payment = payment_at(&deployment, "cashier-2", Call::charge("lost")).await?;
    let relay = far.relay("cashier-2");
    relay.hold_answers(true);
    let answer = payment
        .within_ms(SHORT_DEADLINE_MS)
        .send(far.addr())
        .await?;
    assert_eq!(code_of(&answer), Some(ResultCode::GateLost));
    payment.wait_ended(&deployment).await?;

    relay.hold_answers(false);
    let answer = payment.settle(far.addr()).await?;
    assert_replayed(&payment, &answer);
    assert_ran_once(&deployment, &payment);
    Ok(())
}

/// The connection between entry and gate breaks during the run, and a new one can
/// be opened. The entry sends the call again, and the gate lets it join the run: the
/// caller notices nothing, and nothing runs twice.
#[tokio::test]
async fn a_connection_lost_during_the_run_is_recovered() -> Result<()> {
    let deployment = deployment(2).await?;
    let far = FarEntry::start(TEXT, &deployment, &["cashier-2"]).await?;
    let payment = payment_at(&deployment, "cashier-2", slow_charge("stream-cut")).await?;
    let first = payment.begin(far.addr());
    payment.wait_started(&deployment).await?;
    far.relay("cashier-2").cut();

    let answer = first.await??;
    assert_replayed(&payment, &answer);
    assert_ran_once(&deployment, &payment);
    Ok(())
}

/// A partition begins during the run and lasts longer than the entry waits: the
/// caller gets "unknown", a resend during the partition gets "not yet", and after the
/// partition the same ticket returns the answer.
#[tokio::test]
async fn a_partition_during_the_run_is_unknown_until_it_heals() -> Result<()> {
    let deployment = deployment(2).await?;
    let far = FarEntry::start(TEXT, &deployment, &["cashier-2"]).await?;
    let payment = payment_at(&deployment, "cashier-2", slow_charge("parted")).await?;
    let relay = far.relay("cashier-2");
    let first = payment.begin(far.addr());
    payment.wait_started(&deployment).await?;
    relay.refuse(true);
    relay.cut();
    assert_eq!(code_of(&first.await??), Some(ResultCode::GateLost));
    let answer = payment
        .within_ms(SHORT_DEADLINE_MS)
        .send(far.addr())
        .await?;
    assert_uncertain(&answer);

    relay.refuse(false);
    let answer = payment.settle(far.addr()).await?;
    assert_replayed(&payment, &answer);
    assert_ran_once(&deployment, &payment);
    Ok(())
}

/// The connection breaks while the payment is in transit, and its packets arrive
/// late. The entry queries the gate on a new connection; the gate has not seen the
/// key and fences it, so the answer is "not run". Then the late packets arrive,
/// complete and within the deadline, and the fence rejects the payment.
#[tokio::test]
async fn a_late_payment_is_rejected_by_the_fence() -> Result<()> {
    let deployment = deployment(2).await?;
    let far = FarEntry::start(TEXT, &deployment, &["cashier-2"]).await?;
    let payment = payment_at(&deployment, "cashier-2", Call::charge("late-packet")).await?;
    let payment = payment.within_ms(20_000);
    let relay = far.relay("cashier-2");
    relay.hold_requests(true);
    let first = payment.begin(far.addr());
    let is_held = |_: &Deployment| relay.holds(&payment.call.body);
    deployment
        .wait_until("the payment is underway", is_held)
        .await?;
    relay.reset_entry_side();
    let answer = first.await??;
    assert_eq!(code_of(&answer), Some(ResultCode::Fenced));

    relay.deliver_held();
    let fenced = format!("\"code\":{}", ResultCode::Fenced.number());
    let refused = |_: &Deployment| relay.has_answered_late(fenced.as_bytes());
    deployment
        .wait_until("the late one is refused", refused)
        .await?;
    assert_eq!(payment.runs(&deployment).len(), 0);
    Ok(())
}

/// The payment's packets arrive after its deadline, and a partition keeps the entry
/// from querying the gate: the caller gets "unknown", and the key is not fenced. The
/// gate compares the deadline with its own clock and does not start the payment.
#[tokio::test]
async fn a_payment_that_arrives_after_its_deadline_is_not_started() -> Result<()> {
    let deployment = deployment(2).await?;
    let far = FarEntry::start(TEXT, &deployment, &["cashier-2"]).await?;
    far.wait_for_gate_reports().await?;
    let payment = payment_at(&deployment, "cashier-2", Call::charge("too-late")).await?;
    let relay = far.relay("cashier-2");
    relay.hold_requests(true);
    let first = payment.within_ms(SHORT_DEADLINE_MS).begin(far.addr());
    let is_held = |_: &Deployment| relay.holds(&payment.call.body);
    deployment
        .wait_until("the payment is underway", is_held)
        .await?;
    relay.refuse(true);
    relay.reset_entry_side();
    let answer = first.await??;
    assert_eq!(code_of(&answer), Some(ResultCode::GateLost));

    relay.deliver_held();
    let late = format!("\"code\":{}", ResultCode::DeadlineTooShort.number());
    let refused = |_: &Deployment| relay.has_answered_late(late.as_bytes());
    deployment
        .wait_until("the late one is refused", refused)
        .await?;
    relay.refuse(false);
    let answer = payment.settle(far.addr()).await?;
    assert_eq!(certainty_of(&answer), Certainty::NotRun);
    assert_eq!(payment.runs(&deployment).len(), 0);
    Ok(())
}
