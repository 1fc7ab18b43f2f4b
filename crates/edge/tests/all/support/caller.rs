//! A caller with one connection.

use std::net::SocketAddr;

use hornbeamhitch_edge::http1::{self, HttpReader, ReadFault, ResponseHead};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::{DEADLINE_MS, REQUEST_ID};

/// An answer as the caller has it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub head: ResponseHead,
    pub body: String,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.status
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        http1::field(&self.head.fields, name)
    }
}

pub struct Caller {
    reader: HttpReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("a connection");
        let (reader, writer) = stream.into_split();
        Self {
            reader: HttpReader::new(reader),
            writer,
        }
    }

    pub async fn send_raw(&mut self, text: &str) {
        self.writer
            .write_all(text.as_bytes())
            .await
            .expect("written");
    }

    /// Sends a request for host `h`, which waits for two seconds.
    pub async fn send(&mut self, method: &str, path: &str, id: &str, body: &str) {
        self.send_raw(&request(method, path, id, body)).await;
    }

    /// The same as far as the node reads it.
    pub async fn try_send(&mut self, method: &str, path: &str, id: &str, body: &str) {
        let text = request(method, path, id, body);
        if let Err(error) = self.writer.write_all(text.as_bytes()).await {
            println!("the node stopped reading: {error}");
        }
    }

    pub async fn answer(&mut self) -> Result<Answer, ReadFault> {
        let head = self.reader.response_head(64 * 1024).await?;
        let framing = head.framing("GET")?;
        let body = self.reader.body(framing, u64::MAX).await?;
        Ok(Answer {
            head,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Sends a request and returns its answer.
    pub async fn ask(&mut self, method: &str, path: &str, id: &str) -> Answer {
        self.send(method, path, id, "").await;
        self.answer().await.expect("an answer")
    }
}

fn request(method: &str, path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\n{REQUEST_ID}: {id}\r\n{DEADLINE_MS}: 2000\r\n\
         X-Sent: by caller\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// One request on a connection of its own.
pub async fn ask(address: SocketAddr, method: &str, path: &str, id: &str) -> Answer {
    Caller::connect(address).await.ask(method, path, id).await
}
