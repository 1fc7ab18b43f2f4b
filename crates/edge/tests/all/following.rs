//! Nodes that learn of changes from others.

use hornbeamhitch_edge::directory::Directory;
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_edge::source::Fact;

use crate::support::follower::{Follower, followers, unlisted};
use crate::support::source::{SourceMode, version_fact};
use crate::support::{member, route};

/// More than everyone reads for itself at.
const NODES: usize = 12;
const READERS: u64 = 3;

#[tokio::test]
async fn a_change_costs_one_call_a_reader() {
    let followers = followers(NODES).await;
    assert_eq!(followers.readers().count() as u64, READERS);
    let before = followers.calls();
    let version = followers.version() + 1;
    followers.published.put_version(version);
    followers.until_version(version).await;
    assert!(followers.calls() <= before + READERS);
}

/// All nodes lose power, and their targets are listed anew some time after they are
/// back. Each node watches for itself until then. As soon as the list is there it
/// knows who reads, so the watch that brought the list is the last one of all nodes
/// that are not readers.
#[tokio::test]
async fn the_list_that_tells_who_reads_is_the_last_that_others_fetch() {
    // Changes are gathered for 30% of this, in which followers find their readers, and a
    // watch that brings nothing lasts as long.
    let in_force_ms = Millis(10_000);
    let (followers, listed) = unlisted(NODES, in_force_ms).await;
    // One call reads everything, and one watches.
    for node in &followers.nodes {
        node.until("the watch", |_| node.source.calls() == 2).await;
    }
    followers.published.put_all(listed);
    for node in &followers.nodes {
        node.until("all targets", |known| known.members.iter().count() == NODES)
            .await;
    }
    followers.published.put_version(2);
    followers.until_version(2).await;
    tokio::time::sleep(in_force_ms.to_duration() / 2).await;
    for node in followers.nodes.iter().filter(|node| !node.reads()) {
        assert_eq!(node.source.calls(), 2, "{}", node.ip);
    }
}

/// All VMs have lost power. A node is among the first that are back, and reads a list
/// to which targets are added one after the other. Gathering changes for as long as it
/// may, a minute here, it would refuse callers for want of targets that are there.
#[tokio::test]
async fn a_node_that_has_just_started_learns_of_changes_soon() {
    let in_force_ms = Millis::from_secs(100);
    let (followers, listed) = unlisted(2, in_force_ms).await;
    followers.until_version(1).await;
    for fact in listed {
        followers.published.put(fact.clone());
        let Fact::Listed(target) = fact else {
            panic!("an entry was expected");
        };
        for node in &followers.nodes {
            node.until("the target", |known| {
                known.members.get(&target.id).is_some()
            })
            .await;
        }
    }
}

/// The path from one reader to the platform is cut without a sign: its watch
/// hangs. It and those who hear it learn of the next change from the others.
#[tokio::test]
async fn a_reader_that_hears_nothing_from_the_source_hears_the_others() {
    let followers = followers(NODES).await;
    let mut readers: Vec<_> = followers.readers().collect();
    let deaf = readers.pop().expect("there are readers");
    deaf.source.set_mode(SourceMode::Silent);
    let version = followers.version() + 1;
    followers.published.put_version(version);
    followers.until_version(version).await;
}

/// Every reader is frozen: their links stay open and say nothing. The others
/// notice the silence, read for themselves, and have the change in force.
#[tokio::test]
async fn nodes_read_for_themselves_when_no_reader_speaks() {
    let followers = followers(NODES).await;
    let version = followers.version() + 1;
    for reader in followers.readers() {
        reader.freeze();
    }
    followers.published.put_version(version);
    let rest = followers.nodes.iter().filter(|node| !node.reads());
    for node in rest {
        node.until_version(version).await;
        assert!(node.source.calls() > 0);
    }
}

/// The platform turns the readers away and serves the others. The readers say
/// so at once, and the others read for themselves.
#[tokio::test]
async fn readers_that_are_turned_away_say_so() {
    let followers = followers(NODES).await;
    for reader in followers.readers() {
        reader.source.set_mode(SourceMode::Failing);
    }
    let version = followers.version() + 1;
    followers.published.put_version(version);
    let rest = followers.nodes.iter().filter(|node| !node.reads());
    for node in rest {
        node.until_version(version).await;
    }
    for reader in followers.readers() {
        reader.source.set_mode(SourceMode::Normal);
        reader.until_version(version).await;
    }
}

/// Guards against long watches of nodes that lost their readers, which the platform may forget.
#[tokio::test]
async fn reserves_watch_for_a_short_time_only_and_the_others_hear_of_it() {
    let followers = followers(NODES).await;
    for reader in followers.readers() {
        reader.source.set_mode(SourceMode::Failing);
    }
    let reserves = followers.nodes.iter().filter(|node| node.is_reserve());
    assert_eq!(reserves.clone().count() as u64, READERS);
    for node in reserves {
        node.until_read().await;
        assert!(node.source.last_wait_ms() <= Millis(1_000), "{}", node.ip);
    }
    let version = followers.version() + 1;
    followers.published.put_version(version);
    followers.until_version(version).await;
    for node in followers.nodes.iter().filter(|node| !node.reads()) {
        assert!(node.source.last_wait_ms() <= Millis(1_000), "{}", node.ip);
    }
}

/// The source drops its history with changes that no watch has seen. The readers
/// read everything anew and tell the others what is different; did they not, all
/// nodes would turn to the source at once, knowing only what was before.
#[tokio::test]
async fn a_dropped_history_is_made_up_for_by_the_readers() {
    let followers = followers(NODES).await;
    let gone = member(90, "s", ([127, 0, 0, 1], 9).into());
    followers.published.put(Fact::Listed(gone.clone()));
    let version = followers.version() + 1;
    followers.published.put_version(version);
    followers.until_version(version).await;
    let told: Vec<_> = followers
        .nodes
        .iter()
        .filter(|node| !node.reads())
        .collect();
    let calls = |told: &[&Follower]| -> u64 { told.iter().map(|node| node.source.calls()).sum() };
    let before = calls(&told);
    let unseen = vec![Fact::Removed(gone.id.clone()), version_fact(version + 1)];
    followers.published.put_unseen(unseen);
    followers.until_version(version + 1).await;
    assert_eq!(calls(&told), before);
    for node in &followers.nodes {
        let directory = node.directory.load();
        assert!(directory.members.get(&gone.id).is_none(), "{}", node.ip);
    }
}

/// A third of the VMs is cut off from the platform, and their entries lapse though
/// their targets serve. Whoever reaches the platform leaves them alone. One that
/// was cut off hears of it from readers: it keeps using them, or nobody would,
/// until it reaches the platform itself.
#[tokio::test]
async fn a_node_that_is_cut_off_keeps_targets_that_lapse() {
    // Enough that some still follow others when four are gone.
    let followers = followers(NODES + 4).await;
    let mut told = followers.nodes.iter().filter(|node| !node.reads());
    let (cut, other) = (
        told.next().expect("more than readers"),
        told.next().expect("more than readers"),
    );
    cut.source.set_mode(SourceMode::Failing);
    let lapsing = followers.lapse(cut, 3);
    other
        .until("the lapse", |known| !knows_any(known, &lapsing))
        .await;
    cut.until_read().await;
    cut.until_read().await;
    let directory = cut.directory.load();
    assert!(lapsing.iter().all(|id| directory.members.get(id).is_some()));
    cut.source.set_mode(SourceMode::Normal);
    cut.until("the lapse", |known| !knows_any(known, &lapsing))
        .await;
}

/// The same is told to a node that reaches the platform: it asks once, and leaves
/// the targets alone as the others do.
#[tokio::test]
async fn a_node_that_is_not_cut_off_lets_lapsed_targets_go() {
    let followers = followers(NODES).await;
    let own = followers.nodes.iter().find(|node| !node.reads());
    let lapsing = followers.lapse(own.expect("more than readers"), 0);
    for node in &followers.nodes {
        node.until("the lapse", |known| !knows_any(known, &lapsing))
            .await;
    }
}

fn knows_any(directory: &Directory, ids: &[TargetId]) -> bool {
    ids.iter().any(|id| directory.members.get(id).is_some())
}

/// A target leaves while others are told by readers. It must not come back by
/// what is told late, by a reader that learnt of its arrival after its end.
#[tokio::test]
async fn a_target_that_left_does_not_come_back() {
    let followers = followers(NODES).await;
    let gone = member(90, "s", ([127, 0, 0, 1], 9).into());
    for _ in 0..5 {
        followers.published.put(Fact::Listed(gone.clone()));
        followers.published.put(Fact::Removed(gone.id.clone()));
        let version = followers.version() + 1;
        followers.published.put_version(version);
        followers.until_version(version).await;
        for node in &followers.nodes {
            let directory = node.directory.load();
            assert!(directory.members.get(&gone.id).is_none(), "{}", node.ip);
        }
    }
}

/// A configuration is too large to be told by readers on thin lines. They tell that it is
/// there, and what changes after it; each other node reads it once for itself.
#[tokio::test]
async fn a_large_configuration_is_read_by_each_node_once() {
    let followers = followers(NODES).await;
    let before = followers.calls();
    let version = followers.version() + 1;
    followers.published.put(large(version));
    followers.until_version(version).await;
    let others = NODES as u64 - READERS;
    assert!(followers.calls() - before >= others);
    for node in followers.nodes.iter().filter(|node| !node.reads()) {
        assert_eq!(node.source.reads_of_routes(), 1, "{}", node.ip);
    }
}

/// A configuration of four thousand routes.
fn large(version: u64) -> Fact {
    let mut routes = RouteSet::new(version, CallerLimits::default());
    routes.set_health_path(ServiceName::new("s"), "/health");
    for number in 0..4_000 {
        let prefix = format!("/large-{number}/");
        routes.add("h", route("large", &prefix, CallKind::Idempotent, "s", 500));
    }
    Fact::Routes(routes)
}

/// Targets lapse while the source is away, for a node that reads for itself. It lets them
/// go by its first good read: held still, they would cost it a second one of everything,
/// and a whole fleet does so at the end of an outage.
#[tokio::test]
async fn lapses_are_taken_with_the_first_good_read() {
    const FEW: usize = 2;
    let (followers, listed) = unlisted(FEW, Millis(1_000)).await;
    followers.published.put_all(listed);
    for node in &followers.nodes {
        node.until("all targets", |known| known.members.iter().count() == FEW)
            .await;
    }
    let [first, second] = &followers.nodes[..] else {
        panic!("there are two nodes");
    };
    first.source.set_mode(SourceMode::Failing);
    first.until_read().await;
    let gone = followers.lapse(second, 0);
    second
        .until("the lapse", |known| !knows_any(known, &gone))
        .await;
    let before = first.source.listings();
    first.source.set_mode(SourceMode::Normal);
    first
        .until("the lapse", |known| !knows_any(known, &gone))
        .await;
    first.until_read().await;
    assert_eq!(first.source.listings(), before);
}
