//! Limits on the memory and time that uploads of callers and peers can occupy.

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

/// Unit of the budget for buffered bodies.
const BLOCK_BYTES: usize = 1_024;

/// Limits on uploads, from the node's settings. Clones share the budget.
#[derive(Clone, Debug)]
pub struct UploadLimits {
    /// Maximum time without data within a body.
    idle_timeout: Duration,
    /// Budget for the buffered bodies of all calls, in blocks of `BLOCK_BYTES`.
    buffered: Arc<Semaphore>,
}

/// A reserved share of the budget, which is released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    blocks: OwnedSemaphorePermit,
    budget: Arc<Semaphore>,
}

impl Reservation {
    /// Grows the share to `bytes`. Returns false if the budget is exhausted.
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

/// A completely buffered body with its share of the budget.
#[derive(Debug)]
pub struct BufferedUpload {
    /// The whole body.
    pub body: Bytes,
    /// The share of the budget that covers the body.
    pub reservation: Reservation,
}

impl UploadLimits {
    /// Creates the limits of one node from the idle timeout within a body and
    /// the budget for buffered bodies.
    #[must_use]
    pub fn new(idle_timeout: Duration, buffered_bytes: u64) -> Self {
        let bytes = usize::try_from(buffered_bytes).unwrap_or(usize::MAX);
        let blocks = bytes / BLOCK_BYTES;
        Self {
            idle_timeout,
            buffered: Arc::new(Semaphore::new(blocks.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Reserves an empty share of the budget, which grows as a body arrives.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        let budget = Arc::clone(&self.buffered);
        let blocks = Arc::clone(&budget).try_acquire_many_owned(0);
        let blocks =
            blocks.expect("the budget is never closed, and acquiring zero permits never fails");
        Reservation { blocks, budget }
    }

    /// Wraps a body so that it fails when no data arrives for the idle timeout.
    ///
    /// Without this, an uploader that silently loses its network connection
    /// would occupy its call, its HTTP stream and its memory until the call's
    /// deadline, or forever if there is none.
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

    /// Buffers a whole body and reserves memory for it as it arrives, because a
    /// body of unknown length must not reserve the maximum size.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large or truncated, or if the budget is
    /// exhausted.
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
            Poll::Pending if self.timer.as_mut().poll(context).is_ready() => Poll::Ready(Some(
                Err("no data of the upload arrived within the idle timeout".into()),
            )),
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
