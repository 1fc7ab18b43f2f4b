//! The ways of picking that are compared.
//!
//! Every way shares the core's retries, hedges and `Retry-After`, so that a
//! difference between two runs with gates comes from picking alone.

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

/// A way of picking, with or without gates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumString, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyKind {
    /// The core's own picking and its gate.
    Ours,
    /// Sees all queues of this moment; the core's gate.
    Oracle,
    /// Any target; the core's gate.
    Random,
    /// One target after the other; the core's gate.
    RoundRobin,
    /// Fewest requests in flight from this entry; the core's gate.
    LeastInFlight,
    /// The better of two by the last report, however old; the core's gate.
    TwoChoices,
    /// Random, and a plain queue without limit in the target.
    RandomNoGate,
    /// Round robin, and a plain queue without limit in the target.
    RoundRobinNoGate,
    /// Least in flight, and a plain queue without limit in the target.
    LeastInFlightNoGate,
    /// Two choices, and a plain queue without limit in the target.
    TwoChoicesNoGate,
}

impl PolicyKind {
    /// The name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Whether the core's gate stands before each target.
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

    /// Whether it reads the reports on answers.
    #[must_use]
    pub const fn reads_reports(self) -> bool {
        matches!(self, Self::Ours | Self::TwoChoices | Self::TwoChoicesNoGate)
    }

    /// Whether it is one of the ways that ours is compared with.
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

/// What an eye that sees everything sees; for the oracle alone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Truth<'a> {
    pub(crate) hosts: &'a [Host],
    pub(crate) mean_work_us: f64,
    pub(crate) now: Micros,
}

/// One entry's way of picking for one service.
pub(crate) trait Policy: std::fmt::Debug {
    /// Chooses a target for an attempt and counts it as in flight.
    fn pick(&mut self, request: &PickRequest<'_>, truth: &Truth<'_>) -> Result<Pick, Refusal>;

    /// Chooses the only target that may run a ticketed call.
    fn pick_ticket_gate(
        &mut self,
        key: CallKey,
        maker: KeyMaker,
        truth: &Truth<'_>,
    ) -> Result<VmId, Refusal>;

    /// Whether a hedge would find a free slot, for all that this policy knows
    /// beyond the core's own judgement.
    fn has_free_slot(&self, truth: &Truth<'_>) -> bool;

    /// Ends an attempt.
    fn finish(&mut self, pick: &Pick, outcome: &AttemptOutcome, now: Millis);

    /// Takes over a newer view.
    fn update(&mut self, view: Arc<ServiceView>, now: Millis);

    /// The core behind it, for retries, hedges and `Retry-After`.
    fn core(&mut self) -> &mut EntryService;

    /// The index of a target within its service, as views list it.
    fn host_of(&self, target: TargetIndex) -> usize;
}

/// Makes the policy of one entry for one service.
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

/// Finds a VM's place in a view; places are the same in every view of a run.
fn position_of(view: &ServiceView, vm: &VmId) -> usize {
    let position = view.targets.iter().position(|target| target.vm == *vm);
    position.expect("views of a run list every VM of the service")
}
