//! Reads a document key by key and collects all faults.
//!
//! `serde` alone stops at the first fault and reports no position. The reader
//! therefore walks the parsed tree, and `serde` only deserialises single
//! values.

use std::collections::BTreeMap;

use hornbeamhitch_text::SYNTAX;
use jsonc_parser::ast::{Array, Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;
use jsonc_parser::{CollectOptions, parse_to_ast, parse_to_serde_value};
use serde_with::DeserializeAs;
use serde_with::de::DeserializeAsWrap;

use super::fault::{Fault, FaultKind, SettingsFaults};
use super::nearest::nearest;
use super::units::Allowed;

/// Longer values are truncated in faults.
const MAX_DISPLAYED_CHARS: usize = 60;

/// A parsed settings file with its text.
pub(super) struct Document<'a> {
    text: &'a str,
    value: Option<Value<'a>>,
}

impl<'a> Document<'a> {
    /// Parses the text. A syntax error is returned as the only fault.
    pub(super) fn parse(text: &'a str) -> Result<Self, SettingsFaults> {
        match parse_to_ast(text, &CollectOptions::default(), &SYNTAX) {
            Ok(parsed) => Ok(Self {
                text,
                value: parsed.value,
            }),
            Err(error) => Err(SettingsFaults::new(vec![syntax_fault(text, &error)])),
        }
    }

    /// Returns the outermost object.
    pub(super) fn root(&self) -> Result<Section<'_>, SettingsFaults> {
        match &self.value {
            Some(Value::Object(object)) => Ok(Section::new(self.text, String::new(), object)),
            other => {
                let start = other.as_ref().map_or(0, |value| value.range().start);
                let fault = Fault {
                    kind: FaultKind::Value,
                    key: String::new(),
                    problem: "the settings are not an object".to_owned(),
                    allowed: "one object, { ... }".to_owned(),
                    ..fault_at(self.text, start)
                };
                Err(SettingsFaults::new(vec![fault]))
            }
        }
    }

    /// Creates a conflict fault at the value of a top-level key, which must
    /// exist.
    pub(super) fn clash(&self, key: &str, problem: String, allowed: &str) -> Fault {
        let mut start = 0;
        if let Some(Value::Object(object)) = &self.value
            && let Some(prop) = find(object, key)
        {
            start = prop.value.range().start;
        }
        Fault {
            kind: FaultKind::Clash,
            key: key.to_owned(),
            problem,
            allowed: allowed.to_owned(),
            ..fault_at(self.text, start)
        }
    }
}

/// One object of the document while it is read.
pub(super) struct Section<'a> {
    text: &'a str,
    path: String,
    object: Option<&'a Object<'a>>,
    known: Vec<&'static str>,
    faults: Vec<Fault>,
}

impl<'a> Section<'a> {
    fn new(text: &'a str, path: String, object: &'a Object<'a>) -> Self {
        Self {
            text,
            path,
            object: Some(object),
            known: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Reads a key that has no default.
    pub(super) fn required<T, A>(&mut self, key: &'static str) -> Option<T>
    where
        A: for<'de> DeserializeAs<'de, T> + Allowed,
    {
        if self.lookup(key).is_some() {
            return self.optional::<T, A>(key);
        }
        self.known.push(key);
        let start = self.object.map_or(0, |object| object.range.start);
        self.faults.push(Fault {
            kind: FaultKind::Missing,
            key: self.path_of(key),
            problem: "is missing and has no default".to_owned(),
            allowed: A::allowed(),
            ..fault_at(self.text, start)
        });
        None
    }

    /// Reads an optional key; returns `None` if it is missing or faulty.
    pub(super) fn optional<T, A>(&mut self, key: &'static str) -> Option<T>
    where
        A: for<'de> DeserializeAs<'de, T> + Allowed,
    {
        self.known.push(key);
        let prop = self.lookup(key)?;
        self.value::<T, A>(&self.path_of(key), &prop.value)
    }

    /// Reads an optional key, which replaces the default if it is present.
    pub(super) fn replace<T, A>(&mut self, key: &'static str, default: &mut T)
    where
        A: for<'de> DeserializeAs<'de, T> + Allowed,
    {
        if let Some(value) = self.optional::<T, A>(key) {
            *default = value;
        }
    }

    /// Reads an array, which is empty by default. Each element can have a fault
    /// of its own.
    pub(super) fn list<T, A>(&mut self, key: &'static str) -> Vec<T>
    where
        A: for<'de> DeserializeAs<'de, T> + Allowed,
    {
        self.known.push(key);
        let mut read = Vec::new();
        let Some(prop) = self.lookup(key) else {
            return read;
        };
        let Some(array) = self.expect_array(key, &prop.value) else {
            return read;
        };
        for (index, element) in array.elements.iter().enumerate() {
            let path = format!("{}[{index}]", self.path_of(key));
            if let Some(value) = self.value::<T, A>(&path, element) {
                read.push(value);
            }
        }
        read
    }

    /// Reads an object with arbitrary keys, which is empty by default.
    pub(super) fn map<T, A>(&mut self, key: &'static str) -> BTreeMap<String, T>
    where
        A: for<'de> DeserializeAs<'de, T> + Allowed,
    {
        self.known.push(key);
        let mut read = BTreeMap::new();
        let Some(prop) = self.lookup(key) else {
            return read;
        };
        let Some(object) = self.expect_object(key, &prop.value) else {
            return read;
        };
        for entry in &object.properties {
            let path = format!("{}.{}", self.path_of(key), entry.name.as_str());
            if let Some(value) = self.value::<T, A>(&path, &entry.value) {
                read.insert(entry.name.as_str().to_owned(), value);
            }
        }
        self.report_repeated(&self.path_of(key), object);
        read
    }

    /// Reads a nested object; a missing one is read as empty.
    pub(super) fn section<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut Section<'_>) -> T,
    ) -> T {
        self.known.push(key);
        let mut nested = Section {
            text: self.text,
            path: self.path_of(key),
            object: None,
            known: Vec::new(),
            faults: Vec::new(),
        };
        if let Some(prop) = self.lookup(key) {
            nested.object = self.expect_object(key, &prop.value);
        }
        let value = read(&mut nested);
        self.faults.extend(nested.finish());
        value
    }

    /// Adds faults for unknown and repeated keys and returns all faults.
    pub(super) fn finish(mut self) -> Vec<Fault> {
        let Some(object) = self.object else {
            return self.faults;
        };
        for prop in &object.properties {
            let key = prop.name.as_str();
            if self.known.contains(&key) {
                continue;
            }
            let fault = self.unknown_key(key, prop);
            self.faults.push(fault);
        }
        self.report_repeated(&self.path.clone(), object);
        self.faults
    }

    fn unknown_key(&self, key: &str, prop: &ObjectProp<'_>) -> Fault {
        let (problem, allowed) = match nearest(key, &self.known) {
            Some(meant) => {
                let meant = self.path_of(meant);
                (
                    format!("is not a setting, did you mean {meant}?"),
                    String::new(),
                )
            }
            None => ("is not a setting".to_owned(), self.known.join(", ")),
        };
        Fault {
            kind: FaultKind::Unknown,
            key: self.path_of(&sanitized(key)),
            problem,
            allowed,
            ..fault_at(self.text, prop.range.start)
        }
    }

    /// Reports repeated keys. The parser keeps both of two equal keys, and the
    /// reader would silently use the first, so a line appended by an operator
    /// would have no effect.
    fn report_repeated(&mut self, path: &str, object: &Object<'_>) {
        for (index, prop) in object.properties.iter().enumerate() {
            let key = prop.name.as_str();
            let earlier = &object.properties[..index];
            if !earlier.iter().any(|other| other.name.as_str() == key) {
                continue;
            }
            self.faults.push(Fault {
                kind: FaultKind::Repeated,
                key: join(path, &sanitized(key)),
                problem: "appears twice".to_owned(),
                allowed: "each key once".to_owned(),
                ..fault_at(self.text, prop.range.start)
            });
        }
    }

    fn value<T, A>(&mut self, path: &str, value: &Value<'_>) -> Option<T>
    where
        A: for<'de> DeserializeAs<'de, T> + Allowed,
    {
        let source = value.text(self.text);
        let read = parse_to_serde_value::<DeserializeAsWrap<T, A>>(source, &SYNTAX);
        if let Ok(read) = read {
            return Some(read.into_inner());
        }
        self.refuse(path, value, A::allowed());
        None
    }

    fn expect_array<'v>(&mut self, key: &str, value: &'v Value<'v>) -> Option<&'v Array<'v>> {
        let array = value.as_array();
        if array.is_none() {
            self.refuse(&self.path_of(key), value, "an array, [ ... ]".to_owned());
        }
        array
    }

    fn expect_object<'v>(&mut self, key: &str, value: &'v Value<'v>) -> Option<&'v Object<'v>> {
        let object = value.as_object();
        if object.is_none() {
            self.refuse(&self.path_of(key), value, "an object, { ... }".to_owned());
        }
        object
    }

    fn refuse(&mut self, path: &str, value: &Value<'_>, allowed: String) {
        self.faults.push(Fault {
            kind: FaultKind::Value,
            key: sanitized(path),
            problem: format!("{} is not allowed", sanitized(value.text(self.text))),
            allowed,
            ..fault_at(self.text, value.range().start)
        });
    }

    fn lookup(&self, key: &str) -> Option<&'a ObjectProp<'a>> {
        find(self.object?, key)
    }

    fn path_of(&self, key: &str) -> String {
        join(&self.path, key)
    }
}

fn find<'a>(object: &'a Object<'a>, key: &str) -> Option<&'a ObjectProp<'a>> {
    object
        .properties
        .iter()
        .find(|prop| prop.name.as_str() == key)
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

/// Formats a value or key for a fault: on one line, without control characters,
/// so that a hostile file cannot forge further faults, and truncated.
fn sanitized(source: &str) -> String {
    let mut line = String::new();
    for (index, c) in source.chars().enumerate() {
        if index == MAX_DISPLAYED_CHARS {
            line.push_str("...");
            break;
        }
        line.push(if c.is_control() { ' ' } else { c });
    }
    line
}

fn syntax_fault(text: &str, error: &ParseError) -> Fault {
    Fault {
        kind: FaultKind::Syntax,
        key: String::new(),
        problem: error.kind().to_string(),
        allowed: "JSON, with // and /* */ comments and trailing commas".to_owned(),
        ..fault_at(text, error.range().start)
    }
}

/// Creates a fault without a message at a byte position of the text.
fn fault_at(text: &str, start: usize) -> Fault {
    let before = text.get(..start).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    Fault {
        kind: FaultKind::Value,
        key: String::new(),
        problem: String::new(),
        allowed: String::new(),
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
    }
}
