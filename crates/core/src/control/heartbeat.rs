//! Periodic messages to a constant number of peers.
//!
//! Per round, three heartbeats go to the node's own service, two to other services in the
//! same data centre, one to another data centre, and one to a service that this node
//! calls. The last one requests a reply, because the members of that service would not
//! send to this node on their own. How often it is sent depends on whether replies
//! arrive; see [`asking`].

use std::net::SocketAddr;

use hornbeamhitch_wire::control::{DatagramBody, Heartbeat};
use rand::RngExt;

use super::board::{Board, Controller, Input};
use super::dissemination::NOTES_PER_DATAGRAM;
use super::members::Recipient;
use crate::budget::TokenBucket;
use crate::prelude::*;
use asking::ReplyRequests;

mod asking;

/// Mean time between two rounds.
const INTERVAL: Millis = Millis::from_secs(1);
/// Jitter in both directions, so that the rounds of many nodes do not coincide.
const JITTER: Millis = Millis(200);
/// A new node sends rounds more often during its first seconds, so that it and its peers
/// know each other before any of them elects itself as a reader.
const WARM_UP: Millis = Millis::from_secs(5);
const WARM_UP_SPEEDUP: u64 = 4;
/// Recipients per round.
const TO_OWN_SERVICE: usize = 3;
const TO_NEAR: usize = 2;
const TO_FAR: usize = 1;
const TO_DEPENDENCY: usize = 1;
/// Member statements in one heartbeat.
const MEMBERS_PER_HEARTBEAT: usize = 6;
/// Suspects in one heartbeat.
const SUSPECTS_PER_HEARTBEAT: usize = 4;
/// Rate and burst of replies per second. They are limited because many services may
/// depend on one.
const REPLIES_PER_S: f64 = 3.0;
const REPLY_BURST: u32 = 6;
/// With fewer recently seen peers than this, all heartbeats request a reply.
const FEW_PEERS: usize = 4;
/// A peer counts as recently seen within this time.
const RECENT_PEER_WITHIN: Millis = Millis::from_secs(5);

/// Controller that sends and answers heartbeats.
#[derive(Debug)]
pub(super) struct Heartbeats {
    started_at: Millis,
    next_at: Millis,
    reply_budget: TokenBucket,
    reply_requests: ReplyRequests,
}

impl Heartbeats {
    /// Creates the controller. The first round is due at once.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            started_at: now,
            next_at: now,
            reply_budget: TokenBucket::new(REPLIES_PER_S, REPLY_BURST, now),
            reply_requests: ReplyRequests::default(),
        }
    }

    fn run_round(&mut self, board: &mut Board) {
        let service = board.settings.service.clone();
        let data_centre = board.settings.data_centre.clone();
        let rng = &mut board.rng;
        let members = &board.members;
        let service_peers = members.choose(rng, TO_OWN_SERVICE, |member| member.service == service);
        let near = members.choose_uncalled_first(rng, TO_NEAR, |member| {
            member.service != service && member.data_centre == data_centre
        });
        let far =
            members.choose_uncalled_first(rng, TO_FAR, |member| member.data_centre != data_centre);
        let reply_requests = &self.reply_requests;
        let now = board.now;
        let dependencies = members.choose(rng, TO_DEPENDENCY, |member| {
            member.service != service
                && member.is_tracked
                && reply_requests.is_due(&member.service, now)
        });
        let has_few_peers = Self::count_recent_peers(board) < FEW_PEERS;
        let mut sent_to = Vec::new();
        for recipients in [service_peers, near, far] {
            for recipient in recipients {
                if sent_to.contains(&recipient.control) {
                    continue;
                }
                sent_to.push(recipient.control);
                Self::send(board, &recipient, has_few_peers);
            }
        }
        for recipient in dependencies {
            if sent_to.contains(&recipient.control) {
                continue;
            }
            sent_to.push(recipient.control);
            self.request_reply(board, &recipient);
        }
        if sent_to.is_empty() {
            Self::send_to_seeds(board);
        }
    }

    fn request_reply(&mut self, board: &mut Board, to: &Recipient) {
        let spread = board.rng.random_range(0.5..=1.5);
        self.reply_requests
            .note_request(&to.service, spread, board.now);
        Self::send(board, to, true);
    }

    fn count_recent_peers(board: &Board) -> usize {
        let mut count = 0;
        for member in board.members.iter() {
            count += usize::from(member.is_fresh(board.now, RECENT_PEER_WITHIN));
        }
        count
    }

    fn send_to_seeds(board: &mut Board) {
        for control in board.settings.seeds.clone() {
            if control == board.settings.control {
                continue;
            }
            let recipient = Recipient {
                control,
                service: board.settings.service.clone(),
                data_centre: board.settings.data_centre.clone(),
            };
            Self::send(board, &recipient, true);
        }
    }

    fn send(board: &mut Board, to: &Recipient, wants_reply: bool) {
        let is_near = to.data_centre == board.settings.data_centre;
        let is_same_service = to.service == board.settings.service;
        let now = board.now;
        let rng = &mut board.rng;
        let members = board
            .members
            .notes_for(&to.service, MEMBERS_PER_HEARTBEAT, rng, now);
        let heartbeat = Heartbeat {
            wants_reply,
            text_notes: board.text.latest_notes(NOTES_PER_DATAGRAM),
            vms_notes: board.vms.latest_notes(NOTES_PER_DATAGRAM),
            readers: if is_near {
                board.reader_notes()
            } else {
                Vec::new()
            },
            suspects: if is_same_service {
                super::suspicion::most_recent(&board.suspects, SUSPECTS_PER_HEARTBEAT, now)
            } else {
                Vec::new()
            },
            refused: board.refused_note(),
            members,
        };
        board.send(to.control, DatagramBody::Heartbeat(heartbeat));
    }
}

impl Heartbeats {
    /// Informs a process that a later incarnation of its VM is known.
    ///
    /// A process that was paused while its VM was replaced resumes without noticing. Its
    /// messages are dropped as stale, so it would never find out otherwise. Once
    /// informed, it accepts no new work.
    fn notify_earlier_incarnation(&mut self, board: &mut Board, vm: &VmId, control: SocketAddr) {
        let Some(note) = board.members.note_of(vm, board.now) else {
            return;
        };
        if !self.reply_budget.try_take(board.now) {
            return;
        }
        let heartbeat = Heartbeat {
            members: vec![note],
            ..Heartbeat::default()
        };
        board.send(control, DatagramBody::Heartbeat(heartbeat));
    }
}

impl Controller for Heartbeats {
    fn on_input(&mut self, input: &Input, board: &mut Board) {
        let datagram = match input {
            Input::Datagram(datagram) => datagram,
            Input::FromEarlierIncarnation { vm, control } => {
                return self.notify_earlier_incarnation(board, vm, *control);
            }
            _ => return,
        };
        let DatagramBody::Heartbeat(heartbeat) = &datagram.body else {
            return;
        };
        self.reply_requests
            .note_message(&datagram.from.service, board.now);
        if !heartbeat.wants_reply || !self.reply_budget.try_take(board.now) {
            return;
        }
        // The sender depends on this node's service or knows few peers. In both cases it
        // needs statements about members of this node's service.
        let to = Recipient {
            control: datagram.from.control,
            service: board.settings.service.clone(),
            data_centre: datagram.from.data_centre.clone(),
        };
        Self::send(board, &to, false);
    }

    fn on_tick(&mut self, board: &mut Board) {
        if board.now < self.next_at {
            return;
        }
        let shortest = INTERVAL.minus(JITTER).0;
        let longest = (INTERVAL + JITTER).0;
        let mut pause = board.rng.random_range(shortest..=longest);
        if board.now.since(self.started_at) < WARM_UP {
            pause /= WARM_UP_SPEEDUP;
        }
        self.next_at = board.now + Millis(pause);
        self.reply_requests.retain(board.tracked_services());
        self.run_round(board);
    }
}
