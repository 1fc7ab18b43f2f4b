//! Parses a text into a syntax tree with positions.

use jsonc_parser::ast::Value;
use jsonc_parser::errors::ParseError;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::depth::find_too_deep;
use crate::fault::{FaultKind, KeyPath};
use crate::limits::{LARGE_TEXT_BYTES, MAX_TEXT_BYTES};
use crate::report::Report;
use crate::warning::WarningKind;

/// Parser options of the configuration text and of the nodes' settings.
///
/// They allow comments and trailing commas. The parser's other extensions stay
/// disabled because a text that uses them more likely contains a mistake.
pub const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Returns options that accept more than [`SYNTAX`], such as missing commas,
/// unquoted keys and other number formats.
///
/// Single-quoted strings stay disabled, because [`find_too_deep`] must find the same
/// end of each string as the parser.
fn lenient() -> ParseOptions {
    ParseOptions {
        allow_single_quoted_strings: false,
        ..ParseOptions::default()
    }
}

/// Parses the text. Returns `None` if it cannot be parsed at all.
///
/// The parser stops at its first error. That error is reported, and the text is
/// then parsed again with lenient options, so that the same check can report the
/// other faults too if only a comma or a quote is missing.
pub(crate) fn parse<'t>(text: &'t str, report: &mut Report<'_, '_>) -> Option<Value<'t>> {
    if text.len() > MAX_TEXT_BYTES {
        let size_bytes = text.len();
        report.fault(0, || {
            (KeyPath::default(), FaultKind::TextTooLong { size_bytes })
        });
        return None;
    }
    if let Some(offset) = find_too_deep(text) {
        report.fault(offset, || (KeyPath::default(), FaultKind::TooDeep));
        return None;
    }
    warn_if_large(report);
    let strict_error = match parse_with(text, &SYNTAX) {
        Ok(root) => return root.or_else(|| report_empty(report)),
        Err(error) => error,
    };
    let strict_start = strict_error.range().start;
    report_error(&strict_error, report);
    match parse_with(text, &lenient()) {
        Ok(root) => root,
        Err(lenient_error) => {
            if lenient_error.range().start != strict_start {
                report_error(&lenient_error, report);
            }
            None
        }
    }
}

fn parse_with<'t>(text: &'t str, options: &ParseOptions) -> Result<Option<Value<'t>>, ParseError> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), options)?;
    Ok(parsed.value)
}

fn warn_if_large(report: &mut Report<'_, '_>) {
    let size_bytes = report.lines().text_bytes();
    if size_bytes < LARGE_TEXT_BYTES {
        return;
    }
    report.warning(0, || {
        let kind = WarningKind::LargeText {
            size_bytes,
            limit_bytes: MAX_TEXT_BYTES,
        };
        (KeyPath::default(), kind)
    });
}

fn report_error(error: &ParseError, report: &mut Report<'_, '_>) {
    report.fault(error.range().start, || {
        let kind = FaultKind::Syntax {
            message: lower_first(&error.kind().to_string()),
        };
        (KeyPath::default(), kind)
    });
}

fn report_empty<'t>(report: &mut Report<'_, '_>) -> Option<Value<'t>> {
    report.fault(0, || {
        let kind = FaultKind::Syntax {
            message: "the text is empty".to_owned(),
        };
        (KeyPath::default(), kind)
    });
    None
}

fn lower_first(message: &str) -> String {
    let mut chars = message.chars();
    match chars.next() {
        Some(first) => first.to_lowercase().collect::<String>() + chars.as_str(),
        None => String::new(),
    }
}
