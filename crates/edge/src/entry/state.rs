//! What an entry learns and shares among its calls.

use std::collections::HashMap;

use hornbeamhitch_dispatch::failures::Failures;
use hornbeamhitch_dispatch::reach::Reachability;
use hornbeamhitch_dispatch::refusals::Refusals;
use hornbeamhitch_dispatch::retry_budget::{RetryBudget, RetryLimit};
use hornbeamhitch_dispatch::returning::ReturningCallers;
use hornbeamhitch_dispatch::split::Splitter;
use hornbeamhitch_dispatch::work::WorkEstimates;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

use crate::directory::Directory;
use crate::prelude::*;

/// State of one entry, behind one lock that is held for microseconds.
#[derive(Debug)]
pub(super) struct EntryState {
    pub(super) splitter: Splitter,
    pub(super) failures: Failures,
    pub(super) refusals: Refusals,
    pub(super) returning: ReturningCallers,
    pub(super) work: WorkEstimates,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) reach: Reachability,
    retry_limit: RetryLimit,
    budgets: HashMap<ServiceName, RetryBudget>,
}

impl EntryState {
    pub(super) fn new(seed: u64, retry_limit: RetryLimit) -> Self {
        Self {
            splitter: Splitter::new(seed),
            failures: Failures::default(),
            refusals: Refusals::default(),
            returning: ReturningCallers::default(),
            work: WorkEstimates::default(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            reach: Reachability::default(),
            retry_limit,
            budgets: HashMap::new(),
        }
    }

    pub(super) fn set_retry_limit(&mut self, limit: RetryLimit) {
        self.retry_limit = limit;
    }

    /// Counts a first attempt for a service; `entries` share its budget. The part
    /// of it that repeats an earlier run is an extra arrival.
    pub(super) fn count_first(
        &mut self,
        service: &ServiceName,
        entries: usize,
        repeated_percent: u8,
        now: Millis,
    ) {
        let limit = self.retry_limit;
        let budget = self.budget(service, entries, now);
        budget.count_first_attempt(&limit, entries);
        budget.count_repeated(&limit, entries, repeated_percent);
    }

    /// Takes one extra arrival at a service.
    pub(super) fn try_retry(&mut self, service: &ServiceName, entries: usize, now: Millis) -> bool {
        let limit = self.retry_limit;
        let budget = self.budget(service, entries, now);
        budget.try_take(&limit, entries, now)
    }

    /// Gives back what was taken for an attempt that reached no target.
    pub(super) fn return_retry(&mut self, service: &ServiceName) {
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.refund();
        }
    }

    /// Forgets what belongs to targets and routes that are gone.
    pub(super) fn retain(&mut self, directory: &Directory, now: Millis) {
        self.returning.forget_expired(now);
        self.failures.retain(&directory.members);
        self.refusals.retain(&directory.members);
        if let Some(routes) = &directory.routes {
            self.work.retain(routes);
            self.splitter.retain(routes);
        }
    }

    fn budget(&mut self, service: &ServiceName, entries: usize, now: Millis) -> &mut RetryBudget {
        let limit = self.retry_limit;
        let entry = self.budgets.entry(service.clone());
        entry.or_insert_with(|| RetryBudget::new(&limit, entries, now))
    }
}
