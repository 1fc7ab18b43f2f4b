//! Probes the target's health endpoint for the current speed of its VM.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hornbeamhitch_dispatch::admission::SpeedReading;

use crate::http1;
use crate::prelude::*;
use crate::target::{Exchange, ExchangeFault, TargetClient, is_success};

/// Slowness that is assumed for a target that reports no speed.
const USUAL_SLOWNESS_PERCENT: u32 = 100;
/// Time limit of a probe, after which calls no longer wait for it. The health
/// endpoint usually answers over loopback in about a millisecond.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);

/// Delay before a target that reported no load is probed again. A target that is
/// starting, or whose health check fails for another reason, reports none for a
/// while. If it were never probed again, the gate would start calls during all of
/// its later slow spells. One probe a second is little next to the calls.
const REPROBE_AFTER_MS: Millis = Millis(1_000);

/// The target refused the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TargetDown;

/// Probes the speed; calls that wait at the same time share one probe.
#[derive(Debug, Default)]
pub(super) struct SpeedProbe {
    last_reading: tokio::sync::Mutex<LastReading>,
    sent: AtomicU64,
    /// Whether the target's last health check failed.
    is_unhealthy: AtomicBool,
}

#[derive(Debug, Default)]
struct LastReading {
    reading: Option<SpeedReading>,
    /// The target is not probed before this time, because it reported no load.
    next_probe_at: Millis,
}

/// The result of one probe.
enum ProbeResult {
    /// The target's slowness in percent of its usual run time.
    Slowness(u32),
    /// The target answered without a load report.
    NoLoad,
    /// The target gave no valid answer in time.
    NoAnswer,
}

impl SpeedProbe {
    /// Returns the target's current speed. Concurrent callers share the result of one
    /// probe.
    pub(super) async fn read(
        &self,
        target: &TargetClient,
        dialect: &dyn Dialect,
        path: Option<&str>,
        clock: ProcessClock,
    ) -> Result<SpeedReading, TargetDown> {
        let requested_at = clock.now();
        let mut last = self.last_reading.lock().await;
        if let Some(reading) = last.reading
            && reading.read_at >= requested_at
        {
            return Ok(reading);
        }
        let mut percent = USUAL_SLOWNESS_PERCENT;
        if let Some(path) = path
            && requested_at >= last.next_probe_at
        {
            match self.probe(target, dialect, path).await? {
                ProbeResult::Slowness(reported) => percent = reported,
                ProbeResult::NoLoad => last.next_probe_at = clock.now() + REPROBE_AFTER_MS,
                ProbeResult::NoAnswer => {}
            }
        }
        let reading = SpeedReading {
            slowness_percent: percent,
            read_at: clock.now(),
        };
        last.reading = Some(reading);
        Ok(reading)
    }

    /// Returns the number of probes sent since the last call, for the metrics.
    pub(super) fn take_probes_sent(&self) -> u64 {
        self.sent.swap(0, Ordering::Relaxed)
    }

    /// Whether the target's last health check failed.
    pub(super) fn is_unhealthy(&self) -> bool {
        self.is_unhealthy.load(Ordering::Relaxed)
    }

    /// Logs each change of the target's health. An unhealthy target is either faulty or
    /// about to leave; its entry in the list shows which.
    fn note_health(&self, status: u16) {
        let is_unhealthy = !is_success(status);
        if self.is_unhealthy.swap(is_unhealthy, Ordering::Relaxed) == is_unhealthy {
            return;
        }
        match is_unhealthy {
            true => log::warn!(status; "the target reports itself unhealthy"),
            false => log::info!(status; "the target reports itself healthy again"),
        }
    }

    async fn probe(
        &self,
        target: &TargetClient,
        dialect: &dyn Dialect,
        path: &str,
    ) -> Result<ProbeResult, TargetDown> {
        self.sent.fetch_add(1, Ordering::Relaxed);
        let host = HeaderField {
            name: "Host".to_owned(),
            value: "target".into(),
        };
        let exchange = Exchange {
            method: "GET".to_owned(),
            request_id: None,
            is_idempotent: true,
            bytes: http1::request_bytes("GET", path, &[host], &[]).freeze(),
        };
        let answer = match tokio::time::timeout(PROBE_TIMEOUT, target.exchange(&exchange)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(ExchangeFault::Unreachable)) => return Err(TargetDown),
            // An endpoint that breaks or hangs says nothing about the speed. The calls
            // themselves will show whether the target works.
            Ok(Err(ExchangeFault::Broken(_))) | Err(_) => return Ok(ProbeResult::NoAnswer),
        };
        self.note_health(answer.head.status);
        let load = http1::field(&answer.head.fields, dialect.names().load);
        let load = load.and_then(|value| dialect.load(value));
        let Some(slowness_percent) = load.and_then(|load| load.slowness_percent) else {
            return Ok(ProbeResult::NoLoad);
        };
        Ok(ProbeResult::Slowness(slowness_percent))
    }
}
