//! The simulated platform of a fleet: reads, and watches that wait for a newer value.

use std::sync::Arc;

use hornbeamhitch_wire::control::{ListVersion, ListedVm};

use super::{Fleet, Occurrence};
use crate::control::*;

const PLATFORM_DELAY: Millis = Millis(5);

/// What the platform serves, and its state.
pub(in crate::control::tests) struct Platform {
    pub(in crate::control::tests) text: Option<(u64, Arc<str>)>,
    pub(in crate::control::tests) list_version: u64,
    pub(in crate::control::tests) vms: Vec<ListedVm>,
    pub(in crate::control::tests) down: bool,
    pub(in crate::control::tests) reads: u64,
    pub(super) watches: Vec<PlatformWatch>,
}

pub(super) struct PlatformWatch {
    node: usize,
    incarnation: Incarnation,
    read: PlatformRead,
    service: Option<ServiceName>,
    after: u64,
    until: Millis,
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
        self.platform.reads += 1;
        if self.platform.down || self.network.cut_from_platform.contains(&node) {
            let event = ControlEvent::PlatformFailed(read);
            self.push(self.now + PLATFORM_DELAY, node, Occurrence::Event(event));
            return;
        }
        let incarnation = self.nodes[node].settings.incarnation;
        self.platform.watches.push(PlatformWatch {
            node,
            incarnation,
            read,
            service,
            after,
            until: self.now + wait_ms,
        });
        self.answer_watches();
        self.end_watches();
    }

    /// Answers the watches for which a newer value exists.
    pub(super) fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.platform.watches) {
            let is_unreachable = self.network.cut_from_platform.contains(&watch.node);
            let newer_value = self.platform.newer_value_for(&watch);
            let Some(event) = newer_value.filter(|_| !is_unreachable) else {
                self.platform.watches.push(watch);
                continue;
            };
            let at = self.now + PLATFORM_DELAY;
            if self.nodes[watch.node].settings.incarnation == watch.incarnation {
                self.push(at, watch.node, Occurrence::Event(event));
            }
        }
    }

    /// Ends watches that have timed out, and fails those of nodes that cannot reach the
    /// platform.
    pub(super) fn end_watches(&mut self) {
        let now = self.now;
        let all_reach_platform = !self.platform.down && self.network.cut_from_platform.is_empty();
        if all_reach_platform && !self.platform.watches.iter().any(|watch| watch.until <= now) {
            return;
        }
        for watch in std::mem::take(&mut self.platform.watches) {
            let is_unreachable =
                self.platform.down || self.network.cut_from_platform.contains(&watch.node);
            if !is_unreachable && watch.until > now {
                self.platform.watches.push(watch);
                continue;
            }
            let event = match (is_unreachable, watch.read) {
                (true, read) => ControlEvent::PlatformFailed(read),
                (false, PlatformRead::Text) => ControlEvent::TextUnchanged,
                (false, PlatformRead::Vms) => ControlEvent::VmsUnchanged,
            };
            let at = now + PLATFORM_DELAY;
            if self.nodes[watch.node].settings.incarnation == watch.incarnation {
                self.push(at, watch.node, Occurrence::Event(event));
            }
        }
    }

    /// Cancels the reads of a node.
    pub(super) fn cancel_reads(&mut self, node: usize) {
        let incarnation = self.nodes[node].settings.incarnation;
        let watches = &mut self.platform.watches;
        watches.retain(|watch| watch.node != node || watch.incarnation != incarnation);
    }

    /// Returns the number of open watches of running nodes.
    pub(in crate::control::tests) fn watches(&self) -> usize {
        let watches = self.platform.watches.iter();
        watches.filter(|watch| self.nodes[watch.node].alive).count()
    }
}

impl Platform {
    fn newer_value_for(&self, watch: &PlatformWatch) -> Option<ControlEvent> {
        if watch.read == PlatformRead::Text {
            let (version, text) = self.text.as_ref()?;
            return (*version > watch.after).then(|| ControlEvent::TextRead {
                version: ConfigVersion(*version),
                text: Arc::clone(text),
            });
        }
        if self.list_version <= watch.after {
            return None;
        }
        let mut vms = self.vms.clone();
        if let Some(service) = &watch.service {
            vms.retain(|entry| entry.service == *service);
        }
        Some(ControlEvent::VmsRead {
            version: ListVersion(self.list_version),
            service: watch.service.clone(),
            vms,
        })
    }
}
