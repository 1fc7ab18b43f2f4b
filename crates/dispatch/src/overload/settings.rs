//! Which parts of overload control are in force.

use std::collections::HashMap;

use strum::{EnumString, IntoStaticStr, VariantNames};

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// A part of overload control that can be switched off alone.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum OverloadPart {
    /// Attempts that no gate confirms in time are withdrawn.
    SilenceBound,
    /// Calls are admitted by the demand for their service and its capacity.
    ServiceLevel,
    /// Refused callers get a time at which they are served.
    ScheduledReturns,
    /// Callers that compete get equal shares, and slots go to the higher priority.
    CallerShares,
    /// Calls that are made by runs go before callers' requests.
    NestedFirst,
    /// A call inherits the priority of those that wait behind it on a connection.
    AnswerOrder,
    /// Rejections by targets decide which calls are retried, and when callers retry.
    RejectRates,
}

/// An unknown name of a part.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{name}` is no part of overload control; allowed are {}", OverloadPart::VARIANTS.join(", "))]
pub struct UnknownPart {
    /// The name as given.
    pub name: String,
}

/// A set of parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OverloadParts(u8);

impl OverloadParts {
    /// No part.
    pub const NONE: Self = Self(0);
    /// All parts.
    pub const ALL: Self = Self((1 << OverloadPart::VARIANTS.len()) - 1);

    /// Returns the parts that a configuration calls for.
    ///
    /// The confirmation of attempts corrects a fault and is always among them. The others
    /// decide between calls that compete, so they are called for where routes of different
    /// priority lead to one service.
    #[must_use]
    pub fn called_for_by(routes: &RouteSet) -> Self {
        match has_competing_routes(routes) {
            true => Self::ALL,
            false => Self::NONE.with(OverloadPart::SilenceBound),
        }
    }

    /// Parses a list of names that are separated by commas; spaces and empty names are
    /// ignored.
    ///
    /// # Errors
    ///
    /// Returns the first unknown name.
    pub fn parse(names: &str) -> Result<Self, UnknownPart> {
        let mut parts = Self::NONE;
        for name in names.split(',').map(str::trim) {
            if name.is_empty() {
                continue;
            }
            let part: OverloadPart = name.parse().map_err(|_| UnknownPart {
                name: name.to_owned(),
            })?;
            parts = parts.with(part);
        }
        Ok(parts)
    }

    /// Returns the set with one more part.
    #[must_use]
    pub const fn with(self, part: OverloadPart) -> Self {
        Self(self.0 | 1 << part as u8)
    }

    /// Returns the parts of either set.
    #[must_use]
    pub const fn and(self, others: Self) -> Self {
        Self(self.0 | others.0)
    }

    /// Returns the parts of this set that are not in the other.
    #[must_use]
    pub const fn without(self, others: Self) -> Self {
        Self(self.0 & !others.0)
    }

    /// Returns whether the set contains a part.
    #[must_use]
    pub const fn has(self, part: OverloadPart) -> bool {
        self.0 & 1 << part as u8 != 0
    }
}

/// The parts that are called for and not switched off.
///
/// Determining what a configuration calls for visits all its routes, so the result is kept
/// until the configuration changes.
#[derive(Clone, Debug)]
pub struct PartsInForce {
    switched_off: OverloadParts,
    called_for: OverloadParts,
    /// Version of the configuration for which `called_for` was determined.
    version: Option<u64>,
}

impl PartsInForce {
    /// Creates the parts of a node that has no configuration.
    #[must_use]
    pub const fn new(switched_off: OverloadParts) -> Self {
        Self {
            switched_off,
            called_for: OverloadParts::NONE.with(OverloadPart::SilenceBound),
            version: None,
        }
    }

    /// Replaces the parts that the settings switch off.
    pub const fn switch_off(&mut self, parts: OverloadParts) {
        self.switched_off = parts;
    }

    /// Adopts the parts that a configuration calls for. Returns whether it is another
    /// configuration than before.
    pub fn adopt(&mut self, routes: &RouteSet) -> bool {
        if self.version == Some(routes.version()) {
            return false;
        }
        self.version = Some(routes.version());
        self.called_for = OverloadParts::called_for_by(routes);
        true
    }

    /// Returns whether a part is in force.
    #[must_use]
    pub const fn has(&self, part: OverloadPart) -> bool {
        self.called_for.without(self.switched_off).has(part)
    }
}

/// Whether routes of different priority lead to one service.
fn has_competing_routes(routes: &RouteSet) -> bool {
    let mut priorities: HashMap<&ServiceName, u8> = HashMap::new();
    for route in routes.iter() {
        for destination in &route.destinations {
            let first = *priorities
                .entry(&destination.service)
                .or_insert(route.priority);
            if first != route.priority {
                return true;
            }
        }
    }
    false
}
