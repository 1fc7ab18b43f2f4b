//! A source of published facts that counts its reads and injects faults.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hornbeamhitch_dispatch::routing::routes::Destination;
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_edge::source::{Change, Changes, Fact, Listing, ReadFuture, Source, SourceFault};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

/// How the source treats the calls of one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SourceMode {
    /// It answers.
    #[default]
    Normal,
    /// It neither answers nor fails.
    Silent,
    /// It fails immediately.
    Failing,
    /// It never answers the calls in progress and those that it accepts, not even in a
    /// later mode.
    DroppingCalls,
    /// It drops watches, and answers all other calls.
    DroppingWatches,
    /// Calls hang, and their node does not time them out.
    Hanging,
}

/// The published state, shared by nodes.
#[derive(Clone, Debug)]
pub struct Published {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<()>>,
    /// Rate at which a node receives answers that contain a configuration; unlimited if zero.
    answer_bytes_per_ms: Arc<AtomicU64>,
}

#[derive(Debug, Default)]
struct State {
    era: u64,
    /// Number of changes in the published state.
    number: u64,
    /// Watches from before this number fail because the history is gone.
    dropped_to: u64,
    history: Vec<Change>,
    /// All changes with their times.
    log: Vec<(Instant, Fact)>,
    members: BTreeMap<TargetId, Member>,
    evacuated: BTreeSet<DataCentre>,
    routes: Option<RouteSet>,
}

impl Published {
    pub fn new() -> Self {
        let (changed, _) = watch::channel(());
        Self {
            state: Arc::default(),
            changed: Arc::new(changed),
            answer_bytes_per_ms: Arc::default(),
        }
    }

    /// Returns the evacuated data centres.
    #[allow(dead_code, reason = "only tests in virtual time use it")]
    pub fn evacuated(&self) -> BTreeSet<DataCentre> {
        self.state.lock().evacuated.clone()
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

    /// Drops the history, so that watches from before fail.
    pub fn drop_history(&self) {
        let mut state = self.state.lock();
        state.dropped_to = state.number;
        state.history.clear();
    }

    /// Publishes changes that no watch sees because the history is dropped.
    pub fn put_and_drop_history(&self, facts: Vec<Fact>) {
        let mut state = self.state.lock();
        for fact in facts {
            state.put(fact);
        }
        drop(state);
        self.drop_history();
        self.changed.send_replace(());
    }

    /// Replaces the store by a copy that is older by `lag`: what was published since is
    /// gone, and its revisions are assigned again.
    #[allow(dead_code, reason = "only tests in virtual time use it")]
    pub fn restore_copy(&self, lag: Duration) {
        let mut state = self.state.lock();
        let mut copy = State::default();
        for (at, fact) in &state.log {
            if at.elapsed() >= lag {
                copy.put(fact.clone());
            }
        }
        copy.log = state.log[..copy.log.len()].to_vec();
        copy.history.clear();
        copy.dropped_to = copy.number;
        copy.era = state.era + 1;
        *state = copy;
        drop(state);
        self.changed.send_replace(());
    }

    pub fn put_version(&self, version: u64) {
        self.put(version_fact(version));
    }

    /// Limits the rate at which each node receives answers that contain a configuration.
    #[allow(dead_code, reason = "only tests in virtual time use it")]
    pub fn limit_answers(&self, bytes_per_ms: u64) {
        self.answer_bytes_per_ms
            .store(bytes_per_ms, Ordering::Relaxed);
    }

    /// Returns a source by which one node reads the published state.
    pub fn source(&self) -> TestSource {
        TestSource {
            published: self.clone(),
            mode: watch::channel(SourceMode::Normal).0.into(),
            calls: Arc::default(),
            last_wait_ms: Arc::default(),
            route_reads: Arc::default(),
            listings: Arc::default(),
            stale_reads: Arc::default(),
            replica_lag: Arc::new(Mutex::new(REPLICA_LAG)),
            line_free_at: Arc::new(Mutex::new(Instant::now())),
            received_routes: Arc::default(),
        }
    }
}

pub fn version_fact(version: u64) -> Fact {
    let mut routes = RouteSet::new(version, CallerLimits::default());
    // Targets are ignored if the configuration does not name their service.
    routes.set_health_path(ServiceName::new("s"), "/health");
    Fact::Routes(routes)
}

/// Returns a configuration with many routes, one of which differs from version to version.
#[allow(dead_code, reason = "only tests in virtual time use it")]
pub fn large_version_fact(version: u64, count: usize) -> Fact {
    let service = ServiceName::new("s");
    let mut routes = RouteSet::new(version, CallerLimits::default());
    routes.set_health_path(service.clone(), "/health");
    for number in 0..count {
        let changes = number as u64 == version % count as u64;
        let route = Route {
            name: format!("route-{number}"),
            prefix: format!("/prefix-{number}/"),
            kind: CallKind::Idempotent,
            objective_ms: Millis(500),
            priority: 1,
            destinations: vec![Destination {
                service: service.clone(),
                weight: 1,
            }],
            timeout_ms: Millis(2_000 + if changes { version } else { 0 }),
            max_attempts: 2,
            allowed_regions: None,
        };
        routes.add(&format!("host-{number}.example"), route);
    }
    Fact::Routes(routes)
}

/// Time that the source takes to answer with a complete listing.
const LISTING_TIME: Duration = Duration::from_millis(4);
/// Size of a published text in relation to the encoding that nodes use between them.
const TEXT_BYTES_PER_ENCODED_BYTE: u64 = 4;
/// Size from which a text takes time to receive. It is more than one change of the feed.
const LARGE_TEXT_BYTES: u64 = 64 * 1024;
/// Default lag of the source's replica.
const REPLICA_LAG: Duration = Duration::from_secs(1);

impl State {
    /// Returns the listing of a replica with this lag.
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
            evacuated: self.evacuated.clone(),
            revision: self.revision(),
            age_ms: Millis::ZERO,
        }
    }

    const fn revision(&self) -> Revision {
        Revision::new(self.era, self.number)
    }

    fn put(&mut self, fact: Fact) {
        match &fact {
            Fact::Routes(routes) => self.routes = Some(routes.clone()),
            Fact::LargeRoutes(_)
            | Fact::RoutesInParts(_)
            | Fact::RoutesByDigest { .. }
            | Fact::DerivedFromListing { .. } => {
                panic!("the platform publishes no such change")
            }
            Fact::Listed(member) => {
                self.members.insert(member.id.clone(), member.clone());
            }
            Fact::Removed(id) => {
                self.members.remove(id);
            }
            Fact::EvacuationStarted(data_centre) => {
                self.evacuated.insert(data_centre.clone());
            }
            Fact::EvacuationEnded(data_centre) => {
                self.evacuated.remove(data_centre);
            }
        }
        self.log.push((Instant::now(), fact.clone()));
        self.number += 1;
        let revision = self.revision();
        self.history.push(Change { revision, fact });
    }
}

/// The source by which one node reads the published state.
#[derive(Clone, Debug)]
pub struct TestSource {
    published: Published,
    mode: Arc<watch::Sender<SourceMode>>,
    calls: Arc<AtomicU64>,
    /// Timeout of the last watch.
    last_wait_ms: Arc<AtomicU64>,
    route_reads: Arc<AtomicU64>,
    listings: Arc<AtomicU64>,
    stale_reads: Arc<AtomicU64>,
    replica_lag: Arc<Mutex<Duration>>,
    /// When the node's line has received the answers that are on their way.
    line_free_at: Arc<Mutex<Instant>>,
    /// Number of complete answers with a configuration of more than one change of the feed.
    received_routes: Arc<AtomicU64>,
}

impl TestSource {
    pub fn set_mode(&self, mode: SourceMode) {
        self.mode.send_if_modified(|known| {
            let is_new = *known != mode;
            *known = mode;
            is_new
        });
    }

    /// Sets the lag of the source's replica.
    #[allow(dead_code, reason = "tests with sockets use the default lag")]
    pub fn set_replica_lag(&self, lag: Duration) {
        *self.replica_lag.lock() = lag;
    }

    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Number of reads of the complete listing.
    pub fn listings(&self) -> u64 {
        self.listings.load(Ordering::Relaxed)
    }

    /// Number of reads from a replica, which [`Self::calls`] does not include.
    #[allow(dead_code, reason = "tests with sockets count only current reads")]
    pub fn stale_reads(&self) -> u64 {
        self.stale_reads.load(Ordering::Relaxed)
    }

    /// Number of answers with a large configuration that the node has received.
    #[allow(dead_code, reason = "only tests in virtual time use it")]
    pub fn received_routes(&self) -> u64 {
        self.received_routes.load(Ordering::Relaxed)
    }

    /// Number of reads of only the configuration.
    pub fn route_reads(&self) -> u64 {
        self.route_reads.load(Ordering::Relaxed)
    }

    pub fn last_wait_ms(&self) -> Millis {
        Millis(self.last_wait_ms.load(Ordering::Relaxed))
    }

    /// Receives the body of an answer with these configurations over the node's line.
    async fn receive<'a>(&self, routes: impl Iterator<Item = &'a RouteSet>) {
        let mut bytes = 0;
        for routes in routes {
            let encoded = postcard::to_stdvec(routes).expect("encodable routes");
            bytes += encoded.len() as u64 * TEXT_BYTES_PER_ENCODED_BYTE;
        }
        if bytes < LARGE_TEXT_BYTES {
            return;
        }
        if let Some(received_at) = self.enqueue(bytes) {
            tokio::time::sleep_until(received_at).await;
        }
        self.received_routes.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns when the node's line has received this many bytes.
    fn enqueue(&self, bytes: u64) -> Option<Instant> {
        let bytes_per_ms = self.published.answer_bytes_per_ms.load(Ordering::Relaxed);
        let transfer_us = (bytes * 1_000).checked_div(bytes_per_ms)?;
        let mut free_at = self.line_free_at.lock();
        *free_at = Instant::now().max(*free_at) + Duration::from_micros(transfer_us);
        Some(*free_at)
    }

    /// Returns immediately unless the source is silent.
    async fn until_responsive(&self) -> Result<(), SourceFault> {
        let mut mode = self.mode.subscribe();
        let answering = mode.wait_for(|mode| *mode != SourceMode::Silent).await;
        match *answering.expect("this struct holds a sender") {
            SourceMode::Failing => Err(SourceFault::Failed("refused".to_owned())),
            _ => Ok(()),
        }
    }

    /// Returns when the source drops a call in progress.
    async fn until_call_dropped(&self, is_watch: bool) {
        let mut mode = self.mode.subscribe();
        let drops = |mode: &SourceMode| match mode {
            SourceMode::DroppingCalls | SourceMode::Hanging => true,
            SourceMode::DroppingWatches => is_watch,
            SourceMode::Normal | SourceMode::Silent | SourceMode::Failing => false,
        };
        let dropped = mode.wait_for(drops).await;
        drop(dropped.expect("this struct holds a sender"));
    }

    /// Counts a call, and runs it like a client: a dropped call fails after its timeout.
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

    /// Returns the changes after a number, of whichever era the caller has it from.
    fn after(&self, revision: Revision) -> Result<Changes, SourceFault> {
        let state = self.published.state.lock();
        let number = revision.number();
        if number < state.dropped_to || number > state.number {
            return Err(SourceFault::HistoryGone);
        }
        let new = state
            .history
            .iter()
            .filter(|change| change.revision.number() > number);
        Ok(Changes {
            changes: new.cloned().collect(),
            revision: state.revision(),
            age_ms: Millis::ZERO,
        })
    }
}

impl Source for TestSource {
    fn read_all(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Listing> {
        self.listings.fetch_add(1, Ordering::Relaxed);
        Box::pin(self.run_call(&self.calls, false, idle_timeout_ms, async {
            self.until_responsive().await?;
            // A node that reads without a pause would otherwise stop virtual time.
            tokio::time::sleep(LISTING_TIME).await;
            let mut listing = self.published.state.lock().listing();
            let began = Instant::now();
            self.receive(listing.routes.iter()).await;
            listing.age_ms = Millis::from_duration(began.elapsed());
            Ok(listing)
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
        after: Revision,
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
                let mut changes = waited.unwrap_or_else(|_| self.after(after))?;
                let routes = changes
                    .changes
                    .iter()
                    .filter_map(|change| match &change.fact {
                        Fact::Routes(routes) => Some(routes),
                        _ => None,
                    });
                let began = Instant::now();
                self.receive(routes).await;
                changes.age_ms = Millis::from_duration(began.elapsed());
                Ok(changes)
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
        self.route_reads.fetch_add(1, Ordering::Relaxed);
        Box::pin(self.run_call(&self.calls, false, idle_timeout_ms, async {
            self.until_responsive().await?;
            let routes = self.published.state.lock().routes.clone();
            self.receive(routes.iter()).await;
            Ok(routes)
        }))
    }

    fn is_receiving(&self) -> bool {
        *self.line_free_at.lock() > Instant::now()
    }
}
