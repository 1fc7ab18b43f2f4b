//! Tests of the retry budget, summed over entries.

use proptest::prelude::*;

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
    ) {
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
                while budget.try_take(&LIMIT, entries, now) {
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
    ) {
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
                while outer[at].try_take(&LIMIT, entries, now) {
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
                while inner[at].try_take(&LIMIT, entries, now) {
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
    assert!(budget.try_take(&LIMIT, 19, Millis(0)));
    assert!(!budget.try_take(&LIMIT, 19, Millis(0)));
    budget.refund();
    assert!(budget.try_take(&LIMIT, 19, Millis(0)));
}
