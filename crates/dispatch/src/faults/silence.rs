//! Silent VMs: those from which nothing is received in time, as this node and others observe.
//!
//! An attempt that its gate does not confirm within [`confirmation_timeout_ms`] is withdrawn,
//! or another target is tried beside it if its content was sent.
//! If no frame at all arrived on the link since the attempt, its VM is silent for this node
//! until the next frame. Nodes report such observations to each other, so that a VM that two
//! of them found silent is tried last by the others.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use hornbeamhitch_types::load::{SilenceReport, SilentVm};

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Round trips within which a gate confirms an attempt: one for the attempt and its
/// confirmation, and two for a lost packet that TCP sends again early.
const CONFIRMATION_ROUND_TRIPS: u64 = 3;
/// Time added to the round trips: a gate confirms after 20 ms what it has not decided, and
/// its process may have to wait for its share of a core.
const CONFIRMATION_MARGIN_MS: u64 = 60;
/// Bounds of the confirmation timeout.
const MIN_CONFIRMATION_MS: u64 = 80;
const MAX_CONFIRMATION_MS: u64 = 150;
/// Delay of a timer from which this process itself counts as paused, and the time within
/// which it then reads what arrived during the pause.
const LATE_TIMER_MS: Millis = Millis(20);
/// Time for which an observation counts.
const OBSERVATION_LIFETIME_MS: Millis = Millis(1_500);
/// Minimum time between two observations of one VM by one node that count as different.
///
/// The age of a report is the sender's, so that each transfer makes an observation look
/// younger by its delay. Without this distance, two nodes would return an observation to
/// each other for ever.
const RENEWAL_MS: Millis = Millis(400);
/// Number of distinct observers that demote a VM.
const MIN_OBSERVERS: usize = 2;
/// Maximum number of other observers that are kept for each VM.
const MAX_OBSERVERS: usize = 3;
/// Maximum number of VMs of which reports are kept.
const MAX_REPORTED_VMS: usize = 64;
/// Maximum length of a report.
const MAX_REPORT_LENGTH: usize = 16;
/// Minimum time between two reports on one link.
const REPORT_INTERVAL_MS: Millis = Millis(50);
/// At most one in this many targets of a service is demoted, so that a faulty observer
/// cannot leave a service without targets.
const MAX_DEMOTED_ONE_IN: usize = 3;

/// Returns the time within which a gate must confirm an attempt over a link with this round
/// trip.
#[must_use]
pub fn confirmation_timeout_ms(round_trip_us: Option<u64>) -> Millis {
    let Some(round_trip_us) = round_trip_us else {
        return Millis(MAX_CONFIRMATION_MS);
    };
    let round_trips_us = round_trip_us.saturating_mul(CONFIRMATION_ROUND_TRIPS);
    let timeout_ms = round_trips_us.div_ceil(1_000) + CONFIRMATION_MARGIN_MS;
    Millis(timeout_ms.clamp(MIN_CONFIRMATION_MS, MAX_CONFIRMATION_MS))
}

/// The time until which an attempt must be confirmed.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    due_at: Millis,
    is_extended: bool,
}

impl Confirmation {
    /// Expects the confirmation of an attempt that starts now.
    #[must_use]
    pub fn expect(timeout_ms: Millis, now: Millis) -> Self {
        Self {
            due_at: now + timeout_ms,
            is_extended: false,
        }
    }

    /// Returns when the attempt is due to be confirmed.
    #[must_use]
    pub const fn due_at(&self) -> Millis {
        self.due_at
    }

    /// Returns whether the confirmation is overdue.
    ///
    /// A timer that fires late shows that this process was paused. What the gate sent in the
    /// meantime is then still to be read, so the time is extended once.
    pub fn is_overdue(&mut self, now: Millis) -> bool {
        if now < self.due_at {
            return false;
        }
        if self.is_extended || now.since(self.due_at) < LATE_TIMER_MS {
            return true;
        }
        self.is_extended = true;
        self.due_at = now + LATE_TIMER_MS;
        false
    }
}

/// The observations that were sent on one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportCursor {
    revision: u64,
    sent_at: Option<Millis>,
}

/// An observation of one node.
#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Millis,
    /// Position among the observations in the order in which this node learnt them.
    revision: u64,
}

impl Observation {
    fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.at) < OBSERVATION_LIFETIME_MS
    }
}

/// What is known of one VM, by observer. This node is one of the observers.
#[derive(Debug, Default)]
struct VmRecord {
    by_observer: BTreeMap<IpAddr, Observation>,
}

/// The silent VMs that a node knows of.
#[derive(Debug)]
pub struct SilentVms {
    own_vm: IpAddr,
    vms: BTreeMap<IpAddr, VmRecord>,
    last_revision: u64,
}

impl SilentVms {
    /// Creates the state of the node on this VM, which knows of no silent VM.
    #[must_use]
    pub const fn new(own_vm: IpAddr) -> Self {
        Self {
            own_vm,
            vms: BTreeMap::new(),
            last_revision: 0,
        }
    }

    /// Records that nothing was received here from a VM in time. Returns whether the VM was
    /// not silent before.
    pub fn note_silent(&mut self, vm: IpAddr, now: Millis) -> bool {
        let was_silent = self.is_silent(vm, now);
        self.note(vm, self.own_vm, now);
        !was_silent
    }

    /// Records that something was received here from a VM. Returns whether the VM was silent
    /// for this node.
    pub fn note_received(&mut self, vm: IpAddr) -> bool {
        let record = self.vms.remove(&vm);
        record.is_some_and(|record| record.by_observer.contains_key(&self.own_vm))
    }

    /// Adds what another node reports, without what is contradicted by a later receipt here.
    /// Returns the VMs that are demoted from now on.
    pub fn merge(
        &mut self,
        report: &SilenceReport,
        received_at: impl Fn(IpAddr) -> Option<Millis>,
        now: Millis,
    ) -> Vec<IpAddr> {
        let mut demoted = Vec::new();
        self.forget_expired(now);
        for &SilentVm {
            vm,
            observer,
            age_ms,
        } in report.vms.iter().take(MAX_REPORT_LENGTH)
        {
            let is_about_this_node = vm == self.own_vm || observer == self.own_vm;
            if is_about_this_node || vm == observer || age_ms >= OBSERVATION_LIFETIME_MS {
                continue;
            }
            let observed_at = now.minus(age_ms);
            if received_at(vm).is_some_and(|at| at >= observed_at) {
                continue;
            }
            if !self.has_space_for(vm, observer) {
                continue;
            }
            let was_reported = self.is_reported(vm, now);
            self.note(vm, observer, observed_at);
            if !was_reported && self.is_reported(vm, now) {
                demoted.push(vm);
            }
        }
        demoted
    }

    /// Whether an observation may be added without exceeding the limits.
    fn has_space_for(&self, vm: IpAddr, observer: IpAddr) -> bool {
        let Some(record) = self.vms.get(&vm) else {
            return self.vms.len() < MAX_REPORTED_VMS;
        };
        record.by_observer.contains_key(&observer) || self.others(record) < MAX_OBSERVERS
    }

    fn others(&self, record: &VmRecord) -> usize {
        let own = record.by_observer.contains_key(&self.own_vm);
        record.by_observer.len() - usize::from(own)
    }

    fn note(&mut self, vm: IpAddr, observer: IpAddr, at: Millis) {
        let record = self.vms.entry(vm).or_default();
        let known = record.by_observer.get(&observer);
        if known.is_some_and(|known| at.since(known.at) < RENEWAL_MS) {
            return;
        }
        self.last_revision += 1;
        let revision = self.last_revision;
        record
            .by_observer
            .insert(observer, Observation { at, revision });
    }

    /// Returns whether a VM is silent by this node's own observation.
    #[must_use]
    pub fn is_silent(&self, vm: IpAddr, now: Millis) -> bool {
        let own = self
            .vms
            .get(&vm)
            .and_then(|record| record.by_observer.get(&self.own_vm));
        own.is_some_and(|own| own.is_fresh(now))
    }

    /// Returns whether enough other nodes have reported a VM.
    #[must_use]
    pub fn is_reported(&self, vm: IpAddr, now: Millis) -> bool {
        self.observers(vm, now) >= MIN_OBSERVERS
    }

    /// Returns how many other nodes have observed that the VM is silent.
    fn observers(&self, vm: IpAddr, now: Millis) -> usize {
        let Some(record) = self.vms.get(&vm) else {
            return 0;
        };
        let others = record.by_observer.iter().filter(|(observer, observation)| {
            **observer != self.own_vm && observation.is_fresh(now)
        });
        others.count()
    }

    /// Returns the targets that are tried last because others reported their VMs: at most a
    /// third of all, those with the most observers first.
    #[must_use]
    pub fn demoted<'a>(&self, targets: &'a [Arc<Member>], now: Millis) -> Vec<&'a TargetId> {
        let mut reported = Vec::new();
        for target in targets {
            let observers = self.observers(target.vm_ip(), now);
            if observers >= MIN_OBSERVERS {
                reported.push((Reverse(observers), &target.id));
            }
        }
        reported.sort_unstable();
        reported.truncate(targets.len() / MAX_DEMOTED_ONE_IN);
        reported.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the observations that were not sent on a link yet, if a report is due there.
    pub fn report(&self, cursor: &mut ReportCursor, now: Millis) -> Option<SilenceReport> {
        if cursor.revision == self.last_revision {
            return None;
        }
        let is_early = |at: Millis| now.since(at) < REPORT_INTERVAL_MS;
        if cursor.sent_at.is_some_and(is_early) {
            return None;
        }
        let mut unsent = Vec::new();
        for (vm, record) in &self.vms {
            for (observer, observation) in &record.by_observer {
                if observation.revision <= cursor.revision || !observation.is_fresh(now) {
                    continue;
                }
                let silent = SilentVm {
                    vm: *vm,
                    observer: *observer,
                    age_ms: now.since(observation.at),
                };
                unsent.push((observation.revision, silent));
            }
        }
        unsent.sort_unstable_by_key(|(revision, _)| *revision);
        cursor.revision = match unsent.len() > MAX_REPORT_LENGTH {
            true => unsent[MAX_REPORT_LENGTH - 1].0,
            false => self.last_revision,
        };
        unsent.truncate(MAX_REPORT_LENGTH);
        if unsent.is_empty() {
            return None;
        }
        cursor.sent_at = Some(now);
        let vms = unsent.into_iter().map(|(_, silent)| silent).collect();
        Some(SilenceReport { vms })
    }

    /// Returns how many VMs are silent by own observation or by the reports of others.
    #[must_use]
    pub fn count(&self, now: Millis) -> usize {
        let is_silent = |vm: &&IpAddr| self.is_silent(**vm, now) || self.is_reported(**vm, now);
        self.vms.keys().filter(is_silent).count()
    }

    /// Returns whether no observation is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Discards observations that no longer count.
    pub fn forget_expired(&mut self, now: Millis) {
        self.vms.retain(|_, record| {
            record
                .by_observer
                .retain(|_, observation| observation.is_fresh(now));
            !record.by_observer.is_empty()
        });
    }

    /// Discards all observations.
    pub fn clear(&mut self) {
        self.vms.clear();
    }
}
