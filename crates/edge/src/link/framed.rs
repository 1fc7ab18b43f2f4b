//! Reading and writing of length-prefixed frames on a TCP connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hornbeamhitch_dispatch::resources::limits::ORDINARY_REQUEST_BYTES;
use hornbeamhitch_dispatch::resources::peers::Activity;
use hornbeamhitch_types::crash::CrashNotice;
use hornbeamhitch_wire::WireError;
use hornbeamhitch_wire::link::{self, BODY_PART_BYTES};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{broadcast, mpsc};

use crate::resources::{Charge, Patience, Registration, Resources, body_capacity};
use crate::suspicion::Suspicion;

const READ_BYTES: usize = 32 * 1024;
/// How long a part of a body waits for memory. The end of its link would cost all its calls.
const FRAME_PATIENCE: Patience = Patience::Until(Duration::from_millis(500));
/// Longest frame that is part of the memory of its connection.
const SHORT_FRAME_BYTES: u64 = 16 * 1024;
/// Queued frames are written in one batch of up to about this many bytes.
const WRITE_BYTES: usize = 64 * 1024;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LinkFault {
    #[error("the peer closed the connection")]
    Closed,
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("the peer sent a part of a body that was not requested")]
    Unrequested,
    #[error("no memory is left for a frame")]
    NoMemory,
    #[error("the peer sent too many requests for parts of a configuration")]
    TooManyRequests,
}

/// Decodes frames from the read half of a connection.
#[derive(Debug)]
pub(crate) struct FrameReader {
    inner: OwnedReadHalf,
    buffer: BytesMut,
    /// Charges the frames of a peer that this node has not chosen itself.
    memory: Option<FrameMemory>,
}

impl FrameReader {
    pub(crate) fn new(inner: OwnedReadHalf) -> Self {
        Self {
            inner,
            buffer: BytesMut::new(),
            memory: None,
        }
    }

    /// Charges each long frame while it arrives.
    pub(super) fn charged(mut self, memory: FrameMemory) -> Self {
        self.memory = Some(memory);
        self
    }

    /// Reads the next message.
    ///
    /// This is cancel safe: bytes that have been read stay in the buffer.
    ///
    /// # Errors
    ///
    /// The peer closed the connection, reading failed, or a frame is malformed.
    pub(crate) async fn next<T: DeserializeOwned>(&mut self) -> Result<T, LinkFault> {
        loop {
            if let Some(message) = link::decode(&mut self.buffer)? {
                if let Some(memory) = &mut self.memory {
                    memory.release();
                }
                return Ok(message);
            }
            if let Some(memory) = &mut self.memory {
                memory.hold(&self.buffer).await?;
            }
            self.buffer.reserve(READ_BYTES);
            if self.inner.read_buf(&mut self.buffer).await? == 0 {
                return Err(LinkFault::Closed);
            }
        }
    }
}

/// The memory of the frame that arrives on a link.
#[derive(Debug)]
pub(super) struct FrameMemory {
    resources: Arc<Resources>,
    registration: Arc<Registration>,
    charge: Option<Charge>,
}

impl FrameMemory {
    pub(super) const fn new(resources: Arc<Resources>, registration: Arc<Registration>) -> Self {
        Self {
            resources,
            registration,
            charge: None,
        }
    }

    /// Holds the memory of the frame whose first bytes were received, if it is long.
    async fn hold(&mut self, received: &[u8]) -> Result<(), LinkFault> {
        if self.charge.is_some() {
            self.registration.set_moved(received.len() as u64);
            return Ok(());
        }
        let bytes = link::frame_bytes(received).unwrap_or_default() as u64;
        if bytes <= SHORT_FRAME_BYTES {
            return Ok(());
        }
        let charge = match bytes <= ORDINARY_REQUEST_BYTES {
            true => self.resources.hold_request(FRAME_PATIENCE).await,
            false => self.resources.hold_body(bytes, Patience::Relief).await,
        };
        let charge = charge.ok_or(LinkFault::NoMemory)?;
        self.registration.add_held(charge.bytes());
        self.registration.set_activity(Activity::Sending);
        self.charge = Some(charge);
        Ok(())
    }

    /// Releases the memory of a frame that was received whole.
    fn release(&mut self) {
        if let Some(charge) = self.charge.take() {
            self.registration.remove_held(charge.bytes());
        }
    }
}

/// Writes the messages of a channel as frames until its last sender is dropped. Calls
/// `on_drained` each time that none is left.
pub(super) async fn write_frames<T: Serialize>(
    mut writer: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<T>,
    on_drained: impl Fn(),
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
        if messages.is_empty() {
            on_drained();
        }
    }
    Ok(())
}

/// Sends all known notices of crashes as frames, and returns a receiver of new ones. If the
/// link's frame channel is closed, the notices are dropped.
pub(super) fn send_known_notices<T>(
    suspicion: &Suspicion,
    frames: &mpsc::UnboundedSender<T>,
    to_frame: fn(CrashNotice) -> T,
) -> broadcast::Receiver<CrashNotice> {
    let (known, notices) = suspicion.subscribe();
    for notice in known {
        // Fails only if the link has ended, which its tasks notice themselves.
        let _ = frames.send(to_frame(notice));
    }
    notices
}

/// Sends each new notice of crashes as a frame. Returns once the link's frame channel is
/// closed.
pub(super) async fn forward_notices<T>(
    suspicion: Arc<Suspicion>,
    mut notices: broadcast::Receiver<CrashNotice>,
    frames: mpsc::UnboundedSender<T>,
    to_frame: fn(CrashNotice) -> T,
) {
    loop {
        match notices.recv().await {
            Ok(notice) => {
                if frames.send(to_frame(notice)).is_err() {
                    return;
                }
            }
            // What is known now includes the missed notices.
            Err(broadcast::error::RecvError::Lagged(_)) => {
                notices = send_known_notices(&suspicion, &frames, to_frame);
            }
            Err(broadcast::error::RecvError::Closed) => return,
        }
    }
}

/// Splits the next part off a body.
pub(super) fn next_part(body: &mut Bytes) -> Bytes {
    body.split_to(body.len().min(BODY_PART_BYTES))
}

/// A body that arrives in parts.
#[derive(Debug)]
pub(super) struct PartialBody {
    expected_bytes: u64,
    /// Number of bytes that may arrive now.
    permitted_bytes: u64,
    parts: BytesMut,
    /// The memory of the body, if it is charged here.
    charge: Option<Charge>,
}

impl PartialBody {
    /// Expects a body of which this many bytes may arrive before the rest is permitted.
    pub(super) fn new(expected_bytes: u64, permitted_bytes: u64) -> Self {
        Self {
            expected_bytes,
            permitted_bytes,
            parts: BytesMut::new(),
            charge: None,
        }
    }

    /// Permits the whole body. `charge` holds its memory, unless the call's own charge does.
    pub(super) fn permit(&mut self, charge: Option<Charge>) {
        let capacity = body_capacity(self.expected_bytes);
        self.parts
            .reserve(capacity.saturating_sub(self.parts.len()));
        self.permitted_bytes = self.expected_bytes;
        self.charge = charge;
    }

    /// Adds the next part.
    ///
    /// # Errors
    ///
    /// [`LinkFault::Unrequested`] if the body becomes longer than is permitted now.
    pub(super) fn push(&mut self, part: &[u8]) -> Result<(), LinkFault> {
        let length = (self.parts.len() + part.len()) as u64;
        if length > self.permitted_bytes {
            return Err(LinkFault::Unrequested);
        }
        self.parts.extend_from_slice(part);
        Ok(())
    }

    pub(super) fn is_complete(&self) -> bool {
        self.parts.len() as u64 >= self.expected_bytes
    }

    pub(super) fn into_bytes(self) -> Bytes {
        match self.charge {
            Some(charge) => charge.attach(self.parts),
            None => self.parts.freeze(),
        }
    }
}
