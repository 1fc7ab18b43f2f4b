//! The entry's side of a call: picking a target, retrying, hedging and giving
//! up.

use std::sync::Arc;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::budget::ShareBudget;
use crate::prelude::*;

mod ejection;
mod gate_clock;
mod latency;
mod observe;
mod outcome;
mod picker;
mod retry;
mod retry_after;
mod score;
mod steps;
mod table;
mod target;
mod target_stats;
mod ticket_choice;

#[cfg(test)]
mod tests;

use latency::LatencyHistogram;
use outcome::Observation;
use picker::Picker;
use retry_after::RetryAfter;
use score::ServiceAverages;
use table::TargetTable;
use target::Target;

pub use retry_after::{MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS};
pub use steps::{
    AttemptEnd, AttemptOutcome, CallProgress, Next, Pick, PickRequest, TargetIndex, TicketGate,
};

/// Number of targets checked for free capacity before a hedge is sent.
const HEDGE_TARGETS_CHECKED: usize = 8;
/// Share of its limit above which a target counts as busy.
const BUSY_RATIO: f32 = 0.8;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Seed of the generator that breaks ties and applies jitter to
    /// `Retry-After`.
    pub seed: u64,
}

/// The state that one entry keeps about one service.
///
/// Traffic threads share it behind a mutex. No method blocks, and only
/// [`Self::update`] does work proportional to the number of targets on every
/// call.
#[derive(Debug)]
pub struct EntryService {
    view: Arc<ServiceView>,
    table: TargetTable,
    averages: ServiceAverages,
    latency: LatencyHistogram,
    retry_budget: ShareBudget,
    hedge_budget: ShareBudget,
    retry_after: RetryAfter,
    rng: Xoshiro256PlusPlus,
}

impl EntryService {
    /// Creates the state from an initial view.
    #[must_use]
    pub fn new(settings: &EntrySettings, view: Arc<ServiceView>, now: Millis) -> Self {
        let budgets = view.policy.budgets;
        let mut service = Self {
            table: TargetTable::new(),
            averages: ServiceAverages::new(),
            latency: LatencyHistogram::new(budgets.hedge_quantile, now),
            retry_budget: ShareBudget::new(budgets.retry_share),
            hedge_budget: ShareBudget::new(budgets.hedge_share),
            retry_after: RetryAfter::new(now),
            rng: Xoshiro256PlusPlus::seed_from_u64(settings.seed),
            view,
        };
        service.table.update(&service.view, now);
        service
    }

    /// Applies a newer view. Statistics about targets that remain in the view
    /// are kept.
    pub fn update(&mut self, view: Arc<ServiceView>, now: Millis) {
        if Arc::ptr_eq(&self.view, &view) {
            return;
        }
        if self.view.policy.budgets != view.policy.budgets {
            let budgets = &view.policy.budgets;
            self.retry_budget.set_share(budgets.retry_share);
            self.hedge_budget.set_share(budgets.hedge_share);
            self.latency.set_quantile(budgets.hedge_quantile);
        }
        self.view = view;
        self.table.update(&self.view, now);
    }

    /// Picks a target for one attempt and counts the attempt as in flight.
    ///
    /// An empty `exclude` marks a first attempt. Only first attempts add to the
    /// budgets, and only a first attempt may become the trial of an ejected
    /// target (its half-open probe).
    ///
    /// # Errors
    ///
    /// Returns a final refusal if no usable target is left or the deadline has
    /// passed.
    pub fn pick(&mut self, request: &PickRequest<'_>, now: Millis) -> Result<Pick, Refusal> {
        let is_first = request.exclude.is_empty();
        if now >= request.deadline_at {
            return Err(Refusal::fixed(passed_deadline_code(is_first)));
        }
        let trial = if is_first {
            self.table.start_due_trial(now)
        } else {
            None
        };
        let Some(target) = trial.or_else(|| self.choose(request.exclude, now)) else {
            return Err(self.refuse_pick(is_first, now));
        };
        if is_first {
            self.count_first_attempt();
        }
        Ok(self.start(target, trial.is_some(), now))
    }

    /// Returns the target at an index if it is in the view.
    #[must_use]
    pub fn target(&self, index: TargetIndex) -> Option<&TargetView> {
        let position = self.table.get(index)?.view_position?;
        self.view.targets.get(position as usize)
    }

    /// Returns the target on a VM, to which a ticketed call must go.
    #[must_use]
    pub fn target_on(&self, vm: &VmId) -> Option<(TargetIndex, &TargetView)> {
        let index = self.table.find(vm)?;
        let target = self.target(index)?;
        Some((index, target))
    }

    /// Counts an attempt that must go to a fixed target because of its ticket.
    ///
    /// `target` must come from [`Self::target_on`] under the same lock, because
    /// the index of a VM that has been removed may be reused.
    pub fn pick_fixed(&mut self, target: TargetIndex, now: Millis) -> Pick {
        self.start(target, false, now)
    }

    /// Adds the share of one first attempt to the retry and hedge budgets.
    ///
    /// [`Self::pick`] calls this. [`Self::pick_fixed`] does not, because a
    /// ticketed call is neither retried nor hedged. A driver that selects the
    /// targets of idempotent calls itself calls this for each first attempt.
    pub fn count_first_attempt(&mut self) {
        self.retry_budget.count_first_attempt();
        self.hedge_budget.count_first_attempt();
    }

    /// Ends an attempt: it is no longer in flight, and its outcome updates the
    /// statistics.
    pub fn finish(&mut self, pick: &Pick, outcome: &AttemptOutcome, now: Millis) {
        let Some(target) = self.table.get_mut(pick.target) else {
            return;
        };
        let before = target.tier_key();
        target.stats.end_attempt();
        if let Some(report) = &outcome.load {
            self.record_report(pick.target, report, now);
        }
        self.count_for_retry_after(outcome, now);
        self.record_outcome(pick, outcome, now);
        let policy = &self.view.policy;
        if self.table.get(pick.target).map(Target::tier_key) != Some(before) {
            self.table.rebuild(policy, now);
        }
        self.table.eject_if_failing(pick.target, policy, now);
        self.table.release_if_gone(pick.target.0);
    }

    /// Decides between a retry and a final answer. A retry is charged to the
    /// retry budget. Call this after [`Self::finish`].
    ///
    /// If the target itself answered with a failure, the driver may forward
    /// that answer in place of the refusal.
    pub fn after_failure(&mut self, call: &CallProgress, end: &AttemptEnd, now: Millis) -> Next {
        if !retry::may_retry(call, end) || now >= call.deadline_at {
            let code = retry::final_code(call, end, now);
            return Next::GiveUp(self.refusal(code, end, now));
        }
        if !self.has_time_for_another(call, now) {
            let code = retry::deadline_code(call, end);
            return Next::GiveUp(self.refusal(code, end, now));
        }
        if self.has_target_for_another(call) && self.spend_retry(call) {
            return Next::Retry;
        }
        let code = retry::final_code(call, end, now);
        Next::GiveUp(self.refusal(code, end, now))
    }

    /// Returns how long to wait before a first attempt is hedged; `None` if it
    /// must not be hedged.
    #[must_use]
    pub fn hedge_delay_ms(&self, call: &CallProgress) -> Option<Millis> {
        if !self.may_hedge(call) {
            return None;
        }
        let delay_us = self.latency.quantile_us()?;
        Some(Millis(u64::from(delay_us).div_ceil(1_000).max(1)))
    }

    /// Charges one hedge to the hedge budget. Returns false if the budget is
    /// empty or a hedge would not help, for example because all targets are
    /// busy.
    ///
    /// The hedge itself is a [`Self::pick`] that excludes the target of the
    /// first attempt.
    pub fn try_hedge(&mut self, call: &CallProgress, now: Millis) -> bool {
        if !self.may_hedge(call) || !self.has_time_for_another(call, now) {
            return false;
        }
        if !self.has_room(now) {
            return false;
        }
        retry::cost_at_depth(call.depth).is_some_and(|cost| self.hedge_budget.try_spend(cost))
    }

    /// Chooses the gate for a new ticket. Entries whose views agree choose the
    /// same gate for a key as long as that gate is usable.
    ///
    /// The expiry is computed from the gate's clock as last reported, without
    /// adding the time since then. A ticket may therefore expire early, in
    /// which case the gate answers that it has expired, but this node's clock
    /// error never lets it outlive the gate's record.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no gate with a known incarnation accepts new work.
    pub fn ticket_gate(&mut self, key: CallKey, now: Millis) -> Result<TicketGate, Refusal> {
        let chosen = ticket_choice::choose_for_key(&self.table, key, now);
        self.ticket_gate_at(chosen, now)
    }

    /// Chooses the gate for a ticket whose key this entry generates; gates are
    /// used in turn.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no gate with a known incarnation accepts new work.
    pub fn ticket_gate_in_turn(&mut self, now: Millis) -> Result<TicketGate, Refusal> {
        let slots = self.view.policy.slots;
        let chosen = ticket_choice::choose_in_turn(&self.table, &self.averages, slots, now);
        self.ticket_gate_at(chosen, now)
    }

    fn ticket_gate_at(
        &mut self,
        chosen: Option<TargetIndex>,
        now: Millis,
    ) -> Result<TicketGate, Refusal> {
        let Some(index) = chosen else {
            return Err(self.refuse_pick(true, now));
        };
        self.table.count_ticket(index);
        let target = self.table.at(index.0);
        let report = target.stats.report();
        let report = report.expect("only a gate that has reported is chosen");
        Ok(TicketGate {
            vm: target.vm.clone(),
            incarnation: report.incarnation,
            expires_at: report.gate_clock_ms + self.view.policy.ticket_ttl_ms,
        })
    }

    /// Returns when a refused caller should retry. The time has jitter and
    /// grows with the share of refused attempts.
    pub fn retry_after_ms(&mut self, now: Millis) -> Millis {
        self.retry_after.draw(&mut self.rng, now)
    }

    /// Returns the number of attempts of this entry in flight at a target.
    #[must_use]
    pub fn in_flight(&self, index: TargetIndex) -> u32 {
        self.table
            .get(index)
            .map_or(0, |target| target.stats.in_flight())
    }

    /// Returns the number of currently ejected targets, for metrics.
    #[must_use]
    pub fn ejected_targets(&self) -> usize {
        self.table.ejected.len()
    }

    fn start(&mut self, index: TargetIndex, is_trial: bool, now: Millis) -> Pick {
        let mut generation = 0;
        if let Some(target) = self.table.get_mut(index) {
            target.stats.start_attempt();
            generation = target.generation;
        }
        Pick {
            target: index,
            started_at: now,
            is_trial,
            generation,
        }
    }

    fn choose(&mut self, exclude: &[TargetIndex], now: Millis) -> Option<TargetIndex> {
        let picker = Picker {
            table: &self.table,
            averages: &self.averages,
            policy: &self.view.policy,
            exclude,
            now,
        };
        for tier in [&self.table.ready, &self.table.doubtful] {
            if let Some(target) = picker.choose(tier, &mut self.rng) {
                return Some(target);
            }
        }
        None
    }

    /// Refuses a call for which no target is available. It is not known here
    /// whether an earlier attempt ran, so only a first attempt is refused with
    /// a "not run" code.
    fn refuse_pick(&mut self, is_first: bool, now: Millis) -> Refusal {
        let code = if is_first {
            ResultCode::NoTarget
        } else {
            ResultCode::AttemptsFailed
        };
        self.retry_after.count_refused(now);
        Refusal::retry_after(code, self.retry_after_ms(now))
    }

    fn record_report(&mut self, index: TargetIndex, report: &LoadReport, now: Millis) {
        let Some(target) = self.table.get_mut(index) else {
            return;
        };
        if !target.record_answer_report(report, now) {
            return;
        }
        if let Some(ratio) = target.stats.others_ratio() {
            let own_ratio = target.stats.own_ratio(self.view.policy.slots);
            self.averages.record_load(ratio, own_ratio);
        }
    }

    fn count_for_retry_after(&mut self, outcome: &AttemptOutcome, now: Millis) {
        if outcome.end.is_overload_refusal() {
            self.retry_after.count_refused(now);
            return;
        }
        self.retry_after.count_accepted(now);
    }

    /// Updates the statistics with the outcome of an attempt. An attempt that
    /// started before the target's current incarnation is ignored.
    fn record_outcome(&mut self, pick: &Pick, outcome: &AttemptOutcome, now: Millis) {
        let ejection = self.view.policy.ejection;
        let slots = self.view.policy.slots;
        let Some(target) = self.table.get_mut(pick.target) else {
            return;
        };
        if target.generation != pick.generation {
            return;
        }
        let at_target_us = (outcome.latency_us as f32 - target.round_trip_us()).max(1.0);
        let limit = target.stats.limit(slots);
        let service_us = target.stats.unloaded_us(at_target_us, limit);
        match Observation::of(outcome, self.latency.median_us()) {
            Observation::Success => {
                target.record_success(pick, service_us, now);
                let sample_us = target.stats.reported_service_us().unwrap_or(service_us);
                self.averages.record_service(sample_us);
                self.latency.record(outcome.latency_us, now);
            }
            Observation::Failure => {
                target.record_failure(pick, &ejection, now);
                if outcome.end == AttemptEnd::TimedOut {
                    target.stats.record_lower_bound(service_us, now);
                    self.latency.record_lower_bound(outcome.latency_us, now);
                }
            }
            Observation::Unreachable => target.record_unreachable(pick, &ejection, now),
            Observation::Overloaded => target.record_refusal(pick, now),
            Observation::Leaving => target.record_leaving(pick, now),
            Observation::LowerBound => {
                target.record_inconclusive(pick, now);
                target.stats.record_lower_bound(service_us, now);
                self.latency.record_lower_bound(outcome.latency_us, now);
            }
            Observation::Inconclusive => target.record_inconclusive(pick, now),
        }
        if pick.is_trial {
            self.table.find_next_trial();
        }
    }

    fn refusal(&mut self, code: ResultCode, end: &AttemptEnd, now: Millis) -> Refusal {
        let suggested = match end {
            AttemptEnd::Refused(refusal) => refusal.retry_after_ms,
            _ => None,
        };
        if suggested.is_none() && !retry::is_worth_retrying_later(code) {
            return Refusal::fixed(code);
        }
        let own = self.retry_after_ms(now);
        let retry_after = suggested.unwrap_or(Millis::ZERO).max(own);
        // A conviction lasts for minutes, and the gate states how long. With
        // the usual maximum, the caller would retry dozens of times in vain.
        if code == ResultCode::CrashSuspect {
            return Refusal::retry_after(code, retry_after);
        }
        Refusal::retry_after(code, retry_after.min(MAX_RETRY_AFTER_MS))
    }

    /// Whether enough time is left. A retry that will most likely miss the
    /// deadline only adds load.
    fn has_time_for_another(&self, call: &CallProgress, now: Millis) -> bool {
        let needed_us = self.latency.median_us().unwrap_or(0);
        let left_us = call.deadline_at.since(now).0.saturating_mul(1_000);
        left_us > u64::from(needed_us)
    }

    fn has_target_for_another(&self, call: &CallProgress) -> bool {
        let most = retry::MAX_ATTEMPTS as usize;
        (call.attempts as usize) < self.table.usable_targets().min(most)
    }

    fn spend_retry(&mut self, call: &CallProgress) -> bool {
        retry::cost_at_depth(call.depth).is_some_and(|cost| self.retry_budget.try_spend(cost))
    }

    fn may_hedge(&self, call: &CallProgress) -> bool {
        call.idempotent
            && call.attempts <= 1
            && self.view.policy.budgets.hedge_share > 0.0
            && self.table.first_tier().len() > 1
            && retry::cost_at_depth(call.depth).is_some()
    }

    /// Whether some target has free capacity. If all targets are busy, every
    /// call is slow, and hedging the slow calls would double the load.
    fn has_room(&mut self, now: Millis) -> bool {
        let tier = self.table.first_tier();
        let start = self.rng.random_range(0..tier.len());
        let (before, after) = tier.split_at(start);
        for index in after.iter().chain(before).take(HEDGE_TARGETS_CHECKED) {
            let stats = &self.table.at(*index).stats;
            let load = stats.load_ratio(&self.averages, self.view.policy.slots, now);
            if load < BUSY_RATIO {
                return true;
            }
        }
        false
    }
}

fn passed_deadline_code(is_first: bool) -> ResultCode {
    if is_first {
        return ResultCode::DeadlineTooShort;
    }
    ResultCode::DeadlinePassed
}
