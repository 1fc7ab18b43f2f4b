//! Limits how far a link reads ahead of what it writes.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Number of frames that are read while frames to the peer are still queued. A peer that
/// sends requests and reads no responses would otherwise fill the memory with them.
const MAX_FRAMES_AHEAD: usize = 4_096;

/// Number of frames that were read since nothing was queued for the peer.
#[derive(Debug, Default)]
pub(super) struct ReadAhead {
    frames: AtomicUsize,
    drained: Notify,
}

impl ReadAhead {
    /// Counts a frame that was read. Waits for the queued ones if there are too many.
    pub(super) async fn note_read(&self) {
        let ahead = self.frames.fetch_add(1, Ordering::AcqRel) + 1;
        if ahead < MAX_FRAMES_AHEAD {
            return;
        }
        while self.frames.load(Ordering::Acquire) >= MAX_FRAMES_AHEAD {
            self.drained.notified().await;
        }
    }

    /// Records that all queued frames were written.
    pub(super) fn note_drained(&self) {
        self.frames.store(0, Ordering::Release);
        self.drained.notify_one();
    }
}
