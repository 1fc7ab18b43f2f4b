//! Parses, checks, compares and explains the configuration text.
//!
//! Operators write one text in JSON with comments. [`check`] either resolves it
//! to the policies that the nodes apply, or reports every fault with its line,
//! its column, the reason and the allowed values. [`diff`] describes what an
//! edit changes, and [`explain`] where each value of a service comes from.
//!
//! This crate does no I/O, and every result depends on the text alone, so that
//! the operators' command line and each node accept and reject the same texts.

pub mod change;
pub mod checked;
pub mod explanation;
pub mod fault;
pub mod position;
pub mod prelude;
pub mod setting;
pub mod warning;

mod depth;
mod diff;
mod draft;
mod explain;
mod graph;
mod keys;
mod limits;
mod name;
mod nearest;
mod number;
mod read;
mod reader;
mod relations;
mod report;
mod resolve;
mod syntax;

pub use change::Change;
pub use checked::{CheckedText, HostRoute};
pub use diff::diff;
pub use explain::explain;
pub use explanation::{Explanation, UnknownService};
pub use fault::{Fault, FaultKind, Faults};
pub use limits::MAX_TEXT_BYTES;
pub use position::Position;
pub use setting::Setting;
pub use syntax::SYNTAX;
pub use warning::{Warning, WarningKind};

use fault::KeyPath;
use position::LineIndex;
use report::Report;

/// Checks the bytes of a text, as read from a file or from the platform.
///
/// # Errors
///
/// Returns the same faults as [`check`], and a fault if the bytes are not UTF-8.
pub fn check_bytes(bytes: &[u8]) -> Result<CheckedText, Faults> {
    let error = match std::str::from_utf8(bytes) {
        Ok(text) => return check(text),
        Err(error) => error,
    };
    let valid = bytes.get(..error.valid_up_to()).unwrap_or_default();
    let valid = std::str::from_utf8(valid).unwrap_or_default();
    let lines = LineIndex::new(valid);
    let mut report = Report::new(&lines);
    report.fault(valid.len(), || (KeyPath::default(), FaultKind::NotUtf8));
    Err(report.into_faults())
}

/// Checks a text and resolves it.
///
/// # Errors
///
/// Returns every fault found, ordered by position. After a syntax error, the
/// text is parsed again leniently if possible, so that its other faults are
/// reported too.
pub fn check(text: &str) -> Result<CheckedText, Faults> {
    let lines = LineIndex::new(text);
    let mut report = Report::new(&lines);
    let Some(root) = syntax::parse(text, &mut report) else {
        return Err(report.into_faults());
    };
    let draft = read::text(&root, &mut report);
    graph::check(&draft, &mut report);
    let resolved = resolve::text(&draft, &lines, &mut report);
    relations::check(&draft, &resolved, &mut report);
    report.finish(resolved)
}
