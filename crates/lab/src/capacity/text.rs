//! What the check of a configuration text costs against its size.

use std::hint::black_box;

use serde::Serialize;

use crate::capacity::layout::Layout;
use crate::capacity::memory::{held_bytes, peak_bytes};
use crate::capacity::stopwatch::{StepTime, time_steps};

const CHECKS: u64 = 3;

/// One size of text.
#[derive(Clone, Debug, Serialize)]
pub struct TextFigures {
    /// Services of the text.
    pub services: usize,
    /// Its length.
    pub text_bytes: usize,
    /// Processor time of one check.
    pub check: StepTime,
    /// The most memory held during a check.
    pub peak_bytes: u64,
    /// Memory of the checked text.
    pub held_bytes: u64,
}

/// Checks a text of so many services with comments of so many characters.
///
/// # Panics
///
/// The text has faults.
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
