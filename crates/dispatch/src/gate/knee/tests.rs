//! Tests of learning a target's knee from the run times of its requests.

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use super::*;

/// A target that takes `slowdown` times as long beyond `knee` concurrent requests.
struct Target {
    slots: u32,
    knee: u32,
    slowdown: f64,
}

/// Returns the mean limit in the second half of `seconds` of load that uses all slots it
/// gets, with 40 runs per second and run times that vary by a third. It is the mean
/// because slots beyond a knee are tried again from time to time.
fn mean_learnt_limit(
    knee: &mut KneeEstimator,
    target: &Target,
    from_ms: u64,
    seconds: u64,
    seed: u64,
) -> u32 {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    knee.set_slots(target.slots);
    let steps = seconds * 40;
    let mut sum = 0;
    for step in 0..steps {
        if step >= steps / 2 {
            sum += u64::from(knee.limit());
        }
        let running = rng.random_range(1..=knee.limit());
        let usual = if running > target.knee {
            target.slowdown
        } else {
            1.0
        };
        let ratio = usual * rng.random_range(0.5..1.5);
        knee.learn(running, ratio, Millis(from_ms + step * 25));
    }
    let measured = steps - steps / 2;
    u32::try_from((sum + measured / 2) / measured).expect("a mean of limits")
}

/// Guards against a target that slows down by a factor of 1.7 when more than four fifths
/// of its slots are used. With all slots used, it completes fewer requests per second,
/// and each of them late.
#[test]
fn a_knee_is_found_within_seconds() {
    for (slots, knee_at) in [(12, 9), (9, 7), (6, 4), (64, 51)] {
        for seed in 0..20 {
            let target = Target {
                slots,
                knee: knee_at,
                slowdown: 1.7,
            };
            let limit = mean_learnt_limit(&mut KneeEstimator::default(), &target, 0, 10, seed);
            let low = knee_at * 3 / 4;
            let high = knee_at + knee_at.div_ceil(8);
            assert!(
                (low..=high).contains(&limit),
                "{limit} of {slots}, seed {seed}"
            );
        }
    }
}

/// Guards against refusals for nothing: a target without a knee runs as many requests as
/// it announces, and free slots would cause refusals in an overload.
#[test]
fn without_a_knee_all_slots_are_used() {
    for slots in [1, 4, 6, 9, 12, 64] {
        for seed in 0..20 {
            let target = Target {
                slots,
                knee: slots,
                slowdown: 1.0,
            };
            let limit = mean_learnt_limit(&mut KneeEstimator::default(), &target, 0, 10, seed);
            assert!(limit * 10 >= slots * 9, "{limit} of {slots}, seed {seed}");
        }
    }
}

/// Guards against a false knee. One route mixes runs of a millisecond with runs of four
/// times the usual time, and the long ones hold the slots, so that most other runs start
/// beside many. If the target were limited to half of its slots, callers would be
/// refused.
#[test]
fn a_mix_of_short_and_long_runs_leaves_most_slots_in_use() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(601);
    for slots in [4, 12] {
        let mut knee = KneeEstimator::default();
        knee.set_slots(slots);
        for step in 0..4_000_u64 {
            let running = rng.random_range(1..=knee.limit());
            let is_long = rng.random_range(0..slots) < running;
            let ratio = if is_long { 4.0 } else { 0.01 };
            knee.learn(running, ratio, Millis(step * 25));
            assert!(knee.limit() >= slots * 4 / 5, "{} of {slots}", knee.limit());
        }
    }
}

/// The other VM that slowed the target down is gone. The slots beyond the knee are tried
/// again and stay in use.
#[test]
fn a_knee_that_disappears_is_forgotten() {
    let mut knee = KneeEstimator::default();
    let mut target = Target {
        slots: 12,
        knee: 9,
        slowdown: 1.7,
    };
    assert!(mean_learnt_limit(&mut knee, &target, 0, 20, 1) <= 10);
    target.knee = 12;
    assert!(mean_learnt_limit(&mut knee, &target, 20_000, 60, 2) >= 11);
}

/// Guards against a false knee: the usual time of a route is learnt elsewhere and may be
/// wrong by a large factor, which is the same for all requests.
#[test]
fn a_wrong_usual_time_is_not_taken_for_a_knee() {
    for off in [0.3, 3.0] {
        let mut knee = KneeEstimator::default();
        knee.set_slots(12);
        for step in 0..400 {
            knee.learn(step % 12 + 1, off, Millis(u64::from(step) * 25));
        }
        assert_eq!(knee.limit(), 12, "off by {off}");
    }
}
