//! Reads values from the syntax tree and reports those that are invalid.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use jsonc_parser::ast::{Array, NumberLit, Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;

use crate::draft::Located;
use crate::fault::{Expected, FaultKind, JsonType, KeyPath};
use crate::keys::Key;
use crate::name::{NameKind, shortened};
use crate::nearest::nearest;
use crate::report::Report;
use crate::setting::Range;

/// One step of the path from the root to a value.
#[derive(Clone, Copy)]
enum Step<'v> {
    Key(&'v str),
    Index(usize),
}

/// Reads values and keeps track of the path to the current one.
pub(crate) struct Reader<'r, 'i, 't, 'v> {
    report: &'r mut Report<'i, 't>,
    path: Vec<Step<'v>>,
}

impl<'r, 'i, 't, 'v> Reader<'r, 'i, 't, 'v> {
    pub(crate) fn new(report: &'r mut Report<'i, 't>) -> Self {
        Self {
            report,
            path: Vec::new(),
        }
    }

    /// Reads the value of a key.
    pub(crate) fn at_key<T>(&mut self, key: &'v str, read: impl FnOnce(&mut Self) -> T) -> T {
        self.path.push(Step::Key(key));
        let result = read(self);
        self.path.pop();
        result
    }

    /// Reads the element at an index of an array.
    pub(crate) fn at_index<T>(&mut self, index: usize, read: impl FnOnce(&mut Self) -> T) -> T {
        self.path.push(Step::Index(index));
        let result = read(self);
        self.path.pop();
        result
    }

    /// Reports a fault at the current path.
    pub(crate) fn fault(&mut self, offset: usize, kind: impl FnOnce() -> FaultKind) {
        let path = &self.path;
        self.report.fault(offset, || (key_path(path), kind()));
    }

    pub(crate) fn line(&self, offset: usize) -> u32 {
        self.report.lines().line(offset)
    }

    /// Returns the properties of an object with known keys. Reports unknown and
    /// repeated keys.
    pub(crate) fn entries<K: Key>(
        &mut self,
        object: &'v Object<'_>,
        known: &[K],
    ) -> Vec<(K, &'v ObjectProp<'v>)> {
        let mut entries = Vec::new();
        for prop in self.distinct(object) {
            let written = prop.name.as_str();
            if let Some(key) = known.iter().find(|key| key.name() == written) {
                entries.push((*key, prop));
                continue;
            }
            self.fault(prop.start(), || unknown_key(written, known));
        }
        entries
    }

    /// Returns the properties of an object, the first one of each key. Reports
    /// repeated keys.
    pub(crate) fn distinct(&mut self, object: &'v Object<'_>) -> Vec<&'v ObjectProp<'v>> {
        let mut first_offsets: HashMap<&str, usize> = HashMap::new();
        let mut properties = Vec::new();
        for prop in &object.properties {
            match first_offsets.entry(prop.name.as_str()) {
                Entry::Vacant(vacant) => {
                    vacant.insert(prop.start());
                    properties.push(prop);
                }
                Entry::Occupied(first) => {
                    let first_line = self.line(*first.get());
                    self.fault(prop.start(), || FaultKind::DuplicateKey {
                        key: shortened(prop.name.as_str()),
                        first_line,
                    });
                }
            }
        }
        properties
    }

    pub(crate) fn object(&mut self, value: &'v Value<'v>) -> Option<&'v Object<'v>> {
        let Value::Object(object) = value else {
            return self.wrong_type(value, Expected::Type(JsonType::Object));
        };
        Some(object)
    }

    /// Reads an array with at most `limit` elements.
    pub(crate) fn array(&mut self, value: &'v Value<'v>, limit: usize) -> Option<&'v Array<'v>> {
        let Value::Array(array) = value else {
            return self.wrong_type(value, Expected::Type(JsonType::Array));
        };
        let count = array.elements.len();
        if count > limit {
            self.fault(value.start(), || FaultKind::TooMany { count, limit });
            return None;
        }
        Some(array)
    }

    pub(crate) fn string(&mut self, value: &'v Value<'v>) -> Option<Located<&'v str>> {
        let Value::StringLit(string) = value else {
            return self.wrong_type(value, Expected::Type(JsonType::String));
        };
        Some(Located {
            value: string.value.as_ref(),
            offset: value.start(),
        })
    }

    pub(crate) fn boolean(&mut self, value: &'v Value<'v>) -> Option<Located<bool>> {
        let Value::BooleanLit(boolean) = value else {
            return self.wrong_type(value, Expected::Type(JsonType::Boolean));
        };
        Some(Located {
            value: boolean.value,
            offset: value.start(),
        })
    }

    /// Reads a number and checks its range.
    pub(crate) fn number(&mut self, value: &'v Value<'v>, range: Range) -> Option<Located<f64>> {
        let Value::NumberLit(literal) = value else {
            return self.wrong_type(value, Expected::Number(range));
        };
        match parse_number(literal) {
            Some(number) if range.contains(number) => Some(Located {
                value: number,
                offset: value.start(),
            }),
            _ => {
                self.fault(value.start(), || FaultKind::OutOfRange {
                    written: shortened(literal.value),
                    range,
                });
                None
            }
        }
    }

    /// Reads a string that is a valid name.
    pub(crate) fn name(
        &mut self,
        value: &'v Value<'v>,
        kind: NameKind,
    ) -> Option<Located<&'v str>> {
        let name = self.string(value)?;
        self.check_name(name, kind).then_some(name)
    }

    /// Reports an invalid name. Returns whether the name is valid.
    pub(crate) fn check_name(&mut self, name: Located<&'v str>, kind: NameKind) -> bool {
        if kind.accepts(name.value) {
            return true;
        }
        self.fault(name.offset, || FaultKind::InvalidName {
            kind,
            name: shortened(name.value),
        });
        false
    }

    /// Reads an array of names. Reports invalid and repeated names and leaves them
    /// out.
    pub(crate) fn names(
        &mut self,
        value: &'v Value<'v>,
        kind: NameKind,
        limit: usize,
    ) -> Option<Vec<Located<&'v str>>> {
        let array = self.array(value, limit)?;
        let mut seen = HashMap::new();
        let mut names = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let Some(name) = self.at_index(index, |reader| reader.name(element, kind)) else {
                continue;
            };
            if self.report_if_repeated(&mut seen, name) {
                continue;
            }
            names.push(name);
        }
        Some(names)
    }

    /// Reports an entry that is already in `seen`, and adds others to it. Returns
    /// whether the entry is repeated.
    pub(crate) fn report_if_repeated(
        &mut self,
        seen: &mut HashMap<String, usize>,
        entry: Located<&str>,
    ) -> bool {
        let Some(first_offset) = seen.get(entry.value) else {
            seen.insert(entry.value.to_owned(), entry.offset);
            return false;
        };
        let first_line = self.line(*first_offset);
        self.fault(entry.offset, || FaultKind::DuplicateEntry {
            name: shortened(entry.value),
            first_line,
        });
        true
    }

    fn wrong_type<T>(&mut self, value: &Value<'_>, expected: Expected) -> Option<T> {
        self.fault(value.start(), || FaultKind::WrongType {
            found: type_of(value),
            expected,
        });
        None
    }
}

/// Parses a numeric literal. A literal too large for a double becomes infinite,
/// which is outside every range.
fn parse_number(literal: &NumberLit<'_>) -> Option<f64> {
    let number: f64 = literal.value.parse().ok()?;
    // Adding zero turns -0 into 0, which would otherwise be displayed as "-0".
    Some(number + 0.0)
}

fn unknown_key<K: Key>(written: &str, known: &[K]) -> FaultKind {
    let names: Vec<&'static str> = known.iter().map(|key| key.name()).collect();
    FaultKind::UnknownKey {
        key: shortened(written),
        nearest: nearest(written, names.iter().copied()),
        known: names,
    }
}

fn type_of(value: &Value<'_>) -> JsonType {
    match value {
        Value::StringLit(_) => JsonType::String,
        Value::NumberLit(_) => JsonType::Number,
        Value::BooleanLit(_) => JsonType::Boolean,
        Value::Object(_) => JsonType::Object,
        Value::Array(_) => JsonType::Array,
        Value::NullKeyword(_) => JsonType::Null,
    }
}

fn key_path(path: &[Step<'_>]) -> KeyPath {
    let mut written = String::new();
    for step in path {
        match step {
            Step::Key(key) => {
                if !written.is_empty() {
                    written.push('.');
                }
                written.push_str(&shortened(key).escape_debug().to_string());
            }
            Step::Index(index) => {
                written.push_str(&format!("[{index}]"));
            }
        }
    }
    KeyPath(written)
}
