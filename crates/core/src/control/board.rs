//! The blackboard: sections of state that controllers read and write, and the
//! interface that controllers have in common.

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

/// A service asked for on demand is let go after this long without a call.
const INTEREST_IDLE_AFTER: Millis = Millis::from_secs(10 * 60);
/// Services held on demand; a call for one more displaces the longest idle.
const MAX_INTERESTS: usize = 32;

/// One matter of the control half, with private state of its own.
pub(super) trait Controller: Send {
    /// Something has happened.
    fn on_input(&mut self, _input: &Input, _board: &mut Board) {}

    /// Time has passed.
    fn on_tick(&mut self, _board: &mut Board) {}

    /// All controllers have seen the input or tick.
    fn on_settled(&mut self, _board: &mut Board) {}
}

/// An event after decoding and checking.
#[derive(Debug)]
pub(super) enum Input {
    /// A peer's datagram, not of an earlier life.
    Datagram(Datagram),
    /// A datagram of an earlier life than the one known.
    FromEarlierLife {
        vm: VmId,
        control: SocketAddr,
    },
    /// A text with the outcome of its checks; `None` when it need not be
    /// checked because it is not above what is held or refused.
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
    Heard {
        vm: VmId,
        load: LoadReport,
    },
    SentTo(ServiceName),
    ReceivedFrom(SocketAddr),
    Interest(ServiceName),
    LeaveRequested,
    Suspicion(SuspectEntry),
}

/// What must be published.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Dirt {
    /// Nothing.
    #[default]
    Clean,
    /// Load reports only; they may wait a little.
    Loads,
    /// Versions, members or suspects; at once.
    Routes,
}

/// The state of the control half.
pub(super) struct Board {
    pub(super) settings: ControlSettings,
    /// The time of the event in hand.
    pub(super) now: Millis,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) text: Document,
    pub(super) vms: Document,
    pub(super) config: Config,
    pub(super) refused: Option<RefusedText>,
    /// Services whose policy and members this node holds: its own, those that
    /// it calls, and those asked for lately. Sorted.
    held: Vec<ServiceName>,
    /// Services asked for on demand, with the time of the last call.
    interests: BTreeMap<ServiceName, Millis>,
    pub(super) members: Members,
    pub(super) holders: Holders,
    pub(super) pulls: Pulls,
    pub(super) rota: Rota,
    /// Start-up is over; see the `joining` controller.
    pub(super) joined: bool,
    /// This node is on the rota and reads the platform.
    pub(super) reading: bool,
    pub(super) platform: PlatformState,
    /// The process leaves; never taken back.
    pub(super) leaving: bool,
    /// The target wants no new work; may be taken back.
    pub(super) draining: bool,
    /// A later life of this VM was heard of.
    pub(super) superseded: bool,
    pub(super) own_load: Option<ReceivedLoad>,
    pub(super) suspects: Suspects,
    pub(super) dirt: Dirt,
    pub(super) outbox: Vec<ControlAction>,
    pub(super) counters: ControlCounters,
    /// Probes sent since start, by service.
    pub(super) probes_sent: BTreeMap<ServiceName, u64>,
}

impl Board {
    /// A node that knows only its settings.
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
            held: vec![service.clone()],
            interests: BTreeMap::new(),
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
            dirt: Dirt::Clean,
            outbox: Vec::new(),
            counters: ControlCounters::default(),
            probes_sent: BTreeMap::new(),
            settings,
        }
    }

    /// The configuration in force.
    pub(super) fn text_version(&self) -> ConfigVersion {
        ConfigVersion(self.text.version())
    }

    /// The VM list held.
    pub(super) fn list_version(&self) -> ListVersion {
        ListVersion(self.vms.version())
    }

    /// Whether this node takes no new work.
    pub(super) fn takes_no_work(&self) -> bool {
        self.leaving || self.draining || self.superseded
    }

    /// Marks what must be published.
    pub(super) fn soil(&mut self, dirt: Dirt) {
        self.dirt = self.dirt.max(dirt);
    }

    /// Sends a message from this node.
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

    /// Asks a peer by bulk for what this node lacks.
    pub(super) fn pull(&mut self, to: SocketAddr, everything: bool) {
        let text = self.text.ask(&self.wanted_text(), everything);
        let vms = self.vms.ask(&self.wanted_vms(), everything);
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

    /// What this node states about itself.
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

    /// What this node holds.
    pub(super) fn known_versions(&self) -> KnownVersions {
        KnownVersions {
            text: self.text_version(),
            vms: self.list_version(),
            text_whole: self.text.is_whole(),
            vms_whole: self.vms.is_whole(),
        }
    }

    /// This node as the sender of a bulk message.
    pub(super) fn sender(&self) -> Sender {
        Sender {
            vm: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            data_centre: self.settings.data_centre.clone(),
            control: self.settings.control,
        }
    }

    /// Reader candidates for peers of the own data centre.
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

    /// Whether this node reads the platform in vain.
    pub(super) fn fails_to_read(&self) -> bool {
        matches!(self.platform, PlatformState::Failing | PlatformState::Stale)
    }

    /// The refusal to tell on, while it is newer than what is in force.
    pub(super) fn refused_note(&self) -> Option<RefusedNote> {
        let refused = self.refused.as_ref()?;
        Some(RefusedNote::new(refused.version, &refused.reason))
    }

    /// Takes in a peer's word of a refused text.
    pub(super) fn hear_refused(&mut self, note: Option<&RefusedNote>) {
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

    /// Services whose policy and members this node holds, sorted.
    pub(super) fn held_services(&self) -> &[ServiceName] {
        &self.held
    }

    fn find_held(&self) -> Vec<ServiceName> {
        let own = &self.settings.service;
        let mut held = BTreeSet::from([own.clone()]);
        if let Some(policy) = self.config.policy(own) {
            held.extend(policy.depends_on.iter().cloned());
        }
        held.extend(self.interests.keys().cloned());
        held.into_iter().collect()
    }

    /// Slices of the configuration that this node needs.
    pub(super) fn wanted_text(&self) -> BTreeSet<SliceName> {
        let mut wanted = BTreeSet::from([SliceName::Deployment, SliceName::ServiceNames]);
        for service in &self.held {
            if !self.config.lacks(service) {
                wanted.insert(SliceName::Service(service.clone()));
            }
        }
        wanted
    }

    /// Slices of the VM list that this node needs.
    pub(super) fn wanted_vms(&self) -> BTreeSet<SliceName> {
        let mut wanted = BTreeSet::new();
        for service in &self.held {
            wanted.insert(SliceName::Members(service.clone()));
        }
        wanted
    }

    /// Decodes what changed in the text and follows it up: the services held
    /// depend on the own policy.
    pub(super) fn refresh_config(&mut self) {
        self.held = self.find_held();
        self.config.refresh(&self.text, &self.held);
        let held = self.find_held();
        if held != self.held {
            self.config.refresh(&self.text, &held);
            self.held = held;
        }
        self.members.hold(&self.held);
        let in_force = self.text_version();
        if self
            .refused
            .as_ref()
            .is_some_and(|refused| refused.version <= in_force)
        {
            self.refused = None;
        }
        self.soil(Dirt::Routes);
    }

    /// Notes that calls of this node want a service.
    pub(super) fn touch_interest(&mut self, service: &ServiceName) {
        if let Some(used_at) = self.interests.get_mut(service) {
            *used_at = self.now;
            return;
        }
        if self.held.contains(service) || self.config.lacks(service) {
            return;
        }
        if self.interests.len() >= MAX_INTERESTS {
            let idle = self.interests.iter().min_by_key(|(_, used_at)| **used_at);
            if let Some(victim) = idle.map(|(name, _)| name.clone()) {
                self.interests.remove(&victim);
            }
        }
        self.interests.insert(service.clone(), self.now);
        self.refresh_config();
    }

    /// Lets services go that were asked for on demand and are idle.
    pub(super) fn drop_idle_interests(&mut self) {
        let now = self.now;
        let before = self.interests.len();
        self.interests
            .retain(|_, used_at| now.since(*used_at) <= INTEREST_IDLE_AFTER);
        if self.interests.len() != before {
            self.refresh_config();
        }
    }
}
