//! What is compared with what.

use std::fmt;

use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::prelude::*;

/// How a call reaches the target.
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
    /// From the caller to the target, without a node.
    Direct,
    /// Through the node on the target's own VM, as entry and gate.
    OneVm,
    /// Through an entry on the VM of another service.
    TwoVms,
}

/// What a call asks for.
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
    /// A non-idempotent `POST` under a ticket that was fetched ahead.
    Payment,
}

/// One call type on one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Series {
    /// What is asked for.
    pub call: CallType,
    /// By which route.
    pub route: Route,
}

impl Series {
    /// All six, each call type's direct series first.
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

    /// Whether calls pass nodes.
    #[must_use]
    pub fn is_through_nodes(self) -> bool {
        self.route != Route::Direct
    }

    /// Whether calls need tickets.
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
