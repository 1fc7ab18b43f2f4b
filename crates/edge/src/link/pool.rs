//! The entry's pool of links to gates.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::OwnedMutexGuard;

use super::client::{Link, LinkEvent, LinkRequest, LinkSink};
use super::framed::LinkFault;
use super::outgoing::OutgoingCall;
use super::pending::{PendingRequest, SharedSendState};
use super::slot::{LinkSlot, Opening};
use crate::prelude::*;
use crate::resources::Resources;
use crate::silence::Silence;
use crate::suspicion::Suspicion;

#[cfg(test)]
mod tests;

/// Links by the gate's address. A link is opened on first use and then reused.
#[derive(Debug)]
pub struct LinkPool {
    pub(super) suspicion: Arc<Suspicion>,
    pub(super) directory: SharedDirectory,
    pub(super) silence: Arc<Silence>,
    pub(super) resources: Arc<Resources>,
    links: Mutex<HashMap<SocketAddr, Arc<LinkSlot>>>,
}

impl LinkPool {
    /// Creates a pool without links.
    #[must_use]
    pub fn new(
        suspicion: Arc<Suspicion>,
        directory: SharedDirectory,
        silence: Arc<Silence>,
        resources: Arc<Resources>,
    ) -> Self {
        Self {
            suspicion,
            directory,
            silence,
            resources,
            links: Mutex::default(),
        }
    }

    /// Sends a call to a gate.
    pub fn call(
        self: &Arc<Self>,
        gate: SocketAddr,
        call: OutgoingCall,
        sink: LinkSink,
    ) -> PendingRequest {
        self.start(gate, LinkRequest::Call(Box::new(call)), sink)
    }

    /// Asks a gate for the outcome of a key and fences the key: a call with it that
    /// has not started will never run.
    pub fn fence(
        self: &Arc<Self>,
        gate: SocketAddr,
        key: CallKey,
        sink: LinkSink,
    ) -> PendingRequest {
        self.start(gate, LinkRequest::Fence(key), sink)
    }

    fn start(
        self: &Arc<Self>,
        gate: SocketAddr,
        request: LinkRequest,
        sink: LinkSink,
    ) -> PendingRequest {
        let slot = self.slot(gate);
        let state = SharedSendState::default();
        let pool = Arc::clone(self);
        let (task_slot, task_state) = (Arc::clone(&slot), state.clone());
        let task = tokio::spawn(async move {
            match pool.link_for(&request, gate, &task_slot).await {
                Ok(link) if link.must_withhold(&request) => sink(pool.withheld()),
                Ok(link) => task_state.send(link, request, sink),
                Err(NoLink::Silent) => sink(LinkEvent::Silent),
                Err(NoLink::Fault(fault)) => {
                    log::debug!("no link to {gate}: {fault}");
                    sink(LinkEvent::Unreachable);
                }
            }
        });
        PendingRequest {
            task: task.abort_handle(),
            state,
            vm: gate.ip(),
            slot,
            silence: Arc::clone(&self.silence),
        }
    }

    /// Returns the event of a call that is not sent because its gate is unresponsive.
    fn withheld(&self) -> LinkEvent {
        match self.silence.is_enabled() {
            true => LinkEvent::Silent,
            false => LinkEvent::Unreachable,
        }
    }

    /// Whether the gate has a responsive link now or one can be opened.
    pub async fn is_reachable(&self, gate: SocketAddr) -> bool {
        let slot = self.slot(gate);
        let link = self.link(gate, &slot).await;
        link.is_ok_and(|link| !link.is_unresponsive())
    }

    /// Drops the links to gates for which `known` returns false.
    pub fn retain(&self, known: impl Fn(&SocketAddr) -> bool) {
        self.links.lock().retain(|address, _| known(address));
    }

    fn slot(&self, gate: SocketAddr) -> Arc<LinkSlot> {
        let mut links = self.links.lock();
        let slot = links.entry(gate).or_insert_with(|| {
            let last_frame = self.silence.last_frame_of(gate.ip());
            Arc::new(LinkSlot::new(last_frame))
        });
        Arc::clone(slot)
    }

    /// Returns the link for a request. Calls do not wait for it beyond the confirmation
    /// timeout; a fence request does, because only this gate can answer it.
    async fn link_for(
        self: &Arc<Self>,
        request: &LinkRequest,
        gate: SocketAddr,
        slot: &Arc<LinkSlot>,
    ) -> Result<Arc<Link>, NoLink> {
        let has_timeout = matches!(request, LinkRequest::Call(_)) && self.silence.is_enabled();
        match has_timeout {
            true => self.link_in_time(gate, slot).await,
            false => self.link(gate, slot).await.map_err(NoLink::Fault),
        }
    }

    /// Returns the link to a gate, and opens it if there is none.
    async fn link(&self, gate: SocketAddr, slot: &Arc<LinkSlot>) -> Result<Arc<Link>, LinkFault> {
        let mut current = slot.link.lock().await;
        if let Some(link) = alive(&current) {
            return Ok(link);
        }
        let _opening = Opening::begin(slot);
        self.open_into(&mut current, gate, slot).await
    }

    /// Returns the link to a gate within the confirmation timeout, counted from the time at
    /// which connecting began. Connecting continues in the background afterwards.
    async fn link_in_time(
        self: &Arc<Self>,
        gate: SocketAddr,
        slot: &Arc<LinkSlot>,
    ) -> Result<Arc<Link>, NoLink> {
        let asked_at = self.silence.now();
        if let Ok(current) = Arc::clone(&slot.link).try_lock_owned() {
            if let Some(link) = alive(&current) {
                return Ok(link);
            }
            self.open_in_background(current, gate, slot);
        }
        let opened = tokio::time::timeout_at(slot.wait_until(), slot.link.lock()).await;
        let Ok(current) = opened else {
            self.silence.observe(gate.ip(), &slot.last_frame, asked_at);
            return Err(NoLink::Silent);
        };
        alive(&current).ok_or(NoLink::Fault(LinkFault::Closed))
    }

    fn open_in_background(
        self: &Arc<Self>,
        mut current: OwnedMutexGuard<Option<Arc<Link>>>,
        gate: SocketAddr,
        slot: &Arc<LinkSlot>,
    ) {
        let pool = Arc::clone(self);
        let slot = Arc::clone(slot);
        let opening = Opening::begin(&slot);
        tokio::spawn(async move {
            if let Err(fault) = pool.open_into(&mut current, gate, &slot).await {
                log::debug!("cannot open a link to {gate}: {fault}");
            }
            drop(opening);
        });
    }

    async fn open_into(
        &self,
        current: &mut Option<Arc<Link>>,
        gate: SocketAddr,
        slot: &LinkSlot,
    ) -> Result<Arc<Link>, LinkFault> {
        let link = Link::open(gate, self, slot).await?;
        *current = Some(Arc::clone(&link));
        Ok(link)
    }
}

/// Returns the link unless it has ended.
fn alive(current: &Option<Arc<Link>>) -> Option<Arc<Link>> {
    current.as_ref().filter(|link| !link.is_dead()).cloned()
}

/// Why a call gets no link.
enum NoLink {
    /// The link could not be opened in time.
    Silent,
    /// Opening the link failed.
    Fault(LinkFault),
}
