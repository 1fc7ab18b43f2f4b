//! How a target's stand-in misbehaves.

use crate::prelude::*;

use super::cut::Cut;
use super::hints::Load;

/// Parts of a misbehaviour, which can come together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Says on every answer and at `/.health` that it wants no new work.
    pub draining: bool,
    /// Sheds every request with 503 and `hitch-not-run`.
    pub shed: bool,
    /// Answers every request with 500 at once.
    pub fail_fast: bool,
    /// Multiplies service times.
    pub slow_factor: f64,
    /// Holds each answer back after its run.
    pub delay_ms: u64,
    /// Freezes all work now and then.
    pub random_stalls: Option<RandomStalls>,
    /// What `/.health` says.
    pub health: HealthReport,
    /// What `/.load` says in place of the truth.
    pub load: Option<Load>,
    /// Age of what `/.health` and `/.load` say.
    pub hint_lag_ms: u64,
    /// Cuts every answer.
    pub cut: Option<Cut>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            draining: false,
            shed: false,
            fail_fast: false,
            slow_factor: 1.0,
            delay_ms: 0,
            random_stalls: None,
            health: HealthReport::Truth,
            load: None,
            hint_lag_ms: 0,
            cut: None,
        }
    }
}

/// Stalls as a noisy neighbour causes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RandomStalls {
    /// Longest time from one stall to the next; drawn evenly from 1.
    pub every_ms: u64,
    /// Shortest stall.
    pub min_ms: u64,
    /// Longest stall.
    pub max_ms: u64,
}

/// What `/.health` says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// 200, or 503 while draining or failing fast.
    #[default]
    Truth,
    /// 200, whatever is wrong.
    AlwaysWell,
    /// 503, although nothing is wrong.
    AlwaysIll,
}
