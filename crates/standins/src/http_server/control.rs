//! Commands to a running server.

use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::prelude::*;

const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);
const COMMAND_CAPACITY: usize = 16;

/// A command to a running server.
pub(super) enum Command {
    Reset {
        down: Duration,
        done: oneshot::Sender<()>,
    },
    Close {
        done: oneshot::Sender<()>,
    },
    Open,
    Stop {
        done: oneshot::Sender<()>,
    },
}

/// Handle with which handlers and owners crash, close and stop the server.
#[derive(Clone)]
pub struct ServerControl {
    commands: mpsc::Sender<Command>,
}

impl ServerControl {
    /// Resets all connections immediately and listens again after `down`.
    ///
    /// Returns once the connections are closed. A handler must not await this,
    /// because its own future is dropped with its connection.
    pub async fn crash(&self, down: Duration) {
        self.command(|done| Command::Reset { down, done }).await;
    }

    /// Resets all connections and refuses new ones.
    pub async fn close(&self) {
        self.command(|done| Command::Close { done }).await;
    }

    /// Listens again on the same port.
    pub async fn open(&self) {
        let _ = self.commands.send(Command::Open).await;
    }

    /// Resets all connections and frees the port.
    pub async fn stop(&self) {
        self.command(|done| Command::Stop { done }).await;
    }

    async fn command(&self, command: impl FnOnce(oneshot::Sender<()>) -> Command) {
        let (done, completed) = oneshot::channel();
        if self.commands.send(command(done)).await.is_err() {
            return;
        }
        let _ = timeout(COMMAND_TIMEOUT, completed).await;
    }
}

/// Creates a control handle and the receiver to pass to
/// [`super::HttpServer::start`].
#[must_use]
pub fn control_channel() -> (ServerControl, CommandReceiver) {
    let (commands, receiver) = mpsc::channel(COMMAND_CAPACITY);
    (ServerControl { commands }, CommandReceiver(receiver))
}

/// Receives the commands of a [`ServerControl`].
pub struct CommandReceiver(pub(super) mpsc::Receiver<Command>);
