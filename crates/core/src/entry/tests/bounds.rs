//! Invariants that hold under any order of events.

use proptest::prelude::*;

use super::*;

#[derive(Clone, Copy, Debug)]
enum Step {
    Pick {
        exclude: u32,
    },
    Fixed {
        target: u32,
    },
    Finish {
        open: usize,
        end: usize,
    },
    Retry {
        depth: u32,
    },
    Hedge,
    View {
        targets: usize,
        leaving: usize,
        restarted: usize,
    },
    Wait {
        ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..8_u32).prop_map(|exclude| Step::Pick { exclude }),
        1 => (0..6_u32).prop_map(|target| Step::Fixed { target }),
        4 => (0..64_usize, 0..9_usize).prop_map(|(open, end)| Step::Finish { open, end }),
        2 => (0..3_u32).prop_map(|depth| Step::Retry { depth }),
        1 => Just(Step::Hedge),
        1 => (0..7_usize, 0..7_usize, 0..7_usize).prop_map(|(targets, leaving, restarted)| {
            Step::View { targets, leaving, restarted }
        }),
        1 => (0..3_000_u64).prop_map(|ms| Step::Wait { ms }),
    ];
    proptest::collection::vec(step, 1..300)
}

fn end_of(number: usize) -> AttemptEnd {
    [
        SUCCESS,
        FAILURE,
        AttemptEnd::Unreachable,
        AttemptEnd::Broken,
        AttemptEnd::TimedOut,
        AttemptEnd::Cancelled,
        refused(ResultCode::Overloaded),
        refused(ResultCode::Leaving),
        refused(ResultCode::WrongGate),
    ][number]
}

proptest! {
    /// In any order of events: in-flight counts are exact, budgets are not
    /// exceeded, only usable targets get work, and the maximum ejected share is
    /// respected.
    #[test]
    fn counts_budgets_and_shares_hold(steps in steps()) {
        let mut snapshot = view(4);
        let mut service = service(&snapshot);
        let mut now = 0;
        let mut open: Vec<Pick> = Vec::new();
        let (mut firsts, mut retry_cost, mut hedges) = (0_u32, 0_u32, 0_u32);
        for step in steps {
            match step {
                Step::Pick { exclude } => {
                    let tried: Vec<TargetIndex> = (0..exclude).map(TargetIndex).collect();
                    let Ok(pick) = pick_excluding(&mut service, &tried[..tried.len() / 2], now) else {
                        continue;
                    };
                    let target = service.target(pick.target).expect("picked from the view");
                    prop_assert!(!target.leaving);
                    prop_assert!(!tried[..tried.len() / 2].contains(&pick.target));
                    firsts += u32::from(tried.len() < 2);
                    open.push(pick);
                }
                Step::Fixed { target } => {
                    if service.target(TargetIndex(target)).is_some() {
                        open.push(service.pick_fixed(TargetIndex(target), Millis(now)));
                    }
                }
                Step::Finish { open: position, end } => {
                    if open.is_empty() {
                        continue;
                    }
                    let pick = open.swap_remove(position % open.len());
                    service.finish(&pick, &ended(end_of(end)), Millis(now));
                }
                Step::Retry { depth } => {
                    let deep = CallProgress { depth, ..call() };
                    if service.after_failure(&deep, &FAILURE, Millis(now)) == Next::Retry {
                        retry_cost += 1 << depth;
                    }
                }
                Step::Hedge => hedges += u32::from(service.try_hedge(&call(), Millis(now))),
                Step::View { targets, leaving, restarted } => {
                    snapshot = view(targets);
                    if let Some(target) = snapshot.targets.get_mut(leaving) {
                        target.leaving = true;
                    }
                    if let Some(target) = snapshot.targets.get_mut(restarted) {
                        target.incarnation = Some(Incarnation(5_000 + now));
                    }
                    service.update(Arc::new(snapshot.clone()), Millis(now));
                }
                Step::Wait { ms } => now += ms,
            }
            for target in 0..8 {
                let index = TargetIndex(target);
                let expected = open.iter().filter(|pick| pick.target == index).count();
                prop_assert_eq!(service.in_flight(index) as usize, expected);
            }
            prop_assert!(retry_cost * 10 <= 40 + firsts);
            prop_assert!(hedges * 20 <= 80 + firsts);
            let table = &service.table;
            let taking_work = table.ready.len() + table.doubtful.len() + table.ejected.len();
            prop_assert!(table.ejected.len() * 2 <= taking_work);
        }
    }
}
