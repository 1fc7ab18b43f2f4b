//! The gate's end of a link, played by a test.

use bytes::{Bytes, BytesMut};
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_wire::link::{self, ToEntry, ToGate};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::DIGEST;

/// The gate's end of one link.
pub struct FakeGate {
    stream: TcpStream,
    buffer: BytesMut,
    /// Bytes that came from the entry.
    pub read_bytes: usize,
}

impl FakeGate {
    /// Takes the next link, as this life of the gate.
    pub async fn accept(listener: &TcpListener, incarnation: u64) -> Self {
        let (stream, _) = listener.accept().await.expect("a link");
        let mut end = Self {
            stream,
            buffer: BytesMut::new(),
            read_bytes: 0,
        };
        let incarnation = Incarnation(incarnation);
        end.send(&ToEntry::Hello { incarnation }).await;
        end
    }

    /// Sends a frame.
    pub async fn send(&mut self, frame: &ToEntry) {
        let mut bytes = BytesMut::new();
        link::encode(frame, &mut bytes).expect("a frame");
        self.stream.write_all(&bytes).await.expect("written");
    }

    /// The next frame but for questions whether this end is there, which are
    /// answered.
    pub async fn next(&mut self) -> ToGate {
        loop {
            match self.next_including_pings().await {
                ToGate::Ping => self.send(&ToEntry::Pong).await,
                frame => return frame,
            }
        }
    }

    /// The next frame.
    pub async fn next_including_pings(&mut self) -> ToGate {
        let frame = self.next_unless_closed().await;
        frame.expect("the entry has closed the link")
    }

    /// The next frame; `None` once the entry has closed the link.
    pub async fn next_unless_closed(&mut self) -> Option<ToGate> {
        loop {
            if let Some(frame) = link::decode(&mut self.buffer).expect("a frame") {
                return Some(frame);
            }
            let count = self.stream.read_buf(&mut self.buffer).await.expect("read");
            self.read_bytes += count;
            if count == 0 {
                return None;
            }
        }
    }
}

/// A success of a target for a lookup or a payment.
pub fn answer(id: link::CallId, request_id: &str) -> ToEntry {
    ToEntry::Answered {
        id,
        head: AnswerHead {
            status: 200,
            fields: vec![HeaderField {
                name: DIGEST.to_owned(),
                value: Bytes::from(format!("d-{request_id}")),
            }],
            run_ms: Millis(10),
        },
        body_bytes: 2,
        part: Bytes::from_static(b"ok"),
    }
}
