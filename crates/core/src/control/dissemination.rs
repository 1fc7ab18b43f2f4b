//! Dissemination of document versions between nodes.
//!
//! A node that advances to a newer version announces it at once to a constant number of
//! peers. Heartbeats repeat the change notes for nodes that missed the announcement. A
//! node advances by the change note alone if the new version changes none of its slices.
//! Other nodes pull the changed slices by bulk request, preferably from a peer of their
//! own service, which has the same slices, and otherwise from a reader. The cost of a
//! change therefore depends on the number of nodes that it affects.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hornbeamhitch_wire::control::{
    BulkAnswer, BulkRequest, ChangeNote, Datagram, DatagramBody, DocumentReply, KnownVersions,
    SliceName, encode_slice,
};
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::api::{ControlAction, RequestId};
use super::board::{Board, Controller, Input};
use super::config::is_valid_slice;
use super::document::ApplyOutcome;
use super::members::Recipient;
use super::pulls::Pull;
use crate::budget::TokenBucket;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Number of peers to which a newer version is announced at once.
const FAN_OUT: usize = 4;
/// Change notes of each document in one datagram.
pub(super) const NOTES_PER_DATAGRAM: usize = 4;
/// A peer whose answer was of no use is skipped for this long.
const SKIP_PEER_FOR: Millis = Millis::from_secs(2);
/// Backoff after a failed pull. It doubles up to the limit.
const INITIAL_BACKOFF: Millis = Millis(50);
const MAX_BACKOFF: Millis = Millis::from_secs(5);
/// Rate and burst of answered bulk requests per second. They limit the load on a reader
/// when many nodes need the same slice. Rejected nodes retry with a peer that has already
/// been served.
const ANSWERS_PER_S: f64 = 40.0;
const ANSWER_BURST: u32 = 80;
/// Members listed in the answer to a joining node.
const MEMBERS_FOR_JOINER: usize = 16;

/// The data that this node lacks.
#[derive(Clone, Copy, Debug, Default)]
struct Needs {
    text_behind: bool,
    vms_behind: bool,
    /// A wanted slice is missing.
    slices: bool,
    /// This node reads the platform and has only part of a document.
    whole: bool,
}

impl Needs {
    fn of(board: &Board) -> Self {
        let highest = board.holders.highest(board.now);
        let text = &board.text;
        let vms = &board.vms;
        Self {
            text_behind: highest.text > board.text_version(),
            vms_behind: highest.vms > board.list_version(),
            slices: lacks_text(board) || lacks_vms(board),
            whole: board.reading && !(text.is_whole() && vms.is_whole()),
        }
    }

    const fn any(self) -> bool {
        self.text_behind || self.vms_behind || self.slices || self.whole
    }
}

/// Returns whether this node has a whole document, because it reads the platform or
/// recently did.
///
/// The request of such a node names every slice, and a peer that has only a few slices
/// cannot answer it. When such requests went to members of the same service, a node that
/// had just stopped reading stayed behind for 46 s while the text kept changing.
fn has_whole_document(board: &Board) -> bool {
    board.text.is_whole() || board.vms.is_whole()
}

fn lacks_text(board: &Board) -> bool {
    let text = &board.text;
    if text.version() == 0 || text.is_whole() {
        return false;
    }
    for name in [SliceName::Deployment, SliceName::ServiceNames] {
        if text.slice(&name).is_none() {
            return true;
        }
    }
    for service in board.tracked_services() {
        let name = SliceName::Service(service.clone());
        if !board.config.lacks(service) && text.slice(&name).is_none() {
            return true;
        }
    }
    false
}

fn lacks_vms(board: &Board) -> bool {
    if board.vms.is_whole() {
        return false;
    }
    for service in board.tracked_services() {
        let name = SliceName::Members(service.clone());
        if board.vms.slice(&name).is_none() {
            return true;
        }
    }
    false
}

/// How suitable a peer is for a pull, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PeerFit {
    /// A peer of another service, which may have the right slices by chance.
    Other,
    /// A reader whose versions are not known.
    Reader,
    /// A peer that can answer the request.
    Good,
}

/// Controller that announces versions and pulls slices.
#[derive(Debug)]
pub(super) struct Dissemination {
    announced: KnownVersions,
    next_pull_at: Millis,
    failed_pulls: u32,
    skipped_until: BTreeMap<SocketAddr, Millis>,
    answer_budget: TokenBucket,
}

impl Dissemination {
    /// Creates the controller before any announcement.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            announced: KnownVersions::default(),
            next_pull_at: Millis::ZERO,
            failed_pulls: 0,
            skipped_until: BTreeMap::new(),
            answer_budget: TokenBucket::new(ANSWERS_PER_S, ANSWER_BURST, now),
        }
    }

    fn handle_datagram(&mut self, board: &mut Board, datagram: &Datagram) {
        board.holders.note_datagram(datagram, board.now);
        self.end_backoff_if_source(board, datagram);
        let (text_notes, vms_notes): (&[ChangeNote], &[ChangeNote]) = match &datagram.body {
            DatagramBody::Heartbeat(heartbeat) => {
                board.merge_refused(heartbeat.refused.as_ref());
                (&heartbeat.text_notes, &heartbeat.vms_notes)
            }
            DatagramBody::Announce {
                text_notes,
                vms_notes,
            } => (text_notes, vms_notes),
            _ => return,
        };
        if board.text.advance(text_notes) {
            board.refresh_config();
        }
        board.vms.advance(vms_notes);
    }

    /// Ends the backoff after failed pulls when a peer reports that it can answer.
    ///
    /// Otherwise, a node that pulled from peers before they had the version would wait
    /// for seconds although another peer already has it.
    fn end_backoff_if_source(&mut self, board: &Board, datagram: &Datagram) {
        let known = datagram.known;
        let is_whole = known.text_whole && known.vms_whole;
        let is_same_service = datagram.from.service == board.settings.service;
        let can_answer = is_whole || (is_same_service && !has_whole_document(board));
        let is_ahead = known.text > board.text_version() || known.vms > board.list_version();
        let is_skipped = self.skipped_until.contains_key(&datagram.from.control);
        if is_ahead && can_answer && !is_skipped {
            self.next_pull_at = board.now;
        }
    }

    fn answer(&mut self, board: &mut Board, request: RequestId, message: &BulkRequest) {
        if !self.answer_budget.try_take(board.now) {
            return;
        }
        let is_near = message.from.data_centre == board.settings.data_centre;
        let is_joining = message.text.version == 0;
        let now = board.now;
        let answer = BulkAnswer {
            from: board.sender(),
            known: board.known_versions(),
            text: board.text.reply(&message.text),
            vms: board.vms.reply(&message.vms),
            readers: if is_near {
                board.reader_notes()
            } else {
                Vec::new()
            },
            refused: board.refused_note(),
            members: if is_joining {
                let rng = &mut board.rng;
                board.members.any_notes(MEMBERS_FOR_JOINER, rng, now)
            } else {
                Vec::new()
            },
        };
        let message = answer.encode();
        board.counters.bulk_answers += 1;
        board.counters.bulk_bytes_out += message.len() as u64;
        board
            .outbox
            .push(ControlAction::BulkAnswer { request, message });
    }

    fn apply_answer(&mut self, board: &mut Board, peer: SocketAddr, answer: &BulkAnswer) {
        board.holders.note_answer(answer, board.now);
        board.merge_refused(answer.refused.as_ref());
        let Some(pull) = board.pulls.take(peer) else {
            return;
        };
        let replies = [&answer.text, &answer.vms];
        if replies.iter().any(|reply| !is_valid_reply(reply)) {
            board.counters.bad_messages += 1;
            self.note_failed_pull(board, peer);
            return;
        }
        let text = Self::apply_text(board, &pull, &answer.text);
        let vms = Self::apply_vms(board, &pull, &answer.vms);
        if text == ApplyOutcome::Advanced || vms == ApplyOutcome::Advanced {
            self.failed_pulls = 0;
            self.next_pull_at = board.now;
        }
        let was_useless = [text, vms].contains(&ApplyOutcome::Unusable);
        if was_useless || (text != ApplyOutcome::Advanced && vms != ApplyOutcome::Advanced) {
            self.note_failed_pull(board, peer);
        }
    }

    fn apply_text(board: &mut Board, pull: &Pull, reply: &DocumentReply) -> ApplyOutcome {
        let applied = board.text.apply(&pull.text, pull.text_edits, reply.clone());
        if applied == ApplyOutcome::Advanced {
            board.refresh_config();
        }
        applied
    }

    fn apply_vms(board: &mut Board, pull: &Pull, reply: &DocumentReply) -> ApplyOutcome {
        let applied = board.vms.apply(&pull.vms, pull.vms_edits, reply.clone());
        let is_current = reply.version == board.vms.version();
        if !is_current || applied == ApplyOutcome::Unusable {
            return applied;
        }
        for name in &reply.gone {
            if let SliceName::Members(service) = name {
                let empty = encode_slice(&Vec::<ServiceName>::new());
                board
                    .vms
                    .insert_empty(&SliceName::Members(service.clone()), empty);
            }
        }
        applied
    }

    fn note_failed_pull(&mut self, board: &mut Board, peer: SocketAddr) {
        self.skipped_until.insert(peer, board.now + SKIP_PEER_FOR);
        let pause = (INITIAL_BACKOFF.0 << self.failed_pulls.min(10)).min(MAX_BACKOFF.0);
        let jitter = board.rng.random_range(pause / 2..=pause);
        self.next_pull_at = board.now + Millis(jitter);
        self.failed_pulls = self.failed_pulls.saturating_add(1);
    }

    fn pull_if_needed(&mut self, board: &mut Board) {
        if !board.pulls.is_empty() || board.now < self.next_pull_at {
            return;
        }
        let needs = Needs::of(board);
        if !needs.any() {
            self.failed_pulls = 0;
            return;
        }
        let now = board.now;
        self.skipped_until.retain(|_, until| *until > now);
        let Some(peer) = self.choose_peer(board, needs) else {
            return;
        };
        board.pull(peer, board.reading);
    }

    /// Chooses the most suitable peer, at random among equally suitable ones.
    fn choose_peer(&self, board: &mut Board, needs: Needs) -> Option<SocketAddr> {
        let mut ranked: BTreeMap<PeerFit, Vec<SocketAddr>> = BTreeMap::new();
        for holder in board.holders.usable(board.now) {
            if holder.control == board.settings.control {
                continue;
            }
            let known = holder.known;
            let helps_text = needs.text_behind && known.text > board.text_version();
            let helps_vms = needs.vms_behind && known.vms > board.list_version();
            let is_up_to_date =
                known.text >= board.text_version() && known.vms >= board.list_version();
            let is_whole = known.text_whole && known.vms_whole;
            let is_same_service = holder.service.as_ref() == Some(&board.settings.service);
            let is_partial = !has_whole_document(board);
            let can_answer = is_whole || (is_same_service && is_partial);
            let fit = match () {
                () if needs.whole && is_whole && is_up_to_date => PeerFit::Good,
                () if needs.whole && !needs.text_behind && !needs.vms_behind => continue,
                () if needs.slices && is_up_to_date && can_answer => PeerFit::Good,
                () if (helps_text || helps_vms) && can_answer => PeerFit::Good,
                () if (helps_text || helps_vms) && is_partial => PeerFit::Other,
                () => continue,
            };
            ranked.entry(fit).or_default().push(holder.control);
        }
        ranked.insert(PeerFit::Reader, board.rota.whole_candidates());
        for peers in ranked.values_mut().rev() {
            peers.retain(|peer| !self.skipped_until.contains_key(peer));
            if let Some(peer) = peers.choose(&mut board.rng) {
                return Some(*peer);
            }
        }
        None
    }

    fn announce(&mut self, board: &mut Board) {
        let known = board.known_versions();
        let is_newer = known.text > self.announced.text || known.vms > self.announced.vms;
        let had_version = self.announced.text.0 > 0 || board.joined;
        self.announced = known;
        if !is_newer || !had_version {
            return;
        }
        for recipient in announcement_recipients(board) {
            let body = DatagramBody::Announce {
                text_notes: board.text.latest_notes(NOTES_PER_DATAGRAM),
                vms_notes: board.vms.latest_notes(NOTES_PER_DATAGRAM),
            };
            board.send(recipient.control, body);
        }
    }
}

/// Chooses peers of the same service, one of another service in the same data centre, and
/// one of another data centre, so that the first hops of an announcement already reach
/// other services and data centres.
fn announcement_recipients(board: &mut Board) -> Vec<Recipient> {
    let service = board.settings.service.clone();
    let data_centre = board.settings.data_centre.clone();
    let rng = &mut board.rng;
    let members = &board.members;
    let mut chosen = members.choose_uncalled_first(rng, 1, |member| {
        member.service != service && member.data_centre == data_centre
    });
    chosen
        .extend(members.choose_uncalled_first(rng, 1, |member| member.data_centre != data_centre));
    let rest = FAN_OUT - chosen.len();
    let chosen_addresses: Vec<SocketAddr> =
        chosen.iter().map(|recipient| recipient.control).collect();
    chosen.extend(members.choose(rng, rest, |member| {
        member.service == service && !chosen_addresses.contains(&member.control)
    }));
    chosen
}

fn is_valid_reply(reply: &DocumentReply) -> bool {
    reply.slices.iter().all(is_valid_slice)
}

impl Controller for Dissemination {
    fn on_input(&mut self, input: &Input, board: &mut Board) {
        match input {
            Input::Datagram(datagram) => self.handle_datagram(board, datagram),
            Input::Request { request, message } => self.answer(board, *request, message),
            Input::Answer { peer, message } => self.apply_answer(board, *peer, message),
            Input::AnswerFailed(peer) => {
                board.pulls.take(*peer);
                self.note_failed_pull(board, *peer);
            }
            _ => {}
        }
    }

    fn on_tick(&mut self, board: &mut Board) {
        for peer in board.pulls.expire(board.now) {
            self.note_failed_pull(board, peer);
        }
        board.drop_idle_services();
    }

    fn on_settled(&mut self, board: &mut Board) {
        if board.joined {
            self.pull_if_needed(board);
        }
        self.announce(board);
    }
}
