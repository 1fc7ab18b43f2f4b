//! Control state machine of a node: membership, configuration, dissemination and
//! shutdown.
//!
//! [`Control`] holds the state of one thread. It follows the blackboard pattern: several
//! controllers, each responsible for one task, read and write the sections of a shared
//! `Board`. The driver passes in events and a tick every 50 ms and executes the
//! returned actions in order. Nothing in this module blocks, and the work per event does
//! not grow with the size of the fleet: a node keeps data about its own service, the
//! services that it calls, and a constant number of peers.
//!
//! `docs/design/configuration.md` and `docs/design/membership.md` describe the
//! alternatives that were considered and the measurements.

mod acceptance;
mod api;
mod board;
mod config;
mod dissemination;
mod document;
mod heartbeat;
mod holders;
mod joining;
mod leaving;
mod member;
mod members;
mod membership;
mod probing;
mod publishing;
mod pulls;
mod reading;
mod rota;
mod status;
mod suspicion;

pub use api::{
    CheckedText, ControlAction, ControlEvent, ControlSettings, PlatformRead, RequestId,
    TextChecker, TextRefusal,
};
pub use status::{
    ControlCounters, ControlStatus, MemberState, MemberStatus, PlatformState, ReaderStatus,
    RefusedText, ServiceStatus,
};

use std::net::SocketAddr;

use hornbeamhitch_wire::control::{BulkAnswer, BulkRequest, Datagram};

use crate::prelude::*;
use acceptance::Acceptance;
use board::{Board, Controller, Input, PendingPublish};
use dissemination::Dissemination;
use heartbeat::Heartbeats;
use joining::Joining;
use leaving::Leaving;
use member::Member;
use members::doubtful_after;
use membership::Membership;
use probing::Probing;
use publishing::Publishing;
use reading::Reading;
use suspicion::Suspicion;

#[cfg(test)]
mod tests;

/// The control state machine of one node.
pub struct Control {
    board: Board,
    controllers: Vec<Box<dyn Controller>>,
    checker: Box<dyn TextChecker + Send>,
    /// Version of the last text that this node rejected. The node does not check it
    /// again.
    refused: Option<ConfigVersion>,
}

impl Control {
    /// Creates a node without configuration, members or VM list.
    #[must_use]
    pub fn new(
        settings: ControlSettings,
        checker: Box<dyn TextChecker + Send>,
        now: Millis,
    ) -> Self {
        let mut board = Board::new(settings, now);
        board.request_publish(PendingPublish::Routes);
        // The order matters: received information is merged before start-up and platform
        // reads are decided, and publishing comes last.
        let controllers: Vec<Box<dyn Controller>> = vec![
            Box::new(Membership::default()),
            Box::new(Acceptance),
            Box::new(Dissemination::new(now)),
            Box::new(Joining::new(now)),
            Box::new(Reading::default()),
            Box::new(Heartbeats::new(now)),
            Box::new(Leaving::default()),
            Box::new(Suspicion),
            Box::new(Probing::new(now)),
            Box::new(Publishing::default()),
        ];
        Self {
            board,
            controllers,
            checker,
            refused: None,
        }
    }

    /// Handles an event and returns the actions to execute, in order.
    pub fn handle(&mut self, event: ControlEvent, now: Millis) -> Vec<ControlAction> {
        // A clock that steps back must not make ages negative.
        self.board.now = self.board.now.max(now);
        if matches!(event, ControlEvent::Tick) {
            for controller in &mut self.controllers {
                controller.on_tick(&mut self.board);
            }
            return self.settle();
        }
        let Some(input) = self.read(event) else {
            return Vec::new();
        };
        for controller in &mut self.controllers {
            controller.on_input(&input, &mut self.board);
        }
        self.settle()
    }

    fn settle(&mut self) -> Vec<ControlAction> {
        for controller in &mut self.controllers {
            controller.on_settled(&mut self.board);
        }
        std::mem::take(&mut self.board.outbox)
    }

    /// Decodes and validates an event. Returns `None` if the event is dropped.
    fn read(&mut self, event: ControlEvent) -> Option<Input> {
        Some(match event {
            ControlEvent::Tick => return None,
            ControlEvent::Datagram { bytes, .. } => self.read_datagram(&bytes)?,
            ControlEvent::TextRead { version, text } => self.check_text(version, &text),
            ControlEvent::TextUnchanged => Input::Unchanged(PlatformRead::Text),
            ControlEvent::VmsRead {
                version,
                service,
                vms,
            } => Input::Vms {
                version,
                service,
                vms,
            },
            ControlEvent::VmsUnchanged => Input::Unchanged(PlatformRead::Vms),
            ControlEvent::PlatformFailed(read) => Input::Failed(read),
            ControlEvent::BulkRequested { request, message } => {
                let message = self.read_request(&message)?;
                Input::Request { request, message }
            }
            ControlEvent::BulkAnswered { peer, message } => self.read_answer(peer, &message),
            ControlEvent::BulkFailed { peer } => Input::AnswerFailed(peer),
            ControlEvent::GateLoad(load) => Input::GateLoad(load),
            ControlEvent::TargetState { draining, .. } => Input::TargetState { draining },
            ControlEvent::LoadReported { vm, load } => Input::LoadReported { vm, load },
            ControlEvent::SentTo(service) => Input::SentTo(service),
            ControlEvent::ReceivedFrom { control } => Input::ReceivedFrom(control),
            ControlEvent::ServiceRequested(service) => Input::ServiceRequested(service),
            ControlEvent::LeaveRequested => Input::LeaveRequested,
            ControlEvent::Suspicion(entry) => Input::Suspicion(entry),
        })
    }

    fn read_datagram(&mut self, bytes: &[u8]) -> Option<Input> {
        let counters = &mut self.board.counters;
        counters.datagrams_in += 1;
        counters.datagram_bytes_in += bytes.len() as u64;
        let Ok(datagram) = Datagram::decode(bytes) else {
            counters.bad_messages += 1;
            return None;
        };
        let from = &datagram.from;
        if self.is_current(&from.vm, from.incarnation) {
            return Some(Input::Datagram(datagram));
        }
        Some(Input::FromEarlierIncarnation {
            vm: datagram.from.vm,
            control: datagram.from.control,
        })
    }

    fn read_request(&mut self, bytes: &[u8]) -> Option<BulkRequest> {
        let counters = &mut self.board.counters;
        counters.bulk_bytes_in += bytes.len() as u64;
        let Ok(message) = BulkRequest::decode(bytes) else {
            counters.bad_messages += 1;
            return None;
        };
        let from = &message.from;
        self.is_current(&from.vm, from.incarnation)
            .then_some(message)
    }

    /// Decodes an answer. An unusable answer completes its request as a failure.
    fn read_answer(&mut self, peer: SocketAddr, bytes: &[u8]) -> Input {
        let counters = &mut self.board.counters;
        counters.bulk_bytes_in += bytes.len() as u64;
        let Ok(message) = BulkAnswer::decode(bytes) else {
            counters.bad_messages += 1;
            return Input::AnswerFailed(peer);
        };
        if !self.is_current(&message.from.vm, message.from.incarnation) {
            return Input::AnswerFailed(peer);
        }
        Input::Answer {
            peer,
            message: Box::new(message),
        }
    }

    /// Returns whether a message comes from the latest known incarnation of its sender.
    ///
    /// A process that was paused may resume and send outdated information after a later
    /// incarnation of its VM has started. Such messages must not change any state.
    fn is_current(&mut self, vm: &VmId, incarnation: Incarnation) -> bool {
        let is_stale = self.board.members.is_stale(vm, incarnation)
            || (*vm == self.board.settings.vm && incarnation <= self.board.settings.incarnation);
        self.board.counters.stale_messages += u64::from(is_stale);
        !is_stale
    }

    /// Checks a text only if it could come into force.
    fn check_text(&mut self, version: ConfigVersion, text: &str) -> Input {
        let in_force = self.board.text_version();
        let is_needed = version > in_force || (version == in_force && !self.board.text.is_whole());
        let mut checked = None;
        if is_needed && self.refused != Some(version) {
            let outcome = self.checker.check(text);
            if outcome.is_err() {
                self.refused = Some(version);
            }
            checked = Some(outcome);
        }
        Input::Text {
            version,
            size_bytes: text.len(),
            checked,
        }
    }

    /// Returns a snapshot for operators and metrics.
    #[must_use]
    pub fn status(&self, now: Millis) -> ControlStatus {
        let board = &self.board;
        let mut services = Vec::new();
        let by_service = board.members.by_service();
        for service in board.tracked_services() {
            let members = by_service.get(service).map_or(&[][..], Vec::as_slice);
            services.push(status_of(board, service.clone(), members, now));
        }
        ControlStatus {
            version: (board.text.version() > 0).then(|| board.text_version()),
            refused: board.refused.clone(),
            list_version: board.list_version(),
            joined: board.joined,
            leaving: board.takes_no_work(),
            superseded: board.superseded,
            whole: board.text.is_whole() && board.vms.is_whole(),
            reading: board.reading,
            readers: board.rota.status(),
            platform: board.platform,
            services,
            sampled_peers: board.members.sample_size(),
            suspects: board.suspects.len(),
            counters: board.counters,
        }
    }
}

fn status_of(board: &Board, service: ServiceName, known: &[&Member], now: Millis) -> ServiceStatus {
    let doubtful_after = doubtful_after(known.len());
    let mut members = Vec::with_capacity(known.len());
    for member in known {
        members.push(MemberStatus {
            vm: member.vm.clone(),
            data_centre: member.data_centre.clone(),
            peer: member.peer,
            incarnation: member.incarnation,
            state: member.state(now, doubtful_after),
            silent_ms: member.silent_ms(now),
        });
    }
    ServiceStatus {
        has_policy: board.config.policy(&service).is_some(),
        probes_sent: board.probes_sent.get(&service).copied().unwrap_or(0),
        service,
        members,
    }
}
