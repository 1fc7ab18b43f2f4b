//! Keeps this node's directory in sync with the platform, on the control thread and for
//! as long as the process runs. A node either reads the source itself or subscribes to
//! nodes that do.

mod bootstrap;
mod knowledge;
mod large_routes;
mod outage;
mod updates;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeamhitch_dispatch::knowledge::outage_probes::OutageProbes;
use hornbeamhitch_dispatch::knowledge::readers::{self, Role};
use hornbeamhitch_dispatch::knowledge::waits::Waits;
use rand::RngExt;

use crate::directory::DirectoryWriter;
use crate::feed::{ChangeFeed, FeedLinks, FeedStatus, Subscriptions, TcpFeedLinks};
use crate::prelude::*;
use crate::source::{SharedSource, SourceFault};
use knowledge::{KnownState, OwnReads};
use large_routes::{LargeRoutes, RoutesAccess};
use updates::{with_expiry, with_updates};

#[cfg(test)]
mod tests;

/// Timeout of a watch that the source has to answer immediately.
const MIN_WATCH_MS: Millis = Millis(1);
/// Debounce interval after the first changes that a node receives. It doubles with each
/// further batch, up to the usual interval. VMs that start together register within a few
/// tenths of a second of each other.
const FIRST_DEBOUNCE_MS: Millis = Millis(200);
/// Number of doublings after which the debounce interval is no longer doubled.
const MAX_DEBOUNCE_DOUBLINGS: u32 = 10;
/// Number of failed reads in a row after which the backoff is no longer doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Settings of [`follow`].
#[derive(Clone, Debug)]
pub struct FollowSettings {
    /// Address of this VM.
    pub own_ip: IpAddr,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Port on which the gates of all VMs listen.
    pub gate_port: u16,
    /// Time within which a change must be in force on every node.
    pub in_force_ms: Millis,
}

/// Follows a source and never returns.
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

/// Like [`follow`], over any kind of links to other nodes.
async fn follow_over(
    links: Arc<dyn FeedLinks>,
    source: SharedSource,
    directory: DirectoryWriter,
    feed: Arc<ChangeFeed>,
    settings: FollowSettings,
) {
    let waits = Waits::new(settings.in_force_ms);
    let clock = directory.clock();
    let subscriptions = Subscriptions::new(Arc::clone(&links), waits, clock);
    let access = RoutesAccess {
        own_ip: settings.own_ip,
        source: Arc::clone(&source),
        links: Arc::clone(&links),
        feed: Arc::clone(&feed),
        waits,
    };
    let large_routes = LargeRoutes::start(access, subscriptions.event_sender());
    feed.forward_offers(subscriptions.event_sender());
    feed.observe(Arc::clone(&source));
    let mut sync = DirectorySync {
        links,
        source,
        known: KnownState::new(directory, feed, large_routes, settings.own_ip, waits),
        subscriptions,
        waits,
        role: Role::Alone,
        settings,
        failures: 0,
        has_watched: false,
        has_new_readers: false,
        debounces: 0,
        outage_probes: OutageProbes::default(),
        is_substitute: false,
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
    links: Arc<dyn FeedLinks>,
    source: SharedSource,
    waits: Waits,
    known: KnownState,
    subscriptions: Subscriptions,
    role: Role,
    settings: FollowSettings,
    /// Consecutive failed reads.
    failures: u32,
    /// Whether a watch has succeeded since the complete listing was read.
    has_watched: bool,
    /// Whether the readers have changed since this node last read or received updates.
    has_new_readers: bool,
    /// Debounced batches since this node started, up to [`MAX_DEBOUNCE_DOUBLINGS`].
    debounces: u32,
    /// When this node probes the source while its readers cannot read it.
    outage_probes: OutageProbes,
    /// Whether this follower reads the source in place of its readers.
    is_substitute: bool,
}

impl DirectorySync {
    /// Reads the complete listing, retrying until a read succeeds or, at a node that knows
    /// nothing, until readers have sent the state that they know.
    async fn read_all(&mut self) {
        let knows_nothing = self.known.revision() == Revision::ZERO;
        loop {
            match self.source.read_all(self.waits.idle_timeout_ms()).await {
                Ok(listing) => {
                    let age_ms = listing.age_ms;
                    self.note_success();
                    self.known.apply_listing(listing);
                    self.known.renew(age_ms);
                    return;
                }
                Err(fault) => {
                    if knows_nothing {
                        self.subscribe_by_adopted_targets();
                    }
                    self.back_off_after(&fault).await;
                    if knows_nothing && self.is_synced_by_readers() {
                        return;
                    }
                }
            }
        }
    }

    /// Applies changes until a gap requires the complete listing to be read again.
    async fn follow_changes(&mut self) {
        loop {
            self.update_role();
            if self.is_fed_by_readers() {
                self.has_new_readers = false;
                self.end_substitution();
                self.apply_next_update().await;
                if !self.is_fed_by_readers() && self.role.is_follower() {
                    // A random delay keeps the subscribers of the same readers from
                    // reading all at once.
                    self.pause(self.waits.lost_readers_delay_ms()).await;
                }
                continue;
            }
            if std::mem::take(&mut self.has_new_readers) && self.known.age_ms() < self.max_age_ms()
            {
                // The first update of the new readers is on its way.
                self.pause(self.waits.lost_readers_delay_ms()).await;
                continue;
            }
            if self.defers_probing() && !self.is_probe_due() {
                self.await_recovery().await;
                continue;
            }
            self.outage_probes.note_probed();
            match self.watch().await {
                Ok(()) if self.known.take_deferred_removals() => {
                    log::info!("the source is reachable again; reading the complete listing");
                    return;
                }
                Ok(()) => {}
                Err(SourceFault::HistoryGone) => {
                    log::info!("the source dropped its history; reading the complete listing");
                    if !self.has_watched {
                        // A listing did not help last time.
                        self.pause(self.waits.initial_backoff_ms()).await;
                    }
                    self.has_watched = false;
                    return;
                }
                Err(fault) => self.back_off_after(&fault).await,
            }
        }
    }

    /// Whether updates from readers are current enough that this node need not read the
    /// source.
    ///
    /// One healthy reader is sufficient: if it fails or falls silent, the age of the
    /// known state shows it. If two were required and the source rejected a third of a
    /// fleet, every node would call the source at each change.
    fn is_fed_by_readers(&self) -> bool {
        self.subscriptions.healthy_readers() > 0
            && self.known.own_reads() == OwnReads::Good
            && self.known.age_ms() < self.max_age_ms()
    }

    /// Age of the known state from which on this node reads the source itself.
    fn max_age_ms(&self) -> Millis {
        match &self.role {
            Role::Follower {
                is_reserve: true, ..
            } => self.waits.reserve_max_age_ms(),
            Role::Follower { .. } => self.waits.follower_max_age_ms(),
            Role::Reader { leads: false, .. } => self.waits.led_reader_max_age_ms(),
            Role::Reader { leads: true, .. } | Role::Alone => Millis::ZERO,
        }
    }

    /// Watches the source once and applies the changes that it returns.
    async fn watch(&mut self) -> Result<(), SourceFault> {
        let (after, wait_ms) = (self.known.revision(), self.watch_wait_ms());
        let changes = self
            .source
            .watch(after, wait_ms, self.waits.idle_timeout_ms());
        let batch = with_updates(changes, &mut self.known, &mut self.subscriptions).await?;
        if !batch.revision.is_same_era(after) {
            // The changes follow a number that another era has assigned to another change.
            return Err(SourceFault::HistoryGone);
        }
        self.note_success();
        self.begin_substitution();
        self.has_watched = true;
        let has_new_changes = !batch.changes.is_empty() && !self.known.has_deferred_removals();
        self.known.apply_new(batch.changes, batch.revision, None);
        self.known.renew(batch.age_ms);
        if has_new_changes {
            // Subscribes before the debounce interval if the changes reveal this node's
            // readers. Otherwise each node of a starting fleet would fetch the next
            // change itself after it.
            self.update_role();
            let debounce_ms = self.next_debounce().minus(self.known.age_ms());
            let debounce = tokio::time::sleep(debounce_ms.to_duration());
            with_updates(debounce, &mut self.known, &mut self.subscriptions).await;
        }
        Ok(())
    }

    /// Timeout of the next watch: the time until the known state has to be renewed.
    ///
    /// After a debounce interval this is the remainder of the time. If a watch of the
    /// full time were lost, changes would stay unknown for the debounce interval and the
    /// watch together.
    fn watch_wait_ms(&self) -> Millis {
        match self.known.own_reads() {
            OwnReads::Doubtful | OwnReads::Failed => MIN_WATCH_MS,
            OwnReads::Good => {
                let remaining_ms = self.waits.refresh_interval_ms().minus(self.known.age_ms());
                remaining_ms.max(MIN_WATCH_MS)
            }
        }
    }

    /// Applies the next event from a reader, or returns when the known state becomes too
    /// old.
    async fn apply_next_update(&mut self) {
        let remaining_ms = self.max_age_ms().minus(self.known.age_ms());
        let next = tokio::time::timeout(remaining_ms.to_duration(), self.subscriptions.next());
        match with_expiry(next, &mut self.known).await {
            Ok(event) => self.known.apply_event(event),
            Err(_) => {
                let known_ms = self.known.age_ms().0;
                log::info!(known_ms; "updates from readers are too old");
            }
        }
        self.subscriptions.set_known_revision(self.known.revision());
    }

    /// Returns the debounce interval for the changes that were just received, counted from the
    /// beginning of the answer: what was published while a large one arrived has waited since.
    ///
    /// The interval starts short: when all VMs restart after a power loss, the first
    /// nodes read a listing that mostly names targets from before the outage, and new
    /// targets register tenths of a second later. With the full interval from the start,
    /// these nodes rejected callers for more than a second for lack of targets although
    /// all targets were running. Followers always use the full interval because they
    /// receive updates from readers in the meantime.
    fn next_debounce(&mut self) -> Millis {
        // One call fetches all changes of one interval.
        let full_interval = self.waits.refresh_interval_ms();
        if self.role.is_follower() {
            return full_interval;
        }
        let doubled = Millis(FIRST_DEBOUNCE_MS.0 << self.debounces);
        self.debounces = (self.debounces + 1).min(MAX_DEBOUNCE_DOUBLINGS);
        doubled.min(full_interval)
    }

    /// Updates the role, subscriptions and feed status after the set of targets has
    /// changed.
    fn update_role(&mut self) {
        self.subscriptions.set_known_revision(self.known.revision());
        if !self.known.take_members_changed() {
            return;
        }
        let settings = &self.settings;
        let members = self.known.members();
        let role = readers::role(&members, settings.own_ip, &settings.data_centre);
        if role == self.role {
            self.update_feed_status();
            return;
        }
        let name: &str = (&role).into();
        let reader_ips: Vec<String> = role.readers().iter().map(ToString::to_string).collect();
        log::info!(role = name, readers = reader_ips.join(" "); "role of this node in reading the source");
        let subscriptions = role.subscriptions();
        self.subscriptions.set_readers(&subscriptions);
        let subscribed = self.subscriptions.nodes();
        self.known.set_readers(&subscriptions, &subscribed);
        self.has_new_readers = !role.readers().is_empty();
        self.role = role;
        self.update_feed_status();
    }

    /// Publishes whether this node accepts subscribers and whether its reads succeed.
    fn update_feed_status(&self) {
        // A node that knows nothing has nothing to publish, whatever its role.
        let knows_state = self.known.revision() != Revision::ZERO;
        let is_reading = self.role.accepts_subscribers() || self.is_substitute;
        let accepts_subscribers = knows_state && is_reading;
        let status = match (accepts_subscribers, self.failures) {
            (false, _) => FeedStatus::Closed,
            (true, 0) => FeedStatus::Open,
            (true, _) => FeedStatus::Unhealthy,
        };
        self.known.feed().set_status(status);
    }

    fn note_success(&mut self) {
        self.known.note_good_read();
        self.subscriptions.drop_substitutes();
        if self.failures == 0 {
            return;
        }
        log::info!(
            "the source responds again after {} failed reads",
            self.failures
        );
        self.failures = 0;
        self.update_feed_status();
    }

    /// Pauses after a failed read, with exponential backoff and jitter.
    async fn back_off_after(&mut self, fault: &SourceFault) {
        self.known.note_failed_read();
        if self.failures == 0 {
            let known_ms = self.known.age_ms().0;
            let revision = self.known.revision();
            log::warn!(known_ms, revision:%; "reading the source failed: {fault}");
        }
        let max_backoff_ms = match self.role.is_follower() || self.role.is_led() {
            true => self.waits.follower_max_backoff_ms(),
            false => self.waits.max_backoff_ms(),
        };
        let backoff_ms =
            Millis(self.waits.initial_backoff_ms().0 << self.failures.min(MAX_BACKOFF_DOUBLINGS));
        self.failures += 1;
        self.end_substitution();
        self.update_feed_status();
        self.pause(backoff_ms.min(max_backoff_ms)).await;
    }

    /// Pauses for a random time between half of `max_ms` and `max_ms`.
    async fn pause(&mut self, max_ms: Millis) {
        let delay = tokio::time::sleep(jittered(max_ms));
        with_updates(delay, &mut self.known, &mut self.subscriptions).await;
    }
}

/// Returns a random duration between half of `max_ms` and `max_ms`.
fn jittered(max_ms: Millis) -> Duration {
    Millis(rand::rng().random_range(max_ms.0 / 2..=max_ms.0)).to_duration()
}
