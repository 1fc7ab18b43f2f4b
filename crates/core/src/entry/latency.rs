//! Quantiles of recent latencies, from a histogram with logarithmic buckets.

use hornbeamhitch_types::clock::Millis;

/// Buckets per doubling. The upper edge of a bucket is at most 12.5% above any
/// value in it.
const BUCKETS_PER_OCTAVE: usize = 8;
const OCTAVE_BITS: u32 = BUCKETS_PER_OCTAVE.trailing_zeros();
const OCTAVES: usize = u32::BITS as usize;
const BUCKETS: usize = BUCKETS_PER_OCTAVE * OCTAVES;
/// Total weight at which all weights are halved, so that about the last
/// thousand samples determine the quantiles.
const FULL_WEIGHT: f32 = 1_024.0;
/// At low rates, all weights are halved after this time instead.
const HALVING_MS: Millis = Millis::from_secs(30);
/// Number of samples after which the cached quantiles are recomputed.
const REFRESH_SAMPLES: u32 = 16;
/// Minimum total weight for a quantile.
const MIN_WEIGHT: f32 = 20.0;
const MEDIAN: f64 = 0.5;

/// Recent latencies of one service. Recording and reading never allocate.
#[derive(Clone, Debug)]
pub(crate) struct LatencyHistogram {
    weights: Box<[f32; BUCKETS]>,
    total: f32,
    quantile: f64,
    halved_at: Millis,
    since_refresh: u32,
    cached_quantile_us: Option<u32>,
    cached_median_us: Option<u32>,
}

impl LatencyHistogram {
    /// Creates an empty histogram that caches `quantile` and the median.
    pub(crate) fn new(quantile: f64, now: Millis) -> Self {
        Self {
            weights: Box::new([0.0; BUCKETS]),
            total: 0.0,
            quantile,
            halved_at: now,
            since_refresh: 0,
            cached_quantile_us: None,
            cached_median_us: None,
        }
    }

    pub(crate) fn set_quantile(&mut self, quantile: f64) {
        self.quantile = quantile;
        self.refresh();
    }

    /// Records the latency of an answer.
    pub(crate) fn record(&mut self, latency_us: u32, now: Millis) {
        self.weights[bucket_of(latency_us)] += 1.0;
        self.total += 1.0;
        if self.total >= FULL_WEIGHT || now.since(self.halved_at) >= HALVING_MS {
            self.halve(now);
        }
        self.since_refresh += 1;
        if self.since_refresh >= REFRESH_SAMPLES {
            self.refresh();
        }
    }

    /// Records an attempt that was cancelled unanswered after this time.
    ///
    /// Cancelled hedged attempts are the slow ones. Ignoring them would lower
    /// the quantile, which would start hedges sooner and cancel more attempts.
    /// A bound below the quantile carries no information and is ignored.
    pub(crate) fn record_lower_bound(&mut self, latency_us: u32, now: Millis) {
        if self
            .cached_quantile_us
            .is_none_or(|known_us| latency_us < known_us)
        {
            return;
        }
        self.record(latency_us, now);
    }

    /// Returns the quantile in microseconds, once there are enough samples.
    pub(crate) fn quantile_us(&self) -> Option<u32> {
        self.cached_quantile_us
    }

    /// Returns the median in microseconds, once there are enough samples.
    pub(crate) fn median_us(&self) -> Option<u32> {
        self.cached_median_us
    }

    fn halve(&mut self, now: Millis) {
        self.total = 0.0;
        for weight in self.weights.iter_mut() {
            *weight *= 0.5;
            self.total += *weight;
        }
        self.halved_at = now;
    }

    fn refresh(&mut self) {
        self.since_refresh = 0;
        self.cached_quantile_us = self.upper_edge_at(self.quantile);
        self.cached_median_us = self.upper_edge_at(MEDIAN);
    }

    fn upper_edge_at(&self, quantile: f64) -> Option<u32> {
        if self.total < MIN_WEIGHT {
            return None;
        }
        let wanted = self.total * quantile as f32;
        let mut seen = 0.0;
        for (bucket, weight) in self.weights.iter().enumerate() {
            seen += weight;
            if *weight > 0.0 && seen >= wanted {
                return Some(upper_edge_us(bucket));
            }
        }
        None
    }
}

/// Returns the bucket of a latency. The highest bit determines the octave and
/// the next bits the position within it.
fn bucket_of(latency_us: u32) -> usize {
    let value = latency_us.max(1);
    let octave = value.ilog2();
    let offset = if octave >= OCTAVE_BITS {
        value >> (octave - OCTAVE_BITS)
    } else {
        value << (OCTAVE_BITS - octave)
    };
    octave as usize * BUCKETS_PER_OCTAVE + (offset as usize - BUCKETS_PER_OCTAVE)
}

fn upper_edge_us(bucket: usize) -> u32 {
    let octave = (bucket / BUCKETS_PER_OCTAVE) as u32;
    let offset = (bucket % BUCKETS_PER_OCTAVE + BUCKETS_PER_OCTAVE + 1) as u64;
    let edge = (offset << octave) >> OCTAVE_BITS;
    u32::try_from(edge.max(1)).unwrap_or(u32::MAX)
}
