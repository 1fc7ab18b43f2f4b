//! Follows the platform's facts for as long as the process lives, on the control
//! thread: reads the source, or hears nodes that do.

mod bootstrap;
mod hearing;
mod knowledge;
mod large_routes;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeamhitch_dispatch::readers::{self, Role};
use hornbeamhitch_dispatch::waits::Waits;
use rand::RngExt;

use crate::directory::DirectoryWriter;
use crate::feed::{ChangeFeed, FeedLinks, FeedStatus, Subscriptions, TcpFeedLinks};
use crate::prelude::*;
use crate::source::{SharedSource, SourceFault};
use hearing::{with_expiry, with_updates};
use knowledge::{KnownState, OwnReads};
use large_routes::LargeRoutesReader;

#[cfg(test)]
mod tests;

/// A watch that is to be answered at once.
const MIN_WATCH_MS: Millis = Millis(1);
/// The first gathering of a node that has just started; each further one takes twice as
/// long, up to the usual. VMs that start together do so within some tenths of a second.
const FIRST_DEBOUNCE_MS: Millis = Millis(200);
/// Doublings after which no more are counted.
const MAX_DEBOUNCE_DOUBLINGS: u32 = 10;
/// The same of pauses after failed reads.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// What following needs to know of its node.
#[derive(Clone, Debug)]
pub struct FollowSettings {
    /// This VM's address.
    pub own_ip: IpAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where the gates of all VMs listen.
    pub gate_port: u16,
    /// Within this a change must be in force.
    pub in_force_ms: Millis,
}

/// Follows a source; never returns.
pub async fn follow(
    source: SharedSource,
    directory: DirectoryWriter,
    feed: Arc<ChangeFeed>,
    settings: FollowSettings,
) {
    let links = TcpFeedLinks {
        port: settings.gate_port,
    };
    follow_over(Arc::new(links), source, directory, feed, settings).await;
}

/// The same over links of any kind.
async fn follow_over(
    links: Arc<dyn FeedLinks>,
    source: SharedSource,
    directory: DirectoryWriter,
    feed: Arc<ChangeFeed>,
    settings: FollowSettings,
) {
    let waits = Waits::new(settings.in_force_ms);
    let clock = directory.clock();
    let subscriptions = Subscriptions::new(links, waits, clock);
    let large_routes =
        LargeRoutesReader::start(Arc::clone(&source), waits, subscriptions.event_sender());
    let mut sync = DirectorySync {
        source,
        known: KnownState::new(directory, feed, large_routes, settings.own_ip, waits),
        subscriptions,
        waits,
        role: Role::Alone,
        settings,
        failures: 0,
        debounces: 0,
    };
    let is_synced = sync.bootstrap().await;
    log::info!(is_told = is_synced; "bootstrap complete");
    if !is_synced {
        sync.read_all().await;
    }
    loop {
        sync.follow_changes().await;
        sync.read_all().await;
    }
}

struct DirectorySync {
    source: SharedSource,
    waits: Waits,
    known: KnownState,
    subscriptions: Subscriptions,
    role: Role,
    settings: FollowSettings,
    /// Reads that failed in a row.
    failures: u32,
    /// Times that this node gathered changes since its start.
    debounces: u32,
}

impl DirectorySync {
    /// Reads everything, as often as it takes.
    async fn read_all(&mut self) {
        loop {
            match self.source.read_all(self.waits.idle_timeout_ms()).await {
                Ok(listing) => {
                    let age_ms = listing.age_ms;
                    self.note_success();
                    self.known.apply_listing(listing);
                    self.known.renew(age_ms);
                    return;
                }
                Err(fault) => self.pause_after(&fault).await,
            }
        }
    }

    /// Follows changes until everything has to be read anew.
    async fn follow_changes(&mut self) {
        loop {
            self.update_role();
            if self.is_fed_by_readers() {
                self.apply_next_update().await;
                if !self.is_fed_by_readers() && self.role.is_follower() {
                    // Not in step with all others who heard the same readers.
                    self.pause(self.waits.lost_readers_pause_ms()).await;
                }
                continue;
            }
            if self.defers_probing() {
                self.await_recovery().await;
                continue;
            }
            match self.watch().await {
                Ok(()) if self.known.take_deferred_removals() => {
                    log::info!("the source is reached; what had lapsed meanwhile is read anew");
                    return;
                }
                Ok(()) => {}
                Err(SourceFault::HistoryGone) => {
                    log::info!("the source dropped its history; everything is read anew");
                    return;
                }
                Err(fault) => self.pause_after(&fault).await,
            }
        }
    }

    /// Whether this node is told enough to leave reading to others.
    ///
    /// One sound reader is enough: its loss, or its silence, shows by the age of what is
    /// known here. Asking for two, a fleet of which a third is turned away by the source
    /// makes a call of each node at each change.
    fn is_fed_by_readers(&self) -> bool {
        self.subscriptions.healthy_readers() > 0
            && self.known.own_reads() == OwnReads::Good
            && self.known.age_ms() < self.max_age_ms()
    }

    /// Whether probing a source that all subscribed readers report as unreachable is left
    /// to these readers and to the reserves.
    ///
    /// Readers publish as soon as one of them reaches the source. Reserves cover a source
    /// that rejects only the readers. Probed by every node, a source that recovers would
    /// receive hundreds of calls a second.
    fn defers_probing(&self) -> bool {
        self.role.is_follower()
            && !self.role.is_reserve()
            && self.subscriptions.all_unhealthy()
            && self.known.own_reads() == OwnReads::Good
            && self.known.age_ms() < self.waits.longest_outage_ms()
    }

    /// Applies what unhealthy readers publish until one of them recovers.
    async fn await_recovery(&mut self) {
        if self.known.age_ms() >= self.max_age_ms() {
            // Entries may expire during an outage although their targets are alive.
            self.known.note_entries_may_expire();
        }
        let delay = tokio::time::sleep(self.waits.tell_again_ms().to_duration());
        with_updates(delay, &mut self.known, &mut self.subscriptions).await;
    }

    /// Age of what is known at which this node asks the source itself.
    fn max_age_ms(&self) -> Millis {
        match &self.role {
            Role::Follower {
                is_reserve: true, ..
            } => self.waits.oldest_reserve_ms(),
            Role::Follower { .. } => self.waits.oldest_told_ms(),
            Role::Reader { leads: false, .. } => self.waits.oldest_led_ms(),
            Role::Reader { leads: true, .. } | Role::Alone => Millis::ZERO,
        }
    }

    /// Watches the source once and takes what came.
    async fn watch(&mut self) -> Result<(), SourceFault> {
        let (after, wait_ms) = (self.known.revision(), self.watch_wait_ms());
        let watching = self
            .source
            .watch(after, wait_ms, self.waits.idle_timeout_ms());
        let batch = with_updates(watching, &mut self.known, &mut self.subscriptions).await?;
        self.note_success();
        let has_new_changes = !batch.changes.is_empty() && !self.known.has_deferred_removals();
        self.known.apply_new(batch.changes, batch.revision);
        self.known.renew(batch.age_ms);
        if has_new_changes {
            // Whoever learns of its readers subscribes while it gathers. After it,
            // each node of a fleet that starts would fetch the next change itself.
            self.update_role();
            let debounce = tokio::time::sleep(self.next_debounce().to_duration());
            with_updates(debounce, &mut self.known, &mut self.subscriptions).await;
        }
        Ok(())
    }

    /// How long the next watch waits: until what is known has to be renewed.
    ///
    /// After changes were gathered, this is what is left of the time. A watch of the
    /// whole time, lost, would hide for both together what changed meanwhile.
    fn watch_wait_ms(&self) -> Millis {
        match self.known.own_reads() {
            OwnReads::Doubtful | OwnReads::Failed => MIN_WATCH_MS,
            OwnReads::Good => {
                let left_ms = self.waits.renewal_ms().minus(self.known.age_ms());
                left_ms.max(MIN_WATCH_MS)
            }
        }
    }

    /// Takes what a reader tells next, or nothing when what is known grows too old.
    async fn apply_next_update(&mut self) {
        let left_ms = self.max_age_ms().minus(self.known.age_ms());
        let next = tokio::time::timeout(left_ms.to_duration(), self.subscriptions.next());
        match with_expiry(next, &mut self.known).await {
            Ok(event) => self.known.apply_event(event),
            Err(_) => {
                let known_ms = self.known.age_ms().0;
                log::info!(known_ms; "what readers tell is too old");
            }
        }
        self.subscriptions.set_known_revision(self.known.revision());
    }

    /// How long to gather changes now.
    ///
    /// Failure answered: all VMs lose power and come back. A node that is among the
    /// first reads a list on which most targets are still those of before, and new ones
    /// are added tenths of a second later. With a whole gathering at once it went on for
    /// more than a second to refuse callers for want of targets, though all were there.
    /// A node that hears readers learns of them meanwhile.
    fn next_debounce(&mut self) -> Millis {
        // Changes that come close together are fetched by one call.
        let usual = self.waits.renewal_ms();
        if self.role.is_follower() {
            return usual;
        }
        let rising = Millis(FIRST_DEBOUNCE_MS.0 << self.debounces);
        self.debounces = (self.debounces + 1).min(MAX_DEBOUNCE_DOUBLINGS);
        rising.min(usual)
    }

    /// Draws the consequences of the targets that are known now.
    fn update_role(&mut self) {
        self.subscriptions.set_known_revision(self.known.revision());
        if !self.known.take_members_changed() {
            return;
        }
        let settings = &self.settings;
        let members = self.known.members();
        let role = readers::role(&members, settings.own_ip, &settings.data_centre);
        if role == self.role {
            return;
        }
        let name: &str = (&role).into();
        let reader_ips: Vec<String> = role.heard().iter().map(ToString::to_string).collect();
        log::info!(role = name, readers = reader_ips.join(" "); "this node's part in reading the source");
        self.subscriptions.set_readers(&role.subscriptions());
        self.role = role;
        self.update_feed_status();
    }

    /// Tells subscribers whether this node reads.
    fn update_feed_status(&self) {
        let status = match (self.role.is_heard(), self.failures) {
            (false, _) => FeedStatus::Closed,
            (true, 0) => FeedStatus::Open,
            (true, _) => FeedStatus::Unhealthy,
        };
        self.known.feed().set_status(status);
    }

    fn note_success(&mut self) {
        self.known.note_good_read();
        if self.failures == 0 {
            return;
        }
        log::info!(
            "the source answers again after {} failed reads",
            self.failures
        );
        self.failures = 0;
        self.update_feed_status();
    }

    /// Waits longer after each failure, and never in step with other nodes.
    async fn pause_after(&mut self, fault: &SourceFault) {
        self.known.note_failed_read();
        if self.failures == 0 {
            let known_ms = self.known.age_ms().0;
            let revision = self.known.revision();
            log::warn!(known_ms, revision; "the source is lost: {fault}");
        }
        let longest_ms = match self.role.is_follower() || self.role.is_led() {
            true => self.waits.followers_pause_ms(),
            false => self.waits.longest_pause_ms(),
        };
        let doubled_ms =
            Millis(self.waits.first_pause_ms().0 << self.failures.min(MAX_PAUSE_DOUBLINGS));
        self.failures += 1;
        self.update_feed_status();
        self.pause(doubled_ms.min(longest_ms)).await;
    }

    /// Waits for half of a span or more, drawn at random.
    async fn pause(&mut self, most: Millis) {
        let delay = tokio::time::sleep(jittered(most));
        with_updates(delay, &mut self.known, &mut self.subscriptions).await;
    }
}

/// Half of a span or more, drawn at random.
fn jittered(most: Millis) -> Duration {
    Millis(rand::rng().random_range(most.0 / 2..=most.0)).to_duration()
}
