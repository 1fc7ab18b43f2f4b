//! The target selection policies that are compared.
//!
//! All policies share the core's retries, hedges and `Retry-After`, so that two runs
//! with gates differ only by target selection.

use std::sync::Arc;

use hornbeamhitch_core::entry::{EntryService, EntrySettings};
use serde::{Serialize, Serializer};
use strum::{EnumString, IntoStaticStr, VariantArray};

use crate::host::Host;
use crate::prelude::*;
use crate::workload::mix;

mod baseline;
mod choosers;
mod core_policy;

use baseline::Baseline;
use core_policy::CorePolicy;

/// A target selection policy, with or without gates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumString, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyKind {
    /// The core's own selection, with the core's gate.
    Ours,
    /// Selection by the exact state of all queues, with the core's gate.
    Oracle,
    /// Random selection, with the core's gate.
    Random,
    /// Round robin, with the core's gate.
    RoundRobin,
    /// Fewest requests in flight from this entry, with the core's gate.
    LeastInFlight,
    /// The less loaded of two random targets by their last reports, of any age, with
    /// the core's gate.
    TwoChoices,
    /// Random selection, with an unlimited queue in the target instead of a gate.
    RandomNoGate,
    /// Round robin, with an unlimited queue in the target instead of a gate.
    RoundRobinNoGate,
    /// Fewest in flight, with an unlimited queue in the target instead of a gate.
    LeastInFlightNoGate,
    /// Two choices, with an unlimited queue in the target instead of a gate.
    TwoChoicesNoGate,
}

impl PolicyKind {
    /// Name on the command line and in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Whether each target has the core's gate in front of it.
    #[must_use]
    pub const fn has_gates(self) -> bool {
        !matches!(
            self,
            Self::RandomNoGate
                | Self::RoundRobinNoGate
                | Self::LeastInFlightNoGate
                | Self::TwoChoicesNoGate
        )
    }

    /// Whether the policy uses the load reports on answers.
    #[must_use]
    pub const fn reads_reports(self) -> bool {
        matches!(self, Self::Ours | Self::TwoChoices | Self::TwoChoicesNoGate)
    }

    /// Whether this is one of the baselines with which the core is compared.
    #[must_use]
    pub const fn is_baseline(self) -> bool {
        !matches!(self, Self::Ours | Self::Oracle)
    }
}

impl Serialize for PolicyKind {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}

/// Exact state of all targets of a service, which only the oracle may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Truth<'a> {
    pub(crate) hosts: &'a [Host],
    pub(crate) mean_work_us: f64,
    pub(crate) now: Micros,
}

/// Target selection of one entry for one service.
pub(crate) trait Policy: std::fmt::Debug {
    /// Selects a target for an attempt and counts the attempt as in flight.
    fn pick(&mut self, request: &PickRequest<'_>, truth: &Truth<'_>) -> Result<Pick, Refusal>;

    /// Selects the only VM whose target may run a ticketed call.
    fn pick_ticket_gate(
        &mut self,
        key: CallKey,
        maker: KeyMaker,
        truth: &Truth<'_>,
    ) -> Result<VmId, Refusal>;

    /// Whether a hedge may find a free slot, as far as this policy knows. The core
    /// decides about hedges in addition.
    fn has_free_slot(&self, truth: &Truth<'_>) -> bool;

    /// Ends an attempt.
    fn finish(&mut self, pick: &Pick, outcome: &AttemptOutcome, now: Millis);

    /// Replaces the view.
    fn update(&mut self, view: Arc<ServiceView>, now: Millis);

    /// The core's entry service, which decides about retries, hedges and
    /// `Retry-After`.
    fn core(&mut self) -> &mut EntryService;

    /// Index of a target's host within its service, in the order of the views.
    fn host_of(&self, target: TargetIndex) -> usize;
}

/// Creates the policy of one entry for one service.
pub(crate) fn new_policy(kind: PolicyKind, seed: u64, view: Arc<ServiceView>) -> Box<dyn Policy> {
    let settings = EntrySettings { seed };
    let core = EntryService::new(&settings, Arc::clone(&view), Millis::ZERO);
    let chooser_seed = mix(seed, 7);
    let chooser = match kind {
        PolicyKind::Ours => return Box::new(CorePolicy::new(core, view)),
        PolicyKind::Oracle => choosers::oracle(),
        PolicyKind::Random | PolicyKind::RandomNoGate => choosers::random(chooser_seed),
        PolicyKind::RoundRobin | PolicyKind::RoundRobinNoGate => {
            choosers::round_robin(chooser_seed)
        }
        PolicyKind::LeastInFlight | PolicyKind::LeastInFlightNoGate => {
            choosers::least_in_flight(chooser_seed)
        }
        PolicyKind::TwoChoices | PolicyKind::TwoChoicesNoGate => {
            choosers::two_choices(chooser_seed)
        }
    };
    Box::new(Baseline::new(core, view, chooser))
}

/// Position of a VM in a view. All views of a run list VMs in the same order.
fn position_of(view: &ServiceView, vm: &VmId) -> usize {
    let position = view.targets.iter().position(|target| target.vm == *vm);
    position.expect("views of a run list every VM of the service")
}
