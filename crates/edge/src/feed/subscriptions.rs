//! Subscriptions to the change feeds of readers.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hornbeamhitch_dispatch::waits::Waits;
use hornbeamhitch_wire::link::ToEntry;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::links::FeedLinks;
use crate::link::LinkFault;
use crate::prelude::*;
use crate::source::Change;

/// First pause before a reader that was lost, or was none, is asked again; doubled with
/// each attempt in vain. Nodes that start together are ready some tenths of a second apart.
const FIRST_RETRY: Duration = Duration::from_millis(100);
/// Longest such pause.
const MAX_RETRY: Duration = Duration::from_secs(1);

/// What a reader told.
#[derive(Debug)]
pub enum FeedEvent {
    /// Every change up to the revision, of those after the revision that was
    /// known at the subscription.
    Update {
        /// The reader.
        reader: IpAddr,
        /// Changes in their order.
        changes: Vec<Change>,
        /// Nothing up to this revision is left out.
        revision: u64,
        /// The reader's own last read failed.
        last_read_failed: bool,
        /// This was all that the source had published by then, but for the time that
        /// the word was on its way.
        as_of: Millis,
    },
    /// This node has read a configuration that its readers could not tell.
    RoutesRead(RouteSet),
    /// The reader tells nothing for now.
    Lost {
        /// The reader.
        reader: IpAddr,
    },
}

/// The readers that this node hears.
#[derive(Debug)]
pub struct Subscriptions {
    context: SubscriptionContext,
    /// Everything up to this revision is known here.
    known_revision: Arc<AtomicU64>,
    events: mpsc::UnboundedReceiver<FeedEvent>,
    event_sender: mpsc::UnboundedSender<FeedEvent>,
    readers: BTreeMap<IpAddr, Subscription>,
}

/// How readers are heard.
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
}

/// What is known of a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReaderHealth {
    /// It is not connected, or silent.
    Lost,
    /// It publishes, and its own last read failed.
    Unhealthy,
    /// It publishes, and its own reads succeed.
    Healthy,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Subscriptions {
    /// None yet; readers are reached over these links.
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

    /// Where this node's own reads are put in beside what readers tell.
    pub fn event_sender(&self) -> mpsc::UnboundedSender<FeedEvent> {
        self.event_sender.clone()
    }

    /// Everything up to this revision is known here.
    pub fn set_known_revision(&self, revision: u64) {
        self.known_revision.store(revision, Ordering::Release);
    }

    /// Subscribes to these readers and to no others.
    pub fn set_readers(&mut self, wanted: &[IpAddr]) {
        self.readers.retain(|reader, _| wanted.contains(reader));
        let mut delay = Duration::ZERO;
        for reader in wanted {
            if self.readers.contains_key(reader) {
                continue;
            }
            let subscription_task = run_subscription(
                *reader,
                delay,
                self.context.clone(),
                Arc::clone(&self.known_revision),
                self.event_sender.clone(),
            );
            delay += self.next_subscription_delay();
            let subscription = Subscription {
                task: tokio::spawn(subscription_task).abort_handle(),
                health: ReaderHealth::Lost,
            };
            self.readers.insert(*reader, subscription);
        }
    }

    /// Delay of each further subscription. A node without state receives all of it from
    /// every reader that it subscribes to before the first update; when a whole fleet
    /// starts, that would saturate the readers' links.
    fn next_subscription_delay(&self) -> Duration {
        match self.known_revision.load(Ordering::Acquire) {
            0 => self.context.waits.tell_again_ms().to_duration(),
            _ => Duration::ZERO,
        }
    }

    /// Readers that speak and whose own reads succeed.
    #[must_use]
    pub fn healthy_readers(&self) -> usize {
        self.count(ReaderHealth::Healthy)
    }

    /// Whether some readers publish, and none of these reaches the source.
    #[must_use]
    pub fn all_unhealthy(&self) -> bool {
        self.healthy_readers() == 0 && self.count(ReaderHealth::Unhealthy) > 0
    }

    fn count(&self, health: ReaderHealth) -> usize {
        let readers = self.readers.values();
        readers.filter(|reader| reader.health == health).count()
    }

    /// What is told next. Safe to cancel.
    pub async fn next(&mut self) -> FeedEvent {
        let event = self.events.recv().await;
        let event = event.expect("this struct holds a sender");
        let (reader, health) = match &event {
            FeedEvent::Update {
                reader,
                last_read_failed: true,
                ..
            } => (reader, ReaderHealth::Unhealthy),
            FeedEvent::Update { reader, .. } => (reader, ReaderHealth::Healthy),
            FeedEvent::Lost { reader } => (reader, ReaderHealth::Lost),
            FeedEvent::RoutesRead(_) => return event,
        };
        if let Some(subscription) = self.readers.get_mut(reader) {
            subscription.health = health;
        }
        event
    }
}

/// Hears one reader for as long as it is wanted.
async fn run_subscription(
    reader: IpAddr,
    delay: Duration,
    context: SubscriptionContext,
    known_revision: Arc<AtomicU64>,
    event_sender: mpsc::UnboundedSender<FeedEvent>,
) {
    let mut is_established = false;
    let mut retry = FIRST_RETRY;
    tokio::time::sleep(delay).await;
    loop {
        let ended = subscribe_once(
            reader,
            &context,
            &known_revision,
            &event_sender,
            &mut is_established,
        )
        .await;
        if is_established {
            log::info!("the reader {reader} is not heard any more: {ended}");
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
    known_revision: &AtomicU64,
    event_sender: &mpsc::UnboundedSender<FeedEvent>,
    is_established: &mut bool,
) -> LinkFault {
    let known_revision = known_revision.load(Ordering::Acquire);
    let timeout = context.waits.tell_again_ms().to_duration();
    let opening = tokio::time::timeout(timeout, context.links.open(reader, known_revision));
    let mut stream = match opening.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(fault)) => return fault,
        Err(silence) => return LinkFault::Io(silence.into()),
    };
    let mut changes = Vec::new();
    loop {
        let silence = context.waits.reader_silence_ms().to_duration();
        let frame = match tokio::time::timeout(silence, stream.next()).await {
            Ok(Ok(frame)) => frame,
            Ok(Err(fault)) => return fault,
            Err(silence) => return LinkFault::Io(silence.into()),
        };
        match frame {
            ToEntry::Change(encoded) => match decode(&encoded) {
                Ok(change) => changes.push(change),
                Err(fault) => return fault,
            },
            ToEntry::KnownTo {
                revision,
                last_read_failed,
                age_ms,
            } => {
                if !*is_established {
                    *is_established = true;
                    log::info!(revision; "changes are heard from the reader {reader}");
                }
                let event = FeedEvent::Update {
                    reader,
                    changes: std::mem::take(&mut changes),
                    revision,
                    last_read_failed,
                    as_of: context.clock.now().minus(age_ms),
                };
                if event_sender.send(event).is_err() {
                    return LinkFault::Closed;
                }
            }
            ToEntry::NoFeed => return LinkFault::Closed,
            // What a gate tells its entries is of no use here.
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
