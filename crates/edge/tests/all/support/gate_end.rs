//! A fake gate: the gate's end of a link, scripted by a test.

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
    /// Bytes received from the entry.
    pub read_bytes: usize,
}

impl FakeGate {
    /// Accepts the next link as this incarnation of the gate.
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

    /// Returns the next frame that is not a ping; pings are answered.
    pub async fn next(&mut self) -> ToGate {
        loop {
            match self.next_including_pings().await {
                ToGate::Ping => self.send(&ToEntry::Pong).await,
                frame => return frame,
            }
        }
    }

    /// Returns the next call with its terms, once its whole content has arrived. The content
    /// of an offer is requested.
    pub async fn next_call(&mut self) -> (link::CallId, CallTerms) {
        let (id, terms, body_bytes) = match self.next().await {
            ToGate::Call { id, terms, .. } => return (id, terms),
            ToGate::Offer {
                id,
                terms,
                body_bytes,
            } => (id, terms, body_bytes),
            frame => panic!("a call was expected instead of {frame:?}"),
        };
        self.send(&ToEntry::WantsContent { id }).await;
        let frame = self.next().await;
        assert!(matches!(frame, ToGate::Head { .. }), "{frame:?}");
        let mut received = 0;
        while received < body_bytes {
            let ToGate::Body { part, .. } = self.next().await else {
                panic!("a part of the body was expected");
            };
            received += part.len() as u64;
        }
        (id, terms)
    }

    /// Returns the next frame of any kind.
    pub async fn next_including_pings(&mut self) -> ToGate {
        let frame = self.next_unless_closed().await;
        frame.expect("the entry has closed the link")
    }

    /// Returns the next frame, or `None` once the entry has closed the link.
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

/// Builds a target's successful answer to a lookup or a payment.
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
            notice: TargetNotice::default(),
        },
        body_bytes: 2,
        part: Bytes::from_static(b"ok"),
    }
}
