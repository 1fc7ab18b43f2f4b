//! Tests that texts designed to exhaust the checker are rejected.
//!
//! Every node checks the configuration text from the platform on its control
//! thread. If a broken or malicious text made the check overflow the stack or run
//! for minutes, the whole fleet would fail at once. Each text here must be
//! rejected on a thread with a small stack.

use std::thread;

use hornbeamhitch_text::{CheckedText, Faults, MAX_TEXT_BYTES, check};
use proptest::prelude::*;

use crate::support::{BANGKOK, fixed_seed};

/// One eighth of the 2 MiB stack of the daemon's threads.
const STACK_BYTES: usize = 256 * 1_024;

fn check_on_small_stack(text: String) -> Result<CheckedText, Faults> {
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || check(&text))
        .expect("a thread can be started")
        .join()
        .expect("the check must neither panic nor overflow the stack")
}

fn refused(text: String) -> Faults {
    let faults = check_on_small_stack(text).expect_err("the text must be refused");
    assert!(!faults.faults.is_empty());
    assert!(faults.faults.len() <= 1_000, "the report is bounded");
    faults
}

fn filled(piece: &str) -> String {
    piece.repeat(MAX_TEXT_BYTES / piece.len())
}

#[test]
fn deep_nesting_is_refused() {
    for piece in [
        "[",
        "{\"a\":",
        "[{\"a\":[",
        "{",
        "(",
        "/*",
        "//",
        "\"",
        "\\",
    ] {
        refused(filled(piece));
    }
    let depth = 100_000;
    refused(format!("{}{}", "[".repeat(depth), "]".repeat(depth)));
    let nested = format!("{}{}", "[".repeat(31), "]".repeat(31));
    refused(format!(
        r#"{{ "deployment": {nested}, "services": {nested} }}"#
    ));
}

#[test]
fn brackets_cannot_evade_the_nesting_limit() {
    // If the scan took a prefix for the start of a string or a comment and the
    // parser did not, the scan would miss the brackets and the parser would recurse.
    let deep = "[".repeat(100_000);
    let prefixes = [
        "'\"' ",
        "\"\\\"\" ",
        "\"\\\\\" ",
        "// \"\n",
        "// \"\r",
        "/* \" */",
        "/*/ \" */",
        "/**/",
        "// /*\n",
        "\"//\" ",
        "\"/*\" ",
        "/* // */",
        "{a\": ",
        "{'a\": ",
        "{\"a\\u0022\": ",
    ];
    for prefix in prefixes {
        refused(format!("{prefix}{deep}"));
    }
}

#[test]
fn brackets_in_strings_and_comments_do_not_nest() {
    let brackets = "[".repeat(1_000);
    let text = format!(
        "// {brackets}\n/* {brackets} */ {{ \"deployment\": \"d\", \"services\": {{ \"a\": {{}} }} }}"
    );
    check_on_small_stack(text).expect("comments may contain anything");
    let text = format!("{{ \"{brackets}\": 1 }}");
    let faults = refused(text);
    assert_eq!(faults.faults[0].kind.name(), "missing-key");
}

#[test]
fn a_megabyte_of_faults_is_counted_and_not_listed() {
    let faults = refused(format!("{{{}}}", "\"a\":1,".repeat(150_000)));
    assert_eq!(faults.faults.len(), 1_000);
    assert!(faults.omitted > 100_000, "{} omitted", faults.omitted);

    let mut unknown_keys = String::new();
    for number in 0..80_000 {
        unknown_keys.push_str(&format!("\"k{number}\":1,"));
    }
    let faults = refused(format!("{{{unknown_keys}}}"));
    assert!(faults.omitted > 70_000, "{} omitted", faults.omitted);

    let mut unknown_dependencies = String::new();
    for number in 0..250 {
        unknown_dependencies.push_str(&format!("\"d{number}\","));
    }
    let mut services = String::new();
    for number in 0..500 {
        services.push_str(&format!(
            "\"s{number}\":{{\"depends_on\":[{unknown_dependencies}]}},"
        ));
    }
    let text = format!(r#"{{ "deployment": "d", "services": {{ {services} }} }}"#);
    assert!(text.len() < MAX_TEXT_BYTES);
    let faults = refused(text);
    assert!(faults.omitted > 100_000, "{} omitted", faults.omitted);
}

#[test]
fn nul_and_control_characters_are_refused() {
    refused("\0".repeat(1_000));
    refused("{ \"deployment\": \"d\0\", \"services\": { \"a\": {} } }".to_owned());
    refused("{ \"deployment\": \"d\", \"services\": { \"a\\u0000\": {} } }".to_owned());
    refused("{ \"deployment\": \"\\u001b[2J\", \"services\": { \"a\": {} } }".to_owned());
    refused("\u{feff}{ \"deployment\": \"d\", \"services\": { \"a\": {} } }".to_owned());
}

#[test]
fn messages_never_carry_control_characters() {
    // A name with terminal escape sequences could otherwise alter the operator's
    // screen when the faults are displayed.
    let text = "{ \"deployment\": \"\\u001b[2J\\u0000\", \"\\u001b\": 1, \"services\": \
                { \"\\u001b\": { \"depends_on\": [\"\\u0007\"], \"calls\": [{ \"name\": \"a\", \
                \"match\": \"\\u0007\", \"class\": \"\\u0007\" }] } } }";
    let faults = refused(text.to_owned());
    for character in faults.to_string().chars() {
        assert!(
            character == '\n' || !character.is_control(),
            "{character:?}"
        );
    }
}

#[test]
fn huge_and_odd_numbers_are_refused() {
    let digits = "9".repeat(10_000);
    let numbers = [
        "1e999",
        "-1e999",
        "1e-999",
        "-1",
        "0",
        "0.5",
        "4294967296",
        "18446744073709551616",
        digits.as_str(),
        "NaN",
        "Infinity",
        "0x10",
        "1_000",
    ];
    for number in numbers {
        let text =
            format!(r#"{{ "deployment": "d", "services": {{ "a": {{ "slots": {number} }} }} }}"#);
        refused(text);
    }
}

#[test]
fn a_long_chain_of_services_is_accepted_without_recursion() {
    let count = 4_000;
    let mut services = String::new();
    for number in 0..count {
        let next = number + 1;
        services.push_str(&format!("\"s{number}\":{{\"depends_on\":[\"s{next}\"]}},"));
    }
    services.push_str(&format!("\"s{count}\":{{}}"));
    let text = format!(r#"{{ "deployment": "d", "services": {{ {services} }} }}"#);
    let checked = check_on_small_stack(text).expect("a chain is not a cycle");
    assert_eq!(checked.services.len(), count + 1);
    assert_eq!(checked.warnings.len(), 1);
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn any_string_is_checked_without_a_panic(text in any::<String>()) {
        let _ = check(&text);
    }

    #[test]
    fn any_sequence_of_json_tokens_is_checked_without_a_panic(
        tokens in prop::collection::vec(
            prop::sample::select(vec![
                "{", "}", "[", "]", ",", ":", "\"", "//", "/*", "*/", "\n", "\\", "\0", "-", "+",
                "1", "1e5", ".", "true", "null", "NaN", "'", "\"services\"", "\"deployment\"",
                "\"defaults\"", "\"a\"", "ก", "\u{2028}",
            ]),
            0..60,
        )
    ) {
        let _ = check(&tokens.concat());
    }

    #[test]
    fn a_damaged_text_is_checked_without_a_panic(
        cut_at in 0..BANGKOK.len(),
        removed in 0_usize..40,
        inserted in ".{0,6}",
    ) {
        let start = BANGKOK.floor_char_boundary(cut_at);
        let end = BANGKOK.floor_char_boundary((cut_at + removed).min(BANGKOK.len()));
        let damaged = format!("{}{inserted}{}", &BANGKOK[..start], &BANGKOK[end..]);
        let _ = check(&damaged);
    }
}
