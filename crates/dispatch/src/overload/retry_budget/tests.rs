//! Tests of the retry budget, summed over entries.

use proptest::prelude::*;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use super::*;

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 64.0,
    window_ms: Millis(10_000),
};

proptest! {
    /// Every request fails at every entry, and each entry retries as much as it may. In
    /// any window the sum of all retries stays within the common limit, although no entry
    /// sees more than its own.
    #[test]
    fn all_entries_together_keep_the_shared_limit(
        entries in 1_usize..40,
        requests_per_window in 0_u64..4_000,
        seed in any::<u64>(),
    ) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut budgets = Vec::new();
        for _ in 0..entries {
            budgets.push(RetryBudget::new(&LIMIT, entries, Millis(0)));
        }
        let mut granted = Vec::new();
        let steps = 200_u64;
        let mut sent = 0;
        for step in 0..steps {
            // 20 windows of 10 s, in steps of one second.
            let now = Millis(step * 1_000);
            let due = requests_per_window * (step + 1) / 10;
            while sent < due {
                let budget = &mut budgets[sent as usize % entries];
                budget.count_first_attempt(&LIMIT, entries);
                sent += 1;
            }
            for budget in &mut budgets {
                while budget.try_take(&LIMIT, entries, now, rng.random()) {
                    granted.push(step);
                }
            }
        }
        let allowed = LIMIT.ratio * requests_per_window as f64 + LIMIT.slack;
        for from in 0..steps - 10 {
            let in_window = granted.iter().filter(|at| (from..from + 10).contains(*at)).count();
            prop_assert!(in_window as f64 <= allowed, "{in_window} of {allowed}");
        }
    }
}

proptest! {
    /// A caller's run makes up to two calls to another service. Everything fails at both
    /// services, so each entry retries as much as it may, and each repeated run makes its
    /// calls again. The extra arrivals at the called service are its own retries and all
    /// calls of repeated runs. No entry sees their sum, which must stay within the limit
    /// in every window.
    #[test]
    fn calls_of_repeated_runs_are_within_the_limit(
        entries in 1_usize..30,
        requests_per_window in 0_u64..3_000,
        calls_per_run in 0_u64..=2,
        seed in any::<u64>(),
    ) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut outer: Vec<RetryBudget> = Vec::new();
        let mut inner: Vec<RetryBudget> = Vec::new();
        for _ in 0..entries {
            outer.push(RetryBudget::new(&LIMIT, entries, Millis(0)));
            inner.push(RetryBudget::new(&LIMIT, entries, Millis(0)));
        }
        let steps = 60_usize;
        let mut extra = vec![0_u64; steps];
        let mut arrived = vec![0_u64; steps];
        let mut sent = 0;
        for step in 0..steps {
            let now = Millis(step as u64 * 1_000);
            let due = requests_per_window * (step as u64 + 1) / 10;
            let mut runs_at = vec![0_u64; entries];
            while sent < due {
                let at = sent as usize % entries;
                outer[at].count_first_attempt(&LIMIT, entries);
                runs_at[at] += 1;
                sent += 1;
            }
            for at in 0..entries {
                let mut repeats = 0;
                while outer[at].try_take(&LIMIT, entries, now, rng.random()) {
                    repeats += 1;
                }
                for run in 0..runs_at[at] + repeats {
                    let repeated_percent = if run < repeats { 100 } else { 0 };
                    for _ in 0..calls_per_run {
                        inner[at].count_first_attempt(&LIMIT, entries);
                        inner[at].count_repeated(&LIMIT, entries, repeated_percent);
                        arrived[step] += 1;
                        if repeated_percent > 0 {
                            extra[step] += 1;
                        }
                    }
                }
                while inner[at].try_take(&LIMIT, entries, now, rng.random()) {
                    extra[step] += 1;
                }
            }
        }
        for from in 0..steps - 10 {
            let in_window = |counts: &[u64]| counts[from..from + 10].iter().sum::<u64>() as f64;
            let allowed = LIMIT.ratio * in_window(&arrived) + LIMIT.slack;
            let found = in_window(&extra);
            prop_assert!(found <= allowed, "{found} of {allowed}");
        }
    }
}

#[test]
fn an_unused_token_is_refunded() {
    let mut budget = RetryBudget::new(&LIMIT, 19, Millis(0));
    assert!(budget.try_take(&LIMIT, 19, Millis(0), 0.5));
    assert!(!budget.try_take(&LIMIT, 19, Millis(0), 0.5));
    budget.refund();
    assert!(budget.try_take(&LIMIT, 19, Millis(0), 0.5));
}

/// Returns the limit of a large fleet, whose entries each have less than one token.
const fn fleet_limit(entries: usize) -> RetryLimit {
    RetryLimit {
        ratio: 0.2,
        slack: entries as f64,
        window_ms: Millis(10_000),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Each entry of a large fleet sends about a request a second, all of which fail. In
    /// any window the sum of all retries stays within the common limit, and the slack is
    /// used although no entry has a whole token of it.
    #[test]
    fn entries_with_less_than_one_token_use_the_slack_and_keep_the_limit(
        entries in 900_usize..2_100,
        requests_per_entry in 0_u64..12,
        seed in any::<u64>(),
    ) {
        const STEPS: u64 = 40;
        const STEPS_PER_WINDOW: u64 = 10;
        let limit = fleet_limit(entries);
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut granted = vec![0_u64; STEPS as usize];
        for _ in 0..entries {
            let mut budget = RetryBudget::new(&limit, entries, Millis(0));
            let mut sent = 0;
            for step in 0..STEPS {
                let now = Millis(step * 1_000);
                while sent < requests_per_entry * (step + 1) / STEPS_PER_WINDOW {
                    budget.count_first_attempt(&limit, entries);
                    sent += 1;
                }
                while budget.try_take(&limit, entries, now, rng.random()) {
                    granted[step as usize] += 1;
                }
            }
        }
        let requests = (requests_per_entry * entries as u64) as f64;
        let added = USED_SLACK_SHARE / 2.0 * limit.slack * draw_confidence(&limit);
        for window in granted.windows(STEPS_PER_WINDOW as usize) {
            let found = window.iter().sum::<u64>() as f64;
            prop_assert!(found <= limit.ratio * requests + limit.slack, "{found}");
            prop_assert!(found >= added / 2.0, "{found} of {added}");
        }
    }
}
