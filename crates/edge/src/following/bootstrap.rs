//! How a node that has just started joins its fleet.
//!
//! Everything it needs is known to nodes beside it, but it does not know which these are.
//! A stale listing, at a fraction of the price of a current one, tells it; so only nodes
//! that others rely on read the source itself.

use hornbeamhitch_dispatch::readers::{self, Role};

use super::Following;
use crate::directory::members_of;
use crate::prelude::*;

/// First pause between two stale listings; doubled with each.
const FIRST_PAUSE_MS: Millis = Millis(200);
/// Longest such pause.
const MAX_PAUSE_MS: Millis = Millis(800);

impl Following {
    /// Learns everything from nodes that read the source; false where this node has to
    /// read it itself.
    ///
    /// Targets are registered while their nodes start, so the readers that a listing names
    /// may be others a moment later. The listing is read again until one of them is heard.
    pub(super) async fn bootstrap(&mut self) -> bool {
        let mut pause_ms = FIRST_PAUSE_MS;
        let mut serves_stale_since = None;
        while !self.is_bootstrap_over(serves_stale_since) {
            let listing = match self.source.read_stale(self.waits.silence_ms()).await {
                Ok(listing) => listing,
                Err(fault) => {
                    log::warn!("no stale listing can be read: {fault}");
                    return false;
                }
            };
            let members = members_of(&listing);
            let own_ip = self.settings.own_ip;
            let is_listed = members.vms().contains(&own_ip);
            let role = readers::role(&members, own_ip, &self.settings.data_centre);
            if let Some(routes) = listing.routes {
                self.knowledge.adopt_stale(routes, members);
                serves_stale_since.get_or_insert(self.knowledge.age_ms());
            }
            match &role {
                Role::Follower { heard, .. } => self.subscriptions.keep_to(heard),
                Role::Alone | Role::Reader { .. } if is_listed => return false,
                Role::Alone | Role::Reader { .. } => {}
            }
            if self.hear_first(pause_ms).await {
                return true;
            }
            pause_ms = Millis(pause_ms.0 * 2).min(MAX_PAUSE_MS);
        }
        false
    }

    /// Whether this node has to know current facts: sooner where it serves on stale ones
    /// than where it refuses everything for want of any.
    fn is_bootstrap_over(&self, serves_stale_since: Option<Millis>) -> bool {
        let age_ms = self.knowledge.age_ms();
        match serves_stale_since {
            Some(since) => age_ms.since(since) >= self.waits.longest_stale_ms(),
            None => age_ms >= self.waits.longest_idle_ms(),
        }
    }

    /// Waits until a reader has told everything, at most for this long.
    async fn hear_first(&mut self, most_ms: Millis) -> bool {
        let until = tokio::time::Instant::now() + super::jittered(most_ms);
        while self.subscriptions.sound() == 0 || self.knowledge.revision() == 0 {
            let next = self.subscriptions.next();
            let Ok(event) = tokio::time::timeout_at(until, next).await else {
                return false;
            };
            self.knowledge.hear(event);
            self.subscriptions.note_known(self.knowledge.revision());
        }
        true
    }
}
