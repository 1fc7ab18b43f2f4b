//! Announces that this node accepts no new work.
//!
//! The gate of a leaving target enforces that it gets no new work by rejecting calls.
//! Announcements spare callers these rejections. They go at once to the nodes that
//! recently sent work here and to peers of the same service, three times because a single
//! datagram may be lost. Every later heartbeat repeats the state.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hornbeamhitch_wire::control::DatagramBody;

use super::board::{Board, Controller, Input, PendingPublish};
use crate::prelude::*;

/// Limit of stored senders of work. When it is reached, the one that has been idle
/// longest is replaced.
const MAX_SENDERS: usize = 128;
/// Senders are dropped after this time without work from them.
const SENDER_IDLE_AFTER: Millis = Millis::from_secs(60);
/// Peers of the node's own service that are notified directly. The others learn of it from
/// heartbeats.
const SERVICE_PEERS_NOTIFIED: usize = 16;
/// Times of the announcements, relative to the start of leaving.
const ANNOUNCE_DELAYS: [Millis; 3] = [Millis(0), Millis(300), Millis(900)];

/// Controller that announces leaving.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    senders: BTreeMap<SocketAddr, Millis>,
    /// Time since which this node accepts no new work.
    since: Option<Millis>,
    announcements_sent: usize,
}

impl Leaving {
    fn note_sender(&mut self, control: SocketAddr, now: Millis) {
        self.senders
            .retain(|_, seen_at| now.since(*seen_at) <= SENDER_IDLE_AFTER);
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&control) {
            let idle = self.senders.iter().min_by_key(|(_, seen_at)| **seen_at);
            if let Some(victim) = idle.map(|(address, _)| *address) {
                self.senders.remove(&victim);
            }
        }
        self.senders.insert(control, now);
    }

    fn announce(&mut self, board: &mut Board) {
        let Some(since) = self.since else {
            return;
        };
        let Some(delay) = ANNOUNCE_DELAYS.get(self.announcements_sent) else {
            return;
        };
        if board.now < since + *delay {
            return;
        }
        self.announcements_sent += 1;
        let service = board.settings.service.clone();
        let rng = &mut board.rng;
        let service_peers = board.members.choose(rng, SERVICE_PEERS_NOTIFIED, |member| {
            member.service == service
        });
        let mut recipients: Vec<SocketAddr> = self.senders.keys().copied().collect();
        for recipient in service_peers {
            if !recipients.contains(&recipient.control) {
                recipients.push(recipient.control);
            }
        }
        for address in recipients {
            board.send(address, DatagramBody::Leaving);
        }
    }
}

impl Controller for Leaving {
    fn on_input(&mut self, input: &Input, board: &mut Board) {
        match input {
            Input::ReceivedFrom(control) => self.note_sender(*control, board.now),
            Input::LeaveRequested => board.leaving = true,
            Input::TargetState { draining } => board.draining = *draining,
            _ => {}
        }
    }

    fn on_settled(&mut self, board: &mut Board) {
        match (board.takes_no_work(), self.since) {
            (true, None) => {
                self.since = Some(board.now);
                self.announcements_sent = 0;
                board.request_publish(PendingPublish::Routes);
            }
            (false, Some(_)) => {
                self.since = None;
                board.request_publish(PendingPublish::Routes);
            }
            _ => {}
        }
        self.announce(board);
    }
}
