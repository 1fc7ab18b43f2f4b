//! Regions of data centres, and the regions in which a route's requests may run.
//!
//! An operator may confine a route to regions, for example because its requests contain
//! personal data. An entry sends such a request, and its body, straight to the gate of the
//! target that is to run it, so it suffices to leave out targets in other regions.

use std::collections::BTreeMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Region of each known data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions(BTreeMap<DataCentre, Region>);

impl Regions {
    /// Creates a map of the data centres and their regions.
    #[must_use]
    pub const fn new(by_data_centre: BTreeMap<DataCentre, Region>) -> Self {
        Self(by_data_centre)
    }

    /// Returns whether the route's requests may run in this data centre. A data centre
    /// whose region is unknown is in none of the allowed regions.
    #[must_use]
    pub fn allows(&self, route: &Route, data_centre: &DataCentre) -> bool {
        let Some(allowed) = &route.allowed_regions else {
            return true;
        };
        self.0
            .get(data_centre)
            .is_some_and(|region| allowed.contains(region))
    }
}
