//! Retries, hedges, giving up, and `Retry-After`.

use super::*;

/// Every target fails every call, each failed call asks for a retry, and each
/// layer above does the same, which keeps an overload going. Exactly the share
/// plus the initial reserve may be added. The cost of a retry doubles per
/// level, and calls at great depth get none.
#[test]
fn retries_are_a_share_that_halves_with_each_level() {
    for (depth, expected) in [
        (0, 204),
        (1, 102),
        (2, 51),
        (3, 25),
        (4, 12),
        (5, 0),
        (99, 0),
    ] {
        let mut service = service(&view(3));
        let deep = CallProgress { depth, ..call() };
        let mut retries = 0;
        for now in 0..2_000 {
            let first = pick(&mut service, now);
            service.finish(&first, &ended(FAILURE), Millis(now));
            let next = service.after_failure(&deep, &FAILURE, Millis(now));
            retries += u32::from(next == Next::Retry);
        }
        assert_eq!(retries, expected, "at depth {depth}");
    }
}

/// A payment whose stream broke may have run; resending it could charge twice.
#[test]
fn a_non_idempotent_call_is_retried_only_when_it_did_not_run() {
    let payment = CallProgress {
        idempotent: false,
        ..call()
    };
    let not_run = [
        AttemptEnd::Unreachable,
        refused(ResultCode::Overloaded),
        refused(ResultCode::Leaving),
    ];
    for end in not_run {
        let next = service(&view(3)).after_failure(&payment, &end, Millis(1));
        assert_eq!(next, Next::Retry, "{end:?}");
    }
    for end in [AttemptEnd::Broken, AttemptEnd::TimedOut, FAILURE] {
        let next = service(&view(3)).after_failure(&payment, &end, Millis(1));
        assert_eq!(given_up(next).code, ResultCode::RunBroken, "{end:?}");
    }
    let lost = refused(ResultCode::GateLost);
    let next = service(&view(3)).after_failure(&payment, &lost, Millis(1));
    assert_eq!(given_up(next).code, ResultCode::GateLost);
}

/// A request that crashes each target that runs it would take down one target
/// per attempt if it were retried after each break.
#[test]
fn a_call_that_broke_twice_is_not_sent_a_third_time() {
    let mut service = service(&view(9));
    let first = service.after_failure(&call(), &AttemptEnd::Broken, Millis(1));
    assert_eq!(first, Next::Retry);
    let broke_before = CallProgress {
        attempts: 2,
        may_have_run: true,
        ..call()
    };
    let second = service.after_failure(&broke_before, &AttemptEnd::Broken, Millis(1));
    assert_eq!(given_up(second).code, ResultCode::AttemptsFailed);
    assert_eq!(
        service.after_failure(&broke_before, &FAILURE, Millis(1)),
        Next::Retry
    );
}

#[test]
fn refusals_about_the_call_itself_are_final() {
    for code in [
        ResultCode::CrashSuspect,
        ResultCode::UploadCut,
        ResultCode::TooLarge,
        ResultCode::BadRequest,
        ResultCode::KeyReused,
        ResultCode::RecordsFull,
    ] {
        let next = service(&view(3)).after_failure(&call(), &refused(code), Millis(1));
        assert_eq!(given_up(next).code, code);
    }
}

#[test]
fn the_final_code_states_what_is_known() {
    let last = CallProgress {
        attempts: 3,
        ..call()
    };
    let late = CallProgress {
        deadline_at: Millis(1),
        ..call()
    };
    let overloaded = refused(ResultCode::Overloaded);
    for (progress, end, code) in [
        (last, overloaded, ResultCode::Overloaded),
        (last, AttemptEnd::Unreachable, ResultCode::NoTarget),
        (last, refused(ResultCode::WrongGate), ResultCode::NoTarget),
        (last, AttemptEnd::Broken, ResultCode::AttemptsFailed),
        (late, overloaded, ResultCode::DeadlineTooShort),
        (late, AttemptEnd::TimedOut, ResultCode::DeadlinePassed),
    ] {
        let refusal = given_up(service(&view(9)).after_failure(&progress, &end, Millis(1)));
        assert_eq!(refusal.code, code, "{end:?}");
        assert!(refusal.retry_after_ms.is_some(), "{end:?}");
    }
}

/// The first attempt broke and may have run, and the retry was refused. The
/// caller must not be answered with "not run" because of the refusal alone.
#[test]
fn not_run_is_never_reported_after_an_attempt_that_may_have_run() {
    assert!(AttemptEnd::Broken.may_have_run());
    assert!(!refused(ResultCode::Overloaded).may_have_run());
    let broke_before = CallProgress {
        attempts: 3,
        may_have_run: true,
        ..call()
    };
    let late = CallProgress {
        deadline_at: Millis(1),
        ..broke_before
    };
    let ends = [
        refused(ResultCode::Overloaded),
        refused(ResultCode::CrashSuspect),
        AttemptEnd::Unreachable,
    ];
    for end in ends {
        for progress in [broke_before, late] {
            let refusal = given_up(service(&view(3)).after_failure(&progress, &end, Millis(1)));
            assert_eq!(refusal.code.certainty(), Certainty::Unknown, "{end:?}");
        }
    }
    let mut service = service(&view(1));
    let tried = [TargetIndex(0)];
    let refusal = pick_excluding(&mut service, &tried, 1).expect_err("every target was tried");
    assert_eq!(refusal.code.certainty(), Certainty::Unknown);
}

#[test]
fn a_call_has_no_more_attempts_than_targets() {
    let end = refused(ResultCode::Overloaded);
    for (targets, attempts, retried) in [(1, 1, false), (2, 1, true), (2, 2, false), (9, 3, false)]
    {
        let progress = CallProgress { attempts, ..call() };
        let next = service(&view(targets)).after_failure(&progress, &end, Millis(1));
        assert_eq!(
            next == Next::Retry,
            retried,
            "{attempts} attempts with {targets} targets"
        );
    }
}

#[test]
fn a_retry_that_would_miss_the_deadline_is_not_made() {
    let mut service = service(&view(3));
    run(&mut service, 0, 100, |_| SUCCESS);
    let end = refused(ResultCode::Overloaded);
    for (left_ms, retried) in [(10, false), (30, true)] {
        let progress = CallProgress {
            deadline_at: Millis(100 + left_ms),
            ..call()
        };
        let next = service.after_failure(&progress, &end, Millis(100));
        assert_eq!(next == Next::Retry, retried, "{left_ms} ms left");
    }
}

#[test]
fn a_hedge_starts_after_the_quantile() {
    let mut service = service(&view(3));
    assert_eq!(
        service.hedge_delay_ms(&call()),
        None,
        "no latency has been recorded yet"
    );
    for sample in 0..1_000 {
        let mut outcome = ended(SUCCESS);
        outcome.latency_us = if sample % 10 == 0 { 200_000 } else { 20_000 };
        outcome_at(&mut service, 0, &outcome, sample);
    }
    let delay = service
        .hedge_delay_ms(&call())
        .expect("enough latencies were recorded");
    assert!((200..=225).contains(&delay.0), "p95 is 200 ms, not {delay}");
    let payment = CallProgress {
        idempotent: false,
        ..call()
    };
    let second = CallProgress {
        attempts: 2,
        ..call()
    };
    for progress in [payment, second] {
        assert_eq!(service.hedge_delay_ms(&progress), None);
        assert!(!service.try_hedge(&progress, Millis(1_000)));
    }
}

/// Cancelled hedged attempts are the slow ones. If they were ignored, the
/// quantile would fall, more hedges would start, and more slow attempts would
/// be ignored.
#[test]
fn cancelled_attempts_keep_the_quantile_up() {
    let mut service = service(&view(3));
    run(&mut service, 0, 200, |_| SUCCESS);
    for now in 200..400 {
        let mut outcome = ended(AttemptEnd::Cancelled);
        outcome.latency_us = 300_000;
        outcome_at(&mut service, 0, &outcome, now);
    }
    let delay = service
        .hedge_delay_ms(&call())
        .expect("enough latencies were recorded");
    assert!(delay >= Millis(300), "{delay}");
}

#[test]
fn hedges_are_a_share_of_first_attempts() {
    let mut service = service(&view(3));
    let mut hedges = 0;
    for now in 0..2_000 {
        let first = pick(&mut service, now);
        if service.try_hedge(&call(), Millis(now)) {
            hedges += 1;
            let hedge =
                pick_excluding(&mut service, &[first.target], now).expect("two targets are left");
            assert_ne!(hedge.target, first.target);
            service.finish(&hedge, &ended(SUCCESS), Millis(now));
        }
        service.finish(&first, &ended(AttemptEnd::Cancelled), Millis(now));
    }
    assert_eq!(hedges, 4 + 100);
}

/// If all targets are busy, every call is slow and would be hedged.
#[test]
fn nothing_is_hedged_when_all_targets_are_busy() {
    let mut service = service(&view(3));
    for now in 0..100 {
        for number in 0..3 {
            answer_with_load(&mut service, &report(number, 11, now), now);
        }
    }
    assert!(!service.try_hedge(&call(), Millis(100)));
    answer_with_load(&mut service, &report(1, 2, 100), 100);
    assert!(service.try_hedge(&call(), Millis(100)));
}

#[test]
fn a_share_of_zero_turns_hedges_and_retries_off() {
    let mut snapshot = view(3);
    let mut changed = policy();
    changed.budgets.hedge_share = 0.0;
    changed.budgets.retry_share = 0.0;
    snapshot.policy = Arc::new(changed);
    let mut service = service(&snapshot);
    run(&mut service, 0, 100, |_| SUCCESS);
    assert_eq!(service.hedge_delay_ms(&call()), None);
    assert!(!service.try_hedge(&call(), Millis(100)));
    let next = service.after_failure(&call(), &AttemptEnd::Unreachable, Millis(100));
    assert_ne!(next, Next::Retry);
}

/// Refused callers that all return after the same time are refused together
/// again.
#[test]
fn retry_after_is_spread_and_grows_with_refusals() {
    let mut service = service(&view(3));
    run(&mut service, 0, 200, |_| SUCCESS);
    let unloaded: Vec<u64> = (0..100)
        .map(|_| service.retry_after_ms(Millis(200)).0)
        .collect();
    run(&mut service, 200, 1_000, |_| {
        refused(ResultCode::Overloaded)
    });
    let now = Millis(1_200);
    let loaded: Vec<u64> = (0..100).map(|_| service.retry_after_ms(now).0).collect();
    let mean = |times: &[u64]| times.iter().sum::<u64>() / times.len() as u64;
    assert!(
        mean(&loaded) > 5 * mean(&unloaded),
        "{unloaded:?} {loaded:?}"
    );
    for times in [&unloaded, &loaded] {
        let (least, most) = (times.iter().min(), times.iter().max());
        assert!(
            most.zip(least)
                .is_some_and(|(most, least)| *most > least * 3 / 2)
        );
        assert!(times.iter().all(|time| (50..=10_000).contains(time)));
    }
}

#[test]
fn the_gates_retry_after_is_respected_within_bounds() {
    for (gate_retry_ms, expected) in [(3_000, 3_000), (60_000, 10_000)] {
        let refusal = Refusal::retry_after(ResultCode::Overloaded, Millis(gate_retry_ms));
        let end = AttemptEnd::Refused(refusal);
        let last = CallProgress {
            attempts: 3,
            ..call()
        };
        let given = given_up(service(&view(3)).after_failure(&last, &end, Millis(1)));
        assert_eq!(given.retry_after_ms, Some(Millis(expected)));
    }
}

/// A convicted request is refused with a retry time of minutes. With the usual
/// maximum, its caller would retry dozens of times in vain.
#[test]
fn a_convicted_request_keeps_its_gates_retry_after() {
    let gate_refusal = Refusal::retry_after(ResultCode::CrashSuspect, Millis::from_secs(600));
    let end = AttemptEnd::Refused(gate_refusal);
    let refusal = given_up(service(&view(3)).after_failure(&call(), &end, Millis(1)));
    assert_eq!(refusal, gate_refusal);
    let long = Refusal::retry_after(ResultCode::Overloaded, Millis::from_secs(600));
    let end = AttemptEnd::Refused(long);
    let single = CallProgress {
        attempts: 3,
        ..call()
    };
    let refusal = given_up(service(&view(3)).after_failure(&single, &end, Millis(1)));
    assert_eq!(refusal.retry_after_ms, Some(MAX_RETRY_AFTER_MS));
}
