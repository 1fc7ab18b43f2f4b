//! Bulk requests on their way.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hornbeamhitch_wire::control::DocumentRequest;

use crate::prelude::*;

/// A request unanswered for this long counts as failed.
const PULL_TIMEOUT: Millis = Millis::from_secs(3);

/// One request, with what it asked, so that the answer can be read.
#[derive(Clone, Debug)]
pub(super) struct Pull {
    pub(super) sent_at: Millis,
    pub(super) text: DocumentRequest,
    pub(super) text_edits: u64,
    pub(super) vms: DocumentRequest,
    pub(super) vms_edits: u64,
}

/// All requests on their way, by the address that was asked.
#[derive(Debug, Default)]
pub(super) struct Pulls {
    in_flight: BTreeMap<SocketAddr, Pull>,
}

impl Pulls {
    /// Notes a request.
    pub(super) fn start(&mut self, to: SocketAddr, pull: Pull) {
        self.in_flight.insert(to, pull);
    }

    /// Takes out the request that an answer or a failure belongs to.
    pub(super) fn take(&mut self, peer: SocketAddr) -> Option<Pull> {
        self.in_flight.remove(&peer)
    }

    /// Whether none is on its way.
    pub(super) fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Takes out the addresses of requests that went unanswered for long.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut expired = Vec::new();
        self.in_flight.retain(|peer, pull| {
            let is_late = now.since(pull.sent_at) > PULL_TIMEOUT;
            if is_late {
                expired.push(*peer);
            }
            !is_late
        });
        expired
    }
}
