//! Connections of callers. Requests are served concurrently, and answers are written
//! in the order of their requests.

mod connection;
mod phase;

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::entry::Entry;
use crate::sockets;
use connection::Connection;
use hornbeamhitch_dispatch::resources::limits::Listener;
use phase::ConnectionPhase;

/// How far a node has come in its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// The node serves normally.
    Serving,
    /// The node still serves, but closes each connection after the next answer, so that
    /// callers move to other nodes between two requests.
    Announced,
    /// The node closes idle connections at once and the others after their last answer.
    Closing,
}

/// Accepts connections of callers until [`DrainPhase::Closing`], then waits for them
/// to end.
#[derive(Debug)]
pub struct CallerServer {
    /// Serves the requests.
    pub entry: Arc<Entry>,
    /// How far the node has come in its shutdown.
    pub drain_phase: watch::Receiver<DrainPhase>,
}

impl CallerServer {
    /// Serves until every connection has ended after [`DrainPhase::Closing`].
    pub async fn serve(self, socket: TcpListener) {
        let Self {
            entry,
            mut drain_phase,
        } = self;
        // Every connection holds a sender, so the channel closes with the last one.
        let (open, mut all_closed) = mpsc::channel::<()>(1);
        loop {
            // Accepts all connections in the backlog before closing the listener.
            // Closing it would reset callers that may have sent requests already.
            let accepted = tokio::select! {
                biased;
                accepted = sockets::accept(&socket, Listener::Callers, entry.resources()) => accepted,
                _ = drain_phase.wait_for(|drain_phase| *drain_phase == DrainPhase::Closing) => break,
            };
            let Some((stream, peer, registration)) = accepted else {
                continue;
            };
            let connection = Connection {
                entry: Arc::clone(&entry),
                drain_phase: drain_phase.clone(),
                peer: peer.ip(),
                phase: Arc::new(ConnectionPhase::new(registration)),
            };
            let open = open.clone();
            tokio::spawn(async move {
                connection.serve(stream).await;
                drop(open);
            });
        }
        drop((socket, open));
        let _ = all_closed.recv().await;
    }
}
