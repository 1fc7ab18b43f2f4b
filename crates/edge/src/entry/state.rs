//! Statistics and budgets that all calls of an entry share.

use std::collections::HashMap;

use hornbeamhitch_dispatch::faults::failures::Failures;
use hornbeamhitch_dispatch::faults::reach::Reachability;
use hornbeamhitch_dispatch::overload::OverloadParts;
use hornbeamhitch_dispatch::overload::entry_admission::EntryAdmission;
use hornbeamhitch_dispatch::overload::reject_rate::RejectRates;
use hornbeamhitch_dispatch::overload::retry_budget::{RetryBudget, RetryLimit};
use hornbeamhitch_dispatch::overload::returning::ReturningCallers;
use hornbeamhitch_dispatch::overload::work::WorkEstimates;
use hornbeamhitch_dispatch::placement::notices::TargetNotices;
use hornbeamhitch_dispatch::placement::refusals::Refusals;
use hornbeamhitch_dispatch::routing::split::Splitter;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::directory::Directory;
use crate::prelude::*;

/// Shared state of one entry, behind one lock that is held for microseconds.
#[derive(Debug)]
pub(super) struct EntryState {
    pub(super) splitter: Splitter,
    pub(super) failures: Failures,
    pub(super) refusals: Refusals,
    pub(super) notices: TargetNotices,
    pub(super) returning_callers: ReturningCallers,
    pub(super) work_estimates: WorkEstimates,
    pub(super) admission: EntryAdmission,
    pub(super) reject_rates: RejectRates,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) reachability: Reachability,
    retry_limit: RetryLimit,
    budgets: HashMap<ServiceName, RetryBudget>,
}

impl EntryState {
    pub(super) fn new(seed: u64, retry_limit: RetryLimit, overload_off: OverloadParts) -> Self {
        Self {
            splitter: Splitter::new(seed),
            failures: Failures::default(),
            refusals: Refusals::default(),
            notices: TargetNotices::default(),
            returning_callers: ReturningCallers::default(),
            work_estimates: WorkEstimates::default(),
            admission: EntryAdmission::new(overload_off),
            reject_rates: RejectRates::default(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            reachability: Reachability::default(),
            retry_limit,
            budgets: HashMap::new(),
        }
    }

    pub(super) fn set_retry_limit(&mut self, limit: RetryLimit) {
        self.retry_limit = limit;
    }

    /// Counts a first attempt towards a service's retry budget, which `entries`
    /// entries share. If the request itself repeats an earlier run with a
    /// probability of `repeated_percent`, that share counts as a retry.
    pub(super) fn count_first_attempt(
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

    /// Takes one token for a retry or hedge from a service's budget; returns false
    /// if none is left.
    pub(super) fn try_retry(&mut self, service: &ServiceName, entries: usize, now: Millis) -> bool {
        let limit = self.retry_limit;
        let draw = self.rng.random();
        let budget = self.budget(service, entries, now);
        budget.try_take(&limit, entries, now, draw)
    }

    /// Returns the token of an attempt that reached no target.
    pub(super) fn refund_retry(&mut self, service: &ServiceName) {
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.refund();
        }
    }

    /// Drops the state of targets and routes that no longer exist.
    pub(super) fn retain(&mut self, directory: &Directory, now: Millis) {
        self.returning_callers.forget_expired(now);
        self.failures.retain(&directory.members);
        self.refusals.retain(&directory.members);
        self.notices.retain(&directory.members);
        self.admission.retain(&directory.members, now);
        self.reject_rates.forget_old(now);
        if let Some(routes) = &directory.routes {
            self.work_estimates.retain(routes);
            self.splitter.retain(routes);
        }
    }

    fn budget(&mut self, service: &ServiceName, entries: usize, now: Millis) -> &mut RetryBudget {
        let limit = self.retry_limit;
        let entry = self.budgets.entry(service.clone());
        entry.or_insert_with(|| RetryBudget::new(&limit, entries, now))
    }
}
