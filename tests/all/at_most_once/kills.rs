//! Nodes and targets that are killed, and their new incarnations.

use std::time::Duration;

use eyre::Result;
use hornbeamhitch_standins::target::RunEnd;
use hornbeamhitch_types::prelude::*;
use tokio::net::TcpStream;

use super::*;
use crate::support::far_entry::FarEntry;

/// The entry is killed during the run, so the caller's connection breaks. The run
/// continues at the gate; the same ticket leads another entry to the same record.
#[tokio::test]
async fn a_killed_entry_causes_no_second_run() -> Result<()> {
    let mut deployment = deployment(3).await?;
    let payment = payment(&deployment, slow_charge("entry-killed")).await?;
    let entries = other_entries(&deployment, &payment);
    let cut = payment.begin(deployment.entry(&entries[0]));
    payment.wait_started(&deployment).await?;
    deployment.fleet.kill(&entries[0])?;
    assert!(cut.await?.is_err(), "the caller sees a broken connection");

    let answer = payment.settle(deployment.entry(&entries[1])).await?;
    assert_replayed(&payment, &answer);
    assert_ran_once(&deployment, &payment);
    Ok(())
}

/// The gate is killed before the payment is sent: the answer is "not yet", since
/// nothing was sent. A new incarnation at the same address has no records, so it
/// must never run a ticket of the previous one: that ticket is dead, and a new
/// ticket runs once.
#[tokio::test]
async fn a_gate_killed_before_the_run_invalidates_the_ticket() -> Result<()> {
    let mut deployment = deployment(3).await?;
    let payment = payment(&deployment, Call::charge("killed-before")).await?;
    let gate = payment.gate().to_owned();
    let entry = deployment.entry(&other_entries(&deployment, &payment)[0]);
    deployment.fleet.kill(&gate)?;
    let answer = payment.within_ms(SHORT_DEADLINE_MS).send(entry).await?;
    assert_uncertain(&answer);

    deployment.fleet.restart(&gate)?;
    deployment.fleet.wait_ready(&gate).await?;
    for vm in deployment.fleet.names() {
        let answer = payment.settle(deployment.entry(&vm)).await?;
        assert_eq!(certainty_of(&answer), Certainty::TicketDead);
    }
    assert_eq!(payment.runs(&deployment).len(), 0);

    // Every send was answered "not yet" or "ticket dead", so the caller may get a
    // new ticket.
    let renewed = Payment::ticketed(entry, payment.call.clone()).await?;
    let answer = renewed.settle(entry).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::Answered));
    assert_eq!(deployment.runs_of("killed-before").len(), 1);
    assert_at_most_once(&deployment);
    Ok(())
}

/// The gate is killed during the run: the answer is "unknown", and no later answer
/// is more certain, before and after a new incarnation starts at the gate's address.
/// No process knows of the run any more, so none may deny it or run it again.
#[tokio::test]
async fn a_gate_killed_during_the_run_makes_the_outcome_unknown() -> Result<()> {
    let mut deployment = deployment(3).await?;
    let payment = payment(&deployment, slow_charge("killed-during")).await?;
    let gate = payment.gate().to_owned();
    let entries = other_entries(&deployment, &payment);
    let first = payment.begin(deployment.entry(&entries[0]));
    payment.wait_started(&deployment).await?;
    deployment.fleet.kill(&gate)?;

    let answer = first.await??;
    assert_eq!(code_of(&answer), Some(ResultCode::GateLost));
    let answer = payment.send(deployment.entry(&entries[1])).await?;
    assert_uncertain(&answer);

    deployment.fleet.restart(&gate)?;
    deployment.fleet.wait_ready(&gate).await?;
    for vm in deployment.fleet.names() {
        let answer = payment.settle(deployment.entry(&vm)).await?;
        assert_uncertain(&answer);
    }
    assert_ran_once(&deployment, &payment);
    Ok(())
}

/// The gate is killed after the run and its answer, and its records are lost. The
/// answer to a resend is that the ticket is dead or the gate unreachable, never "not
/// run", and the next incarnation at the address does not run the payment.
#[tokio::test]
async fn a_gate_killed_after_the_run_never_denies_it() -> Result<()> {
    let mut deployment = deployment(3).await?;
    let payment = payment(&deployment, Call::charge("killed-after")).await?;
    let gate = payment.gate().to_owned();
    let entry = deployment.entry(&other_entries(&deployment, &payment)[0]);
    let answer = payment.send(entry).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::Answered));

    deployment.fleet.kill(&gate)?;
    assert_uncertain(&payment.within_ms(SHORT_DEADLINE_MS).send(entry).await?);
    deployment.fleet.restart(&gate)?;
    deployment.fleet.wait_ready(&gate).await?;
    for vm in deployment.fleet.names() {
        assert_uncertain(&payment.settle(deployment.entry(&vm)).await?);
    }
    assert_ran_once(&deployment, &payment);
    Ok(())
}

/// The target crashes during the run and restarts. Whether the payment took effect
/// is unknown, so every resend, through any entry, before and after the restart, gets
/// the same answer "unknown", and nothing runs again.
#[tokio::test]
async fn a_target_crash_during_the_run_makes_the_outcome_unknown() -> Result<()> {
    let deployment = deployment(3).await?;
    let payment = payment(&deployment, slow_charge("target-crash")).await?;
    let entries = other_entries(&deployment, &payment);
    let first = payment.begin(deployment.entry(&entries[0]));
    payment.wait_started(&deployment).await?;
    deployment.target(payment.gate()).crash().await;

    assert_eq!(code_of(&first.await??), Some(ResultCode::RunBroken));
    for vm in deployment.fleet.names() {
        let answer = payment.send(deployment.entry(&vm)).await?;
        assert_eq!(code_of(&answer), Some(ResultCode::RunBroken));
    }
    wait_reachable(&deployment, payment.gate()).await?;
    let answer = payment.send(deployment.entry(&entries[1])).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::RunBroken));
    let runs = payment.runs(&deployment);
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].end, RunEnd::Crashed);
    assert_at_most_once(&deployment);
    Ok(())
}

/// Waits until a target accepts connections again.
async fn wait_reachable(deployment: &Deployment, vm: &str) -> Result<()> {
    let addr = deployment.target(vm).addr();
    while TcpStream::connect(addr).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// The target is down when the payment arrives: the answer is "not run" without
/// delay. The caller may then get a new ticket, so the old one must stay dead after
/// the target is back.
#[tokio::test]
async fn a_payment_rejected_because_the_target_is_down_never_runs_later() -> Result<()> {
    let deployment = deployment(2).await?;
    let entry = deployment.entry("cashier-1");
    let target = deployment.target("cashier-2");
    target.close().await;
    let mut tries = 0;
    let (payment, answer) = loop {
        tries += 1;
        let call = Call::charge(&format!("target-down-{tries}"));
        let payment = payment_at(&deployment, "cashier-2", call).await?;
        let answer = payment.send(entry).await?;
        // The gate may send the payment on an idle connection whose end it has not
        // noticed yet. At most one payment fails in this way.
        if code_of(&answer) != Some(ResultCode::RunBroken) {
            break (payment, answer);
        }
    };
    assert_eq!(certainty_of(&answer), Certainty::NotRun);

    target.reopen().await;
    wait_reachable(&deployment, "cashier-2").await?;
    for vm in deployment.fleet.names() {
        let answer = payment.send(deployment.entry(&vm)).await?;
        assert_eq!(code_of(&answer), Some(ResultCode::Fenced));
    }
    assert_eq!(payment.runs(&deployment).len(), 0);
    Ok(())
}

/// A gate is replaced by a new incarnation at the same address. An entry that gets
/// no announcements still takes the old incarnation for the current one. It issues
/// tickets for the old incarnation and sends them to the new one, which rejects them:
/// its records do not show what the old one ran.
#[tokio::test]
async fn a_new_incarnation_at_the_same_address_runs_no_old_ticket() -> Result<()> {
    let mut deployment = deployment(2).await?;
    let far = FarEntry::start(TEXT, &deployment, &["cashier-2"]).await?;
    far.wait_for_gate_reports().await?;
    let payment = Payment::ticketed(far.addr(), Call::charge("old-life")).await?;
    assert_eq!(payment.gate(), "cashier-2");
    deployment.fleet.restart("cashier-2")?;
    deployment.fleet.wait_ready("cashier-2").await?;

    let answer = payment.settle(far.addr()).await?;
    assert_eq!(certainty_of(&answer), Certainty::TicketDead);
    let answer = payment.settle(deployment.entry("cashier-1")).await?;
    assert_eq!(certainty_of(&answer), Certainty::TicketDead);
    assert_eq!(payment.runs(&deployment).len(), 0);
    Ok(())
}
