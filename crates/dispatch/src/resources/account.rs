//! The account of the memory that a process holds for its peers.

use super::limits::{ORDINARY_REQUEST_BYTES, ResourceLimits};

#[cfg(test)]
mod tests;

/// A part of the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// The part for everything.
    General,
    /// The part that only ordinary requests use.
    Ordinary,
}

/// Bytes that are held, and how many may be.
#[derive(Clone, Debug)]
pub struct Account {
    general: Balance,
    ordinary: Balance,
}

#[derive(Clone, Copy, Debug, Default)]
struct Balance {
    held_bytes: u64,
    max_bytes: u64,
}

impl Balance {
    const fn try_hold(&mut self, bytes: u64) -> bool {
        if bytes > self.max_bytes.saturating_sub(self.held_bytes) {
            return false;
        }
        self.held_bytes += bytes;
        true
    }
}

impl Account {
    /// Creates an account that holds nothing.
    #[must_use]
    pub fn new(limits: &ResourceLimits) -> Self {
        let balance = |max_bytes| Balance {
            held_bytes: 0,
            max_bytes,
        };
        Self {
            general: balance(limits.account_bytes.saturating_sub(limits.ordinary_bytes)),
            ordinary: balance(limits.ordinary_bytes),
        }
    }

    /// Returns how many bytes are held.
    #[must_use]
    pub const fn held_bytes(&self) -> u64 {
        self.general.held_bytes + self.ordinary.held_bytes
    }

    /// Whether a long body of this length fits while nothing else is held.
    #[must_use]
    pub const fn may_ever_hold(&self, bytes: u64) -> bool {
        bytes <= self.general.max_bytes
    }

    /// Holds the memory of one request, from the share of ordinary requests if that has room.
    /// Returns the share that was charged, or `None` without room.
    pub const fn hold_request(&mut self) -> Option<Share> {
        if self.ordinary.try_hold(ORDINARY_REQUEST_BYTES) {
            return Some(Share::Ordinary);
        }
        if self.general.try_hold(ORDINARY_REQUEST_BYTES) {
            return Some(Share::General);
        }
        None
    }

    /// Holds the memory of a long body; returns false without room.
    pub const fn hold_body(&mut self, bytes: u64) -> bool {
        self.general.try_hold(bytes)
    }

    /// Gives memory back to the share that was charged.
    pub fn release(&mut self, share: Share, bytes: u64) {
        let balance = match share {
            Share::General => &mut self.general,
            Share::Ordinary => &mut self.ordinary,
        };
        let left = balance.held_bytes.checked_sub(bytes);
        balance.held_bytes = left.expect("no more is released than was held");
    }
}
