//! Tests that the operators' documentation lists every setting with its range and
//! default.

use hornbeamhitch_text::Setting;
use hornbeamhitch_text::setting::Group;
use strum::VariantArray;

const TEXT_DOCUMENTATION: &str = include_str!("../../../../docs/operators/text.md");
const LIMITS_DOCUMENTATION: &str = include_str!("../../../../docs/operators/limits.md");

#[test]
fn every_number_is_documented_with_its_range_and_built_in_value() {
    for setting in Setting::VARIANTS {
        let built_in = match setting {
            Setting::QueueLimit => "as `slots`".to_owned(),
            other => other.built_in().to_string(),
        };
        let row = format!("\n| `{setting}` | {} | {built_in} | ", setting.range());
        assert_eq!(
            TEXT_DOCUMENTATION.matches(&row).count(),
            1,
            "no row {row:?}"
        );
    }
}

#[test]
fn every_number_has_a_section_on_its_effect() {
    for setting in Setting::VARIANTS {
        let group = match setting.group() {
            Group::Service => String::new(),
            group => format!("{}.", <&'static str>::from(group)),
        };
        let built_in = match setting {
            Setting::QueueLimit => "as `slots`".to_owned(),
            other => grouped(other.built_in()),
        };
        let range = setting.range();
        let (min, max) = (grouped(range.min), grouped(range.max));
        let heading = format!("\n### `{group}{setting}` (text; {built_in}; {min} to {max})\n");
        let found = LIMITS_DOCUMENTATION.matches(&heading).count();
        assert_eq!(found, 1, "no section {heading:?}");
    }
}

/// Formats a number like the page: whole numbers with thousands separators,
/// fractions unchanged.
fn grouped(number: f64) -> String {
    let plain = number.to_string();
    if plain.contains('.') {
        return plain;
    }
    let mut digits = String::new();
    for (place, digit) in plain.chars().enumerate() {
        let left = plain.len() - place;
        if place > 0 && left.is_multiple_of(3) {
            digits.push(',');
        }
        digits.push(digit);
    }
    digits
}

#[test]
fn the_shortest_text_is_accepted() {
    let start = TEXT_DOCUMENTATION
        .find("```jsonc\n")
        .expect("it has an example");
    let example = &TEXT_DOCUMENTATION[start + "```jsonc\n".len()..];
    let end = example.find("```").expect("the example ends");
    crate::support::checked(&example[..end]);
}
