//! From text to a tree of values with positions.

use jsonc_parser::ast::Value;
use jsonc_parser::errors::ParseError;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::depth::too_deep;
use crate::fault::{FaultKind, KeyPath};
use crate::limits::{LARGE_TEXT_BYTES, MAX_TEXT_BYTES};
use crate::report::Report;
use crate::warning::WarningKind;

/// Comments and trailing commas, and no other leniency: what else the parser
/// could forgive is more often a slip than a wish. Nodes read their settings by
/// the same rules.
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

/// As [`SYNTAX`], but reads on where a comma, a quote or a digit is missing.
///
/// Strings in single quotes stay refused: [`too_deep`] must find the end of
/// each string where the parser does.
fn lenient() -> ParseOptions {
    ParseOptions {
        allow_single_quoted_strings: false,
        ..ParseOptions::default()
    }
}

/// Parses the text; `None` when it cannot be read at all.
///
/// The parser stops at its first error. Where only a comma or a quote is
/// missing, a second, lenient run lets the other faults of the text show in
/// the same check; the syntax error is reported all the same.
pub(crate) fn parse<'t>(text: &'t str, report: &mut Report<'_, '_>) -> Option<Value<'t>> {
    if text.len() > MAX_TEXT_BYTES {
        let size_bytes = text.len();
        report.fault(0, || {
            (KeyPath::default(), FaultKind::TextTooLong { size_bytes })
        });
        return None;
    }
    if let Some(offset) = too_deep(text) {
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
