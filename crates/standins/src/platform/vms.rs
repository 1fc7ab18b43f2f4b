//! The VM list as the platform publishes it.

use strum::{Display, EnumString};

use crate::prelude::*;

/// State of a VM, as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmState {
    /// The VM is in service, as far as the platform knows.
    Live,
    /// The VM is about to be replaced.
    Leaving,
}

/// Entry of one VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Service of its target.
    pub service: String,
    /// State of the VM.
    pub state: VmState,
    /// TCP address of its node for HTTP/2 between nodes.
    pub peer: SocketAddr,
    /// UDP and TCP address of its node for control messages.
    pub control: SocketAddr,
}

/// The VM list and its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Version of the list, which increases with each change; 0 before the first.
    pub version: u64,
    /// All VMs, or the VMs of one service.
    pub vms: Vec<VmEntry>,
}

impl VmList {
    /// Returns the list restricted to the VMs of one service.
    #[must_use]
    pub fn of_service(&self, service: &str) -> Self {
        let mut vms = Vec::new();
        for entry in &self.vms {
            if entry.service != service {
                continue;
            }
            vms.push(entry.clone());
        }
        Self {
            version: self.version,
            vms,
        }
    }
}
