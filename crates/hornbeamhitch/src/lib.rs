//! The embedding API: run a hornbeamhitch node inside another program.
//!
//! A target that links this crate needs no process beside it. The node is the
//! same as the daemon's: it serves callers and peers on the addresses of its
//! [`Config`], and ends gracefully with [`Node::drain`].
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

/// Result of this crate's functions.
pub type Result<T> = eyre::Result<T>;

/// How a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Everything in flight was finished.
    Drained,
    /// The drain timeout of the settings passed with calls still in flight;
    /// dropping the runtime cuts them off.
    DrainTimedOut,
}

/// A running node. Dropping it without [`Node::drain`] leaves its servers to
/// the runtime, which cuts off what is in flight when it ends.
pub struct Node {
    inner: hornbeamhitch_node::daemon::Node,
    drain_timeout: Duration,
}

impl Node {
    /// Starts a node in the present tokio runtime, which must be a
    /// multi-threaded one; control gets a thread of its own.
    ///
    /// # Errors
    ///
    /// An address of the settings is taken, or a thread cannot be had.
    pub fn start(config: Config) -> Result<Self> {
        let drain_timeout = config.drain_timeout_ms.to_duration();
        let inner = hornbeamhitch_node::daemon::Node::start(config)?;
        Ok(Self {
            inner,
            drain_timeout,
        })
    }

    /// What operators see of the node.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        self.inner.status()
    }

    /// A configuration is in force and the node is not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.inner.is_ready()
    }

    /// Announces that the node leaves, refuses new work, finishes what is in
    /// flight, and closes its addresses.
    pub async fn drain(self) -> Ended {
        match tokio::time::timeout(self.drain_timeout, self.inner.drain()).await {
            Ok(()) => Ended::Drained,
            Err(_) => Ended::DrainTimedOut,
        }
    }
}
