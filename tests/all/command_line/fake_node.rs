//! A fake operators' address of a node that answers with a fixed status.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Barrier};
use std::thread;

use serde_json::Value;

/// A fake node. It listens on a port chosen by the kernel until the test ends.
pub(super) struct FakeNode {
    listener: TcpListener,
}

impl FakeNode {
    /// Starts a node that answers each request immediately.
    pub(super) fn answering(status: &Value) -> Self {
        Self::serving(status, None)
    }

    /// Starts nodes that answer only once each of them has a request.
    pub(super) fn answering_together(statuses: &[Value]) -> Vec<Self> {
        let barrier = Arc::new(Barrier::new(statuses.len()));
        let mut nodes = Vec::new();
        for status in statuses {
            nodes.push(Self::serving(status, Some(Arc::clone(&barrier))));
        }
        nodes
    }

    /// Starts a node that never answers. The kernel's backlog accepts connections.
    pub(super) fn silent() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        Self { listener }
    }

    /// An address at which no process listens. The port is below those that the kernel
    /// assigns, so that no other test can listen there.
    pub(super) fn closed() -> String {
        "http://127.0.0.1:1".to_owned()
    }

    pub(super) fn address(&self) -> String {
        let address = self.listener.local_addr().expect("the listener is bound");
        format!("http://{address}")
    }

    fn serving(status: &Value, barrier: Option<Arc<Barrier>>) -> Self {
        let node = Self::silent();
        let listener = node
            .listener
            .try_clone()
            .expect("the listener can be shared");
        let body = status.to_string();
        // The thread ends with the test process.
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else {
                    continue;
                };
                answer(stream, &body, barrier.as_deref());
            }
        });
        node
    }
}

fn answer(mut stream: TcpStream, body: &str, barrier: Option<&Barrier>) {
    let mut request_line = None;
    for line in BufReader::new(&stream).lines() {
        let Ok(line) = line else {
            return;
        };
        if line.is_empty() {
            break;
        }
        request_line.get_or_insert(line);
    }
    if let Some(barrier) = barrier {
        barrier.wait();
    }
    let status_line = match request_line.as_deref() {
        Some("GET /v1/status HTTP/1.1") => "HTTP/1.1 200 OK",
        _ => "HTTP/1.1 404 Not Found",
    };
    let length = body.len();
    let _ = write!(
        stream,
        "{status_line}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
}
