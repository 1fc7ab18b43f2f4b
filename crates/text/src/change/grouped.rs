//! Groups equal changes of several services.

use std::collections::HashMap;
use std::fmt;

use super::Change;
use crate::prelude::*;

/// How many services are named after the first one.
const MAX_NAMED: usize = 8;

/// A change and the other services that change in the same way.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupedChange<'a> {
    /// The change of the first service.
    pub change: &'a Change,
    /// The other services, in order.
    pub others: Vec<&'a ServiceName>,
}

/// Groups equal changes of numeric settings at the position of the first one.
///
/// An edit of the text's defaults can change hundreds of services in the same
/// way. A list of all of them would hide an unintended change.
#[must_use]
pub fn grouped(changes: &[Change]) -> Vec<GroupedChange<'_>> {
    let mut groups: Vec<GroupedChange<'_>> = Vec::new();
    let mut group_indices: HashMap<(Setting, u64, u64), usize> = HashMap::new();
    for change in changes {
        let Change::Setting {
            service,
            setting,
            old,
            new,
        } = change
        else {
            groups.push(single(change));
            continue;
        };
        let key = (*setting, old.to_bits(), new.to_bits());
        if let Some(index) = group_indices.get(&key) {
            groups[*index].others.push(service);
            continue;
        }
        group_indices.insert(key, groups.len());
        groups.push(single(change));
    }
    groups
}

fn single(change: &Change) -> GroupedChange<'_> {
    GroupedChange {
        change,
        others: Vec::new(),
    }
}

impl fmt::Display for GroupedChange<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.change.fmt(f)?;
        if self.others.is_empty() {
            return Ok(());
        }
        f.write_str("; the same for ")?;
        for (index, service) in self.others.iter().take(MAX_NAMED).enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{service}")?;
        }
        if self.others.len() > MAX_NAMED {
            write!(f, " and {} more", self.others.len() - MAX_NAMED)?;
        }
        Ok(())
    }
}
