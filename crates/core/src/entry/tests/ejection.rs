//! Ejection of failing targets and their readmission.

use super::*;

/// A target that answers every call with an error in 0.1 ms looks like the best
/// one by latency and load, and most calls would fail. It must get almost no
/// calls after the first few, and its share again once it recovers.
#[test]
fn a_target_that_fails_fast_is_avoided_until_it_recovers() {
    let mut service = service(&view(3));
    run(&mut service, 0, 100, |_| SUCCESS);
    let failing = |number| if number == 0 { FAILURE } else { SUCCESS };
    let while_failing = run(&mut service, 100, 3_000, failing);
    assert!(
        while_failing[0] <= 12,
        "{} of 3000 calls failed",
        while_failing[0]
    );
    let after_recovery = run(&mut service, 30_000, 20_000, |_| SUCCESS);
    assert!(
        after_recovery[0] > 5_000,
        "{} of 20000 calls",
        after_recovery[0]
    );
}

fn fail_at(service: &mut EntryService, target: u32, times: u32, now: u64) {
    for _ in 0..times {
        end_at(service, target, FAILURE, now);
    }
}

fn with_max_ejected(targets: usize, share: f64) -> ServiceView {
    let mut changed = policy();
    changed.ejection.max_ejected_share = share;
    ServiceView {
        policy: Arc::new(changed),
        ..view(targets)
    }
}

/// If the ejected share is used up, the score alone must keep calls away from a
/// target that fails in 0.1 ms.
#[test]
fn a_failing_target_that_may_not_be_ejected_gets_little() {
    let mut service = service(&with_max_ejected(3, 0.0));
    run(&mut service, 0, 100, |_| SUCCESS);
    let failing = |number| if number == 0 { FAILURE } else { SUCCESS };
    let while_failing = run(&mut service, 100, 10_000, failing)[0];
    assert!(
        (1..=100).contains(&while_failing),
        "{while_failing} of 10000 calls failed"
    );
}

/// Returns the times of trials in a period in which every trial fails.
fn trial_times(service: &mut EntryService, from: u64, to: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for now in from..to {
        let pick = pick(service, now);
        let end = if pick.is_trial { FAILURE } else { SUCCESS };
        if pick.is_trial {
            times.push(now);
        }
        service.finish(&pick, &ended(end), Millis(now));
    }
    times
}

#[test]
fn trials_are_single_and_their_interval_doubles_up_to_the_longest() {
    let mut service = service(&view(3));
    fail_at(&mut service, 0, 4, 0);
    assert_eq!(service.ejected_targets(), 0);
    fail_at(&mut service, 0, 1, 0);
    assert_eq!(service.ejected_targets(), 1);
    assert_eq!(
        trial_times(&mut service, 1, 32_000),
        [1_000, 3_000, 7_000, 15_000, 23_000, 31_000]
    );
}

/// A target that passes a single trial but fails under load would otherwise
/// alternate between both states at the shortest interval.
#[test]
fn a_relapse_doubles_the_time_to_the_next_trial() {
    let mut service = service(&view(3));
    fail_at(&mut service, 0, 5, 0);
    let trial = pick(&mut service, 1_000);
    service.finish(&trial, &ended(SUCCESS), Millis(1_000));
    fail_at(&mut service, 0, 5, 1_500);
    assert_eq!(trial_times(&mut service, 1_501, 4_000), [3_500]);
}

/// A ticketed call goes to its gate even if the target is ejected. Its success
/// counts as a successful trial, unless it started before the ejection.
#[test]
fn a_ticketed_success_since_the_ejection_readmits() {
    let mut service = service(&view(3));
    let before = service.pick_fixed(TargetIndex(0), Millis(0));
    fail_at(&mut service, 0, 5, 5);
    service.finish(&before, &ended(SUCCESS), Millis(6));
    assert_eq!(service.ejected_targets(), 1);
    end_at(&mut service, 0, SUCCESS, 7);
    assert_eq!(service.ejected_targets(), 0);
}

/// A caller's request is used as a trial only if the target has made a
/// statement recently. A doubtful target may be gone.
#[test]
fn a_doubtful_target_gets_no_trial() {
    let mut snapshot = view(4);
    let mut service = service(&snapshot);
    fail_at(&mut service, 0, 5, 0);
    fail_at(&mut service, 1, 5, 0);
    snapshot.targets[0].doubtful = true;
    service.update(Arc::new(snapshot), Millis(1));
    let trial = pick(&mut service, 1_000);
    assert_eq!((trial.target, trial.is_trial), (TargetIndex(1), true));
    assert!(!pick(&mut service, 1_000).is_trial);
}

#[test]
fn no_second_trial_starts_while_one_is_open() {
    let mut service = service(&view(3));
    fail_at(&mut service, 0, 5, 0);
    let trial = pick(&mut service, 1_000);
    assert!(trial.is_trial);
    for now in 1_000..5_000 {
        assert_ne!(pick(&mut service, now).target, trial.target);
    }
    service.finish(&trial, &ended(SUCCESS), Millis(5_000));
    assert_eq!(service.ejected_targets(), 0);
}

#[test]
fn a_trial_that_is_cancelled_or_refused_as_full_is_repeated() {
    let mut service = service(&view(3));
    fail_at(&mut service, 0, 5, 0);
    let ends = [AttemptEnd::Cancelled, refused(ResultCode::Overloaded)];
    for (end, now) in ends.into_iter().zip([1_000, 2_000]) {
        let trial = pick(&mut service, now);
        assert!(trial.is_trial);
        service.finish(&trial, &ended(end), Millis(now));
        assert_eq!(service.ejected_targets(), 1);
        assert!(!pick(&mut service, now + 999).is_trial);
    }
    assert!(pick(&mut service, 3_000).is_trial);
}

#[test]
fn a_retry_is_never_made_a_trial() {
    let mut service = service(&view(3));
    fail_at(&mut service, 0, 5, 0);
    let retry = pick_excluding(&mut service, &[TargetIndex(1)], 5_000).expect("one target is left");
    assert_eq!((retry.target, retry.is_trial), (TargetIndex(2), false));
}

/// Nothing listens at the address, so one refused connection is enough.
#[test]
fn an_unreachable_target_is_ejected_at_once() {
    let mut service = service(&view(3));
    end_at(&mut service, 0, AttemptEnd::Unreachable, 1);
    assert_eq!(service.ejected_targets(), 1);
    assert_eq!(run(&mut service, 2, 500, |_| SUCCESS)[0], 0);
}

/// A fault in a dependency makes every target fail. Ejecting all of them would
/// make a degraded service unavailable.
#[test]
fn no_more_than_the_share_is_ejected() {
    for (targets, share, allowed) in [
        (1, 0.9, 0),
        (2, 0.5, 1),
        (3, 0.3, 0),
        (3, 0.33, 1),
        (3, 0.5, 1),
        (3, 0.9, 2),
        (4, 0.5, 2),
        (10, 0.9, 9),
        (5, 1.0, 4),
        (500, 0.5, 250),
    ] {
        let mut service = service(&with_max_ejected(targets, share));
        for target in 0..targets as u32 {
            fail_at(&mut service, target, 6, 1);
        }
        assert_eq!(service.ejected_targets(), allowed, "{share} of {targets}");
        assert!(pick_excluding(&mut service, &[], 2).is_ok());
    }
}

#[test]
fn the_least_bad_stay_in_when_more_deserve_ejection() {
    let mut service = service(&view(3));
    fail_at(&mut service, 0, 5, 1);
    fail_at(&mut service, 1, 10, 1);
    assert!(service.table.at(0).health.is_ejected());
    fail_at(&mut service, 1, 1, 1);
    assert!(service.table.at(1).health.is_ejected());
    assert!(!service.table.at(0).health.is_ejected());
}

/// One target is ejected, and then the two others leave. The ejected target is
/// the only one left, and trying it is better than refusing the call.
#[test]
fn an_ejected_target_is_readmitted_when_the_others_leave() {
    let mut service = service(&view(3));
    fail_at(&mut service, 0, 5, 1);
    let mut snapshot = view(3);
    snapshot.targets[1].leaving = true;
    snapshot.targets[2].leaving = true;
    service.update(Arc::new(snapshot), Millis(2));
    assert_eq!(pick(&mut service, 3).target, TargetIndex(0));
}

/// A caller with a deadline of 1 ms times out on every target. Its timeouts
/// must not eject the targets for all other callers.
#[test]
fn unmeetable_deadlines_do_not_eject_targets() {
    let mut service = service(&view(3));
    run(&mut service, 0, 100, |_| SUCCESS);
    for (latency_us, ejected) in [(1_000, 0), (2_000_000, 1)] {
        let mut outcome = ended(AttemptEnd::TimedOut);
        outcome.latency_us = latency_us;
        for _ in 0..5 {
            outcome_at(&mut service, 0, &outcome, 100);
        }
        assert_eq!(service.ejected_targets(), ejected, "after {latency_us} us");
    }
}

/// A gate refuses a service that it does not serve almost instantly. It must
/// not look like the fastest gate.
#[test]
fn a_gate_of_another_service_is_ejected() {
    let mut service = service(&view(3));
    let end_of_target = |number| {
        if number == 0 {
            refused(ResultCode::WrongGate)
        } else {
            SUCCESS
        }
    };
    let counts = run(&mut service, 0, 900, end_of_target);
    assert!(counts[0] <= 5, "{counts:?}");
}
