//! The numeric settings of a service: key, range, unit and built-in default.

use std::fmt;

use hornbeamhitch_types::policy::ServicePolicy;
use serde::Serialize;
use strum::{EnumCount, IntoStaticStr, VariantArray};

/// A numeric setting that a service or the text's defaults can set.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    EnumCount,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Setting {
    /// Calls that one target runs concurrently.
    Slots,
    /// Connections that a gate may open to its target.
    Connections,
    /// Calls that may wait in a gate's queue.
    QueueLimit,
    /// Deadline of calls that do not set their own.
    DeadlineMs,
    /// How long a ticket is valid.
    TicketTtlMs,
    /// Records of non-idempotent calls that a gate may store.
    MaxRecords,
    /// Largest answer that is stored with a record, in bytes.
    MaxStoredAnswerBytes,
    /// Largest answer that the entry buffers, in bytes.
    BufferBytes,
    /// Largest request body, in bytes.
    MaxRequestBytes,
    /// Warm-up time over which a cold target's share grows to its full size.
    ColdRampMs,
    /// Probes per second that one node may send.
    ProbesPerS,
    /// Probes that may be sent in one burst.
    ProbeBurst,
    /// Retries as a share of first attempts.
    RetryShare,
    /// Hedged requests as a share of first attempts.
    HedgeShare,
    /// Quantile of recent latencies after which a hedged request may start.
    HedgeQuantile,
    /// Consecutive failures that eject a target.
    ConsecutiveFailures,
    /// Share of targets that may be ejected at once.
    MaxEjectedShare,
    /// Time until the first trial call to an ejected target.
    BaseEjectionMs,
    /// Upper bound on the time between trial calls.
    MaxEjectionMs,
}

/// The object of a service that contains a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Group {
    /// The service itself.
    Service,
    /// The `budgets` object of the service.
    Budgets,
    /// The `ejection` object of the service.
    Ejection,
}

/// The range of allowed numbers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
    /// Whether only whole numbers are allowed.
    pub whole: bool,
}

impl Range {
    pub(crate) const fn whole(min: u32, max: u32) -> Self {
        Self {
            min: min as f64,
            max: max as f64,
            whole: true,
        }
    }

    pub(crate) const fn fraction(min: f64, max: f64) -> Self {
        Self {
            min,
            max,
            whole: false,
        }
    }

    pub(crate) fn contains(self, value: f64) -> bool {
        let in_bounds = value >= self.min && value <= self.max;
        in_bounds && (!self.whole || value.fract() == 0.0)
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.whole {
            "a whole number"
        } else {
            "a number"
        };
        write!(f, "{kind} from {} to {}", self.min, self.max)
    }
}

const KIB: u32 = 1_024;
const MIB: u32 = 1_024 * KIB;
const MINUTE_MS: u32 = 60_000;

/// The properties of one setting.
struct Spec {
    group: Group,
    range: Range,
    built_in: f64,
}

const fn whole(min: u32, max: u32, built_in: u32) -> Spec {
    Spec {
        group: Group::Service,
        range: Range::whole(min, max),
        built_in: built_in as f64,
    }
}

const fn fraction(min: f64, max: f64, built_in: f64) -> Spec {
    Spec {
        group: Group::Service,
        range: Range::fraction(min, max),
        built_in,
    }
}

const fn within(group: Group, spec: Spec) -> Spec {
    Spec { group, ..spec }
}

impl Setting {
    /// Returns the key of the setting in the text.
    #[must_use]
    pub fn key(self) -> &'static str {
        self.into()
    }

    /// Returns the object that contains the key.
    #[must_use]
    pub const fn group(self) -> Group {
        self.spec().group
    }

    /// Returns the range of allowed values.
    #[must_use]
    pub const fn range(self) -> Range {
        self.spec().range
    }

    /// Returns the value that applies if neither the service nor the text's
    /// defaults set one.
    ///
    /// `queue_limit` is an exception: if it is not set, it equals `slots`.
    #[must_use]
    pub const fn built_in(self) -> f64 {
        self.spec().built_in
    }

    const fn spec(self) -> Spec {
        match self {
            Self::Slots => whole(1, 10_000, 8),
            Self::Connections => whole(1, 100_000, 250),
            Self::QueueLimit => whole(0, 10_000, 8),
            Self::DeadlineMs => whole(1, 10 * MINUTE_MS, 2_000),
            Self::TicketTtlMs => whole(1_000, 60 * MINUTE_MS, 120_000),
            Self::MaxRecords => whole(1, 1_000_000, 100_000),
            Self::MaxStoredAnswerBytes => whole(0, 16 * MIB, 64 * KIB),
            Self::BufferBytes => whole(0, 16 * MIB, 64 * KIB),
            Self::MaxRequestBytes => whole(1, 1_024 * MIB, 32 * MIB),
            Self::ColdRampMs => whole(0, 10 * MINUTE_MS, 10_000),
            Self::ProbesPerS => within(Group::Budgets, fraction(0.0, 100.0, 0.5)),
            Self::ProbeBurst => within(Group::Budgets, whole(1, 100, 2)),
            Self::RetryShare => within(Group::Budgets, fraction(0.0, 1.0, 0.1)),
            Self::HedgeShare => within(Group::Budgets, fraction(0.0, 1.0, 0.02)),
            Self::HedgeQuantile => within(Group::Budgets, fraction(0.5, 0.999, 0.95)),
            Self::ConsecutiveFailures => within(Group::Ejection, whole(1, 100, 5)),
            Self::MaxEjectedShare => within(Group::Ejection, fraction(0.0, 0.9, 0.5)),
            Self::BaseEjectionMs => within(Group::Ejection, whole(1, 10 * MINUTE_MS, 1_000)),
            Self::MaxEjectionMs => within(Group::Ejection, whole(1, 60 * MINUTE_MS, 30_000)),
        }
    }

    /// Returns the value of the setting in a resolved policy.
    #[must_use]
    pub fn value_in(self, policy: &ServicePolicy) -> f64 {
        match self {
            Self::Slots => f64::from(policy.slots),
            Self::Connections => f64::from(policy.connections),
            Self::QueueLimit => f64::from(policy.queue_limit),
            Self::DeadlineMs => policy.deadline_ms.0 as f64,
            Self::TicketTtlMs => policy.ticket_ttl_ms.0 as f64,
            Self::MaxRecords => f64::from(policy.max_records),
            Self::MaxStoredAnswerBytes => f64::from(policy.max_stored_answer_bytes),
            Self::BufferBytes => f64::from(policy.buffer_bytes),
            Self::MaxRequestBytes => policy.max_request_bytes as f64,
            Self::ColdRampMs => policy.cold_ramp_ms.0 as f64,
            Self::ProbesPerS => policy.budgets.probes_per_s,
            Self::ProbeBurst => f64::from(policy.budgets.probe_burst),
            Self::RetryShare => policy.budgets.retry_share,
            Self::HedgeShare => policy.budgets.hedge_share,
            Self::HedgeQuantile => policy.budgets.hedge_quantile,
            Self::ConsecutiveFailures => f64::from(policy.ejection.consecutive_failures),
            Self::MaxEjectedShare => policy.ejection.max_ejected_share,
            Self::BaseEjectionMs => policy.ejection.base_ejection_ms.0 as f64,
            Self::MaxEjectionMs => policy.ejection.max_ejection_ms.0 as f64,
        }
    }

    /// Returns the settings of one group in the order of the documentation.
    pub(crate) fn in_group(group: Group) -> Vec<Self> {
        let mut settings = Vec::new();
        for setting in Self::VARIANTS {
            if setting.group() != group {
                continue;
            }
            settings.push(*setting);
        }
        settings
    }
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.key())
    }
}
