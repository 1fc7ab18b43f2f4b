//! Bounds on what callers and peers can make a node hold by their uploads.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep};

use crate::body::{self, BodyError, CollectError, NodeBody};

/// Grain of the budget of buffered bodies.
const BLOCK_BYTES: usize = 1_024;

/// What uploads may take of a node, from its settings.
#[derive(Clone, Debug)]
pub struct UploadLimits {
    /// Longest silence within a body.
    idle_timeout: Duration,
    /// Blocks of bodies that wait whole in the node, all calls together.
    buffered: Arc<Semaphore>,
}

/// A share of the budget, free again when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    blocks: OwnedSemaphorePermit,
    budget: Arc<Semaphore>,
}

impl Reservation {
    /// Grows the share to `bytes`; false when too much is held already.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let wanted = bytes.div_ceil(BLOCK_BYTES);
        let missing = wanted.saturating_sub(self.blocks.num_permits());
        let Ok(missing) = u32::try_from(missing) else {
            return false;
        };
        match Arc::clone(&self.budget).try_acquire_many_owned(missing) {
            Ok(more) => {
                self.blocks.merge(more);
                true
            }
            Err(_) => false,
        }
    }
}

/// A body that waits whole in the node, with its share of the budget.
#[derive(Debug)]
pub struct BufferedUpload {
    /// The whole body.
    pub body: Bytes,
    /// Its memory.
    pub reservation: Reservation,
}

impl UploadLimits {
    /// Limits for one node.
    #[must_use]
    pub fn new(idle_timeout: Duration, buffered_bytes: u64) -> Self {
        let bytes = usize::try_from(buffered_bytes).unwrap_or(usize::MAX);
        let blocks = bytes / BLOCK_BYTES;
        Self {
            idle_timeout,
            buffered: Arc::new(Semaphore::new(blocks.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// An empty share of the budget, to be grown as a body arrives.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        let budget = Arc::clone(&self.buffered);
        let blocks = Arc::clone(&budget).try_acquire_many_owned(0);
        let blocks = blocks.expect("the budget is never closed, and nothing is asked of it yet");
        Reservation { blocks, budget }
    }

    /// A body that breaks when nothing of it arrives for too long.
    ///
    /// Failure answered: an uploader that is cut off from the network without a
    /// word holds its call, its place among the streams and its memory until
    /// the call's deadline or, without one, for ever.
    #[must_use]
    pub fn with_idle_timeout(&self, body: Incoming) -> NodeBody {
        if body.is_end_stream() {
            return body::wrap(body);
        }
        IdleTimeoutBody {
            inner: body,
            idle_timeout: self.idle_timeout,
            timer: Box::pin(tokio::time::sleep(self.idle_timeout)),
        }
        .boxed_unsync()
    }

    /// Takes in a whole body and holds memory for it, growing as it arrives: a
    /// body of unknown length must not reserve the largest one.
    ///
    /// # Errors
    ///
    /// The body is too large or cut, or too much is held already.
    pub async fn buffer(
        &self,
        body: NodeBody,
        limit_bytes: u64,
    ) -> Result<BufferedUpload, CollectError> {
        let mut reservation = self.reserve();
        let body = body::collect_while(body, limit_bytes, |bytes| reservation.grow_to(bytes));
        let body = body.await?;
        Ok(BufferedUpload { body, reservation })
    }
}

struct IdleTimeoutBody {
    inner: Incoming,
    idle_timeout: Duration,
    timer: Pin<Box<Sleep>>,
}

impl Body for IdleTimeoutBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(frame) => {
                let next = Instant::now() + self.idle_timeout;
                self.timer.as_mut().reset(next);
                Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
            }
            Poll::Pending if self.timer.as_mut().poll(context).is_ready() => {
                Poll::Ready(Some(Err("the upload fell silent".into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
