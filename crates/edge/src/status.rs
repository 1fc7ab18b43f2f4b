//! Readiness and metrics over HTTP.

use std::sync::Arc;

use hornbeamhitch_node::metrics::Metrics;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::callers::DrainPhase;
use crate::entry::Entry;
use crate::http1::{self, HttpReader};
use crate::prelude::*;
use crate::sockets;

/// Longest head of a question.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers who asks whether the node is ready, and who collects its metrics.
#[derive(Clone, Debug)]
pub struct StatusServer {
    /// Facts in force.
    pub directory: SharedDirectory,
    /// The entry, which knows whether it reaches others.
    pub entry: Arc<Entry>,
    /// How far the node has come in leaving.
    pub drain_phase: watch::Receiver<DrainPhase>,
    /// Path of the readiness question.
    pub readiness_path: &'static str,
    /// Counts and histograms.
    pub metrics: Arc<Metrics>,
}

impl StatusServer {
    /// Serves for as long as the process lives.
    pub async fn accept(self, listener: TcpListener) {
        sockets::accept_all(listener, "a question about status", |stream| {
            tokio::spawn(self.clone().serve(stream));
        })
        .await;
    }

    /// A configuration is in force, and the node is neither leaving nor cut off
    /// from all others.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_leaving = *self.drain_phase.borrow() != DrainPhase::Serving;
        self.directory.load().routes.is_some() && !is_leaving && !self.entry.is_cut_off()
    }

    async fn serve(self, stream: TcpStream) {
        let (reader, mut writer) = stream.into_split();
        let mut reader = HttpReader::new(reader);
        while let Ok(head) = reader.request_head(MAX_HEAD_BYTES).await {
            let (status, body) = self.answer(head.path_only());
            let closes = !head.keeps_connection();
            let bytes = http1::response_bytes(status, &[], Some(body.as_bytes()), closes);
            if writer.write_all(&bytes).await.is_err() || closes {
                return;
            }
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
