//! What can be wrong with a text.

use std::fmt;

use hornbeamhitch_types::policy::CallClass;
use serde::{Serialize, Serializer};
use strum::{Display, IntoStaticStr, VariantArray};
use thiserror::Error;

use crate::limits::{MAX_NESTING, MAX_TEXT_BYTES};
use crate::name::{NameKind, quoted};
use crate::position::Position;
use crate::setting::Range;

/// The type of a value, in the words of JSON.
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

/// What a value should be.
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

/// One fault of a text; a text with faults is refused whole.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{position}: {path}{kind}{}", allowed_suffix(kind))]
pub struct Fault {
    /// Where it stands.
    pub position: Position,
    /// The keys that lead there.
    pub path: KeyPath,
    /// What is wrong.
    pub kind: FaultKind,
}

/// The keys that lead to a value, such as `services.cashier.slots`; empty for
/// the whole text.
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

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Error, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// Not JSON with comments.
    #[error("syntax error: {message}")]
    Syntax {
        /// The parser's reason.
        message: String,
    },
    /// Bytes that are not UTF-8.
    #[error("the text is not UTF-8 from here on")]
    NotUtf8,
    /// Brackets within brackets, more than any text needs.
    #[error("nested too deep")]
    TooDeep,
    /// The text is larger than the platform holds.
    #[error("the text is {size_bytes} bytes long")]
    TextTooLong {
        /// Size of the text in bytes.
        size_bytes: usize,
    },
    /// A key that no object of this kind has.
    #[error("unknown key {}{}", quoted(key), suggestion(nearest.as_deref()))]
    UnknownKey {
        /// The key.
        key: String,
        /// The known key that it resembles.
        nearest: Option<&'static str>,
        /// All known keys.
        known: Vec<&'static str>,
    },
    /// The same key twice in one object.
    #[error("duplicate key {}; it is first set on line {first_line}", quoted(key))]
    DuplicateKey {
        /// The key.
        key: String,
        /// Line of the first one.
        first_line: u32,
    },
    /// A required key is absent.
    #[error("the key \"{key}\" is missing")]
    MissingKey {
        /// The key.
        key: &'static str,
    },
    /// A value of another type.
    #[error("found {found}")]
    WrongType {
        /// The type in the text.
        found: JsonType,
        /// What is allowed.
        expected: Expected,
    },
    /// A number outside its range, or with a fraction where none is allowed.
    #[error("{written} is out of range")]
    OutOfRange {
        /// The number as written, shortened.
        written: String,
        /// What is allowed.
        range: Range,
    },
    /// A name with characters that are not allowed, empty or too long.
    #[error("{} is not a valid {kind} name", quoted(name))]
    InvalidName {
        /// What it should name.
        kind: NameKind,
        /// The name, shortened.
        name: String,
    },
    /// The same entry twice in one list.
    #[error(
        "{} is listed twice; it first stands on line {first_line}",
        quoted(name)
    )]
    DuplicateEntry {
        /// The entry, shortened.
        name: String,
        /// Line of the first one.
        first_line: u32,
    },
    /// More entries than a text may have.
    #[error("{count} entries are too many")]
    TooMany {
        /// Entries in the text.
        count: usize,
        /// Entries allowed.
        limit: usize,
    },
    /// More dependencies and calls than all services may have together.
    #[error("all services together have {count} dependencies and calls, inherited ones included")]
    TooManyResolved {
        /// Dependencies and calls after inheritance.
        count: usize,
        /// Those allowed.
        limit: usize,
    },
    /// The text lists no service.
    #[error("no service is listed")]
    NoServices,
    /// A dependency that is not a service of the text.
    #[error(
        "service {service} depends on {}, which is not a service of this text{}",
        quoted(dependency),
        suggestion(nearest.as_deref())
    )]
    UnknownDependency {
        /// The service, or `defaults`.
        service: String,
        /// What it depends on, shortened.
        dependency: String,
        /// The service that it resembles.
        nearest: Option<String>,
    },
    /// Services that depend on each other in a circle.
    #[error("circular dependency: {cycle}")]
    CircularDependency {
        /// The services in order, such as `a -> b -> a`.
        cycle: String,
    },
    /// A class that does not exist.
    #[error("unknown class {}{}", quoted(class), suggestion(*nearest))]
    UnknownClass {
        /// The class, shortened.
        class: String,
        /// The class that it resembles.
        nearest: Option<&'static str>,
    },
    /// A call's match that cannot be read.
    #[error("{} does not match calls", quoted(pattern))]
    InvalidMatch {
        /// The match, shortened.
        pattern: String,
    },
    /// A host that no request can name.
    #[error("{} is no host", quoted(host))]
    InvalidHost {
        /// The host, shortened.
        host: String,
    },
    /// A prefix that is no whole part of a path.
    #[error("{} is no prefix of paths", quoted(prefix))]
    InvalidPrefix {
        /// The prefix, shortened.
        prefix: String,
    },
    /// A route to a service that the text does not list.
    #[error(
        "route {route} leads to {}, which is not a service of this text{}",
        quoted(service),
        suggestion(nearest.as_deref())
    )]
    UnknownDestination {
        /// Name of the route.
        route: String,
        /// The service, shortened.
        service: String,
        /// The service that it resembles.
        nearest: Option<String>,
    },
    /// A route whose parts have no weight at all.
    #[error("route {route} leads nowhere")]
    NoDestination {
        /// Name of the route.
        route: String,
    },
    /// A distance from or to a data centre that the text does not list.
    #[error("unknown data centre {}{}", quoted(data_centre), suggestion(nearest.as_deref()))]
    UnknownDataCentre {
        /// The data centre, shortened.
        data_centre: String,
        /// The data centre that it resembles.
        nearest: Option<String>,
    },
    /// The first trial of an ejected target would come after the last.
    #[error("base_ejection_ms {base_ms} is greater than max_ejection_ms {max_ms}")]
    EjectionOrder {
        /// Time until the first trial in milliseconds.
        base_ms: u64,
        /// Longest time between trials in milliseconds.
        max_ms: u64,
    },
}

impl FaultKind {
    /// The name of the kind, for programs that read the faults.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.into()
    }

    /// What is allowed instead.
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
            Self::UnknownDataCentre { .. } => "names listed in data_centres".to_owned(),
            Self::EjectionOrder { .. } => "base_ejection_ms of at most max_ejection_ms".to_owned(),
        }
    }
}

/// Names of all classes.
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

/// The same as the text of a [`Fault`], in fields.
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

/// Every fault of a text, ordered by position, with its warnings.
#[derive(Clone, Debug, PartialEq, Error, Serialize)]
pub struct Faults {
    /// The faults; never empty.
    pub faults: Vec<Fault>,
    /// Faults beyond those listed.
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
