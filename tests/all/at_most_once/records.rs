//! Full and expired records, and edits of the limits that apply to them.

use eyre::Result;
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_types::status::NodeStatus;

use super::*;

/// A gate's records are full. To run another payment it would have to evict a
/// record, and the evicted payment could then run again, so it answers "not yet" and
/// runs nothing. Once there is room, the same ticket runs, once.
#[tokio::test]
async fn full_records_reject_payments_instead_of_evicting() -> Result<()> {
    let large_limit = TEXT.replace("\"connections\"", "\"max_records\": 100, \"connections\"");
    let small_limit = TEXT.replace("\"connections\"", "\"max_records\": 2, \"connections\"");
    let deployment = Deployment::start(&small_limit, cashiers(2)).await?;
    let entry = deployment.entry("cashier-1");
    for number in 0..2 {
        let call = Call::charge(&format!("first-{number}"));
        let first = payment_at(&deployment, "cashier-2", call).await?;
        let answer = first.send(entry).await?;
        assert_eq!(code_of(&answer), Some(ResultCode::Answered));
    }
    let third = payment_at(&deployment, "cashier-2", Call::charge("third")).await?;
    let answer = third.send(entry).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::RecordsFull));
    assert!(answer.headers.contains_key(http::header::RETRY_AFTER));
    assert_eq!(third.runs(&deployment).len(), 0);

    publish(&deployment, &large_limit).await?;
    let answer = third.settle(entry).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::Answered));
    assert_eq!(third.runs(&deployment).len(), 1);
    assert_at_most_once(&deployment);
    Ok(())
}

/// Publishes a text and waits until every node has it in force.
async fn publish(deployment: &Deployment, text: &str) -> Result<()> {
    let version = ConfigVersion(deployment.platform.set_text(text)?);
    for vm in deployment.fleet.names() {
        let in_force = |status: &NodeStatus| status.config.in_force == Some(version);
        deployment
            .wait_status(&vm, "has the text in force", in_force)
            .await?;
    }
    Ok(())
}

/// A payment ran, its ticket expired, and its record was removed. A late duplicate
/// must not be taken for a new payment: the ticket has expired.
#[tokio::test]
async fn a_duplicate_after_the_record_expired_runs_nothing() -> Result<()> {
    let short_ttl = TEXT.replace(
        "\"connections\"",
        "\"ticket_ttl_ms\": 3000, \"connections\"",
    );
    let deployment = Deployment::start(&short_ttl, cashiers(2)).await?;
    let payment = payment_at(&deployment, "cashier-2", Call::charge("forgotten")).await?;
    let entry = deployment.entry("cashier-1");
    let answer = payment.send(entry).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::Answered));
    let is_empty = |status: &NodeStatus| status.gate.records == 0;
    deployment
        .wait_status("cashier-2", "has no records", is_empty)
        .await?;
    let answer = payment.send(entry).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::TicketExpired));
    assert_ran_once(&deployment, &payment);
    Ok(())
}

/// A payment ran, and then an edit of the text lowered the size limit below its
/// body. The gate does not read the whole body of a resend, so it cannot tell whether
/// this is the payment that ran: the answer must not be "not run".
#[tokio::test]
async fn an_executed_payment_is_not_reported_as_not_run_for_its_size() -> Result<()> {
    let large = TEXT.replace(
        "\"connections\"",
        "\"max_request_bytes\": 2000, \"connections\"",
    );
    let small = TEXT.replace(
        "\"connections\"",
        "\"max_request_bytes\": 1000, \"connections\"",
    );
    let deployment = Deployment::start(&large, cashiers(2)).await?;
    let call = Call::charge("sized").with_body(vec![b'x'; 1_500]);
    let executed = payment_at(&deployment, "cashier-2", call.clone()).await?;
    let call = Call::charge("unused").with_body(call.body);
    let fresh = payment_at(&deployment, "cashier-2", call).await?;
    let entry = deployment.entry("cashier-1");
    assert_eq!(
        code_of(&executed.send(entry).await?),
        Some(ResultCode::Answered)
    );

    publish(&deployment, &small).await?;
    let answer = executed.send(entry).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::BadRequest));
    let answer = fresh.send(entry).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::TooLarge));

    publish(&deployment, &large).await?;
    let answer = executed.send(entry).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::Replayed));
    let answer = fresh.send(entry).await?;
    assert_eq!(certainty_of(&answer), Certainty::NotRun);
    assert_eq!(executed.runs(&deployment).len(), 1);
    assert_eq!(fresh.runs(&deployment).len(), 0);
    assert_at_most_once(&deployment);
    Ok(())
}
