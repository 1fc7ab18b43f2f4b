//! Keeps the state current while the readers cannot read the source.
//!
//! Most nodes wait for the readers to recover. Some probe the source, and one that succeeds
//! becomes a substitute: it reads in place of the readers, which subscribe to it.

use std::net::IpAddr;
use std::sync::Arc;

use hornbeamhitch_wire::link::ToGate;
use rand::RngExt;

use super::knowledge::OwnReads;
use super::updates::with_updates;
use super::{DirectorySync, MIN_WATCH_MS};
use crate::feed::FeedLinks;
use crate::prelude::*;

impl DirectorySync {
    /// Whether only readers and reserves probe the source while all subscribed readers
    /// report it as unreachable, or while one of them receives a long answer.
    ///
    /// An answer that takes long at a reader, such as one with a large configuration, takes as
    /// long at any other node. If every follower requested it too, each would receive the whole
    /// configuration over the link on which its parts arrive, and all from the source at once.
    ///
    /// Readers publish as soon as one of them reaches the source. Reserves cover a source
    /// that rejects only the readers, and single other nodes one that rejects reserves too
    /// ([`OutageProbes`]). If every node probed, a source that recovers would receive hundreds
    /// of calls a second.
    pub(super) fn defers_probing(&self) -> bool {
        // A reserve reads before the others and then leaves probing to them too.
        let is_reserve_due = self.role.is_reserve() && self.known.own_reads() != OwnReads::Failed;
        self.role.is_follower()
            && !is_reserve_due
            && !self.is_substitute
            && !self.known.is_missing_changes()
            && (self.subscriptions.all_unhealthy() || self.subscriptions.is_answer_arriving())
            && self.known.own_reads() != OwnReads::Doubtful
            && self.known.age_ms() < self.waits.max_outage_ms()
    }

    /// Age of the known state at which this node probes the source next.
    fn next_probe_age_ms(&mut self) -> Option<Millis> {
        let nodes = self.known.members().vms().len();
        let age_ms = self.known.age_ms();
        let draw = || rand::rng().random();
        let due_age_ms = self
            .outage_probes
            .due_age_ms(age_ms, nodes, &self.waits, draw)?;
        Some(match self.subscriptions.is_answer_arriving() {
            // Until then, a read of this node would not be complete before that of the reader.
            true => due_age_ms.max(self.waits.in_force_ms()),
            false => due_age_ms,
        })
    }

    pub(super) fn is_probe_due(&mut self) -> bool {
        let due_age_ms = self.next_probe_age_ms();
        due_age_ms.is_some_and(|due_age_ms| self.known.age_ms() >= due_age_ms)
    }

    /// Applies what unhealthy readers publish until one of them recovers, or until this node
    /// has to probe the source.
    pub(super) async fn await_recovery(&mut self) {
        if self.known.age_ms() >= self.max_age_ms() && self.subscriptions.all_unhealthy() {
            // Entries may expire during an outage although their targets are alive.
            self.known.note_entries_may_expire();
        }
        let mut delay_ms = self.waits.publish_interval_ms();
        if let Some(due_age_ms) = self.next_probe_age_ms() {
            let remaining_ms = due_age_ms.minus(self.known.age_ms());
            delay_ms = delay_ms.min(remaining_ms.max(MIN_WATCH_MS));
        }
        let delay = tokio::time::sleep(delay_ms.to_duration());
        with_updates(delay, &mut self.known, &mut self.subscriptions).await;
    }

    /// Reads the source in place of the readers, which cannot, and lets them subscribe to this
    /// node.
    pub(super) fn begin_substitution(&mut self) {
        let may_begin = self.role.is_follower() && self.subscriptions.all_unhealthy();
        if self.is_substitute || !may_begin {
            return;
        }
        log::info!("reading the source in place of the readers, which cannot read it");
        self.is_substitute = true;
        self.update_feed_status();
        for reader in self.subscriptions.nodes() {
            tokio::spawn(offer_feed(
                Arc::clone(&self.links),
                reader,
                self.settings.own_ip,
                self.waits.idle_timeout_ms(),
            ));
        }
    }

    pub(super) fn end_substitution(&mut self) {
        if std::mem::take(&mut self.is_substitute) {
            log::info!("no longer reading the source in place of the readers");
            self.update_feed_status();
        }
    }
}

/// Offers a reader that cannot read the source to subscribe to this node. An offer that is lost
/// is not repeated: the other readers get one too.
async fn offer_feed(links: Arc<dyn FeedLinks>, reader: IpAddr, own_ip: IpAddr, timeout_ms: Millis) {
    let offer = ToGate::OfferFeed { node: own_ip };
    let opening = tokio::time::timeout(timeout_ms.to_duration(), links.open(reader, offer));
    match opening.await {
        Ok(Ok(_)) => {}
        Ok(Err(fault)) => log::info!("the reader {reader} was not reached: {fault}"),
        Err(_) => log::info!("the reader {reader} was not reached in time"),
    }
}
