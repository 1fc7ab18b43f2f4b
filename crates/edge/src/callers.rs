//! Callers' connections: requests read as they come, answers in their order.

mod connection;

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::entry::Entry;
use crate::sockets;
use connection::Connection;

/// How far a node has come in leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// It serves.
    Serving,
    /// It serves on, and each answer ends its connection, so that callers move
    /// to other nodes between two requests.
    Announced,
    /// Connections that rest are closed, the others after their last answer.
    Closing,
}

/// Accepts callers until the node closes, then waits for their connections.
#[derive(Debug)]
pub struct CallerServer {
    /// Finds a target for each request.
    pub entry: Arc<Entry>,
    /// How far the node has come in leaving.
    pub drain_phase: watch::Receiver<DrainPhase>,
}

impl CallerServer {
    /// Serves until every connection has ended after [`DrainPhase::Closing`].
    pub async fn serve(self, listener: TcpListener) {
        let Self {
            entry,
            mut drain_phase,
        } = self;
        // Every connection holds a sender; the receiver ends with the last.
        let (open, mut all_closed) = mpsc::channel::<()>(1);
        loop {
            // What waits in the backlog is still taken in when the node closes:
            // closing the listener would reset callers that have sent already.
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = drain_phase.wait_for(|drain_phase| *drain_phase == DrainPhase::Closing) => break,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("cannot accept a caller: {error}");
                    tokio::time::sleep(sockets::ACCEPT_PAUSE).await;
                    continue;
                }
            };
            sockets::prepare(&stream);
            let connection = Connection {
                entry: Arc::clone(&entry),
                drain_phase: drain_phase.clone(),
            };
            let open = open.clone();
            tokio::spawn(async move {
                connection.serve(stream).await;
                drop(open);
            });
        }
        drop((listener, open));
        let _ = all_closed.recv().await;
    }
}
