//! Callers that disconnect, or send the same payment more than once.

use eyre::Result;
use hornbeamhitch_standins::target::RunEnd;
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_types::status::NodeStatus;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::*;

/// The caller's connection breaks in the middle of its upload. The gate does not
/// have the whole body, so nothing runs. The caller sends the whole payment again
/// through another entry, as the contract requires, and it runs once.
#[tokio::test]
async fn a_connection_lost_during_the_upload_runs_nothing() -> Result<()> {
    let deployment = deployment(3).await?;
    let payment = payment(&deployment, Call::charge("cut-upload")).await?;
    let entries = other_entries(&deployment, &payment);

    let body = &payment.call.body;
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        payment.path,
        body.len()
    );
    let mut connection = TcpStream::connect(deployment.entry(&entries[0])).await?;
    connection.write_all(head.as_bytes()).await?;
    connection.write_all(&body[..body.len() / 2]).await?;
    wait_in_flight(&deployment, &entries[0], payment.gate(), 1).await?;
    drop(connection);
    wait_in_flight(&deployment, &entries[0], payment.gate(), 0).await?;
    assert_eq!(payment.runs(&deployment).len(), 0);

    // The entry may have sent the call to the gate before it noticed that its
    // caller disconnected. Then the key is fenced, and the caller needs a new ticket.
    let entry = deployment.entry(&entries[1]);
    let mut answer = payment.settle(entry).await?;
    if certainty_of(&answer) == Certainty::NotRun {
        assert_eq!(payment.runs(&deployment).len(), 0);
        answer = payment.renewed(&answer)?.settle(entry).await?;
    }
    assert_eq!(code_of(&answer), Some(ResultCode::Answered));
    assert!(payment.call.is_answered_by(&answer), "{:?}", answer.body);
    assert_eq!(deployment.runs_of("cut-upload").len(), 1);
    assert_at_most_once(&deployment);
    Ok(())
}

/// The caller's connection breaks before the run, while its payment waits in the
/// gate for a slot. The gate has the whole payment and keeps it queued. The resend
/// through another entry joins the queued call instead of adding a second one.
#[tokio::test]
async fn a_resend_before_the_run_joins_the_queued_call() -> Result<()> {
    let deployment = Deployment::start(ONE_SLOT_TEXT, cashiers(3)).await?;
    let running_payment = payment_at(&deployment, "cashier-3", long_charge("holder")).await?;
    let queued_payment = payment_at(&deployment, "cashier-3", Call::charge("held")).await?;
    let first = running_payment.begin(deployment.entry("cashier-1"));
    running_payment.wait_started(&deployment).await?;

    let cut = queued_payment.begin(deployment.entry("cashier-1"));
    let queued = |status: &NodeStatus| status.gate.queued == 1;
    deployment
        .wait_status("cashier-3", "one call is queued", queued)
        .await?;
    cut.abort();
    let answer = queued_payment.settle(deployment.entry("cashier-2")).await?;
    assert_eq!(certainty_of(&answer), Certainty::Answered);
    assert!(
        queued_payment.call.is_answered_by(&answer),
        "{:?}",
        answer.body
    );
    assert!(running_payment.call.is_answered_by(&first.await??));
    assert_eq!(queued_payment.runs(&deployment).len(), 1);
    assert_at_most_once(&deployment);
    Ok(())
}

/// The caller's connection breaks while the target runs its payment. The run
/// continues; the resend through another entry joins it and gets its answer.
#[tokio::test]
async fn a_resend_during_the_run_joins_it() -> Result<()> {
    let deployment = deployment(3).await?;
    let payment = payment(&deployment, slow_charge("cut-run")).await?;
    let entries = other_entries(&deployment, &payment);
    let cut = payment.begin(deployment.entry(&entries[0]));
    payment.wait_started(&deployment).await?;
    cut.abort();

    let answer = payment.settle(deployment.entry(&entries[1])).await?;
    assert_replayed(&payment, &answer);
    let runs = payment.runs(&deployment);
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].end, RunEnd::Finished, "the run was not cancelled");
    assert_at_most_once(&deployment);
    Ok(())
}

/// The caller's connection breaks after the run, while the target delays its
/// answer. The record waits for that answer, and the resend gets it.
#[tokio::test]
async fn a_resend_after_the_run_gets_its_answer() -> Result<()> {
    let deployment = deployment(3).await?;
    let call = Call::charge("cut-answer").with("standin-delay-ms", 300);
    let payment = payment(&deployment, call).await?;
    let entries = other_entries(&deployment, &payment);
    let cut = payment.begin(deployment.entry(&entries[0]));
    payment.wait_ended(&deployment).await?;
    cut.abort();

    let answer = payment.settle(deployment.entry(&entries[1])).await?;
    assert_replayed(&payment, &answer);
    assert_ran_once(&deployment, &payment);
    Ok(())
}

/// A caller sends one ticketed payment ten times concurrently, through three
/// entries. One send starts the run, the others join it or get the stored answer,
/// and all get the same bytes.
#[tokio::test]
async fn ten_concurrent_sends_cause_one_run_with_one_answer() -> Result<()> {
    let deployment = deployment(3).await?;
    let call = Call::charge("ten").with("standin-service-us", 100_000);
    let payment = payment(&deployment, call).await?;
    let names = deployment.fleet.names();
    let mut sends = Vec::new();
    for number in 0..10 {
        sends.push(payment.begin(deployment.entry(&names[number % names.len()])));
    }
    for send in sends {
        let answer = send.await??;
        assert_eq!(certainty_of(&answer), Certainty::Answered);
        assert!(payment.call.is_answered_by(&answer), "{:?}", answer.body);
    }
    assert_ran_once(&deployment, &payment);
    Ok(())
}

/// A caller sends another amount under a ticket that was already used. The answer
/// of the first payment would be wrong, and running the call would be a second run.
/// It is therefore rejected, both during the first run and after it.
#[tokio::test]
async fn another_body_under_a_used_ticket_is_rejected() -> Result<()> {
    let deployment = deployment(3).await?;
    let payment = payment(&deployment, slow_charge("reused")).await?;
    let mut other = payment.clone();
    other.call = other.call.with_body("another amount");
    let entries = other_entries(&deployment, &payment);
    let first = payment.begin(deployment.entry(&entries[0]));
    payment.wait_started(&deployment).await?;
    let during = other.send(deployment.entry(&entries[1])).await?;
    assert_eq!(code_of(&during), Some(ResultCode::KeyReused));
    assert!(payment.call.is_answered_by(&first.await??));
    let after = other.send(deployment.entry(&entries[1])).await?;
    assert_eq!(code_of(&after), Some(ResultCode::KeyReused));
    assert_ran_once(&deployment, &payment);
    Ok(())
}
