//! Chooses the nodes to which this node sends a configuration, and refers others to them.
//!
//! The nodes that fetch a configuration thus form a tree, through which parts pass as soon as
//! they arrive. A node whose parent is slow or gone asks again and takes a place that has
//! become free anywhere in the tree. It is never sent parts beyond the limit: on a link that
//! is already full, that would delay all others until they give up too.

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::time::Duration;

use hornbeamhitch_wire::link::ToEntry;
use tokio::sync::mpsc::{UnboundedSender, WeakUnboundedSender};
use tokio::time::Instant;

use super::MAX_RECEIVERS;

/// Nodes that fetch the newest configuration from this one.
#[derive(Debug, Default)]
pub(super) struct Receivers {
    /// Nodes that are being sent parts.
    active: HashMap<IpAddr, ActiveReceiver>,
    /// Nodes that have been sent parts, the one that was named longest ago first.
    referrals: VecDeque<IpAddr>,
}

#[derive(Debug)]
struct ActiveReceiver {
    /// Has no senders left once the link has ended.
    link: WeakUnboundedSender<ToEntry>,
    /// Time of its last request.
    requested_at: Instant,
}

impl ActiveReceiver {
    fn is_connected(&self, idle_timeout: Duration) -> bool {
        self.link.strong_count() > 0 && self.requested_at.elapsed() < idle_timeout
    }
}

impl Receivers {
    /// Admits a node that requests parts.
    ///
    /// # Errors
    ///
    /// Returns another node that has some of the parts if there is no room.
    pub(super) fn admit(
        &mut self,
        node: IpAddr,
        link: &UnboundedSender<ToEntry>,
        idle_timeout: Duration,
    ) -> Result<(), IpAddr> {
        self.active
            .retain(|_, receiver| receiver.is_connected(idle_timeout));
        if self.active.len() >= MAX_RECEIVERS
            && !self.active.contains_key(&node)
            && let Some(receiver) = self.next_referral(node)
        {
            return Err(receiver);
        }
        let receiver = ActiveReceiver {
            link: link.downgrade(),
            requested_at: Instant::now(),
        };
        self.active.insert(node, receiver);
        if !self.referrals.contains(&node) {
            self.referrals.push_back(node);
        }
        Ok(())
    }

    /// Records that a node has all parts after this answer.
    pub(super) fn finish(&mut self, node: IpAddr) {
        self.active.remove(&node);
    }

    /// Returns the receiver to which a node was referred longest ago.
    fn next_referral(&mut self, requester: IpAddr) -> Option<IpAddr> {
        let index = self.referrals.iter().position(|node| *node != requester)?;
        let receiver = self.referrals.remove(index)?;
        self.referrals.push_back(receiver);
        Some(receiver)
    }
}
