//! Estimates the number of different callers that were seen recently.

use xxhash_rust::xxh3::xxh3_64;

use super::CallerId;
use crate::prelude::*;

/// Number of windows. With 12 of them, the covered time varies by 4% either way.
const WINDOWS: usize = 12;
/// Duration of a window.
const WINDOW_MS: u64 = 125;
/// Mean time that the windows cover: 1,437 ms. Work that decays with a half-life of 1 s adds
/// up to that of 1,443 ms, so that work divided by callers is the work of a caller.
pub(super) const COVERED_MS: f64 = (WINDOWS as f64 - 0.5) * WINDOW_MS as f64;
/// Number of 64-bit words of a window. 512 bits estimate up to some 1,500 callers within a
/// tenth.
const WORDS: usize = 8;
const BITS: u64 = WORDS as u64 * 64;

/// One bit for each caller of the window, by hash.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// Number of the window since the start of the clock.
    number: u64,
    words: [u64; WORDS],
}

/// Bitmaps of recent callers by window (linear counting).
#[derive(Clone, Debug, Default)]
pub(super) struct RecentCallers {
    windows: [Window; WINDOWS],
}

impl RecentCallers {
    /// Records a caller.
    pub(super) fn note(&mut self, caller: CallerId, now: Millis) {
        let number = now.0 / WINDOW_MS;
        let window = &mut self.windows[number as usize % WINDOWS];
        if window.number != number {
            *window = Window {
                number,
                words: [0; WORDS],
            };
        }
        let bit = xxh3_64(&caller.0.to_le_bytes()) % BITS;
        window.words[bit as usize / 64] |= 1 << (bit % 64);
    }

    /// Returns the estimated number of different callers.
    pub(super) fn count(&self, now: Millis) -> f64 {
        let number = now.0 / WINDOW_MS;
        let mut union = [0_u64; WORDS];
        for window in &self.windows {
            if window.number + (WINDOWS as u64) <= number {
                continue;
            }
            for (all, word) in union.iter_mut().zip(window.words) {
                *all |= word;
            }
        }
        let ones: u32 = union.iter().map(|word| word.count_ones()).sum();
        let bits = BITS as f64;
        let zeros = (bits - f64::from(ones)).max(1.0);
        -bits * (zeros / bits).ln()
    }
}
