//! The load report that a gate adds to every answer.

use std::fmt;
use std::str::FromStr;

use hornbeamhitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::error::WireError;

/// Load of a gate and its target at the time of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of calls that run in the target.
    pub in_flight: u32,
    /// Number of calls that are queued at the gate.
    pub queued: u32,
    /// Current concurrency limit of the gate.
    pub limit: u32,
    /// Smoothed service time of the target in microseconds.
    pub service_time_us: u32,
    /// The gate's clock, to which the expiry of its tickets refers.
    pub gate_clock_ms: Millis,
    /// Incarnation of the gate.
    pub incarnation: Incarnation,
    /// The gate accepts no new calls.
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
