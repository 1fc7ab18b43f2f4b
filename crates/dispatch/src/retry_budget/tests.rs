//! The shared retry budget, summed over entries.

use proptest::prelude::*;

use super::*;

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 64.0,
    window_ms: Millis(10_000),
};

proptest! {
    /// Every request fails at every entry, and each retries all it may. Over
    /// any window the sum of retries stays within the shared limit, although
    /// no entry sees more than its own.
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
            // 20 windows of 10 s, in steps of a second.
            let now = Millis(step * 1_000);
            let due = requests_per_window * (step + 1) / 10;
            while sent < due {
                let budget = &mut budgets[sent as usize % entries];
                budget.count_first(&LIMIT, entries);
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

#[test]
fn a_token_that_led_nowhere_is_given_back() {
    let mut budget = RetryBudget::new(&LIMIT, 22, Millis(0));
    assert!(budget.try_take(&LIMIT, 22, Millis(0)));
    assert!(!budget.try_take(&LIMIT, 22, Millis(0)));
    budget.give_back();
    assert!(budget.try_take(&LIMIT, 22, Millis(0)));
}
