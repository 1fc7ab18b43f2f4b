//! The expected time of an attempt at a target, from stale knowledge.

use hornbeamhitch_types::clock::Millis;

/// Service time assumed before any was heard; only ratios between targets
/// matter then, so its size decides nothing but the weight of distance.
const DEFAULT_SERVICE_US: f32 = 10_000.0;
/// Weight of one report in the picture of a typical target.
const TYPICAL_WEIGHT: f32 = 1.0 / 32.0;
/// Knowledge of load is about the calls that ran then; after this many service
/// times half of it is taken to be gone.
const LOAD_HALF_LIFE_SERVICE_TIMES: f32 = 1.0;
/// Bounds of the half-life of a load report.
const LOAD_HALF_LIFE_RANGE_MS: (f32, f32) = (10.0, 200.0);
/// Service times up to this multiple of the typical one count as equal: the
/// difference is noise, and acting on noise makes entries herd.
const NORMAL_SLOWNESS: f32 = 1.5;
/// Up to this share of its limit a target has slots free and nothing waits.
const FREE_LOAD: f32 = 0.8;
/// What a call in a slot weighs against one that waits. Counted alike, entries
/// would leave a half-used target of their own data centre for an emptier one
/// in another.
const FREE_LOAD_WEIGHT: f32 = 0.3;
/// What a certain failure costs, in typical service times.
const FAILURE_COST_SERVICE_TIMES: f32 = 10.0;
/// Load that a fresh refusal adds, as a multiple of the target's limit.
const REFUSED_LOAD_RATIO: f32 = 2.0;

/// How much of a fact is left after `age`: all at 0, half after `half_life_ms`,
/// a hundredth after ten times that.
///
/// Rational, because it needs no transcendental function and so gives the same
/// picks on every machine; of second degree, because with a longer tail a
/// target that failed once is shunned for minutes.
pub(crate) fn decay(age: Millis, half_life_ms: f32) -> f32 {
    let half_lives = age.0 as f32 / half_life_ms;
    1.0 / (1.0 + half_lives * half_lives)
}

/// What a target of the service looks like about which nothing is known.
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

    /// For tests: multiplies the half-life of load reports, so that a policy
    /// that believes old reports can be held against this one.
    #[cfg(test)]
    pub(crate) fn set_half_life_factor(&mut self, factor: f32) {
        self.half_life_factor = factor;
    }

    /// Learns how much of its limit others use on some target, and how much
    /// this entry itself.
    pub(crate) fn record_load(&mut self, others_ratio: f32, own_ratio: f32) {
        self.load_ratio += (others_ratio - self.load_ratio) * TYPICAL_WEIGHT;
        self.own_ratio += (own_ratio - self.own_ratio) * TYPICAL_WEIGHT;
    }

    /// What others may use of a target's limit, taking own use for a sample.
    ///
    /// Failure answered: a noisy neighbour freezes a target. It answers nobody,
    /// so its last report goes on looking harmless, but attempts pile up there,
    /// those of others as well as the own ones. `slot` is one attempt as a share
    /// of the limit; added to both sides, it keeps a single attempt of an entry
    /// that seldom sends from standing for many.
    pub(crate) fn sampled_ratio(&self, own_ratio: f32, slot: f32) -> f32 {
        self.load_ratio * (own_ratio + slot) / (self.own_ratio + slot)
    }

    /// Learns the service time of some target.
    pub(crate) fn record_service(&mut self, service_us: f32) {
        let known = self.service_us.get_or_insert(service_us);
        *known += (service_us - *known) * TYPICAL_WEIGHT;
    }

    pub(crate) fn service_us(&self) -> f32 {
        self.service_us.unwrap_or(DEFAULT_SERVICE_US).max(1.0)
    }

    /// The time after which half of a load report is taken to be gone.
    pub(crate) fn load_half_life_ms(&self) -> f32 {
        let (shortest, longest) = LOAD_HALF_LIFE_RANGE_MS;
        let raw = self.service_us() / 1_000.0 * LOAD_HALF_LIFE_SERVICE_TIMES;
        raw.clamp(shortest, longest) * self.half_life_factor
    }
}

/// What is believed about one target at the moment of a pick.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetEstimate {
    /// Everything outstanding there as a multiple of its limit.
    pub(crate) load_ratio: f32,
    /// Service time as a multiple of the typical one.
    pub(crate) relative_service: f32,
    /// Probability that an attempt fails.
    pub(crate) failure: f32,
    /// What is left of a refusal for overload, 0 to 1.
    pub(crate) refused: f32,
    /// Part of the limit that a target may use which has not reported yet.
    pub(crate) ramp: f32,
    /// Network time there and back.
    pub(crate) round_trip_us: f32,
}

impl TargetEstimate {
    /// The expected time of an attempt in microseconds, failures priced in.
    pub(crate) fn expected_us(&self, averages: &ServiceAverages) -> f32 {
        let service_us = averages.service_us();
        let load = self.load_ratio + self.refused * REFUSED_LOAD_RATIO;
        let wait_us = service_us * self.slowness() * (1.0 + weighted_load(load / self.ramp));
        let failure_us = self.failure * FAILURE_COST_SERVICE_TIMES * service_us;
        wait_us + self.round_trip_us + failure_us
    }

    /// A target quicker than others gets no credit: an error is quick as well,
    /// and a truly quicker target shows by having less in flight.
    fn slowness(&self) -> f32 {
        (self.relative_service / NORMAL_SLOWNESS).max(1.0)
    }
}

/// Load with what is in free slots counted for less.
fn weighted_load(load: f32) -> f32 {
    let free = load.min(FREE_LOAD);
    free * FREE_LOAD_WEIGHT + (load - free)
}
