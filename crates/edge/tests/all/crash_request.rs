//! Requests that crash the targets in which they run.

use crate::support::caller::request;
use crate::support::fleet;
use crate::support::target::until;

/// Guards against a request that crashes one target after the other. Its caller
/// retries it through several nodes. After at most four crashes every node refuses it,
/// also nodes that saw no crash, and the remaining targets serve other lookups.
#[tokio::test]
async fn a_request_that_crashes_targets_is_stopped_everywhere() {
    let fleet = fleet(&["s"; 7]).await;
    for vm in &fleet.vms {
        // Opens links between all nodes, as ordinary traffic does.
        for number in 0..12 {
            request(vm.callers, "GET", "/read/ok", &format!("warm-{number}")).await;
        }
    }
    for number in 0..6 {
        let caller = fleet.vms[number % 3].callers;
        let answer = request(caller, "GET", "/read/crash", &format!("id-{number}")).await;
        assert!(answer.status() >= 500);
    }
    let crashed = || {
        let targets = fleet.vms.iter();
        targets.filter(|vm| vm.target.has_crashed()).count()
    };
    assert!(
        (1..=4).contains(&crashed()),
        "{} targets crashed",
        crashed()
    );
    let before = crashed();
    for vm in &fleet.vms {
        let answer = request(vm.callers, "GET", "/read/crash", "id-last").await;
        assert_eq!(answer.status(), 503);
        assert!(answer.body.contains("crash-suspect"), "{}", answer.body);
    }
    assert_eq!(crashed(), before);
    let answer = request(fleet.vms[6].callers, "GET", "/read/ok", "id-other").await;
    assert_eq!(answer.status(), 200);
}

/// Guards against refusing innocent requests. A target crashes while unrelated lookups
/// run in it. They are suspected until they succeed on another target, and none is
/// refused as a crash suspect.
#[tokio::test]
async fn lookups_in_flight_during_an_unrelated_crash_are_cleared() {
    let fleet = fleet(&["s", "s"]).await;
    let callers = fleet.vms[1].callers;
    let lookups = tokio::spawn(async move {
        let mut answers = Vec::new();
        for number in 0..4 {
            let path = format!("/read/slow?{number}");
            answers.push(
                request(callers, "GET", &path, &format!("id-{number}"))
                    .await
                    .status(),
            );
        }
        answers
    });
    until("some lookup ran", || {
        fleet.vms.iter().any(|vm| !vm.target.ran().is_empty())
    })
    .await;
    request(fleet.vms[0].callers, "GET", "/read/crash", "id-crash").await;
    let answers = lookups.await.expect("no panic");
    for (number, status) in answers.iter().enumerate() {
        if *status == 200 {
            continue;
        }
        let path = format!("/read/slow?{number}");
        let again = request(callers, "GET", &path, "id-again").await;
        assert!(!again.body.contains("crash-suspect"), "{}", again.body);
    }
}
