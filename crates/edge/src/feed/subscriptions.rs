//! Subscriptions to the change feeds of readers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamhitch_dispatch::knowledge::waits::Waits;
use hornbeamhitch_dispatch::routing::routes::parts::RoutesManifest;
use hornbeamhitch_wire::link::{ToEntry, ToGate};
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::links::FeedLinks;
use crate::link::LinkFault;
use crate::prelude::*;
use crate::source::Change;

/// First delay before a subscription is retried, after a reader was lost or turned out
/// not to be one. The delay doubles with each failed attempt. Nodes that start together
/// become ready within a few tenths of a second of each other.
const FIRST_RETRY: Duration = Duration::from_millis(100);
/// Longest delay before a subscription is retried.
const MAX_RETRY: Duration = Duration::from_secs(1);

/// An event from the subscriptions of a node.
#[derive(Debug)]
pub enum FeedEvent {
    /// An update from a reader: all changes up to `revision` since the previous update,
    /// or since the revision that was known when the node subscribed.
    Update {
        /// The reader.
        reader: IpAddr,
        /// Changes in the order of their revisions.
        changes: Vec<Change>,
        /// Revision up to which no change is missing.
        revision: Revision,
        /// Whether the reader's own last read of the source failed.
        last_read_failed: bool,
        /// Whether a longer answer of the source is arriving at the reader.
        is_receiving: bool,
        /// Time as of which the source had published nothing newer, not corrected for the
        /// network delay of the update.
        as_of: Millis,
    },
    /// This node has learnt which parts a configuration has, and is about to fetch them.
    ManifestKnown(RoutesManifest),
    /// This node has obtained a configuration that was too large for the change feed.
    RoutesRead(RouteSet),
    /// The connection to the reader was lost.
    Lost {
        /// The reader.
        reader: IpAddr,
    },
    /// A node offers to read the source in place of this node's readers.
    Offer {
        /// The node.
        node: IpAddr,
    },
}

/// Subscriptions to the readers of this node.
#[derive(Debug)]
pub struct Subscriptions {
    context: SubscriptionContext,
    /// Revision up to which this node knows all changes.
    known_revision: Arc<Mutex<Revision>>,
    events: mpsc::UnboundedReceiver<FeedEvent>,
    event_sender: mpsc::UnboundedSender<FeedEvent>,
    readers: BTreeMap<IpAddr, Subscription>,
}

/// What the task of a subscription needs.
#[derive(Clone, Debug)]
struct SubscriptionContext {
    links: Arc<dyn FeedLinks>,
    waits: Waits,
    clock: ProcessClock,
}

#[derive(Debug)]
struct Subscription {
    task: AbortHandle,
    health: ReaderHealth,
    kind: SubscriptionKind,
}

/// Why a node is subscribed to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubscriptionKind {
    /// It is one of the present readers.
    Wanted,
    /// It was a reader before.
    Former,
    /// It reads while the readers cannot.
    Substitute,
}

impl Subscription {
    fn is_healthy(&self) -> bool {
        matches!(self.health, ReaderHealth::Healthy | ReaderHealth::Receiving)
    }
}

/// Health of a reader, as seen by a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReaderHealth {
    /// The reader is not connected, or has stopped sending.
    Lost,
    /// The reader publishes, but its own last read failed.
    Unhealthy,
    /// The reader publishes, and a longer answer of the source is arriving at it.
    Receiving,
    /// The reader publishes, and its own reads succeed.
    Healthy,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Subscriptions {
    /// Creates an empty set of subscriptions that reaches readers over these links.
    pub(crate) fn new(links: Arc<dyn FeedLinks>, waits: Waits, clock: ProcessClock) -> Self {
        let (event_sender, events) = mpsc::unbounded_channel();
        Self {
            context: SubscriptionContext {
                links,
                waits,
                clock,
            },
            known_revision: Arc::default(),
            events,
            event_sender,
            readers: BTreeMap::new(),
        }
    }

    /// Returns a sender that adds this node's own reads to the events from readers.
    pub fn event_sender(&self) -> mpsc::UnboundedSender<FeedEvent> {
        self.event_sender.clone()
    }

    /// Sets the revision up to which this node knows all changes.
    pub fn set_known_revision(&self, revision: Revision) {
        *self.known_revision.lock() = revision;
    }

    /// Subscribes to these readers. The former ones are kept until one of these is healthy,
    /// so that a node whose readers change receives updates meanwhile.
    pub fn set_readers(&mut self, wanted: &[IpAddr]) {
        for (reader, subscription) in &mut self.readers {
            subscription.kind = match (wanted.contains(reader), subscription.kind) {
                (true, _) => SubscriptionKind::Wanted,
                (false, SubscriptionKind::Substitute) => SubscriptionKind::Substitute,
                (false, _) => SubscriptionKind::Former,
            };
        }
        self.drop_former(wanted.is_empty());
        let mut delay = Duration::ZERO;
        for reader in wanted {
            if self.readers.contains_key(reader) {
                continue;
            }
            self.subscribe(*reader, delay, SubscriptionKind::Wanted);
            delay += self.next_subscription_delay();
        }
    }

    fn subscribe(&mut self, reader: IpAddr, delay: Duration, kind: SubscriptionKind) {
        let subscription_task = run_subscription(
            reader,
            delay,
            self.context.clone(),
            Arc::clone(&self.known_revision),
            self.event_sender.clone(),
        );
        let subscription = Subscription {
            task: tokio::spawn(subscription_task).abort_handle(),
            health: ReaderHealth::Lost,
            kind,
        };
        self.readers.insert(reader, subscription);
    }

    /// Subscribes to a node that reads the source while this node's readers cannot.
    fn accept_substitute(&mut self, node: IpAddr) {
        if self.readers.contains_key(&node) {
            return;
        }
        log::info!("subscribing to {node}, which reads the source in place of the readers");
        self.subscribe(node, Duration::ZERO, SubscriptionKind::Substitute);
    }

    /// Drops substitutes, since this node reads the source again.
    pub fn drop_substitutes(&mut self) {
        self.readers
            .retain(|_, reader| reader.kind != SubscriptionKind::Substitute);
    }

    /// Drops former readers that are not healthy, and all of them if a present one is healthy
    /// or there is none.
    fn drop_former(&mut self, has_no_readers: bool) {
        let mut readers = self.readers.values();
        let is_replaced =
            readers.any(|reader| reader.kind == SubscriptionKind::Wanted && reader.is_healthy());
        self.readers.retain(|_, reader| match reader.kind {
            SubscriptionKind::Wanted | SubscriptionKind::Substitute => true,
            SubscriptionKind::Former => !(has_no_readers || is_replaced) && reader.is_healthy(),
        });
    }

    /// Returns the nodes to which this node is subscribed, former readers included.
    #[must_use]
    pub fn nodes(&self) -> BTreeSet<IpAddr> {
        self.readers.keys().copied().collect()
    }

    /// Delay between consecutive new subscriptions. A node without state receives the
    /// complete state from every reader that it subscribes to before the first update.
    /// When a whole fleet starts, that would saturate the readers' links.
    fn next_subscription_delay(&self) -> Duration {
        match *self.known_revision.lock() {
            Revision::ZERO => self.context.waits.publish_interval_ms().to_duration(),
            _ => Duration::ZERO,
        }
    }

    /// Number of readers that publish and whose own reads succeed or make progress.
    #[must_use]
    pub fn healthy_readers(&self) -> usize {
        let readers = self.readers.values();
        readers.filter(|reader| reader.is_healthy()).count()
    }

    /// Whether an answer of the source is arriving at one of the readers.
    #[must_use]
    pub fn is_answer_arriving(&self) -> bool {
        self.count(ReaderHealth::Receiving) > 0
    }

    /// Whether at least one reader publishes and none of the publishing readers reaches
    /// the source.
    #[must_use]
    pub fn all_unhealthy(&self) -> bool {
        self.healthy_readers() == 0 && self.count(ReaderHealth::Unhealthy) > 0
    }

    /// Whether any reader publishes, whether or not it reaches the source.
    #[must_use]
    pub fn any_publishes(&self) -> bool {
        let mut readers = self.readers.values();
        readers.any(|reader| reader.health != ReaderHealth::Lost)
    }

    fn count(&self, health: ReaderHealth) -> usize {
        let readers = self.readers.values();
        readers.filter(|reader| reader.health == health).count()
    }

    /// Returns the next event. Cancel safe.
    pub async fn next(&mut self) -> FeedEvent {
        let event = self.events.recv().await;
        let event = event.expect("this struct holds a sender");
        let (reader, health) = match &event {
            FeedEvent::Offer { node } => {
                self.accept_substitute(*node);
                return event;
            }
            FeedEvent::Update {
                reader,
                is_receiving: true,
                ..
            } => (reader, ReaderHealth::Receiving),
            FeedEvent::Update {
                reader,
                last_read_failed: true,
                ..
            } => (reader, ReaderHealth::Unhealthy),
            FeedEvent::Update { reader, .. } => (reader, ReaderHealth::Healthy),
            FeedEvent::Lost { reader } => (reader, ReaderHealth::Lost),
            FeedEvent::ManifestKnown(_) | FeedEvent::RoutesRead(_) => return event,
        };
        let Some(subscription) = self.readers.get_mut(reader) else {
            return event;
        };
        subscription.health = health;
        if health == ReaderHealth::Lost && subscription.kind == SubscriptionKind::Substitute {
            self.readers.remove(reader);
        }
        self.drop_former(false);
        event
    }
}

/// Keeps a subscription to one reader open until the task is aborted.
async fn run_subscription(
    reader: IpAddr,
    delay: Duration,
    context: SubscriptionContext,
    known_revision: Arc<Mutex<Revision>>,
    event_sender: mpsc::UnboundedSender<FeedEvent>,
) {
    let mut is_established = false;
    let mut retry = FIRST_RETRY;
    tokio::time::sleep(delay).await;
    loop {
        let fault = subscribe_once(
            reader,
            &context,
            &known_revision,
            &event_sender,
            &mut is_established,
        )
        .await;
        if is_established {
            log::info!("lost the subscription to the reader {reader}: {fault}");
            is_established = false;
            retry = FIRST_RETRY;
            let lost = FeedEvent::Lost { reader };
            if event_sender.send(lost).is_err() {
                return;
            }
        }
        tokio::time::sleep(retry).await;
        retry = (retry * 2).min(MAX_RETRY);
    }
}

async fn subscribe_once(
    reader: IpAddr,
    context: &SubscriptionContext,
    known_revision: &Mutex<Revision>,
    event_sender: &mpsc::UnboundedSender<FeedEvent>,
    is_established: &mut bool,
) -> LinkFault {
    let known_revision = *known_revision.lock();
    let timeout = context.waits.publish_interval_ms().to_duration();
    let request = ToGate::Subscribe {
        revision: known_revision,
    };
    let opening = tokio::time::timeout(timeout, context.links.open(reader, request));
    let mut stream = match opening.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(fault)) => return fault,
        Err(elapsed) => return LinkFault::Io(elapsed.into()),
    };
    let mut changes = Vec::new();
    let mut is_receiving = false;
    loop {
        let reader_timeout = context.waits.reader_timeout_ms().to_duration();
        let frame = match tokio::time::timeout(reader_timeout, stream.next()).await {
            Ok(Ok(frame)) => frame,
            Ok(Err(fault)) => return fault,
            Err(elapsed) => return LinkFault::Io(elapsed.into()),
        };
        match frame {
            ToEntry::Change(encoded) => match decode(&encoded) {
                Ok(change) => changes.push(change),
                Err(fault) => return fault,
            },
            ToEntry::ReceivingAnswer => is_receiving = true,
            ToEntry::Progress {
                revision,
                last_read_failed,
                age_ms,
            } => {
                if !*is_established {
                    *is_established = true;
                    log::info!(revision:%; "subscribed to changes from the reader {reader}");
                }
                let event = FeedEvent::Update {
                    reader,
                    changes: std::mem::take(&mut changes),
                    revision,
                    last_read_failed,
                    is_receiving: std::mem::take(&mut is_receiving),
                    as_of: context.clock.now().minus(age_ms),
                };
                if event_sender.send(event).is_err() {
                    return LinkFault::Closed;
                }
            }
            ToEntry::FeedUnavailable => return LinkFault::Closed,
            // Messages from a gate to its entries are irrelevant here.
            _ => {}
        }
    }
}

fn decode(encoded: &Bytes) -> Result<Change, LinkFault> {
    postcard::from_bytes(encoded).map_err(|error| {
        LinkFault::Wire(hornbeamhitch_wire::WireError::Malformed {
            what: "change",
            reason: error.to_string(),
        })
    })
}
