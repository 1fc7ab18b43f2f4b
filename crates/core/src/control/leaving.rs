//! Announcing that this node takes no new work.
//!
//! The promise that a leaving target gets no new work is kept by its gate,
//! which refuses. Announcements keep callers from running into refusals; they
//! go at once to those that lately sent work here and to peers of the service,
//! three times, because a single datagram may be lost. Every heartbeat repeats
//! the word from then on.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hornbeamhitch_wire::control::DatagramBody;

use super::board::{Board, Controller, Dirt, Input};
use crate::prelude::*;

/// Senders of work remembered; the longest silent gives way.
const MAX_SENDERS: usize = 128;
/// Senders that sent nothing for this long are forgotten.
const SENDER_IDLE_AFTER: Millis = Millis::from_secs(60);
/// Peers of the own service told at once; the rest hear by heartbeats.
const KIN_TOLD: usize = 16;
/// When the word is sent, counted from the start of leaving.
const REPEATS: [Millis; 3] = [Millis(0), Millis(300), Millis(900)];

/// The controller of leaving.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    senders: BTreeMap<SocketAddr, Millis>,
    /// When this node stopped to take work.
    since: Option<Millis>,
    repeats_done: usize,
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
        let Some(delay) = REPEATS.get(self.repeats_done) else {
            return;
        };
        if board.now < since + *delay {
            return;
        }
        self.repeats_done += 1;
        let service = board.settings.service.clone();
        let rng = &mut board.rng;
        let kin = board
            .members
            .choose(rng, KIN_TOLD, |member| member.service == service);
        let mut told: Vec<SocketAddr> = self.senders.keys().copied().collect();
        for recipient in kin {
            if !told.contains(&recipient.control) {
                told.push(recipient.control);
            }
        }
        for address in told {
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
                self.repeats_done = 0;
                board.soil(Dirt::Routes);
            }
            (false, Some(_)) => {
                self.since = None;
                board.soil(Dirt::Routes);
            }
            _ => {}
        }
        self.announce(board);
    }
}
