//! The embedding API: runs a hornbeamhitch node inside another program.
//!
//! A target that links this crate needs no separate node process. The embedded
//! node works like the daemon: it serves callers and peers on the addresses of
//! its [`Config`], and [`Node::drain`] shuts it down gracefully.
//!
//! ```no_run
//! # async fn embed() -> hornbeamhitch::Result<()> {
//! let config = hornbeamhitch::Config::load("node.json".as_ref())?;
//! let node = hornbeamhitch::Node::start(config)?;
//! println!("ready: {}", node.is_ready());
//! node.drain().await;
//! # Ok(())
//! # }
//! ```

use std::time::Duration;

pub use hornbeamhitch_node::settings::{Config, SettingsFaults};
pub use hornbeamhitch_types::status::NodeStatus;

/// The result type of this crate's functions.
pub type Result<T> = eyre::Result<T>;

/// How a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// All calls in flight were completed.
    Drained,
    /// The drain timeout of the settings passed while calls were still in flight.
    /// Dropping the runtime aborts them.
    DrainTimedOut,
}

/// A running node.
///
/// If it is dropped without [`Node::drain`], its servers keep running until the
/// runtime shuts down, which aborts all calls in flight.
pub struct Node {
    inner: hornbeamhitch_node::daemon::Node,
    drain_timeout: Duration,
}

impl Node {
    /// Starts a node in the current tokio runtime, which must be multi-threaded.
    /// The control loop runs on its own thread.
    ///
    /// # Errors
    ///
    /// Fails if an address of the settings is already in use, or if a thread cannot
    /// be started.
    pub fn start(config: Config) -> Result<Self> {
        let drain_timeout = config.drain_timeout_ms.to_duration();
        let inner = hornbeamhitch_node::daemon::Node::start(config)?;
        Ok(Self {
            inner,
            drain_timeout,
        })
    }

    /// Returns the node's status, as operators see it.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        self.inner.status()
    }

    /// Returns whether a configuration is active and the node is not draining.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.inner.is_ready()
    }

    /// Drains the node: announces that it is leaving, rejects new work, completes
    /// the calls in flight, and closes its addresses.
    pub async fn drain(self) -> Ended {
        match tokio::time::timeout(self.drain_timeout, self.inner.drain()).await {
            Ok(()) => Ended::Drained,
            Err(_) => Ended::DrainTimedOut,
        }
    }
}
