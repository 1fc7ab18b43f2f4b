//! The series that are measured and compared.

use std::fmt;

use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::prelude::*;

/// Route of a call to the target.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Route {
    /// Directly from the caller to the target, without a node.
    Direct,
    /// Through the node on the target's VM, which is both entry and gate.
    OneVm,
    /// Through an entry on the VM of another service and the gate on the target's VM.
    TwoVms,
}

/// Type of a call.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallType {
    /// An idempotent `GET`.
    Lookup,
    /// A non-idempotent `POST`; through ticketed nodes with a prefetched ticket.
    Payment,
}

/// Calls of one type on one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Series {
    /// Type of the calls.
    pub call: CallType,
    /// Route of the calls.
    pub route: Route,
}

impl Series {
    /// Returns all six series; the direct series of each call type comes first.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let mut all = Vec::new();
        for call in CallType::iter() {
            for route in Route::iter() {
                all.push(Self { call, route });
            }
        }
        all
    }

    /// Returns whether the calls pass through nodes.
    #[must_use]
    pub fn is_through_nodes(self) -> bool {
        self.route != Route::Direct
    }

    /// Returns whether the calls are payments through nodes, which need tickets unless
    /// the nodes route by host and path.
    #[must_use]
    pub fn is_ticketed(self) -> bool {
        self.call == CallType::Payment && self.is_through_nodes()
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (call, route): (&str, &str) = (self.call.into(), self.route.into());
        write!(f, "{call} {route}")
    }
}
