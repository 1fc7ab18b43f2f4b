//! Membership of services: the VM list, corrected by the statements of the nodes.

use std::collections::BTreeMap;

use hornbeamhitch_wire::control::{DatagramBody, ListedVm, MemberDigest, SliceName, decode_slice};
use rand::RngExt;

use super::board::{Board, Controller, Input, PendingPublish};
use super::member::MergeOutcome;
use crate::prelude::*;
use crate::view::ReceivedLoad;

/// Interval between searches for members to remove.
const SWEEP_INTERVAL: Millis = Millis::from_secs(1);
/// An unchanged load report of this node's gate is ignored for this long.
const OWN_LOAD_REFRESH: Millis = Millis::from_secs(1);
/// A sample smaller than this is filled from the whole VM list.
const SMALL_SAMPLE: usize = 16;
/// Random attempts to fill the sample.
const SAMPLE_TRIES: usize = 64;

/// Controller of membership.
#[derive(Debug, Default)]
pub(super) struct Membership {
    /// Digests of the merged slices of the VM list.
    merged_digests: BTreeMap<ServiceName, u64>,
    merged_edits: u64,
    tracked: Vec<ServiceName>,
    swept_at: Millis,
    /// The VM list has shown this VM as live.
    was_listed_live: bool,
}

impl Membership {
    fn merge_digest(board: &mut Board, digest: &MemberDigest, age_ms: Millis) {
        if digest.vm == board.settings.vm {
            if digest.incarnation > board.settings.incarnation && !board.superseded {
                board.superseded = true;
                board.request_publish(PendingPublish::Routes);
            }
            return;
        }
        let version = board.list_version();
        let outcome = board.members.merge(digest, age_ms, version, board.now);
        if !board.members.tracks(&digest.service) {
            return;
        }
        match outcome {
            MergeOutcome::Change => board.request_publish(PendingPublish::Routes),
            MergeOutcome::LoadOnly => board.request_publish(PendingPublish::Loads),
            MergeOutcome::Stale | MergeOutcome::NotNewer => {}
        }
    }

    fn merge_load(board: &mut Board, vm: &VmId, load: LoadReport) {
        let now = board.now;
        let Some(member) = board.members.get_mut(vm) else {
            return;
        };
        match member.merge_load(load, now) {
            MergeOutcome::Change => board.request_publish(PendingPublish::Routes),
            MergeOutcome::LoadOnly => board.request_publish(PendingPublish::Loads),
            MergeOutcome::Stale => board.counters.stale_messages += 1,
            MergeOutcome::NotNewer => {}
        }
    }

    /// Takes over the load report that this node's gate sends on each tick. An unchanged
    /// report is published again only before it would look stale.
    fn update_own_load(board: &mut Board, report: LoadReport) {
        let now = board.now;
        if let Some(known) = board.own_load {
            let unchanged = LoadReport {
                gate_clock_ms: report.gate_clock_ms,
                ..known.report
            };
            if unchanged == report && now.since(known.received_at) < OWN_LOAD_REFRESH {
                return;
            }
        }
        board.own_load = Some(ReceivedLoad {
            report,
            received_at: now,
        });
        board.request_publish(PendingPublish::Loads);
    }

    /// Merges the changed slices of the VM list.
    fn apply_list(&mut self, board: &mut Board) {
        let tracked = board.tracked_services().to_vec();
        let is_same = self.merged_edits == board.vms.edits() && self.tracked == tracked;
        if is_same {
            return;
        }
        self.merged_edits = board.vms.edits();
        self.merged_digests
            .retain(|service, _| tracked.contains(service));
        for service in &tracked {
            self.apply_slice(board, service);
        }
        self.tracked = tracked;
        self.fill_sample(board);
    }

    fn apply_slice(&mut self, board: &mut Board, service: &ServiceName) {
        let name = SliceName::Members(service.clone());
        let (digest, entries) = match board.vms.slice(&name) {
            Some(slice) => (slice.digest, decode_slice::<Vec<ListedVm>>(&slice.bytes)),
            None if board.vms.is_whole() => (0, Some(Vec::new())),
            None => return,
        };
        if self.merged_digests.get(service) == Some(&digest) {
            return;
        }
        self.merged_digests.insert(service.clone(), digest);
        let entries = entries.unwrap_or_default();
        let version = board.list_version();
        if board
            .members
            .merge_list(service, &entries, version, board.now)
        {
            board.request_publish(PendingPublish::Routes);
        }
        if *service == board.settings.service {
            self.read_own_entry(board, &entries);
        }
    }

    /// Starts leaving, as on a shutdown request, when the platform marks this VM as
    /// leaving.
    ///
    /// Only a transition from live to leaving counts. A list that shows the VM as leaving
    /// from the start may be outdated and refer to an earlier incarnation.
    fn read_own_entry(&mut self, board: &mut Board, entries: &[ListedVm]) {
        for entry in entries {
            if entry.vm != board.settings.vm {
                continue;
            }
            if !entry.leaving {
                self.was_listed_live = true;
            } else if self.was_listed_live {
                board.leaving = true;
            }
        }
    }

    /// Fills the sample from the whole VM list, which only a reader has, to find peers
    /// beyond its own service.
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
            board.members.add_to_sample(entry, version, board.now);
        }
    }
}

impl Controller for Membership {
    fn on_input(&mut self, input: &Input, board: &mut Board) {
        match input {
            Input::Datagram(datagram) => {
                Self::merge_digest(board, &datagram.from, Millis::ZERO);
                let DatagramBody::Heartbeat(heartbeat) = &datagram.body else {
                    return;
                };
                for note in &heartbeat.members {
                    Self::merge_digest(board, &note.digest, note.age_ms);
                }
            }
            Input::Answer { message, .. } => {
                for note in &message.members {
                    Self::merge_digest(board, &note.digest, note.age_ms);
                }
            }
            Input::LoadReported { vm, load } => Self::merge_load(board, vm, *load),
            Input::GateLoad(load) => Self::update_own_load(board, *load),
            Input::ServiceRequested(service) | Input::SentTo(service) => board.note_demand(service),
            _ => {}
        }
    }

    fn on_tick(&mut self, board: &mut Board) {
        if board.now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = board.now;
        let version = board.list_version();
        board.members.remove_gone(version, board.now);
        // Members become doubtful through the passage of time alone.
        board.request_publish(PendingPublish::Loads);
    }

    fn on_settled(&mut self, board: &mut Board) {
        self.apply_list(board);
    }
}
