//! Configurable faults of the stand-in for the platform.

use crate::prelude::*;

use super::vms::VmEntry;

/// Faults of the platform; any of them can be combined. The default has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Whether and how reads are answered.
    pub reach: Reachability,
    /// The values that readers are shown.
    pub view: View,
    /// Delay of each answer, in milliseconds.
    pub delay_ms: u64,
    /// Time from the publication of a VM list until readers see it, in
    /// milliseconds.
    pub vm_list_lag_ms: u64,
}

/// Whether and how reads are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reachability {
    /// Reads are answered normally.
    #[default]
    Up,
    /// The port is closed, so connections are refused.
    Refused,
    /// Connections are accepted, and reset at the first read.
    Reset,
    /// Every read is answered with 503.
    Unavailable,
    /// Reads are accepted and never answered.
    Silent,
}

/// The values that readers are shown.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum View {
    /// The latest values.
    #[default]
    Current,
    /// The values that were visible when this view was set; watches report no
    /// change.
    Frozen,
    /// The given older values.
    Older(OldValues),
}

/// Values that the platform shows instead of the current ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OldValues {
    /// Configuration text and its version; `None` shows the current one.
    pub text: Option<OldText>,
    /// VM list and its version; `None` shows the current one.
    pub vms: Option<OldVms>,
}

/// An older configuration text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OldText {
    /// Version of the value.
    pub version: u64,
    /// The text.
    pub text: String,
}

/// An older VM list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OldVms {
    /// Version of the value.
    pub version: u64,
    /// The VMs.
    pub vms: Vec<VmEntry>,
}
