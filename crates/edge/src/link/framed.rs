//! Frames on a connection.

use bytes::{Bytes, BytesMut};
use hornbeamhitch_wire::WireError;
use hornbeamhitch_wire::link::{self, BODY_PART_BYTES, SuspectNotice};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{broadcast, mpsc};

const READ_BYTES: usize = 32 * 1024;
/// Frames that wait are written together up to about this many bytes.
const WRITE_BYTES: usize = 64 * 1024;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LinkFault {
    #[error("the other side closed")]
    Closed,
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Reads frames.
#[derive(Debug)]
pub(crate) struct FrameReader {
    inner: OwnedReadHalf,
    buffer: BytesMut,
}

impl FrameReader {
    pub(crate) fn new(inner: OwnedReadHalf) -> Self {
        Self {
            inner,
            buffer: BytesMut::new(),
        }
    }

    /// The next message. Safe to cancel: what was read stays in the buffer.
    pub(crate) async fn next<T: DeserializeOwned>(&mut self) -> Result<T, LinkFault> {
        loop {
            if let Some(message) = link::decode(&mut self.buffer)? {
                return Ok(message);
            }
            self.buffer.reserve(READ_BYTES);
            if self.inner.read_buf(&mut self.buffer).await? == 0 {
                return Err(LinkFault::Closed);
            }
        }
    }
}

/// Writes what comes over a channel until its last sender is gone.
pub(super) async fn write_frames<T: Serialize>(
    mut writer: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<T>,
) -> Result<(), LinkFault> {
    let mut buffer = BytesMut::new();
    while let Some(message) = messages.recv().await {
        link::encode(&message, &mut buffer)?;
        while buffer.len() < WRITE_BYTES {
            let Ok(message) = messages.try_recv() else {
                break;
            };
            link::encode(&message, &mut buffer)?;
        }
        writer.write_all(&buffer).await?;
        buffer.clear();
    }
    Ok(())
}

/// Sends each notice as a frame; ends when the link's frames are read no more.
pub(super) async fn forward_notices<T>(
    mut notices: broadcast::Receiver<SuspectNotice>,
    frames: mpsc::UnboundedSender<T>,
    to_frame: fn(SuspectNotice) -> T,
) {
    loop {
        match notices.recv().await {
            Ok(notice) => {
                if frames.send(to_frame(notice)).is_err() {
                    return;
                }
            }
            // Missed notices reach the other side over other links.
            Err(broadcast::error::RecvError::Lagged(_)) => {}
            Err(broadcast::error::RecvError::Closed) => return,
        }
    }
}

/// Takes the next part of a body.
pub(super) fn next_part(body: &mut Bytes) -> Bytes {
    body.split_to(body.len().min(BODY_PART_BYTES))
}

/// A body on its way in parts.
#[derive(Debug)]
pub(super) struct PartialBody {
    expected_bytes: u64,
    parts: BytesMut,
}

impl PartialBody {
    pub(super) fn new(expected_bytes: u64) -> Self {
        Self {
            expected_bytes,
            parts: BytesMut::new(),
        }
    }

    pub(super) fn push(&mut self, part: &Bytes) {
        self.parts.extend_from_slice(part);
    }

    pub(super) fn is_complete(&self) -> bool {
        self.parts.len() as u64 >= self.expected_bytes
    }

    pub(super) fn into_bytes(self) -> Bytes {
        self.parts.freeze()
    }
}
