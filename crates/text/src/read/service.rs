//! Reads one service or `defaults`.

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use super::call;
use crate::draft::{Located, Numbers, ServiceDraft};
use crate::keys::{Key, ServiceKey};
use crate::limits::MAX_DEPENDENCIES;
use crate::name::NameKind;
use crate::reader::Reader;
use crate::setting::{Group, Setting};

/// Reads the values that a service sets. Faulty values are reported and treated
/// as not set.
pub(crate) fn read<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    value: &'v Value<'v>,
) -> ServiceDraft<'v> {
    let mut draft = ServiceDraft::default();
    let Some(object) = reader.object(value) else {
        return draft;
    };
    for (key, prop) in reader.entries(object, &ServiceKey::all()) {
        reader.at_key(key.name(), |reader| {
            read_key(reader, key, &prop.value, &mut draft);
        });
    }
    draft
}

fn read_key<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    key: ServiceKey,
    value: &'v Value<'v>,
    draft: &mut ServiceDraft<'v>,
) {
    match key {
        ServiceKey::DependsOn => {
            draft.depends_on = reader
                .names(value, NameKind::Service, MAX_DEPENDENCIES)
                .map(|names| Located {
                    value: names,
                    offset: value.start(),
                });
        }
        ServiceKey::Calls => draft.calls = call::read_all(reader, value),
        ServiceKey::Number(setting) => number(reader, setting, value, &mut draft.numbers),
        ServiceKey::Group(group) => numbers_of_group(reader, group, value, &mut draft.numbers),
    }
}

fn numbers_of_group<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    group: Group,
    value: &'v Value<'v>,
    numbers: &mut Numbers,
) {
    let Some(object) = reader.object(value) else {
        return;
    };
    for (setting, prop) in reader.entries(object, &Setting::in_group(group)) {
        reader.at_key(setting.key(), |reader| {
            number(reader, setting, &prop.value, numbers);
        });
    }
}

fn number<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    setting: Setting,
    value: &'v Value<'v>,
    numbers: &mut Numbers,
) {
    if let Some(found) = reader.number(value, setting.range()) {
        numbers.set(setting, found);
    }
}
