//! The link to one gate, while it is opened and afterwards.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hornbeamhitch_dispatch::faults::silence::confirmation_timeout_ms;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::client::Link;
use crate::prelude::*;
use crate::silence::LastFrame;

/// The link to one gate.
#[derive(Debug)]
pub(super) struct LinkSlot {
    /// Locked while connecting, so that a burst of calls opens only one link.
    pub(super) link: Arc<tokio::sync::Mutex<Option<Arc<Link>>>>,
    /// When the connecting in progress began.
    opening_since: Mutex<Option<Instant>>,
    /// The round trip as last measured, or 0.
    round_trip_us: AtomicU64,
    /// When the last frame of the gate arrived, over this link or an earlier one.
    pub(super) last_frame: Arc<LastFrame>,
}

impl LinkSlot {
    pub(super) fn new(last_frame: Arc<LastFrame>) -> Self {
        Self {
            link: Arc::default(),
            opening_since: Mutex::new(None),
            round_trip_us: AtomicU64::new(0),
            last_frame,
        }
    }

    /// Returns until when a call may wait for the link.
    pub(super) fn wait_until(&self) -> Instant {
        let since = self.opening_since.lock().unwrap_or_else(Instant::now);
        since + self.confirmation_timeout_ms().to_duration()
    }

    /// Records the round trip as measured while connecting.
    pub(super) fn set_round_trip(&self, round_trip: Duration) {
        let round_trip_us = u64::try_from(round_trip.as_micros()).unwrap_or(u64::MAX);
        self.round_trip_us
            .store(round_trip_us.max(1), Ordering::Relaxed);
    }

    /// Returns the time within which the gate must confirm an attempt.
    pub(super) fn confirmation_timeout_ms(&self) -> Millis {
        let round_trip_us = self.round_trip_us.load(Ordering::Relaxed);
        confirmation_timeout_ms((round_trip_us > 0).then_some(round_trip_us))
    }
}

/// Records that connecting is in progress until it is dropped.
pub(super) struct Opening(Arc<LinkSlot>);

impl Opening {
    /// Records that connecting begins now.
    pub(super) fn begin(slot: &Arc<LinkSlot>) -> Self {
        *slot.opening_since.lock() = Some(Instant::now());
        Self(Arc::clone(slot))
    }
}

impl Drop for Opening {
    fn drop(&mut self) {
        *self.0.opening_since.lock() = None;
    }
}
