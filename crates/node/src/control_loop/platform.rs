//! Reads and watches the platform on behalf of the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeamhitch_core::control::{ControlEvent, PlatformRead};
use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::control::ListVersion;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::platform::PlatformReader;

/// Reads the platform and delivers the results as events.
#[derive(Debug)]
pub(super) struct PlatformClient {
    reader: PlatformReader,
    events: mpsc::Sender<ControlEvent>,
    /// Reads in flight.
    reads: JoinSet<()>,
}

impl PlatformClient {
    pub(super) fn new(address: SocketAddr, events: mpsc::Sender<ControlEvent>) -> Self {
        Self {
            reader: PlatformReader::new(address),
            events,
            reads: JoinSet::new(),
        }
    }

    /// Cancels all reads, which closes their connections to the platform.
    pub(super) fn cancel_reads(&mut self) {
        self.reads.abort_all();
    }

    /// Spawns a read and delivers its result as an event.
    fn spawn(&mut self, read: impl Future<Output = ControlEvent> + 'static) {
        while self.reads.try_join_next().is_some() {}
        let events = self.events.clone();
        self.reads.spawn_local(async move {
            // The receiver is closed only after the control loop has ended.
            let _ = events.send(read.await).await;
        });
    }

    /// Reads the configuration text, or watches for a version above `after`.
    pub(super) fn read_text(&mut self, after: ConfigVersion, wait_ms: Millis) {
        let reader = self.reader.clone();
        self.spawn(async move {
            match reader.text(after, wait_ms).await {
                Ok(Some(read)) => ControlEvent::TextRead {
                    version: read.version,
                    text: Arc::from(read.text),
                },
                Ok(None) => ControlEvent::TextUnchanged,
                Err(error) => {
                    log::warn!("cannot read the configuration text from the platform: {error:#}");
                    ControlEvent::PlatformFailed(PlatformRead::Text)
                }
            }
        });
    }

    /// Reads the VM list, or watches for a version above `after`.
    pub(super) fn read_vms(
        &mut self,
        service: Option<ServiceName>,
        after: ListVersion,
        wait_ms: Millis,
    ) {
        let reader = self.reader.clone();
        self.spawn(async move {
            match reader.vms(service.as_ref(), after, wait_ms).await {
                Ok(Some(read)) => ControlEvent::VmsRead {
                    version: read.version,
                    service,
                    vms: read.vms,
                },
                Ok(None) => ControlEvent::VmsUnchanged,
                Err(error) => {
                    log::warn!("cannot read the VM list from the platform: {error:#}");
                    ControlEvent::PlatformFailed(PlatformRead::Vms)
                }
            }
        });
    }
}
