//! Counts of reads: in total and a second, by endpoint and by client.

use std::collections::{BTreeMap, VecDeque};

use strum::{Display, IntoStaticStr};

use crate::prelude::*;

use super::MAX_READS_PER_S;

const WINDOW: Millis = Millis::from_secs(1);
const MAX_WINDOW_ENTRIES: usize = 100_000;
const MAX_CLIENTS: usize = 20_000;

/// Kinds of reads.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Endpoint {
    /// The text, at once.
    Text,
    /// The text, once it changes.
    TextWatch,
    /// The VM list, at once.
    Vms,
    /// The VM list, once it changes.
    VmsWatch,
    /// Anything else below `/v1/`.
    Other,
}

/// Reads of one kind or of one client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadCount {
    /// Since the counts were reset.
    pub total: u64,
    /// The most within any one second.
    pub max_per_s: u64,
}

/// All counts. A waiting watch is one read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Over all readers and kinds, refused ones included.
    pub all: ReadCount,
    /// Reads answered 429.
    pub refused: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// By kind.
    pub by_endpoint: BTreeMap<Endpoint, ReadCount>,
    /// By client connection (address and port), at most 20,000 of them.
    pub by_client: BTreeMap<SocketAddr, ReadCount>,
}

/// Counts reads and says which are over the limit.
pub(crate) struct Counter {
    clock: ProcessClock,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    all: Window,
    served: Window,
    refused: u64,
    waiting: u64,
    by_endpoint: BTreeMap<Endpoint, Window>,
    by_client: BTreeMap<SocketAddr, Window>,
}

impl Counter {
    pub(crate) fn new(clock: ProcessClock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
        }
    }

    /// Counts a read; false when it is over the limit.
    pub(crate) fn admit(&self, endpoint: Endpoint, client: SocketAddr) -> bool {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.all.add(now);
        state.by_endpoint.entry(endpoint).or_default().add(now);
        if state.by_client.len() < MAX_CLIENTS || state.by_client.contains_key(&client) {
            state.by_client.entry(client).or_default().add(now);
        }
        if state.served.within(now) >= MAX_READS_PER_S {
            state.refused += 1;
            return false;
        }
        state.served.add(now);
        true
    }

    /// Counts a watch as waiting until the guard is dropped.
    pub(crate) fn begin_wait(&self) -> WaitGuard<'_> {
        self.state.lock().waiting += 1;
        WaitGuard { counter: self }
    }

    pub(crate) fn counts(&self) -> Counts {
        let state = self.state.lock();
        let mut counts = Counts {
            all: state.all.count(),
            refused: state.refused,
            waiting: state.waiting,
            ..Counts::default()
        };
        for (endpoint, window) in &state.by_endpoint {
            counts.by_endpoint.insert(*endpoint, window.count());
        }
        for (client, window) in &state.by_client {
            counts.by_client.insert(*client, window.count());
        }
        counts
    }

    pub(crate) fn reset(&self) {
        let mut state = self.state.lock();
        *state = State {
            waiting: state.waiting,
            ..State::default()
        };
    }
}

/// Ends a wait also when the watching client goes away.
pub(crate) struct WaitGuard<'a> {
    counter: &'a Counter,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.counter.state.lock().waiting -= 1;
    }
}

/// Reads of the last second, and the most there ever were.
#[derive(Default)]
struct Window {
    total: u64,
    max: usize,
    times: VecDeque<Millis>,
}

impl Window {
    fn add(&mut self, now: Millis) {
        self.remove_old(now);
        self.total += 1;
        if self.times.len() < MAX_WINDOW_ENTRIES {
            self.times.push_back(now);
        }
        self.max = self.max.max(self.times.len());
    }

    fn within(&mut self, now: Millis) -> usize {
        self.remove_old(now);
        self.times.len()
    }

    fn remove_old(&mut self, now: Millis) {
        while let Some(oldest) = self.times.front() {
            if now.since(*oldest) < WINDOW {
                return;
            }
            self.times.pop_front();
        }
    }

    fn count(&self) -> ReadCount {
        ReadCount {
            total: self.total,
            max_per_s: u64::try_from(self.max).unwrap_or(u64::MAX),
        }
    }
}
