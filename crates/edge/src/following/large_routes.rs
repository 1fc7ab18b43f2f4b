//! Reads configurations that are too large for the change feed.

use hornbeamhitch_dispatch::waits::Waits;
use rand::RngExt;
use tokio::sync::{mpsc, watch};

use crate::feed::FeedEvent;
use crate::prelude::*;
use crate::source::SharedSource;

/// Reads a large configuration in a task of its own. A read may take a second on a slow
/// link, and the node applies removals of targets in the meantime.
#[derive(Debug)]
pub(super) struct LargeRoutesReader {
    /// Newest version that has been requested.
    wanted: watch::Sender<u64>,
}

impl LargeRoutesReader {
    /// Starts the task. It sends each configuration that it reads to `events`.
    pub(super) fn start(
        source: SharedSource,
        waits: Waits,
        events: mpsc::UnboundedSender<FeedEvent>,
    ) -> Self {
        let (wanted, wanted_versions) = watch::channel(0);
        tokio::spawn(read_wanted(source, waits, wanted_versions, events));
        Self { wanted }
    }

    /// Requests a configuration of at least this version.
    pub(super) fn request(&self, version: u64) {
        self.wanted.send_if_modified(|wanted| {
            let is_newer = version > *wanted;
            *wanted = version.max(*wanted);
            is_newer
        });
    }
}

async fn read_wanted(
    source: SharedSource,
    waits: Waits,
    mut wanted_versions: watch::Receiver<u64>,
    events: mpsc::UnboundedSender<FeedEvent>,
) {
    let mut known = 0;
    // The sender is dropped when the node stops following its source.
    while let Ok(wanted) = wanted_versions
        .wait_for(|wanted| *wanted > known)
        .await
        .map(|at| *at)
    {
        // All nodes that received the change read the source now, so their reads are
        // spread out.
        pause_up_to(waits.initial_backoff_ms()).await;
        match source.read_routes(waits.idle_timeout_ms()).await {
            Ok(Some(routes)) => {
                known = routes.version().max(known);
                if known < wanted {
                    // The source has returned from a copy that lacks this version.
                    pause_up_to(waits.max_backoff_ms()).await;
                }
                log::info!(version = routes.version(), wanted; "read a large configuration");
                if events.send(FeedEvent::RoutesRead(routes)).is_err() {
                    return;
                }
            }
            // This configuration cannot be used, so the task waits for the next version.
            Ok(None) => known = wanted,
            Err(fault) => {
                log::warn!(wanted; "reading a large configuration failed: {fault}");
                pause_up_to(waits.max_backoff_ms()).await;
            }
        }
    }
}

async fn pause_up_to(max_ms: Millis) {
    let pause = Millis(rand::rng().random_range(0..=max_ms.0));
    tokio::time::sleep(pause.to_duration()).await;
}
