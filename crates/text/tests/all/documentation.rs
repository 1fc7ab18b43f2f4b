//! The operators' documentation names every key with its range and default.

use hornbeamhitch_text::Setting;
use strum::VariantArray;

const TEXT_DOCUMENTATION: &str = include_str!("../../../../docs/operators/text.md");

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
fn the_shortest_text_is_accepted() {
    let start = TEXT_DOCUMENTATION
        .find("```jsonc\n")
        .expect("it has an example");
    let example = &TEXT_DOCUMENTATION[start + "```jsonc\n".len()..];
    let end = example.find("```").expect("the example ends");
    crate::support::checked(&example[..end]);
}
