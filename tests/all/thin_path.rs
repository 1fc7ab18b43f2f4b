//! The whole path of a call from its caller through entry and gate to the target and
//! back, with nodes as processes.

use eyre::Result;
use hornbeamhitch_types::prelude::*;

use crate::support::caller::{Call, Caller, code_of};
use crate::support::{CASHIER_TEXT, Deployment, Member};

fn members() -> Vec<Member> {
    vec![
        Member::new("cashier-1", "cashier"),
        Member::new("cashier-2", "cashier").in_data_centre("b"),
        Member::new("cashier-3", "cashier").in_data_centre("c"),
    ]
}

#[tokio::test]
async fn a_lookup_through_any_entry_is_answered_whole() -> Result<()> {
    let deployment = Deployment::start(CASHIER_TEXT, members()).await?;
    let caller = Caller::new();
    for vm in deployment.fleet.names() {
        let call = Call::price(&format!("lookup-{vm}"));
        let answer = caller.send(deployment.entry(&vm), &call).await.unwrap();
        assert_eq!(code_of(&answer), Some(ResultCode::Answered));
        assert!(call.is_answered_by(&answer), "{:?}", answer.body);
    }
    Ok(())
}

#[tokio::test]
async fn a_payment_is_redirected_to_its_ticketed_url_and_runs_once() -> Result<()> {
    let deployment = Deployment::start(CASHIER_TEXT, members()).await?;
    let caller = Caller::new();
    let call = Call::charge("payment-1");
    let entry = deployment.entry("cashier-1");
    let path = caller.ticketed_path(entry, &call).await?;
    assert!(
        deployment.runs_of("payment-1").is_empty(),
        "the redirect caused a run"
    );

    let answer = caller.send_to(entry, &call, &path).await.unwrap();
    assert_eq!(code_of(&answer), Some(ResultCode::Answered));
    assert!(call.is_answered_by(&answer), "{:?}", answer.body);

    // The same ticket through another entry returns the same answer without a run.
    let other = deployment.entry("cashier-2");
    let again = caller.send_to(other, &call, &path).await.unwrap();
    assert_eq!(code_of(&again), Some(ResultCode::Replayed));
    assert_eq!(again.body, answer.body);
    assert_eq!(deployment.runs_of("payment-1").len(), 1);
    Ok(())
}
