//! What a deployment consists of, and what its callers send.

use crate::load::{CallKind, Destination, LoadPlan};
use crate::prelude::*;
use crate::target::{ServiceTime, TargetConfig};

/// One service of a deployment.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// How many targets it has.
    pub targets: usize,
    /// Slots of each.
    pub slots: u32,
    /// Service times of each.
    pub service_time: ServiceTime,
}

/// One target.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Name of its VM.
    pub vm: String,
    /// Its service.
    pub service: String,
    /// Where its VM stands.
    pub data_centre: String,
    /// How it behaves.
    pub config: TargetConfig,
}

/// A deployment and its traffic.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Data centres; the targets of each service are spread over them.
    pub data_centres: Vec<String>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// What callers send.
    pub kinds: Vec<CallKind>,
}

impl Deployment {
    /// All targets, named `<service>-<number>` from 1.
    #[must_use]
    pub fn targets(&self) -> Vec<TargetSpec> {
        let mut targets = Vec::new();
        for service in &self.services {
            for index in 0..service.targets {
                let seed = u64::try_from(targets.len()).unwrap_or(0) + 1;
                targets.push(TargetSpec {
                    vm: format!("{}-{}", service.name, index + 1),
                    service: service.name.clone(),
                    data_centre: self.data_centres[index % self.data_centres.len()].clone(),
                    config: TargetConfig {
                        slots: service.slots,
                        service_time: service.service_time,
                        seed,
                        ..TargetConfig::default()
                    },
                });
            }
        }
        targets
    }

    /// The traffic, through these entries.
    #[must_use]
    pub fn plan(&self, entries: Vec<SocketAddr>) -> LoadPlan {
        LoadPlan {
            destination: Destination::Nodes(entries),
            kinds: self.kinds.clone(),
            ..LoadPlan::default()
        }
    }
}
