//! Reading heads and bodies from a connection.

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use super::body::{Decoder, Framing, Step};
use super::head::{HeadFault, RequestHead, ResponseHead};

const READ_BYTES: usize = 16 * 1024;

/// Why nothing more can be read as HTTP.
#[derive(Debug, thiserror::Error)]
pub enum ReadFault {
    /// The other side closed between two messages.
    #[error("the connection was closed")]
    Closed,
    /// The other side closed within a message.
    #[error("the connection was closed within a message")]
    Cut,
    /// The head or its framing is at fault.
    #[error(transparent)]
    Head(#[from] HeadFault),
    /// The body exceeds its limit.
    #[error("the body is above the limit")]
    BodyTooLarge,
    /// Too many bodies are held already.
    #[error("no memory is left for the body")]
    NoRoom,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
}

/// Bytes read from a connection and not yet used.
#[derive(Debug)]
pub struct HttpReader<R> {
    inner: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> HttpReader<R> {
    /// A reader without bytes.
    #[must_use]
    pub fn new(inner: R) -> Self {
        Self {
            inner,
            buffer: BytesMut::new(),
        }
    }

    /// Whether bytes were read that belong to no message yet.
    #[must_use]
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The connection below, for looking at its state.
    pub const fn get_ref(&self) -> &R {
        &self.inner
    }

    /// The connection below, for setting its limits.
    pub const fn get_mut(&mut self) -> &mut R {
        &mut self.inner
    }

    /// Waits until at least one byte of the next message is there.
    ///
    /// # Errors
    ///
    /// The connection was closed or failed.
    pub async fn wait_for_bytes(&mut self) -> Result<(), ReadFault> {
        while self.buffer.is_empty() {
            if self.fill().await? == 0 {
                return Err(ReadFault::Closed);
            }
            // Empty lines before a request are allowed, and belong to none.
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
    /// The head is at fault or the connection ended.
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

    /// Reads the head of a response, interim ones left out.
    ///
    /// # Errors
    ///
    /// The head is at fault or the connection ended.
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
    /// The body is cut, above the limit, or its framing is at fault.
    pub async fn body(&mut self, framing: Framing, max_bytes: u64) -> Result<Bytes, ReadFault> {
        self.body_within(framing, max_bytes, |_| true).await
    }

    /// The same while `has_room` says of its length so far that it can be held.
    ///
    /// # Errors
    ///
    /// As [`Self::body`], or there is no room.
    pub async fn body_within(
        &mut self,
        framing: Framing,
        max_bytes: u64,
        mut has_room: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, ReadFault> {
        if let Framing::Length(length) = framing
            && length > max_bytes
        {
            return Err(ReadFault::BodyTooLarge);
        }
        let mut decoder = Decoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            let step = decoder.step(&mut self.buffer, &mut body)?;
            if body.len() as u64 > max_bytes {
                return Err(ReadFault::BodyTooLarge);
            }
            if !has_room(body.len()) {
                return Err(ReadFault::NoRoom);
            }
            if step == Step::Done {
                return Ok(body.freeze());
            }
            if self.fill().await? > 0 {
                continue;
            }
            // A reset is an error above; only a clean end ends such a body.
            if framing == Framing::UntilClose {
                return Ok(body.freeze());
            }
            return Err(ReadFault::Cut);
        }
    }

    /// Reads and drops what comes until the connection ends.
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
            ReadFault::Cut
        })
    }

    async fn fill(&mut self) -> Result<usize, ReadFault> {
        self.buffer.reserve(READ_BYTES);
        Ok(self.inner.read_buf(&mut self.buffer).await?)
    }
}
