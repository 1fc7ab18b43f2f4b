//! Read counters, in total and per second, by endpoint and by client.

use std::collections::{BTreeMap, VecDeque};

use strum::{Display, IntoStaticStr};

use crate::prelude::*;

use super::MAX_READS_PER_S;

const WINDOW: Millis = Millis::from_secs(1);
const MAX_WINDOW_ENTRIES: usize = 100_000;
const MAX_CLIENTS: usize = 20_000;

/// Kind of read.
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
    /// Read of the configuration text.
    Text,
    /// Watch for a change of the configuration text.
    TextWatch,
    /// Read of the VM list.
    Vms,
    /// Watch for a change of the VM list.
    VmsWatch,
    /// Any other path outside `/admin/`.
    Other,
}

/// Number of reads of one kind or of one client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadCount {
    /// Reads since the last reset.
    pub total: u64,
    /// Highest number of reads within one second.
    pub max_per_s: u64,
}

/// All read counters. A watch counts as one read, however long it waits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of all clients and kinds, including refused ones.
    pub all: ReadCount,
    /// Reads answered with 429.
    pub refused: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
    /// Reads by kind.
    pub by_endpoint: BTreeMap<Endpoint, ReadCount>,
    /// Reads by client connection (address and port), for at most 20,000 clients.
    pub by_client: BTreeMap<SocketAddr, ReadCount>,
}

/// Counts reads and rejects those over the limit.
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

    /// Counts a read and returns whether it is within the limit.
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

    /// Counts a watch as waiting until the returned guard is dropped.
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

/// Guard of a waiting watch. It also ends the wait when the client disconnects.
pub(crate) struct WaitGuard<'a> {
    counter: &'a Counter,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.counter.state.lock().waiting -= 1;
    }
}

/// Times of the reads in the last second, and the highest number of them.
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
