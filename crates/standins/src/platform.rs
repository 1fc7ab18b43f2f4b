//! The stand-in for the platform: serves the configuration text and the VM list,
//! which clients can read and watch.
//!
//! Requests under `/v1/` follow the interface of the real platform and count as
//! reads. Requests under `/admin/` control the stand-in and are not counted.

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

/// Largest value that the platform stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum reads per second over all readers; the platform answers further reads
/// with 429.
pub const MAX_READS_PER_S: usize = 2_000;

/// A running stand-in for the platform, which stops when this value is dropped.
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
    /// Binds the address (port 0 selects a free port) and starts to serve.
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

    /// Returns the bound address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Publishes a configuration text under the next version and returns the version.
    ///
    /// # Errors
    ///
    /// Fails when the text is larger than [`MAX_VALUE_BYTES`].
    pub fn set_text(&self, text: &str) -> Result<u64> {
        self.shared.store.set_text(text, None)
    }

    /// Publishes a configuration text under the given version.
    ///
    /// # Errors
    ///
    /// Fails when the version is not above the current one or the text is larger
    /// than [`MAX_VALUE_BYTES`].
    pub fn set_text_version(&self, text: &str, version: u64) -> Result<u64> {
        self.shared.store.set_text(text, Some(version))
    }

    /// Publishes a VM list under the next version and returns the version.
    ///
    /// # Errors
    ///
    /// Fails when the list is larger than [`MAX_VALUE_BYTES`] as JSON.
    pub fn set_vms(&self, vms: Vec<VmEntry>) -> Result<u64> {
        self.shared.store.set_vms(vms)
    }

    /// Publishes the VM list with a new state for one VM.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not listed.
    pub fn set_vm_state(&self, vm: &str, state: VmState) -> Result<u64> {
        self.shared.store.set_vm_state(vm, state)
    }

    /// Publishes the VM list without one VM.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not listed.
    pub fn remove_vm(&self, vm: &str) -> Result<u64> {
        self.shared.store.remove_vm(vm)
    }

    /// Returns the latest VM list, regardless of what readers are shown.
    #[must_use]
    pub fn vms(&self) -> VmList {
        self.shared.store.latest_vms()
    }

    /// Replaces the current behaviour.
    ///
    /// With [`Reachability::Refused`] the port is closed. Then only this handle can
    /// open it again, or the end of a time limit that was set over HTTP.
    pub async fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour).await;
    }

    /// Restores the default behaviour.
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

    /// Keeps showing readers the values that are visible now; watches report no
    /// change.
    pub async fn stale(&self) {
        let behaviour = Behaviour {
            view: View::Frozen,
            ..self.behaviour()
        };
        self.set_behaviour(behaviour).await;
    }

    /// Delays every answer by `delay_ms` milliseconds.
    pub async fn slow(&self, delay_ms: u64) {
        let behaviour = Behaviour {
            delay_ms,
            ..self.behaviour()
        };
        self.set_behaviour(behaviour).await;
    }

    /// Shows older values in reads and watches.
    pub async fn serve_older(&self, old: OldValues) {
        let behaviour = Behaviour {
            view: View::Older(old),
            ..self.behaviour()
        };
        self.set_behaviour(behaviour).await;
    }

    /// Shows each VM list only `lag_ms` milliseconds after it was published.
    pub async fn lag_vm_list(&self, lag_ms: u64) {
        let behaviour = Behaviour {
            vm_list_lag_ms: lag_ms,
            ..self.behaviour()
        };
        self.set_behaviour(behaviour).await;
    }

    /// Returns the current behaviour.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        self.shared.store.behaviour()
    }

    /// Returns the read counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counter.counts()
    }

    /// Resets the read counters; watches in progress stay counted as waiting.
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
