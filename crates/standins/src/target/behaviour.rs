//! Configurable faults of a stand-in for a target.

use crate::prelude::*;

use super::cut::Cut;
use super::hints::Load;

/// Faults of a target; any of them can be combined. The default has none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Reports `draining` on every answer and at `/.health`.
    pub draining: bool,
    /// Rejects every call with 503 and `hitch-not-run`.
    pub shed: bool,
    /// Answers every call with 500 immediately.
    pub fail_fast: bool,
    /// Factor on service times.
    pub slow_factor: f64,
    /// Delay of each answer after its run, in milliseconds.
    pub delay_ms: u64,
    /// Freezes all work at random times.
    pub random_stalls: Option<RandomStalls>,
    /// What `/.health` reports.
    pub health: HealthReport,
    /// Load that `/.load` reports instead of the actual load.
    pub load: Option<Load>,
    /// Age of the state that `/.health` and `/.load` report, in milliseconds.
    pub hint_lag_ms: u64,
    /// Way in which every answer is cut, if any.
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

/// Random stalls, such as a noisy neighbour causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RandomStalls {
    /// Maximum time between stalls, in milliseconds; drawn uniformly from 1 to this.
    pub every_ms: u64,
    /// Minimum duration of a stall, in milliseconds.
    pub min_ms: u64,
    /// Maximum duration of a stall, in milliseconds.
    pub max_ms: u64,
}

/// What `/.health` reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// 200, or 503 while draining or failing fast.
    #[default]
    Truth,
    /// 200, regardless of the actual state.
    AlwaysWell,
    /// 503, regardless of the actual state.
    AlwaysIll,
}
