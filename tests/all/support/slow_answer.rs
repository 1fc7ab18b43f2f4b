//! A caller that reads its answer slowly.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::{Result, WrapErr, ensure, eyre};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::caller::Call;

/// An answer whose head and first part of the body have been read.
pub struct SlowAnswer {
    body: Incoming,
    received: Vec<u8>,
    expected: Bytes,
}

impl SlowAnswer {
    /// Sends a lookup over its own connection and reads only the first part of the
    /// answer. The rest stays in the buffers of the senders.
    pub async fn begin(entry: SocketAddr, call: &Call) -> Result<Self> {
        let stream = TcpStream::connect(entry).await?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let mut request = Request::new(Full::<Bytes>::default());
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.path.parse()?;
        *request.headers_mut() = call.headers.clone();
        let headers = request.headers_mut();
        headers.insert(http::header::HOST, entry.to_string().parse()?);
        headers.insert("standin-nonce", call.nonce.parse()?);
        let answer = sender.send_request(request).await?;
        ensure!(answer.status().is_success(), "status {}", answer.status());
        let mut slow = Self {
            body: answer.into_body(),
            received: Vec::new(),
            expected: call.expected_body(),
        };
        ensure!(slow.read_part().await?, "the answer has no body");
        Ok(slow)
    }

    /// Whether a part of the body is still unread.
    pub fn is_partial(&self) -> bool {
        self.received.len() < self.expected.len()
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Fails unless the body is complete and correct.
    pub async fn finish(mut self) -> Result<()> {
        while self.read_part().await? {}
        ensure!(
            self.received == self.expected,
            "{} of {} bytes, or others",
            self.received.len(),
            self.expected.len()
        );
        Ok(())
    }

    async fn read_part(&mut self) -> Result<bool> {
        let Some(frame) = self.body.frame().await else {
            return Ok(false);
        };
        let frame = frame.wrap_err_with(|| format!("cut after {}", self.received.len()))?;
        let data = frame.into_data().map_err(|_| eyre!("no data"))?;
        self.received.extend_from_slice(&data);
        Ok(true)
    }
}
