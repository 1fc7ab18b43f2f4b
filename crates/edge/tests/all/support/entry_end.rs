//! A fake entry: the entry's end of a link, scripted by a test.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_wire::link::{self, CallId, ToEntry, ToGate};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::Fleet;

/// The entry's end of one link.
pub struct FakeEntry {
    stream: TcpStream,
    buffer: BytesMut,
    calls: u64,
    /// What this entry has heard from the target.
    pub notice: TargetNotice,
}

impl FakeEntry {
    /// Opens a link to the gate of the fleet's first VM.
    pub async fn connect(fleet: &Fleet) -> Self {
        let gate = SocketAddr::new(fleet.vms[0].target.address.ip(), fleet.gate_port);
        let stream = TcpStream::connect(gate).await.expect("a link");
        Self {
            stream,
            buffer: BytesMut::new(),
            calls: 0,
            notice: TargetNotice::default(),
        }
    }

    /// Sends a lookup for the target `life-0`, which the gate must not queue.
    pub async fn send_lookup(&mut self) -> CallId {
        let terms = self.lookup_terms();
        self.send_call("/read/", terms).await
    }

    /// Returns the terms of the next lookup.
    pub fn lookup_terms(&mut self) -> CallTerms {
        self.calls += 1;
        CallTerms {
            target_id: "life-0".to_owned(),
            request_id: format!("id-{}", self.calls),
            key: CallKey(u128::from(self.calls)),
            fingerprint: self.calls,
            idempotent: true,
            priority: 1,
            work_ms: Millis(1),
            max_queue_ms: Millis::ZERO,
            objective_ms: Millis(500),
            whole_objective_ms: Millis(500),
            slow_after_ms: Millis::MAX,
            deadline_ms: Millis(2_000),
            repeated_percent: 0,
            notice: self.notice,
        }
    }

    /// Sends a `GET` with the last terms.
    pub async fn send_call(&mut self, path: &str, terms: CallTerms) -> CallId {
        let id = CallId(self.calls);
        let call = ToGate::Call {
            id,
            terms,
            head: Self::head_of(path),
            body_bytes: 0,
            body: Bytes::new(),
        };
        self.send(&call).await;
        id
    }

    /// Offers a payment without a body for the target `life-0`.
    pub async fn send_offer(&mut self) -> CallId {
        let terms = CallTerms {
            idempotent: false,
            ..self.lookup_terms()
        };
        let id = CallId(self.calls);
        let offer = ToGate::Offer {
            id,
            terms,
            body_bytes: 0,
        };
        self.send(&offer).await;
        id
    }

    /// Sends a frame.
    pub async fn send(&mut self, frame: &ToGate) {
        let mut bytes = BytesMut::new();
        link::encode(frame, &mut bytes).expect("a frame");
        self.stream.write_all(&bytes).await.expect("written");
    }

    /// Returns the head of the calls.
    pub fn head() -> CallHead {
        Self::head_of("/read/")
    }

    fn head_of(path: &str) -> CallHead {
        CallHead {
            method: "GET".to_owned(),
            path: path.to_owned(),
            fields: vec![HeaderField {
                name: "Host".to_owned(),
                value: Bytes::from_static(b"h"),
            }],
        }
    }

    /// Returns how a call ended: `None` if the target answered it.
    pub async fn end_of(&mut self, expected: CallId) -> Option<CallEnd> {
        loop {
            match self.next().await {
                ToEntry::Answered { id, .. } if id == expected => return None,
                ToEntry::Ended { id, end } if id == expected => return Some(end),
                _ => {}
            }
        }
    }

    /// Returns the next frame.
    pub async fn next(&mut self) -> ToEntry {
        loop {
            if let Some(frame) = link::decode(&mut self.buffer).expect("a frame") {
                return frame;
            }
            let read = self.stream.read_buf(&mut self.buffer).await;
            assert_ne!(read.expect("read"), 0, "the gate has closed the link");
        }
    }
}
