//! Decides which connection is closed when a limit is reached.

use std::collections::BTreeMap;

use super::limits::{Listener, ResourceLimits};
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Rate below which a peer counts as slow while it sends a request or reads an answer.
const SLOW_BYTES_PER_S: u64 = 100_000;
/// Time after which it is known whether a peer is slow.
const SLOW_AFTER_MS: Millis = Millis(1_000);
/// Silence after which a connection with open calls may be closed for a new one.
const ABANDONED_AFTER_MS: Millis = Millis(30_000);

/// Identifies an open connection. Ids are not used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(u64);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No request is open, so closing the connection loses nothing.
    Idle,
    /// A request is arriving.
    Sending,
    /// A request is being served.
    Served,
    /// An answer is being written.
    Reading,
}

/// State of an open connection.
#[derive(Clone, Copy, Debug)]
struct Peer {
    listener: Listener,
    activity: Activity,
    /// When the activity began.
    since: Millis,
    /// Number of bytes that the peer has sent or read in this activity.
    moved_bytes: u64,
    /// Memory that closing the connection releases.
    held_bytes: u64,
    /// Whether the connection was told to close.
    is_closing: bool,
}

impl Peer {
    /// Whether the peer sends or reads too slowly to hold memory that others need.
    const fn is_slow(&self, now: Millis) -> bool {
        if !matches!(self.activity, Activity::Sending | Activity::Reading) {
            return false;
        }
        let age_ms = now.since(self.since).0;
        age_ms >= SLOW_AFTER_MS.0
            && self.moved_bytes.saturating_mul(1_000) < SLOW_BYTES_PER_S.saturating_mul(age_ms)
    }

    /// Rank among the connections that may be closed for a new one: the least harmful is the
    /// lowest. `None` if the connection stays open.
    fn rank(&self, now: Millis) -> Option<u8> {
        match self.activity {
            Activity::Idle => Some(0),
            Activity::Sending | Activity::Reading => self.is_slow(now).then_some(1),
            Activity::Served => (now.since(self.since) >= ABANDONED_AFTER_MS).then_some(2),
        }
    }
}

/// Result of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// The connection is open under this id.
    Open(PeerId),
    /// The connection is open under the first id, and the second one must be closed.
    Replaces(PeerId, PeerId),
    /// No connection can be closed for it.
    Full,
}

/// Whether memory becomes free by closing connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relief {
    /// This connection must be closed.
    Close(PeerId),
    /// A connection that was told to close still has its memory.
    Pending,
    /// No peer is slow.
    Nothing,
}

/// The open connections of a process.
#[derive(Clone, Debug)]
pub struct Peers {
    limits: ResourceLimits,
    peers: BTreeMap<PeerId, Peer>,
    last_id: u64,
}

impl Peers {
    /// Creates a table without connections.
    #[must_use]
    pub const fn new(limits: ResourceLimits) -> Self {
        Self {
            limits,
            peers: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Adds a connection. If its listener has as many as it may have, the connection that
    /// loses least by it is closed: one that has been idle for long before one that is slow.
    pub fn open(&mut self, listener: Listener, now: Millis) -> Opening {
        let mut open = 0;
        let mut least: Option<(u8, Millis, PeerId)> = None;
        for (id, peer) in &self.peers {
            if peer.listener != listener || peer.is_closing {
                continue;
            }
            open += 1;
            let Some(rank) = peer.rank(now) else {
                continue;
            };
            let candidate = (rank, peer.since, *id);
            least = Some(least.map_or(candidate, |least| least.min(candidate)));
        }
        if open < self.limits.connections(listener) {
            return Opening::Open(self.insert(listener, now));
        }
        let Some((_, _, replaced)) = least else {
            return Opening::Full;
        };
        self.mark_closing(replaced);
        Opening::Replaces(self.insert(listener, now), replaced)
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, id: PeerId) {
        self.peers.remove(&id);
    }

    /// Records that a connection does something else from now on.
    pub fn set_activity(&mut self, id: PeerId, activity: Activity, now: Millis) {
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        peer.activity = activity;
        peer.since = now;
        peer.moved_bytes = 0;
    }

    /// Records how many bytes the peer has sent or read in its activity.
    pub fn set_moved(&mut self, id: PeerId, bytes: u64) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.moved_bytes = bytes;
        }
    }

    /// Records that closing the connection would release this much more memory.
    pub fn add_held(&mut self, id: PeerId, bytes: u64) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.held_bytes += bytes;
        }
    }

    /// Records that closing the connection would release this much less memory.
    pub fn remove_held(&mut self, id: PeerId, bytes: u64) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.held_bytes = peer.held_bytes.saturating_sub(bytes);
        }
    }

    /// Returns the connection that is closed so that others find memory: of those that are
    /// slow, the one whose memory has been held for most, by its length and time. They are
    /// closed one after the other.
    pub fn relieve(&mut self, now: Millis) -> Relief {
        let mut slowest: Option<(u64, PeerId)> = None;
        for (id, peer) in &self.peers {
            if peer.held_bytes == 0 {
                continue;
            }
            if peer.is_closing {
                return Relief::Pending;
            }
            if !peer.is_slow(now) {
                continue;
            }
            let occupied = peer.held_bytes.saturating_mul(now.since(peer.since).0);
            if slowest.is_none_or(|(most, _)| occupied > most) {
                slowest = Some((occupied, *id));
            }
        }
        let Some((_, id)) = slowest else {
            return Relief::Nothing;
        };
        self.mark_closing(id);
        Relief::Close(id)
    }

    fn insert(&mut self, listener: Listener, now: Millis) -> PeerId {
        self.last_id += 1;
        let id = PeerId(self.last_id);
        let peer = Peer {
            listener,
            activity: Activity::Idle,
            since: now,
            moved_bytes: 0,
            held_bytes: 0,
            is_closing: false,
        };
        self.peers.insert(id, peer);
        id
    }

    fn mark_closing(&mut self, id: PeerId) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.is_closing = true;
        }
    }
}
