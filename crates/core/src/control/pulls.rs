//! Bulk requests in flight.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hornbeamhitch_wire::control::DocumentRequest;

use crate::prelude::*;

/// A request without an answer for this long has failed.
const PULL_TIMEOUT: Millis = Millis::from_secs(3);

/// One request in flight, with its content, which is needed to interpret the answer.
#[derive(Clone, Debug)]
pub(super) struct Pull {
    pub(super) sent_at: Millis,
    pub(super) text: DocumentRequest,
    pub(super) text_edits: u64,
    pub(super) vms: DocumentRequest,
    pub(super) vms_edits: u64,
}

/// All requests in flight, by the address of the peer.
#[derive(Debug, Default)]
pub(super) struct Pulls {
    in_flight: BTreeMap<SocketAddr, Pull>,
}

impl Pulls {
    /// Records a request.
    pub(super) fn start(&mut self, to: SocketAddr, pull: Pull) {
        self.in_flight.insert(to, pull);
    }

    /// Removes and returns the request that an answer or a failure belongs to.
    pub(super) fn take(&mut self, peer: SocketAddr) -> Option<Pull> {
        self.in_flight.remove(&peer)
    }

    /// Returns whether no request is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Removes the requests that have timed out and returns their addresses.
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
