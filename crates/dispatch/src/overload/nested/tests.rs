//! Tests of recognising nested calls.

use super::*;
use crate::gate::admission::{Admission, GateCall, SpeedReading, Verdict};
use crate::routing::routes::tests::route;

const NESTED: &str = "totals";
const CALLERS: &str = "results";
const OTHER: &str = "search";

/// Arrivals of callers' calls, of which a stated part finds the target idle, each
/// followed by a nested call.
fn play(routes: &mut NestedRoutes, count: u32, idle_percent: u32) {
    for number in 0..count {
        let is_idle = number * idle_percent % 100 < idle_percent;
        routes.note_arrival(CALLERS, is_idle);
        routes.note_arrival(NESTED, false);
    }
}

fn set(names: &[&str]) -> RouteSet {
    let mut routes = RouteSet::new(2, CallerLimits::default());
    for name in names {
        let prefix = format!("/{name}/");
        routes.add("h", route(name, &prefix, &[("actas", 1)]));
    }
    routes
}

/// A deterministic random number below 1.
fn draw(state: &mut u64) -> f64 {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    (*state >> 11) as f64 / (1_u64 << 53) as f64
}

/// Guards against nested calls that are not recognised before an overload begins.
#[test]
fn a_nested_route_is_learnt_at_moderate_load() {
    for (idle_percent, count) in [(100, 35), (50, 40), (25, 90), (12, 200)] {
        let mut routes = NestedRoutes::default();
        play(&mut routes, 20, idle_percent);
        assert!(!routes.is_nested(NESTED), "before 30 calls");
        play(&mut routes, count, idle_percent);
        assert!(routes.is_nested(NESTED), "at {idle_percent}% idle");
        assert!(!routes.is_nested(CALLERS));
    }
}

/// Guards against forgetting nested routes in an overload, when the target is never idle.
#[test]
fn a_nested_route_is_kept_in_an_overload() {
    let mut routes = NestedRoutes::default();
    play(&mut routes, 100, 50);
    play(&mut routes, 100_000, 0);
    assert!(routes.is_nested(NESTED));
}

/// Guards against classifying callers' routes in an overload, when no route ever finds the
/// target idle.
#[test]
fn nothing_is_learnt_while_the_target_is_never_idle() {
    let mut routes = NestedRoutes::default();
    play(&mut routes, 100_000, 0);
    play(&mut routes, 100_000, 5);
    assert!(!routes.is_nested(NESTED));
    assert!(!routes.is_nested(CALLERS));
}

/// Guards against a callers' route that is classified by chance: its calls happen to find
/// the target busy several times in a row.
#[test]
fn a_callers_route_is_never_classified() {
    let mut state = 1;
    for run in 0..2_000 {
        let idle_share = 0.05 + 0.9 * draw(&mut state);
        let own_share = 0.1 + 0.8 * draw(&mut state);
        let mut routes = NestedRoutes::default();
        for _ in 0..400 {
            let is_idle = draw(&mut state) < idle_share;
            let name = match draw(&mut state) < own_share {
                true => CALLERS,
                false => OTHER,
            };
            routes.note_arrival(name, is_idle);
            routes.note_arrival(NESTED, false);
            assert!(!routes.is_nested(name), "run {run}, {idle_share}");
        }
    }
}

/// Guards against a callers' route that first appears with the surge that keeps the target
/// busy from then on.
#[test]
fn a_route_that_appears_with_a_surge_is_not_classified() {
    for own_percent in [10, 25, 50, 75] {
        let mut routes = NestedRoutes::default();
        for _ in 0..1_000 {
            routes.note_arrival(OTHER, true);
        }
        for number in 0..100_000_u32 {
            let name = match number % 100 < own_percent {
                true => CALLERS,
                false => OTHER,
            };
            routes.note_arrival(name, false);
        }
        assert!(!routes.is_nested(CALLERS), "{own_percent}% of the arrivals");
    }
}

/// Guards against a rare callers' route whose few calls at moderate load found the target
/// busy, and that comes often in the overload that follows.
#[test]
fn arrivals_in_an_overload_are_no_evidence() {
    let mut routes = NestedRoutes::default();
    for number in 0..5_000 {
        routes.note_arrival(OTHER, number % 2 == 0);
        if number % 500 == 0 {
            routes.note_arrival(CALLERS, false);
        }
    }
    for _ in 0..5_000 {
        routes.note_arrival(OTHER, false);
        routes.note_arrival(CALLERS, false);
    }
    assert!(!routes.is_nested(CALLERS));
}

/// Guards against a route that both runs and callers use: one call at an idle target ends
/// its classification until the next configuration.
#[test]
fn one_arrival_at_an_idle_target_ends_the_classification() {
    let mut routes = NestedRoutes::default();
    play(&mut routes, 100, 50);
    assert!(routes.is_nested(NESTED));
    routes.note_arrival(NESTED, true);
    assert!(!routes.is_nested(NESTED));
    play(&mut routes, 1_000, 50);
    assert!(!routes.is_nested(NESTED));
    routes.adopt(&set(&[NESTED, CALLERS]));
    play(&mut routes, 100, 50);
    assert!(routes.is_nested(NESTED));
}

/// Guards against a change of the configuration in an overload, in which nothing could be
/// learnt again.
#[test]
fn a_new_configuration_keeps_nested_routes_that_still_exist() {
    let mut routes = NestedRoutes::default();
    play(&mut routes, 100, 50);
    routes.adopt(&set(&[NESTED, CALLERS]));
    play(&mut routes, 1_000, 0);
    assert!(routes.is_nested(NESTED));
    assert!(!routes.is_nested(CALLERS));
    routes.adopt(&set(&[CALLERS]));
    assert!(!routes.is_nested(NESTED));
}

/// Guards against several nested routes that hide each other's evidence.
#[test]
fn several_nested_routes_are_learnt() {
    let mut routes = NestedRoutes::default();
    for number in 0..200 {
        routes.note_arrival(CALLERS, number % 2 == 0);
        for nested in ["stock", "price", "tax"] {
            routes.note_arrival(nested, false);
        }
    }
    for nested in ["stock", "price", "tax"] {
        assert!(routes.is_nested(nested), "{nested}");
    }
}

/// Guards against nested calls that find no slot: callers' reads of the highest priority
/// arrive as fast as slots come free, and a nested call has the same priority. The gate
/// keeps slots for it because its work is short.
#[test]
fn a_nested_call_finds_a_slot_beside_callers_of_the_highest_priority() {
    let now = Millis(1_000);
    let mut gate = Admission::new(Millis::ZERO);
    gate.set_slots(8);
    gate.note_speed(SpeedReading {
        slowness_percent: 100,
        read_at: now,
    });
    let read = gate_call(86, 1_200, now);
    let nested = gate_call(22, 250, now);
    for _ in 0..60 {
        let position = gate.enqueue(&nested, now);
        gate.start(position);
        gate.finish();
    }
    let mut started = 0;
    for _ in 0..20 {
        let position = gate.enqueue(&read, now);
        match gate.decide(position, &read, now) {
            Verdict::Start => {
                gate.start(position);
                started += 1;
            }
            _ => gate.dequeue(position),
        }
    }
    assert_eq!(started, 6, "of 8 slots, a quarter is kept");
    for _ in 0..2 {
        let position = gate.enqueue(&nested, now);
        assert_eq!(gate.decide(position, &nested, now), Verdict::Start);
        gate.start(position);
    }
}

fn gate_call(work_ms: u64, deadline_ms: u64, now: Millis) -> GateCall {
    GateCall {
        priority: 0,
        work_ms: Millis(work_ms),
        queue_until: now,
        objective_at: now + Millis(250),
        whole_objective_ms: Millis(250),
        slow_from: Millis::MAX,
        deadline_at: now + Millis(deadline_ms),
    }
}
