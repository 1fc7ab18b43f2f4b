//! `/.health` and `/.load`: hints that lag and mislead.

use std::collections::VecDeque;

use crate::http_server::{Answer, json_answer, text_answer};
use crate::prelude::*;

use super::mood::{HealthSays, Mood};

const MAX_AGE: Millis = Millis::from_secs(60);
const MAX_ENTRIES: usize = 100_000;

/// What a target says about its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Runs in progress.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Runs that the target can have in progress.
    pub slots: u32,
    /// Smoothed service time in microseconds.
    pub service_time_us: u32,
}

/// The state at one time.
#[derive(Clone, Copy, Debug)]
struct Moment {
    at: Millis,
    load: Load,
    well: bool,
    draining: bool,
}

/// Remembers states, so that old ones can be told.
pub(super) struct Hints {
    clock: ProcessClock,
    moments: Mutex<VecDeque<Moment>>,
}

impl Hints {
    pub(super) fn new(load: Load) -> Self {
        let first = Moment {
            at: Millis::ZERO,
            load,
            well: true,
            draining: false,
        };
        Self {
            clock: ProcessClock::start(),
            moments: Mutex::new(VecDeque::from([first])),
        }
    }

    /// Remembers the present state.
    pub(super) fn note(&self, load: Load, mood: &Mood) {
        let now = self.clock.now();
        let mut moments = self.moments.lock();
        moments.push_back(Moment {
            at: now,
            load,
            well: !mood.draining && !mood.fail_fast,
            draining: mood.draining,
        });
        while moments.len() > 1 {
            let too_old = now.since(moments[1].at) > MAX_AGE;
            if !too_old && moments.len() <= MAX_ENTRIES {
                return;
            }
            moments.pop_front();
        }
    }

    fn as_of(&self, lag: Millis) -> Moment {
        let now = self.clock.now();
        let moments = self.moments.lock();
        for moment in moments.iter().rev() {
            if now.since(moment.at) < lag {
                continue;
            }
            return *moment;
        }
        moments[0]
    }

    pub(super) fn health(&self, mood: &Mood) -> Answer {
        let moment = self.as_of(Millis(mood.hint_lag_ms));
        let well = match mood.health {
            HealthSays::Truth => moment.well,
            HealthSays::AlwaysWell => true,
            HealthSays::AlwaysIll => false,
        };
        if well {
            return text_answer(StatusCode::OK, "well");
        }
        let mut answer = text_answer(StatusCode::SERVICE_UNAVAILABLE, "ill");
        if moment.draining {
            let draining = http::HeaderValue::from_static(header::STATE_DRAINING);
            answer.headers_mut().insert(header::STATE, draining);
        }
        answer
    }

    pub(super) fn load(&self, mood: &Mood) -> Answer {
        let load = match mood.load {
            Some(lie) => lie,
            None => self.as_of(Millis(mood.hint_lag_ms)).load,
        };
        json_answer(StatusCode::OK, &load)
    }
}
