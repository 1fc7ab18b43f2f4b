//! The blackboard: sections of state that the controllers read and write, and the common
//! interface of the controllers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hornbeamhitch_wire::control::{
    BulkAnswer, BulkRequest, Datagram, DatagramBody, KnownVersions, ListVersion, ListedVm,
    LoadDigest, MemberDigest, ReaderNote, RefusedNote, Sender, SliceName,
};
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

use super::api::{
    CheckedText, ControlAction, ControlSettings, PlatformRead, RequestId, TextRefusal,
};
use super::config::Config;
use super::document::Document;
use super::holders::Holders;
use super::members::Members;
use super::pulls::{Pull, Pulls};
use super::rota::Rota;
use super::status::{ControlCounters, PlatformState, RefusedText};
use crate::prelude::*;
use crate::suspects::{SuspectEntry, Suspects};
use crate::view::ReceivedLoad;

/// A service that was requested on demand is dropped after this time without a call.
const ON_DEMAND_TIMEOUT: Millis = Millis::from_secs(10 * 60);
/// Limit of services tracked on demand. When it is reached, a new one replaces the one
/// that has been idle longest.
const MAX_ON_DEMAND: usize = 32;

/// One task of the control state machine, with private state of its own.
pub(super) trait Controller: Send {
    /// Handles an input.
    fn on_input(&mut self, _input: &Input, _board: &mut Board) {}

    /// Handles a tick.
    fn on_tick(&mut self, _board: &mut Board) {}

    /// Runs after all controllers have handled the input or tick.
    fn on_settled(&mut self, _board: &mut Board) {}
}

/// An event after decoding and validation.
#[derive(Debug)]
pub(super) enum Input {
    /// A peer's datagram that is not from an earlier incarnation.
    Datagram(Datagram),
    /// A datagram from an earlier incarnation than the latest known one.
    FromEarlierIncarnation {
        vm: VmId,
        control: SocketAddr,
    },
    /// A text with the outcome of its checks. `None` if the text was not checked because
    /// its version is not above the one in force or was already rejected.
    Text {
        version: ConfigVersion,
        size_bytes: usize,
        checked: Option<Result<CheckedText, TextRefusal>>,
    },
    Vms {
        version: ListVersion,
        service: Option<ServiceName>,
        vms: Vec<ListedVm>,
    },
    Unchanged(PlatformRead),
    Failed(PlatformRead),
    Request {
        request: RequestId,
        message: BulkRequest,
    },
    Answer {
        peer: SocketAddr,
        message: Box<BulkAnswer>,
    },
    AnswerFailed(SocketAddr),
    GateLoad(LoadReport),
    TargetState {
        draining: bool,
    },
    LoadReported {
        vm: VmId,
        load: LoadReport,
    },
    SentTo(ServiceName),
    ReceivedFrom(SocketAddr),
    ServiceRequested(ServiceName),
    LeaveRequested,
    Suspicion(SuspectEntry),
}

/// What has to be published, in order of urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PendingPublish {
    /// No change.
    #[default]
    Nothing,
    /// Only load reports changed. Publishing may be delayed briefly.
    Loads,
    /// Versions, members or suspects changed. Publish at once.
    Routes,
}

/// The shared state of the controllers.
pub(super) struct Board {
    pub(super) settings: ControlSettings,
    /// The time of the current event.
    pub(super) now: Millis,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) text: Document,
    pub(super) vms: Document,
    pub(super) config: Config,
    pub(super) refused: Option<RefusedText>,
    /// Services whose policy and members this node keeps: its own, those that it calls,
    /// and those recently requested on demand. Sorted.
    tracked: Vec<ServiceName>,
    /// Services requested on demand, with the time of the last call.
    on_demand: BTreeMap<ServiceName, Millis>,
    pub(super) members: Members,
    pub(super) holders: Holders,
    pub(super) pulls: Pulls,
    pub(super) rota: Rota,
    /// Start-up is complete; see the `joining` controller.
    pub(super) joined: bool,
    /// This node is on the rota and reads the platform.
    pub(super) reading: bool,
    pub(super) platform: PlatformState,
    /// The process is shutting down. Never reset.
    pub(super) leaving: bool,
    /// The target accepts no new work. Can be reset.
    pub(super) draining: bool,
    /// A later incarnation of this VM has been seen.
    pub(super) superseded: bool,
    pub(super) own_load: Option<ReceivedLoad>,
    pub(super) suspects: Suspects,
    pub(super) pending_publish: PendingPublish,
    pub(super) outbox: Vec<ControlAction>,
    pub(super) counters: ControlCounters,
    /// Probes sent since start, by service.
    pub(super) probes_sent: BTreeMap<ServiceName, u64>,
}

impl Board {
    /// Creates the state of a node that knows only its settings.
    pub(super) fn new(settings: ControlSettings, now: Millis) -> Self {
        let vm = settings.vm.clone();
        let data_centre = settings.data_centre.clone();
        let service = settings.service.clone();
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(settings.seed),
            now,
            text: Document::default(),
            vms: Document::default(),
            config: Config::default(),
            refused: None,
            tracked: vec![service.clone()],
            on_demand: BTreeMap::new(),
            rota: Rota::new(&vm, data_centre.clone()),
            members: Members::new(vm, data_centre, service),
            holders: Holders::default(),
            pulls: Pulls::default(),
            joined: false,
            reading: false,
            platform: PlatformState::Unused,
            leaving: false,
            draining: false,
            superseded: false,
            own_load: None,
            suspects: Suspects::new(),
            pending_publish: PendingPublish::Nothing,
            outbox: Vec::new(),
            counters: ControlCounters::default(),
            probes_sent: BTreeMap::new(),
            settings,
        }
    }

    /// Returns the version of the configuration in force.
    pub(super) fn text_version(&self) -> ConfigVersion {
        ConfigVersion(self.text.version())
    }

    /// Returns the version of the local VM list.
    pub(super) fn list_version(&self) -> ListVersion {
        ListVersion(self.vms.version())
    }

    /// Returns whether this node accepts no new work.
    pub(super) fn takes_no_work(&self) -> bool {
        self.leaving || self.draining || self.superseded
    }

    /// Requests publishing, at least with the given urgency.
    pub(super) fn request_publish(&mut self, pending_publish: PendingPublish) {
        self.pending_publish = self.pending_publish.max(pending_publish);
    }

    /// Sends a datagram from this node.
    pub(super) fn send(&mut self, to: SocketAddr, body: DatagramBody) {
        let datagram = Datagram {
            from: self.own_digest(),
            known: self.known_versions(),
            body,
        };
        let bytes = datagram.encode();
        self.counters.datagrams_out += 1;
        self.counters.datagram_bytes_out += bytes.len() as u64;
        self.outbox.push(ControlAction::SendDatagram { to, bytes });
    }

    /// Sends a bulk request for the data that this node lacks.
    pub(super) fn pull(&mut self, to: SocketAddr, everything: bool) {
        let text = self.text.request(&self.wanted_text(), everything);
        let vms = self.vms.request(&self.wanted_vms(), everything);
        let message = BulkRequest {
            from: self.sender(),
            text: text.clone(),
            vms: vms.clone(),
        }
        .encode();
        self.counters.bulk_pulls += 1;
        self.counters.bulk_bytes_out += message.len() as u64;
        self.outbox.push(ControlAction::BulkRequest { to, message });
        let pull = Pull {
            sent_at: self.now,
            text,
            text_edits: self.text.edits(),
            vms,
            vms_edits: self.vms.edits(),
        };
        self.pulls.start(to, pull);
    }

    /// Reads the text from the platform.
    pub(super) fn read_text(&mut self, after: ConfigVersion, wait_ms: Millis) {
        self.counters.platform_reads += 1;
        self.outbox.push(ControlAction::ReadText { after, wait_ms });
    }

    /// Reads the VM list from the platform.
    pub(super) fn read_vms(
        &mut self,
        service: Option<ServiceName>,
        after: ListVersion,
        wait_ms: Millis,
    ) {
        self.counters.platform_reads += 1;
        self.outbox.push(ControlAction::ReadVms {
            service,
            after,
            wait_ms,
        });
    }

    /// Returns this node's statement about itself.
    pub(super) fn own_digest(&self) -> MemberDigest {
        MemberDigest {
            vm: self.settings.vm.clone(),
            service: self.settings.service.clone(),
            data_centre: self.settings.data_centre.clone(),
            peer: self.settings.peer,
            control: self.settings.control,
            incarnation: self.settings.incarnation,
            clock_ms: self.now,
            leaving: self.takes_no_work(),
            load: self.own_load.map(|load| LoadDigest::of(&load.report)),
        }
    }

    /// Returns the document versions that this node has.
    pub(super) fn known_versions(&self) -> KnownVersions {
        KnownVersions {
            text: self.text_version(),
            vms: self.list_version(),
            text_whole: self.text.is_whole(),
            vms_whole: self.vms.is_whole(),
        }
    }

    /// Returns this node as the sender of a bulk message.
    pub(super) fn sender(&self) -> Sender {
        Sender {
            vm: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            data_centre: self.settings.data_centre.clone(),
            control: self.settings.control,
        }
    }

    /// Returns the reader candidates to send to peers of this data centre.
    pub(super) fn reader_notes(&self) -> Vec<ReaderNote> {
        let own = ReaderNote {
            vm: self.settings.vm.clone(),
            control: self.settings.control,
            incarnation: self.settings.incarnation,
            clock_ms: self.now,
            age_ms: Millis::ZERO,
            reading: self.reading,
            failing: self.fails_to_read() || self.leaving,
            whole: self.text.is_whole() && self.vms.is_whole(),
        };
        self.rota.notes(self.joined.then_some(own), self.now)
    }

    /// Returns whether this node's platform reads fail or return stale versions.
    pub(super) fn fails_to_read(&self) -> bool {
        matches!(self.platform, PlatformState::Failing | PlatformState::Stale)
    }

    /// Returns the rejected text to report to peers, while it is newer than the one in
    /// force.
    pub(super) fn refused_note(&self) -> Option<RefusedNote> {
        let refused = self.refused.as_ref()?;
        Some(RefusedNote::new(refused.version, &refused.reason))
    }

    /// Merges a peer's note about a rejected text.
    pub(super) fn merge_refused(&mut self, note: Option<&RefusedNote>) {
        let Some(note) = note else {
            return;
        };
        let known = self.refused.as_ref().map(|refused| refused.version);
        if note.version <= self.text_version() || Some(note.version) <= known {
            return;
        }
        self.refused = Some(RefusedText {
            version: note.version,
            reason: note.reason.clone(),
        });
    }

    /// Returns the services whose policy and members this node keeps, sorted.
    pub(super) fn tracked_services(&self) -> &[ServiceName] {
        &self.tracked
    }

    fn find_tracked_services(&self) -> Vec<ServiceName> {
        let own = &self.settings.service;
        let mut tracked = BTreeSet::from([own.clone()]);
        if let Some(policy) = self.config.policy(own) {
            tracked.extend(policy.depends_on.iter().cloned());
        }
        tracked.extend(self.on_demand.keys().cloned());
        tracked.into_iter().collect()
    }

    /// Returns the configuration slices that this node needs.
    pub(super) fn wanted_text(&self) -> BTreeSet<SliceName> {
        let mut wanted = BTreeSet::from([SliceName::Deployment, SliceName::ServiceNames]);
        for service in &self.tracked {
            if !self.config.lacks(service) {
                wanted.insert(SliceName::Service(service.clone()));
            }
        }
        wanted
    }

    /// Returns the VM list slices that this node needs.
    pub(super) fn wanted_vms(&self) -> BTreeSet<SliceName> {
        let mut wanted = BTreeSet::new();
        for service in &self.tracked {
            wanted.insert(SliceName::Members(service.clone()));
        }
        wanted
    }

    /// Decodes the changed slices of the text and updates the tracked services, which
    /// depend on the policy of this node's service.
    pub(super) fn refresh_config(&mut self) {
        self.tracked = self.find_tracked_services();
        self.config.refresh(&self.text, &self.tracked);
        let tracked = self.find_tracked_services();
        if tracked != self.tracked {
            self.config.refresh(&self.text, &tracked);
            self.tracked = tracked;
        }
        self.members.track(&self.tracked);
        let in_force = self.text_version();
        if self
            .refused
            .as_ref()
            .is_some_and(|refused| refused.version <= in_force)
        {
            self.refused = None;
        }
        self.request_publish(PendingPublish::Routes);
    }

    /// Records that calls of this node need a service.
    pub(super) fn note_demand(&mut self, service: &ServiceName) {
        if let Some(used_at) = self.on_demand.get_mut(service) {
            *used_at = self.now;
            return;
        }
        if self.tracked.contains(service) || self.config.lacks(service) {
            return;
        }
        if self.on_demand.len() >= MAX_ON_DEMAND {
            let idle = self.on_demand.iter().min_by_key(|(_, used_at)| **used_at);
            if let Some(victim) = idle.map(|(name, _)| name.clone()) {
                self.on_demand.remove(&victim);
            }
        }
        self.on_demand.insert(service.clone(), self.now);
        self.refresh_config();
    }

    /// Drops idle services that were requested on demand.
    pub(super) fn drop_idle_services(&mut self) {
        let now = self.now;
        let before = self.on_demand.len();
        self.on_demand
            .retain(|_, used_at| now.since(*used_at) <= ON_DEMAND_TIMEOUT);
        if self.on_demand.len() != before {
            self.refresh_config();
        }
    }
}
