//! Attempts that their gates do not confirm in time, with gates played by the test.

use std::time::Duration;

use hornbeamhitch_dispatch::overload::{OverloadPart, OverloadParts};
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_types::load::{SilenceReport, SilentVm};
use hornbeamhitch_wire::link::{CallId, ToEntry, ToGate};

use crate::support::caller::{Caller, request};
use crate::support::entry_end::FakeEntry;
use crate::support::gate_end::{FakeGate, answer};
use crate::support::{fleet, fleet_without};
use stage::{Healthy, Stage};

mod stage;

/// Twice the time after which a gate confirms a call that it has not decided.
const CONFIRMED: Duration = Duration::from_millis(40);
/// More than the longest confirmation timeout.
const WITHDRAWN: Duration = Duration::from_millis(250);
/// Time for which a slow VM sends nothing.
const SLOW: Duration = Duration::from_millis(300);

async fn next_offer(gate: &mut FakeGate) -> CallId {
    match gate.next_including_pings().await {
        ToGate::Offer { id, .. } => id,
        frame => panic!("an offer was expected instead of {frame:?}"),
    }
}

async fn expect_cancel(gate: &mut FakeGate, expected: CallId) {
    let is_cancel = |frame: &ToGate| matches!(frame, ToGate::Cancel { id } if *id == expected);
    while !is_cancel(&gate.next_including_pings().await) {}
}

/// Asserts that no content arrives until the entry closes the link.
async fn expect_no_content_until_closed(gate: &mut FakeGate) {
    while let Some(frame) = gate.next_unless_closed().await {
        assert!(!is_content(&frame), "{frame:?}");
    }
}

/// Asserts that no content of offers arrives before two further lookups.
async fn expect_no_content(stage: &Stage, gate: &mut FakeGate) {
    for request_id in ["probe-1", "probe-2"] {
        let lookup = stage.start("GET", "/read/x", request_id);
        let id = loop {
            let frame = gate.next().await;
            if let ToGate::Call { id, .. } = frame {
                break id;
            }
            assert!(!is_content(&frame), "{frame:?}");
        };
        gate.send(&answer(id, request_id)).await;
        assert_eq!(lookup.await.expect("an answer").status(), 200);
    }
}

const fn is_content(frame: &ToGate) -> bool {
    matches!(frame, ToGate::Head { .. } | ToGate::Body { .. })
}

/// Guards against a payment that waits for a VM that has lost power, and against one that
/// runs there although it was placed elsewhere: the gate requests its content too late.
#[tokio::test]
async fn an_unconfirmed_payment_goes_elsewhere_and_its_late_confirmation_is_ignored() {
    let stage = Stage::new().await;
    let listener = stage.listen(1).await;
    let healthy = stage.start_healthy(2).await;
    stage.list(&[1]);
    let payment = stage.start("POST", "/pay/x", "id-1");
    let mut gate = FakeGate::accept(&listener, 1).await;
    let id = next_offer(&mut gate).await;
    stage.list(&[1, 2]);
    assert_eq!(payment.await.expect("an answer").status(), 200);
    expect_cancel(&mut gate, id).await;
    gate.send(&ToEntry::WantsContent { id }).await;
    stage.list(&[1]);
    expect_no_content(&stage, &mut gate).await;
    assert_eq!(*healthy.ran.lock(), ["id-1"]);
}

/// Guards against promising nothing, or waiting for the deadline, where the only gate is
/// silent: the payment provably did not run, so its caller may send it again.
#[tokio::test]
async fn an_unconfirmed_payment_is_refused_as_not_run_where_no_other_target_exists() {
    let stage = Stage::new().await;
    let listener = stage.listen(1).await;
    stage.list(&[1]);
    let payment = stage.start("POST", "/pay/x", "id-1");
    let mut gate = FakeGate::accept(&listener, 1).await;
    let id = next_offer(&mut gate).await;
    let answer = payment.await.expect("an answer");
    assert_eq!(answer.status(), 503);
    assert!(answer.field("Retry-After").is_some());
    expect_cancel(&mut gate, id).await;
    drop(listener);
    expect_no_content_until_closed(&mut gate).await;
}

/// Guards against a lookup that waits for a VM that has lost power, and against more calls
/// to that VM before it responds. Other nodes are told of it.
#[tokio::test]
async fn an_unconfirmed_lookup_goes_elsewhere_and_no_other_call_follows_it() {
    let stage = Stage::new().await;
    let listener = stage.listen(1).await;
    let healthy = stage.start_healthy(2).await;
    stage.list(&[1]);
    let lookup = stage.start("GET", "/read/x", "id-1");
    let mut gate = FakeGate::accept(&listener, 1).await;
    let ToGate::Call { id, .. } = gate.next_including_pings().await else {
        panic!("a call was expected");
    };
    stage.list(&[1, 2]);
    assert_eq!(lookup.await.expect("an answer").status(), 200);
    for number in 0..20 {
        let id = format!("more-{number}");
        let answer = request(stage.callers(), "GET", "/read/x", &id).await;
        assert_eq!(answer.status(), 200);
    }
    // The cancellation and the ping are sent by different tasks.
    let mut frames = Vec::new();
    for _ in 0..2 {
        frames.push(gate.next_including_pings().await);
    }
    assert!(frames.contains(&ToGate::Cancel { id }), "{frames:?}");
    assert!(frames.contains(&ToGate::Ping), "{frames:?}");
    assert_eq!(healthy.ran.lock().len(), 21);
    let observer = stage.fleet.vms[0].target.address.ip();
    let silent = Stage::member(1).vm_ip();
    let reports = healthy.reports.lock().clone();
    let is_expected = |report: &&SilentVm| report.vm == silent && report.observer == observer;
    assert_eq!(reports.iter().filter(is_expected).count(), reports.len());
    assert_eq!(reports.len(), 1, "it is told once on a link");
}

/// Guards against running a lookup in more targets than its route allows when gates receive
/// it and stay silent, and against waiting for the second one: it is only offered.
#[tokio::test]
async fn a_lookup_is_only_offered_after_a_gate_has_not_confirmed_it() {
    let stage = Stage::new().await;
    let listeners = [
        stage.listen(1).await,
        stage.listen(2).await,
        stage.listen(3).await,
    ];
    let healthy = stage.start_healthy(4).await;
    stage.list(&[1]);
    let lookup = stage.start("GET", "/read/x", "id-1");
    let mut first = FakeGate::accept(&listeners[0], 1).await;
    let frame = first.next_including_pings().await;
    assert!(matches!(frame, ToGate::Call { .. }), "{frame:?}");
    stage.list(&[1, 2]);
    let mut second = FakeGate::accept(&listeners[1], 2).await;
    next_offer(&mut second).await;
    stage.list(&[1, 2, 3]);
    let mut third = FakeGate::accept(&listeners[2], 3).await;
    next_offer(&mut third).await;
    stage.list(&[1, 2, 3, 4]);
    assert_eq!(lookup.await.expect("an answer").status(), 200);
    assert_eq!(*healthy.ran.lock(), ["id-1"]);
}

/// Guards against taking a call from a VM that is slow for 300 ms and has confirmed it. Other
/// calls avoid the VM until its next frame, and reach it again from then on.
#[tokio::test]
async fn a_gate_that_is_slow_keeps_what_it_has_confirmed() {
    let stage = Stage::new().await;
    let listener = stage.listen(1).await;
    let healthy = stage.start_healthy(2).await;
    stage.list(&[1]);
    let lookup = stage.start("GET", "/read/x", "id-1");
    let mut gate = FakeGate::accept(&listener, 1).await;
    let (lookup_id, _) = gate.next_call().await;
    let payment = stage.start("POST", "/pay/x", "id-2");
    let (payment_id, _) = gate.next_call().await;
    gate.send(&ToEntry::Received { id: lookup_id }).await;
    let unconfirmed = stage.start("GET", "/read/x", "id-3");
    let frame = gate.next().await;
    assert!(matches!(frame, ToGate::Call { .. }), "{frame:?}");
    stage.list(&[1, 2]);
    tokio::time::sleep(SLOW).await;
    assert_eq!(unconfirmed.await.expect("an answer").status(), 200);
    assert!(!lookup.is_finished() && !payment.is_finished());
    assert_eq!(*healthy.ran.lock(), ["id-3"]);
    gate.send(&answer(lookup_id, "id-1")).await;
    gate.send(&answer(payment_id, "id-2")).await;
    assert_eq!(lookup.await.expect("an answer").status(), 200);
    assert_eq!(payment.await.expect("an answer").status(), 200);
    assert_eq!(*healthy.ran.lock(), ["id-3"]);

    let served = tokio::spawn(Healthy::default().answer_all(gate));
    for number in 0..40 {
        let id = format!("more-{number}");
        let answer = request(stage.callers(), "GET", "/read/x", &id).await;
        assert_eq!(answer.status(), 200);
    }
    let elsewhere = healthy.ran.lock().len() - 1;
    assert!(elsewhere < 40, "the gate that responds again got no call");
    served.abort();
}

/// Guards against calls that wait one after the other for the same link to be opened. The
/// kernel of a stopped VM accepts the connection, but its gate sends no frame.
#[tokio::test]
async fn opening_a_link_holds_up_no_call() {
    let stage = Stage::new().await;
    let listener = stage.listen(1).await;
    let healthy = stage.start_healthy(2).await;
    stage.list(&[1]);
    let mut calls = Vec::new();
    for number in 0..12 {
        let (method, path) = match number % 2 {
            0 => ("GET", "/read/x"),
            _ => ("POST", "/pay/x"),
        };
        let id = format!("id-{number}");
        let callers = stage.callers();
        calls.push(tokio::spawn(async move {
            request(callers, method, path, &id).await
        }));
    }
    let _unanswered = listener.accept().await.expect("a link");
    stage.list(&[1, 2]);
    for call in calls {
        assert_eq!(call.await.expect("an answer").status(), 200);
    }
    assert_eq!(healthy.ran.lock().len(), 12);
}

/// Guards against running a payment twice where its link is lost and its gate restarts. What
/// was only offered did not run, so it is sent again without asking for its outcome.
#[tokio::test]
async fn an_offer_whose_link_is_lost_is_sent_again_to_the_restarted_gate() {
    let stage = Stage::new().await;
    let listener = stage.listen(1).await;
    stage.list(&[1]);
    let payment = stage.start("POST", "/pay/x", "id-1");
    let mut gate = FakeGate::accept(&listener, 1).await;
    let frame = gate.next().await;
    let ToGate::Offer { terms: first, .. } = frame else {
        panic!("an offer was expected instead of {frame:?}");
    };
    drop(gate);
    let mut gate = FakeGate::accept(&listener, 2).await;
    let (id, second) = gate.next_call().await;
    assert_ne!(first.key, second.key);
    gate.send(&answer(id, "id-1")).await;
    assert_eq!(payment.await.expect("an answer").status(), 200);
}

/// Guards against running a payment twice where its gate confirms it late and the link is
/// lost just then: the content was sent, so the gate is asked for the outcome.
#[tokio::test]
async fn a_payment_whose_content_was_sent_just_in_time_is_fenced_after_a_lost_link() {
    let stage = Stage::new().await;
    let listener = stage.listen(1).await;
    let healthy = stage.start_healthy(2).await;
    stage.list(&[1]);
    let payment = stage.start("POST", "/pay/x", "id-1");
    let mut gate = FakeGate::accept(&listener, 1).await;
    let (_, terms) = gate.next_call().await;
    stage.list(&[1, 2]);
    tokio::time::sleep(WITHDRAWN).await;
    assert!(healthy.ran.lock().is_empty(), "it was withdrawn");
    drop(gate);
    let mut gate = FakeGate::accept(&listener, 1).await;
    let frame = gate.next().await;
    let ToGate::Fence { id, key } = frame else {
        panic!("a fence request was expected instead of {frame:?}");
    };
    assert_eq!(key, terms.key);
    gate.send(&answer(id, "id-1")).await;
    assert_eq!(payment.await.expect("an answer").status(), 200);
    assert!(healthy.ran.lock().is_empty());
}

/// Guards against running a payment twice where its gate restarts and confirms late. The new
/// process requests the content under the id that the withdrawn call had.
#[tokio::test]
async fn a_restarted_gate_gets_no_content_of_a_withdrawn_payment() {
    let stage = Stage::new().await;
    let listener = stage.listen(1).await;
    let healthy = stage.start_healthy(2).await;
    stage.list(&[1]);
    let payment = stage.start("POST", "/pay/x", "id-1");
    let mut gate = FakeGate::accept(&listener, 1).await;
    let id = next_offer(&mut gate).await;
    stage.list(&[1, 2]);
    assert_eq!(payment.await.expect("an answer").status(), 200);
    drop(gate);
    stage.list(&[1]);
    let next = stage.start("GET", "/read/x", "id-2");
    let mut gate = FakeGate::accept(&listener, 2).await;
    gate.send(&ToEntry::WantsContent { id }).await;
    let (next_id, terms) = gate.next_call().await;
    assert_eq!(terms.request_id, "id-2");
    gate.send(&answer(next_id, "id-2")).await;
    assert_eq!(next.await.expect("an answer").status(), 200);
    assert_eq!(*healthy.ran.lock(), ["id-1"]);
}

/// Observations of target 3's VM by these nodes.
fn observed_by(observers: &[u8]) -> SilenceReport {
    let mut report = SilenceReport::default();
    for observer in observers {
        report.vms.push(SilentVm {
            vm: Stage::member(3).vm_ip(),
            observer: [127, 203, 1, *observer].into(),
            age_ms: Millis::ZERO,
        });
    }
    report
}

/// Guards against calls to a VM that two others found silent, and against avoiding one that
/// a single observer reports.
#[tokio::test]
async fn a_vm_that_two_observers_report_is_tried_last() {
    for (observers, is_avoided) in [(&[1, 2][..], true), (&[1][..], false)] {
        let stage = Stage::new().await;
        let healthy = [stage.start_healthy(1).await, stage.start_healthy(2).await];
        let reported = stage.start_healthy(3).await;
        *healthy[0].report.lock() = observed_by(observers);
        stage.list(&[1]);
        let first = request(stage.callers(), "GET", "/read/x", "id-0").await;
        assert_eq!(first.status(), 200);
        stage.list(&[1, 2, 3]);
        for number in 1..=40 {
            let id = format!("id-{number}");
            let answer = request(stage.callers(), "GET", "/read/x", &id).await;
            assert_eq!(answer.status(), 200);
        }
        assert_eq!(reported.ran.lock().is_empty(), is_avoided, "{observers:?}");
    }
}

/// Guards against gates that ignore what entries report.
#[tokio::test]
async fn a_gate_learns_of_silent_vms_from_entries_and_tells_others() {
    let fleet = fleet(&["s"]).await;
    let mut entry = FakeEntry::connect(&fleet).await;
    let report = ToGate::Silence(observed_by(&[1, 2]));
    entry.send(&report).await;
    let call = entry.send_lookup().await;
    assert_eq!(entry.end_of(call).await, None);
    let mut other = FakeEntry::connect(&fleet).await;
    other.send_lookup().await;
    let report = loop {
        match other.next().await {
            ToEntry::Silence(report) => break report,
            ToEntry::Answered { .. } => panic!("no report precedes the end of the call"),
            _ => {}
        }
    };
    let mut observers: Vec<_> = report.vms.iter().map(|silent| silent.observer).collect();
    observers.sort_unstable();
    let expected = observed_by(&[1, 2]);
    let expected: Vec<_> = expected.vms.iter().map(|silent| silent.observer).collect();
    assert_eq!(observers, expected);
}

/// Guards against withdrawing calls from gates that are only busy, and against confirmations
/// in calm times or while they are switched off.
#[tokio::test]
async fn a_gate_confirms_only_calls_that_are_undecided_for_a_while() {
    const CONFIRMATION: OverloadParts = OverloadParts::NONE.with(OverloadPart::SilenceBound);
    for (switched_off, confirms) in [(OverloadParts::NONE, true), (CONFIRMATION, false)] {
        let fleet = fleet_without(&["s"], switched_off).await;
        let mut entry = FakeEntry::connect(&fleet).await;
        let offer = entry.send_offer().await;
        tokio::time::sleep(CONFIRMED).await;
        let lookup = entry.send_lookup().await;
        let mut confirmed = Vec::new();
        loop {
            match entry.next().await {
                ToEntry::Received { id } if id == offer => confirmed.push(id),
                ToEntry::Answered { id, .. } if id == lookup => break,
                _ => {}
            }
        }
        let expected: &[CallId] = if confirms { &[offer] } else { &[] };
        assert_eq!(confirmed, expected);
    }
}

/// Guards against a gate that starts a call whose content arrives after its cancellation.
#[tokio::test]
async fn a_withdrawn_offer_does_not_run() {
    let fleet = fleet(&["s"]).await;
    let mut entry = FakeEntry::connect(&fleet).await;
    let id = entry.send_offer().await;
    while !matches!(entry.next().await, ToEntry::WantsContent { .. }) {}
    entry.send(&ToGate::Cancel { id }).await;
    let head = FakeEntry::head();
    entry.send(&ToGate::Head { id, head }).await;
    let lookup = entry.send_lookup().await;
    assert_eq!(entry.end_of(lookup).await, None);
    assert_eq!(fleet.vms[0].target.ran().len(), 1);
}

/// Guards against confirmation timeouts while the part is switched off: a lookup waits for
/// the silent gate until its link is given up.
#[tokio::test]
async fn nothing_is_withdrawn_while_the_part_is_switched_off() {
    const CONFIRMATION: OverloadParts = OverloadParts::NONE.with(OverloadPart::SilenceBound);
    let fleet = fleet_without(&["other"], CONFIRMATION).await;
    let stage = Stage { fleet };
    let listener = stage.listen(1).await;
    let healthy = stage.start_healthy(2).await;
    stage.list(&[1]);
    let mut caller = Caller::connect(stage.callers()).await;
    caller.send("GET", "/read/x", "id-1", "").await;
    let mut gate = FakeGate::accept(&listener, 1).await;
    let (id, _) = gate.next_call().await;
    stage.list(&[1, 2]);
    tokio::time::sleep(WITHDRAWN).await;
    gate.send(&answer(id, "id-1")).await;
    assert_eq!(caller.answer().await.expect("an answer").status(), 200);
    assert!(healthy.ran.lock().is_empty());
}
