//! Registration of an open connection.

use std::sync::Arc;

use hornbeamhitch_dispatch::resources::peers::{Activity, PeerId};
use tokio::sync::Notify;

use super::Resources;

/// An open connection, which counts until this is dropped.
#[derive(Debug)]
pub struct Registration {
    resources: Arc<Resources>,
    id: PeerId,
    /// Notified when the connection must be closed for others.
    closing: Arc<Notify>,
}

impl Registration {
    pub(super) const fn new(resources: Arc<Resources>, id: PeerId, closing: Arc<Notify>) -> Self {
        Self {
            resources,
            id,
            closing,
        }
    }

    /// Waits until the connection must be closed so that others find a place or memory.
    pub async fn must_close(&self) {
        self.closing.notified().await;
    }

    /// Records that the connection does something else from now on.
    pub fn set_activity(&self, activity: Activity) {
        let now = self.resources.clock.now();
        let mut connections = self.resources.connections.lock();
        connections.peers.set_activity(self.id, activity, now);
    }

    /// Records how many bytes the peer has sent or read in its activity.
    pub fn set_moved(&self, bytes: u64) {
        let mut connections = self.resources.connections.lock();
        connections.peers.set_moved(self.id, bytes);
    }

    /// Records that closing the connection would release this much more memory.
    pub fn add_held(&self, bytes: u64) {
        let mut connections = self.resources.connections.lock();
        connections.peers.add_held(self.id, bytes);
    }

    /// Records that closing the connection would release this much less memory.
    pub fn remove_held(&self, bytes: u64) {
        let mut connections = self.resources.connections.lock();
        connections.peers.remove_held(self.id, bytes);
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut connections = self.resources.connections.lock();
        connections.peers.close(self.id);
        connections.closing.remove(&self.id);
    }
}
