//! One peer as this node knows it.

use std::net::SocketAddr;

use hornbeamhitch_wire::control::{ListVersion, ListedVm, LoadDigest, MemberDigest};

use super::status::MemberState;
use crate::prelude::*;
use crate::view::ReceivedLoad;

/// How new a statement was to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum News {
    /// It belongs to an earlier life than the one known.
    Stale,
    /// It is no newer than what is known.
    Nothing,
    /// Only load and freshness are new.
    Load,
    /// A life, an address or leaving is new.
    Change,
}

/// One peer: what the VM list says, and what was heard, kept apart.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) vm: VmId,
    pub(super) service: ServiceName,
    pub(super) data_centre: DataCentre,
    pub(super) peer: SocketAddr,
    pub(super) control: SocketAddr,
    /// Its life, once heard.
    pub(super) incarnation: Option<Incarnation>,
    /// Its own clock at the newest statement heard.
    clock_ms: Millis,
    /// When the newest statement was made, in this node's clock.
    pub(super) heard_at: Option<Millis>,
    /// It said so itself.
    said_leaving: bool,
    pub(super) load: Option<ReceivedLoad>,
    /// The VM list names it.
    pub(super) listed: bool,
    /// The life that the VM list calls leaving.
    list_leaving: Option<ListLeaving>,
    /// The VM list's version at which it became known or was last named.
    pub(super) known_at_list: ListVersion,
    /// A later life of another VM speaks from its address.
    pub(super) superseded: bool,
    /// All members of its service are kept.
    pub(super) is_held: bool,
    /// When something other than its load changed last.
    pub(super) changed_at: Millis,
    /// When it was last probed.
    pub(super) probed_at: Option<Millis>,
}

/// The life to which the VM list's word applies. The list names none, so it is
/// the one known when the word came, or else the first heard after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListLeaving {
    FirstHeard,
    Life(Incarnation),
}

impl Member {
    /// A member that only the VM list knows.
    pub(super) fn from_list(entry: &ListedVm, version: ListVersion, now: Millis) -> Self {
        Self {
            vm: entry.vm.clone(),
            service: entry.service.clone(),
            data_centre: entry.data_centre.clone(),
            peer: entry.peer,
            control: entry.control,
            incarnation: None,
            clock_ms: Millis::ZERO,
            heard_at: None,
            said_leaving: false,
            load: None,
            listed: true,
            list_leaving: entry.leaving.then_some(ListLeaving::FirstHeard),
            known_at_list: version,
            superseded: false,
            is_held: false,
            changed_at: now,
            probed_at: None,
        }
    }

    /// A member that was heard of before the VM list named it.
    pub(super) fn from_digest(digest: &MemberDigest, version: ListVersion, now: Millis) -> Self {
        Self {
            vm: digest.vm.clone(),
            service: digest.service.clone(),
            data_centre: digest.data_centre.clone(),
            peer: digest.peer,
            control: digest.control,
            incarnation: None,
            clock_ms: Millis::ZERO,
            heard_at: None,
            said_leaving: false,
            load: None,
            listed: false,
            list_leaving: None,
            known_at_list: version,
            superseded: false,
            is_held: false,
            changed_at: now,
            probed_at: None,
        }
    }

    /// Takes in a statement made at `said_at` in this node's clock.
    ///
    /// Statements are ordered by life, then by the speaker's own clock. A
    /// datagram that was duplicated, delayed, or sent by a paused process can
    /// thus neither bring back an earlier life nor take back a leaving.
    pub(super) fn hear(&mut self, digest: &MemberDigest, said_at: Millis, now: Millis) -> News {
        let known = self.incarnation;
        if known.is_some_and(|life| digest.incarnation < life) {
            return News::Stale;
        }
        let new_life = known != Some(digest.incarnation);
        if !new_life && digest.clock_ms <= self.clock_ms {
            return News::Nothing;
        }
        let changed = new_life
            || self.said_leaving != digest.leaving
            || self.peer != digest.peer
            || self.control != digest.control;
        if new_life {
            self.start_life(digest.incarnation);
        }
        self.clock_ms = digest.clock_ms;
        self.said_leaving = digest.leaving;
        self.peer = digest.peer;
        self.control = digest.control;
        self.data_centre = digest.data_centre.clone();
        self.service = digest.service.clone();
        self.heard_at = Some(self.heard_at.unwrap_or_default().max(said_at));
        if let Some(report) = digest.load_report() {
            self.load = Some(ReceivedLoad {
                report,
                received_at: said_at,
            });
        }
        if !changed {
            return News::Load;
        }
        self.changed_at = now;
        News::Change
    }

    /// Takes in a load report that came with an answer.
    pub(super) fn hear_load(&mut self, report: LoadReport, now: Millis) -> News {
        if self
            .incarnation
            .is_some_and(|life| report.incarnation < life)
        {
            return News::Stale;
        }
        let new_life = self.incarnation != Some(report.incarnation);
        if !new_life && report.gate_clock_ms < self.clock_ms {
            return News::Nothing;
        }
        let changed = new_life || self.said_leaving != report.leaving;
        if new_life {
            self.start_life(report.incarnation);
        }
        self.clock_ms = report.gate_clock_ms;
        self.said_leaving = report.leaving;
        self.heard_at = Some(now);
        self.load = Some(ReceivedLoad {
            report,
            received_at: now,
        });
        if !changed {
            return News::Load;
        }
        self.changed_at = now;
        News::Change
    }

    fn start_life(&mut self, incarnation: Incarnation) {
        if self.list_leaving == Some(ListLeaving::FirstHeard) {
            self.list_leaving = Some(ListLeaving::Life(incarnation));
        }
        self.incarnation = Some(incarnation);
        self.load = None;
    }

    /// Takes in a line of the VM list; true when something changed.
    ///
    /// Addresses from the list only count until the member itself is heard.
    pub(super) fn list(&mut self, entry: &ListedVm, version: ListVersion, now: Millis) -> bool {
        let before = (self.leaving(), self.peer, self.control);
        self.listed = true;
        self.known_at_list = version;
        self.list_leaving = match (entry.leaving, self.list_leaving, self.incarnation) {
            (false, _, _) => None,
            (true, Some(known), _) => Some(known),
            (true, None, Some(life)) => Some(ListLeaving::Life(life)),
            (true, None, None) => Some(ListLeaving::FirstHeard),
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

    /// Whether it takes no new work: it said so, or the VM list says so of
    /// this life.
    pub(super) fn leaving(&self) -> bool {
        if self.said_leaving {
            return true;
        }
        match (self.list_leaving, self.incarnation) {
            (None, _) => false,
            (Some(ListLeaving::FirstHeard), _) | (Some(ListLeaving::Life(_)), None) => true,
            (Some(ListLeaving::Life(listed)), Some(life)) => life <= listed,
        }
    }

    /// Time since it was last heard of; `None` for never.
    pub(super) fn silent_ms(&self, now: Millis) -> Option<Millis> {
        Some(now.since(self.heard_at?))
    }

    /// Whether it was heard of within a span.
    pub(super) fn is_fresh(&self, now: Millis, span: Millis) -> bool {
        self.silent_ms(now).is_some_and(|silent| silent <= span)
    }

    /// What to show and publish.
    pub(super) fn state(&self, now: Millis, doubtful_after: Millis) -> MemberState {
        if self.leaving() {
            return MemberState::Leaving;
        }
        if self.is_fresh(now, doubtful_after) {
            return MemberState::Live;
        }
        MemberState::Doubtful
    }

    /// The newest statement, to be passed on; `None` when it was never heard.
    pub(super) fn digest(&self) -> Option<MemberDigest> {
        Some(MemberDigest {
            vm: self.vm.clone(),
            service: self.service.clone(),
            data_centre: self.data_centre.clone(),
            peer: self.peer,
            control: self.control,
            incarnation: self.incarnation?,
            clock_ms: self.clock_ms,
            leaving: self.said_leaving,
            load: self.load.map(|load| LoadDigest::of(&load.report)),
        })
    }
}
