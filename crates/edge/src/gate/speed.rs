//! Reading how fast the target's VM is now.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hornbeamhitch_dispatch::admission::SpeedReading;

use crate::http1;
use crate::prelude::*;
use crate::target::{Exchange, ExchangeFault, TargetClient, is_success};

/// A target that does not tell its speed counts as usual.
const USUAL_PERCENT: u32 = 100;
/// The health endpoint answers over loopback in about a millisecond; one that
/// takes this long says nothing in time, and calls no longer wait for it.
const READ_TIMEOUT: Duration = Duration::from_millis(40);

/// A target that told no load is asked again after this span. One that starts, or
/// whose health check fails for another reason, tells none for a while; a gate that
/// never asked again would start calls in each slow spell of the target's later
/// life. A question a second is little beside the calls that are asked for.
const ASK_AGAIN_MS: Millis = Millis(1_000);

/// The target refused the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TargetDown;

/// Reads the speed, one question at a time for all calls that wait for it.
#[derive(Debug, Default)]
pub(super) struct SpeedProbe {
    one_at_a_time: tokio::sync::Mutex<LastReading>,
    sent: AtomicU64,
    /// The target's last answer about its health was not that it is well.
    is_unwell: AtomicBool,
}

#[derive(Debug, Default)]
struct LastReading {
    reading: Option<SpeedReading>,
    /// The target told no load, so it is not asked until then.
    ask_from: Millis,
}

/// What a question brought.
enum Told {
    Slowness(u32),
    /// The target answered without its load.
    NoLoad,
    /// The target gave no answer in time.
    Nothing,
}

impl SpeedProbe {
    /// The target's speed now. Callers that wait for the same question share
    /// its answer.
    pub(super) async fn read(
        &self,
        target: &TargetClient,
        dialect: &dyn Dialect,
        path: Option<&str>,
        clock: ProcessClock,
    ) -> Result<SpeedReading, TargetDown> {
        let asked_at = clock.now();
        let mut last = self.one_at_a_time.lock().await;
        if let Some(reading) = last.reading
            && reading.read_at >= asked_at
        {
            return Ok(reading);
        }
        let mut percent = USUAL_PERCENT;
        if let Some(path) = path
            && asked_at >= last.ask_from
        {
            match self.ask(target, dialect, path).await? {
                Told::Slowness(told) => percent = told,
                Told::NoLoad => last.ask_from = clock.now() + ASK_AGAIN_MS,
                Told::Nothing => {}
            }
        }
        let reading = SpeedReading {
            slowness_percent: percent,
            read_at: clock.now(),
        };
        last.reading = Some(reading);
        Ok(reading)
    }

    /// Questions sent since the last call, for the metrics.
    pub(super) fn take_sent(&self) -> u64 {
        self.sent.swap(0, Ordering::Relaxed)
    }

    /// Whether the target last said that it is not well.
    pub(super) fn is_unwell(&self) -> bool {
        self.is_unwell.load(Ordering::Relaxed)
    }

    /// Writes down when the target begins or ends to say that it is not well. Callers
    /// then see it ill, or about to leave; its entry in the list tells which.
    fn note_health(&self, status: u16) {
        let is_unwell = !is_success(status);
        if self.is_unwell.swap(is_unwell, Ordering::Relaxed) == is_unwell {
            return;
        }
        match is_unwell {
            true => log::warn!(status; "the target says that it is not well"),
            false => log::info!(status; "the target says that it is well again"),
        }
    }

    async fn ask(
        &self,
        target: &TargetClient,
        dialect: &dyn Dialect,
        path: &str,
    ) -> Result<Told, TargetDown> {
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
        let answer = match tokio::time::timeout(READ_TIMEOUT, target.exchange(&exchange)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(ExchangeFault::Unreachable)) => return Err(TargetDown),
            // An endpoint that breaks or hangs says nothing of the speed; the
            // calls themselves will show whether the target works.
            Ok(Err(ExchangeFault::Broken(_))) | Err(_) => return Ok(Told::Nothing),
        };
        self.note_health(answer.head.status);
        let load = http1::field(&answer.head.fields, dialect.names().load);
        let load = load.and_then(|value| dialect.load(value));
        let Some(slowness_percent) = load.and_then(|load| load.slowness_percent) else {
            return Ok(Told::NoLoad);
        };
        Ok(Told::Slowness(slowness_percent))
    }
}
