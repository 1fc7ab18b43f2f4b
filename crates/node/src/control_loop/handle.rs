//! Reports the observations of traffic threads to the control thread.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Arc;

use hornbeamhitch_core::control::ControlEvent;
use hornbeamhitch_core::prelude::*;
use hornbeamhitch_core::suspects::SuspectEntry;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::clock::ProcessClock;

/// Minimum interval between two reports of the same fact, so that the control
/// thread does not get an event for every call.
const MIN_REPEAT_INTERVAL_MS: Millis = Millis(250);
/// Maximum number of remembered facts of each kind. At this number the memory
/// is cleared, so that a flood of names cannot make it grow.
const MAX_RECENT: usize = 4_096;

/// Sends events to the control thread. It does not block, except in
/// [`Self::leave`]: when the channel is full, an event is dropped. Each event
/// is repeated or replaced by a later one.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    events: mpsc::Sender<ControlEvent>,
    clock: ProcessClock,
    recent_facts: Arc<RecentFacts>,
}

#[derive(Debug, Default)]
struct RecentFacts {
    senders: Recent<SocketAddr>,
    reports: Recent<VmId>,
    services: Recent<ServiceName>,
}

/// When each fact was last reported.
#[derive(Debug)]
struct Recent<K>(Mutex<HashMap<K, Millis>>);

impl<K> Default for Recent<K> {
    fn default() -> Self {
        Self(Mutex::new(HashMap::new()))
    }
}

impl<K: Clone + Eq + Hash> Recent<K> {
    /// Returns whether the fact is due to be reported, and if it is, records it
    /// as reported.
    fn is_due(&self, key: &K, now: Millis) -> bool {
        let mut recent = self.0.lock();
        if let Some(last) = recent.get_mut(key) {
            let is_due = now.since(*last) >= MIN_REPEAT_INTERVAL_MS;
            if is_due {
                *last = now;
            }
            return is_due;
        }
        if recent.len() >= MAX_RECENT {
            recent.clear();
        }
        recent.insert(key.clone(), now);
        true
    }
}

impl ControlHandle {
    /// Creates a handle for the control thread's channel.
    #[must_use]
    pub fn new(events: mpsc::Sender<ControlEvent>, clock: ProcessClock) -> Self {
        Self {
            events,
            clock,
            recent_facts: Arc::new(RecentFacts::default()),
        }
    }

    /// Reports that an entry sent work to this node's gate.
    pub fn received_from(&self, control: SocketAddr) {
        if self.recent_facts.senders.is_due(&control, self.clock.now()) {
            self.send(ControlEvent::ReceivedFrom { control });
        }
    }

    /// Reports the load that a gate sent with its answer.
    pub fn load_reported(&self, vm: &VmId, load: LoadReport) {
        // Leaving must be known at once, even if a report was sent recently.
        if load.leaving || self.recent_facts.reports.is_due(vm, self.clock.now()) {
            self.send(ControlEvent::LoadReported {
                vm: vm.clone(),
                load,
            });
        }
    }

    /// Reports that a call is sent to a service.
    pub fn sent_to(&self, service: &ServiceName) {
        if self.recent_facts.services.is_due(service, self.clock.now()) {
            self.send(ControlEvent::SentTo(service.clone()));
        }
    }

    /// Reports that a call requests a service that this node does not track.
    pub fn service_requested(&self, service: &ServiceName) {
        self.send(ControlEvent::ServiceRequested(service.clone()));
    }

    /// Reports a changed state of this node's target.
    pub fn target_state(&self, draining: bool, reachable: bool) {
        self.send(ControlEvent::TargetState {
            draining,
            reachable,
        });
    }

    /// Reports a suspicion against a request, or that this node's gate has
    /// cleared it.
    pub fn suspicion(&self, entry: SuspectEntry) {
        self.send(ControlEvent::Suspicion(entry));
    }

    /// Reports that the process is shutting down. This event must not be
    /// dropped, so it waits for room in the channel.
    pub async fn leave(&self) {
        let _ = self.events.send(ControlEvent::LeaveRequested).await;
    }

    fn send(&self, event: ControlEvent) {
        if self.events.try_send(event).is_err() {
            log::debug!("dropped an event because the control thread is behind");
        }
    }
}
