//! HTTP endpoints for readiness and metrics.

use std::sync::Arc;

use hornbeamhitch_dispatch::resources::limits::Listener;
use hornbeamhitch_dispatch::resources::peers::Activity;
use hornbeamhitch_node::metrics::Metrics;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::callers::DrainPhase;
use crate::entry::Entry;
use crate::http1::{self, HttpReader};
use crate::prelude::*;
use crate::resources::Registration;
use crate::sockets;

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves the readiness and metrics endpoints.
#[derive(Clone, Debug)]
pub struct StatusServer {
    /// Routes and targets in force.
    pub directory: SharedDirectory,
    /// The entry, which knows whether other VMs are reachable.
    pub entry: Arc<Entry>,
    /// How far the node has come in its shutdown.
    pub drain_phase: watch::Receiver<DrainPhase>,
    /// Path of the readiness endpoint.
    pub readiness_path: &'static str,
    /// Metrics of this node.
    pub metrics: Arc<Metrics>,
}

impl StatusServer {
    /// Serves until the process ends.
    pub async fn accept(self, socket: TcpListener, listener: Listener) {
        let resources = Arc::clone(self.entry.resources());
        sockets::accept_all(socket, listener, resources, |stream, registration| {
            let server = self.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = server.serve(stream, &registration) => {}
                    () = registration.must_close() => {}
                }
            });
        })
        .await;
    }

    /// Whether a configuration is in force and the node is neither shutting down nor cut
    /// off from all other VMs.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_draining = *self.drain_phase.borrow() != DrainPhase::Serving;
        self.directory.load().routes.is_some() && !is_draining && !self.entry.is_partitioned()
    }

    async fn serve(self, stream: TcpStream, registration: &Registration) {
        let (reader, mut writer) = stream.into_split();
        let mut reader = HttpReader::new(reader);
        while reader.wait_for_bytes().await.is_ok() {
            registration.set_activity(Activity::Sending);
            let Ok(head) = reader.request_head(MAX_HEAD_BYTES).await else {
                return;
            };
            let (status, body) = self.answer(head.path_only());
            let closes = !head.keeps_connection();
            let answer = http1::response(status, &[], Some(body.into()), closes);
            registration.set_activity(Activity::Reading);
            if writer.write_all_buf(&mut answer.into_buf()).await.is_err() || closes {
                return;
            }
            registration.set_activity(Activity::Idle);
        }
    }

    fn answer(&self, path: &str) -> (u16, String) {
        if path == self.readiness_path {
            return match self.is_ready() {
                true => (200, "ready\n".to_owned()),
                false => (503, "not ready\n".to_owned()),
            };
        }
        if path != METRICS_PATH {
            return (404, "nothing here\n".to_owned());
        }
        match self.metrics.render() {
            Ok(text) => (200, text),
            Err(error) => {
                log::error!("metrics cannot be written: {error}");
                (500, format!("{error}\n"))
            }
        }
    }
}
