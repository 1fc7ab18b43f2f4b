//! Platform reads by the nodes on the rota.

use hornbeamhitch_wire::control::{DatagramBody, ListVersion};
use rand::RngExt;

use super::api::{ControlAction, PlatformRead};
use super::board::{Board, Controller, Input};
use super::status::PlatformState;
use crate::prelude::*;

/// How long the platform may delay the response to a read until something changes.
const WATCH_DURATION: Millis = Millis::from_secs(30);
/// A read that has not ended after this time has failed.
const READ_TIMEOUT: Millis = Millis::from_secs(40);
/// Backoff after a failed read. It doubles up to the limit, with jitter.
const INITIAL_BACKOFF: Millis = Millis(250);
const MAX_BACKOFF: Millis = Millis::from_secs(5);
/// Delay after a watch that ended at once, so that a platform which does not support
/// waiting is not polled without delay.
const PAUSE_AFTER_SHORT_WATCH: Millis = Millis::from_secs(1);
/// Consecutive failures after which other nodes should take over.
const FAILURES_UNTIL_FAILING: u32 = 2;
/// A platform is stale if it lacks a version that has been available locally for this long.
const STALE_AFTER: Millis = Millis::from_secs(10);
/// A node starts to read after it has been elected for this long plus a random delay of
/// up to the same length. At a cold start every node elects itself until it has received
/// heartbeats from the others.
const START_DELAY: Millis = Millis(1_500);
/// A reader stops after it has not been elected for this long.
const STOP_DELAY: Millis = Millis::from_secs(5);
/// A node that stopped reading drops the slices that it kept for other nodes after this
/// time.
const KEEP_WHOLE_DOCUMENTS_FOR: Millis = Millis::from_secs(30);
/// Interval between searches for unused slices.
const PRUNE_INTERVAL: Millis = Millis::from_secs(10);

/// Average number of bytes per second that reads may transfer.
///
/// The platform serves only complete values. With a change every 1.4 s, a reader that
/// fetched each version of a text of one megabyte would receive 0.7 MB/s. A delay in
/// proportion to the size costs little time: the delays are random, so the readers of all
/// data centres are soon out of phase, and the first one to read announces the version to
/// the others.
const READ_BYTES_PER_S: u64 = 24_000;
/// Longest mean of these delays. A single delay is at most one and a half times as long,
/// so a change is in force within 19 s even with a single reader.
const MAX_SIZE_PAUSE: Millis = Millis::from_secs(12);

/// Approximate length of one entry of the VM list in JSON.
const LISTED_VM_BYTES: usize = 150;

/// Version and completeness of the local copy of a watched document.
#[derive(Clone, Copy, Debug)]
struct LocalDocument {
    version: u64,
    whole: bool,
}

impl LocalDocument {
    fn of(board: &Board, read: PlatformRead) -> Self {
        let document = match read {
            PlatformRead::Text => &board.text,
            PlatformRead::Vms => &board.vms,
        };
        Self {
            version: document.version(),
            whole: document.is_whole(),
        }
    }
}

/// The state of the reads of one value.
#[derive(Debug, Default)]
struct Watch {
    /// The newest version that the platform has served to this node.
    platform_version: u64,
    /// The version above which the last read asked for changes.
    requested_after: u64,
    sent_at: Option<Millis>,
    next_at: Millis,
    failures: u32,
    /// The last observed local version.
    local_version: u64,
    /// Time since which this version has been available locally.
    local_since: Millis,
    /// The platform lacks a version that has long been available locally.
    is_behind: bool,
}

impl Watch {
    /// Resets the state. No read is in flight, because stopping cancels them all.
    fn restart(&mut self) {
        self.sent_at = None;
        self.platform_version = 0;
        self.failures = 0;
        self.next_at = Millis::ZERO;
        self.is_behind = false;
    }

    fn is_due(&self, now: Millis) -> bool {
        self.sent_at.is_none() && now >= self.next_at
    }

    fn note_local_version(&mut self, local: LocalDocument, now: Millis) {
        if local.version != self.local_version {
            self.local_version = local.version;
            self.local_since = now;
        }
        if self.platform_version >= local.version {
            self.is_behind = false;
        }
    }

    /// Returns whether the local version is so old that the platform should have served
    /// it by now.
    fn is_settled(&self, now: Millis) -> bool {
        now.since(self.local_since) > STALE_AFTER
    }

    /// Starts a read and returns the version above which to ask for changes.
    ///
    /// A version received from peers is not read again, unless it has been
    /// available for so long that a platform which lacks it must be stale.
    fn start(&mut self, local: LocalDocument, now: Millis) -> u64 {
        let trusts_peers = local.whole && !self.is_settled(now);
        self.requested_after = if trusts_peers {
            self.platform_version.max(local.version)
        } else {
            self.platform_version
        };
        self.sent_at = Some(now);
        self.requested_after
    }

    /// Records that a read returned a value. The next read waits for `pause`.
    fn note_value(&mut self, version: u64, pause: Millis, local: LocalDocument, now: Millis) {
        let is_new = version > self.platform_version;
        self.platform_version = self.platform_version.max(version);
        self.note_success(is_new, local, now);
        self.next_at = self.next_at.max(now + pause);
    }

    fn note_success(&mut self, is_new: bool, local: LocalDocument, now: Millis) {
        let sent_at = self.sent_at.take();
        self.failures = 0;
        self.note_local_version(local, now);
        let lacks_local =
            self.requested_after < local.version && self.platform_version < local.version;
        self.is_behind |= lacks_local && self.is_settled(now);
        let was_short = sent_at.is_some_and(|at| now.since(at) < PAUSE_AFTER_SHORT_WATCH);
        self.next_at = if was_short && !is_new {
            now + PAUSE_AFTER_SHORT_WATCH
        } else {
            now
        };
    }

    fn note_failure(&mut self, jitter: f64, now: Millis) {
        self.sent_at = None;
        let backoff = INITIAL_BACKOFF.0 << self.failures.min(8);
        let backoff = backoff.min(MAX_BACKOFF.0) as f64;
        self.next_at = now + Millis((backoff * jitter) as u64);
        self.failures = self.failures.saturating_add(1);
    }

    fn is_overdue(&self, now: Millis) -> bool {
        self.sent_at.is_some_and(|at| now.since(at) > READ_TIMEOUT)
    }
}

/// Controller of the rota and of platform reads.
#[derive(Debug, Default)]
pub(super) struct Reading {
    text: Watch,
    vms: Watch,
    /// Time since which the rota has demanded the opposite of what this node does.
    switch_pending_since: Option<Millis>,
    /// Time at which this node follows the rota.
    switch_at: Millis,
    stopped_at: Millis,
    pruned_at: Millis,
}

impl Reading {
    fn follow_rota(&mut self, board: &mut Board) {
        board.rota.trim(board.now);
        let may_read = board.joined && !board.takes_no_work();
        let elected = may_read && board.rota.elects_self(board.fails_to_read(), board.now);
        if elected == board.reading {
            self.switch_pending_since = None;
            return;
        }
        if self.switch_pending_since.is_none() {
            self.switch_pending_since = Some(board.now);
            self.switch_at = board.now + Self::delay(elected, board);
        }
        if board.now < self.switch_at {
            return;
        }
        self.switch_pending_since = None;
        board.reading = elected;
        if elected {
            self.text.restart();
            self.vms.restart();
        } else {
            // A watch would stay open on the platform, which counts it as a read, for
            // half a minute after it has become useless.
            board.outbox.push(ControlAction::CancelReads);
            self.stopped_at = board.now;
            board.platform = PlatformState::Unused;
        }
    }

    /// Returns how long an election result must be stable. A node without known peers
    /// does not wait.
    fn delay(elected: bool, board: &mut Board) -> Millis {
        if !elected {
            return STOP_DELAY;
        }
        if board.members.iter().next().is_none() {
            return Millis::ZERO;
        }
        let jitter = board.rng.random_range(0..=START_DELAY.0);
        START_DELAY + Millis(jitter)
    }

    fn read(&mut self, board: &mut Board) {
        let now = board.now;
        for watch in [&mut self.text, &mut self.vms] {
            if watch.is_overdue(now) {
                watch.note_failure(board.rng.random_range(0.5..=1.0), now);
            }
        }
        let text = LocalDocument::of(board, PlatformRead::Text);
        self.text.note_local_version(text, now);
        if self.text.is_due(now) {
            let after = self.text.start(text, now);
            board.read_text(ConfigVersion(after), WATCH_DURATION);
        }
        let vms = LocalDocument::of(board, PlatformRead::Vms);
        self.vms.note_local_version(vms, now);
        if self.vms.is_due(now) {
            let after = self.vms.start(vms, now);
            board.read_vms(None, ListVersion(after), WATCH_DURATION);
        }
    }

    fn update_platform_state(&mut self, board: &mut Board) {
        let failures = self.text.failures.max(self.vms.failures);
        board.platform = if failures >= FAILURES_UNTIL_FAILING {
            PlatformState::Failing
        } else if self.text.is_behind || self.vms.is_behind {
            PlatformState::Stale
        } else {
            PlatformState::Answering
        };
    }

    /// Drops the slices that a node off the rota does not need itself.
    fn prune(&mut self, board: &mut Board) {
        if board.now.since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = board.now;
        if board.reading
            || !board.joined
            || board.now.since(self.stopped_at) < KEEP_WHOLE_DOCUMENTS_FOR
        {
            return;
        }
        let wanted = board.wanted_text();
        board.text.retain(&wanted);
        let wanted = board.wanted_vms();
        board.vms.retain(&wanted);
    }

    fn watch(&mut self, read: PlatformRead) -> &mut Watch {
        match read {
            PlatformRead::Text => &mut self.text,
            PlatformRead::Vms => &mut self.vms,
        }
    }
}

fn size_pause(board: &mut Board, size_bytes: usize) -> Millis {
    let mean = Millis(size_bytes as u64 * 1_000 / READ_BYTES_PER_S).min(MAX_SIZE_PAUSE);
    let spread = board.rng.random_range(0..=mean.0);
    Millis(mean.0 / 2 + spread)
}

impl Controller for Reading {
    fn on_input(&mut self, input: &Input, board: &mut Board) {
        let now = board.now;
        match input {
            Input::Datagram(datagram) => {
                if datagram.from.data_centre != board.settings.data_centre {
                    return;
                }
                let DatagramBody::Heartbeat(heartbeat) = &datagram.body else {
                    return;
                };
                for note in &heartbeat.readers {
                    board.rota.merge(note, &board.settings.vm, now);
                }
            }
            Input::Answer { message, .. } => {
                if message.from.data_centre != board.settings.data_centre {
                    return;
                }
                for note in &message.readers {
                    board.rota.merge(note, &board.settings.vm, now);
                }
            }
            Input::Text {
                version,
                size_bytes,
                ..
            } => {
                let local = LocalDocument::of(board, PlatformRead::Text);
                let pause = size_pause(board, *size_bytes);
                self.text.note_value(version.0, pause, local, now);
            }
            Input::Vms {
                version,
                service: None,
                vms,
            } => {
                let local = LocalDocument::of(board, PlatformRead::Vms);
                let pause = size_pause(board, vms.len() * LISTED_VM_BYTES);
                self.vms.note_value(version.0, pause, local, now);
            }
            Input::Unchanged(read) => {
                let local = LocalDocument::of(board, *read);
                self.watch(*read).note_success(false, local, now);
            }
            Input::Failed(read) => {
                board.counters.platform_failures += 1;
                let jitter = board.rng.random_range(0.5..=1.0);
                self.watch(*read).note_failure(jitter, now);
            }
            _ => {}
        }
    }

    fn on_tick(&mut self, board: &mut Board) {
        self.follow_rota(board);
        if board.reading {
            self.update_platform_state(board);
        }
        self.prune(board);
    }

    fn on_settled(&mut self, board: &mut Board) {
        if board.reading {
            self.read(board);
        }
    }
}
