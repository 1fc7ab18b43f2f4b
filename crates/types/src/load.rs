//! What nodes tell each other about load and about silent VMs.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Number of load classes.
pub const LOAD_CLASSES: usize = 4;

/// Class of a call in admission at the entry; the lowest is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadClass(u8);

impl LoadClass {
    /// Calls that are made by a run.
    pub const NESTED: Self = Self(0);

    /// Returns the class of a caller's request with this priority, where 0 is the highest.
    #[must_use]
    pub const fn of_priority(priority: u8) -> Self {
        const LAST: u8 = LOAD_CLASSES as u8 - 1;
        match priority {
            0..LAST => Self(priority + 1),
            _ => Self(LAST),
        }
    }

    /// Returns the position of the class in an array by class.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }

    /// Returns all classes, the most urgent one first.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..LOAD_CLASSES as u8).map(Self)
    }
}

/// Load of a gate's target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateLoad {
    /// Number of requests that the target can run at once now, in hundredths of a slot.
    pub room_centislots: u32,
    /// Offered work per time by class, in hundredths of a slot.
    pub demand_centislots: [u32; LOAD_CLASSES],
}

/// Work for one service that has entered at one entry since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Expected run time at usual speed by class, in milliseconds.
    pub work_ms: [u32; LOAD_CLASSES],
}

/// An observation that nothing is received from a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentVm {
    /// Address of the silent VM.
    pub vm: IpAddr,
    /// Address of the node that has made the observation.
    pub observer: IpAddr,
    /// Time since the observation.
    pub age_ms: Millis,
}

/// The silent VMs that a node knows of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilenceReport {
    /// The observations.
    pub vms: Vec<SilentVm>,
}
