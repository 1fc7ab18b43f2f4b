//! Confirmation that a call has arrived while the gate has not decided it.

use std::time::Duration;

use super::{EventSink, Gate, GateEvent};

/// Time after which an undecided call is confirmed. Most calls are decided within it, and
/// it leaves the entry's timeout of at least 80 ms to the network.
const CONFIRM_AFTER: Duration = Duration::from_millis(20);

impl Gate {
    /// Waits for the decision on a call, and reports that it has arrived if that takes long.
    pub(super) async fn confirming<T>(
        &self,
        deciding: impl Future<Output = T>,
        sink: &EventSink,
    ) -> T {
        if !self.silence.is_enabled() {
            return deciding.await;
        }
        let mut deciding = std::pin::pin!(deciding);
        tokio::select! {
            biased;
            decided = &mut deciding => return decided,
            () = tokio::time::sleep(CONFIRM_AFTER) => {}
        }
        sink(GateEvent::Received);
        deciding.await
    }
}
