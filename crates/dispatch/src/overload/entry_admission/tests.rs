use super::*;
use crate::routing::routes::tests::route;

/// Returns a configuration that calls for all parts.
fn competing_routes() -> RouteSet {
    let mut routes = RouteSet::new(1, CallerLimits::default());
    for (name, priority) in [("lookup", 1), ("report", 2)] {
        let mut route = route(name, &format!("/{name}/"), &[("books", 1)]);
        route.priority = priority;
        routes.add("a.example", route);
    }
    routes
}

/// Guards against an entry that knows no load and refuses calls: it has just started or is
/// cut off from all gates.
#[test]
fn an_entry_without_reports_admits_every_call() {
    let mut admission = EntryAdmission::new(OverloadParts::NONE);
    let route = route("lookup", "/lookup/", &[("books", 1)]);
    let service = ServiceName::new("books");
    for number in 0..1_000 {
        let call = EnteringCall {
            service: &service,
            route: &route,
            key: RequestKey {
                fingerprint: number,
                deadline_at: Millis(2_000),
            },
            caller: CallerId(number),
            work_ms: Millis(100),
            targets: 20,
            target_is_idle: false,
            rejected_part: 0.0,
        };
        let entering = admission.enter(&call, Millis(number));
        assert!(matches!(entering, Entering::Admitted(_)), "{entering:?}");
        assert_eq!(admission.retry_time(&call, Millis(number)), None);
    }
}

/// Guards against a retry that passes no part, or an early one that asks a gate. The levels
/// of this entry are unknown, so the reservation is made directly.
#[test]
fn a_retry_passes_at_its_time_and_is_refused_before() {
    let mut admission = EntryAdmission::new(OverloadParts::NONE);
    admission.adopt(&competing_routes());
    let route = route("lookup", "/lookup/", &[("books", 1)]);
    let service = ServiceName::new("books");
    let call = call_of(&service, &route, 7);
    let wish = RetryWish {
        key: call.key,
        service: &service,
        class: admission.class_of(&route),
        work_ms: call.work_ms,
        rate_per_s: 20.0,
    };
    let RetryTime::Reserved(at) = admission.schedule.reserve(&wish, Millis(0)) else {
        panic!("an idle schedule has room");
    };
    for _ in 0..10 {
        let entering = admission.enter(&call, Millis(1));
        assert_eq!(entering, refused(EntryRefusal::EarlyReturn, at));
    }
    assert_eq!(admission.schedule().open(&service), 1);
    let Entering::Admitted(admitted) = admission.enter(&call, at) else {
        panic!("the retry at its time is refused");
    };
    assert!(admitted.has_reservation);
    let Entering::Admitted(admitted) = admission.enter(&call, at) else {
        panic!("a new call is refused without a level");
    };
    assert!(!admitted.has_reservation);
}

/// Guards against a part that decides although it is switched off: the retry is a new call.
#[test]
fn reservations_have_no_effect_while_their_part_is_off() {
    let off = OverloadParts::NONE.with(OverloadPart::ScheduledReturns);
    let mut admission = EntryAdmission::new(off);
    admission.adopt(&competing_routes());
    let route = route("lookup", "/lookup/", &[("books", 1)]);
    let service = ServiceName::new("books");
    let call = call_of(&service, &route, 7);
    let wish = RetryWish {
        key: call.key,
        service: &service,
        class: admission.class_of(&route),
        work_ms: call.work_ms,
        rate_per_s: 20.0,
    };
    let _ = admission.schedule.reserve(&wish, Millis(0));
    let entering = admission.enter(&call, Millis(1));
    assert!(matches!(entering, Entering::Admitted(_)), "{entering:?}");
    assert_eq!(admission.retry_time(&call, Millis(1)), None);
}

/// Guards against a nested call that is treated as a caller's: it passes all parts, also
/// while its content and deadline equal those of a reservation. Without its part it is a
/// caller's call.
#[test]
fn a_nested_call_passes_all_parts() {
    let nested = route("totals", "/totals/", &[("books", 1)]);
    let callers = route("lookup", "/lookup/", &[("books", 1)]);
    let service = ServiceName::new("books");
    let off = OverloadParts::NONE.with(OverloadPart::NestedFirst);
    for (switched_off, expected) in [
        (OverloadParts::NONE, LoadClass::NESTED),
        (off, LoadClass::of_priority(1)),
    ] {
        let mut admission = EntryAdmission::new(switched_off);
        admission.adopt(&competing_routes());
        for number in 0..100 {
            let call = EnteringCall {
                target_is_idle: true,
                ..call_of(&service, &callers, number)
            };
            let _ = admission.enter(&call, Millis(number));
            let _ = admission.enter(&call_of(&service, &nested, number), Millis(number));
        }
        assert_eq!(admission.class_of(&nested), expected);
        assert_eq!(admission.class_of(&callers), LoadClass::of_priority(1));
        let call = call_of(&service, &nested, 1_000);
        let wish = RetryWish {
            key: call.key,
            service: &service,
            class: LoadClass::of_priority(1),
            work_ms: call.work_ms,
            rate_per_s: 20.0,
        };
        let _ = admission.schedule.reserve(&wish, Millis(200));
        let is_admitted = matches!(
            admission.enter(&call, Millis(201)),
            Entering::Admitted(Admitted { class, .. }) if class == expected
        );
        assert_eq!(is_admitted, expected == LoadClass::NESTED);
    }
}

/// Guards against callers that retry in lockstep, or later than they can wait, while
/// retries are not scheduled.
#[test]
fn unscheduled_waits_are_spread_and_honoured() {
    let mut waits = std::collections::BTreeSet::new();
    for fingerprint in 0..1_000 {
        let key = RequestKey {
            fingerprint,
            deadline_at: Millis(1_200),
        };
        let wait = unscheduled_wait(key, Millis(0));
        assert!(UNSCHEDULED_WAIT_MS.contains(&wait.0), "{wait}");
        assert!(unscheduled_wait(key, Millis(900)) <= Millis(100));
        waits.insert(wait);
    }
    assert!(waits.len() > 100, "{} different waits", waits.len());
}

fn call_of<'a>(service: &'a ServiceName, route: &'a Route, number: u64) -> EnteringCall<'a> {
    EnteringCall {
        service,
        route,
        key: RequestKey {
            fingerprint: number,
            deadline_at: Millis(2_000),
        },
        caller: CallerId(number),
        work_ms: Millis(100),
        targets: 20,
        target_is_idle: false,
        rejected_part: 0.0,
    }
}
