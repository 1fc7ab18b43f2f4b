//! Runs the command line against real nodes.

use eyre::Result;

use super::{FOUND, OK, UNREACHABLE, run, run_with_long_timeout};
use crate::support::{CASHIER_TEXT, Deployment, Member};

fn members() -> Vec<Member> {
    vec![
        Member::new("cashier-1", "cashier"),
        Member::new("cashier-2", "cashier").in_data_centre("b"),
    ]
}

/// A `--node` argument for each node of a deployment.
fn node_arguments(deployment: &Deployment) -> Result<Vec<String>> {
    let mut arguments = Vec::new();
    for vm in deployment.fleet.names() {
        let operators = deployment.fleet.addresses(&vm)?.operators;
        arguments.push("--node".to_owned());
        arguments.push(format!("http://{operators}"));
    }
    Ok(arguments)
}

fn with<'a>(first: &[&'a str], nodes: &'a [String]) -> Vec<&'a str> {
    let mut arguments = first.to_vec();
    for argument in nodes {
        arguments.push(argument);
    }
    arguments
}

#[tokio::test(flavor = "multi_thread")]
async fn status_and_targets_of_running_nodes_are_shown() -> Result<()> {
    let deployment = Deployment::start(CASHIER_TEXT, members()).await?;
    let nodes = node_arguments(&deployment)?;

    let status = run_with_long_timeout(&with(&["status"], &nodes));
    assert_eq!(status.exit, OK, "{}{}", status.out, status.err);
    for vm in ["cashier-1", "cashier-2"] {
        let line = format!("\n{vm}  cashier");
        assert!(
            format!("\n{}", status.out).contains(&line),
            "{}",
            status.out
        );
    }
    assert!(
        status
            .out
            .ends_with("in force at all nodes that answered (2): v1\n")
    );

    // A busy machine may delay heartbeats, and a target then looks doubtful
    // to one of the nodes for a moment.
    let agreeing = with(&["where", "cashier"], &nodes);
    deployment
        .wait_until("the nodes agree", |_| {
            run_with_long_timeout(&agreeing).exit == OK
        })
        .await?;

    let unknown = run_with_long_timeout(&with(&["where", "ledger"], &nodes));
    assert_eq!(unknown.exit, FOUND, "{}", unknown.out);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_is_named_and_the_other_is_still_shown() -> Result<()> {
    // One node is paused, and its port still accepts connections. After the timeout
    // the operator sees the other node's status and which node did not answer.
    let mut deployment = Deployment::start(CASHIER_TEXT, members()).await?;
    let nodes = node_arguments(&deployment)?;
    deployment.fleet.pause("cashier-2")?;

    let status = run(&with(&["status", "--timeout-ms", "5000"], &nodes));
    deployment.fleet.resume("cashier-2")?;
    assert_eq!(status.exit, UNREACHABLE, "{}{}", status.out, status.err);
    assert!(
        format!("\n{}", status.out).contains("\ncashier-1  cashier"),
        "{}",
        status.out
    );
    let silent = format!("{}: no status: no answer within 5000 ms", nodes[3]);
    assert!(status.out.contains(&silent), "{}", status.out);
    Ok(())
}
