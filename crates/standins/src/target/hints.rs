//! Answers to `/.health` and `/.load`, which can be outdated or wrong on request.

use std::collections::VecDeque;

use crate::http_server::{Answer, json_answer, text_answer};
use crate::prelude::*;

use super::behaviour::{Behaviour, HealthReport};

const MAX_AGE: Millis = Millis::from_secs(60);
const MAX_ENTRIES: usize = 100_000;

/// Load report of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of runs in progress.
    pub in_flight: u32,
    /// Number of requests waiting for a slot.
    pub queued: u32,
    /// Maximum number of concurrent runs.
    pub slots: u32,
    /// Smoothed service time in microseconds.
    pub service_time_us: u32,
}

/// State of the target at one time.
#[derive(Clone, Copy, Debug)]
struct Snapshot {
    at: Millis,
    load: Load,
    is_healthy: bool,
    draining: bool,
}

/// Keeps a history of states, so that outdated ones can be reported.
pub(super) struct Hints {
    clock: ProcessClock,
    snapshots: Mutex<VecDeque<Snapshot>>,
}

impl Hints {
    pub(super) fn new(load: Load) -> Self {
        let first = Snapshot {
            at: Millis::ZERO,
            load,
            is_healthy: true,
            draining: false,
        };
        Self {
            clock: ProcessClock::start(),
            snapshots: Mutex::new(VecDeque::from([first])),
        }
    }

    /// Adds the current state to the history.
    pub(super) fn note(&self, load: Load, behaviour: &Behaviour) {
        let now = self.clock.now();
        let mut snapshots = self.snapshots.lock();
        snapshots.push_back(Snapshot {
            at: now,
            load,
            is_healthy: !behaviour.draining && !behaviour.fail_fast,
            draining: behaviour.draining,
        });
        while snapshots.len() > 1 {
            let too_old = now.since(snapshots[1].at) > MAX_AGE;
            if !too_old && snapshots.len() <= MAX_ENTRIES {
                return;
            }
            snapshots.pop_front();
        }
    }

    fn as_of(&self, lag: Millis) -> Snapshot {
        let now = self.clock.now();
        let snapshots = self.snapshots.lock();
        for snapshot in snapshots.iter().rev() {
            if now.since(snapshot.at) < lag {
                continue;
            }
            return *snapshot;
        }
        snapshots[0]
    }

    pub(super) fn health(&self, behaviour: &Behaviour) -> Answer {
        let snapshot = self.as_of(Millis(behaviour.hint_lag_ms));
        let is_healthy = match behaviour.health {
            HealthReport::Truth => snapshot.is_healthy,
            HealthReport::AlwaysWell => true,
            HealthReport::AlwaysIll => false,
        };
        if is_healthy {
            return text_answer(StatusCode::OK, "well");
        }
        let mut answer = text_answer(StatusCode::SERVICE_UNAVAILABLE, "ill");
        if snapshot.draining {
            let draining = http::HeaderValue::from_static(header::STATE_DRAINING);
            answer.headers_mut().insert(header::STATE, draining);
        }
        answer
    }

    pub(super) fn load(&self, behaviour: &Behaviour) -> Answer {
        let load = match behaviour.load {
            Some(forced) => forced,
            None => self.as_of(Millis(behaviour.hint_lag_ms)).load,
        };
        json_answer(StatusCode::OK, &load)
    }
}
