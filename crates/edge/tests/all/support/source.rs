//! A source of facts that counts who reads it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_edge::source::{Change, Changes, Fact, Listing, ReadFuture, Source, SourceFault};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

/// How the source treats one reader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SourceMode {
    /// It answers.
    #[default]
    Normal,
    /// It never answers, nor fails.
    Silent,
    /// It fails at once.
    Failing,
    /// It loses the calls that it has in hand and those that it takes, and answers
    /// none of them, also later.
    DroppingCalls,
    /// It loses watches, and answers everything else.
    DroppingWatches,
    /// Calls hang, and nobody gives them up: their node does not get to it.
    Hanging,
}

/// What is published, to be shared by nodes.
#[derive(Clone, Debug)]
pub struct Published {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<()>>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Watches from before this revision are told that the history is gone.
    dropped_to: u64,
    history: Vec<Change>,
    /// Every change there was, and when.
    log: Vec<(Instant, Fact)>,
    members: BTreeMap<TargetId, Member>,
    routes: Option<RouteSet>,
}

impl Published {
    pub fn new() -> Self {
        let (changed, _) = watch::channel(());
        Self {
            state: Arc::default(),
            changed: Arc::new(changed),
        }
    }

    /// Publishes a change.
    pub fn put(&self, fact: Fact) {
        self.state.lock().put(fact);
        self.changed.send_replace(());
    }

    /// Publishes changes so that each watch sees either none or all of them.
    pub fn put_all(&self, facts: Vec<Fact>) {
        let mut state = self.state.lock();
        for fact in facts {
            state.put(fact);
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Drops the history: watches from before are told so.
    pub fn drop_history(&self) {
        let mut state = self.state.lock();
        state.dropped_to = state.revision;
        state.history.clear();
    }

    /// Publishes changes that no watch sees, as the history is dropped.
    pub fn put_and_drop_history(&self, facts: Vec<Fact>) {
        let mut state = self.state.lock();
        for fact in facts {
            state.put(fact);
        }
        drop(state);
        self.drop_history();
        self.changed.send_replace(());
    }

    pub fn put_version(&self, version: u64) {
        self.put(version_fact(version));
    }

    /// One node's way to it.
    pub fn source(&self) -> TestSource {
        TestSource {
            published: self.clone(),
            mode: watch::channel(SourceMode::Normal).0.into(),
            calls: Arc::default(),
            last_wait_ms: Arc::default(),
            reads_of_routes: Arc::default(),
            listings: Arc::default(),
            stale_reads: Arc::default(),
            replica_lag: Arc::new(Mutex::new(REPLICA_LAG)),
        }
    }
}

pub fn version_fact(version: u64) -> Fact {
    let mut routes = RouteSet::new(version, CallerLimits::default());
    // Targets of services that the configuration does not name are no targets.
    routes.set_health_path(ServiceName::new("s"), "/health");
    Fact::Routes(routes)
}

/// A replica of the source is so far behind, where a test says nothing else.
const REPLICA_LAG: Duration = Duration::from_secs(1);

impl State {
    /// What a replica that is behind knows.
    fn stale_listing(&self, lag: Duration) -> Listing {
        let mut replica = Self::default();
        for (at, fact) in &self.log {
            if at.elapsed() >= lag {
                replica.put(fact.clone());
            }
        }
        replica.listing()
    }

    fn listing(&self) -> Listing {
        Listing {
            routes: self.routes.clone(),
            members: self.members.values().cloned().collect(),
            revision: self.revision,
            age_ms: Millis::ZERO,
        }
    }

    fn put(&mut self, fact: Fact) {
        match &fact {
            Fact::Routes(routes) => self.routes = Some(routes.clone()),
            Fact::LargeRoutes(_) => panic!("only nodes tell each other so"),
            Fact::Listed(member) => {
                self.members.insert(member.id.clone(), member.clone());
            }
            Fact::Removed(id) => {
                self.members.remove(id);
            }
        }
        self.log.push((Instant::now(), fact.clone()));
        self.revision += 1;
        let revision = self.revision;
        self.history.push(Change { revision, fact });
    }
}

/// One node's way to what is published.
#[derive(Clone, Debug)]
pub struct TestSource {
    published: Published,
    mode: Arc<watch::Sender<SourceMode>>,
    calls: Arc<AtomicU64>,
    /// How long the last watch was to wait.
    last_wait_ms: Arc<AtomicU64>,
    reads_of_routes: Arc<AtomicU64>,
    listings: Arc<AtomicU64>,
    stale_reads: Arc<AtomicU64>,
    replica_lag: Arc<Mutex<Duration>>,
}

impl TestSource {
    pub fn set_mode(&self, mode: SourceMode) {
        self.mode.send_if_modified(|known| {
            let is_new = *known != mode;
            *known = mode;
            is_new
        });
    }

    /// How far its replica is behind.
    #[allow(dead_code, reason = "tests with sockets take the usual lag")]
    pub fn set_replica_lag(&self, lag: Duration) {
        *self.replica_lag.lock() = lag;
    }

    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// How often everything was read.
    pub fn listings(&self) -> u64 {
        self.listings.load(Ordering::Relaxed)
    }

    /// How often everything was read from a replica; [`Self::calls`] leaves these out.
    #[allow(dead_code, reason = "tests with sockets count whole calls alone")]
    pub fn stale_reads(&self) -> u64 {
        self.stale_reads.load(Ordering::Relaxed)
    }

    /// How often the configuration alone was read.
    pub fn reads_of_routes(&self) -> u64 {
        self.reads_of_routes.load(Ordering::Relaxed)
    }

    pub fn last_wait_ms(&self) -> Millis {
        Millis(self.last_wait_ms.load(Ordering::Relaxed))
    }

    /// Ends at once unless the source is silent.
    async fn until_responsive(&self) -> Result<(), SourceFault> {
        let mut mode = self.mode.subscribe();
        let answering = mode.wait_for(|mode| *mode != SourceMode::Silent).await;
        match *answering.expect("this struct holds a sender") {
            SourceMode::Failing => Err(SourceFault::Failed("refused".to_owned())),
            _ => Ok(()),
        }
    }

    /// Ends when the source loses a call that it has in hand.
    async fn until_call_dropped(&self, is_watch: bool) {
        let mut mode = self.mode.subscribe();
        let drops = |mode: &SourceMode| match mode {
            SourceMode::DroppingCalls | SourceMode::Hanging => true,
            SourceMode::DroppingWatches => is_watch,
            SourceMode::Normal | SourceMode::Silent | SourceMode::Failing => false,
        };
        let until_call_dropped = mode.wait_for(drops).await;
        drop(until_call_dropped.expect("this struct holds a sender"));
    }

    /// Counts a call, and makes of it what a client does: lost, it ends with a fault once
    /// it should long have been answered.
    async fn run_call<T>(
        &self,
        count: &AtomicU64,
        is_watch: bool,
        timeout_ms: Millis,
        response: impl Future<Output = Result<T, SourceFault>>,
    ) -> Result<T, SourceFault> {
        count.fetch_add(1, Ordering::Relaxed);
        let started = tokio::time::Instant::now();
        tokio::select! {
            biased;
            () = self.until_call_dropped(is_watch) => {
                tokio::time::sleep_until(started + timeout_ms.to_duration()).await;
                let mut mode = self.mode.subscribe();
                let released = mode.wait_for(|mode| *mode != SourceMode::Hanging).await;
                drop(released.expect("this struct holds a sender"));
                Err(SourceFault::Failed("no answer in time".to_owned()))
            }
            response = response => response,
        }
    }

    fn after(&self, revision: u64) -> Result<Changes, SourceFault> {
        let state = self.published.state.lock();
        if revision < state.dropped_to {
            return Err(SourceFault::HistoryGone);
        }
        let new = state
            .history
            .iter()
            .filter(|change| change.revision > revision);
        Ok(Changes {
            changes: new.cloned().collect(),
            revision: state.revision,
            age_ms: Millis::ZERO,
        })
    }
}

impl Source for TestSource {
    fn read_all(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Listing> {
        self.listings.fetch_add(1, Ordering::Relaxed);
        Box::pin(self.run_call(&self.calls, false, idle_timeout_ms, async {
            self.until_responsive().await?;
            Ok(self.published.state.lock().listing())
        }))
    }

    fn read_stale(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Listing> {
        Box::pin(
            self.run_call(&self.stale_reads, false, idle_timeout_ms, async {
                self.until_responsive().await?;
                let lag = *self.replica_lag.lock();
                Ok(self.published.state.lock().stale_listing(lag))
            }),
        )
    }

    fn watch(
        &self,
        after: u64,
        wait_ms: Millis,
        idle_timeout_ms: Millis,
    ) -> ReadFuture<'_, Changes> {
        self.last_wait_ms.store(wait_ms.0, Ordering::Relaxed);
        Box::pin(
            self.run_call(&self.calls, true, wait_ms + idle_timeout_ms, async move {
                self.until_responsive().await?;
                let mut changed = self.published.changed.subscribe();
                let mut mode = self.mode.subscribe();
                let waiting = async {
                    loop {
                        changed.mark_unchanged();
                        self.until_responsive().await?;
                        let changes = self.after(after)?;
                        if !changes.changes.is_empty() {
                            return Ok(changes);
                        }
                        tokio::select! {
                            _ = changed.changed() => {}
                            _ = mode.changed() => {}
                        }
                    }
                };
                let waited = tokio::time::timeout(wait_ms.to_duration(), waiting).await;
                waited.unwrap_or_else(|_| self.after(after))
            }),
        )
    }

    fn read_target<'a>(
        &'a self,
        id: &'a TargetId,
        idle_timeout_ms: Millis,
    ) -> ReadFuture<'a, Option<Member>> {
        Box::pin(self.run_call(&self.calls, false, idle_timeout_ms, async {
            self.until_responsive().await?;
            Ok(self.published.state.lock().members.get(id).cloned())
        }))
    }

    fn read_routes(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Option<RouteSet>> {
        self.reads_of_routes.fetch_add(1, Ordering::Relaxed);
        Box::pin(self.run_call(&self.calls, false, idle_timeout_ms, async {
            self.until_responsive().await?;
            Ok(self.published.state.lock().routes.clone())
        }))
    }
}
