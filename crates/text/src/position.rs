//! Conversion of byte offsets to lines and columns.

use std::fmt;

use serde::Serialize;

/// A position in a text. Line and column are counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Position {
    /// The line.
    pub line: u32,
    /// The column in characters.
    pub column: u32,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

const BLOCK_BYTES: usize = 1_024;

/// An index that finds the position of an offset without scanning the text from
/// its start.
///
/// The number of characters before each block is computed once. The position of
/// a fault at the end of a megabyte on one line therefore costs no more than one
/// at its beginning.
pub(crate) struct LineIndex<'t> {
    text: &'t str,
    line_starts: Vec<usize>,
    chars_before_block: Vec<usize>,
}

impl<'t> LineIndex<'t> {
    pub(crate) fn new(text: &'t str) -> Self {
        let mut line_starts = vec![0];
        let mut chars_before_block = Vec::new();
        let mut chars = 0;
        for (offset, byte) in text.bytes().enumerate() {
            if offset % BLOCK_BYTES == 0 {
                chars_before_block.push(chars);
            }
            if starts_char(byte) {
                chars += 1;
            }
            if byte == b'\n' {
                line_starts.push(offset + 1);
            }
        }
        chars_before_block.push(chars);
        Self {
            text,
            line_starts,
            chars_before_block,
        }
    }

    pub(crate) fn text_bytes(&self) -> usize {
        self.text.len()
    }

    pub(crate) fn line(&self, offset: usize) -> u32 {
        saturate_to_u32(self.line_number(offset))
    }

    pub(crate) fn position(&self, offset: usize) -> Position {
        let line = self.line_number(offset);
        let line_start = self.line_starts[line - 1];
        let column = self.chars_before(offset) - self.chars_before(line_start) + 1;
        Position {
            line: saturate_to_u32(line),
            column: saturate_to_u32(column),
        }
    }

    fn line_number(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    fn chars_before(&self, offset: usize) -> usize {
        let offset = offset.min(self.text.len());
        let block = offset / BLOCK_BYTES;
        let mut chars = self.chars_before_block[block.min(self.chars_before_block.len() - 1)];
        for byte in &self.text.as_bytes()[block * BLOCK_BYTES..offset] {
            if starts_char(*byte) {
                chars += 1;
            }
        }
        chars
    }
}

fn starts_char(byte: u8) -> bool {
    const CONTINUATION_MASK: u8 = 0b1100_0000;
    const CONTINUATION: u8 = 0b1000_0000;
    byte & CONTINUATION_MASK != CONTINUATION
}

fn saturate_to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
