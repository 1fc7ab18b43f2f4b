//! Taking what readers tell while something else is waited for.

use super::knowledge::Knowledge;
use crate::feed::Subscriptions;
use crate::prelude::*;

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

/// The same for as long as what is known is younger than `oldest_ms`, if that is given;
/// `None` when it has grown older.
pub(super) async fn while_young<T>(
    waiting: impl Future<Output = T>,
    knowledge: &mut Knowledge,
    subscriptions: &mut Subscriptions,
    oldest_ms: Option<Millis>,
) -> Option<T> {
    let mut waiting = std::pin::pin!(waiting);
    let Some(oldest_ms) = oldest_ms else {
        return Some(while_hearing(waiting, knowledge, subscriptions).await);
    };
    loop {
        let left_ms = oldest_ms.minus(knowledge.age_ms());
        if left_ms == Millis::ZERO {
            return None;
        }
        let either = async {
            tokio::select! {
                done = &mut waiting => Some(done),
                () = tokio::time::sleep(left_ms.to_duration()) => None,
            }
        };
        if let Some(done) = while_hearing(either, knowledge, subscriptions).await {
            return Some(done);
        }
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
