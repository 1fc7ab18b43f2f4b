//! A store in virtual time, with a way of its own for each node.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::prelude::*;
use crate::source::{Change, Changes, Fact, Listing, Reading, Source, SourceFault};

/// From a node's question to the store's answer.
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// What is wrong with the store, for one node or for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trouble {
    /// It loses what it has in hand, and whatever comes.
    Silent,
    /// It refuses at once.
    Refusing,
    /// It loses watches, and answers everything else.
    LosingWatches,
    /// Calls hang, and nobody gives them up: their node does not get to it.
    Hanging,
    /// It has lost its history, again and again.
    Forgetting,
}

/// What is published.
#[derive(Clone, Debug)]
pub(super) struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<()>>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    forgotten: u64,
    history: Vec<Change>,
    members: Vec<Member>,
    routes: Option<RouteSet>,
}

impl Store {
    /// A store with these targets and version 1.
    pub(super) fn new(members: Vec<Member>) -> Self {
        let store = Self {
            state: Arc::default(),
            changed: Arc::new(watch::channel(()).0),
        };
        store.state.lock().members = members;
        store.put_version(1);
        store
    }

    /// Publishes a version of the configuration.
    pub(super) fn put_version(&self, version: u64) {
        let mut routes = RouteSet::new(version, CallerLimits::default());
        routes.set_health_path(ServiceName::new("s"), "/health");
        let mut state = self.state.lock();
        state.revision += 1;
        let revision = state.revision;
        state.routes = Some(routes.clone());
        state.history.push(Change {
            revision,
            fact: Fact::Routes(routes),
        });
        drop(state);
        self.changed.send_replace(());
    }

    /// Drops the history: watches from before are told so.
    pub(super) fn forget(&self) {
        let mut state = self.state.lock();
        state.forgotten = state.revision;
        state.history.clear();
    }

    /// A node's way to the store.
    pub(super) fn way(&self) -> Way {
        Way {
            store: self.clone(),
            trouble: Arc::new(watch::channel(None).0),
        }
    }
}

/// One node's way to the store.
#[derive(Clone, Debug)]
pub(super) struct Way {
    store: Store,
    trouble: Arc<watch::Sender<Option<Trouble>>>,
}

impl Way {
    /// From now on the store treats this node so.
    pub(super) fn set(&self, trouble: Option<Trouble>) {
        self.trouble.send_if_modified(|known| {
            let is_new = *known != trouble;
            *known = trouble;
            is_new
        });
    }

    /// A call; lost, it ends once its client gives it up.
    async fn call<T>(
        &self,
        is_watch: bool,
        limit_ms: Millis,
        answered: impl Future<Output = Result<T, SourceFault>>,
    ) -> Result<T, SourceFault> {
        let given_up = tokio::time::Instant::now() + limit_ms.to_duration();
        let mut trouble = self.trouble.subscribe();
        let loses = |trouble: &Option<Trouble>| match trouble {
            Some(Trouble::Silent | Trouble::Hanging) => true,
            Some(Trouble::LosingWatches) => is_watch,
            _ => false,
        };
        tokio::select! {
            biased;
            _ = trouble.wait_for(loses) => {}
            answer = async {
                tokio::time::sleep(ROUND_TRIP).await;
                self.refuses()?;
                answered.await
            } => return answer,
        }
        tokio::time::sleep_until(given_up).await;
        let hung = trouble.wait_for(|trouble| *trouble != Some(Trouble::Hanging));
        // The sender lives as long as the node.
        let _ = hung.await;
        Err(SourceFault::Failed("no answer in time".to_owned()))
    }

    fn refuses(&self) -> Result<(), SourceFault> {
        match *self.trouble.borrow() {
            Some(Trouble::Refusing) => Err(SourceFault::Failed("refused".to_owned())),
            _ => Ok(()),
        }
    }

    fn after(&self, revision: u64) -> Result<Changes, SourceFault> {
        self.refuses()?;
        let state = self.store.state.lock();
        if revision < state.forgotten {
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

    async fn wait_for_changes(&self, after: u64) -> Result<Changes, SourceFault> {
        let mut changed = self.store.changed.subscribe();
        let mut trouble = self.trouble.subscribe();
        loop {
            let changes = self.after(after)?;
            if !changes.changes.is_empty() {
                return Ok(changes);
            }
            tokio::select! {
                _ = changed.changed() => {}
                _ = trouble.changed() => {}
            }
        }
    }
}

impl Source for Way {
    fn read_all(&self, silence_ms: Millis) -> Reading<'_, Listing> {
        Box::pin(self.call(false, silence_ms, async {
            let state = self.store.state.lock();
            Ok(Listing {
                routes: state.routes.clone(),
                members: state.members.clone(),
                revision: state.revision,
                age_ms: Millis::ZERO,
            })
        }))
    }

    fn watch(&self, after: u64, wait_ms: Millis, silence_ms: Millis) -> Reading<'_, Changes> {
        Box::pin(self.call(true, wait_ms + silence_ms, async move {
            let waiting = self.wait_for_changes(after);
            let waited = tokio::time::timeout(wait_ms.to_duration(), waiting).await;
            waited.unwrap_or_else(|_| self.after(after))
        }))
    }

    fn read_target<'a>(
        &'a self,
        id: &'a TargetId,
        silence_ms: Millis,
    ) -> Reading<'a, Option<Member>> {
        Box::pin(self.call(false, silence_ms, async move {
            let state = self.store.state.lock();
            let found = state.members.iter().find(|member| member.id == *id);
            Ok(found.cloned())
        }))
    }

    fn read_routes(&self, silence_ms: Millis) -> Reading<'_, Option<RouteSet>> {
        Box::pin(self.call(false, silence_ms, async {
            Ok(self.store.state.lock().routes.clone())
        }))
    }
}
