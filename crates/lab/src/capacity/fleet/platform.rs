//! The fake platform of a fleet, with reads and watches.

use std::sync::Arc;

use hornbeamhitch_core::control::{ControlEvent, PlatformRead};
use hornbeamhitch_wire::control::ListVersion;

use super::{Fleet, FleetEvent, LISTED_VM_JSON_BYTES, PLATFORM_DELAY};
use crate::prelude::*;

/// A read of the platform that waits for a newer value.
pub(super) struct Watch {
    node: usize,
    read: PlatformRead,
    service: Option<ServiceName>,
    after: u64,
    pub(super) until: Millis,
}

impl Fleet {
    pub(super) fn read(
        &mut self,
        node: usize,
        read: PlatformRead,
        service: Option<ServiceName>,
        after: u64,
        wait_ms: Millis,
    ) {
        self.platform_reads += 1;
        self.watches.push(Watch {
            node,
            read,
            service,
            after,
            until: self.now + wait_ms,
        });
        self.wake_watches();
        self.end_watches();
    }

    /// Cancels the pending reads of a node.
    pub(super) fn cancel_reads(&mut self, node: usize) {
        self.watches.retain(|watch| watch.node != node);
    }

    /// Answers the watches for which there is a newer value.
    pub(super) fn wake_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let Some((event, bytes)) = self.newer_value(&watch) else {
                self.watches.push(watch);
                continue;
            };
            if let Some(node) = &mut self.nodes[watch.node] {
                node.platform_bytes += bytes;
            }
            let at = self.now + PLATFORM_DELAY;
            self.push(at, watch.node, FleetEvent::Event(event));
        }
    }

    /// Ends the watches whose wait is over, without a newer value.
    pub(super) fn end_watches(&mut self) {
        let now = self.now;
        if !self.watches.iter().any(|watch| watch.until <= now) {
            return;
        }
        for watch in std::mem::take(&mut self.watches) {
            if watch.until > now {
                self.watches.push(watch);
                continue;
            }
            let event = match watch.read {
                PlatformRead::Text => ControlEvent::TextUnchanged,
                PlatformRead::Vms => ControlEvent::VmsUnchanged,
            };
            let at = now + PLATFORM_DELAY;
            self.push(at, watch.node, FleetEvent::Event(event));
        }
    }

    fn newer_value(&self, watch: &Watch) -> Option<(ControlEvent, u64)> {
        if watch.read == PlatformRead::Text {
            let (version, text) = &self.text;
            let event = ControlEvent::TextRead {
                version: ConfigVersion(*version),
                text: Arc::clone(text),
            };
            return (*version > watch.after).then_some((event, text.len() as u64));
        }
        if self.list_version <= watch.after {
            return None;
        }
        let mut vms = self.vms.clone();
        if let Some(service) = &watch.service {
            vms.retain(|entry| entry.service == *service);
        }
        let bytes = vms.len() as u64 * LISTED_VM_JSON_BYTES;
        let event = ControlEvent::VmsRead {
            version: ListVersion(self.list_version),
            service: watch.service.clone(),
            vms,
        };
        Some((event, bytes))
    }
}
