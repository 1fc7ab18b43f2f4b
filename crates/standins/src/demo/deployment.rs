//! Description of a deployment and of the traffic of its callers.

use crate::load::{CallKind, Destination, LoadPlan};
use crate::prelude::*;
use crate::target::{ServiceTime, TargetConfig};

/// Description of a service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Number of targets.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Service times of each target.
    pub service_time: ServiceTime,
}

/// Description of a target.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Name of the VM.
    pub vm: String,
    /// Service of the target.
    pub service: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Configuration of the stand-in.
    pub config: TargetConfig,
}

/// A deployment and its traffic.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Data centres, over which the targets of each service are spread.
    pub data_centres: Vec<String>,
    /// Services of the deployment.
    pub services: Vec<ServiceSpec>,
    /// Kinds of calls that callers send.
    pub kinds: Vec<CallKind>,
}

impl Deployment {
    /// Returns all targets; their VMs are named `<service>-<number>`, from 1.
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

    /// Returns a load plan that sends the traffic through these entries.
    #[must_use]
    pub fn plan(&self, entries: Vec<SocketAddr>) -> LoadPlan {
        LoadPlan {
            destination: Destination::Nodes(entries),
            kinds: self.kinds.clone(),
            ..LoadPlan::default()
        }
    }
}
