//! Requests that crash each target that runs them, and targets that fail fast.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use hornbeamhitch_standins::target::headers;
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_wire::header;

use crate::support::caller::{Call, Caller, code_of};
use crate::support::{CASHIER_TEXT, Deployment, Member};

/// One crash shows the request, a second one while it runs alone convicts it.
const MAX_CRASHES: u64 = 2;
const SENDS: usize = 8;

fn members() -> Vec<Member> {
    let mut members = Vec::new();
    for vm in ["cashier-1", "cashier-2", "cashier-3"] {
        let member = Member::new(vm, "cashier").with(|target| {
            target.restart_ms = 300;
            target.crash_after_ms = 20;
        });
        members.push(member);
    }
    members
}

fn crashes(deployment: &Deployment) -> u64 {
    let mut crashes = 0;
    for target in deployment.targets.values() {
        crashes += target.counts().crashes;
    }
    crashes
}

fn poison() -> Call {
    let mut call = Call::price("poison");
    call = call.with(headers::CRASH, "1");
    call
}

/// A caller's lookup crashes each target that runs it; the caller sends it
/// again as soon as it has an answer, through every entry in turn. After two
/// crashes in all it is refused everywhere, at once, with a time to come back;
/// lookups of others go on being answered, those in flight in a crash included.
#[tokio::test]
async fn a_request_that_crashes_targets_ends_after_two_crashes() -> Result<()> {
    let deployment = Arc::new(Deployment::start(CASHIER_TEXT, members()).await?);
    let innocents = tokio::spawn(look_up_throughout(Arc::clone(&deployment)));
    let caller = Caller::new();
    let entries = deployment.fleet.entries();
    let mut codes = Vec::new();
    for send in 0..SENDS {
        let entry = entries[send % entries.len()];
        let answer = caller.send(entry, &poison()).await.unwrap();
        let code = code_of(&answer);
        codes.push(code);
        if code == Some(ResultCode::CrashSuspect) {
            assert!(answer.headers.contains_key(header::RETRY_AFTER_MS));
            assert!(answer.headers.contains_key(http::header::RETRY_AFTER));
        }
    }
    let refused = codes.iter();
    let refused = refused.filter(|code| **code == Some(ResultCode::CrashSuspect));
    assert!(refused.count() >= SENDS - 2, "{codes:?}");
    assert_eq!(codes.last(), Some(&Some(ResultCode::CrashSuspect)));
    let crashed = crashes(&deployment);
    assert!((1..=MAX_CRASHES).contains(&crashed), "{crashed} crashes");

    let (answered, failed) = innocents.await?;
    println!("crashes {crashed}, innocents answered {answered}, failed {failed:?}");
    assert!(failed.is_empty(), "{failed:?}");
    assert!(answered > 0);
    Ok(())
}

/// Ten callers look things up, each its own thing, while targets go down.
async fn look_up_throughout(deployment: Arc<Deployment>) -> (usize, Vec<String>) {
    const CALLERS: usize = 10;
    const ROUNDS: usize = 20;
    let mut running = Vec::new();
    for number in 0..CALLERS {
        let deployment = Arc::clone(&deployment);
        running.push(tokio::spawn(async move {
            let caller = Caller::new();
            let entries = deployment.fleet.entries();
            let mut failed = Vec::new();
            for round in 0..ROUNDS {
                let call = Call::price(&format!("innocent-{number}-{round}"));
                let call = call.with(headers::SERVICE_US, 15_000);
                let entry = entries[(number + round) % entries.len()];
                let answer = ask_until_answered(&caller, entry, &call).await;
                if !answer {
                    failed.push(call.nonce.clone());
                }
            }
            failed
        }));
    }
    let mut failed = Vec::new();
    for callers in running {
        failed.extend(callers.await.expect("a caller does not panic"));
    }
    (CALLERS * ROUNDS - failed.len(), failed)
}

/// An idempotent call is sent again when its answer says to come back, a few
/// times as the contract allows.
async fn ask_until_answered(caller: &Caller, entry: std::net::SocketAddr, call: &Call) -> bool {
    const TRIES: usize = 6;
    for _ in 0..TRIES {
        let Ok(answer) = caller.send(entry, call).await else {
            continue;
        };
        if code_of(&answer) == Some(ResultCode::Answered) {
            return call.is_answered_by(&answer);
        }
        let wait = answer.headers.get(header::RETRY_AFTER_MS);
        let wait = wait.and_then(|value| value.to_str().ok()?.parse().ok());
        tokio::time::sleep(Duration::from_millis(wait.unwrap_or(100))).await;
    }
    false
}

/// One of three targets answers every call with 500 at once. After a few calls
/// it is ejected and takes next to nothing, and callers see no error; when it
/// is well again, single trials bring it back.
#[tokio::test]
async fn a_target_that_fails_fast_takes_next_to_no_calls_and_comes_back() -> Result<()> {
    const CALLS: usize = 300;
    let deployment = Deployment::start(CASHIER_TEXT, members()).await?;
    let failing = deployment.target("cashier-2");
    failing.change_behaviour(|behaviour| behaviour.fail_fast = true);
    let caller = Caller::new();
    let entry = deployment.entry("cashier-1");
    let mut errors = 0;
    for number in 0..CALLS {
        let answer = caller
            .send(entry, &Call::price(&format!("first-{number}")))
            .await;
        errors += usize::from(!answer.is_ok_and(|answer| answer.status.is_success()));
    }
    let taken = failing.all_runs().len();
    println!("failing target took {taken} of {CALLS} calls, callers saw {errors} errors");
    assert!(
        taken <= CALLS / 20,
        "{taken} calls went to the failing target"
    );
    assert_eq!(errors, 0, "each failure is retried within the budget");

    failing.change_behaviour(|behaviour| behaviour.fail_fast = false);
    let before = failing.all_runs().len();
    let mut sent = 0;
    let back = async {
        // A trial, then its full share: more than trials alone would bring.
        while failing.all_runs().len() < before + 20 {
            sent += 1;
            let _ = caller
                .send(entry, &Call::price(&format!("later-{sent}")))
                .await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(crate::support::PATIENCE, back).await?;
    Ok(())
}
