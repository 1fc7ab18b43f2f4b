//! Cost of checking a configuration text by its size.

use std::hint::black_box;

use serde::Serialize;

use crate::capacity::layout::Layout;
use crate::capacity::memory::{held_bytes, peak_bytes};
use crate::capacity::stopwatch::{StepTime, time_steps};

const CHECKS: u64 = 3;

/// Cost of checking a text of one size.
#[derive(Clone, Debug, Serialize)]
pub struct TextFigures {
    /// Number of services in the text.
    pub services: usize,
    /// Length of the text in bytes.
    pub text_bytes: usize,
    /// Processor time of one check.
    pub check: StepTime,
    /// Peak memory during a check, in bytes.
    pub peak_bytes: u64,
    /// Memory of the checked text, in bytes.
    pub held_bytes: u64,
}

/// Measures the check of a text with this number of services and comments of this length.
///
/// # Panics
///
/// Panics if the text has faults.
#[must_use]
pub fn measure(services: usize, comment_chars: usize) -> TextFigures {
    let mut layout = Layout::equal(services, 1);
    layout.comment_chars = comment_chars;
    let text = layout.text(0);
    let check = || hornbeamhitch_text::check(&text).expect("the generated text has no faults");
    let time = time_steps(CHECKS, |_| {
        black_box(check());
    });
    TextFigures {
        services,
        text_bytes: text.len(),
        check: time,
        peak_bytes: peak_bytes(|| drop(check())),
        held_bytes: held_bytes(check()),
    }
}
