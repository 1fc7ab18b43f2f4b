//! Sizes that bound a text and the work of checking it.

/// Largest text in bytes; the platform holds values up to a megabyte.
pub const MAX_TEXT_BYTES: usize = 1_048_576;
/// From this size in bytes on, a text is close enough to the largest to warn.
pub(crate) const LARGE_TEXT_BYTES: usize = 900_000;
/// Levels of nesting; a text as documented has seven.
pub(crate) const MAX_NESTING: usize = 32;
/// Services of one text.
pub(crate) const MAX_SERVICES: usize = 4_096;
/// Services that one service may depend on.
pub(crate) const MAX_DEPENDENCIES: usize = 256;
/// Calls that one service may name.
pub(crate) const MAX_CALLS: usize = 256;
/// Dependencies and calls of all services together.
///
/// A list in `defaults` is copied to each service that inherits it. Without a
/// bound on the copies, a few kilobytes of text could fill a node's memory.
pub(crate) const MAX_RESOLVED_ENTRIES: usize = 200_000;
/// Routes of one text.
pub(crate) const MAX_ROUTES: usize = 4_096;
/// Services to which one route may be split.
pub(crate) const MAX_DESTINATIONS: usize = 64;
/// Characters of a host, as DNS allows them.
pub(crate) const MAX_HOST_CHARS: usize = 253;
/// Tenants of one text; each has histograms of its own.
pub(crate) const MAX_TENANTS: usize = 256;
/// Data centres of one text.
pub(crate) const MAX_DATA_CENTRES: usize = 256;
/// Listed distances of one text.
pub(crate) const MAX_DISTANCES: usize = 4_096;
/// Characters of a name.
pub(crate) const MAX_NAME_CHARS: usize = 63;
/// Characters of a call's path prefix.
pub(crate) const MAX_PATH_CHARS: usize = 256;
/// Characters of an HTTP method.
pub(crate) const MAX_METHOD_CHARS: usize = 16;
/// Faults and warnings that are kept; the rest is only counted.
///
/// A megabyte of unknown keys would otherwise cost far more memory and time
/// than the text itself, on every node that reads it.
pub(crate) const MAX_REPORTED: usize = 1_000;
/// Names written out when a long cycle is described.
pub(crate) const MAX_CYCLE_NAMES: usize = 16;
/// Calls may be this many services deep before a warning.
pub(crate) const MAX_DEPTH: usize = 8;
/// Characters of the text that a message quotes.
pub(crate) const MAX_QUOTED_CHARS: usize = 64;
