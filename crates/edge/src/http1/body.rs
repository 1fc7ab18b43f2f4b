//! Incremental decoding of message bodies.

use bytes::{Buf, BytesMut};

use super::head::HeadFault;

/// Limit on the size line of a chunk, including its extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Limit on the trailer section after the last chunk.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with an empty chunk.
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// State of decoding one body.
#[derive(Debug)]
pub(super) enum Decoder {
    Length(u64),
    Chunk(ChunkState),
    UntilClose,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailers(usize),
}

/// Result of a decoding step.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Step {
    NeedMore,
    Done,
}

impl Decoder {
    pub(super) fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::Chunk(ChunkState::Size),
            Framing::UntilClose => Self::UntilClose,
        }
    }

    /// Moves decoded bytes from `input` to `body`.
    pub(super) fn step(
        &mut self,
        input: &mut BytesMut,
        body: &mut BytesMut,
    ) -> Result<Step, HeadFault> {
        match self {
            Self::Length(left) => {
                *left -= take(input, body, *left);
                Ok(if *left == 0 {
                    Step::Done
                } else {
                    Step::NeedMore
                })
            }
            Self::UntilClose => {
                take(input, body, u64::MAX);
                Ok(Step::NeedMore)
            }
            Self::Chunk(state) => step_chunked(state, input, body),
        }
    }
}

fn take(input: &mut BytesMut, body: &mut BytesMut, most: u64) -> u64 {
    let count = (input.len() as u64).min(most);
    body.extend_from_slice(&input.split_to(count as usize));
    count
}

fn step_chunked(
    state: &mut ChunkState,
    input: &mut BytesMut,
    body: &mut BytesMut,
) -> Result<Step, HeadFault> {
    loop {
        match *state {
            ChunkState::Size => {
                let Some(line) = take_line(input, MAX_CHUNK_LINE_BYTES)? else {
                    return Ok(Step::NeedMore);
                };
                *state = match chunk_size(&line)? {
                    0 => ChunkState::Trailers(0),
                    size => ChunkState::Data(size),
                };
            }
            ChunkState::Data(left) => {
                let left = left - take(input, body, left);
                if left > 0 {
                    *state = ChunkState::Data(left);
                    return Ok(Step::NeedMore);
                }
                *state = ChunkState::DataEnd;
            }
            ChunkState::DataEnd => {
                if input.len() < 2 {
                    return Ok(Step::NeedMore);
                }
                if &input[..2] != b"\r\n" {
                    return Err(HeadFault::Malformed("a chunk is longer than its size"));
                }
                input.advance(2);
                *state = ChunkState::Size;
            }
            ChunkState::Trailers(seen) => {
                let Some(line) = take_line(input, MAX_TRAILER_BYTES)? else {
                    return Ok(Step::NeedMore);
                };
                if line.is_empty() {
                    return Ok(Step::Done);
                }
                let seen = seen + line.len();
                if seen > MAX_TRAILER_BYTES {
                    return Err(HeadFault::TooLarge);
                }
                *state = ChunkState::Trailers(seen);
            }
        }
    }
}

/// Splits a line off the input and strips its CRLF. A bare line feed is an error,
/// because other parsers read it differently.
fn take_line(input: &mut BytesMut, most: usize) -> Result<Option<BytesMut>, HeadFault> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        if input.len() > most {
            return Err(HeadFault::Malformed("a line of a chunk is too long"));
        }
        return Ok(None);
    };
    let mut line = input.split_to(end + 1);
    if !line.ends_with(b"\r\n") {
        return Err(HeadFault::Malformed("a line of a chunk ends oddly"));
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, HeadFault> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or(line);
    let digits = digits.trim_ascii_end();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_hex);
    text.and_then(|text| u64::from_str_radix(text, 16).ok())
        .ok_or(HeadFault::Malformed("the size of a chunk is no number"))
}
