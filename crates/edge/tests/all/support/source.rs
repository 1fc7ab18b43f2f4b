//! A source of facts that counts who reads it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_edge::source::{Change, Changes, Fact, Listing, Reading, Source, SourceFault};
use parking_lot::Mutex;
use tokio::sync::watch;

/// How the source treats one reader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// It answers.
    #[default]
    Calm,
    /// It never answers, nor fails.
    Silent,
    /// It fails at once.
    Failing,
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
    history: Vec<Change>,
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
        let mut state = self.state.lock();
        match &fact {
            Fact::Routes(routes) => state.routes = Some(routes.clone()),
            Fact::Listed(member) => {
                state.members.insert(member.id.clone(), member.clone());
            }
            Fact::Left(id) => {
                state.members.remove(id);
            }
        }
        state.revision += 1;
        let revision = state.revision;
        state.history.push(Change { revision, fact });
        drop(state);
        self.changed.send_replace(());
    }

    pub fn put_version(&self, version: u64) {
        let routes = RouteSet::new(version, CallerLimits::default());
        self.put(Fact::Routes(routes));
    }

    /// One node's way to it.
    pub fn source(&self) -> TestSource {
        TestSource {
            published: self.clone(),
            mood: watch::channel(Mood::Calm).0.into(),
            calls: Arc::default(),
        }
    }
}

/// One node's way to what is published.
#[derive(Clone, Debug)]
pub struct TestSource {
    published: Published,
    mood: Arc<watch::Sender<Mood>>,
    calls: Arc<AtomicU64>,
}

impl TestSource {
    pub fn set_mood(&self, mood: Mood) {
        self.mood.send_replace(mood);
    }

    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Counts a call, and ends at once unless the source is silent.
    async fn call(&self) -> Result<(), SourceFault> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.answers().await
    }

    async fn answers(&self) -> Result<(), SourceFault> {
        let mut mood = self.mood.subscribe();
        let speaks = mood.wait_for(|mood| *mood != Mood::Silent).await;
        match *speaks.expect("this struct holds a sender") {
            Mood::Failing => Err(SourceFault::Failed("refused".to_owned())),
            Mood::Calm | Mood::Silent => Ok(()),
        }
    }

    fn after(&self, revision: u64) -> Changes {
        let state = self.published.state.lock();
        let new = state
            .history
            .iter()
            .filter(|change| change.revision > revision);
        Changes {
            changes: new.cloned().collect(),
            revision: state.revision,
        }
    }
}

impl Source for TestSource {
    fn read_all(&mut self) -> Reading<'_, Listing> {
        Box::pin(async {
            self.call().await?;
            let state = self.published.state.lock();
            Ok(Listing {
                routes: state.routes.clone(),
                members: state.members.values().cloned().collect(),
                unreadable: Vec::new(),
                revision: state.revision,
            })
        })
    }

    fn watch(&mut self, after: u64, wait_ms: Millis) -> Reading<'_, Changes> {
        Box::pin(async move {
            self.call().await?;
            let mut changed = self.published.changed.subscribe();
            let waiting = async {
                loop {
                    changed.mark_unchanged();
                    self.answers().await?;
                    let changes = self.after(after);
                    if !changes.changes.is_empty() {
                        return Ok(changes);
                    }
                    let _ = changed.changed().await;
                }
            };
            let waited = tokio::time::timeout(wait_ms.to_duration(), waiting).await;
            waited.unwrap_or_else(|_| Ok(self.after(after)))
        })
    }
}
