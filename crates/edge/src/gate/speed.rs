//! Probes the target's health endpoint for the current speed of its VM and for the time
//! until it has warmed up.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hornbeamhitch_dispatch::gate::admission::SpeedReading;
use hornbeamhitch_dispatch::gate::stated_limit::LimitSource;

use super::statements::Statement;
use crate::http1;
use crate::prelude::*;
use crate::target::{Exchange, ExchangeFault, TargetClient, is_success};
use crate::target_report::TargetReport;

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

/// Result of a health check.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthReading {
    pub(super) speed: SpeedReading,
    /// What the target reported; `None` if it was not asked or did not answer.
    pub(super) report: Option<TargetReport>,
    /// Whether the target answered that it is healthy.
    pub(super) is_healthy: bool,
    /// When the target was asked.
    pub(super) asked_at: Millis,
}

impl HealthReading {
    /// Returns what the target stated about itself, if it answered.
    pub(super) fn statement(&self) -> Option<Statement> {
        Some(Statement {
            source: LimitSource::HealthCheck,
            notice: self.report?.notice,
            is_success: self.is_healthy,
            asked_at: self.asked_at,
        })
    }
}

/// How to check the target's health.
pub(super) struct HealthProbe<'a> {
    pub(super) target: &'a TargetClient,
    pub(super) dialect: &'a dyn Dialect,
    /// Path of the health endpoint; `None` if no configuration names one.
    pub(super) path: Option<&'a str>,
    /// Whether targets of the service are cold after their start.
    pub(super) has_warm_up: bool,
}

#[derive(Debug, Default)]
struct LastReading {
    reading: Option<HealthReading>,
    /// The target is not probed before this time, because it reported no load.
    next_probe_at: Millis,
}

impl SpeedProbe {
    /// Returns the target's current speed and warm-up. Concurrent callers share the
    /// result of one probe.
    pub(super) async fn read(
        &self,
        probe: &HealthProbe<'_>,
        clock: ProcessClock,
    ) -> Result<HealthReading, TargetDown> {
        let requested_at = clock.now();
        let mut last = self.last_reading.lock().await;
        if let Some(reading) = last.reading
            && reading.speed.read_at >= requested_at
        {
            return Ok(reading);
        }
        let mut report = None;
        if let Some(path) = probe.path
            && requested_at >= last.next_probe_at
        {
            report = self.probe(probe, path).await?;
        }
        let load = report.and_then(|report| report.load);
        let slowness_percent = load.and_then(|load| load.slowness_percent);
        if report.is_some() && slowness_percent.is_none() && !probe.has_warm_up {
            last.next_probe_at = clock.now() + REPROBE_AFTER_MS;
        }
        let reading = HealthReading {
            speed: SpeedReading {
                slowness_percent: slowness_percent.unwrap_or(USUAL_SLOWNESS_PERCENT),
                read_at: clock.now(),
            },
            report,
            is_healthy: !self.is_unhealthy(),
            asked_at: requested_at,
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

    /// Sends one probe. Returns `None` if the target gave no valid answer in time.
    async fn probe(
        &self,
        probe: &HealthProbe<'_>,
        path: &str,
    ) -> Result<Option<TargetReport>, TargetDown> {
        self.sent.fetch_add(1, Ordering::Relaxed);
        let host = HeaderField {
            name: "Host".to_owned(),
            value: "target".into(),
        };
        let exchange = Exchange {
            method: "GET".to_owned(),
            request_id: None,
            is_idempotent: true,
            encoded: http1::request("GET", path, &[host], Bytes::new()),
        };
        let exchanging = probe.target.exchange(&exchange, || {});
        let answer = match tokio::time::timeout(PROBE_TIMEOUT, exchanging).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(ExchangeFault::Unreachable | ExchangeFault::Refused)) => return Err(TargetDown),
            // An endpoint that breaks or hangs says nothing about the speed. The calls
            // themselves will show whether the target works.
            Ok(Err(ExchangeFault::Broken(_))) | Err(_) => return Ok(None),
        };
        self.note_health(answer.head.status);
        let mut report = TargetReport::decode(&answer.head.fields, probe.dialect);
        // A target that is not cold need not report that, but a failed health check without
        // a report shows nothing.
        if is_success(answer.head.status) {
            report.warm_up_left_ms.get_or_insert(Millis::ZERO);
        }
        Ok(Some(report))
    }
}
