//! Reads the whole text into a draft.

mod call;
mod route;
mod service;

use std::collections::HashMap;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use strum::VariantArray;

pub(crate) use call::ANY_METHOD;

use crate::draft::{DistanceDraft, Located, NamedService, TextDraft};
use crate::fault::{FaultKind, KeyPath};
use crate::keys::{DistanceKey, Key, TextKey};
use crate::limits::{MAX_DATA_CENTRES, MAX_DISTANCES, MAX_SERVICES, MAX_TENANTS};
use crate::name::{NameKind, shortened};
use crate::nearest::nearest;
use crate::reader::Reader;
use crate::report::Report;
use crate::setting::Range;

/// Range of one-way latencies between data centres, in milliseconds.
const DISTANCE_MS: Range = Range::fraction(0.0, 10_000.0);

/// Reads the text from its root value.
pub(crate) fn text<'v>(root: &'v Value<'v>, report: &mut Report<'_, '_>) -> TextDraft<'v> {
    let mut draft = TextDraft::default();
    let mut reader = Reader::new(report);
    let Some(object) = reader.object(root) else {
        return draft;
    };
    for (key, prop) in reader.entries(object, TextKey::VARIANTS) {
        reader.at_key(key.name(), |reader| read_key(reader, key, prop, &mut draft));
    }
    report_missing(
        &mut reader,
        object,
        &[TextKey::Deployment, TextKey::Services],
    );
    check_distances(&draft, report);
    route::check_destinations(&draft, report);
    draft
}

fn read_key<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    key: TextKey,
    prop: &'v ObjectProp<'v>,
    draft: &mut TextDraft<'v>,
) {
    let value = &prop.value;
    match key {
        TextKey::Deployment => {
            if let Some(name) = reader.name(value, NameKind::Deployment) {
                draft.deployment = name.value;
            }
        }
        TextKey::DataCentres => {
            let names = reader.names(value, NameKind::DataCentre, MAX_DATA_CENTRES);
            draft.data_centres = names.unwrap_or_default();
        }
        TextKey::DefaultDistanceMs => {
            let distance = reader.number(value, DISTANCE_MS);
            draft.default_distance_ms = distance.map(|found| found.value);
        }
        TextKey::Distances => draft.distances = distances(reader, value),
        TextKey::Tenants => {
            let names = reader.names(value, NameKind::Tenant, MAX_TENANTS);
            draft.tenants = names.unwrap_or_default();
        }
        TextKey::Defaults => draft.defaults = service::read(reader, value),
        TextKey::Services => draft.services = services(reader, value),
        TextKey::Routes => draft.routes = route::read_all(reader, value),
    }
}

/// Reports required keys that are missing in an object.
pub(crate) fn report_missing<K: Key>(
    reader: &mut Reader<'_, '_, '_, '_>,
    object: &Object<'_>,
    required: &[K],
) {
    for key in required {
        if object.get(key.name()).is_some() {
            continue;
        }
        reader.fault(object.start(), || FaultKind::MissingKey { key: key.name() });
    }
}

fn services<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    value: &'v Value<'v>,
) -> Vec<NamedService<'v>> {
    let mut services = Vec::new();
    let Some(object) = reader.object(value) else {
        return services;
    };
    let count = object.properties.len();
    if count == 0 {
        reader.fault(object.start(), || FaultKind::NoServices);
    }
    if count > MAX_SERVICES {
        reader.fault(object.start(), || FaultKind::TooMany {
            count,
            limit: MAX_SERVICES,
        });
        return services;
    }
    for prop in reader.distinct(object) {
        let name = Located {
            value: prop.name.as_str(),
            offset: prop.start(),
        };
        reader.check_name(name, NameKind::Service);
        let draft = reader.at_key(name.value, |reader| service::read(reader, &prop.value));
        services.push(NamedService { name, draft });
    }
    services
}

fn distances<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    value: &'v Value<'v>,
) -> Vec<DistanceDraft<'v>> {
    let mut distances = Vec::new();
    let mut seen = HashMap::new();
    let Some(array) = reader.array(value, MAX_DISTANCES) else {
        return distances;
    };
    for (index, element) in array.elements.iter().enumerate() {
        let Some(found) = reader.at_index(index, |reader| distance(reader, element)) else {
            continue;
        };
        let (low, high) = ordered(found.from.value, found.to.value);
        let pair = format!("{low} and {high}");
        let entry = Located {
            value: pair.as_str(),
            offset: element.start(),
        };
        if reader.report_if_repeated(&mut seen, entry) {
            continue;
        }
        distances.push(found);
    }
    distances
}

fn distance<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    value: &'v Value<'v>,
) -> Option<DistanceDraft<'v>> {
    let object = reader.object(value)?;
    let mut from = None;
    let mut to = None;
    let mut one_way_ms = None;
    for (key, prop) in reader.entries(object, DistanceKey::VARIANTS) {
        reader.at_key(key.name(), |reader| match key {
            DistanceKey::From => from = reader.name(&prop.value, NameKind::DataCentre),
            DistanceKey::To => to = reader.name(&prop.value, NameKind::DataCentre),
            DistanceKey::OneWayMs => one_way_ms = reader.number(&prop.value, DISTANCE_MS),
        });
    }
    report_missing(reader, object, DistanceKey::VARIANTS);
    Some(DistanceDraft {
        from: from?,
        to: to?,
        one_way_ms: one_way_ms?.value,
    })
}

/// Returns two data centres in alphabetical order. A distance applies in both
/// directions, so each pair is stored in one order only.
pub(crate) fn ordered<'v>(one: &'v str, other: &'v str) -> (&'v str, &'v str) {
    if one <= other {
        (one, other)
    } else {
        (other, one)
    }
}

fn check_distances(draft: &TextDraft<'_>, report: &mut Report<'_, '_>) {
    let known: Vec<&str> = draft.data_centres.iter().map(|name| name.value).collect();
    for (index, distance) in draft.distances.iter().enumerate() {
        for end in [distance.from, distance.to] {
            if known.contains(&end.value) {
                continue;
            }
            report.fault(end.offset, || {
                let kind = FaultKind::UnknownDataCentre {
                    data_centre: shortened(end.value),
                    nearest: nearest(end.value, known.iter().copied()).map(str::to_owned),
                };
                (KeyPath(format!("distances[{index}]")), kind)
            });
        }
    }
}
