//! Processes that stand still and wake.

use eyre::Result;
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_types::status::NodeStatus;

use super::*;
use crate::support::pause::pause;

/// The gate is paused when the payment is sent, and wakes when its caller has
/// long given up: the request lies in its socket. The caller is told "unknown";
/// the gate starts nothing on waking, since the deadline has passed in its own
/// clock, whether or not the withdrawal behind the request has come. Later calls
/// on the same connections prove that the old request has been read by then.
#[tokio::test]
async fn a_gate_that_resumes_late_starts_no_abandoned_call() -> Result<()> {
    let mut deployment = deployment(2).await?;
    let entry = deployment.entry("cashier-1");
    // From the answer the entry knows the gate's clock.
    let before = payment_at(&deployment, "cashier-2", Call::charge("before")).await?;
    let answer = before.settle(entry).await?;
    assert_eq!(certainty_of(&answer), Certainty::Answered);
    let late = payment_at(&deployment, "cashier-2", Call::charge("late")).await?;
    pause(&mut deployment, "cashier-2").await?;
    let answer = late.within_ms(SHORT_DEADLINE_MS).send(entry).await?;
    deployment.fleet.resume("cashier-2")?;
    assert_eq!(code_of(&answer), Some(ResultCode::GateLost));

    // An entry has two connections to a gate and takes them in turn.
    for number in 0..4 {
        let call = Call::charge(&format!("after-{number}"));
        let after = payment_at(&deployment, "cashier-2", call).await?;
        let answer = after.settle(entry).await?;
        assert_eq!(certainty_of(&answer), Certainty::Answered);
    }
    assert_eq!(late.runs(&deployment).len(), 0);
    // It was refused and fenced, or withdrawn before it was read whole.
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

/// The gate is paused with a payment in its queue, past that one's deadline.
/// On waking a slot is free, but the deadline is checked at the start itself:
/// the payment is refused and fenced, and "not run" stays true ever after.
#[tokio::test]
async fn a_gate_that_resumes_late_starts_nothing_past_its_deadline() -> Result<()> {
    let mut deployment = Deployment::start(ONE_SLOT_TEXT, cashiers(2)).await?;
    let holder = payment_at(&deployment, "cashier-2", long_charge("holder")).await?;
    let held = payment_at(&deployment, "cashier-2", Call::charge("held")).await?;
    let entry = deployment.entry("cashier-1");
    let first = holder.begin(entry);
    holder.wait_started(&deployment).await?;
    let second = held.within_ms(1_000).begin(entry);
    let queued = |status: &NodeStatus| status.gate.queued == 1;
    deployment
        .wait_status("cashier-2", "one waits", queued)
        .await?;

    pause(&mut deployment, "cashier-2").await?;
    // Nothing came from the gate, or "still running" just before the pause.
    let answer = second.await??;
    let certainty = certainty_of(&answer);
    assert!(
        matches!(certainty, Certainty::Unknown | Certainty::Pending),
        "{:?}",
        code_of(&answer)
    );
    holder.wait_ended(&deployment).await?;
    deployment.fleet.resume("cashier-2")?;
    assert_eq!(certainty_of(&first.await??), Certainty::Answered);
    let answer = held.settle(entry).await?;
    assert_eq!(certainty_of(&answer), Certainty::NotRun);
    assert_eq!(held.runs(&deployment).len(), 0);
    assert_at_most_once(&deployment);
    Ok(())
}

/// The entry is paused while the gate runs its caller's payment. The caller
/// hears nothing and sends again through another entry, which joins the run;
/// the first entry wakes and passes the same answer on.
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

/// The entry is paused before it has read the payment, which then lies in its
/// socket. The caller sends it through another entry, where it runs. The first
/// entry wakes, still believing that the payment is new, and sends it on; the
/// gate's record answers for it.
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
