//! Taking what readers tell while something else is waited for.

use super::knowledge::Knowledge;
use crate::feed::Subscriptions;

/// Takes what readers tell while something else is waited for.
pub(super) async fn while_hearing<T>(
    waiting: impl Future<Output = T>,
    knowledge: &mut Knowledge,
    subscriptions: &mut Subscriptions,
) -> T {
    let mut waiting = std::pin::pin!(waiting);
    loop {
        let either = async {
            tokio::select! {
                done = &mut waiting => Ok(done),
                event = subscriptions.next() => Err(event),
            }
        };
        match with_expiry(either, knowledge).await {
            Ok(done) => return done,
            Err(event) => knowledge.hear(event),
        }
        subscriptions.note_known(knowledge.revision());
    }
}

/// Drops lapsed entries in time while something else is waited for.
pub(super) async fn with_expiry<T>(
    waiting: impl Future<Output = T>,
    knowledge: &mut Knowledge,
) -> T {
    let mut waiting = std::pin::pin!(waiting);
    loop {
        let Some(at) = knowledge.expire() else {
            return waiting.await;
        };
        tokio::select! {
            done = &mut waiting => return done,
            () = tokio::time::sleep_until(at) => {}
        }
    }
}
