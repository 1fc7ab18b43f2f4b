//! A target that answers with raw bytes, for answers that no HTTP library would
//! write.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Result;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use super::loopback;

/// The answer to one request.
pub struct RawAnswer {
    /// Bytes that are sent, including the head.
    pub bytes: Vec<u8>,
    /// Whether the connection is closed after them.
    pub close: bool,
}

type Script = dyn Fn(&str) -> RawAnswer + Send + Sync;

/// A running raw target. It stops accepting connections when it is dropped.
pub struct RawTarget {
    /// Address at which it listens.
    pub addr: SocketAddr,
    accepting: AbortHandle,
}

impl RawTarget {
    /// Answers each request with what `script` returns for its path. Health checks
    /// are always answered with status 200.
    pub async fn start(script: impl Fn(&str) -> RawAnswer + Send + Sync + 'static) -> Result<Self> {
        let listener = TcpListener::bind(loopback()).await?;
        let addr = listener.local_addr()?;
        let script: Arc<Script> = Arc::new(script);
        let accepting = tokio::spawn(accept(listener, script));
        Ok(Self {
            addr,
            accepting: accepting.abort_handle(),
        })
    }
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, script: Arc<Script>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, Arc::clone(&script)));
    }
}

async fn serve(stream: TcpStream, script: Arc<Script>) -> Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(path) = read_request(&mut stream).await? {
        let answer = match path.as_str() {
            "/.health" => RawAnswer {
                bytes: b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_vec(),
                close: false,
            },
            path => script(path),
        };
        stream.write_all(&answer.bytes).await?;
        if answer.close {
            return Ok(());
        }
    }
    Ok(())
}

/// Reads one whole request and returns its path, or `None` at the end of the
/// connection.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Result<Option<String>> {
    let mut path = None;
    let mut body_bytes = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if path.is_none() {
            path = line.split(' ').nth(1).map(str::to_owned);
        }
        if let Some(length) = line.strip_prefix("content-length:") {
            body_bytes = length.trim().parse()?;
        }
    }
    let mut body = vec![0; body_bytes];
    stream.read_exact(&mut body).await?;
    Ok(path)
}
