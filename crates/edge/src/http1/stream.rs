//! Reading of heads and bodies from a connection.

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use super::body::{Decoder, Framing, Step};
use super::head::{HeadFault, RequestHead, ResponseHead};

const READ_BYTES: usize = 16 * 1024;

/// Why no further HTTP message can be read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum ReadFault {
    /// The peer closed the connection between two messages.
    #[error("the connection was closed")]
    Closed,
    /// The peer closed the connection within a message.
    #[error("the connection was closed within a message")]
    Truncated,
    /// The head or the framing of the body is malformed.
    #[error(transparent)]
    Head(#[from] HeadFault),
    /// The body exceeds its limit.
    #[error("the body exceeds the limit")]
    BodyTooLarge,
    /// The limit on memory for buffered bodies is reached.
    #[error("no memory is left for the body")]
    NoRoom,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
}

/// The memory that a body takes while it arrives.
pub trait BodyMemory: Send {
    /// Reserves memory for a body of this length in bytes; returns false if none is left.
    fn make_room(&mut self, bytes: u64) -> impl Future<Output = bool> + Send;

    /// Returns the capacity that a body of at least this length gets, so that it need not be
    /// copied while it grows.
    fn capacity(&self, bytes: u64) -> usize;

    /// Observes how many bytes have been received.
    fn note_received(&mut self, bytes: u64);

    /// Returns the complete body.
    fn finish(self, body: BytesMut) -> Bytes;
}

/// The memory of a body that is limited by its length alone.
struct UnboundedMemory;

impl BodyMemory for UnboundedMemory {
    async fn make_room(&mut self, _: u64) -> bool {
        true
    }

    fn capacity(&self, _: u64) -> usize {
        0
    }

    fn note_received(&mut self, _: u64) {}

    fn finish(self, body: BytesMut) -> Bytes {
        body.freeze()
    }
}

/// Buffered reader of HTTP/1 messages.
#[derive(Debug)]
pub struct HttpReader<R> {
    inner: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> HttpReader<R> {
    /// Creates a reader with an empty buffer.
    #[must_use]
    pub fn new(inner: R) -> Self {
        Self {
            inner,
            buffer: BytesMut::new(),
        }
    }

    /// Whether the buffer has bytes that were read but not yet parsed.
    #[must_use]
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the underlying connection, to inspect its state.
    pub const fn get_ref(&self) -> &R {
        &self.inner
    }

    /// Returns the underlying connection, to set its limits.
    pub const fn get_mut(&mut self) -> &mut R {
        &mut self.inner
    }

    /// Waits until at least one byte of the next message is buffered.
    ///
    /// # Errors
    ///
    /// The connection was closed or failed.
    pub async fn wait_for_bytes(&mut self) -> Result<(), ReadFault> {
        while self.buffer.is_empty() {
            if self.fill().await? == 0 {
                return Err(ReadFault::Closed);
            }
            // Empty lines before a request are allowed and ignored.
            while self.buffer.starts_with(b"\r\n") {
                self.buffer.advance(2);
            }
        }
        Ok(())
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// The head is malformed or too large, or the connection ended.
    pub async fn request_head(&mut self, max_bytes: usize) -> Result<RequestHead, ReadFault> {
        loop {
            if let Some((head, length)) = RequestHead::parse(&self.buffer)? {
                if length > max_bytes {
                    return Err(HeadFault::TooLarge.into());
                }
                self.buffer.advance(length);
                return Ok(head);
            }
            self.fill_head(max_bytes).await?;
        }
    }

    /// Reads the head of a response and skips interim (1xx) responses.
    ///
    /// # Errors
    ///
    /// The head is malformed or too large, or the connection ended.
    pub async fn response_head(&mut self, max_bytes: usize) -> Result<ResponseHead, ReadFault> {
        loop {
            if let Some((head, length)) = ResponseHead::parse(&self.buffer)? {
                self.buffer.advance(length);
                if !(100..200).contains(&head.status) {
                    return Ok(head);
                }
                continue;
            }
            self.fill_head(max_bytes).await?;
        }
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// The body is truncated, exceeds `max_bytes`, or its framing is malformed.
    pub async fn body(&mut self, framing: Framing, max_bytes: u64) -> Result<Bytes, ReadFault> {
        self.body_within(framing, max_bytes, UnboundedMemory).await
    }

    /// Reads a whole body, as [`Self::body`] does, into memory that is limited. The memory
    /// for a body of stated length is reserved before any of it is read.
    ///
    /// # Errors
    ///
    /// Those of [`Self::body`], and [`ReadFault::NoRoom`].
    pub async fn body_within(
        &mut self,
        framing: Framing,
        max_bytes: u64,
        mut memory: impl BodyMemory,
    ) -> Result<Bytes, ReadFault> {
        let mut body = BytesMut::new();
        if let Framing::Length(length) = framing {
            if length > max_bytes {
                return Err(ReadFault::BodyTooLarge);
            }
            if !memory.make_room(length).await {
                return Err(ReadFault::NoRoom);
            }
            body.reserve(memory.capacity(length));
        }
        let mut decoder = Decoder::new(framing);
        loop {
            let step = decoder.step(&mut self.buffer, &mut body)?;
            let received_bytes = body.len() as u64;
            if received_bytes > max_bytes {
                return Err(ReadFault::BodyTooLarge);
            }
            if !memory.make_room(received_bytes).await {
                return Err(ReadFault::NoRoom);
            }
            let capacity = memory.capacity(received_bytes);
            if capacity > body.capacity() {
                body.reserve(capacity - body.len());
            }
            memory.note_received(received_bytes);
            if step == Step::Done {
                return Ok(memory.finish(body));
            }
            if self.fill().await? > 0 {
                continue;
            }
            // `fill` fails on a reset, unless a write has failed on it before. Who writes to
            // the same connection must check that.
            if framing == Framing::UntilClose {
                return Ok(memory.finish(body));
            }
            return Err(ReadFault::Truncated);
        }
    }

    /// Reads and discards bytes until the connection ends.
    pub async fn discard_rest(&mut self) {
        loop {
            self.buffer.clear();
            match self.fill().await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
    }

    async fn fill_head(&mut self, max_bytes: usize) -> Result<(), ReadFault> {
        if self.buffer.len() > max_bytes {
            return Err(HeadFault::TooLarge.into());
        }
        if self.fill().await? > 0 {
            return Ok(());
        }
        Err(if self.buffer.is_empty() {
            ReadFault::Closed
        } else {
            ReadFault::Truncated
        })
    }

    async fn fill(&mut self) -> Result<usize, ReadFault> {
        self.buffer.reserve(READ_BYTES);
        Ok(self.inner.read_buf(&mut self.buffer).await?)
    }
}
