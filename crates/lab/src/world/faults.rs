//! Faults, and the propagation of news about them.

use std::sync::Arc;

use hornbeamhitch_core::gate::RunEnd;
use hornbeamhitch_core::suspects::SuspectEntry;

use super::World;
use super::call::{CallKind, Stage};
use super::tally::CallEnd;
use crate::event::{AttemptIndex, Event, HostId};
use crate::prelude::*;

/// Time until every entry knows that a gate is leaving.
const LEAVING_DELAY: Micros = Micros::from_millis(1_000);
/// Time until every entry knows of a new incarnation.
const INCARNATION_DELAY: Micros = Micros::from_millis(200);
/// Time after the last message at which control marks a peer of a small service as
/// doubtful.
const DOUBTFUL_AFTER: Micros = Micros::from_millis(6_000);
/// Time after which an unresponsive connection is broken. The daemon pings open
/// connections and waits this long for the answer.
const KEEP_ALIVE_TIMEOUT: Micros = Micros::from_millis(2_000);
/// Time until every entry knows that a peer is reachable again.
const RECOVERY_DELAY: Micros = Micros::from_millis(1_000);
/// Time until every gate knows a new suspect. Control sends suspects immediately, and
/// gates read a new snapshot within a tick.
const SUSPECTS_DELAY: Micros = Micros::from_millis(55);
/// Time that a crashed target needs to restart.
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

    /// Crashes the target's process and fails all its runs.
    pub(super) fn crash_target(&mut self, id: HostId) {
        self.tally.crashes += 1;
        let now = self.now.floor_millis();
        let host = self.host_mut(id);
        let failed = host.target.crash();
        let mut entries = Vec::new();
        if let Some(gate) = &mut host.gate {
            entries = gate.target_crashed(now).entries;
        }
        for index in failed {
            self.run_ended(index, RunEnd::Broken);
        }
        let fault = Fault::Restarted { target: id.target };
        let at = self.now + RESTART_TIME;
        self.queue.schedule(at, Event::Fault(fault));
        self.merge_suspects(&entries);
    }

    /// Merges suspects, and schedules the update of all gates if something changed.
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

    /// Fails the calls at lost entries, whose callers' connections break.
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

    /// Ends the attempts at lost hosts. Their entries notice it by the keep-alive
    /// timeout.
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
