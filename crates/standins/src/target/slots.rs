//! The slots of a target and the queue of requests that wait for them.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

use crate::prelude::*;

/// Handling of requests while all slots are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Overflow {
    /// They are queued up to a limit; above it they are rejected.
    Queue {
        /// Maximum number of queued requests.
        limit: u32,
    },
    /// They are rejected.
    Shed,
}

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoSlot {
    /// All slots are in use and the queue is full.
    Full,
    /// The deadline passed in the queue.
    DeadlinePassed,
}

pub(super) struct Slots {
    semaphore: Arc<Semaphore>,
    overflow: Overflow,
    in_flight: Arc<AtomicU32>,
    max_in_flight: AtomicU32,
    queued: AtomicU32,
    cancelled_in_queue: AtomicU64,
}

/// A slot in use, released when this value is dropped.
pub(super) struct Slot {
    _permit: OwnedSemaphorePermit,
    in_flight: Arc<AtomicU32>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    pub(super) fn new(slots: u32, overflow: Overflow) -> Self {
        Self {
            semaphore: Arc::new(Semaphore::new(slots as usize)),
            overflow,
            in_flight: Arc::default(),
            max_in_flight: AtomicU32::new(0),
            queued: AtomicU32::new(0),
            cancelled_in_queue: AtomicU64::new(0),
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(super) fn max_in_flight(&self) -> u32 {
        self.max_in_flight.load(Ordering::Relaxed)
    }

    pub(super) fn queued(&self) -> u32 {
        self.queued.load(Ordering::Relaxed)
    }

    pub(super) fn cancelled_in_queue(&self) -> u64 {
        self.cancelled_in_queue.load(Ordering::Relaxed)
    }

    pub(super) async fn take(&self, deadline: Option<Instant>) -> Result<Slot, NoSlot> {
        if let Ok(permit) = Arc::clone(&self.semaphore).try_acquire_owned() {
            return Ok(self.occupy(permit));
        }
        let Overflow::Queue { limit } = self.overflow else {
            return Err(NoSlot::Full);
        };
        if self.queued.fetch_add(1, Ordering::Relaxed) >= limit {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            return Err(NoSlot::Full);
        }
        let mut position = QueuePosition {
            slots: self,
            served: false,
        };
        let acquired = Arc::clone(&self.semaphore).acquire_owned();
        let permit = match deadline {
            Some(deadline) => match timeout_at(deadline, acquired).await {
                Ok(permit) => permit,
                Err(_) => {
                    position.served = true;
                    return Err(NoSlot::DeadlinePassed);
                }
            },
            None => acquired.await,
        };
        position.served = true;
        let permit = permit.expect("the semaphore is never closed");
        Ok(self.occupy(permit))
    }

    fn occupy(&self, permit: OwnedSemaphorePermit) -> Slot {
        let now = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_in_flight.fetch_max(now, Ordering::Relaxed);
        Slot {
            _permit: permit,
            in_flight: Arc::clone(&self.in_flight),
        }
    }
}

/// A position in the queue. Dropping it before it is served counts the request
/// as cancelled by its caller.
struct QueuePosition<'a> {
    slots: &'a Slots,
    served: bool,
}

impl Drop for QueuePosition<'_> {
    fn drop(&mut self) {
        self.slots.queued.fetch_sub(1, Ordering::Relaxed);
        if !self.served {
            self.slots
                .cancelled_in_queue
                .fetch_add(1, Ordering::Relaxed);
        }
    }
}
