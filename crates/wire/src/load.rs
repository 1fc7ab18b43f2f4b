//! The load report that rides on every answer of a gate.

use std::fmt;
use std::str::FromStr;

use hornbeamhitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::error::WireError;

/// What a gate knows about its target at the moment of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls running in the target.
    pub in_flight: u32,
    /// Calls waiting in the gate.
    pub queued: u32,
    /// The gate's present concurrency limit.
    pub limit: u32,
    /// Smoothed service time of the target in microseconds.
    pub service_time_us: u32,
    /// The gate's clock, from which tickets' expiry is reckoned.
    pub gate_clock_ms: Millis,
    /// The life of the gate.
    pub incarnation: Incarnation,
    /// The gate takes no new work.
    pub leaving: bool,
}

const FIELDS: usize = 7;

/// Written as `in_flight,queued,limit,service_time_us,clock,incarnation,leaving`.
impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{},{},{},{},{},{},{}",
            self.in_flight,
            self.queued,
            self.limit,
            self.service_time_us,
            self.gate_clock_ms.0,
            self.incarnation.0,
            u8::from(self.leaving),
        )
    }
}

impl FromStr for LoadReport {
    type Err = WireError;

    fn from_str(text: &str) -> Result<Self, WireError> {
        let mut fields = [0_u64; FIELDS];
        let mut count = 0;
        for part in text.split(',') {
            let Some(slot) = fields.get_mut(count) else {
                return Err(malformed("too many fields"));
            };
            *slot = part.parse().map_err(malformed)?;
            count += 1;
        }
        if count != FIELDS {
            return Err(malformed("too few fields"));
        }
        let [
            in_flight,
            queued,
            limit,
            service_time_us,
            clock,
            incarnation,
            leaving,
        ] = fields;
        Ok(Self {
            in_flight: narrow(in_flight),
            queued: narrow(queued),
            limit: narrow(limit),
            service_time_us: narrow(service_time_us),
            gate_clock_ms: Millis(clock),
            incarnation: Incarnation(incarnation),
            leaving: leaving != 0,
        })
    }
}

fn narrow(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

fn malformed(reason: impl fmt::Display) -> WireError {
    WireError::Malformed {
        what: "load report",
        reason: reason.to_string(),
    }
}
