//! Compares two checked texts.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use hornbeamhitch_dispatch::routing::routes::{CallKind, Route};
use strum::VariantArray;

use crate::change::{CallChange, Change, pattern};
use crate::checked::{CheckedText, HostRoute};
use crate::prelude::*;

/// Returns the differences between two texts: those of the deployment first, then
/// those of each service, then those of the routes.
#[must_use]
pub fn diff(old: &CheckedText, new: &CheckedText) -> Vec<Change> {
    let mut changes = Vec::new();
    let callers = callers(old);
    diff_deployment(old, new, &mut changes);
    for (before, after) in merge_sorted(&old.services, &new.services, service_order) {
        match (before, after) {
            (Some(before), Some(after)) => diff_service(before, after, &mut changes),
            (Some(before), None) => changes.push(service_removed(before, &callers, new)),
            (None, Some(after)) => changes.push(Change::ServiceAdded {
                service: after.service.clone(),
                depends_on: after.depends_on.clone(),
            }),
            (None, None) => {}
        }
    }
    diff_routes(old, new, &mut changes);
    changes
}

fn diff_routes(old: &CheckedText, new: &CheckedText, changes: &mut Vec<Change>) {
    let order =
        |a: &HostRoute, b: &HostRoute| (&a.host, &a.route.prefix).cmp(&(&b.host, &b.route.prefix));
    for pair in merge_sorted(&old.routes, &new.routes, order) {
        match pair {
            (Some(before), Some(after)) => diff_route(before, after, changes),
            (Some(before), None) => changes.push(Change::RouteRemoved {
                route: before.clone(),
            }),
            (None, Some(after)) => changes.push(Change::RouteAdded {
                route: after.clone(),
            }),
            (None, None) => {}
        }
    }
}

fn is_download(route: &Route) -> bool {
    route.kind == CallKind::Download
}

fn diff_route(before: &HostRoute, after: &HostRoute, changes: &mut Vec<Change>) {
    let values = |host_route: &HostRoute| {
        let route = &host_route.route;
        [
            ("name", route.name.clone()),
            ("to", host_route.destinations()),
            ("idempotent", route.kind.is_idempotent().to_string()),
            ("download", is_download(route).to_string()),
            ("timeout_ms", route.timeout_ms.0.to_string()),
            ("objective_ms", route.objective_ms.0.to_string()),
            ("attempts", route.max_attempts.to_string()),
            ("priority", route.priority.to_string()),
        ]
    };
    for ((field, old), (_, new)) in values(before).into_iter().zip(values(after)) {
        if old == new {
            continue;
        }
        changes.push(Change::Route {
            under: after.host_and_prefix(),
            field,
            old,
            new,
        });
    }
}

fn service_order(a: &ServicePolicy, b: &ServicePolicy) -> Ordering {
    a.service.cmp(&b.service)
}

type Callers<'a> = BTreeMap<&'a ServiceName, Vec<&'a ServiceName>>;

/// Returns, for each service, the services that depend on it.
fn callers(text: &CheckedText) -> Callers<'_> {
    let mut callers = Callers::new();
    for service in &text.services {
        for dependency in &service.depends_on {
            callers
                .entry(dependency)
                .or_default()
                .push(&service.service);
        }
    }
    callers
}

fn service_removed(service: &ServicePolicy, callers: &Callers<'_>, new: &CheckedText) -> Change {
    let mut former_callers = Vec::new();
    for caller in callers.get(&service.service).into_iter().flatten() {
        if new.service(caller.as_str()).is_none() {
            continue;
        }
        former_callers.push((*caller).clone());
    }
    Change::ServiceRemoved {
        service: service.service.clone(),
        former_callers,
    }
}

fn diff_deployment(old: &CheckedText, new: &CheckedText, changes: &mut Vec<Change>) {
    let (before, after) = (&old.deployment, &new.deployment);
    if before.deployment != after.deployment {
        changes.push(Change::Deployment {
            old: before.deployment.clone(),
            new: after.deployment.clone(),
        });
    }
    for pair in merge_sorted(&old.data_centres, &new.data_centres, Ord::cmp) {
        match pair {
            (Some(name), None) => changes.push(Change::DataCentreRemoved {
                data_centre: name.clone(),
            }),
            (None, Some(name)) => changes.push(Change::DataCentreAdded {
                data_centre: name.clone(),
            }),
            _ => {}
        }
    }
    for pair in merge_sorted(&before.tenants, &after.tenants, Ord::cmp) {
        match pair {
            (Some(name), None) => changes.push(Change::TenantRemoved {
                tenant: name.clone(),
            }),
            (None, Some(name)) => changes.push(Change::TenantAdded {
                tenant: name.clone(),
            }),
            _ => {}
        }
    }
    diff_distances(before, after, changes);
}

fn diff_distances(before: &DeploymentPolicy, after: &DeploymentPolicy, changes: &mut Vec<Change>) {
    let (old_default, new_default) = (before.default_distance_us, after.default_distance_us);
    if old_default != new_default {
        changes.push(Change::DefaultDistance {
            old_us: old_default,
            new_us: new_default,
        });
    }
    for (old, new) in merge_sorted(&before.distances, &after.distances, distance_order) {
        let old_us = old.map_or(old_default, |distance| distance.one_way_us);
        let new_us = new.map_or(new_default, |distance| distance.one_way_us);
        let Some(ends) = old.or(new) else {
            continue;
        };
        if old_us == new_us {
            continue;
        }
        changes.push(Change::Distance {
            from: ends.from.clone(),
            to: ends.to.clone(),
            old_us,
            new_us,
        });
    }
}

fn distance_order(a: &Distance, b: &Distance) -> Ordering {
    (&a.from, &a.to).cmp(&(&b.from, &b.to))
}

fn diff_service(before: &ServicePolicy, after: &ServicePolicy, changes: &mut Vec<Change>) {
    let service = &after.service;
    for pair in merge_sorted(&before.depends_on, &after.depends_on, Ord::cmp) {
        match pair {
            (Some(dependency), None) => changes.push(Change::DependencyRemoved {
                service: service.clone(),
                dependency: dependency.clone(),
            }),
            (None, Some(dependency)) => changes.push(Change::DependencyAdded {
                service: service.clone(),
                dependency: dependency.clone(),
            }),
            _ => {}
        }
    }
    for setting in Setting::VARIANTS {
        let (old, new) = (setting.value_in(before), setting.value_in(after));
        if old == new {
            continue;
        }
        changes.push(Change::Setting {
            service: service.clone(),
            setting: *setting,
            old,
            new,
        });
    }
    diff_calls(before, after, changes);
    diff_idempotence(before, after, changes);
}

fn diff_calls(before: &ServicePolicy, after: &ServicePolicy, changes: &mut Vec<Change>) {
    let old_calls = by_name(&before.calls);
    let new_calls = by_name(&after.calls);
    let service = &after.service;
    for (name, call) in &old_calls {
        if new_calls.contains_key(name) {
            continue;
        }
        changes.push(Change::CallRemoved {
            service: service.clone(),
            call: (*call).clone(),
        });
    }
    for (name, call) in &new_calls {
        let Some(old_call) = old_calls.get(name) else {
            changes.push(Change::CallAdded {
                service: service.clone(),
                call: (*call).clone(),
            });
            continue;
        };
        for change in diff_call(old_call, call) {
            changes.push(Change::Call {
                service: service.clone(),
                call: call.name.clone(),
                change,
            });
        }
    }
}

fn by_name(calls: &[CallPolicy]) -> BTreeMap<&str, &CallPolicy> {
    let mut named = BTreeMap::new();
    for call in calls {
        named.insert(call.name.as_str(), call);
    }
    named
}

/// Compares whether calls are idempotent, for each match in either text.
///
/// If an entry is removed or its match changes, another entry or the HTTP method
/// determines whether its previous calls are idempotent. A comparison of the
/// entries alone would not show that a payment may now run twice.
fn diff_idempotence(before: &ServicePolicy, after: &ServicePolicy, changes: &mut Vec<Change>) {
    let mut calls = BTreeMap::new();
    for call in before.calls.iter().chain(&after.calls) {
        calls.insert(pattern(call), call);
    }
    for (pattern, call) in calls {
        let new = is_idempotent(after, call);
        if is_idempotent(before, call) == new {
            continue;
        }
        changes.push(Change::Idempotence {
            service: after.service.clone(),
            calls: pattern,
            new,
        });
    }
}

/// Returns whether a policy treats the calls that a named call matches as
/// idempotent.
///
/// If the call matches any method, `POST` is used, the method for which running
/// a call twice does the most harm.
fn is_idempotent(policy: &ServicePolicy, call: &CallPolicy) -> bool {
    let method = match call.method.as_str() {
        crate::read::ANY_METHOD => "POST",
        method => method,
    };
    policy.is_idempotent(method, &call.path_prefix)
}

fn diff_call(old: &CallPolicy, new: &CallPolicy) -> Vec<CallChange> {
    let mut changes = Vec::new();
    if pattern(old) != pattern(new) {
        changes.push(CallChange::Match {
            old: pattern(old),
            new: pattern(new),
        });
    }
    if old.idempotent != new.idempotent {
        changes.push(CallChange::Idempotent {
            new: new.idempotent,
        });
    }
    if old.class != new.class {
        changes.push(CallChange::Class {
            old: old.class,
            new: new.class,
        });
    }
    if old.deadline_ms != new.deadline_ms {
        changes.push(CallChange::DeadlineMs {
            old: old.deadline_ms,
            new: new.deadline_ms,
        });
    }
    changes
}

/// Merges two sorted lists into pairs. Entries that compare equal form one pair.
fn merge_sorted<'a, T>(
    old: &'a [T],
    new: &'a [T],
    order: impl Fn(&T, &T) -> Ordering,
) -> Vec<(Option<&'a T>, Option<&'a T>)> {
    let mut pairs = Vec::new();
    let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
    loop {
        let next = match (old.peek(), new.peek()) {
            (Some(before), Some(after)) => order(before, after),
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (None, None) => return pairs,
        };
        let before = if next.is_le() { old.next() } else { None };
        let after = if next.is_ge() { new.next() } else { None };
        pairs.push((before, after));
    }
}
