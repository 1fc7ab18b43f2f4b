//! A test caller with one connection.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeamhitch_edge::http1::ReadFault;
use hornbeamhitch_standins::raw_caller::{RawAnswer, RawCaller};

use super::{DEADLINE_MS, REQUEST_ID};

/// Deadline of callers, unless a test sets another one.
pub const DEADLINE: Duration = Duration::from_secs(2);

pub struct Caller(RawCaller);

impl Caller {
    pub async fn connect(address: SocketAddr) -> Self {
        Self(RawCaller::connect(address).await.expect("a connection"))
    }

    pub async fn send_raw(&mut self, text: &str) {
        self.0.send(text).await.expect("written");
    }

    /// Sends a request for host `h` with the default deadline.
    pub async fn send(&mut self, method: &str, path: &str, id: &str, body: &str) {
        self.send_raw(&request_text(method, path, id, body)).await;
    }

    /// Sends a request that the node may stop reading midway.
    pub async fn try_send(&mut self, method: &str, path: &str, id: &str, body: &str) {
        if let Err(error) = self.0.send(&request_text(method, path, id, body)).await {
            println!("the node stopped reading: {error}");
        }
    }

    /// Sends a lookup with the given deadline and returns its answer.
    pub async fn look_up_with_deadline(
        &mut self,
        path: &str,
        id: &str,
        deadline: Duration,
    ) -> RawAnswer {
        self.send_raw(&request_text_with_deadline("GET", path, id, "", deadline))
            .await;
        self.answer().await.expect("an answer")
    }

    pub async fn answer(&mut self) -> Result<RawAnswer, ReadFault> {
        self.0.answer("GET").await
    }

    /// Sends a request and returns its answer.
    pub async fn request(&mut self, method: &str, path: &str, id: &str) -> RawAnswer {
        self.send(method, path, id, "").await;
        self.answer().await.expect("an answer")
    }
}

fn request_text(method: &str, path: &str, id: &str, body: &str) -> String {
    request_text_with_deadline(method, path, id, body, DEADLINE)
}

fn request_text_with_deadline(
    method: &str,
    path: &str,
    id: &str,
    body: &str,
    deadline: Duration,
) -> String {
    let length = body.len();
    let deadline_ms = deadline.as_millis();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\n{REQUEST_ID}: {id}\r\n{DEADLINE_MS}: {deadline_ms}\r\n\
         X-Sent: by caller\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Sends one request on a new connection and returns its answer.
pub async fn request(address: SocketAddr, method: &str, path: &str, id: &str) -> RawAnswer {
    Caller::connect(address)
        .await
        .request(method, path, id)
        .await
}

/// Sends `count` lookups one after the other; each must be served.
pub async fn send_lookups(address: SocketAddr, count: usize) {
    for number in 0..count {
        let answer = request(address, "GET", "/read/x", &format!("id-{number}")).await;
        assert_eq!(answer.status(), 200);
    }
}
