//! Peers with the document versions that they recently reported: the candidates for
//! pulls.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hornbeamhitch_wire::control::{BulkAnswer, Datagram, KnownVersions};

use crate::prelude::*;

/// Limit of stored peers. When it is reached, the peer that has been silent longest is
/// replaced.
const MAX_HOLDERS: usize = 64;
/// Silence after which a peer is no longer used for pulls.
const HOLDER_TIMEOUT: Millis = Millis::from_secs(20);

/// One peer with the versions that it reported.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) control: SocketAddr,
    pub(super) service: Option<ServiceName>,
    pub(super) known: KnownVersions,
    incarnation: Incarnation,
    last_report_at: Millis,
}

/// The peers that recently reported their versions.
#[derive(Debug, Default)]
pub(super) struct Holders {
    by_address: BTreeMap<SocketAddr, Holder>,
}

impl Holders {
    /// Records the versions reported by the sender of a datagram.
    pub(super) fn note_datagram(&mut self, datagram: &Datagram, now: Millis) {
        let from = &datagram.from;
        self.update(Holder {
            control: from.control,
            service: Some(from.service.clone()),
            known: datagram.known,
            incarnation: from.incarnation,
            last_report_at: now,
        });
    }

    /// Records the versions reported by the sender of a bulk answer.
    pub(super) fn note_answer(&mut self, answer: &BulkAnswer, now: Millis) {
        self.update(Holder {
            control: answer.from.control,
            service: None,
            known: answer.known,
            incarnation: answer.from.incarnation,
            last_report_at: now,
        });
    }

    /// Updates the entry of a peer. Within one incarnation the versions only increase, so
    /// a late datagram reverts nothing. A new incarnation at the same address replaces
    /// the versions.
    fn update(&mut self, reported: Holder) {
        let Some(holder) = self.by_address.get_mut(&reported.control) else {
            self.make_room();
            self.by_address.insert(reported.control, reported);
            return;
        };
        let is_late = holder.incarnation == reported.incarnation
            && (reported.known.text < holder.known.text || reported.known.vms < holder.known.vms);
        let service = reported.service.or(holder.service.take());
        holder.service = service;
        holder.last_report_at = reported.last_report_at;
        holder.incarnation = reported.incarnation;
        if !is_late {
            holder.known = reported.known;
        }
    }

    fn make_room(&mut self) {
        if self.by_address.len() < MAX_HOLDERS {
            return;
        }
        let silent = self
            .by_address
            .values()
            .min_by_key(|other| other.last_report_at);
        if let Some(victim) = silent.map(|other| other.control) {
            self.by_address.remove(&victim);
        }
    }

    /// Returns the peers that are usable for pulls.
    pub(super) fn usable(&self, now: Millis) -> impl Iterator<Item = &Holder> {
        self.by_address
            .values()
            .filter(move |holder| now.since(holder.last_report_at) <= HOLDER_TIMEOUT)
    }

    /// Returns the highest versions that usable peers have reported.
    pub(super) fn highest(&self, now: Millis) -> KnownVersions {
        let mut highest = KnownVersions::default();
        for holder in self.usable(now) {
            highest.text = highest.text.max(holder.known.text);
            highest.vms = highest.vms.max(holder.known.vms);
        }
        highest
    }
}
