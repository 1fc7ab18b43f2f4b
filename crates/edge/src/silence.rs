//! The silent VMs that this node knows of, shared by its gate, its entry and their links.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use hornbeamhitch_dispatch::faults::silence::{ReportCursor, SilentVms};
use hornbeamhitch_types::load::SilenceReport;
use parking_lot::{Mutex, MutexGuard};

use crate::prelude::*;

/// When the last frame of a VM's gate arrived.
#[derive(Debug, Default)]
pub(crate) struct LastFrame(AtomicU64);

impl LastFrame {
    /// Returns the time of the last frame, or `None` before the first one.
    pub(crate) fn at(&self) -> Option<Millis> {
        match self.0.load(Ordering::Acquire) {
            0 => None,
            at_ms => Some(Millis(at_ms)),
        }
    }

    fn set(&self, now: Millis) {
        // Zero stands for "never"; the first millisecond of a process counts as the second.
        self.0.store(now.0.max(1), Ordering::Release);
    }
}

/// Records which VMs are silent, and logs when one becomes silent or responds again.
#[derive(Debug)]
pub struct Silence {
    clock: ProcessClock,
    is_enabled: AtomicBool,
    /// Whether `known` contains an observation. It is read for each frame, without a lock.
    has_observations: AtomicBool,
    known: Mutex<SilentVms>,
    last_frames: Mutex<HashMap<IpAddr, Arc<LastFrame>>>,
}

impl Silence {
    /// Creates the state of the node on this VM, which knows of no silent VM.
    pub(crate) fn new(clock: ProcessClock, own_vm: IpAddr) -> Self {
        Self {
            clock,
            is_enabled: AtomicBool::new(true),
            has_observations: AtomicBool::new(false),
            known: Mutex::new(SilentVms::new(own_vm)),
            last_frames: Mutex::default(),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether attempts must be confirmed in time.
    pub(crate) fn is_enabled(&self) -> bool {
        self.is_enabled.load(Ordering::Relaxed)
    }

    /// Switches the confirmation of attempts on or off. Switching it off discards all
    /// observations.
    pub(crate) fn set_enabled(&self, is_enabled: bool) {
        self.is_enabled.store(is_enabled, Ordering::Relaxed);
        if !is_enabled {
            let mut known = self.known.lock();
            known.clear();
            self.update_flag(&known);
        }
    }

    /// Returns the observations, or `None` if there are none.
    pub(crate) fn known(&self) -> Option<MutexGuard<'_, SilentVms>> {
        match self.has_observations.load(Ordering::Acquire) {
            true => Some(self.known.lock()),
            false => None,
        }
    }

    /// Returns the record of the last frame of a VM's gate.
    pub(crate) fn last_frame_of(&self, vm: IpAddr) -> Arc<LastFrame> {
        Arc::clone(self.last_frames.lock().entry(vm).or_default())
    }

    /// Records a frame of a VM's gate.
    pub(crate) fn note_frame(&self, vm: IpAddr, last_frame: &LastFrame) {
        last_frame.set(self.clock.now());
        let Some(mut known) = self.known() else {
            return;
        };
        let was_silent = known.note_received(vm);
        self.update_flag(&known);
        drop(known);
        if was_silent {
            log::info!(vm:% = vm; "a silent VM responds again");
        }
    }

    /// Records that a VM is silent, unless a frame of it has arrived since this time.
    /// Returns whether it is silent.
    pub(crate) fn observe(&self, vm: IpAddr, last_frame: &LastFrame, since: Millis) -> bool {
        if !self.is_enabled() || last_frame.at().is_some_and(|at| at >= since) {
            return false;
        }
        let now = self.clock.now();
        let mut known = self.known.lock();
        // A frame may have arrived since the first look.
        if last_frame.at().is_some_and(|at| at >= since) {
            return false;
        }
        let is_new = known.note_silent(vm, now);
        self.update_flag(&known);
        drop(known);
        if is_new {
            let waited_ms = now.since(since).0;
            log::warn!(vm:% = vm, waited_ms; "a VM is silent");
        }
        true
    }

    /// Adds what another node reports.
    pub(crate) fn merge(&self, report: &SilenceReport) {
        if !self.is_enabled() {
            return;
        }
        let last_frames = self.last_frames.lock();
        let received_at = |vm: IpAddr| last_frames.get(&vm).and_then(|frame| frame.at());
        let mut known = self.known.lock();
        let demoted = known.merge(report, received_at, self.clock.now());
        self.update_flag(&known);
        drop(known);
        drop(last_frames);
        for vm in demoted {
            log::warn!(vm:% = vm; "a VM is silent by the reports of other nodes");
        }
    }

    /// Sends the observations that were not sent on a link yet, if a report is due there.
    pub(crate) fn report(&self, cursor: &Mutex<ReportCursor>, send: impl FnOnce(SilenceReport)) {
        let Some(known) = self.known() else {
            return;
        };
        let report = known.report(&mut cursor.lock(), self.clock.now());
        drop(known);
        if let Some(report) = report {
            send(report);
        }
    }

    /// Discards expired observations and returns the number of silent VMs.
    pub(crate) fn count(&self) -> usize {
        let Some(mut known) = self.known() else {
            return 0;
        };
        let now = self.clock.now();
        known.forget_expired(now);
        self.update_flag(&known);
        known.count(now)
    }

    /// Drops the records of VMs for which `is_listed` returns false.
    pub(crate) fn retain(&self, is_listed: impl Fn(&IpAddr) -> bool) {
        self.last_frames.lock().retain(|vm, _| is_listed(vm));
    }

    /// Must be called with the lock on `known` held after each change.
    fn update_flag(&self, known: &SilentVms) {
        self.has_observations
            .store(!known.is_empty(), Ordering::Release);
    }
}
