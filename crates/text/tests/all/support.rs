//! Helpers shared by several test modules.

use hornbeamhitch_text::{CheckedText, check};
use proptest::test_runner::{Config, RngSeed};

pub(crate) const BANGKOK: &str = include_str!("../../../../examples/bangkok.jsonc");
pub(crate) const LJUBLJANA: &str = include_str!("../../../../examples/ljubljana.jsonc");

/// Checks a text. Panics if it has faults.
pub(crate) fn checked(text: &str) -> CheckedText {
    match check(text) {
        Ok(checked) => checked,
        Err(faults) => panic!("the text has faults:\n{faults}"),
    }
}

/// Returns the faults of a text, one per line. Panics if it is accepted.
pub(crate) fn faults(text: &str) -> String {
    match check(text) {
        Ok(_) => panic!("the text was accepted"),
        Err(faults) => faults.to_string(),
    }
}

/// Replaces a piece that must occur exactly once in a text.
pub(crate) fn edited(text: &str, from: &str, to: &str) -> String {
    assert_eq!(
        text.matches(from).count(),
        1,
        "{from:?} must occur exactly once"
    );
    text.replace(from, to)
}

/// Returns a configuration with a fixed seed, so that each run tests the same
/// random cases.
pub(crate) fn fixed_seed() -> Config {
    const SEED: u64 = 0x6865_6467;
    const CASES: u32 = 512;
    Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}
