//! Limits the nesting depth of a text before it is parsed.

use crate::limits::MAX_NESTING;

/// The syntactic context at the scan's current position.
#[derive(Clone, Copy)]
enum State {
    Values,
    Text,
    LineComment,
    BlockComment,
}

/// Returns the offset of the first bracket that exceeds the nesting limit.
///
/// The parser recurses for each level, up to 512 levels, which can need more
/// stack than a daemon thread has. Without this scan, one invalid value in the
/// platform would abort every node that reads it. The scan skips strings and
/// comments by the same rules as the parser, so it counts every bracket that
/// the parser sees.
pub(crate) fn find_too_deep(text: &str) -> Option<usize> {
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
