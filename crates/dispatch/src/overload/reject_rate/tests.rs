use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use super::*;
use crate::overload::retry_budget::{RetryBudget, RetryLimit};

const REJECTED: f64 = 0.55;
const OBJECTIVE_MS: u64 = 250;
const RUN_MS: u64 = 90;
const ROUND_TRIP_MS: u64 = 16;

fn service() -> ServiceName {
    ServiceName::new("portal")
}

/// Returns the part of the callers that is answered within the objective while all targets
/// of a service reject [`REJECTED`] of what arrives. A caller retries once, after the time
/// that `wait_ms` returns for its refusal.
fn served_in_time(
    mut wait_ms: impl FnMut(&RejectRates, &mut Xoshiro256PlusPlus, Millis) -> u64,
) -> f64 {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(7);
    let limit = RetryLimit {
        ratio: 0.2,
        slack: 170.0,
        window_ms: Millis(10_000),
    };
    let mut rates = RejectRates::default();
    let mut budget = RetryBudget::new(&limit, 65, Millis::ZERO);
    let (mut callers, mut in_time) = (0_u32, 0_u32);
    // One entry, to which callers come every 80 ms.
    for first in (0..60_000).step_by(80) {
        callers += 1;
        let mut at = first;
        for _ in 0..2 {
            let now = Millis(at);
            budget.count_first_attempt(&limit, 65);
            let mut accepted = false;
            for attempt in 0..2 {
                if attempt == 1 && !budget.try_take(&limit, 65, now, rng.random()) {
                    break;
                }
                accepted = rng.random::<f64>() >= REJECTED;
                match accepted {
                    true => rates.note_accepted(&service(), now),
                    false => rates.note_rejected(&service(), now),
                }
                if accepted {
                    break;
                }
            }
            if accepted {
                in_time += u32::from(at + RUN_MS + ROUND_TRIP_MS <= first + OBJECTIVE_MS);
                break;
            }
            at += ROUND_TRIP_MS + wait_ms(&rates, &mut rng, now);
        }
    }
    f64::from(in_time) / f64::from(callers)
}

/// Guards against callers that are sent away for longer than their objective lasts while
/// targets reject half of what arrives, although the next attempt would be accepted.
#[test]
fn prompt_retries_are_served_in_time_while_targets_reject_half() {
    let late = served_in_time(|_, rng, _| rng.random_range(60..260));
    let prompt = served_in_time(|rates, rng, now| {
        let wait_ms = rates.prompt_retry_ms(&service(), rng.random(), now);
        wait_ms.expect("a retry is likely to be accepted").0
    });
    // Entries use seven tenths of the budget's ratio of a fifth. An attempt of a caller ends
    // well in this part of the cases, and a second one in as many of the rest.
    let one = (1.0 - REJECTED) * (1.0 + 0.7 * 0.2);
    let bound = 0.95 * (1.0 - (1.0 - one).powi(2));
    assert!(prompt >= bound, "{prompt} served in time, {bound} possible");
    assert!(prompt > late + 0.1, "{prompt} and {late}");
}

/// Guards against callers that use up their retries at once on targets that reject nearly
/// everything.
#[test]
fn retries_are_not_prompt_while_nearly_everything_is_rejected() {
    let mut rates = RejectRates::default();
    for at in 0..20 {
        rates.note_rejected(&service(), Millis(at * 50));
    }
    let now = Millis(1_000);
    assert_eq!(rates.prompt_retry_ms(&service(), 0.5, now), None);
    // The fault is over a few half-lives later.
    let later = Millis(9_000);
    assert!(rates.prompt_retry_ms(&service(), 0.5, later).is_some());
    rates.forget_old(Millis(60_000));
    assert_eq!(rates.rate(&service(), Millis(60_000)), None);
}

/// Guards against a retry budget that is spent on calls which are late anyway while others
/// could still be in time.
#[test]
fn a_scarce_budget_goes_to_calls_that_can_be_in_time() {
    let mut rates = RejectRates::default();
    let now = Millis(500);
    assert!(rates.may_retry(&service(), false, now));
    for _ in 0..10 {
        rates.note_rejected(&service(), now);
        rates.note_accepted(&service(), now);
    }
    assert!(rates.may_retry(&service(), true, now));
    assert!(!rates.may_retry(&service(), false, now));
}

/// Guards against a rate that rests on one request: an entry that has just started.
#[test]
fn few_requests_tell_no_rate() {
    let mut rates = RejectRates::default();
    rates.note_accepted(&service(), Millis(1));
    rates.note_rejected(&service(), Millis(2));
    assert_eq!(rates.rate(&service(), Millis(3)), None);
    assert!(rates.may_retry(&service(), false, Millis(3)));
}
