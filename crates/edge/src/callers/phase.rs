//! What a connection of a caller does at the moment.

use hornbeamhitch_dispatch::resources::peers::Activity;
use parking_lot::Mutex;

use crate::resources::Registration;

/// The progress of a connection, which its reading and its writing side share.
#[derive(Debug)]
pub(super) struct ConnectionPhase {
    registration: Registration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of requests that were read and not answered yet.
    unanswered: usize,
    /// Whether a part of a request has arrived.
    is_receiving: bool,
    /// Whether an answer is being written.
    is_writing: bool,
}

impl State {
    /// What the connection does. An answer that the caller must read first counts more than
    /// what it sends meanwhile.
    const fn activity(&self) -> Activity {
        if self.is_writing {
            Activity::Reading
        } else if self.unanswered > 0 {
            Activity::Served
        } else if self.is_receiving {
            Activity::Sending
        } else {
            Activity::Idle
        }
    }
}

impl ConnectionPhase {
    /// A connection on which nothing has arrived.
    pub(super) fn new(registration: Registration) -> Self {
        Self {
            registration,
            state: Mutex::default(),
        }
    }

    /// The registration of the connection.
    pub(super) const fn registration(&self) -> &Registration {
        &self.registration
    }

    /// Whether all requests that were read have been answered.
    pub(super) fn is_answered(&self) -> bool {
        self.state.lock().unanswered == 0
    }

    /// Records that the first byte of a request has arrived.
    pub(super) fn begin_request(&self) {
        self.change(|state| state.is_receiving = true);
    }

    /// Records that a request was read whole, or is answered without that.
    pub(super) fn end_request(&self) {
        self.change(|state| {
            state.is_receiving = false;
            state.unanswered += 1;
        });
    }

    /// Records that the first byte of an answer is written next.
    pub(super) fn begin_answer(&self) {
        self.change(|state| {
            state.unanswered -= 1;
            state.is_writing = true;
        });
    }

    /// Records that the caller has taken the whole answer.
    pub(super) fn end_answer(&self) {
        self.change(|state| state.is_writing = false);
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.state.lock();
        let before = state.activity();
        change(&mut state);
        let after = state.activity();
        if after != before {
            self.registration.set_activity(after);
        }
    }
}
