//! Warnings about values that are allowed but probably not intended.

use std::fmt;

use hornbeamhitch_types::policy::CallClass;
use serde::{Serialize, Serializer};
use strum::IntoStaticStr;
use thiserror::Error;

use crate::fault::KeyPath;
use crate::position::Position;

/// One warning about a text. A text with warnings is accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Warning {
    /// Position in the text.
    pub position: Position,
    /// Path of the value.
    pub path: KeyPath,
    /// Kind of the warning.
    pub kind: WarningKind,
}

/// The kind of a warning.
#[derive(Clone, Debug, PartialEq, Error, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum WarningKind {
    /// The deadline of a dependency exceeds that of the service that calls it.
    #[error(
        "calls of {dependency} may take {dependency_ms} ms, longer than the {caller_ms} ms of \
         calls of {caller}, which wait for them"
    )]
    DependencyDeadline {
        /// The calling service.
        caller: String,
        /// Longest deadline of the calling service, in milliseconds.
        caller_ms: u64,
        /// The service that it depends on.
        dependency: String,
        /// Longest deadline of the dependency, in milliseconds.
        dependency_ms: u64,
    },
    /// Tickets can expire while their call is still running.
    #[error(
        "a ticket is valid for {ticket_ttl_ms} ms, but the call may take {deadline_ms} ms; its \
         outcome may be forgotten before the caller can ask"
    )]
    TicketExpiresEarly {
        /// How long tickets are valid, in milliseconds.
        ticket_ttl_ms: u64,
        /// The call's deadline in milliseconds.
        deadline_ms: u64,
    },
    /// A call that moves money is marked idempotent, so it may run twice.
    #[error("{method} of class {class} is marked idempotent: it may run more than once")]
    IdempotentPayment {
        /// The call's method.
        method: String,
        /// The call's class.
        class: CallClass,
    },
    /// A gate may open fewer connections than its target has slots.
    #[error("{connections} connections cannot fill {slots} slots; each call needs a connection")]
    ConnectionsBelowSlots {
        /// Connections that a gate may open.
        connections: u32,
        /// Calls that one target runs concurrently.
        slots: u32,
    },
    /// A dependency chain is longer than those the system has been measured with.
    #[error("calls of {service} may go {depth} services deep; up to {limit} are expected")]
    DeepDependencies {
        /// The first service of the chain.
        service: String,
        /// Number of services in the chain.
        depth: usize,
        /// Expected maximum number of services in a chain.
        limit: usize,
    },
    /// The text is close to the platform's size limit.
    #[error("the text is {size_bytes} bytes long; at most {limit_bytes} are accepted")]
    LargeText {
        /// Size of the text in bytes.
        size_bytes: usize,
        /// Maximum size in bytes.
        limit_bytes: usize,
    },
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}{}", self.position, self.path, self.kind)
    }
}

/// The serialised form of a [`Warning`].
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
