//! Limits on what a process holds for its peers.

#[cfg(test)]
mod tests;

/// Memory that is charged for each request until its answer is written. It covers heads,
/// bodies and answers of up to [`ORDINARY_BODY_BYTES`], and the state of the request.
pub const ORDINARY_REQUEST_BYTES: u64 = 64 * 1024;
/// Longest body of a request or an answer that is not charged separately.
pub const ORDINARY_BODY_BYTES: u64 = 32 * 1024;

/// The account gets the memory of the process divided by this. The rest is for the program
/// itself, its connections, and what the allocator cannot use.
const ACCOUNT_DIVISOR: u64 = 2;
/// Ordinary requests get the account divided by this for themselves.
const ORDINARY_DIVISOR: u64 = 8;
/// Recorded answers of non-idempotent calls get the account divided by this.
const RECORDED_DIVISOR: u64 = 8;
/// Callers' connections and links each get this share of the sockets.
const TRAFFIC_SOCKETS_PERCENT: usize = 37;
/// Callers' connections and links each get the memory of the process divided by this, each
/// endpoint for status a quarter of that.
const CONNECTIONS_DIVISOR: u64 = 8;
/// Memory of an open connection, with the buffer that it reads into.
const CONNECTION_BYTES: u64 = 16 * 1024;
/// Each endpoint for status gets this share of the sockets, but at least
/// [`MIN_STATUS_CONNECTIONS`].
const STATUS_SOCKETS_PERCENT: usize = 3;
const MIN_STATUS_CONNECTIONS: usize = 4;

/// A listener of a node.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Listener {
    /// Requests of callers.
    Callers,
    /// Links of other nodes.
    Links,
    /// The readiness endpoint.
    Readiness,
    /// The metrics endpoint.
    Metrics,
}

/// Limits on what a process holds for its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory for requests, answers and their bodies, in bytes.
    pub account_bytes: u64,
    /// The part of `account_bytes` that only ordinary requests use.
    pub ordinary_bytes: u64,
    /// Open connections of callers.
    pub caller_connections: usize,
    /// Open links of other nodes.
    pub link_connections: usize,
    /// Open connections of each endpoint for status.
    pub status_connections: usize,
}

impl ResourceLimits {
    /// Derives the limits from the memory and the number of sockets that a process may use.
    #[must_use]
    pub fn of_process(memory_bytes: u64, sockets: usize) -> Self {
        let by_memory = memory_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let by_memory = usize::try_from(by_memory).unwrap_or(usize::MAX);
        let traffic = percent_of(sockets, TRAFFIC_SOCKETS_PERCENT);
        let traffic = traffic.min(by_memory).max(1);
        let status = percent_of(sockets, STATUS_SOCKETS_PERCENT).min(by_memory / 4);
        Self {
            caller_connections: traffic,
            link_connections: traffic,
            status_connections: status.max(MIN_STATUS_CONNECTIONS),
            ..Self::of_account(memory_bytes / ACCOUNT_DIVISOR)
        }
    }

    /// Limits for an account of this size, without limits on connections.
    #[must_use]
    pub const fn of_account(account_bytes: u64) -> Self {
        Self {
            account_bytes,
            ordinary_bytes: account_bytes / ORDINARY_DIVISOR,
            caller_connections: usize::MAX,
            link_connections: usize::MAX,
            status_connections: usize::MAX,
        }
    }

    /// Returns how many bytes of answers a gate keeps for entries that lose their link.
    #[must_use]
    pub const fn recorded_bytes(&self) -> u64 {
        self.account_bytes / RECORDED_DIVISOR
    }

    /// Returns how many connections of a listener may be open at once.
    #[must_use]
    pub const fn connections(&self, listener: Listener) -> usize {
        match listener {
            Listener::Callers => self.caller_connections,
            Listener::Links => self.link_connections,
            Listener::Readiness | Listener::Metrics => self.status_connections,
        }
    }
}

const fn percent_of(count: usize, percent: usize) -> usize {
    count.saturating_mul(percent) / 100
}
