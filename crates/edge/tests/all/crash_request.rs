//! Requests that crash the targets in which they run.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::support::caller::request;
use crate::support::target::until;
use crate::support::{Fleet, fleet};

/// Number of targets that one request may crash before it has to be stopped.
const TOLERATED_CRASHES: usize = 3;
/// Number of times that such a request may be sent to a target afterwards.
const TOLERATED_RETRIES: usize = 3;
/// Time after the last tolerated crash from which on retries are counted.
const RETRIES_COUNT_AFTER: Duration = Duration::from_secs(3);

/// Sixteen targets of the service that the routes lead to, and four VMs of other services.
const SERVICES: [&str; 20] = [
    "s", "s", "s", "s", "s", "s", "s", "s", "s", "s", "s", "s", "s", "s", "s", "s", "a", "b", "c",
    "d",
];

fn crashed(fleet: &Fleet) -> usize {
    let targets = fleet.vms.iter();
    targets.filter(|vm| vm.target.has_crashed()).count()
}

/// Sends the same lookup through all VMs, again and again, until the returned tasks are
/// dropped. Returns once each VM has served it.
async fn keep_sending_lookups(fleet: &Fleet) -> tokio::task::JoinSet<()> {
    let served = Arc::new(AtomicUsize::new(0));
    let mut senders = tokio::task::JoinSet::new();
    for vm in &fleet.vms {
        let callers = vm.callers;
        let served = Arc::clone(&served);
        senders.spawn(async move {
            let mut number = 0;
            let mut is_served = false;
            loop {
                number += 1;
                let id = format!("{callers}-{number}");
                let answer = request(callers, "GET", "/read/slow", &id).await;
                if !is_served && answer.status() == 200 {
                    is_served = true;
                    served.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    until("each VM has served a lookup", || {
        served.load(Ordering::Relaxed) == fleet.vms.len()
    })
    .await;
    senders
}

/// Waits until each VM has served a lookup, which also opens links between the VMs.
async fn warm_up(fleet: &Fleet) {
    for vm in &fleet.vms {
        for number in 0..12 {
            request(vm.callers, "GET", "/read/ok", &format!("warm-{number}")).await;
        }
    }
}

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

/// Guards against counting the crashes of one request separately for each service from
/// whose VMs it is sent.
#[tokio::test]
async fn a_crashing_request_from_vms_of_several_services_is_one_request() {
    let fleet = fleet(&SERVICES).await;
    warm_up(&fleet).await;
    let lookups = keep_sending_lookups(&fleet).await;
    for number in 0..12 {
        let caller = fleet.vms[16 + number % 4].callers;
        request(caller, "GET", "/read/one/crash", &format!("id-{number}")).await;
    }
    drop(lookups);
    let crashed = crashed(&fleet);
    assert!(
        crashed <= TOLERATED_CRASHES + TOLERATED_RETRIES,
        "{crashed} targets crashed"
    );
}

/// Guards against counting simultaneous crashes on several targets as one, so that a
/// request that several clients send at a time continues to crash targets.
#[tokio::test]
async fn simultaneous_crashes_of_one_request_are_all_counted() {
    let fleet = fleet(&SERVICES).await;
    warm_up(&fleet).await;
    let lookups = keep_sending_lookups(&fleet).await;
    let send_at_once = async |round: usize| {
        let mut senders = tokio::task::JoinSet::new();
        for vm in &fleet.vms[16..19] {
            let callers = vm.callers;
            senders.spawn(async move {
                let id = format!("{callers}-{round}");
                request(callers, "GET", "/read/one/crash", &id).await;
            });
        }
        senders.join_all().await;
    };
    send_at_once(0).await;
    let tolerated = crashed(&fleet).max(TOLERATED_CRASHES) + TOLERATED_RETRIES;
    tokio::time::sleep(RETRIES_COUNT_AFTER).await;
    for round in 1..6 {
        send_at_once(round).await;
    }
    drop(lookups);
    let crashed = crashed(&fleet);
    assert!(crashed <= tolerated, "{crashed} of {tolerated} crashed");
}

/// Number of requests that each crash the targets in which they run.
const CRASHING_REQUESTS: usize = 6;

/// Returns on how many VMs the common lookup is refused.
async fn count_refusals(fleet: &Fleet) -> usize {
    let mut refused = 0;
    for vm in &fleet.vms {
        let answer = request(vm.callers, "GET", "/read/slow", "id-last").await;
        refused += usize::from(answer.body.contains("crash-suspect"));
    }
    refused
}

/// Guards against refusing a common lookup that was in flight in each of many crashes
/// while it succeeded on other targets.
#[tokio::test]
async fn a_common_lookup_that_is_in_flight_in_each_crash_is_still_served() {
    /// Pause between two requests that crash targets.
    const PAUSE: Duration = Duration::from_millis(600);
    let mut services = vec!["s"; 20];
    services.extend(["a", "b"]);
    let fleet = fleet(&services).await;
    warm_up(&fleet).await;
    let lookups = keep_sending_lookups(&fleet).await;
    for number in 0..CRASHING_REQUESTS {
        let caller = fleet.vms[number].callers;
        let path = format!("/read/{number}/crash");
        request(caller, "GET", &path, &format!("id-{number}")).await;
        tokio::time::sleep(PAUSE).await;
    }
    drop(lookups);
    assert_eq!(count_refusals(&fleet).await, 0, "refused on this many VMs");
}

/// Guards against refusing a common lookup that is new, and that other requests deprive of
/// all its first targets.
#[tokio::test]
async fn a_new_common_lookup_that_is_in_flight_in_each_crash_is_still_served() {
    let fleet = fleet(&SERVICES).await;
    warm_up(&fleet).await;
    let mut lookups = tokio::task::JoinSet::new();
    for vm in &fleet.vms {
        let callers = vm.callers;
        lookups.spawn(async move {
            let mut number = 0;
            loop {
                number += 1;
                request(callers, "GET", "/read/slow", &format!("{callers}-{number}")).await;
            }
        });
    }
    for number in 0..CRASHING_REQUESTS {
        let caller = fleet.vms[number].callers;
        let path = format!("/read/{number}/crash");
        request(caller, "GET", &path, &format!("id-{number}")).await;
    }
    drop(lookups);
    assert_eq!(count_refusals(&fleet).await, 0, "refused on this many VMs");
}
