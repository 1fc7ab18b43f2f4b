//! The same change of several services, told once.

use std::collections::HashMap;
use std::fmt;

use super::Change;
use crate::prelude::*;

/// Services that are named beside the first.
const MAX_NAMED: usize = 8;

/// A change, and the other services that change in the same way.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupedChange<'a> {
    /// The change of the first service.
    pub change: &'a Change,
    /// The other services, in order.
    pub also: Vec<&'a ServiceName>,
}

/// Puts equal changes of numbers together, at the place of the first.
///
/// An edit of the text's defaults changes hundreds of services alike; told one
/// by one, they would hide the change that was not meant.
#[must_use]
pub fn grouped(changes: &[Change]) -> Vec<GroupedChange<'_>> {
    let mut groups: Vec<GroupedChange<'_>> = Vec::new();
    let mut places: HashMap<(Setting, u64, u64), usize> = HashMap::new();
    for change in changes {
        let Change::Setting {
            service,
            setting,
            old,
            new,
        } = change
        else {
            groups.push(alone(change));
            continue;
        };
        let key = (*setting, old.to_bits(), new.to_bits());
        if let Some(place) = places.get(&key) {
            groups[*place].also.push(service);
            continue;
        }
        places.insert(key, groups.len());
        groups.push(alone(change));
    }
    groups
}

fn alone(change: &Change) -> GroupedChange<'_> {
    GroupedChange {
        change,
        also: Vec::new(),
    }
}

impl fmt::Display for GroupedChange<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.change.fmt(f)?;
        if self.also.is_empty() {
            return Ok(());
        }
        f.write_str("; the same for ")?;
        for (index, service) in self.also.iter().take(MAX_NAMED).enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{service}")?;
        }
        if self.also.len() > MAX_NAMED {
            write!(f, " and {} more", self.also.len() - MAX_NAMED)?;
        }
        Ok(())
    }
}
