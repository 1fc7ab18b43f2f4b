//! State that this node keeps about one peer.

use std::net::SocketAddr;

use hornbeamhitch_wire::control::{ListVersion, ListedVm, LoadDigest, MemberDigest};

use super::status::MemberState;
use crate::prelude::*;
use crate::view::ReceivedLoad;

/// Outcome of merging a statement about a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// The statement belongs to an earlier incarnation than the known one.
    Stale,
    /// The statement is not newer than the known one.
    NotNewer,
    /// Only the load and the time of the last statement changed.
    LoadOnly,
    /// The incarnation, an address or the leaving state changed.
    Change,
}

/// One peer. Data from the VM list and from statements is kept separately.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) vm: VmId,
    pub(super) service: ServiceName,
    pub(super) data_centre: DataCentre,
    pub(super) peer: SocketAddr,
    pub(super) control: SocketAddr,
    /// The incarnation, once a statement has been received.
    pub(super) incarnation: Option<Incarnation>,
    /// The peer's own clock in its newest statement.
    clock_ms: Millis,
    /// Time of the newest statement, in this node's clock.
    pub(super) last_statement_at: Option<Millis>,
    /// The peer reported that it is leaving.
    reported_leaving: bool,
    pub(super) load: Option<ReceivedLoad>,
    /// The VM list contains the peer.
    pub(super) listed: bool,
    /// The incarnation that the VM list marks as leaving.
    list_leaving: Option<ListLeaving>,
    /// Version of the VM list when the peer became known or was last listed.
    pub(super) known_at_list: ListVersion,
    /// A later incarnation of another VM uses the same address.
    pub(super) superseded: bool,
    /// The peer's service is tracked, so all its members are kept.
    pub(super) is_tracked: bool,
    /// Time of the last change other than load.
    pub(super) changed_at: Millis,
    /// Time of the last probe.
    pub(super) probed_at: Option<Millis>,
}

/// The incarnation to which the leaving mark of the VM list applies. The list contains no
/// incarnation, so the mark applies to the one known when the mark appeared, or else to
/// the first one seen afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListLeaving {
    NextIncarnation,
    ThisIncarnation(Incarnation),
}

impl Member {
    /// Creates a member that is known only from the VM list.
    pub(super) fn from_list(entry: &ListedVm, version: ListVersion, now: Millis) -> Self {
        Self {
            vm: entry.vm.clone(),
            service: entry.service.clone(),
            data_centre: entry.data_centre.clone(),
            peer: entry.peer,
            control: entry.control,
            incarnation: None,
            clock_ms: Millis::ZERO,
            last_statement_at: None,
            reported_leaving: false,
            load: None,
            listed: true,
            list_leaving: entry.leaving.then_some(ListLeaving::NextIncarnation),
            known_at_list: version,
            superseded: false,
            is_tracked: false,
            changed_at: now,
            probed_at: None,
        }
    }

    /// Creates a member that made a statement before the VM list contained it.
    pub(super) fn from_digest(digest: &MemberDigest, version: ListVersion, now: Millis) -> Self {
        Self {
            vm: digest.vm.clone(),
            service: digest.service.clone(),
            data_centre: digest.data_centre.clone(),
            peer: digest.peer,
            control: digest.control,
            incarnation: None,
            clock_ms: Millis::ZERO,
            last_statement_at: None,
            reported_leaving: false,
            load: None,
            listed: false,
            list_leaving: None,
            known_at_list: version,
            superseded: false,
            is_tracked: false,
            changed_at: now,
            probed_at: None,
        }
    }

    /// Merges a statement made at `stated_at` in this node's clock.
    ///
    /// Statements are ordered by incarnation and then by the peer's own clock. A datagram
    /// that was duplicated, delayed, or sent by a paused process can therefore neither
    /// restore an earlier incarnation nor revert the leaving state.
    pub(super) fn merge(
        &mut self,
        digest: &MemberDigest,
        stated_at: Millis,
        now: Millis,
    ) -> MergeOutcome {
        let known = self.incarnation;
        if known.is_some_and(|current| digest.incarnation < current) {
            return MergeOutcome::Stale;
        }
        let is_new_incarnation = known != Some(digest.incarnation);
        if !is_new_incarnation && digest.clock_ms <= self.clock_ms {
            return MergeOutcome::NotNewer;
        }
        let changed = is_new_incarnation
            || self.reported_leaving != digest.leaving
            || self.peer != digest.peer
            || self.control != digest.control;
        if is_new_incarnation {
            self.start_incarnation(digest.incarnation);
        }
        self.clock_ms = digest.clock_ms;
        self.reported_leaving = digest.leaving;
        self.peer = digest.peer;
        self.control = digest.control;
        self.data_centre = digest.data_centre.clone();
        self.service = digest.service.clone();
        self.last_statement_at = Some(self.last_statement_at.unwrap_or_default().max(stated_at));
        if let Some(report) = digest.load_report() {
            self.load = Some(ReceivedLoad {
                report,
                received_at: stated_at,
            });
        }
        if !changed {
            return MergeOutcome::LoadOnly;
        }
        self.changed_at = now;
        MergeOutcome::Change
    }

    /// Merges a load report that arrived with an answer.
    pub(super) fn merge_load(&mut self, report: LoadReport, now: Millis) -> MergeOutcome {
        if self
            .incarnation
            .is_some_and(|current| report.incarnation < current)
        {
            return MergeOutcome::Stale;
        }
        let is_new_incarnation = self.incarnation != Some(report.incarnation);
        if !is_new_incarnation && report.gate_clock_ms < self.clock_ms {
            return MergeOutcome::NotNewer;
        }
        let changed = is_new_incarnation || self.reported_leaving != report.leaving;
        if is_new_incarnation {
            self.start_incarnation(report.incarnation);
        }
        self.clock_ms = report.gate_clock_ms;
        self.reported_leaving = report.leaving;
        self.last_statement_at = Some(now);
        self.load = Some(ReceivedLoad {
            report,
            received_at: now,
        });
        if !changed {
            return MergeOutcome::LoadOnly;
        }
        self.changed_at = now;
        MergeOutcome::Change
    }

    fn start_incarnation(&mut self, incarnation: Incarnation) {
        if self.list_leaving == Some(ListLeaving::NextIncarnation) {
            self.list_leaving = Some(ListLeaving::ThisIncarnation(incarnation));
        }
        self.incarnation = Some(incarnation);
        self.load = None;
    }

    /// Merges an entry of the VM list. Returns whether something changed.
    ///
    /// Addresses from the list apply only until the peer itself has made a statement.
    pub(super) fn merge_list_entry(
        &mut self,
        entry: &ListedVm,
        version: ListVersion,
        now: Millis,
    ) -> bool {
        let before = (self.leaving(), self.peer, self.control);
        self.listed = true;
        self.known_at_list = version;
        self.list_leaving = match (entry.leaving, self.list_leaving, self.incarnation) {
            (false, _, _) => None,
            (true, Some(known), _) => Some(known),
            (true, None, Some(current)) => Some(ListLeaving::ThisIncarnation(current)),
            (true, None, None) => Some(ListLeaving::NextIncarnation),
        };
        if self.incarnation.is_none() {
            self.peer = entry.peer;
            self.control = entry.control;
            self.service = entry.service.clone();
            self.data_centre = entry.data_centre.clone();
        }
        let changed = before != (self.leaving(), self.peer, self.control);
        if changed {
            self.changed_at = now;
        }
        changed
    }

    /// Returns whether the peer accepts no new work, because it reported so or because
    /// the VM list marks this incarnation as leaving.
    pub(super) fn leaving(&self) -> bool {
        if self.reported_leaving {
            return true;
        }
        match (self.list_leaving, self.incarnation) {
            (None, _) => false,
            (Some(ListLeaving::NextIncarnation), _)
            | (Some(ListLeaving::ThisIncarnation(_)), None) => true,
            (Some(ListLeaving::ThisIncarnation(listed)), Some(current)) => current <= listed,
        }
    }

    /// Returns the time since the last statement, or `None` if there was none.
    pub(super) fn silent_ms(&self, now: Millis) -> Option<Millis> {
        Some(now.since(self.last_statement_at?))
    }

    /// Returns whether the last statement is at most `span` old.
    pub(super) fn is_fresh(&self, now: Millis, span: Millis) -> bool {
        self.silent_ms(now).is_some_and(|silent| silent <= span)
    }

    /// Returns the state for status reports and publishing.
    pub(super) fn state(&self, now: Millis, doubtful_after: Millis) -> MemberState {
        if self.leaving() {
            return MemberState::Leaving;
        }
        if self.is_fresh(now, doubtful_after) {
            return MemberState::Live;
        }
        MemberState::Doubtful
    }

    /// Returns the newest statement for relaying, or `None` if there was none.
    pub(super) fn digest(&self) -> Option<MemberDigest> {
        Some(MemberDigest {
            vm: self.vm.clone(),
            service: self.service.clone(),
            data_centre: self.data_centre.clone(),
            peer: self.peer,
            control: self.control,
            incarnation: self.incarnation?,
            clock_ms: self.clock_ms,
            leaving: self.reported_leaving,
            load: self.load.map(|load| LoadDigest::of(&load.report)),
        })
    }
}
