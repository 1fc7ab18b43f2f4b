//! Who is a member of which service: the VM list, corrected by what nodes say
//! of themselves.

use std::collections::BTreeMap;

use hornbeamhitch_wire::control::{DatagramBody, ListedVm, MemberDigest, SliceName, decode_slice};
use rand::RngExt;

use super::board::{Board, Controller, Dirt, Input};
use super::member::News;
use crate::prelude::*;
use crate::view::ReceivedLoad;

/// How often members that are gone are looked for.
const SWEEP_EVERY: Millis = Millis::from_secs(1);
/// An unchanged report of the own gate is not taken over for this long.
const OWN_LOAD_FRESH_FOR: Millis = Millis::from_secs(1);
/// A sample smaller than this is filled up from a whole VM list.
const SMALL_SAMPLE: usize = 16;
/// Services looked at to fill up the sample.
const SAMPLE_TRIES: usize = 64;

/// The controller of membership.
#[derive(Debug, Default)]
pub(super) struct Membership {
    /// Digests of the slices of the VM list taken in.
    taken_in: BTreeMap<ServiceName, u64>,
    taken_in_edits: u64,
    held: Vec<ServiceName>,
    swept_at: Millis,
    /// The VM list has named this VM as live.
    own_listed_live: bool,
}

impl Membership {
    fn hear(board: &mut Board, digest: &MemberDigest, age_ms: Millis) {
        if digest.vm == board.settings.vm {
            if digest.incarnation > board.settings.incarnation && !board.superseded {
                board.superseded = true;
                board.soil(Dirt::Routes);
            }
            return;
        }
        let version = board.list_version();
        let news = board.members.hear(digest, age_ms, version, board.now);
        if !board.members.holds(&digest.service) {
            return;
        }
        match news {
            News::Change => board.soil(Dirt::Routes),
            News::Load => board.soil(Dirt::Loads),
            News::Stale | News::Nothing => {}
        }
    }

    fn hear_load(board: &mut Board, vm: &VmId, load: LoadReport) {
        let now = board.now;
        let Some(member) = board.members.get_mut(vm) else {
            return;
        };
        match member.hear_load(load, now) {
            News::Change => board.soil(Dirt::Routes),
            News::Load => board.soil(Dirt::Loads),
            News::Stale => board.counters.stale_messages += 1,
            News::Nothing => {}
        }
    }

    /// The own gate reports on each tick; what has not changed is published
    /// anew only before it looks old.
    fn take_own_load(board: &mut Board, report: LoadReport) {
        let now = board.now;
        if let Some(known) = board.own_load {
            let unchanged = LoadReport {
                gate_clock_ms: report.gate_clock_ms,
                ..known.report
            };
            if unchanged == report && now.since(known.received_at) < OWN_LOAD_FRESH_FOR {
                return;
            }
        }
        board.own_load = Some(ReceivedLoad {
            report,
            received_at: now,
        });
        board.soil(Dirt::Loads);
    }

    /// Takes in the slices of the VM list that changed.
    fn take_in_list(&mut self, board: &mut Board) {
        let held = board.held_services().to_vec();
        let is_same = self.taken_in_edits == board.vms.edits() && self.held == held;
        if is_same {
            return;
        }
        self.taken_in_edits = board.vms.edits();
        self.taken_in.retain(|service, _| held.contains(service));
        for service in &held {
            self.take_in_slice(board, service);
        }
        self.held = held;
        self.fill_sample(board);
    }

    fn take_in_slice(&mut self, board: &mut Board, service: &ServiceName) {
        let name = SliceName::Members(service.clone());
        let (digest, entries) = match board.vms.slice(&name) {
            Some(slice) => (slice.digest, decode_slice::<Vec<ListedVm>>(&slice.bytes)),
            None if board.vms.is_whole() => (0, Some(Vec::new())),
            None => return,
        };
        if self.taken_in.get(service) == Some(&digest) {
            return;
        }
        self.taken_in.insert(service.clone(), digest);
        let entries = entries.unwrap_or_default();
        let version = board.list_version();
        if board.members.list(service, &entries, version, board.now) {
            board.soil(Dirt::Routes);
        }
        if *service == board.settings.service {
            self.read_own_entry(board, &entries);
        }
    }

    /// The platform takes this VM away: leave as if told to.
    ///
    /// Only a turn from live to leaving counts. A list that calls the VM
    /// leaving from the start may be old and speak of an earlier life.
    fn read_own_entry(&mut self, board: &mut Board, entries: &[ListedVm]) {
        for entry in entries {
            if entry.vm != board.settings.vm {
                continue;
            }
            if !entry.leaving {
                self.own_listed_live = true;
            } else if self.own_listed_live {
                board.leaving = true;
            }
        }
    }

    /// A reader knows the whole list and can find peers beyond its service.
    fn fill_sample(&self, board: &mut Board) {
        if !board.vms.is_whole() || board.members.sample_size() >= SMALL_SAMPLE {
            return;
        }
        let mut slices = Vec::new();
        for (_, slice) in board.vms.slices() {
            slices.push(slice.bytes.clone());
        }
        if slices.is_empty() {
            return;
        }
        let version = board.list_version();
        for _ in 0..SAMPLE_TRIES {
            let bytes = &slices[board.rng.random_range(0..slices.len())];
            let entries = decode_slice::<Vec<ListedVm>>(bytes).unwrap_or_default();
            if entries.is_empty() {
                continue;
            }
            let entry = &entries[board.rng.random_range(0..entries.len())];
            board.members.list_sample(entry, version, board.now);
        }
    }
}

impl Controller for Membership {
    fn on_input(&mut self, input: &Input, board: &mut Board) {
        match input {
            Input::Datagram(datagram) => {
                Self::hear(board, &datagram.from, Millis::ZERO);
                let DatagramBody::Heartbeat(heartbeat) = &datagram.body else {
                    return;
                };
                for note in &heartbeat.members {
                    Self::hear(board, &note.digest, note.age_ms);
                }
            }
            Input::Answer { message, .. } => {
                for note in &message.members {
                    Self::hear(board, &note.digest, note.age_ms);
                }
            }
            Input::Heard { vm, load } => Self::hear_load(board, vm, *load),
            Input::GateLoad(load) => Self::take_own_load(board, *load),
            Input::Interest(service) | Input::SentTo(service) => board.touch_interest(service),
            _ => {}
        }
    }

    fn on_tick(&mut self, board: &mut Board) {
        if board.now.since(self.swept_at) < SWEEP_EVERY {
            return;
        }
        self.swept_at = board.now;
        let version = board.list_version();
        board.members.remove_gone(version, board.now);
        // Members grow doubtful by time alone.
        board.soil(Dirt::Loads);
    }

    fn on_settled(&mut self, board: &mut Board) {
        self.take_in_list(board);
    }
}
