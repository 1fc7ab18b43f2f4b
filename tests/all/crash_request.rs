//! Requests that crash every target that runs them, and targets that fail fast.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use hornbeamhitch_standins::target::headers;
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_wire::header;

use crate::support::caller::{Call, Caller, code_of};
use crate::support::{CASHIER_TEXT, Deployment, Member};

/// The first crash makes the request a suspect. A second crash while the request
/// runs alone proves that it is the cause.
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

/// A caller's lookup crashes every target that runs it. The caller sends it again as
/// soon as it has an answer, alternating between the entries. After two crashes in
/// total, every entry rejects it at once with a `Retry-After`. Other lookups are still
/// answered, including those in flight during a crash.
#[tokio::test]
async fn a_request_that_crashes_targets_is_rejected_after_two_crashes() -> Result<()> {
    let deployment = Arc::new(Deployment::start(CASHIER_TEXT, members()).await?);
    let other_lookups = tokio::spawn(send_other_lookups(Arc::clone(&deployment)));
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

    let (answered, failed) = other_lookups.await?;
    println!("crashes {crashed}, other lookups answered {answered}, failed {failed:?}");
    assert!(failed.is_empty(), "{failed:?}");
    assert!(answered > 0);
    Ok(())
}

/// Sends different lookups from ten callers while targets crash. Returns the number
/// of answered lookups and the nonces of the failed ones.
async fn send_other_lookups(deployment: Arc<Deployment>) -> (usize, Vec<String>) {
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
                let answer = send_until_answered(&caller, entry, &call).await;
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

/// Sends an idempotent call until it is answered, up to six times, and waits as long
/// as each rejection asks for. Returns whether the answer is correct.
async fn send_until_answered(caller: &Caller, entry: std::net::SocketAddr, call: &Call) -> bool {
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

/// One of three targets answers every call with 500 immediately. After a few calls it
/// is ejected and gets hardly any, and callers see no error. Once it is healthy again,
/// half-open probes end the ejection.
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
        // 20 runs are more than half-open probes alone would cause, so the target
        // gets its full share again.
        while failing.all_runs().len() < before + 20 {
            sent += 1;
            let _ = caller
                .send(entry, &Call::price(&format!("later-{sent}")))
                .await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(crate::support::WAIT_TIMEOUT, back).await?;
    Ok(())
}
