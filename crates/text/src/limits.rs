//! Limits on the size of a text and on the cost of checking it.

/// Maximum size of a text in bytes. The platform stores values of up to 1 MiB.
pub const MAX_TEXT_BYTES: usize = 1_048_576;
/// Size in bytes from which a text causes a warning that it nears the maximum.
pub(crate) const LARGE_TEXT_BYTES: usize = 900_000;
/// Maximum nesting depth. Texts that use all documented keys have seven levels.
pub(crate) const MAX_NESTING: usize = 32;
/// Maximum number of services in a text.
pub(crate) const MAX_SERVICES: usize = 4_096;
/// Maximum number of dependencies of a service.
pub(crate) const MAX_DEPENDENCIES: usize = 256;
/// Maximum number of named calls of a service.
pub(crate) const MAX_CALLS: usize = 256;
/// Maximum number of dependencies and calls of all services together.
///
/// A list in `defaults` is copied to each service that inherits it. Without a
/// limit on the copies, a few kilobytes of text could fill a node's memory.
pub(crate) const MAX_RESOLVED_ENTRIES: usize = 200_000;
/// Maximum number of routes in a text.
pub(crate) const MAX_ROUTES: usize = 4_096;
/// Maximum number of destinations of a route.
pub(crate) const MAX_DESTINATIONS: usize = 64;
/// Maximum length of a host name, which is the limit of DNS.
pub(crate) const MAX_HOST_CHARS: usize = 253;
/// Maximum number of tenants in a text. Each tenant has its own histograms.
pub(crate) const MAX_TENANTS: usize = 256;
/// Maximum number of data centres in a text.
pub(crate) const MAX_DATA_CENTRES: usize = 256;
/// Maximum number of listed distances in a text.
pub(crate) const MAX_DISTANCES: usize = 4_096;
/// Maximum length of a name in characters.
pub(crate) const MAX_NAME_CHARS: usize = 63;
/// Maximum length of a path prefix in characters.
pub(crate) const MAX_PATH_CHARS: usize = 256;
/// Maximum length of an HTTP method in characters.
pub(crate) const MAX_METHOD_CHARS: usize = 16;
/// Maximum number of faults and of warnings in a report. Further faults are only
/// counted.
///
/// Without the limit, a megabyte of unknown keys would cost every node that
/// reads it far more memory and time than the text itself.
pub(crate) const MAX_REPORTED: usize = 1_000;
/// Maximum number of names in the description of a dependency cycle.
pub(crate) const MAX_CYCLE_NAMES: usize = 16;
/// Longest chain of dependent services that causes no warning.
pub(crate) const MAX_DEPTH: usize = 8;
/// Maximum number of characters that a message quotes from the text.
pub(crate) const MAX_QUOTED_CHARS: usize = 64;
