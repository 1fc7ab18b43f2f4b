//! Reads and watches of the platform, whose answers come back as events.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeamhitch_core::control::{ControlEvent, PlatformRead};
use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::control::ListVersion;
use tokio::sync::mpsc;

use crate::platform::PlatformReader;

/// Reads the platform; answers come back as events.
#[derive(Clone, Debug)]
pub(super) struct PlatformClient {
    reader: PlatformReader,
    events: mpsc::Sender<ControlEvent>,
}

impl PlatformClient {
    pub(super) fn new(address: SocketAddr, events: mpsc::Sender<ControlEvent>) -> Self {
        Self {
            reader: PlatformReader::new(address),
            events,
        }
    }

    /// Reads the text, or watches for a version above `after`.
    pub(super) fn read_text(&self, after: ConfigVersion, wait_ms: Millis) {
        let client = self.clone();
        tokio::task::spawn_local(async move {
            let event = match client.reader.text(after, wait_ms).await {
                Ok(Some(read)) => ControlEvent::TextRead {
                    version: read.version,
                    text: Arc::from(read.text),
                },
                Ok(None) => ControlEvent::TextUnchanged,
                Err(error) => {
                    log::warn!("cannot read the text from the platform: {error:#}");
                    ControlEvent::PlatformFailed(PlatformRead::Text)
                }
            };
            let _ = client.events.send(event).await;
        });
    }

    /// Reads the VM list, or watches for a version above `after`.
    pub(super) fn read_vms(
        &self,
        service: Option<ServiceName>,
        after: ListVersion,
        wait_ms: Millis,
    ) {
        let client = self.clone();
        tokio::task::spawn_local(async move {
            let event = match client.reader.vms(service.as_ref(), after, wait_ms).await {
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
            };
            let _ = client.events.send(event).await;
        });
    }
}
