//! The platform's stand-in: the text and the VM list, to be read and watched.
//!
//! Everything under `/v1/` is what the real platform offers and counts as a
//! read. Everything under `/admin/` steers the stand-in and is not counted.

use crate::http_server::{HttpServer, ServerControl, control_channel};
use crate::prelude::*;

pub mod admin;
pub mod behaviour;
pub mod counts;
pub mod vms;

mod reads;
mod store;

pub use behaviour::{Behaviour, OldValues, Reachability, View};
pub use counts::{Counts, Endpoint};
pub use vms::{VmEntry, VmList, VmState};

use counts::Counter;
use store::Store;

/// Largest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Reads a second, over all readers, above which the platform answers 429.
pub const MAX_READS_PER_S: usize = 2_000;

/// A running stand-in of the platform; it ends when this value is dropped.
pub struct PlatformStandin {
    server: HttpServer,
    shared: Arc<Shared>,
}

pub(crate) struct Shared {
    store: Store,
    counter: Counter,
    control: ServerControl,
}

impl PlatformStandin {
    /// Binds (port 0 takes a free one) and serves.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(addr: SocketAddr) -> Result<Self> {
        let (control, end) = control_channel();
        let shared = Arc::new(Shared {
            store: Store::new(ProcessClock::start()),
            counter: Counter::new(ProcessClock::start()),
            control,
        });
        let handler = Arc::new(reads::PlatformHandler {
            shared: Arc::clone(&shared),
        });
        let server = HttpServer::start(addr, handler, end).await?;
        Ok(Self { server, shared })
    }

    /// The address that was bound.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Publishes a text under the next version.
    ///
    /// # Errors
    ///
    /// Fails when the text is larger than [`MAX_VALUE_BYTES`].
    pub fn set_text(&self, text: &str) -> Result<u64> {
        self.shared.store.set_text(text, None)
    }

    /// Publishes a text under a version of choice.
    ///
    /// # Errors
    ///
    /// Fails when the version does not go up or the text is too large.
    pub fn set_text_version(&self, text: &str, version: u64) -> Result<u64> {
        self.shared.store.set_text(text, Some(version))
    }

    /// Publishes a VM list under the next version.
    ///
    /// # Errors
    ///
    /// Fails when the list is larger than [`MAX_VALUE_BYTES`] as JSON.
    pub fn set_vms(&self, vms: Vec<VmEntry>) -> Result<u64> {
        self.shared.store.set_vms(vms)
    }

    /// Publishes the list with one VM in another state.
    ///
    /// # Errors
    ///
    /// Fails when no such VM is listed.
    pub fn set_vm_state(&self, vm: &str, state: VmState) -> Result<u64> {
        self.shared.store.set_vm_state(vm, state)
    }

    /// Publishes the list without one VM.
    ///
    /// # Errors
    ///
    /// Fails when no such VM is listed.
    pub fn remove_vm(&self, vm: &str) -> Result<u64> {
        self.shared.store.remove_vm(vm)
    }

    /// The list as last set, whatever the mood shows to readers.
    #[must_use]
    pub fn vms(&self) -> VmList {
        self.shared.store.latest_vms()
    }

    /// Takes another mood, in place of the present one.
    ///
    /// With [`Reach::Refused`] the port is closed: only this handle, or the
    /// end of a time set over HTTP, opens it again.
    pub async fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour).await;
    }

    /// Serves as it should.
    pub async fn up(&self) {
        self.set_behaviour(Behaviour::default()).await;
    }

    /// Closes the port and resets all connections.
    pub async fn down(&self) {
        let behaviour = Behaviour {
            reach: Reachability::Refused,
            ..self.behaviour()
        };
        self.set_behaviour(behaviour).await;
    }

    /// Serves what is published now for good; watches hang.
    pub async fn stale(&self) {
        let behaviour = Behaviour {
            view: View::Frozen,
            ..self.behaviour()
        };
        self.set_behaviour(behaviour).await;
    }

    /// Delays every answer.
    pub async fn slow(&self, delay_ms: u64) {
        let behaviour = Behaviour {
            delay_ms,
            ..self.behaviour()
        };
        self.set_behaviour(behaviour).await;
    }

    /// Serves older values, to new readers and to watches alike.
    pub async fn serve_older(&self, old: OldValues) {
        let behaviour = Behaviour {
            view: View::Older(old),
            ..self.behaviour()
        };
        self.set_behaviour(behaviour).await;
    }

    /// Shows each VM list only `lag_ms` after it was set.
    pub async fn lag_vm_list(&self, lag_ms: u64) {
        let behaviour = Behaviour {
            vm_list_lag_ms: lag_ms,
            ..self.behaviour()
        };
        self.set_behaviour(behaviour).await;
    }

    /// The present mood.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        self.shared.store.behaviour()
    }

    /// Reads so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counter.counts()
    }

    /// Begins to count anew.
    pub fn reset_counts(&self) {
        self.shared.counter.reset();
    }

    /// Resets all connections and frees the port.
    pub async fn stop(self) {
        self.shared.control.stop().await;
    }
}

impl Shared {
    async fn set_behaviour(&self, behaviour: Behaviour) {
        let refused = behaviour.reach == Reachability::Refused;
        self.store.set_behaviour(behaviour);
        if refused {
            self.control.close().await;
        } else {
            self.control.open().await;
        }
    }
}
