//! Start-up: a new node queries its peers before it trusts the platform.
//!
//! This guards against a platform that serves an outdated text for hours: a node that
//! starts meanwhile would put this text in force while all others use a newer one. At
//! first, the platform is therefore only read for the addresses of peers (its VM list).
//! The text is read there only after peers have reported that they have none, or after no
//! peer has answered within a bounded time. Even if that text is outdated, the node
//! advances to a newer version as soon as it learns of one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use hornbeamhitch_wire::control::ListVersion;
use rand::RngExt;

use super::api::PlatformRead;
use super::board::{Board, Controller, Input};
use crate::prelude::*;

/// Requests sent to peers at the same time.
const PARALLEL_REQUESTS: usize = 3;
/// Limit of peers contacted in each of the two rounds.
const MAX_PEERS_PER_ROUND: usize = 6;
/// More peers are contacted when requests are still outstanding after this time.
const SLOW_PEER_AFTER: Millis = Millis(400);
/// Time limit of a round, counted from the first known peer.
const ROUND_TIMEOUT: Millis = Millis(1_500);
/// Backoff after a failed read of the VM list. It doubles up to the limit.
const INITIAL_BACKOFF: Millis = Millis(250);
const MAX_BACKOFF: Millis = Millis::from_secs(5);

/// The peers that are contacted in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Round {
    /// Seeds and members of the node's own service.
    OwnService,
    /// Any node. Used if no member of the node's own service has answered, for example because
    /// the service is new.
    AnyService,
}

/// Controller of the start-up phase.
#[derive(Debug)]
pub(super) struct Joining {
    round: Round,
    /// Time at which the first peer of this round was known.
    round_started_at: Option<Millis>,
    requested: BTreeSet<SocketAddr>,
    last_request_at: Millis,
    answered: usize,
    failed: usize,
    /// The VM list was read in this round.
    list_read: bool,
    list_in_flight: bool,
    next_list_read_at: Millis,
    list_failures: u32,
}

impl Joining {
    /// Creates the controller before any request.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            round: Round::OwnService,
            round_started_at: None,
            requested: BTreeSet::new(),
            last_request_at: Millis::ZERO,
            answered: 0,
            failed: 0,
            list_read: false,
            list_in_flight: false,
            next_list_read_at: now,
            list_failures: 0,
        }
    }

    fn read_list(&mut self, board: &mut Board) {
        if self.list_read || self.list_in_flight || board.now < self.next_list_read_at {
            return;
        }
        let service = match self.round {
            Round::OwnService => Some(board.settings.service.clone()),
            Round::AnyService => None,
        };
        self.list_in_flight = true;
        board.read_vms(service, ListVersion(0), Millis::ZERO);
    }

    fn note_list_failure(&mut self, board: &mut Board) {
        self.list_in_flight = false;
        let backoff = INITIAL_BACKOFF.0 << self.list_failures.min(8);
        let backoff = backoff.min(MAX_BACKOFF.0);
        let spread = board.rng.random_range(backoff / 2..=backoff);
        self.next_list_read_at = board.now + Millis(spread);
        self.list_failures += 1;
    }

    /// Returns the peers that have not been contacted yet, preferred ones first.
    fn remaining_peers(&self, board: &mut Board) -> Vec<SocketAddr> {
        let mut found = board.settings.seeds.clone();
        let own_service = board.settings.service.clone();
        let own_data_centre = board.settings.data_centre.clone();
        let rng = &mut board.rng;
        let members = &board.members;
        let of_service = members.choose(rng, MAX_PEERS_PER_ROUND, |member| {
            member.service == own_service
        });
        let nearby = members.choose(rng, MAX_PEERS_PER_ROUND, |member| {
            member.service != own_service && member.data_centre == own_data_centre
        });
        let others = members.choose(rng, MAX_PEERS_PER_ROUND, |member| {
            member.service != own_service && member.data_centre != own_data_centre
        });
        for recipient in of_service.into_iter().chain(nearby).chain(others) {
            found.push(recipient.control);
        }
        let own = board.settings.control;
        found.retain(|address| *address != own && !self.requested.contains(address));
        found
    }

    /// Returns the number of contacted peers that have not answered yet.
    fn outstanding(&self) -> usize {
        self.requested
            .len()
            .saturating_sub(self.answered + self.failed)
    }

    fn request_from_peers(&mut self, board: &mut Board) {
        let outstanding = self.outstanding();
        let is_waiting = outstanding > 0 && board.now.since(self.last_request_at) < SLOW_PEER_AFTER;
        if is_waiting || self.requested.len() >= MAX_PEERS_PER_ROUND {
            return;
        }
        let mut remaining_peers = self.remaining_peers(board);
        remaining_peers.truncate(PARALLEL_REQUESTS);
        for address in remaining_peers {
            self.round_started_at.get_or_insert(board.now);
            self.requested.insert(address);
            self.last_request_at = board.now;
            board.pull(address, false);
        }
    }

    /// Returns whether this round is complete or has timed out.
    fn is_round_over(&self, board: &mut Board) -> bool {
        if let Some(started_at) = self.round_started_at
            && board.now.since(started_at) >= ROUND_TIMEOUT
        {
            return true;
        }
        let outstanding = self.outstanding();
        if outstanding > 0 {
            return false;
        }
        if self.requested.len() >= MAX_PEERS_PER_ROUND {
            return true;
        }
        self.list_read && self.remaining_peers(board).is_empty()
    }

    fn end_round(&mut self, board: &mut Board) {
        if self.round == Round::AnyService || self.answered > 0 {
            board.joined = true;
            return;
        }
        *self = Self::new(board.now);
        self.round = Round::AnyService;
    }

    fn step(&mut self, board: &mut Board) {
        if board.joined {
            return;
        }
        if board.text.version() > 0 {
            board.joined = true;
            return;
        }
        self.read_list(board);
        self.request_from_peers(board);
        if self.is_round_over(board) {
            self.end_round(board);
        }
    }
}

impl Controller for Joining {
    fn on_input(&mut self, input: &Input, board: &mut Board) {
        if board.joined {
            return;
        }
        match input {
            Input::Vms { .. } | Input::Unchanged(PlatformRead::Vms) => {
                self.list_in_flight = false;
                self.list_read = true;
            }
            Input::Failed(PlatformRead::Vms) => self.note_list_failure(board),
            Input::Answer { peer, .. } if self.requested.contains(peer) => self.answered += 1,
            Input::AnswerFailed(peer) if self.requested.contains(peer) => self.failed += 1,
            _ => {}
        }
    }

    fn on_settled(&mut self, board: &mut Board) {
        self.step(board);
    }
}
