//! The cost of measuring and control, as counts and as ratios.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use hornbeamhitch_types::status::ControlCounters;

/// The cost of a node's measuring and control since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeasuringCost {
    /// Number of calls that ended at this entry, for comparison.
    pub calls: u64,
    /// Probes sent.
    pub probes: u64,
    /// Control datagrams sent.
    pub datagrams_sent: u64,
    /// Control datagrams received.
    pub datagrams_received: u64,
    /// Bytes of control datagrams sent.
    pub sent_bytes: u64,
    /// Bytes of control datagrams received.
    pub received_bytes: u64,
    /// Bulk transfers fetched.
    pub bulk_pulls: u64,
    /// Bytes of bulk transfers fetched.
    pub bulk_pulled_bytes: u64,
    /// Bulk transfers served.
    pub bulk_serves: u64,
    /// Bytes of bulk transfers served.
    pub bulk_served_bytes: u64,
    /// Reads of the platform, including long-polling watches.
    pub platform_reads: u64,
    /// Time that the control thread was busy.
    pub control_busy_us: u64,
    /// Time since the start.
    pub elapsed_us: u64,
}

impl MeasuringCost {
    /// Returns the number of messages sent for measuring and control per call;
    /// `None` before the first call.
    #[must_use]
    pub fn messages_per_call(&self) -> Option<f64> {
        let messages = self.probes + self.datagrams_sent + self.bulk_pulls + self.platform_reads;
        ratio(messages, self.calls)
    }

    /// Returns the share of one core that the control thread used; `None` if no
    /// time has passed since the start.
    #[must_use]
    pub fn control_core_share(&self) -> Option<f64> {
        ratio(self.control_busy_us, self.elapsed_us)
    }

    /// Returns the bytes of control traffic per second in both directions,
    /// including bulk transfers; `None` if no time has passed since the start.
    #[must_use]
    pub fn control_bytes_per_s(&self) -> Option<f64> {
        const US_PER_S: f64 = 1_000_000.0;
        let bytes =
            self.sent_bytes + self.received_bytes + self.bulk_pulled_bytes + self.bulk_served_bytes;
        ratio(bytes, self.elapsed_us).map(|per_us| per_us * US_PER_S)
    }

    pub(super) fn control_counters(&self) -> ControlCounters {
        ControlCounters {
            datagrams_sent: self.datagrams_sent,
            datagrams_received: self.datagrams_received,
            sent_bytes: self.sent_bytes,
            received_bytes: self.received_bytes,
            bulk_pulls: self.bulk_pulls,
            bulk_bytes: self.bulk_pulled_bytes,
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a displayed ratio needs no more than 52 bits"
)]
fn ratio(part: u64, whole: u64) -> Option<f64> {
    if whole == 0 {
        return None;
    }
    Some(part as f64 / whole as f64)
}

/// The counters behind [`MeasuringCost`].
///
/// They are kept apart from the metrics library, because ratios are computed
/// from several of them and the library's counters cannot be read.
#[derive(Debug)]
pub(super) struct CostCounters {
    started: Instant,
    calls: AtomicU64,
    probes: AtomicU64,
    datagrams_sent: AtomicU64,
    datagrams_received: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    bulk_pulls: AtomicU64,
    bulk_pulled_bytes: AtomicU64,
    bulk_serves: AtomicU64,
    bulk_served_bytes: AtomicU64,
    platform_reads: AtomicU64,
    control_busy_us: AtomicU64,
}

impl CostCounters {
    pub(super) fn start() -> Self {
        Self {
            started: Instant::now(),
            calls: AtomicU64::default(),
            probes: AtomicU64::default(),
            datagrams_sent: AtomicU64::default(),
            datagrams_received: AtomicU64::default(),
            sent_bytes: AtomicU64::default(),
            received_bytes: AtomicU64::default(),
            bulk_pulls: AtomicU64::default(),
            bulk_pulled_bytes: AtomicU64::default(),
            bulk_serves: AtomicU64::default(),
            bulk_served_bytes: AtomicU64::default(),
            platform_reads: AtomicU64::default(),
            control_busy_us: AtomicU64::default(),
        }
    }

    pub(super) fn count_call(&self) {
        add(&self.calls, 1);
    }

    pub(super) fn count_probe(&self) {
        add(&self.probes, 1);
    }

    pub(super) fn count_sent(&self, size_bytes: usize) {
        add(&self.datagrams_sent, 1);
        add(&self.sent_bytes, size_bytes as u64);
    }

    pub(super) fn count_received(&self, size_bytes: usize) {
        add(&self.datagrams_received, 1);
        add(&self.received_bytes, size_bytes as u64);
    }

    pub(super) fn count_pull(&self, size_bytes: usize) {
        add(&self.bulk_pulls, 1);
        add(&self.bulk_pulled_bytes, size_bytes as u64);
    }

    pub(super) fn count_serve(&self, size_bytes: usize) {
        add(&self.bulk_serves, 1);
        add(&self.bulk_served_bytes, size_bytes as u64);
    }

    pub(super) fn count_platform_read(&self) {
        add(&self.platform_reads, 1);
    }

    pub(super) fn count_busy(&self, busy_us: u64) {
        add(&self.control_busy_us, busy_us);
    }

    pub(super) fn read(&self) -> MeasuringCost {
        let elapsed_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        MeasuringCost {
            calls: get(&self.calls),
            probes: get(&self.probes),
            datagrams_sent: get(&self.datagrams_sent),
            datagrams_received: get(&self.datagrams_received),
            sent_bytes: get(&self.sent_bytes),
            received_bytes: get(&self.received_bytes),
            bulk_pulls: get(&self.bulk_pulls),
            bulk_pulled_bytes: get(&self.bulk_pulled_bytes),
            bulk_serves: get(&self.bulk_serves),
            bulk_served_bytes: get(&self.bulk_served_bytes),
            platform_reads: get(&self.platform_reads),
            control_busy_us: get(&self.control_busy_us),
            elapsed_us,
        }
    }
}

/// The counters are independent, so relaxed ordering is sufficient.
fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

fn get(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
