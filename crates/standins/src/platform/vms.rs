//! The VM list as the platform publishes it.

use strum::{Display, EnumString};

use crate::prelude::*;

/// What the platform says about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmState {
    /// It serves, as far as the platform knows.
    Live,
    /// It is about to be replaced.
    Leaving,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: String,
    /// Data centre in which it stands.
    pub data_centre: String,
    /// Service of its target.
    pub service: String,
    /// Live or leaving.
    pub state: VmState,
    /// TCP address of its node for HTTP/2 between nodes.
    pub peer: SocketAddr,
    /// UDP and TCP address of its node for control messages.
    pub control: SocketAddr,
}

/// The list and its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Goes up with each change; 0 before the first.
    pub version: u64,
    /// All VMs, or those of one service.
    pub vms: Vec<VmEntry>,
}

impl VmList {
    /// The list with the VMs of one service only.
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
