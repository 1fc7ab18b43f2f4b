//! The experiments, each with its deployment, load and faults.

use std::sync::Arc;

use hornbeamhitch_core::prelude::*;

use crate::time::Micros;

mod catalogue;

pub use catalogue::catalogue;

/// A service of an experiment.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: &'static str,
    /// Number of targets. Each has its own VM with a gate.
    pub targets: usize,
    /// Number of calls that one target runs concurrently.
    pub slots: u32,
    /// Mean service time of a call on a warm target without faults, in microseconds.
    pub mean_work_us: f64,
}

/// A fault in the first service of a case, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Calls that start on the target take `factor` times as long.
    Slow {
        /// Index of the target.
        target: usize,
        /// Slowdown factor. The value 1 ends the fault.
        factor: f64,
    },
    /// The target starts or stops answering every call immediately with a 5xx status.
    FailFast {
        /// Index of the target.
        target: usize,
        /// Whether the fault begins or ends.
        on: bool,
    },
    /// The target's gate drains: it finishes its calls and rejects new ones.
    Drain {
        /// Index of the target.
        target: usize,
    },
    /// A new incarnation of the gate starts with a cold target.
    ColdStart {
        /// Index of the target.
        target: usize,
    },
    /// A caller sends a request that crashes every target that runs it.
    CrashCall,
    /// The process of a crashed target has restarted and is cold.
    Restarted {
        /// Index of the target.
        target: usize,
    },
    /// Nodes and targets of a data centre stop answering.
    LoseDataCentre {
        /// Index of the data centre.
        data_centre: usize,
    },
    /// The lost nodes and targets answer again, with their previous state.
    RestoreDataCentre {
        /// Index of the data centre.
        data_centre: usize,
    },
}

/// Which side creates the key of a call that must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyMaker {
    /// The entry, which alternates between the gates.
    Entry,
    /// The caller. The same key must always lead to the same gate.
    Caller,
}

/// A fault with the time at which it occurs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultAt {
    /// Virtual time of the fault.
    pub at: Micros,
    /// The fault.
    pub fault: Fault,
}

/// An experiment.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name on the command line and in reports.
    pub name: String,
    /// One-line description.
    pub about: &'static str,
    /// Chain of services. A target of each service calls the next service before it
    /// answers.
    pub chain: Vec<ServiceSpec>,
    /// Number of nodes that accept callers. The first ones run on the targets' VMs.
    pub nodes: usize,
    /// Offered load as a share of the capacity of the first service's slots.
    pub load: f64,
    /// Sigma of the log-normal distribution of service times.
    pub work_sigma: f64,
    /// Whether noisy neighbours freeze targets at random times.
    pub noisy: bool,
    /// Whether load reports on answers are 10 to 500 ms old.
    pub stale_reports: bool,
    /// Which side creates the keys of ticketed calls. `None` for idempotent calls.
    pub ticket_keys: Option<KeyMaker>,
    /// Whether callers resend rejected and failed calls as documented.
    pub callers_resend: bool,
    /// Length of the run.
    pub duration: Micros,
    /// Time before which calls are not measured.
    pub warm_up: Micros,
    /// Faults in order of time.
    pub faults: Vec<FaultAt>,
}

/// Number of data centres in both deployments.
pub const DATA_CENTRES: usize = 3;
/// One-way network delay between data centres in microseconds.
pub const BETWEEN_DATA_CENTRES_US: u32 = 1_500;
/// One-way network delay inside a data centre in microseconds.
pub const INSIDE_DATA_CENTRE_US: u32 = 100;
/// One-way network delay between callers and entries.
pub const CALLER_DISTANCE: Micros = Micros::from_millis(8);
/// Time that it takes to open a connection.
pub const CONNECT_COST: Micros = Micros::from_millis(1);

/// Network time of a target's call to the next service and back, during which the
/// calling target's slot is occupied. It assumes a target in the same data centre,
/// since every service has a target in every data centre.
const HOP_US: f64 = 2.0 * INSIDE_DATA_CENTRE_US as f64;

impl Case {
    /// Calls per second that occupy every slot of the first service.
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

    /// New calls per second, without resends.
    #[must_use]
    pub fn rate_per_s(&self) -> f64 {
        self.load * self.capacity_per_s()
    }

    /// Deadline of every call, as a duration.
    #[must_use]
    pub fn deadline(&self) -> Millis {
        Millis(1_000)
    }

    /// Policy of a service with the settings of the experiments.
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
