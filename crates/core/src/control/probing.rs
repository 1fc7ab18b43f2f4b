//! Probes of gates, within the probe budget of the configuration text.
//!
//! A probe is sent only for a target to which this node may soon send calls and about
//! which it has no recent information. It goes to the gate, which knows the exact load of
//! its target. The target itself is never probed.

use std::collections::BTreeMap;

use hornbeamhitch_wire::control::DatagramBody;
use rand::RngExt;

use super::board::{Board, Controller, Input};
use crate::budget::TokenBucket;
use crate::prelude::*;

/// A service is in use if the last call to it is at most this old.
const IN_USE_FOR: Millis = Millis::from_secs(10);
/// Information older than this is not recent.
const RECENT_WITHIN: Millis = Millis::from_secs(3);
/// Minimum time between two probes of the same gate.
const MIN_PROBE_INTERVAL: Millis = Millis::from_secs(3);
/// Interval between searches for gates to probe.
const CHECK_INTERVAL: Millis = Millis(200);
/// Rate and burst of answered probes per second.
const REPLIES_PER_S: f64 = 50.0;
const REPLY_BURST: u32 = 100;

/// A service to which this node sends calls.
#[derive(Debug)]
struct UsedService {
    used_at: Millis,
    budget: Option<TokenBucket>,
}

/// Controller that sends and answers probes.
#[derive(Debug)]
pub(super) struct Probing {
    used_services: BTreeMap<ServiceName, UsedService>,
    checked_at: Millis,
    reply_budget: TokenBucket,
}

impl Probing {
    /// Creates the controller before any call.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            used_services: BTreeMap::new(),
            checked_at: Millis::ZERO,
            reply_budget: TokenBucket::new(REPLIES_PER_S, REPLY_BURST, now),
        }
    }

    fn note_use(&mut self, service: &ServiceName, now: Millis) {
        if let Some(known) = self.used_services.get_mut(service) {
            known.used_at = now;
            return;
        }
        let known = UsedService {
            used_at: now,
            budget: None,
        };
        self.used_services.insert(service.clone(), known);
    }

    /// Drops services that are no longer tracked. Idle services keep their budget, so
    /// that calls which stop and start again never refill it.
    fn forget_untracked(&mut self, board: &Board) {
        let tracked = board.tracked_services();
        self.used_services
            .retain(|service, _| tracked.contains(service));
    }

    fn probe_service(known: &mut UsedService, board: &mut Board, service: &ServiceName) {
        let Some(policy) = board.config.policy(service) else {
            return;
        };
        let now = board.now;
        let rate = policy.budgets.probes_per_s;
        let burst = policy.budgets.probe_burst;
        let budget = known
            .budget
            .get_or_insert_with(|| TokenBucket::new(rate, burst, now));
        budget.set_rate(rate, burst, now);
        if now.since(known.used_at) > IN_USE_FOR {
            return;
        }
        for vm in targets_to_probe(board, service) {
            if !budget.try_take(now) {
                board.counters.probes_withheld += 1;
                return;
            }
            send_probe(board, service, &vm);
        }
    }

    fn answer(&mut self, input: &Input, board: &mut Board) {
        let Input::Datagram(datagram) = input else {
            return;
        };
        let DatagramBody::Probe { nonce } = datagram.body else {
            return;
        };
        if !self.reply_budget.try_take(board.now) {
            return;
        }
        board.counters.probes_answered += 1;
        let body = DatagramBody::ProbeReply { nonce };
        board.send(datagram.from.control, body);
    }
}

/// Returns the targets without recent information, the longest silent first.
fn targets_to_probe(board: &Board, service: &ServiceName) -> Vec<VmId> {
    let now = board.now;
    let mut found = Vec::new();
    for member in board.members.reachable() {
        if member.service != *service || member.leaving() || member.is_fresh(now, RECENT_WITHIN) {
            continue;
        }
        if member
            .probed_at
            .is_some_and(|at| now.since(at) < MIN_PROBE_INTERVAL)
        {
            continue;
        }
        found.push((
            member.last_statement_at.max(member.probed_at),
            member.vm.clone(),
        ));
    }
    found.sort();
    found.into_iter().map(|(_, vm)| vm).collect()
}

fn send_probe(board: &mut Board, service: &ServiceName, vm: &VmId) {
    let now = board.now;
    let nonce = board.rng.random();
    let Some(member) = board.members.get_mut(vm) else {
        return;
    };
    member.probed_at = Some(now);
    let control = member.control;
    board.counters.probes_sent += 1;
    *board.probes_sent.entry(service.clone()).or_default() += 1;
    board.send(control, DatagramBody::Probe { nonce });
}

impl Controller for Probing {
    fn on_input(&mut self, input: &Input, board: &mut Board) {
        match input {
            Input::SentTo(service) => self.note_use(service, board.now),
            _ => self.answer(input, board),
        }
    }

    fn on_tick(&mut self, board: &mut Board) {
        if board.now.since(self.checked_at) < CHECK_INTERVAL {
            return;
        }
        self.checked_at = board.now;
        self.forget_untracked(board);
        for (service, known) in &mut self.used_services {
            Self::probe_service(known, board, service);
        }
    }
}
