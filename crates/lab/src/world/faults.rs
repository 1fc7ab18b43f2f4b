//! What goes wrong, and how word of it spreads.

use std::sync::Arc;

use hornbeamhitch_core::gate::RunEnd;
use hornbeamhitch_core::suspects::SuspectEntry;

use super::World;
use super::call::{CallKind, Stage};
use super::tally::CallEnd;
use crate::event::{AttemptIndex, Event, HostId};
use crate::prelude::*;

/// Word of a leaving gate reaches every entry in this time.
const LEAVING_DELAY: Micros = Micros::from_millis(1_000);
/// Word of a new life reaches every entry in this time.
const INCARNATION_DELAY: Micros = Micros::from_millis(200);
/// Silence after which control calls a peer of a small service doubtful.
const DOUBTFUL_AFTER: Micros = Micros::from_millis(6_000);
/// Time after which a silent open connection counts as broken; the daemon
/// pings an open connection and gives up on the answer after this time.
const KEEP_ALIVE_TIMEOUT: Micros = Micros::from_millis(2_000);
/// Word of a peer that is heard again reaches every entry in this time.
const RECOVERY_DELAY: Micros = Micros::from_millis(1_000);
/// Suspicion reaches every gate in this time: control sends it at once, and
/// traffic reads a new snapshot within a tick.
const SUSPECTS_DELAY: Micros = Micros::from_millis(55);
/// Time that a crashed target needs to be up again.
const RESTART_TIME: Micros = Micros::from_millis(2_000);
const CRASH_IDENTITY: u64 = 0x0c0f_fee0;

impl World {
    pub(super) fn begin_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Slow { target, factor } => self.first(target).set_slow(factor),
            Fault::FailFast { target, on } => self.first(target).set_fails_fast(on),
            Fault::Drain { target } => {
                self.host_mut(first(target)).leave();
                self.queue.schedule(now + LEAVING_DELAY, Event::ViewUpdate);
            }
            Fault::ColdStart { target } => {
                let suspects = Arc::new(self.suspects.snapshot());
                self.host_mut(first(target)).restart(&suspects, now);
                self.disconnect(first(target));
                self.queue
                    .schedule(now + INCARNATION_DELAY, Event::ViewUpdate);
            }
            Fault::CrashCall => {
                let node = self.live_node(0);
                self.add_call(CallKind::Crashing, 0, node, CRASH_IDENTITY);
            }
            Fault::Restarted { target } => self.first(target).start_cold(now),
            Fault::LoseDataCentre { data_centre } => self.lose_data_centre(data_centre),
            Fault::RestoreDataCentre { data_centre } => self.restore_data_centre(data_centre),
        }
    }

    fn first(&mut self, target: usize) -> &mut crate::target::FakeTarget {
        &mut self.host_mut(first(target)).target
    }

    fn disconnect(&mut self, id: HostId) {
        for node in &mut self.nodes {
            node.connected[id.service][id.target] = false;
        }
    }

    /// The target's process dies with everything that it ran.
    pub(super) fn crash_target(&mut self, id: HostId) {
        self.tally.crashes += 1;
        let now = self.now.floor_millis();
        let host = self.host_mut(id);
        let lost = host.target.crash();
        let mut entries = Vec::new();
        if let Some(gate) = &mut host.gate {
            entries = gate.target_crashed(now).entries;
        }
        for index in lost {
            self.run_ended(index, RunEnd::Broken);
        }
        let fault = Fault::Restarted { target: id.target };
        let at = self.now + RESTART_TIME;
        self.queue.schedule(at, Event::Fault(fault));
        self.merge_suspects(&entries);
    }

    /// Suspicion reaches the other gates by control.
    pub(super) fn merge_suspects(&mut self, entries: &[SuspectEntry]) {
        let now = self.now.floor_millis();
        let mut changed = false;
        for entry in entries {
            changed |= self.suspects.merge(entry, now);
        }
        if changed {
            let at = self.now + SUSPECTS_DELAY;
            self.queue.schedule(at, Event::SuspectsUpdate);
        }
    }

    pub(super) fn update_suspects(&mut self) {
        let snapshot = Arc::new(self.suspects.snapshot());
        for service in &mut self.services {
            for host in &mut service.hosts {
                if let Some(gate) = &mut host.gate {
                    gate.update_suspects(Arc::clone(&snapshot));
                }
            }
        }
    }

    fn lose_data_centre(&mut self, data_centre: usize) {
        let now = self.now;
        self.lost_data_centres[data_centre] = Some(now);
        for service in &mut self.services {
            for host in &mut service.hosts {
                if host.data_centre == data_centre {
                    host.unreachable_since = Some(now);
                }
            }
        }
        self.fail_calls_at_lost_entries();
        self.break_attempts_at_lost_hosts();
        self.queue.schedule(now + DOUBTFUL_AFTER, Event::ViewUpdate);
    }

    /// Callers of the lost entries see their connections break.
    fn fail_calls_at_lost_entries(&mut self) {
        for index in 0..self.calls.len() {
            let index = crate::event::CallIndex(index);
            let call = self.call(index);
            let data_centre = self.nodes[call.node].data_centre;
            if !call.live || self.lost_data_centres[data_centre].is_none() {
                continue;
            }
            let refusal = Refusal::fixed(ResultCode::GateLost);
            self.finish_try(index, CallEnd::Failed(refusal));
        }
    }

    /// What is at a lost host ends there; its entries see it by keep-alive.
    fn break_attempts_at_lost_hosts(&mut self) {
        let at = self.now + KEEP_ALIVE_TIMEOUT;
        for index in 0..self.attempts.len() {
            let index = AttemptIndex(index);
            let attempt = self.attempt(index);
            let id = attempt.host;
            if attempt.stage == Stage::Ended || attempt.stage == Stage::Sent {
                continue;
            }
            if self.host(id).unreachable_since.is_none() {
                continue;
            }
            self.cancel_at_gate(index);
            if self.attempt(index).live {
                self.end_at(index, AttemptEnd::Broken, None, at);
            }
        }
        for service in 0..self.services.len() {
            for target in 0..self.services[service].hosts.len() {
                let id = HostId { service, target };
                if self.host(id).unreachable_since.is_some() {
                    self.disconnect(id);
                }
            }
        }
    }

    fn restore_data_centre(&mut self, data_centre: usize) {
        self.lost_data_centres[data_centre] = None;
        for service in &mut self.services {
            for host in &mut service.hosts {
                if host.data_centre == data_centre {
                    host.unreachable_since = None;
                }
            }
        }
        let at = self.now + RECOVERY_DELAY;
        self.queue.schedule(at, Event::ViewUpdate);
    }
}

const fn first(target: usize) -> HostId {
    HostId { service: 0, target }
}
