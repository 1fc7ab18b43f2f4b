//! Tests of the times up to which a call waits.

use super::*;
use crate::routing::routes::tests::route;

fn plan(request_bytes: usize, deadline_ms: u64) -> WaitPlan {
    let route = route("r", "/", &[("s", 1)]);
    let work = WorkEstimate {
        run_ms: 90.0,
        answer_bytes: 1_500.0,
        samples: 20,
    };
    let arrived = Millis(1_000);
    WaitPlan::plan(
        &route,
        &work,
        request_bytes,
        arrived,
        arrived + Millis(deadline_ms),
    )
}

#[test]
fn a_fast_target_is_waited_for_while_the_objective_can_be_met() {
    let plan = plan(0, 800);
    // 300 ms of objective, less 16 ms of the caller's round trip and 130 ms of run time
    // with its margin.
    assert_eq!(plan.fast_until, Millis(1_154));
    assert_eq!(plan.last_start, Millis(1_710));
    assert_eq!(plan.slow_from, Millis(1_350));
}

#[test]
fn light_requests_go_to_a_far_target_at_once_and_heavy_ones_wait() {
    assert_eq!(plan(0, 800).near_until, Millis(1_000));
    assert_eq!(plan(60_000, 800).near_until, Millis(1_154));
}

#[test]
fn a_slow_run_that_cannot_end_in_time_is_never_started() {
    assert_eq!(plan(0, 400).slow_from, Millis::MAX);
}

/// All targets are busy. A lookup is refused while its caller can still retry in time. A
/// short call of one target to another stays queued, since the work that waits for it
/// would be lost.
#[test]
fn short_work_stays_queued_and_long_work_is_refused_early() {
    assert_eq!(plan(0, 800).busy_until, Millis(1_154));
    let mut route = route("r", "/", &[("s", 1)]);
    route.objective_ms = Millis(100);
    let work = WorkEstimate {
        run_ms: 20.0,
        answer_bytes: 500.0,
        samples: 20,
    };
    let plan = WaitPlan::plan(&route, &work, 0, Millis(1_000), Millis(1_250));
    assert_eq!(plan.busy_until, Millis(1_175));
}

/// Guards against late refusals on a node that has just started and knows nothing of a
/// route's work. If the work were treated as short, a lookup would stay queued for most
/// of its deadline and be refused when a retry is useless.
#[test]
fn unknown_work_is_not_treated_as_short() {
    let route = route("r", "/", &[("s", 1)]);
    let work = WorkEstimate {
        run_ms: 90.0,
        answer_bytes: 2_000.0,
        samples: 0,
    };
    let plan = WaitPlan::plan(&route, &work, 0, Millis(1_000), Millis(2_200));
    assert_eq!(plan.busy_until, Millis(1_154));
}

fn work() -> WorkEstimate {
    WorkEstimate {
        run_ms: 90.0,
        answer_bytes: 1_500.0,
        samples: 20,
    }
}

/// Guards against an urgent answer that is held while the call before it waits for a better
/// target.
#[test]
fn an_earlier_objective_of_a_waiting_call_shortens_the_wait_for_better_targets() {
    let own = plan(60_000, 2_000);
    let raised = own.with_objective(Millis(1_250), &work(), Millis(1_020));
    assert_eq!(
        raised,
        WaitPlan {
            near_until: Millis(1_120),
            fast_until: Millis(1_120),
            objective_at: Millis(1_250),
            ..own
        }
    );
}

/// Guards against harm to a call by those behind it: it is refused no sooner, and an
/// objective that it cannot meet does not move it back at gates.
#[test]
fn an_objective_that_is_later_or_cannot_be_met_changes_nothing() {
    let own = plan(60_000, 2_000);
    for (objective_at, now) in [(1_284, 1_000), (9_000, 1_000), (1_250, 1_120), (900, 1_000)] {
        let raised = own.with_objective(Millis(objective_at), &work(), Millis(now));
        assert_eq!(raised, own, "objective {objective_at} at {now}");
    }
}
