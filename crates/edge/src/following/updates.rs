//! Applies events from readers and expires entries while another future runs.

use super::knowledge::KnownState;
use crate::feed::Subscriptions;

/// Runs a future to completion and applies the events that readers send meanwhile.
pub(super) async fn with_updates<T>(
    future: impl Future<Output = T>,
    known: &mut KnownState,
    subscriptions: &mut Subscriptions,
) -> T {
    let mut future = std::pin::pin!(future);
    loop {
        let either = async {
            tokio::select! {
                output = &mut future => Ok(output),
                event = subscriptions.next() => Err(event),
            }
        };
        match with_expiry(either, known).await {
            Ok(output) => return output,
            Err(event) => known.apply_event(event),
        }
        subscriptions.set_known_revision(known.revision());
    }
}

/// Runs a future to completion and drops missing entries when their grace period ends.
pub(super) async fn with_expiry<T>(future: impl Future<Output = T>, known: &mut KnownState) -> T {
    let mut future = std::pin::pin!(future);
    loop {
        let Some(at) = known.expire() else {
            return future.await;
        };
        tokio::select! {
            output = &mut future => return output,
            () = tokio::time::sleep_until(at) => {}
        }
    }
}
