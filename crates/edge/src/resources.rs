//! The memory and the connections that this process holds for its peers.
//!
//! Memory is charged where bytes are received, and released where they leave: a body
//! carries its [`Charge`], and each slice of it keeps the charge. When no memory is left,
//! connections of slow peers are closed. The decisions are those of
//! [`hornbeamhitch_dispatch::resources`].

mod body;
mod registration;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamhitch_dispatch::resources::account::{Account, Share};
use hornbeamhitch_dispatch::resources::limits::{Listener, ORDINARY_REQUEST_BYTES, ResourceLimits};
use hornbeamhitch_dispatch::resources::peers::{Opening, PeerId, Peers, Relief};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::prelude::*;

#[cfg(test)]
mod tests;

pub use body::{ChargedBody, body_capacity};
pub use registration::Registration;

/// Interval at which whoever waits for memory looks for a slow peer to close. Memory that is
/// released is noticed at once.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// How long it takes at most until a connection that was told to close has released its
/// memory.
const RELIEF_TIMEOUT: Duration = Duration::from_millis(500);

/// How long to wait for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    /// While connections of slow peers are being closed for it, and not otherwise.
    Relief,
    /// As long as this, since a refusal would lose work that was done.
    Until(Duration),
}

/// What this process holds for its peers.
#[derive(Debug)]
pub struct Resources {
    clock: ProcessClock,
    limits: ResourceLimits,
    account: Mutex<Account>,
    /// Notified when memory is released.
    released: Notify,
    connections: Mutex<Connections>,
}

/// The open connections, and how each is told to close.
#[derive(Debug)]
struct Connections {
    peers: Peers,
    closing: BTreeMap<PeerId, Arc<Notify>>,
}

impl Connections {
    fn tell_to_close(&self, id: PeerId) {
        if let Some(closing) = self.closing.get(&id) {
            closing.notify_one();
        }
    }
}

impl Resources {
    /// Creates the account of a process that holds nothing.
    #[must_use]
    pub fn new(limits: ResourceLimits, clock: ProcessClock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            limits,
            account: Mutex::new(Account::new(&limits)),
            released: Notify::new(),
            connections: Mutex::new(Connections {
                peers: Peers::new(limits),
                closing: BTreeMap::new(),
            }),
        })
    }

    /// Returns the limits of the process.
    #[must_use]
    pub const fn limits(&self) -> &ResourceLimits {
        &self.limits
    }

    /// Registers a new connection. Returns `None` if the listener has as many as it may have
    /// and none of them can be closed for it.
    #[must_use]
    pub fn open(self: &Arc<Self>, listener: Listener) -> Option<Registration> {
        let mut connections = self.connections.lock();
        let id = match connections.peers.open(listener, self.clock.now()) {
            Opening::Open(id) => id,
            Opening::Replaces(id, replaced) => {
                connections.tell_to_close(replaced);
                id
            }
            Opening::Full => return None,
        };
        let closing = Arc::new(Notify::new());
        connections.closing.insert(id, Arc::clone(&closing));
        Some(Registration::new(Arc::clone(self), id, closing))
    }

    /// Holds the memory of one request. Returns `None` without room.
    #[must_use]
    pub fn try_hold_request(self: &Arc<Self>) -> Option<Charge> {
        let share = self.account.lock().hold_request()?;
        Some(self.charge(share, ORDINARY_REQUEST_BYTES))
    }

    /// Holds the memory of one request, if necessary in place of slow peers. Returns `None`
    /// without room.
    pub async fn hold_request(self: &Arc<Self>, patience: Patience) -> Option<Charge> {
        self.wait_for(patience, || self.try_hold_request()).await
    }

    /// Holds the memory of a long body, if necessary in place of slow peers. Returns `None`
    /// without room, and at once for a body that is longer than the account.
    pub async fn hold_body(self: &Arc<Self>, bytes: u64, patience: Patience) -> Option<Charge> {
        if !self.account.lock().may_ever_hold(bytes) {
            return None;
        }
        self.wait_for(patience, || self.try_hold_body(bytes)).await
    }

    /// Returns how many bytes are held.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.account.lock().held_bytes()
    }

    fn try_hold_body(self: &Arc<Self>, bytes: u64) -> Option<Charge> {
        let is_held = self.account.lock().hold_body(bytes);
        is_held.then(|| self.charge(Share::General, bytes))
    }

    /// Repeats an attempt until it succeeds or the patience ends, and closes slow peers
    /// meanwhile.
    async fn wait_for(
        &self,
        patience: Patience,
        attempt: impl Fn() -> Option<Charge>,
    ) -> Option<Charge> {
        let until = Instant::now()
            + match patience {
                Patience::Relief => RELIEF_TIMEOUT,
                Patience::Until(wait) => wait,
            };
        loop {
            let mut released = std::pin::pin!(self.released.notified());
            // Registers before the attempt, so that memory released in between is noticed.
            released.as_mut().enable();
            if let Some(charge) = attempt() {
                return Some(charge);
            }
            let is_relieved = self.relieve();
            let now = Instant::now();
            if now >= until || (patience == Patience::Relief && !is_relieved) {
                return None;
            }
            tokio::select! {
                () = released => {}
                () = tokio::time::sleep_until(until.min(now + LOOK_INTERVAL)) => {}
            }
        }
    }

    /// Closes the connection of a slow peer. Returns whether memory is about to be released.
    fn relieve(&self) -> bool {
        let mut connections = self.connections.lock();
        match connections.peers.relieve(self.clock.now()) {
            Relief::Close(id) => {
                log::info!("closing the connection of a slow peer, since no memory is left");
                connections.tell_to_close(id);
                true
            }
            Relief::Pending => true,
            Relief::Nothing => false,
        }
    }

    fn charge(self: &Arc<Self>, share: Share, bytes: u64) -> Charge {
        Charge {
            resources: Arc::clone(self),
            share,
            bytes,
        }
    }
}

/// Memory that is held until this is dropped.
#[derive(Debug)]
pub struct Charge {
    resources: Arc<Resources>,
    share: Share,
    bytes: u64,
}

impl Charge {
    /// Returns how many bytes are held.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Lets a body carry its charge: the memory is held until its last slice is dropped.
    #[must_use]
    pub fn attach(self, body: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(Held {
            body,
            _charge: self,
        })
    }

    /// Adds the memory of another charge to the same share.
    fn merge(&mut self, mut other: Self) {
        debug_assert_eq!(
            self.share, other.share,
            "only charges of one share are merged"
        );
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let mut account = self.resources.account.lock();
        account.release(self.share, self.bytes);
        drop(account);
        self.resources.released.notify_waiters();
    }
}

/// A body and the memory that is held for it.
struct Held<B> {
    body: B,
    _charge: Charge,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for Held<B> {
    fn as_ref(&self) -> &[u8] {
        self.body.as_ref()
    }
}
