//! Reads configurations that are too large to be told from node to node.

use hornbeamhitch_dispatch::waits::Waits;
use rand::RngExt;
use tokio::sync::{mpsc, watch};

use crate::feed::FeedEvent;
use crate::prelude::*;
use crate::source::SharedSource;

/// Reads the configuration when one is known to be there, beside everything else: it may
/// take a second of a thin line, and departures are heard meanwhile.
#[derive(Debug)]
pub(super) struct LargeRoutesReader {
    /// The newest version that is known to be there.
    wanted: watch::Sender<u64>,
}

impl LargeRoutesReader {
    /// Reads what is wanted from now on, and puts it in beside what readers tell.
    pub(super) fn start(
        source: SharedSource,
        waits: Waits,
        events: mpsc::UnboundedSender<FeedEvent>,
    ) -> Self {
        let (wanted, wanted_versions) = watch::channel(0);
        tokio::spawn(read_wanted(source, waits, wanted_versions, events));
        Self { wanted }
    }

    /// A configuration of this version is there.
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
    // The sender lives as long as the node follows its source.
    while let Ok(wanted) = wanted_versions
        .wait_for(|wanted| *wanted > known)
        .await
        .map(|at| *at)
    {
        // All who were told turn to the source in this moment.
        pause_up_to(waits.first_pause_ms()).await;
        match source.read_routes(waits.idle_timeout_ms()).await {
            Ok(Some(routes)) => {
                known = routes.version().max(known);
                log::info!(version = routes.version(), wanted; "a large configuration is read");
                if events.send(FeedEvent::RoutesRead(routes)).is_err() {
                    return;
                }
            }
            // Another one will be told of; this cannot be used.
            Ok(None) => known = wanted,
            Err(fault) => {
                log::warn!(wanted; "a large configuration cannot be read: {fault}");
                pause_up_to(waits.longest_pause_ms()).await;
            }
        }
    }
}

async fn pause_up_to(most: Millis) {
    let pause = Millis(rand::rng().random_range(0..=most.0));
    tokio::time::sleep(pause.to_duration()).await;
}
