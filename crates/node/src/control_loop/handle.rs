//! How traffic threads tell the control thread what they see.

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

/// The same fact is passed on at most this often; the control thread must not
/// see every call.
const REPEAT_MS: Millis = Millis(250);
/// Above this many remembered facts the memory starts over, so that a flood of
/// names cannot grow it.
const MAX_REMEMBERED: usize = 4_096;

/// Sends events to the control thread; never blocks. When the channel is full
/// an event is dropped: each is repeated or replaced by a later one.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    events: mpsc::Sender<ControlEvent>,
    clock: ProcessClock,
    remembered: Arc<Remembered>,
}

#[derive(Debug, Default)]
struct Remembered {
    senders: Recent<SocketAddr>,
    reports: Recent<VmId>,
    services: Recent<ServiceName>,
}

/// When each fact was last passed on.
#[derive(Debug)]
struct Recent<K>(Mutex<HashMap<K, Millis>>);

impl<K> Default for Recent<K> {
    fn default() -> Self {
        Self(Mutex::new(HashMap::new()))
    }
}

impl<K: Clone + Eq + Hash> Recent<K> {
    /// Whether the fact is due to be passed on, which notes that it is.
    fn is_due(&self, key: &K, now: Millis) -> bool {
        let mut recent = self.0.lock();
        if let Some(last) = recent.get_mut(key) {
            let is_due = now.since(*last) >= REPEAT_MS;
            if is_due {
                *last = now;
            }
            return is_due;
        }
        if recent.len() >= MAX_REMEMBERED {
            recent.clear();
        }
        recent.insert(key.clone(), now);
        true
    }
}

impl ControlHandle {
    /// A handle over the control thread's channel.
    #[must_use]
    pub fn new(events: mpsc::Sender<ControlEvent>, clock: ProcessClock) -> Self {
        Self {
            events,
            clock,
            remembered: Arc::new(Remembered::default()),
        }
    }

    /// An entry sent work to the own gate.
    pub fn received_from(&self, control: SocketAddr) {
        if self.remembered.senders.is_due(&control, self.clock.now()) {
            self.send(ControlEvent::ReceivedFrom { control });
        }
    }

    /// A load report came with an answer.
    pub fn heard(&self, vm: &VmId, load: LoadReport) {
        // Leaving must be known at once, whatever was passed on lately.
        if load.leaving || self.remembered.reports.is_due(vm, self.clock.now()) {
            self.send(ControlEvent::LoadReported {
                vm: vm.clone(),
                load,
            });
        }
    }

    /// A call is sent to a service.
    pub fn sent_to(&self, service: &ServiceName) {
        if self.remembered.services.is_due(service, self.clock.now()) {
            self.send(ControlEvent::SentTo(service.clone()));
        }
    }

    /// A call asks for a service that is not held.
    pub fn interest(&self, service: &ServiceName) {
        self.send(ControlEvent::ServiceRequested(service.clone()));
    }

    /// The own target's state changed.
    pub fn target_state(&self, draining: bool, reachable: bool) {
        self.send(ControlEvent::TargetState {
            draining,
            reachable,
        });
    }

    /// The own gate holds something against a request.
    pub fn suspicion(&self, note: SuspectEntry) {
        self.send(ControlEvent::Suspicion(note));
    }

    /// The process shuts down; this one must arrive, so it waits for room.
    pub async fn leave(&self) {
        let _ = self.events.send(ControlEvent::LeaveRequested).await;
    }

    fn send(&self, event: ControlEvent) {
        if self.events.try_send(event).is_err() {
            log::debug!("the control thread is behind; an event was dropped");
        }
    }
}
