//! A frozen peer must not delay the graceful shutdown of another node.

use std::time::Duration;

use eyre::Result;
use hornbeamhitch_types::prelude::*;

use crate::support::caller::{Call, Caller, code_of};
use crate::support::{CASHIER_TEXT, Deployment, Member};

/// Well below the drain timeout of 30 s, after which the node would exit with
/// status 4.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A node gets SIGTERM while another VM is paused by its host. The paused node has an
/// HTTP/2 connection to the terminating one and answers no pings. A graceful shutdown
/// that waits for such an answer lasts until the drain timeout and reports work in
/// flight although there is none.
#[tokio::test]
async fn a_node_shuts_down_while_a_connected_peer_is_frozen() -> Result<()> {
    let members = vec![
        Member::new("cashier-1", "cashier"),
        Member::new("cashier-2", "cashier"),
    ];
    let mut deployment = Deployment::start(CASHIER_TEXT, members).await?;
    let caller = Caller::new();
    // Calls go through the second node until one of them reaches the first.
    let entry = deployment.entry("cashier-2");
    for round in 0..200 {
        let call = Call::price(&format!("lookup-{round}"));
        let answer = caller.send(entry, &call).await.unwrap();
        assert_eq!(code_of(&answer), Some(ResultCode::Answered));
        if !deployment.target("cashier-1").all_runs().is_empty() {
            break;
        }
    }
    assert!(
        !deployment.target("cashier-1").all_runs().is_empty(),
        "the second node never used the first"
    );

    deployment.fleet.pause("cashier-2")?;
    deployment.fleet.terminate("cashier-1")?;
    let status = deployment
        .fleet
        .wait_exit("cashier-1", EXIT_TIMEOUT)
        .await?;
    assert_eq!(status.code(), Some(0));
    deployment.fleet.resume("cashier-2")?;
    Ok(())
}
