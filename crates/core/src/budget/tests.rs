//! Tests that budgets are never exceeded and report when more tokens are
//! available.

use proptest::prelude::*;

use super::*;

#[test]
fn a_bucket_hands_out_its_burst_and_then_its_rate() {
    let mut bucket = TokenBucket::new(2.0, 3, Millis(0));
    let mut taken = Vec::new();
    for now in 0..2_001 {
        while bucket.try_take(Millis(now)) {
            taken.push(now);
        }
    }
    assert_eq!(taken, [0, 0, 0, 500, 1_000, 1_500, 2_000]);
}

/// A process that was suspended for an hour must not send an hour's worth of
/// probes when it resumes, and a clock that steps back must not add tokens.
#[test]
fn a_pause_adds_one_burst_and_a_clock_step_back_adds_nothing() {
    let mut bucket = TokenBucket::new(10.0, 3, Millis(5_000));
    while bucket.try_take(Millis(5_000)) {}
    assert!(!bucket.try_take(Millis(0)));
    assert!(!bucket.try_take(Millis(5_099)));
    let resumed_at = Millis::from_secs(3_600);
    let burst = (0..100).filter(|_| bucket.try_take(resumed_at)).count();
    assert_eq!(burst, 3);
}

#[test]
fn next_at_is_the_time_of_the_next_token() {
    let mut bucket = TokenBucket::new(4.0, 1, Millis(0));
    assert_eq!(bucket.next_at(Millis(7)), Some(Millis(7)));
    assert!(bucket.try_take(Millis(7)));
    assert_eq!(bucket.next_at(Millis(8)), Some(Millis(257)));
    assert!(!bucket.try_take(Millis(256)));
    assert!(bucket.try_take(Millis(257)));
    bucket.set_rate(0.0, 1, Millis(257));
    assert_eq!(bucket.next_at(Millis(300)), None);
}

#[test]
fn changing_the_rate_hands_out_nothing() {
    let mut bucket = TokenBucket::new(1.0, 5, Millis(0));
    while bucket.try_take(Millis(0)) {}
    bucket.set_rate(100.0, 100, Millis(0));
    assert!(!bucket.try_take(Millis(9)));
    assert!(bucket.try_take(Millis(10)));
}

#[test]
fn a_share_is_exact_over_many_attempts() {
    let mut budget = ShareBudget::new(0.1);
    let mut granted = 0;
    for _ in 0..10_000 {
        budget.count_first_attempt();
        granted += u32::from(budget.try_spend(1));
    }
    assert_eq!(granted, 1_000 + ShareBudget::INITIAL);
}

#[test]
fn a_quiet_time_saves_up_no_more_than_the_cap() {
    let mut budget = ShareBudget::new(0.5);
    for _ in 0..10_000 {
        budget.count_first_attempt();
    }
    assert_eq!(budget.left(), ShareBudget::CAP);
    assert!(!budget.try_spend(ShareBudget::CAP + 1));
    assert!(budget.try_spend(ShareBudget::CAP));
    assert!(!budget.try_spend(1));
}

#[test]
fn switching_a_share_off_and_on_hands_out_nothing() {
    let mut budget = ShareBudget::new(0.2);
    budget.set_share(0.0);
    assert!(!budget.try_spend(1));
    budget.set_share(0.2);
    assert!(!budget.try_spend(1));
}

proptest! {
    #[test]
    fn no_window_exceeds_burst_and_rate(
        rate_per_s in 0.0..100.0_f64,
        burst in 1..100_u32,
        gaps in proptest::collection::vec(0..200_u64, 1..200),
    ) {
        let mut bucket = TokenBucket::new(rate_per_s, burst, Millis(0));
        let mut now = 0;
        let mut taken: Vec<u64> = Vec::new();
        for gap in gaps {
            now += gap;
            if bucket.try_take(Millis(now)) {
                taken.push(now);
            }
        }
        for (from, first) in taken.iter().enumerate() {
            for (to, last) in taken.iter().enumerate().skip(from) {
                let span_s = (last - first) as f64 / 1_000.0;
                let allowed = f64::from(burst) + rate_per_s * span_s;
                prop_assert!((to - from + 1) as f64 <= allowed + 1e-6);
            }
        }
    }
}
