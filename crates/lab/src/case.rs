//! The experiments: deployments, loads and faults.

use std::sync::Arc;

use hornbeamhitch_core::prelude::*;

use crate::time::Micros;

mod catalogue;

pub use catalogue::catalogue;

/// One service of an experiment.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Its name.
    pub name: &'static str,
    /// Number of targets, each with a gate on its own VM.
    pub targets: usize,
    /// Calls that one target runs at the same time.
    pub slots: u32,
    /// Mean work of one call in microseconds, on a warm target without faults.
    pub mean_work_us: f64,
}

/// What befalls the first service of a case.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Calls that start on the target take `factor` times as long.
    Slow {
        /// Index of the target.
        target: usize,
        /// 1 ends the fault.
        factor: f64,
    },
    /// The target answers every call at once with a 5xx, or no longer.
    FailFast {
        /// Index of the target.
        target: usize,
        /// Whether the fault begins.
        on: bool,
    },
    /// The target's gate leaves: what is in hand ends, nothing new is taken.
    Drain {
        /// Index of the target.
        target: usize,
    },
    /// A new life of the gate starts with a cold target.
    ColdStart {
        /// Index of the target.
        target: usize,
    },
    /// A caller sends a request that crashes each target that runs it.
    CrashCall,
    /// A crashed target's process is up again, cold.
    Restarted {
        /// Index of the target.
        target: usize,
    },
    /// Nodes and targets of a data centre stop answering.
    LoseDataCentre {
        /// Index of the data centre.
        data_centre: usize,
    },
    /// They are back, with what they held.
    RestoreDataCentre {
        /// Index of the data centre.
        data_centre: usize,
    },
}

/// Who makes the key of a call that may not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyMaker {
    /// The entry: its gates take turns.
    Entry,
    /// The caller: the same key must name the same gate again.
    Caller,
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultAt {
    /// When it begins.
    pub at: Micros,
    /// What it is.
    pub fault: Fault,
}

/// One experiment.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name on the command line and in reports.
    pub name: String,
    /// What it shows, in a line.
    pub about: &'static str,
    /// Services; targets of each one call the next before they answer.
    pub chain: Vec<ServiceSpec>,
    /// Nodes that callers reach; the first stand on the targets' VMs.
    pub nodes: usize,
    /// Offered load as a share of what the first service's slots can carry.
    pub load: f64,
    /// Spread of the work of calls (sigma of a log-normal distribution).
    pub work_sigma: f64,
    /// Noisy neighbours freeze targets now and then.
    pub noisy: bool,
    /// Reports on answers are 10 to 500 ms old.
    pub stale_reports: bool,
    /// Who makes the keys of calls that go by tickets; `None` for idempotent
    /// calls.
    pub ticket_keys: Option<KeyMaker>,
    /// Refused or failed callers come back, as documented.
    pub callers_resend: bool,
    /// Length of the run.
    pub duration: Micros,
    /// Calls that arrive earlier are not measured.
    pub warm_up: Micros,
    /// What goes wrong, in order of time.
    pub faults: Vec<FaultAt>,
}

/// Number of data centres in both deployments.
pub const DATA_CENTRES: usize = 3;
/// One-way time between data centres in microseconds.
pub const BETWEEN_DATA_CENTRES_US: u32 = 1_500;
/// One-way time inside a data centre in microseconds.
pub const INSIDE_DATA_CENTRE_US: u32 = 100;
/// One-way time between callers and entries.
pub const CALLER_DISTANCE: Micros = Micros::from_millis(8);
/// What a new connection costs.
pub const CONNECT_COST: Micros = Micros::from_millis(1);

/// Network time of one call from a target to the next service and back, as
/// far as it counts into the time for which the caller's slot is held: every
/// service has a target in every data centre.
const HOP_US: f64 = 2.0 * INSIDE_DATA_CENTRE_US as f64;

impl Case {
    /// Calls a second that fill every slot of the first service.
    #[must_use]
    pub fn capacity_per_s(&self) -> f64 {
        let first = &self.chain[0];
        let mut occupied_us = (self.chain.len() - 1) as f64 * HOP_US;
        for service in &self.chain {
            occupied_us += service.mean_work_us;
        }
        let slots = first.targets as f64 * f64::from(first.slots);
        slots * 1e6 / occupied_us
    }

    /// New calls a second, without those that come back.
    #[must_use]
    pub fn rate_per_s(&self) -> f64 {
        self.load * self.capacity_per_s()
    }

    /// The time a caller gives to a call.
    #[must_use]
    pub fn deadline(&self) -> Millis {
        Millis(1_000)
    }

    /// The service's policy as an operator would write it.
    #[must_use]
    pub fn service_policy(&self, service: usize) -> Arc<ServicePolicy> {
        let spec = &self.chain[service];
        Arc::new(ServicePolicy {
            service: ServiceName::new(spec.name),
            depends_on: Vec::new(),
            slots: spec.slots,
            connections: 250,
            queue_limit: spec.slots * 4,
            calls: Vec::new(),
            deadline_ms: self.deadline(),
            ticket_ttl_ms: Millis::from_secs(120),
            max_records: 1_000_000,
            max_stored_answer_bytes: 16_384,
            buffer_bytes: 65_536,
            max_request_bytes: 1 << 20,
            cold_ramp_ms: Millis::from_secs(5),
            budgets: Budgets {
                probes_per_s: 1.0,
                probe_burst: 4,
                retry_share: 0.1,
                hedge_share: 0.05,
                hedge_quantile: 0.95,
            },
            ejection: EjectionPolicy {
                consecutive_failures: 5,
                max_ejected_share: 0.5,
                base_ejection_ms: Millis::from_secs(1),
                max_ejection_ms: Millis::from_secs(30),
            },
        })
    }
}
