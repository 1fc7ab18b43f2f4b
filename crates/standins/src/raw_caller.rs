//! A caller with one connection that sends bytes unchanged.
//!
//! Tests of framing, pipelining and cut connections need more control than an
//! HTTP client gives.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeamhitch_edge::http1::{self, HttpReader, ReadFault, ResponseHead};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Nodes run on the same machine, so a connection takes this long only if
/// nobody accepts it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// An answer as a caller receives it.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// The head as received.
    pub head: ResponseHead,
    /// The body as text; invalid UTF-8 is replaced.
    pub body: String,
}

impl RawAnswer {
    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        self.head.status
    }

    /// Returns the value of a header field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        http1::field(&self.head.fields, name)
    }
}

/// A caller with one persistent connection.
#[derive(Debug)]
pub struct RawCaller {
    reader: HttpReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl RawCaller {
    /// Connects to a node.
    ///
    /// # Errors
    ///
    /// Fails when no connection is established within a second.
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        let (reader, writer) = stream.into_split();
        Ok(Self {
            reader: HttpReader::new(reader),
            writer,
        })
    }

    /// Sends the text unchanged.
    ///
    /// # Errors
    ///
    /// Fails when the node has closed the connection.
    pub async fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.writer.write_all(text.as_bytes()).await
    }

    /// Waits for the next complete answer to a request with this method.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends first or the bytes received are not a valid
    /// answer.
    pub async fn answer(&mut self, method: &str) -> Result<RawAnswer, ReadFault> {
        let head = self.reader.response_head(MAX_HEAD_BYTES).await?;
        let framing = head.framing(method)?;
        let body = self.reader.body(framing, u64::MAX).await?;
        Ok(RawAnswer {
            head,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}
