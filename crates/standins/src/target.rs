//! The stand-in for a target: an HTTP/1.1 server with a limited number of slots,
//! a configurable behaviour and a journal of its runs.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

use crate::http_client::{HttpClient, HttpVersion};
use crate::http_server::{HttpServer, ServerControl, control_channel};
use crate::prelude::*;

pub mod admin;
pub mod behaviour;
pub mod config;
pub mod cut;
pub mod echo;
pub mod headers;
pub mod hints;
pub mod journal;
pub mod service_time;
pub mod slots;

mod calls;
mod downstream;
mod stall;

pub use behaviour::{Behaviour, HealthReport, RandomStalls};
pub use config::TargetConfig;
pub use cut::Cut;
pub use hints::Load;
pub use journal::{RequestMarks, RunEnd, RunRecord};
pub use service_time::ServiceTime;
pub use slots::Overflow;

use hints::Hints;
use journal::Journal;
use service_time::Sampler;
use slots::Slots;
use stall::Stalls;

/// The newest run contributes one part in this many to the smoothed service time.
const SMOOTHING: u32 = 8;

/// Counters of a target since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Number of requests to `/.health`.
    pub health_probes: u64,
    /// Number of requests to `/.load`.
    pub load_probes: u64,
    /// Calls, that is, all other requests outside `/admin/`.
    pub calls: u64,
    /// Calls rejected with `hitch-not-run`.
    pub shed: u64,
    /// Calls whose client disconnected before a slot was free.
    pub cancelled_in_queue: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// Number of stalls.
    pub stalls: u64,
    /// Answers cut on request.
    pub cut: u64,
    /// Highest number of concurrent runs.
    pub max_in_flight: u32,
    /// Runs that were not recorded because the journal was full.
    pub runs_forgotten: u64,
}

#[derive(Default)]
struct Counters {
    health_probes: AtomicU64,
    load_probes: AtomicU64,
    calls: AtomicU64,
    shed: AtomicU64,
    crashes: AtomicU64,
    cut: AtomicU64,
}

struct PendingCuts {
    cut: Cut,
    left: u32,
}

pub(crate) struct Shared {
    config: TargetConfig,
    behaviour: Mutex<Behaviour>,
    node: Mutex<Option<SocketAddr>>,
    pending_cuts: Mutex<Option<PendingCuts>>,
    started_at: Mutex<Instant>,
    slots: Slots,
    stalls: Stalls,
    sampler: Sampler,
    journal: Arc<Journal>,
    hints: Hints,
    counters: Counters,
    smoothed_us: AtomicU32,
    client: HttpClient,
    control: ServerControl,
}

/// A running stand-in for a target, which stops when this value is dropped.
pub struct TargetStandin {
    server: HttpServer,
    shared: Arc<Shared>,
    stall_task: AbortHandle,
}

impl TargetStandin {
    /// Binds the configured address and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the journal file cannot be created.
    pub async fn start(config: TargetConfig) -> Result<Self> {
        let (control, end) = control_channel();
        let addr = config.addr;
        let shared = Arc::new(Shared::new(config, control)?);
        let handler = Arc::new(calls::TargetHandler {
            shared: Arc::clone(&shared),
        });
        let server = HttpServer::start(addr, handler, end).await?;
        let stall_task = tokio::spawn(stall_at_random(Arc::clone(&shared)));
        Ok(Self {
            server,
            shared,
            stall_task: stall_task.abort_handle(),
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the name of the target.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.config.name
    }

    /// Returns the current behaviour.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        self.shared.behaviour()
    }

    /// Replaces the current behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// Changes parts of the current behaviour.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        let mut behaviour = self.shared.behaviour();
        change(&mut behaviour);
        self.shared.set_behaviour(behaviour);
    }

    /// Sets the node through which the target calls other services.
    pub fn set_node(&self, node: SocketAddr) {
        *self.shared.node.lock() = Some(node);
    }

    /// Freezes all work for `span_ms` milliseconds from now.
    pub fn stall(&self, span_ms: u64) {
        self.shared.stalls.freeze(Duration::from_millis(span_ms));
    }

    /// Cuts the next `count` answers to calls.
    pub fn cut_next(&self, cut: Cut, count: u32) {
        self.shared.cut_next(cut, count);
    }

    /// Simulates a crash: resets all connections and starts again, cold, after
    /// the configured `restart_ms`.
    pub async fn crash(&self) {
        self.shared.crash().await;
    }

    /// Closes the port and resets all connections, until [`Self::reopen`].
    pub async fn close(&self) {
        self.shared.journal.set_crashing(true);
        self.shared.control.close().await;
        self.shared.journal.set_crashing(false);
    }

    /// Listens again after [`Self::close`], with a cold start.
    pub async fn reopen(&self) {
        *self.shared.started_at.lock() = Instant::now();
        self.shared.control.open().await;
    }

    /// Returns the runs with this `hitch-key`, idempotency key or nonce.
    #[must_use]
    pub fn runs(&self, key: &str) -> Vec<RunRecord> {
        self.shared.journal.runs_of_key(key)
    }

    /// Returns all runs since the stand-in was started; crashes do not clear them.
    #[must_use]
    pub fn all_runs(&self) -> Vec<RunRecord> {
        self.shared.journal.all()
    }

    /// Returns the actual load, regardless of the configured behaviour.
    #[must_use]
    pub fn load(&self) -> Load {
        self.shared.load()
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counts(&self) -> TargetCounts {
        self.shared.counts()
    }

    /// Resets all connections and frees the port.
    pub async fn stop(self) {
        self.shared.control.stop().await;
    }
}

impl Drop for TargetStandin {
    fn drop(&mut self) {
        self.stall_task.abort();
    }
}

impl Shared {
    fn new(config: TargetConfig, control: ServerControl) -> Result<Self> {
        let first_load = Load {
            slots: config.slots,
            ..Load::default()
        };
        Ok(Self {
            behaviour: Mutex::new(config.behaviour.clone()),
            node: Mutex::new(config.node),
            pending_cuts: Mutex::new(None),
            started_at: Mutex::new(Instant::now()),
            slots: Slots::new(config.slots, config.overflow),
            stalls: Stalls::new(),
            sampler: Sampler::new(config.seed),
            journal: Arc::new(Journal::new(&config.name, config.journal.as_deref())?),
            hints: Hints::new(first_load),
            counters: Counters::default(),
            smoothed_us: AtomicU32::new(0),
            client: HttpClient::new(HttpVersion::Http1),
            control,
            config,
        })
    }

    fn behaviour(&self) -> Behaviour {
        self.behaviour.lock().clone()
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock() = behaviour;
        self.note_load();
    }

    fn note_load(&self) {
        let load = self.load();
        self.hints.note(load, &self.behaviour.lock());
    }

    fn load(&self) -> Load {
        Load {
            in_flight: self.slots.in_flight(),
            queued: self.slots.queued(),
            slots: self.config.slots,
            service_time_us: self.smoothed_us.load(Ordering::Relaxed),
        }
    }

    fn record_service_time(&self, took: Duration) {
        let took_us = u32::try_from(took.as_micros()).unwrap_or(u32::MAX);
        let before = self.smoothed_us.load(Ordering::Relaxed);
        let after = before - before / SMOOTHING + took_us / SMOOTHING;
        self.smoothed_us.store(after, Ordering::Relaxed);
    }

    fn cut_next(&self, cut: Cut, count: u32) {
        *self.pending_cuts.lock() = Some(PendingCuts { cut, left: count });
    }

    fn take_pending_cut(&self) -> Option<Cut> {
        let mut pending = self.pending_cuts.lock();
        let cuts = pending.as_mut()?;
        if cuts.left == 0 {
            return None;
        }
        cuts.left -= 1;
        Some(cuts.cut)
    }

    async fn crash(&self) {
        self.counters.crashes.fetch_add(1, Ordering::Relaxed);
        let down = Duration::from_millis(self.config.restart_ms);
        *self.started_at.lock() = Instant::now() + down;
        self.journal.set_crashing(true);
        self.control.crash(down).await;
        self.journal.set_crashing(false);
    }

    /// Factor by which service times are longer now because of the cold start.
    fn cold_start_factor(&self) -> f64 {
        let cold = Duration::from_millis(self.config.cold_start_ms);
        let age = self.started_at.lock().elapsed();
        if age >= cold {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / cold.as_secs_f64();
        1.0 + (self.config.cold_factor - 1.0).max(0.0) * left
    }

    fn counts(&self) -> TargetCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        TargetCounts {
            health_probes: read(&self.counters.health_probes),
            load_probes: read(&self.counters.load_probes),
            calls: read(&self.counters.calls),
            shed: read(&self.counters.shed),
            cancelled_in_queue: self.slots.cancelled_in_queue(),
            crashes: read(&self.counters.crashes),
            stalls: self.stalls.count(),
            cut: read(&self.counters.cut),
            max_in_flight: self.slots.max_in_flight(),
            runs_forgotten: self.journal.forgotten(),
        }
    }
}

/// Interval at which the behaviour is checked for random stalls while they are
/// off.
const RANDOM_STALLS_POLL: Duration = Duration::from_millis(20);

async fn stall_at_random(shared: Arc<Shared>) {
    loop {
        let Some(stalls) = shared.behaviour().random_stalls else {
            sleep(RANDOM_STALLS_POLL).await;
            continue;
        };
        let pause_ms = shared.sampler.between(1, stalls.every_ms.max(1));
        sleep(Duration::from_millis(pause_ms)).await;
        let span_ms = shared.sampler.between(stalls.min_ms, stalls.max_ms);
        shared.stalls.freeze(Duration::from_millis(span_ms));
    }
}
