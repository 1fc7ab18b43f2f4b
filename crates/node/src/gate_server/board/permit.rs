//! The right to run a call, and a call that waits for it.

use std::sync::Arc;
use std::time::Instant;

use hornbeamhitch_core::gate::{RunEnd, RunId};
use hornbeamhitch_core::prelude::*;
use tokio::sync::oneshot;

use super::GateBoard;
use super::waiting::Release;

/// The right to run one call in the target.
///
/// Ending it is the only way to free the place; dropping it counts as a
/// cancellation, so a caller that leaves can never leak a slot.
#[derive(Debug)]
pub struct RunPermit {
    board: Arc<GateBoard>,
    run: RunId,
    class: CallClass,
    started_at: Instant,
    ended: bool,
}

impl RunPermit {
    /// The right to run a call that the gate has started.
    pub(super) fn new(board: &Arc<GateBoard>, run: RunId, class: CallClass) -> Self {
        Self {
            board: Arc::clone(board),
            run,
            class,
            started_at: Instant::now(),
            ended: false,
        }
    }

    /// Ends the run.
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
    /// A call that the gate holds until `release` says otherwise.
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

    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// The gate's refusal, when none can be had in time.
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
    /// The caller left. If its start was emitted in the same moment, the place
    /// must be given back; else the call is taken out of the queue.
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
