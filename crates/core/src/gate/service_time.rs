//! Smoothed service times of the target.

use crate::prelude::*;
use strum::VariantArray;

/// Weight of one answer in the smoothed times.
const SMOOTHING: f64 = 1.0 / 16.0;

const CLASSES: usize = CallClass::VARIANTS.len();

/// Service times measured by the gate, over all calls and per class. An upload
/// may take fifty times as long as a look-up.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    overall_us: Option<f64>,
    by_class_us: [Option<f64>; CLASSES],
}

impl ServiceTimes {
    /// Records one answer. Failures of the target must not be recorded here,
    /// because a target that fails immediately is not fast.
    pub(super) fn record(&mut self, class: CallClass, service_time_us: u32) {
        let sample_us = f64::from(service_time_us);
        smooth(&mut self.overall_us, sample_us);
        smooth(&mut self.by_class_us[class as usize], sample_us);
    }

    /// Returns the smoothed time of all calls; 0 before the first.
    pub(super) fn overall_us(&self) -> f64 {
        self.overall_us.unwrap_or(0.0)
    }

    /// Returns the smoothed time of one class; 0 before its first call.
    pub(super) fn class_us(&self, class: CallClass) -> f64 {
        self.by_class_us[class as usize].unwrap_or(0.0)
    }
}

fn smooth(average: &mut Option<f64>, sample: f64) {
    let before = average.unwrap_or(sample);
    *average = Some(before + (sample - before) * SMOOTHING);
}
