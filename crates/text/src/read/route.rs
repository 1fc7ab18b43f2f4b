//! Reads the routes by host and path prefix.

use std::collections::HashMap;

use hornbeamhitch_dispatch::routing::routes::CallKind;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use strum::VariantArray;

use super::call::is_path_prefix;
use super::report_missing;
use crate::draft::{DestinationDraft, Located, RouteDraft, TextDraft};
use crate::fault::{FaultKind, KeyPath};
use crate::keys::{Key, RouteKey};
use crate::limits::{MAX_DESTINATIONS, MAX_HOST_CHARS, MAX_ROUTES};
use crate::name::{NameKind, shortened};
use crate::nearest::nearest;
use crate::reader::Reader;
use crate::report::Report;
use crate::setting::{Range, Setting};

/// Range of a destination's weight, which is relative to the other weights of
/// the route.
const WEIGHT: Range = Range::whole(0, 1_000_000);
/// Range of the number of targets to which one request may be sent.
const ATTEMPTS: Range = Range::whole(1, 16);
/// Range of the priorities of routes that share a target.
const PRIORITY: Range = Range::whole(0, 255);

/// By default, a request is tried at one more target after the first one.
const DEFAULT_ATTEMPTS: f64 = 2.0;
/// The default is the middle of the few priorities that are in common use.
const DEFAULT_PRIORITY: f64 = 1.0;

/// Reads the list of routes. Faulty routes are reported and left out.
pub(super) fn read_all<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    value: &'v Value<'v>,
) -> Vec<RouteDraft<'v>> {
    let mut routes = Vec::new();
    let Some(array) = reader.array(value, MAX_ROUTES) else {
        return routes;
    };
    let mut seen_names = HashMap::new();
    let mut seen_prefixes = HashMap::new();
    for (index, element) in array.elements.iter().enumerate() {
        let Some(route) = reader.at_index(index, |reader| read(reader, index, element)) else {
            continue;
        };
        let host_and_prefix = format!("{}{}", route.host.value, route.prefix.value);
        let entry = Located {
            value: host_and_prefix.as_str(),
            offset: route.prefix.offset,
        };
        if reader.report_if_repeated(&mut seen_names, route.name) {
            continue;
        }
        if reader.report_if_repeated(&mut seen_prefixes, entry) {
            continue;
        }
        routes.push(route);
    }
    routes
}

fn read<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    index: usize,
    value: &'v Value<'v>,
) -> Option<RouteDraft<'v>> {
    let object = reader.object(value)?;
    let (mut name, mut host, mut prefix, mut to) = (None, None, None, None);
    let (mut idempotent, mut download) = (None, None);
    let (mut timeout_ms, mut objective_ms) = (None, None);
    let (mut attempts, mut priority) = (None, None);
    let deadline = Setting::DeadlineMs.range();
    for (key, prop) in reader.entries(object, RouteKey::VARIANTS) {
        let value = &prop.value;
        reader.at_key(key.name(), |reader| match key {
            RouteKey::Name => name = reader.name(value, NameKind::Call),
            RouteKey::Host => host = read_host(reader, value),
            RouteKey::Prefix => prefix = read_prefix(reader, value),
            RouteKey::To => to = Some(destinations(reader, value)),
            RouteKey::Idempotent => idempotent = reader.boolean(value),
            RouteKey::Download => download = reader.boolean(value),
            RouteKey::TimeoutMs => timeout_ms = reader.number(value, deadline),
            RouteKey::ObjectiveMs => objective_ms = reader.number(value, deadline),
            RouteKey::Attempts => attempts = reader.number(value, ATTEMPTS),
            RouteKey::Priority => priority = reader.number(value, PRIORITY),
        });
    }
    let required = [
        RouteKey::Name,
        RouteKey::Host,
        RouteKey::Prefix,
        RouteKey::To,
    ];
    report_missing(reader, object, &required);
    let timeout_ms = timeout_ms.map_or(Setting::DeadlineMs.built_in(), |found| found.value);
    Some(RouteDraft {
        index,
        name: name?,
        host: host?,
        prefix: prefix?,
        to: to?,
        kind: kind(reader, idempotent, download),
        timeout_ms,
        objective_ms: objective_ms.map_or(timeout_ms, |found| found.value),
        attempts: attempts.map_or(DEFAULT_ATTEMPTS, |found| found.value),
        priority: priority.map_or(DEFAULT_PRIORITY, |found| found.value),
    })
}

/// Returns the kind of a route's calls. Routes are not idempotent by default, so that
/// requests are only repeated where the text allows it.
fn kind(
    reader: &mut Reader<'_, '_, '_, '_>,
    idempotent: Option<Located<bool>>,
    download: Option<Located<bool>>,
) -> CallKind {
    match (idempotent.map(|found| found.value), download) {
        (Some(false), Some(download)) if download.value => {
            reader.fault(download.offset, || FaultKind::NonIdempotentDownload);
            CallKind::NonIdempotent
        }
        (_, Some(download)) if download.value => CallKind::Download,
        (Some(true), _) => CallKind::Idempotent,
        _ => CallKind::NonIdempotent,
    }
}

fn destinations<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    value: &'v Value<'v>,
) -> Vec<DestinationDraft<'v>> {
    let mut destinations = Vec::new();
    let Some(object) = reader.object(value) else {
        return destinations;
    };
    let count = object.properties.len();
    if count > MAX_DESTINATIONS {
        let limit = MAX_DESTINATIONS;
        reader.fault(object.start(), || FaultKind::TooMany { count, limit });
        return destinations;
    }
    for prop in reader.distinct(object) {
        let service = Located {
            value: prop.name.as_str(),
            offset: prop.start(),
        };
        let weight = reader.at_key(service.value, |reader| reader.number(&prop.value, WEIGHT));
        let Some(weight) = weight.map(|found| found.value) else {
            continue;
        };
        destinations.push(DestinationDraft { service, weight });
    }
    destinations
}

fn read_host<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    value: &'v Value<'v>,
) -> Option<Located<&'v str>> {
    let written = reader.string(value)?;
    let fits = (1..=MAX_HOST_CHARS).contains(&written.value.len());
    let is_host = written
        .value
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'.'));
    if fits && is_host {
        return Some(written);
    }
    reader.fault(written.offset, || FaultKind::InvalidHost {
        host: shortened(written.value),
    });
    None
}

fn read_prefix<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    value: &'v Value<'v>,
) -> Option<Located<&'v str>> {
    let written = reader.string(value)?;
    if is_path_prefix(written.value) && written.value.ends_with('/') {
        return Some(written);
    }
    reader.fault(written.offset, || FaultKind::InvalidPrefix {
        prefix: shortened(written.value),
    });
    None
}

/// Reports routes to services that the text does not list, and routes whose
/// weights are all zero.
pub(super) fn check_destinations(draft: &TextDraft<'_>, report: &mut Report<'_, '_>) {
    let known: Vec<&str> = draft.services.iter().map(|one| one.name.value).collect();
    for route in &draft.routes {
        let path = KeyPath(format!("routes[{}].to", route.index));
        let name = route.name.value;
        if route.to.iter().all(|destination| destination.weight == 0.0) {
            report.fault(route.name.offset, || {
                let route = name.to_owned();
                (path.clone(), FaultKind::NoDestination { route })
            });
        }
        for destination in &route.to {
            let service = destination.service.value;
            if known.contains(&service) {
                continue;
            }
            report.fault(destination.service.offset, || {
                let kind = FaultKind::UnknownDestination {
                    route: name.to_owned(),
                    service: shortened(service),
                    nearest: nearest(service, known.iter().copied()).map(str::to_owned),
                };
                (path.clone(), kind)
            });
        }
    }
}
