//! Tests of what calls inherit from those behind them.

use proptest::prelude::*;

use super::*;

fn urgency(priority: u8, objective_at: u64) -> Urgency {
    Urgency {
        priority,
        objective_at: Millis(objective_at),
    }
}

/// Guards against an urgent answer that is held behind a call of low urgency. The priority
/// and the objective may come from different calls.
#[test]
fn a_call_inherits_the_best_of_all_that_wait_behind_it() {
    let mut calls = OpenCalls::default();
    let first = calls.open();
    let second = calls.open();
    let third = calls.open();
    assert!(calls.raise_before(second, urgency(2, 300)));
    assert!(calls.raise_before(third, urgency(0, 900)));
    assert_eq!(calls.inherited(first), Some(urgency(0, 300)));
    assert_eq!(calls.inherited(second), Some(urgency(0, 900)));
    assert_eq!(calls.inherited(third), None);
}

/// Guards against wake-ups of all calls of a connection for each request on it.
#[test]
fn a_less_urgent_call_raises_nothing() {
    let mut calls = OpenCalls::default();
    let first = calls.open();
    let second = calls.open();
    let third = calls.open();
    assert!(!calls.raise_before(first, urgency(0, 1)));
    assert!(calls.raise_before(second, urgency(0, 300)));
    calls.close(second);
    assert!(!calls.raise_before(third, urgency(1, 400)));
    assert_eq!(calls.inherited(first), Some(urgency(0, 300)));
}

#[test]
fn a_call_alone_on_its_connection_inherits_nothing() {
    let mut calls = OpenCalls::default();
    for _ in 0..3 {
        let number = calls.open();
        assert!(!calls.waits(number));
        assert!(!calls.raise_before(number, urgency(0, 1)));
        assert_eq!(calls.inherited(number), None);
        calls.close(number);
    }
}

/// A call behind which another one is withdrawn or refused keeps what it inherited, and
/// calls that have ended take no part any more.
#[test]
fn what_was_inherited_remains_after_the_urgent_call_has_left() {
    let mut calls = OpenCalls::default();
    let first = calls.open();
    let second = calls.open();
    calls.raise_before(second, urgency(0, 300));
    calls.close(second);
    assert_eq!(calls.inherited(first), Some(urgency(0, 300)));
    calls.close(first);
    calls.close(first);
    assert_eq!(calls.inherited(first), None);
    let third = calls.open();
    assert!(!calls.waits(third));
}

#[test]
fn a_hedge_is_sent_in_time_for_the_objective_of_those_that_wait() {
    let times = HedgeTimes {
        earliest: Millis(100),
        usual: Millis(200),
    };
    assert_eq!(times.with_objective(Millis(230), Millis(80)), Millis(150));
    assert_eq!(times.with_objective(Millis(180), Millis(80)), Millis(100));
    // A hedge cannot meet the objective any longer.
    assert_eq!(times.with_objective(Millis(179), Millis(80)), Millis(200));
    assert_eq!(times.with_objective(Millis(40), Millis(80)), Millis(200));
    // The objective leaves more time than the usual hedge needs.
    assert_eq!(times.with_objective(Millis(900), Millis(80)), Millis(200));
}

proptest! {
    /// Each open call has inherited the best of what was raised behind it, whatever the
    /// order in which calls are opened, raised and closed.
    #[test]
    fn inheritance_follows_the_order_of_requests(
        steps in prop::collection::vec((0_u8..3, 0_usize..12, 0_u8..4, 1_u64..500), 1..80),
    ) {
        let mut calls = OpenCalls::default();
        let mut open: Vec<(CallNumber, Option<Urgency>)> = Vec::new();
        for (step, index, priority, objective_at) in steps {
            let known = (!open.is_empty()).then(|| index % open.len().max(1));
            match (step, known) {
                (0, _) | (_, None) => open.push((calls.open(), None)),
                (1, Some(index)) => calls.close(open.remove(index).0),
                (_, Some(index)) => {
                    let raised = urgency(priority, objective_at);
                    calls.raise_before(open[index].0, raised);
                    for (_, inherited) in &mut open[..index] {
                        let known = *inherited;
                        *inherited = Some(known.map_or(raised, |known| known.best_of(raised)));
                    }
                }
            }
            for (number, inherited) in &open {
                prop_assert_eq!(calls.inherited(*number), *inherited);
            }
        }
    }
}
