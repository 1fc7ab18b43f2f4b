//! Reads the named calls of a service.

use std::collections::HashMap;

use hornbeamhitch_types::policy::CallClass;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use strum::VariantArray;

use super::report_missing;
use crate::draft::{CallDraft, Located};
use crate::fault::{FaultKind, class_names};
use crate::keys::{CallEntryKey, Key};
use crate::limits::{MAX_CALLS, MAX_METHOD_CHARS, MAX_PATH_CHARS};
use crate::name::{NameKind, shortened};
use crate::nearest::nearest;
use crate::reader::Reader;
use crate::setting::Setting;

/// Matches any HTTP method.
pub(crate) const ANY_METHOD: &str = "*";

/// The parsed `match` of a call.
#[derive(Clone, Copy)]
struct Pattern<'v> {
    method: &'v str,
    path_prefix: &'v str,
    offset: usize,
}

/// Reads a list of calls. Faulty calls are reported and left out.
pub(crate) fn read_all<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    value: &'v Value<'v>,
) -> Option<Located<Vec<CallDraft<'v>>>> {
    let array = reader.array(value, MAX_CALLS)?;
    let mut seen_names = HashMap::new();
    let mut seen_matches = HashMap::new();
    let mut calls = Vec::new();
    for (index, element) in array.elements.iter().enumerate() {
        let Some(call) = reader.at_index(index, |reader| read(reader, element)) else {
            continue;
        };
        let pattern = format!("{} {}", call.method, call.path_prefix);
        let entry = Located {
            value: pattern.as_str(),
            offset: call.match_offset,
        };
        if reader.report_if_repeated(&mut seen_names, call.name) {
            continue;
        }
        if reader.report_if_repeated(&mut seen_matches, entry) {
            continue;
        }
        calls.push(call);
    }
    Some(Located {
        value: calls,
        offset: value.start(),
    })
}

fn read<'v>(reader: &mut Reader<'_, '_, '_, 'v>, value: &'v Value<'v>) -> Option<CallDraft<'v>> {
    let object = reader.object(value)?;
    let mut name = None;
    let mut matched = None;
    let mut idempotent = None;
    let mut class = None;
    let mut deadline_ms = None;
    for (key, prop) in reader.entries(object, CallEntryKey::VARIANTS) {
        let value = &prop.value;
        reader.at_key(key.name(), |reader| match key {
            CallEntryKey::Name => name = reader.name(value, NameKind::Call),
            CallEntryKey::Match => matched = read_match(reader, value),
            CallEntryKey::Idempotent => idempotent = reader.boolean(value),
            CallEntryKey::Class => class = read_class(reader, value),
            CallEntryKey::DeadlineMs => {
                deadline_ms = reader.number(value, Setting::DeadlineMs.range());
            }
        });
    }
    report_missing(reader, object, &[CallEntryKey::Name, CallEntryKey::Match]);
    let matched: Pattern<'v> = matched?;
    Some(CallDraft {
        name: name?,
        method: matched.method,
        path_prefix: matched.path_prefix,
        match_offset: matched.offset,
        idempotent,
        class,
        deadline_ms,
    })
}

fn read_match<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    value: &'v Value<'v>,
) -> Option<Pattern<'v>> {
    let written = reader.string(value)?;
    let split = written.value.split_once(' ');
    if let Some((method, path_prefix)) = split
        && is_method(method)
        && is_path_prefix(path_prefix)
    {
        return Some(Pattern {
            method,
            path_prefix,
            offset: written.offset,
        });
    }
    reader.fault(written.offset, || FaultKind::InvalidMatch {
        pattern: shortened(written.value),
    });
    None
}

fn is_method(method: &str) -> bool {
    if method == ANY_METHOD {
        return true;
    }
    let fits = (1..=MAX_METHOD_CHARS).contains(&method.len());
    fits && method.bytes().all(|b| b.is_ascii_uppercase())
}

pub(super) fn is_path_prefix(path: &str) -> bool {
    if !path.starts_with('/') || path.len() > MAX_PATH_CHARS {
        return false;
    }
    path.bytes()
        .all(|b| b.is_ascii_graphic() && !matches!(b, b'?' | b'#' | b'"' | b'\\'))
}

fn read_class<'v>(
    reader: &mut Reader<'_, '_, '_, 'v>,
    value: &'v Value<'v>,
) -> Option<Located<CallClass>> {
    let written = reader.string(value)?;
    if let Ok(class) = written.value.parse() {
        return Some(Located {
            value: class,
            offset: written.offset,
        });
    }
    reader.fault(written.offset, || FaultKind::UnknownClass {
        class: shortened(written.value),
        nearest: nearest(written.value, class_names()),
    });
    None
}
