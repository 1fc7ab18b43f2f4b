//! Initial state of a starting node, obtained without a current read of the source.
//!
//! A stale listing costs a fraction of a current one and names the readers. A node that
//! is not a reader itself receives the current state from one of them.

use hornbeamhitch_dispatch::knowledge::readers::{self, Role};

use super::DirectorySync;
use crate::directory::members_of;
use crate::prelude::*;

/// First pause between two stale listings. It doubles with each further listing.
const FIRST_PAUSE_MS: Millis = Millis(200);
/// Longest pause between two stale listings.
const MAX_PAUSE_MS: Millis = Millis(800);

impl DirectorySync {
    /// Receives the complete state from a reader. Returns false if this node has to read
    /// the source.
    ///
    /// Targets register while their nodes start, so the set of readers changes. The
    /// listing is read again until one of the readers that it names has sent an update.
    pub(super) async fn bootstrap(&mut self) -> bool {
        let mut pause_ms = FIRST_PAUSE_MS;
        let mut serves_stale_since = None;
        while !self.is_bootstrap_timed_out(serves_stale_since) {
            let listing = match self.source.read_stale(self.waits.idle_timeout_ms()).await {
                Ok(listing) => listing,
                Err(fault) => {
                    log::warn!("reading a stale listing failed: {fault}");
                    return false;
                }
            };
            let members = members_of(&listing);
            let own_ip = self.settings.own_ip;
            let is_listed = members.vms().contains(&own_ip);
            let role = readers::role(&members, own_ip, &self.settings.data_centre);
            if let Some(routes) = listing.routes {
                self.known.adopt_stale(routes, members);
                serves_stale_since.get_or_insert(self.known.age_ms());
            }
            match &role {
                Role::Follower { readers, .. } => self.subscriptions.set_readers(readers),
                Role::Alone | Role::Reader { .. } if is_listed => return false,
                Role::Alone | Role::Reader { .. } => {}
            }
            if self.await_first_update(pause_ms).await {
                return true;
            }
            pause_ms = Millis(pause_ms.0 * 2).min(MAX_PAUSE_MS);
        }
        false
    }

    /// Subscribes to the readers among the targets that another node has sent, if any.
    ///
    /// Guards against nodes that restart during an outage and all probe the source until it
    /// returns, although readers know the last state and probe for them.
    pub(super) fn subscribe_by_adopted_targets(&mut self) {
        let members = self.known.members();
        let settings = &self.settings;
        let role = readers::role(&members, settings.own_ip, &settings.data_centre);
        if let Role::Follower { readers, .. } = &role {
            self.subscriptions.set_readers(readers);
        }
    }

    /// Whether readers have sent the state that they know although this node failed to read
    /// the source. Its failed reads are then forgotten: the readers report whether the source
    /// is unavailable to them too.
    pub(super) fn is_synced_by_readers(&mut self) -> bool {
        if self.known.revision() == Revision::ZERO || !self.subscriptions.any_publishes() {
            return false;
        }
        log::info!("received the state from readers while the source is unavailable");
        self.failures = 0;
        self.known.forget_failed_reads();
        true
    }

    /// Whether the time limit of the bootstrap has passed. The limit is shorter for a
    /// node that serves stale facts than for a node without any, which rejects every
    /// request.
    fn is_bootstrap_timed_out(&self, serves_stale_since: Option<Millis>) -> bool {
        let age_ms = self.known.age_ms();
        match serves_stale_since {
            Some(since) => age_ms.since(since) >= self.waits.startup_max_stale_ms(),
            None => age_ms >= self.waits.unconfigured_max_stale_ms(),
        }
    }

    /// Waits up to `max_ms` for the first complete update from a healthy reader.
    async fn await_first_update(&mut self, max_ms: Millis) -> bool {
        let until = tokio::time::Instant::now() + super::jittered(max_ms);
        while self.subscriptions.healthy_readers() == 0 || self.known.revision() == Revision::ZERO {
            let next = self.subscriptions.next();
            let Ok(event) = tokio::time::timeout_at(until, next).await else {
                return false;
            };
            self.known.apply_event(event);
            self.subscriptions.set_known_revision(self.known.revision());
        }
        true
    }
}
