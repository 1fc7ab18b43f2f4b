//! Nodes that follow a store and tell each other, in virtual time and without sockets.

use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hornbeamhitch_dispatch::members::MemberTracker;
use hornbeamhitch_dispatch::readers;
use hornbeamhitch_dispatch::waits::Waits;
use hornbeamhitch_wire::link::ToEntry;
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::source::{Published, SourceMode, TestSource};
use super::{At, Fault, IN_FORCE_MS};
use crate::directory::{Directory, DirectoryWriter};
use crate::feed::{ChangeFeed, Coming, FeedLinks, FeedWords};
use crate::following::{FollowSettings, follow_over};
use crate::link::LinkFault;
use crate::prelude::*;
use crate::source::Fact;

/// From one node to another.
const ONE_WAY: Duration = Duration::from_millis(2);

/// How a node can be heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Voice {
    Speaks,
    /// Its links are open and say nothing.
    Frozen,
    /// It has ended.
    Gone,
}

/// What others reach of a node.
#[derive(Clone, Debug)]
struct Reached {
    feed: Arc<ChangeFeed>,
    voice: Arc<watch::Sender<Voice>>,
}

/// All nodes that can be reached.
#[derive(Clone, Debug, Default)]
struct Net(Arc<Mutex<BTreeMap<IpAddr, Reached>>>);

impl FeedLinks for Net {
    fn open(&self, reader: IpAddr, known: u64) -> Coming<'_, Box<dyn FeedWords>> {
        Box::pin(async move {
            tokio::time::sleep(ONE_WAY).await;
            let reached = self.0.lock().get(&reader).cloned();
            let reached = reached.ok_or(LinkFault::Closed)?;
            let mut voice = reached.voice.subscribe();
            let answers = voice.wait_for(|voice| *voice != Voice::Frozen).await;
            if answers.map_or(Voice::Gone, |voice| *voice) == Voice::Gone {
                return Err(LinkFault::Closed);
            }
            let (subscriber, words) = mpsc::unbounded_channel();
            let feed = Arc::clone(&reached.feed);
            tokio::spawn(async move { feed.serve(known, &subscriber).await });
            let words: Box<dyn FeedWords> = Box::new(Words { words, voice });
            Ok(words)
        })
    }
}

/// What one node tells another.
struct Words {
    words: mpsc::UnboundedReceiver<ToEntry>,
    voice: watch::Receiver<Voice>,
}

impl FeedWords for Words {
    fn next(&mut self) -> Coming<'_, ToEntry> {
        Box::pin(async {
            let mut voice = self.voice.clone();
            let word = tokio::select! {
                biased;
                _ = voice.wait_for(|voice| *voice == Voice::Gone) => None,
                word = self.words.recv() => word,
            };
            let word = word.ok_or(LinkFault::Closed)?;
            let _ = self.voice.wait_for(|voice| *voice != Voice::Frozen).await;
            tokio::time::sleep(ONE_WAY).await;
            Ok(word)
        })
    }
}

/// One life of a node.
struct Life {
    directory: SharedDirectory,
    source: TestSource,
    voice: Arc<watch::Sender<Voice>>,
    following: AbortHandle,
    started: Instant,
    /// Newest version that was seen in force.
    seen: u64,
}

impl Life {
    fn version(&self) -> u64 {
        let directory = self.directory.load();
        directory.routes.as_ref().map_or(0, |known| known.version())
    }
}

impl Drop for Life {
    fn drop(&mut self) {
        self.voice.send_replace(Voice::Gone);
        self.following.abort();
    }
}

/// Calls to the store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Calls {
    /// At the whole price.
    pub(super) current: u64,
    /// Stale reads, at a tenth of it.
    pub(super) stale: u64,
}

/// Nodes and their store.
pub(super) struct Fleet {
    store: Published,
    net: Net,
    started: Instant,
    ips: Vec<IpAddr>,
    lives: BTreeMap<IpAddr, Life>,
    readers: Vec<IpAddr>,
    has_current_replicas: bool,
    version: u64,
    /// When each recent version was published.
    published: VecDeque<(Instant, u64)>,
    /// What is wrong now.
    on: Vec<Fault>,
    /// When a node, or the store for it, was last in trouble.
    troubled: BTreeMap<IpAddr, Instant>,
}

impl Fleet {
    /// Starts nodes in three small data centres, and waits until they have their parts.
    pub(super) async fn start(count: usize) -> Self {
        let mut fleet = Self::of(count);
        fleet.list_all();
        for ip in fleet.ips.clone() {
            fleet.start_node(ip);
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        let directory = fleet.lives[&fleet.ips[0]].directory.load();
        let is_reader =
            |own: &IpAddr| readers::role(&directory.members, *own, &data_centre(*own)).is_reader();
        fleet.readers = fleet.ips.iter().copied().filter(is_reader).collect();
        assert_eq!(fleet.readers.len(), 3);
        drop(directory);
        fleet
    }

    /// Nodes that are not started, in a store without targets.
    pub(super) fn of(count: usize) -> Self {
        let ips: Vec<IpAddr> = (1..=count).map(ip).collect();
        let store = Published::new();
        store.put_version(1);
        Self {
            store,
            net: Net::default(),
            started: Instant::now(),
            ips,
            lives: BTreeMap::new(),
            readers: Vec::new(),
            has_current_replicas: false,
            version: 1,
            published: VecDeque::new(),
            on: Vec::new(),
            troubled: BTreeMap::new(),
        }
    }

    /// Lists all targets at once.
    pub(super) fn list_all(&self) {
        let all = self.ips.iter().map(member).map(Fact::Listed);
        self.store.put_all(all.collect());
    }

    /// Starts all nodes within the first span; their targets are listed one after the other
    /// over the second, each after its node.
    pub(super) async fn start_over(&mut self, starts: Duration, registers: Duration) {
        let count = u32::try_from(self.ips.len()).expect("a small fleet");
        for ip in self.ips.clone() {
            self.start_node(ip);
            tokio::time::sleep(starts / count).await;
        }
        for ip in self.ips.clone() {
            self.store.put(Fact::Listed(member(&ip)));
            tokio::time::sleep(registers / count).await;
        }
    }

    /// The replicas that readers meet are never behind.
    pub(super) fn give_readers_current_replicas(&mut self) {
        let mut tracker = MemberTracker::default();
        for ip in &self.ips {
            tracker.upsert(member(ip));
        }
        let members = tracker.snapshot();
        let is_reader =
            |own: &&IpAddr| readers::role(&members, **own, &data_centre(**own)).is_reader();
        self.readers = self.ips.iter().filter(is_reader).copied().collect();
        self.has_current_replicas = true;
    }

    /// All nodes lose power and start again within this span. Their targets stay listed.
    pub(super) async fn restart_over(&mut self, starts: Duration) {
        self.lives.clear();
        self.net.0.lock().clear();
        let count = u32::try_from(self.ips.len()).expect("a small fleet");
        for ip in self.ips.clone() {
            self.start_node(ip);
            tokio::time::sleep(starts / count).await;
        }
    }

    /// The store treats all nodes so.
    pub(super) fn set_store(&self, mode: SourceMode) {
        for life in self.lives.values() {
            life.source.set_mode(mode);
        }
    }

    /// Nodes that do not know every target.
    pub(super) fn lacking(&self) -> usize {
        let knows_all = |life: &&Life| life.directory.load().members.len() == self.ips.len();
        let knowing = self.lives.values().filter(knows_all).count();
        self.ips.len() - knowing
    }

    /// Nodes that do not use the newest version.
    pub(super) fn behind(&self) -> usize {
        let is_behind = |life: &&Life| life.version() < self.version;
        self.lives.values().filter(is_behind).count()
    }

    /// Calls to the store of the nodes that run now.
    pub(super) fn calls(&self) -> Calls {
        let mut calls = Calls::default();
        for life in self.lives.values() {
            calls.current += life.source.calls();
            calls.stale += life.source.stale_reads();
        }
        calls
    }

    fn start_node(&mut self, own: IpAddr) {
        let clock = ProcessClock::start();
        let waits = Waits::new(IN_FORCE_MS);
        let directory: SharedDirectory = Arc::new(ArcSwap::from_pointee(Directory::default()));
        let feed = Arc::new(ChangeFeed::new(clock, waits));
        let source = self.store.source();
        if self.has_current_replicas && self.readers.contains(&own) {
            source.set_replica_lag(Duration::ZERO);
        }
        let settings = FollowSettings {
            own_ip: own,
            data_centre: data_centre(own),
            gate_port: 9,
            in_force_ms: IN_FORCE_MS,
        };
        let voice = Arc::new(watch::channel(Voice::Speaks).0);
        let reached = Reached {
            feed: Arc::clone(&feed),
            voice: Arc::clone(&voice),
        };
        self.net.0.lock().insert(own, reached);
        let following = tokio::spawn(follow_over(
            Arc::new(self.net.clone()),
            Arc::new(source.clone()),
            DirectoryWriter::new(Arc::clone(&directory), clock),
            feed,
            settings,
        ));
        let life = Life {
            directory,
            source,
            voice,
            following: following.abort_handle(),
            started: Instant::now(),
            seen: 0,
        };
        self.lives.insert(own, life);
    }

    /// Time since the start.
    pub(super) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Says what is wrong now.
    pub(super) fn set_faults(&mut self, faults: Vec<Fault>) {
        self.on = faults;
    }

    /// Lets nodes and store meet what is wrong now.
    pub(super) fn apply(&mut self) {
        let faults = self.on.clone();
        for own in self.ips.clone() {
            self.apply_to(own, &faults);
        }
    }

    fn apply_to(&mut self, own: IpAddr, faults: &[Fault]) {
        let first = self.readers[0] == own;
        let second = self.readers[1] == own;
        let is_reader = self.readers.contains(&own);
        let follower = self.ips.iter().find(|ip| !self.readers.contains(ip));
        let mut mode = SourceMode::Normal;
        let (mut is_frozen, mut is_gone) = (false, false);
        for fault in faults {
            match fault {
                Fault::StoreForgets => self.store.forget(),
                Fault::Store(known) => mode = *known,
                Fault::TurnsAwayReader if first => mode = SourceMode::Failing,
                Fault::TurnsAwayAllReaders if is_reader => mode = SourceMode::Failing,
                Fault::LosesReadersWatches if first => mode = SourceMode::DroppingWatches,
                Fault::ReaderFreezes => is_frozen |= second,
                Fault::AllReadersFreeze => is_frozen |= is_reader,
                Fault::AllReadersHang if is_reader => mode = SourceMode::Hanging,
                Fault::ReaderRestarts => is_gone |= first,
                Fault::AllReadersRestart => is_gone |= is_reader,
                Fault::FollowerRestarts => is_gone |= follower == Some(&own),
                _ => {}
            }
        }
        let is_troubled = mode != SourceMode::Normal || is_frozen || is_gone;
        if is_troubled || faults.contains(&Fault::StoreForgets) {
            self.troubled.insert(own, Instant::now());
        }
        if is_gone {
            self.lives.remove(&own);
            self.net.0.lock().remove(&own);
            return;
        }
        if !self.lives.contains_key(&own) {
            self.start_node(own);
        }
        let life = &self.lives[&own];
        // A frozen node's own calls are as good as lost.
        life.source.set_mode(match is_frozen {
            true => SourceMode::DroppingCalls,
            false => mode,
        });
        let voice = match is_frozen {
            true => Voice::Frozen,
            false => Voice::Speaks,
        };
        life.voice.send_if_modified(|known| {
            let is_new = *known != voice;
            *known = voice;
            is_new
        });
    }

    /// Publishes the next version.
    pub(super) fn put_next_version(&mut self) {
        self.version += 1;
        self.store.put_version(self.version);
        self.published.push_back((Instant::now(), self.version));
    }

    /// No node goes back, and none that was in no trouble itself for as long as changes
    /// may take acts on what is older than that.
    pub(super) fn check(&mut self, faults: &[At]) {
        let now = Instant::now();
        let may_take = IN_FORCE_MS.to_duration();
        let mut due = 0;
        for (at, version) in &self.published {
            if now.duration_since(*at) > may_take {
                due = *version;
            }
        }
        for (own, life) in &mut self.lives {
            let version = life.version();
            assert!(version >= life.seen, "{own} goes back: {faults:?}");
            life.seen = version;
            let troubled = self.troubled.get(own);
            let since = troubled.map_or(life.started, |at| life.started.max(*at));
            if now.duration_since(since) <= may_take {
                continue;
            }
            let elapsed = self.started.elapsed();
            assert!(
                version >= due,
                "{own} is at {version} and not at {due} after {elapsed:?}: {faults:?}"
            );
        }
    }
}

fn ip(number: usize) -> IpAddr {
    let number = u8::try_from(number).expect("a small fleet");
    [10, 0, 0, number].into()
}

/// Nodes take turns in three data centres.
fn data_centre(own: IpAddr) -> DataCentre {
    let IpAddr::V4(own) = own else {
        panic!("only IPv4 here")
    };
    DataCentre::new(&format!("dc-{}", own.octets()[3] % 3))
}

fn member(own: &IpAddr) -> Member {
    Member {
        id: TargetId::new(&format!("i-{own}")),
        service: ServiceName::new("s"),
        address: (*own, 80).into(),
        data_centre: data_centre(*own),
        slots: 4,
        draining: false,
        listed_at: 1,
        born_ms: None,
    }
}
