//! Processes that are paused and resumed.

use eyre::Result;
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_types::status::NodeStatus;

use super::*;
use crate::support::pause::pause;

/// The gate is paused when the payment is sent, so the request waits in its socket.
/// The gate resumes after the caller has given up and got "unknown". It does not start
/// the payment, since the deadline has passed by its own clock, whether or not the
/// cancellation that follows the request has arrived. Later calls on the same
/// connections prove that the gate has read the old request by then.
#[tokio::test]
async fn a_gate_that_resumes_late_starts_no_abandoned_call() -> Result<()> {
    let mut deployment = deployment(2).await?;
    let entry = deployment.entry("cashier-1");
    // The answer gives the entry the gate's clock.
    let before = payment_at(&deployment, "cashier-2", Call::charge("before")).await?;
    let answer = before.settle(entry).await?;
    assert_eq!(certainty_of(&answer), Certainty::Answered);
    let late = payment_at(&deployment, "cashier-2", Call::charge("late")).await?;
    pause(&mut deployment, "cashier-2").await?;
    let answer = late.within_ms(SHORT_DEADLINE_MS).send(entry).await?;
    deployment.fleet.resume("cashier-2")?;
    assert_eq!(code_of(&answer), Some(ResultCode::GateLost));

    // An entry has two connections to a gate and alternates between them.
    for number in 0..4 {
        let call = Call::charge(&format!("after-{number}"));
        let after = payment_at(&deployment, "cashier-2", call).await?;
        let answer = after.settle(entry).await?;
        assert_eq!(certainty_of(&answer), Certainty::Answered);
    }
    assert_eq!(late.runs(&deployment).len(), 0);
    // It was rejected and fenced, or cancelled before it was read completely.
    let answer = late.settle(entry).await?;
    let runs = match certainty_of(&answer) {
        Certainty::NotRun => 0,
        Certainty::Answered => 1,
        other => panic!("{other:?}"),
    };
    assert_eq!(late.runs(&deployment).len(), runs);
    assert_at_most_once(&deployment);
    Ok(())
}

/// The gate is paused with a payment in its queue until after the payment's
/// deadline. When the gate resumes, a slot is free, but it checks the deadline again
/// before the start: the payment is rejected and fenced, and "not run" stays true.
#[tokio::test]
async fn a_gate_that_resumes_late_starts_nothing_past_its_deadline() -> Result<()> {
    let mut deployment = Deployment::start(ONE_SLOT_TEXT, cashiers(2)).await?;
    let running_payment = payment_at(&deployment, "cashier-2", long_charge("holder")).await?;
    let queued_payment = payment_at(&deployment, "cashier-2", Call::charge("held")).await?;
    let entry = deployment.entry("cashier-1");
    let first = running_payment.begin(entry);
    running_payment.wait_started(&deployment).await?;
    let second = queued_payment.within_ms(1_000).begin(entry);
    let queued = |status: &NodeStatus| status.gate.queued == 1;
    deployment
        .wait_status("cashier-2", "one call is queued", queued)
        .await?;

    pause(&mut deployment, "cashier-2").await?;
    // The gate sent nothing, or "still running" just before the pause.
    let answer = second.await??;
    let certainty = certainty_of(&answer);
    assert!(
        matches!(certainty, Certainty::Unknown | Certainty::Pending),
        "{:?}",
        code_of(&answer)
    );
    running_payment.wait_ended(&deployment).await?;
    deployment.fleet.resume("cashier-2")?;
    assert_eq!(certainty_of(&first.await??), Certainty::Answered);
    let answer = queued_payment.settle(entry).await?;
    assert_eq!(certainty_of(&answer), Certainty::NotRun);
    assert_eq!(queued_payment.runs(&deployment).len(), 0);
    assert_at_most_once(&deployment);
    Ok(())
}

/// The entry is paused while the gate runs its caller's payment. The caller gets no
/// answer and sends again through another entry, which joins the run. The first entry
/// resumes and passes the same answer on.
#[tokio::test]
async fn an_entry_paused_during_the_run_causes_no_second_run() -> Result<()> {
    let mut deployment = deployment(3).await?;
    let payment = payment(&deployment, slow_charge("entry-paused")).await?;
    let entries = other_entries(&deployment, &payment);
    let first = payment.begin(deployment.entry(&entries[0]));
    payment.wait_started(&deployment).await?;
    pause(&mut deployment, &entries[0]).await?;
    let answer = payment.settle(deployment.entry(&entries[1])).await?;
    deployment.fleet.resume(&entries[0])?;
    assert!(payment.call.is_answered_by(&answer), "{:?}", answer.body);
    assert_eq!(first.await??.body, answer.body);
    assert_ran_once(&deployment, &payment);
    Ok(())
}

/// The entry is paused before it reads the payment, which then waits in its socket.
/// The caller sends the payment through another entry, where it runs. The first entry
/// resumes, does not know that the payment ran, and forwards it; the gate answers from
/// its record.
#[tokio::test]
async fn an_entry_that_resumes_with_a_finished_payment_does_not_rerun_it() -> Result<()> {
    let mut deployment = deployment(3).await?;
    let payment = payment(&deployment, Call::charge("entry-late")).await?;
    let entries = other_entries(&deployment, &payment);
    pause(&mut deployment, &entries[0]).await?;
    let late = payment.begin(deployment.entry(&entries[0]));
    let answer = payment.settle(deployment.entry(&entries[1])).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::Answered));
    deployment.fleet.resume(&entries[0])?;
    let again = late.await??;
    assert_eq!(code_of(&again), Some(ResultCode::Replayed));
    assert_eq!(again.body, answer.body);
    assert_ran_once(&deployment, &payment);
    Ok(())
}
