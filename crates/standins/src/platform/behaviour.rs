//! How the platform's stand-in misbehaves.

use crate::prelude::*;

use super::vms::VmEntry;

/// Parts of a misbehaviour, which can come together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Whether readers get an answer at all.
    pub reach: Reachability,
    /// Which values readers are shown.
    pub view: View,
    /// Time before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Age that a VM list must have before it is shown, in milliseconds.
    pub vm_list_lag_ms: u64,
}

/// Whether readers get an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reachability {
    /// Every reader is answered.
    #[default]
    Up,
    /// The port is closed.
    Refused,
    /// Connections are accepted and reset at the first request.
    Reset,
    /// Every read is answered 503.
    Unavailable,
    /// Reads are accepted and never answered.
    Silent,
}

/// Which values readers are shown.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum View {
    /// What was set last.
    #[default]
    Current,
    /// What was visible when the mood was set; watches hang.
    Frozen,
    /// Older values of choice.
    Older(OldValues),
}

/// Values that the platform shows in place of the present ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OldValues {
    /// Text and its version; `None` leaves the present one.
    pub text: Option<OldText>,
    /// VM list and its version; `None` leaves the present one.
    pub vms: Option<OldVms>,
}

/// An older text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OldText {
    /// Its version.
    pub version: u64,
    /// The text.
    pub text: String,
}

/// An older VM list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OldVms {
    /// Its version.
    pub version: u64,
    /// The VMs.
    pub vms: Vec<VmEntry>,
}
