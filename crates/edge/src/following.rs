//! Follows the platform's facts for as long as the process lives, on the control
//! thread: reads the source, or hears nodes that do.

mod knowledge;

use std::net::IpAddr;
use std::sync::Arc;

use hornbeamhitch_dispatch::readers::{self, Role};
use rand::RngExt;

use crate::directory::DirectoryWriter;
use crate::feed::{ChangeFeed, Standing, Subscriptions};
use crate::prelude::*;
use crate::source::{Source, SourceFault};
use knowledge::{Knowledge, OwnReads};

/// How long a watch waits. A source that falls silent is noticed at its end at
/// the latest; each wait costs one call.
const WATCH_WAIT_MS: Millis = Millis(10_000);
/// The same while the source is in trouble, so that its return is seen at once,
/// and while the readers are lost: they are lost together when the source drops
/// its history, and it takes watches in that moment that it never answers.
const TROUBLED_WAIT_MS: Millis = Millis(1_000);
/// The same to learn whether the source is reached at all.
const AT_ONCE_MS: Millis = Millis(1);
/// Changes that come close together are fetched by one call, since each call
/// returns at the first change: they are gathered for this part of the time in
/// which a change must be in force. The rest is for a slow source.
const GATHER_PERCENT: u64 = 60;
/// The same for a node that tells others, who need time to notice its end and
/// to read for themselves.
const READER_GATHER_PERCENT: u64 = 30;
/// The first gathering of a node that has just started; each further one takes twice as
/// long, up to the above. VMs that start together do so within some tenths of a second.
const FIRST_GATHER_MS: Millis = Millis(200);
/// Doublings after which no more are counted.
const MOST_GATHERINGS: u32 = 10;
/// Pauses after failed reads, from the first on.
const FIRST_PAUSE_MS: Millis = Millis(150);
const LONGEST_PAUSE_MS: Millis = Millis(1_200);
/// Pause of a node that lost its readers, before it reads for itself. A reader
/// whose read failed reads again before it ends, so that one failed call of a
/// reader does not make a call of each of its subscribers.
const LOST_READERS_PAUSE_MS: Millis = Millis(300);
/// A node stops to read for itself while it hears this many sound readers: with
/// one alone, that reader's loss would be noticed only by its silence.
const ENOUGH_READERS: usize = 2;

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
    source: Box<dyn Source>,
    directory: DirectoryWriter,
    feed: Arc<ChangeFeed>,
    settings: FollowSettings,
) {
    let mut following = Following {
        source,
        knowledge: Knowledge::new(directory, feed, settings.own_ip, settings.in_force_ms),
        subscriptions: Subscriptions::new(settings.gate_port),
        role: Role::Alone,
        settings,
        failures: 0,
        gatherings: 0,
    };
    loop {
        following.read_all().await;
        following.keep_up().await;
    }
}

struct Following {
    source: Box<dyn Source>,
    knowledge: Knowledge,
    subscriptions: Subscriptions,
    role: Role,
    settings: FollowSettings,
    /// Reads that failed in a row.
    failures: u32,
    /// Times that this node gathered changes since its start.
    gatherings: u32,
}

impl Following {
    /// Reads everything, as often as it takes.
    async fn read_all(&mut self) {
        loop {
            match self.source.read_all().await {
                Ok(listing) => {
                    self.note_success();
                    self.knowledge.replace(listing);
                    return;
                }
                Err(fault) => self.pause_after(&fault).await,
            }
        }
    }

    /// Follows changes until everything has to be read anew.
    async fn keep_up(&mut self) {
        loop {
            self.settle_role();
            if self.is_told() {
                self.hear().await;
                if !self.is_told() {
                    // Not in step with all others who heard the same readers.
                    self.pause(LOST_READERS_PAUSE_MS).await;
                }
                continue;
            }
            match self.watch().await {
                Ok(()) if self.knowledge.take_held() => {
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
    fn is_told(&self) -> bool {
        self.role.is_follower()
            && self.subscriptions.sound() >= ENOUGH_READERS
            && self.knowledge.own_reads() == OwnReads::Good
    }

    /// Watches the source once and takes what came.
    async fn watch(&mut self) -> Result<(), SourceFault> {
        let watching = self
            .source
            .watch(self.knowledge.revision(), self.watch_wait_ms());
        let heard = &mut self.subscriptions;
        let batch = while_hearing(watching, &mut self.knowledge, heard).await?;
        self.note_success();
        let gathers = !batch.changes.is_empty() && !self.knowledge.has_held();
        self.knowledge.take(batch.changes, batch.revision);
        if gathers {
            // Whoever learns of its readers subscribes while it gathers. After it,
            // each node of a fleet that starts would fetch the next change itself.
            self.settle_role();
            let gathering = tokio::time::sleep(self.next_gathering().to_duration());
            while_hearing(gathering, &mut self.knowledge, &mut self.subscriptions).await;
        }
        Ok(())
    }

    const fn watch_wait_ms(&self) -> Millis {
        match self.knowledge.own_reads() {
            OwnReads::Doubtful => AT_ONCE_MS,
            OwnReads::Good if !self.role.is_follower() => WATCH_WAIT_MS,
            OwnReads::Good | OwnReads::Failed => TROUBLED_WAIT_MS,
        }
    }

    /// Takes what a reader tells next.
    async fn hear(&mut self) {
        let next = self.subscriptions.next();
        let event = with_expiry(next, &mut self.knowledge).await;
        self.knowledge.hear(event);
        self.subscriptions.note_known(self.knowledge.revision());
    }

    /// How long to gather changes now.
    ///
    /// Failure answered: all VMs lose power and come back. A node that is among the
    /// first reads a list on which most targets are still those of before, and new ones
    /// are added tenths of a second later. With a whole gathering at once it went on for
    /// more than a second to refuse callers for want of targets, though all were there.
    /// A node that hears readers learns of them meanwhile.
    fn next_gathering(&mut self) -> Millis {
        let usual = self.gather_ms();
        if self.role.is_follower() {
            return usual;
        }
        let rising = Millis(FIRST_GATHER_MS.0 << self.gatherings);
        self.gatherings = (self.gatherings + 1).min(MOST_GATHERINGS);
        rising.min(usual)
    }

    const fn gather_ms(&self) -> Millis {
        let percent = if self.role.is_reader() {
            READER_GATHER_PERCENT
        } else {
            GATHER_PERCENT
        };
        Millis(self.settings.in_force_ms.0 * percent / 100)
    }

    /// Draws the consequences of the targets that are known now.
    fn settle_role(&mut self) {
        self.subscriptions.note_known(self.knowledge.revision());
        if !self.knowledge.take_members_changed() {
            return;
        }
        let settings = &self.settings;
        let members = self.knowledge.members();
        let role = readers::role(&members, settings.own_ip, &settings.data_centre);
        if role == self.role {
            return;
        }
        let name: &str = (&role).into();
        let heard: Vec<String> = role.heard().iter().map(ToString::to_string).collect();
        log::info!(role = name, readers = heard.join(" "); "this node's part in reading the source");
        self.subscriptions.keep_to(role.heard());
        self.role = role;
        self.settle_standing();
    }

    /// Tells subscribers whether this node reads.
    fn settle_standing(&self) {
        let standing = match (self.role.is_reader(), self.failures) {
            (false, _) => Standing::Closed,
            (true, 0) => Standing::Open,
            (true, _) => Standing::Troubled,
        };
        self.knowledge.feed().set_standing(standing);
    }

    fn note_success(&mut self) {
        self.knowledge.note_good_read();
        if self.failures == 0 {
            return;
        }
        log::info!(
            "the source answers again after {} failed reads",
            self.failures
        );
        self.failures = 0;
        self.settle_standing();
    }

    /// Waits longer after each failure, and never in step with other nodes.
    async fn pause_after(&mut self, fault: &SourceFault) {
        self.knowledge.note_failed_read();
        if self.failures == 0 {
            let known_ms = self.knowledge.age_ms().0;
            let revision = self.knowledge.revision();
            log::warn!(known_ms, revision; "the source is lost: {fault}");
        }
        let doubled = FIRST_PAUSE_MS.0 << self.failures.min(4);
        self.failures += 1;
        self.settle_standing();
        self.pause(Millis(doubled.min(LONGEST_PAUSE_MS.0))).await;
    }

    /// Waits for half of a span or more, drawn at random.
    async fn pause(&mut self, most: Millis) {
        let pause = Millis(rand::rng().random_range(most.0 / 2..=most.0));
        let pausing = tokio::time::sleep(pause.to_duration());
        while_hearing(pausing, &mut self.knowledge, &mut self.subscriptions).await;
    }
}

/// Takes what readers tell while something else is waited for.
async fn while_hearing<T>(
    waiting: impl Future<Output = T>,
    knowledge: &mut Knowledge,
    subscriptions: &mut Subscriptions,
) -> T {
    let mut waiting = std::pin::pin!(waiting);
    loop {
        let either = async {
            tokio::select! {
                done = &mut waiting => Ok(done),
                event = subscriptions.next() => Err(event),
            }
        };
        match with_expiry(either, knowledge).await {
            Ok(done) => return done,
            Err(event) => knowledge.hear(event),
        }
        subscriptions.note_known(knowledge.revision());
    }
}

/// Drops lapsed entries in time while something else is waited for.
async fn with_expiry<T>(waiting: impl Future<Output = T>, knowledge: &mut Knowledge) -> T {
    let mut waiting = std::pin::pin!(waiting);
    loop {
        let Some(at) = knowledge.expire() else {
            return waiting.await;
        };
        tokio::select! {
            done = &mut waiting => return done,
            () = tokio::time::sleep_until(at) => {}
        }
    }
}
