//! Determines which calls may have caused a crash of the target.

use super::run::Run;
use super::{Gate, Phase};
use crate::prelude::*;
use crate::suspects::{NO_FINGERPRINT, SuspectEntry, SuspicionLevel};

/// How long a broken run counts as evidence of a crash that the driver has not
/// reported yet. The driver needs one refused connection to be sure.
const EVIDENCE_WINDOW: Millis = Millis(250);

/// The findings from a crash of the target, for the control thread, which sends
/// them to other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashReport {
    /// Number of calls that were in flight.
    pub in_flight: u32,
    /// New suspect entries for their fingerprints, to be merged and sent on.
    pub entries: Vec<SuspectEntry>,
}

/// A run whose connection broke.
#[derive(Clone, Copy, Debug)]
struct BrokenRun {
    fingerprint: u64,
    alone: bool,
    order: u64,
    at: Millis,
}

/// Recently broken runs, and a counter that orders starts and breaks.
#[derive(Debug, Default)]
pub(super) struct CrashEvidence {
    broken: Vec<BrokenRun>,
    order: u64,
}

impl CrashEvidence {
    /// Returns the sequence number of the next start or break.
    pub(super) const fn next_order(&mut self) -> u64 {
        self.order += 1;
        self.order
    }

    pub(super) fn note_broken(&mut self, run: &Run, now: Millis) {
        self.prune(now);
        if run.in_crash {
            return;
        }
        let order = self.next_order();
        self.broken.push(BrokenRun {
            fingerprint: run.fingerprint,
            alone: run.alone,
            order,
            at: now,
        });
    }

    fn prune(&mut self, now: Millis) {
        self.broken
            .retain(|broken| now.since(broken.at) < EVIDENCE_WINDOW);
    }
}

/// Calls in flight when the target crashed.
#[derive(Default)]
struct CrashedCalls {
    fingerprints: Vec<u64>,
    calls: u32,
}

impl CrashedCalls {
    fn add(&mut self, fingerprint: u64) {
        self.fingerprints.push(fingerprint);
        self.calls += 1;
    }
}

impl Gate {
    /// Reports that the target has crashed: its connections broke together, or
    /// a new connection was refused right after one broke. Call this once per
    /// crash, before or after the runs are finished as
    /// [`super::RunEnd::Broken`]. A second call for the same crash finds no
    /// further suspects.
    ///
    /// The calls in flight become suspects at this gate at once. The returned
    /// report is for the control thread, which distributes it. The target
    /// counts as cold from now on.
    pub fn target_crashed(&mut self, now: Millis) -> CrashReport {
        let now = self.advance(now);
        self.limit.restart_ramp();
        let mut crashed = self.in_flight_at_crash(now);
        crashed.fingerprints.sort_unstable();
        crashed.fingerprints.dedup();
        for fingerprint in &crashed.fingerprints {
            let fleet_mark = self.fleet_suspects.mark(*fingerprint);
            self.own_suspects.raise(*fingerprint, fleet_mark, now);
        }
        let alone = crashed.calls == 1;
        let entries = self
            .own_suspects
            .observe_crash(&crashed.fingerprints, alone, now);
        CrashReport {
            in_flight: crashed.calls,
            entries,
        }
    }

    /// Records a request as a suspect because an entry saw its earlier attempt
    /// break at another gate. Call this before [`Self::arrive`].
    ///
    /// If a request crashes its target, the entry retries it within
    /// milliseconds, before the report of the crash reaches the next gate, and
    /// the target there would crash as well, with every call running on it. As
    /// a suspect, the request runs alone, and its second crash convicts it. An
    /// innocent request waits for an idle moment, runs, and is cleared.
    pub fn report_suspect(&mut self, fingerprint: u64, now: Millis) -> Option<SuspectEntry> {
        let now = self.advance(now);
        if fingerprint == NO_FINGERPRINT
            || self.suspicion_level(fingerprint) != SuspicionLevel::Clear
        {
            return None;
        }
        let fleet_mark = self.fleet_suspects.mark(fingerprint);
        self.own_suspects.raise(fingerprint, fleet_mark, now);
        let entries = self.own_suspects.observe_crash(&[fingerprint], false, now);
        entries.into_iter().next()
    }

    /// Returns the requests that were cleared since the last call because they
    /// ran alone without a crash. The control thread sends them to other nodes.
    #[must_use]
    pub fn take_cleared(&mut self) -> Vec<SuspectEntry> {
        std::mem::take(&mut self.cleared)
    }

    pub(super) fn clear_suspect(&mut self, fingerprint: u64, now: Millis) {
        let fleet_mark = self.fleet_suspects.mark(fingerprint);
        self.own_suspects.raise(fingerprint, fleet_mark, now);
        if let Some(entry) = self.own_suspects.clear(fingerprint, now) {
            self.cleared.push(entry);
        }
    }

    /// Removes and returns the calls that may have caused the crash.
    ///
    /// A call started after the last break reached a target that had already
    /// crashed. Without this rule, a call started between the break of a
    /// suspect that ran alone and the report of the crash would be suspected as
    /// well, and the suspect would never be convicted.
    fn in_flight_at_crash(&mut self, now: Millis) -> CrashedCalls {
        self.crash_evidence.prune(now);
        let broken = std::mem::take(&mut self.crash_evidence.broken);
        let last_break = broken.last().map_or(u64::MAX, |broken| broken.order);
        let mut crashed = CrashedCalls::default();
        for run in self.runs.values_mut() {
            if run.phase != Phase::Running || run.in_crash {
                continue;
            }
            run.in_crash = true;
            if run.started < last_break {
                crashed.add(run.fingerprint);
            }
        }
        if let Some(culprit) = broken.iter().find(|broken| broken.alone) {
            crashed = CrashedCalls::default();
            crashed.add(culprit.fingerprint);
            return crashed;
        }
        for broken in &broken {
            crashed.add(broken.fingerprint);
        }
        crashed
    }
}
