//! Estimates the expected time of an attempt at a target from stale
//! information.

use hornbeamhitch_types::clock::Millis;

/// Service time assumed before any has been reported. Until then only ratios
/// between targets matter, so the value only affects the weight of the network
/// distance.
const DEFAULT_SERVICE_US: f32 = 10_000.0;
/// Weight of one report in the averages over the targets of a service.
const AVERAGE_WEIGHT: f32 = 1.0 / 32.0;
/// A load report describes the calls that were running when it was created. Its
/// half-life is this many service times.
const LOAD_HALF_LIFE_SERVICE_TIMES: f32 = 1.0;
/// Bounds of the half-life of a load report.
const LOAD_HALF_LIFE_RANGE_MS: (f32, f32) = (10.0, 200.0);
/// Service times up to this multiple of the average count as equal. Smaller
/// differences are noise, and reacting to noise makes entries herd.
const NORMAL_SLOWNESS: f32 = 1.5;
/// Up to this share of its limit, a target has free slots and no call waits.
const FREE_LOAD: f32 = 0.8;
/// Weight of a call in a free slot relative to a call that waits. With equal
/// weights, entries would leave a half-used target in their own data centre for
/// an emptier one in another.
const FREE_LOAD_WEIGHT: f32 = 0.3;
/// Cost of a certain failure, in average service times.
const FAILURE_COST_SERVICE_TIMES: f32 = 10.0;
/// Load that a recent refusal adds, as a multiple of the target's limit.
const REFUSED_LOAD_RATIO: f32 = 2.0;

/// Returns the remaining weight of a measurement after `age`: 1 at age 0, half
/// after `half_life_ms`, and about a hundredth after ten times that.
///
/// The function is rational because it needs no transcendental function and
/// therefore gives the same picks on every machine. It is of second degree
/// because, with a longer tail, a target that failed once would be avoided for
/// minutes.
pub(crate) fn decay(age: Millis, half_life_ms: f32) -> f32 {
    let half_lives = age.0 as f32 / half_life_ms;
    1.0 / (1.0 + half_lives * half_lives)
}

/// Averages over the targets of a service, used for a target about which
/// nothing is known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceAverages {
    service_us: Option<f32>,
    load_ratio: f32,
    own_ratio: f32,
    half_life_factor: f32,
}

impl ServiceAverages {
    pub(crate) fn new() -> Self {
        Self {
            service_us: None,
            load_ratio: 0.0,
            own_ratio: 0.0,
            half_life_factor: 1.0,
        }
    }

    /// For tests: multiplies the half-life of load reports, so that the policy
    /// can be compared with one that trusts old reports.
    #[cfg(test)]
    pub(crate) fn set_half_life_factor(&mut self, factor: f32) {
        self.half_life_factor = factor;
    }

    /// Updates the averages with the share of its limit that others use on some
    /// target, and the share that this entry uses itself.
    pub(crate) fn record_load(&mut self, others_ratio: f32, own_ratio: f32) {
        self.load_ratio += (others_ratio - self.load_ratio) * AVERAGE_WEIGHT;
        self.own_ratio += (own_ratio - self.own_ratio) * AVERAGE_WEIGHT;
    }

    /// Estimates the share of a target's limit that others use, from this
    /// entry's own use.
    ///
    /// A target that a noisy neighbour has frozen sends no answers, so its last
    /// report continues to look harmless. Attempts pile up there, however, both
    /// those of other entries and of this one. `slot` is one attempt as a share
    /// of the limit. It is added to both sides of the ratio so that a single
    /// attempt of an entry that rarely sends does not count as many.
    pub(crate) fn sampled_ratio(&self, own_ratio: f32, slot: f32) -> f32 {
        self.load_ratio * (own_ratio + slot) / (self.own_ratio + slot)
    }

    /// Updates the average with the service time of some target.
    pub(crate) fn record_service(&mut self, service_us: f32) {
        let known = self.service_us.get_or_insert(service_us);
        *known += (service_us - *known) * AVERAGE_WEIGHT;
    }

    pub(crate) fn service_us(&self) -> f32 {
        self.service_us.unwrap_or(DEFAULT_SERVICE_US).max(1.0)
    }

    /// Returns the half-life of a load report in milliseconds.
    pub(crate) fn load_half_life_ms(&self) -> f32 {
        let (shortest, longest) = LOAD_HALF_LIFE_RANGE_MS;
        let raw = self.service_us() / 1_000.0 * LOAD_HALF_LIFE_SERVICE_TIMES;
        raw.clamp(shortest, longest) * self.half_life_factor
    }
}

/// The estimated state of one target at the time of a pick.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetEstimate {
    /// All outstanding calls as a multiple of the target's limit.
    pub(crate) load_ratio: f32,
    /// Service time as a multiple of the average one.
    pub(crate) relative_service: f32,
    /// Probability that an attempt fails.
    pub(crate) failure: f32,
    /// Remaining weight of the last overload refusal, 0 to 1.
    pub(crate) refused: f32,
    /// Share of the limit that a target may use before its first report.
    pub(crate) ramp: f32,
    /// Network round-trip time.
    pub(crate) round_trip_us: f32,
}

impl TargetEstimate {
    /// Returns the expected time of an attempt in microseconds, including the
    /// expected cost of a failure.
    pub(crate) fn expected_us(&self, averages: &ServiceAverages) -> f32 {
        let service_us = averages.service_us();
        let load = self.load_ratio + self.refused * REFUSED_LOAD_RATIO;
        let wait_us = service_us * self.slowness() * (1.0 + weighted_load(load / self.ramp));
        let failure_us = self.failure * FAILURE_COST_SERVICE_TIMES * service_us;
        wait_us + self.round_trip_us + failure_us
    }

    /// Returns the service time relative to the upper end of the normal range,
    /// at least 1. A target faster than others gets no bonus, because errors
    /// are fast as well and a truly faster target shows fewer calls in flight.
    fn slowness(&self) -> f32 {
        (self.relative_service / NORMAL_SLOWNESS).max(1.0)
    }
}

/// Returns the load with calls in free slots counted at a lower weight.
fn weighted_load(load: f32) -> f32 {
    let free = load.min(FREE_LOAD);
    free * FREE_LOAD_WEIGHT + (load - free)
}
