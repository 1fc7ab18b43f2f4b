//! Bounds the nesting of a text before it is parsed.

use crate::limits::MAX_NESTING;

/// What the scan is in the middle of.
#[derive(Clone, Copy)]
enum State {
    Values,
    Text,
    LineComment,
    BlockComment,
}

/// The offset of the first bracket that nests deeper than allowed.
///
/// The parser calls itself for each level, up to 512 of them, which needs more
/// stack than a thread of the daemon may have: without this scan, one broken
/// value in the platform would abort every node that reads it. Strings and
/// comments are skipped by the parser's own rules, so no text can hide its
/// brackets from the scan and still show them to the parser.
pub(crate) fn too_deep(text: &str) -> Option<usize> {
    let mut state = State::Values;
    let mut depth = 0_usize;
    let mut bytes = text.bytes().enumerate().peekable();
    while let Some((offset, byte)) = bytes.next() {
        let next = bytes.peek().map(|(_, next)| *next);
        match (state, byte, next) {
            (State::Values, b'"', _) => state = State::Text,
            (State::Values, b'/', Some(b'/')) => state = State::LineComment,
            (State::Values, b'/', Some(b'*')) => {
                bytes.next();
                state = State::BlockComment;
            }
            (State::Values, b'[' | b'{', _) => depth += 1,
            (State::Values, b']' | b'}', _) => depth = depth.saturating_sub(1),
            (State::Text, b'\\', _) => {
                bytes.next();
            }
            (State::Text, b'"', _) | (State::LineComment, b'\n' | b'\r', _) => {
                state = State::Values;
            }
            (State::BlockComment, b'*', Some(b'/')) => {
                bytes.next();
                state = State::Values;
            }
            _ => {}
        }
        if depth > MAX_NESTING {
            return Some(offset);
        }
    }
    None
}
