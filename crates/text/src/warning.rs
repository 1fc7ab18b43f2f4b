//! What is allowed in a text but probably not meant.

use std::fmt;

use hornbeamhitch_types::policy::CallClass;
use serde::{Serialize, Serializer};
use strum::IntoStaticStr;
use thiserror::Error;

use crate::fault::KeyPath;
use crate::position::Position;

/// One warning; a text with warnings is accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Warning {
    /// Where it stands.
    pub position: Position,
    /// The keys that lead there.
    pub path: KeyPath,
    /// What is doubtful.
    pub kind: WarningKind,
}

/// What is doubtful.
#[derive(Clone, Debug, PartialEq, Error, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum WarningKind {
    /// A dependency may take longer than the call that waits for it.
    #[error(
        "calls of {dependency} may take {dependency_ms} ms, longer than the {caller_ms} ms of \
         calls of {caller}, which wait for them"
    )]
    DependencyDeadline {
        /// The service that waits.
        caller: String,
        /// Its longest deadline in milliseconds.
        caller_ms: u64,
        /// The service it depends on.
        dependency: String,
        /// That one's longest deadline in milliseconds.
        dependency_ms: u64,
    },
    /// A ticket that expires while its call may still run.
    #[error(
        "a ticket is valid for {ticket_ttl_ms} ms, but the call may take {deadline_ms} ms; its \
         outcome may be forgotten before the caller can ask"
    )]
    TicketExpiresEarly {
        /// How long tickets are valid in milliseconds.
        ticket_ttl_ms: u64,
        /// The call's deadline in milliseconds.
        deadline_ms: u64,
    },
    /// A call that moves money and may be run twice.
    #[error("{method} of class {class} is marked idempotent: it may run more than once")]
    IdempotentPayment {
        /// The call's method.
        method: String,
        /// The call's class.
        class: CallClass,
    },
    /// Fewer connections than slots.
    #[error("{connections} connections cannot fill {slots} slots; each call needs a connection")]
    ConnectionsBelowSlots {
        /// Connections that a gate may hold.
        connections: u32,
        /// Calls that one target runs at the same time.
        slots: u32,
    },
    /// A chain of dependencies that is deeper than the system is measured for.
    #[error("calls of {service} may go {depth} services deep; up to {limit} are expected")]
    DeepDependencies {
        /// The first service of the chain.
        service: String,
        /// Services in the chain.
        depth: usize,
        /// Services expected.
        limit: usize,
    },
    /// The text nears the platform's limit.
    #[error("the text is {size_bytes} bytes long; at most {limit_bytes} are accepted")]
    LargeText {
        /// Size of the text in bytes.
        size_bytes: usize,
        /// Largest size in bytes.
        limit_bytes: usize,
    },
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}{}", self.position, self.path, self.kind)
    }
}

/// The same as the text of a [`Warning`], in fields.
#[derive(Serialize)]
struct WarningRecord<'a> {
    line: u32,
    column: u32,
    place: &'a KeyPath,
    kind: &'static str,
    reason: String,
}

impl Serialize for Warning {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let record = WarningRecord {
            line: self.position.line,
            column: self.position.column,
            place: &self.path,
            kind: (&self.kind).into(),
            reason: self.kind.to_string(),
        };
        record.serialize(serializer)
    }
}
