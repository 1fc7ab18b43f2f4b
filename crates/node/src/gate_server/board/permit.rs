//! Permits to run calls, and queued calls that wait for a permit.

use std::sync::Arc;
use std::time::Instant;

use hornbeamhitch_core::gate::{RunEnd, RunId};
use hornbeamhitch_core::prelude::*;
use tokio::sync::oneshot;

use super::GateBoard;
use super::waiting::Release;

/// Permission to run one call in the target.
///
/// Only ending it frees the slot. Dropping it counts as a cancellation, so a
/// caller that disconnects cannot leak a slot.
#[derive(Debug)]
pub struct RunPermit {
    board: Arc<GateBoard>,
    run: RunId,
    class: CallClass,
    started_at: Instant,
    ended: bool,
}

impl RunPermit {
    /// Creates the permit of a run that the gate has started.
    pub(super) fn new(board: &Arc<GateBoard>, run: RunId, class: CallClass) -> Self {
        Self {
            board: Arc::clone(board),
            run,
            class,
            started_at: Instant::now(),
            ended: false,
        }
    }

    /// Ends the run with the given outcome and frees the slot.
    pub fn end(mut self, end: RunEnd) {
        self.finish(end);
    }

    fn finish(&mut self, end: RunEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        let elapsed_us = self.started_at.elapsed().as_micros();
        let service_time_us = u32::try_from(elapsed_us).unwrap_or(u32::MAX);
        if matches!(end, RunEnd::Answered { .. }) {
            let metrics = &self.board.metrics;
            metrics.gate_ran(self.class, service_time_us.into());
        }
        self.board.finish(self.run, end, service_time_us);
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        self.finish(RunEnd::Cancelled);
    }
}

/// A call in the gate's queue.
#[derive(Debug)]
pub struct QueuedCall {
    board: Arc<GateBoard>,
    run: RunId,
    class: CallClass,
    queued_at: Instant,
    release: oneshot::Receiver<Release>,
    resolved: bool,
}

impl QueuedCall {
    /// Creates a call that stays queued until a decision arrives on `release`.
    pub(super) fn new(
        board: &Arc<GateBoard>,
        run: RunId,
        class: CallClass,
        release: oneshot::Receiver<Release>,
    ) -> Self {
        Self {
            board: Arc::clone(board),
            run,
            class,
            queued_at: Instant::now(),
            release,
            resolved: false,
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the gate's refusal if no slot is available in time.
    pub async fn wait(mut self) -> Result<RunPermit, Refusal> {
        let released = (&mut self.release).await;
        self.resolved = true;
        match released {
            Ok(Release::Start) => {
                let waited_us = self.queued_at.elapsed().as_micros();
                let waited_us = u64::try_from(waited_us).unwrap_or(u64::MAX);
                self.board.metrics.gate_waited(self.class, waited_us);
                Ok(self.board.permit(self.run, self.class))
            }
            Ok(Release::Refused(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::fixed(ResultCode::Fenced)),
        }
    }
}

impl Drop for QueuedCall {
    /// Handles a caller that disconnected while its call was queued. If the
    /// call was started at the same moment, its slot is freed; otherwise the
    /// call is removed from the queue.
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        match self.release.try_recv() {
            Ok(Release::Start) => self.board.permit(self.run, self.class).end(RunEnd::NotRun),
            Ok(Release::Refused(_)) => {}
            Err(_) => self.board.abandon(self.run),
        }
    }
}
