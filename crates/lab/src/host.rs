//! The VM of a target, with the fake target and its gate. Baselines without gates have
//! none.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use hornbeamhitch_core::gate::{Gate, GateSettings, RunId};
use hornbeamhitch_core::suspects::SuspectSet;

use crate::event::AttemptIndex;
use crate::prelude::*;
use crate::target::FakeTarget;
use crate::workload::mix;

/// Interval at which load reports are stored in cases with stale reports.
pub(crate) const REPORT_INTERVAL: Micros = Micros::from_millis(10);
/// Number of stored reports. It covers the oldest report that a case uses.
const STORED_REPORTS: usize = 52;
/// Weight of the newest value in the moving average of service times.
const SMOOTHING: f64 = 0.1;
const MAX_STORED_BYTES: u64 = 64 << 20;

/// A VM with a target.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) vm: VmId,
    pub(crate) data_centre: usize,
    /// Index of the node on the same VM.
    pub(crate) node: usize,
    pub(crate) gate: Option<Gate>,
    pub(crate) target: FakeTarget,
    pub(crate) incarnation: Incarnation,
    pub(crate) leaving: bool,
    /// When the host became unreachable because its data centre was lost.
    pub(crate) unreachable_since: Option<Micros>,
    /// Number of attempts in transit to this host, since their pick or their ticket.
    /// Only the oracle uses it.
    pub(crate) incoming: usize,
    /// Attempt of each admitted run.
    pub(crate) attempts: HashMap<RunId, AttemptIndex>,
    /// Attempts that wait for the run of another attempt.
    pub(crate) joined: Vec<(RunId, AttemptIndex)>,
    reports: VecDeque<LoadReport>,
    service_time_us: f64,
    policy: Arc<ServicePolicy>,
    seed: u64,
}

/// Settings of a host.
#[derive(Clone, Debug)]
pub(crate) struct HostSettings {
    pub(crate) vm: VmId,
    pub(crate) data_centre: usize,
    pub(crate) node: usize,
    pub(crate) has_gate: bool,
    pub(crate) seed: u64,
    pub(crate) policy: Arc<ServicePolicy>,
    pub(crate) mean_work_us: f64,
}

impl Host {
    pub(crate) fn new(settings: HostSettings) -> Self {
        let mut host = Self {
            vm: settings.vm,
            data_centre: settings.data_centre,
            node: settings.node,
            gate: None,
            target: FakeTarget::new(settings.policy.slots),
            incarnation: Incarnation(1),
            leaving: false,
            unreachable_since: None,
            incoming: 0,
            attempts: HashMap::new(),
            joined: Vec::new(),
            reports: VecDeque::with_capacity(STORED_REPORTS),
            service_time_us: settings.mean_work_us,
            policy: settings.policy,
            seed: settings.seed,
        };
        if settings.has_gate {
            host.gate = Some(host.new_gate(Micros::ZERO));
        }
        host
    }

    fn new_gate(&self, now: Micros) -> Gate {
        let settings = GateSettings {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            seed: mix(self.seed, self.incarnation.0),
            max_stored_bytes: MAX_STORED_BYTES,
        };
        Gate::new(settings, Arc::clone(&self.policy), now.floor_millis())
    }

    /// Starts a new incarnation of the gate with a cold target.
    pub(crate) fn restart(&mut self, suspects: &Arc<SuspectSet>, now: Micros) {
        self.incarnation.0 += 1;
        self.leaving = false;
        self.target.start_cold(now);
        if self.gate.is_none() {
            return;
        }
        let mut gate = self.new_gate(now);
        gate.update_suspects(Arc::clone(suspects));
        self.gate = Some(gate);
    }

    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        if let Some(gate) = &mut self.gate {
            gate.set_leaving(true);
        }
    }

    pub(crate) fn observe_service_time(&mut self, service_time: Micros) {
        self.service_time_us += SMOOTHING * (service_time.0 as f64 - self.service_time_us);
    }

    /// Current load report.
    pub(crate) fn load(&self, now: Micros) -> LoadReport {
        if let Some(gate) = &self.gate {
            return gate.load(now.floor_millis());
        }
        LoadReport {
            in_flight: self.target.running() as u32,
            queued: self.target.waiting() as u32,
            limit: self.target.slots() as u32,
            service_time_us: self.service_time_us as u32,
            gate_clock_ms: now.floor_millis(),
            incarnation: self.incarnation,
            leaving: self.leaving,
        }
    }

    pub(crate) fn store_report(&mut self, now: Micros) {
        if self.reports.len() == STORED_REPORTS {
            self.reports.pop_back();
        }
        let report = self.load(now);
        self.reports.push_front(report);
    }

    /// Stored load report of about this age.
    pub(crate) fn old_report(&self, age: Micros, now: Micros) -> LoadReport {
        let steps = (age.0 / REPORT_INTERVAL.0) as usize;
        let oldest = self.reports.len().saturating_sub(1);
        match self.reports.get(steps.min(oldest)) {
            Some(report) => *report,
            None => self.load(now),
        }
    }

    /// Expected time until a call that is sent now would be answered, in microseconds.
    /// It uses the exact state of all queues and is for the oracle only.
    pub(crate) fn expected_time_us(&self, mean_work_us: f64, now: Micros) -> f64 {
        if self.unreachable_since.is_some() || self.leaving || !self.target.is_up() {
            return f64::INFINITY;
        }
        if self.target.fails_fast() {
            return f64::INFINITY;
        }
        let work_us = mean_work_us * self.target.factor(now);
        let concurrency = self.concurrency(now);
        let wait_calls = (self.pending_calls(now) + 1).saturating_sub(concurrency);
        let wait_us = wait_calls as f64 * work_us / concurrency as f64;
        self.target.frozen_for(now).0 as f64 + wait_us + work_us
    }

    /// Whether a call that is sent now would run without waiting.
    pub(crate) fn has_free_slot(&self, now: Micros) -> bool {
        self.unreachable_since.is_none()
            && !self.leaving
            && self.target.is_up()
            && self.pending_calls(now) < self.concurrency(now)
    }

    /// Number of calls that run or wait at the host or are in transit to it.
    fn pending_calls(&self, now: Micros) -> usize {
        let at_target = self.target.running() + self.target.waiting();
        let mut held = 0;
        if let Some(gate) = &self.gate {
            held = gate.load(now.floor_millis()).queued as usize;
        }
        at_target + held + self.incoming
    }

    /// Number of calls that may run concurrently by the gate's limit and the slots.
    fn concurrency(&self, now: Micros) -> usize {
        let slots = self.target.slots();
        match &self.gate {
            Some(gate) => slots.min(gate.load(now.floor_millis()).limit.max(1) as usize),
            None => slots,
        }
    }
}
