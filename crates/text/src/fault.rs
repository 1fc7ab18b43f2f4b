//! Faults of a text.

use std::fmt;

use hornbeamhitch_types::policy::CallClass;
use serde::{Serialize, Serializer};
use strum::{Display, IntoStaticStr, VariantArray};
use thiserror::Error;

use crate::limits::{MAX_NESTING, MAX_TEXT_BYTES};
use crate::name::{NameKind, quoted};
use crate::position::Position;
use crate::setting::Range;

/// The JSON type of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum JsonType {
    /// `{}`
    #[strum(serialize = "an object")]
    Object,
    /// `[]`
    #[strum(serialize = "an array")]
    Array,
    /// `""`
    #[strum(serialize = "a string")]
    String,
    /// `0`
    #[strum(serialize = "a number")]
    Number,
    /// `true` or `false`
    #[strum(serialize = "true or false")]
    Boolean,
    /// `null`
    Null,
}

/// The values that are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Expected {
    /// Any value of a type.
    Type(JsonType),
    /// A number in a range.
    Number(Range),
}

impl fmt::Display for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Type(json_type) => json_type.fmt(f),
            Self::Number(range) => range.fmt(f),
        }
    }
}

/// One fault of a text. A text with faults is rejected as a whole.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{position}: {path}{kind}{}", allowed_suffix(kind))]
pub struct Fault {
    /// Position in the text.
    pub position: Position,
    /// Path of the faulty value.
    pub path: KeyPath,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// The path of keys that leads to a value, such as `services.cashier.slots`. It
/// is empty for the whole text.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct KeyPath(pub String);

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return Ok(());
        }
        write!(f, "{}: ", self.0)
    }
}

/// The kind of a fault.
#[derive(Clone, Debug, PartialEq, Error, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// The text is not valid JSON with comments.
    #[error("syntax error: {message}")]
    Syntax {
        /// The parser's error message.
        message: String,
    },
    /// The text is not UTF-8.
    #[error("the text is not UTF-8 from here on")]
    NotUtf8,
    /// The nesting exceeds the limit, which no valid text reaches.
    #[error("nested too deep")]
    TooDeep,
    /// The text is larger than the platform can store.
    #[error("the text is {size_bytes} bytes long")]
    TextTooLong {
        /// Size of the text in bytes.
        size_bytes: usize,
    },
    /// An object has a key that is not allowed there.
    #[error("unknown key {}{}", quoted(key), suggestion(nearest.as_deref()))]
    UnknownKey {
        /// The key.
        key: String,
        /// The most similar known key, if any is similar enough.
        nearest: Option<&'static str>,
        /// All known keys.
        known: Vec<&'static str>,
    },
    /// An object has the same key twice.
    #[error("duplicate key {}; it is first set on line {first_line}", quoted(key))]
    DuplicateKey {
        /// The key.
        key: String,
        /// Line of its first occurrence.
        first_line: u32,
    },
    /// A required key is missing.
    #[error("the key \"{key}\" is missing")]
    MissingKey {
        /// The key.
        key: &'static str,
    },
    /// A value has the wrong type.
    #[error("found {found}")]
    WrongType {
        /// The type in the text.
        found: JsonType,
        /// The allowed values.
        expected: Expected,
    },
    /// A number is outside its range, or has a fraction where a whole number is
    /// required.
    #[error("{written} is out of range")]
    OutOfRange {
        /// The number as written in the text, shortened.
        written: String,
        /// The allowed range.
        range: Range,
    },
    /// A name is empty, too long or has characters that are not allowed.
    #[error("{} is not a valid {kind} name", quoted(name))]
    InvalidName {
        /// The kind of name.
        kind: NameKind,
        /// The name, shortened.
        name: String,
    },
    /// A list has the same entry twice.
    #[error(
        "{} is listed twice; it first stands on line {first_line}",
        quoted(name)
    )]
    DuplicateEntry {
        /// The entry, shortened.
        name: String,
        /// Line of its first occurrence.
        first_line: u32,
    },
    /// A list or an object has more entries than allowed.
    #[error("{count} entries are too many")]
    TooMany {
        /// Number of entries in the text.
        count: usize,
        /// Maximum number of entries.
        limit: usize,
    },
    /// All services together have more dependencies and calls than allowed.
    #[error("all services together have {count} dependencies and calls, inherited ones included")]
    TooManyResolved {
        /// Number of dependencies and calls, including inherited ones.
        count: usize,
        /// Maximum number of dependencies and calls.
        limit: usize,
    },
    /// The text lists no service.
    #[error("no service is listed")]
    NoServices,
    /// A dependency is not a service of the text.
    #[error(
        "service {service} depends on {}, which is not a service of this text{}",
        quoted(dependency),
        suggestion(nearest.as_deref())
    )]
    UnknownDependency {
        /// The service, or `defaults`.
        service: String,
        /// The unknown dependency, shortened.
        dependency: String,
        /// The most similar service name, if any is similar enough.
        nearest: Option<String>,
    },
    /// Services form a dependency cycle.
    #[error("circular dependency: {cycle}")]
    CircularDependency {
        /// The services in order, such as `a -> b -> a`.
        cycle: String,
    },
    /// A call class does not exist.
    #[error("unknown class {}{}", quoted(class), suggestion(*nearest))]
    UnknownClass {
        /// The class, shortened.
        class: String,
        /// The most similar class, if any is similar enough.
        nearest: Option<&'static str>,
    },
    /// The match of a call is malformed.
    #[error("{} does not match calls", quoted(pattern))]
    InvalidMatch {
        /// The match, shortened.
        pattern: String,
    },
    /// A host is not a valid host name.
    #[error("{} is no host", quoted(host))]
    InvalidHost {
        /// The host, shortened.
        host: String,
    },
    /// A path prefix is malformed or does not end with `/`.
    #[error("{} is no prefix of paths", quoted(prefix))]
    InvalidPrefix {
        /// The prefix, shortened.
        prefix: String,
    },
    /// A destination of a route is not a service of the text.
    #[error(
        "route {route} leads to {}, which is not a service of this text{}",
        quoted(service),
        suggestion(nearest.as_deref())
    )]
    UnknownDestination {
        /// Name of the route.
        route: String,
        /// The unknown service, shortened.
        service: String,
        /// The most similar service name, if any is similar enough.
        nearest: Option<String>,
    },
    /// All destinations of a route have weight 0.
    #[error("route {route} leads nowhere")]
    NoDestination {
        /// Name of the route.
        route: String,
    },
    /// A route of downloads forbids that its requests are repeated.
    #[error("downloads are idempotent")]
    NonIdempotentDownload,
    /// A distance is from or to a data centre that the text does not list.
    #[error("unknown data centre {}{}", quoted(data_centre), suggestion(nearest.as_deref()))]
    UnknownDataCentre {
        /// The data centre, shortened.
        data_centre: String,
        /// The most similar data centre, if any is similar enough.
        nearest: Option<String>,
    },
    /// The time until the first trial call to an ejected target exceeds the maximum
    /// time between trial calls.
    #[error("base_ejection_ms {base_ms} is greater than max_ejection_ms {max_ms}")]
    EjectionOrder {
        /// Time until the first trial call, in milliseconds.
        base_ms: u64,
        /// Maximum time between trial calls, in milliseconds.
        max_ms: u64,
    },
}

impl FaultKind {
    /// Returns the name of the kind, for programs that process faults.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.into()
    }

    /// Describes what is allowed instead.
    #[must_use]
    pub fn allowed(&self) -> String {
        match self {
            Self::Syntax { .. } => "JSON with // and /* */ comments and trailing commas".to_owned(),
            Self::NotUtf8 => "text in UTF-8".to_owned(),
            Self::TooDeep => format!("at most {MAX_NESTING} levels"),
            Self::TextTooLong { .. } => format!("at most {MAX_TEXT_BYTES} bytes"),
            Self::UnknownKey { known, .. } => known.join(", "),
            Self::DuplicateKey { .. } => "each key once in an object".to_owned(),
            Self::MissingKey { key } => format!("\"{key}\" must be set"),
            Self::WrongType { expected, .. } => expected.to_string(),
            Self::OutOfRange { range, .. } => range.to_string(),
            Self::InvalidName { kind, .. } => kind.allowed().to_owned(),
            Self::DuplicateEntry { .. } => "each entry once".to_owned(),
            Self::TooMany { limit, .. } | Self::TooManyResolved { limit, .. } => {
                format!("at most {limit}")
            }
            Self::NoServices => "at least one service".to_owned(),
            Self::UnknownDependency { .. } => "names of services of this text".to_owned(),
            Self::CircularDependency { .. } => {
                "dependencies that never lead back to the same service".to_owned()
            }
            Self::UnknownClass { .. } => class_names().join(", "),
            Self::InvalidMatch { .. } => {
                "a method in capitals or *, one space, and a path of visible ASCII characters \
                 that begins with / and has no ? or #, such as \"POST /charge\""
                    .to_owned()
            }
            Self::InvalidHost { .. } => {
                "1 to 253 lower-case letters, digits, '-' and '.', without a port".to_owned()
            }
            Self::InvalidPrefix { .. } => {
                "a path of visible ASCII characters that begins and ends with / and has no ? or #"
                    .to_owned()
            }
            Self::UnknownDestination { .. } => "names of services of this text".to_owned(),
            Self::NoDestination { .. } => "at least one service with a weight above 0".to_owned(),
            Self::NonIdempotentDownload => "idempotent true, or none".to_owned(),
            Self::UnknownDataCentre { .. } => "names listed in data_centres".to_owned(),
            Self::EjectionOrder { .. } => "base_ejection_ms of at most max_ejection_ms".to_owned(),
        }
    }
}

/// Returns the names of all call classes.
pub(crate) fn class_names() -> Vec<&'static str> {
    let mut names = Vec::new();
    for class in CallClass::VARIANTS {
        names.push(class.into());
    }
    names
}

fn allowed_suffix(kind: &FaultKind) -> String {
    format!("; allowed: {}", kind.allowed())
}

pub(crate) fn suggestion(nearest: Option<&str>) -> String {
    match nearest {
        Some(name) => format!("; did you mean \"{name}\"?"),
        None => String::new(),
    }
}

/// The serialised form of a [`Fault`].
#[derive(Serialize)]
struct FaultRecord<'a> {
    line: u32,
    column: u32,
    place: &'a KeyPath,
    kind: &'static str,
    reason: String,
    allowed: String,
}

impl Serialize for Fault {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let record = FaultRecord {
            line: self.position.line,
            column: self.position.column,
            place: &self.path,
            kind: self.kind.name(),
            reason: self.kind.to_string(),
            allowed: self.kind.allowed(),
        };
        record.serialize(serializer)
    }
}

/// The faults of a text, ordered by position.
#[derive(Clone, Debug, PartialEq, Error, Serialize)]
pub struct Faults {
    /// The faults; never empty.
    pub faults: Vec<Fault>,
    /// Number of further faults that are not listed.
    pub omitted: usize,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        if self.omitted > 0 {
            write!(f, "\nand {} more faults", self.omitted)?;
        }
        Ok(())
    }
}
