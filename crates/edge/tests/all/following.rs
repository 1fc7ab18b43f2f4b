//! Nodes that learn of changes from others.

use hornbeamhitch_edge::directory::Directory;
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_edge::source::Fact;

use crate::support::follower::{Follower, followers, start_unlisted};
use crate::support::source::{SourceMode, version_fact};
use crate::support::{member, route};

/// More than everyone reads for itself at.
const NODES: usize = 12;
const READERS: u64 = 3;

#[tokio::test]
async fn a_change_costs_one_call_per_reader() {
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
async fn followers_stop_reading_once_the_list_names_readers() {
    // Changes are gathered for 30% of this, in which followers find their readers, and a
    // watch that brings nothing lasts as long.
    let in_force_ms = Millis(10_000);
    let (followers, listed) = start_unlisted(NODES, in_force_ms).await;
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
    for node in followers.nodes.iter().filter(|node| !node.is_reader()) {
        assert_eq!(node.source.calls(), 2, "{}", node.ip);
    }
}

/// All VMs have lost power. A node is among the first that are back, and reads a list
/// to which targets are added one after the other. Gathering changes for as long as it
/// may, a minute here, it would refuse callers for want of targets that are there.
#[tokio::test]
async fn a_started_node_learns_of_changes_soon() {
    let in_force_ms = Millis::from_secs(100);
    let (followers, listed) = start_unlisted(2, in_force_ms).await;
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
async fn a_reader_whose_watch_hangs_receives_changes_from_other_readers() {
    let followers = followers(NODES).await;
    let mut readers: Vec<_> = followers.readers().collect();
    let isolated = readers.pop().expect("there are readers");
    isolated.source.set_mode(SourceMode::Silent);
    let version = followers.version() + 1;
    followers.published.put_version(version);
    followers.until_version(version).await;
}

/// Every reader is frozen: their links stay open and say nothing. The others
/// notice the silence, read for themselves, and have the change in force.
#[tokio::test]
async fn followers_read_the_source_when_all_readers_are_silent() {
    let followers = followers(NODES).await;
    let version = followers.version() + 1;
    for reader in followers.readers() {
        reader.freeze();
    }
    followers.published.put_version(version);
    let rest = followers.nodes.iter().filter(|node| !node.is_reader());
    for node in rest {
        node.until_version(version).await;
        assert!(node.source.calls() > 0);
    }
}

/// The platform turns the readers away and serves the others. The readers say
/// so at once, and the others read for themselves.
#[tokio::test]
async fn readers_report_failed_reads_to_followers() {
    let followers = followers(NODES).await;
    for reader in followers.readers() {
        reader.source.set_mode(SourceMode::Failing);
    }
    let version = followers.version() + 1;
    followers.published.put_version(version);
    let rest = followers.nodes.iter().filter(|node| !node.is_reader());
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
async fn reserves_use_short_watches_and_publish_what_they_read() {
    let followers = followers(NODES).await;
    for reader in followers.readers() {
        reader.source.set_mode(SourceMode::Failing);
    }
    let reserves = followers.nodes.iter().filter(|node| node.is_reserve());
    assert_eq!(reserves.clone().count() as u64, READERS);
    for node in reserves {
        node.until_next_call().await;
        assert!(node.source.last_wait_ms() <= Millis(1_000), "{}", node.ip);
    }
    let version = followers.version() + 1;
    followers.published.put_version(version);
    followers.until_version(version).await;
    for node in followers.nodes.iter().filter(|node| !node.is_reader()) {
        assert!(node.source.last_wait_ms() <= Millis(1_000), "{}", node.ip);
    }
}

/// The source drops its history with changes that no watch has seen. The readers
/// read everything anew and tell the others what is different; did they not, all
/// nodes would turn to the source at once, knowing only what was before.
#[tokio::test]
async fn readers_publish_what_a_dropped_history_hid() {
    let followers = followers(NODES).await;
    let removed = member(90, "s", ([127, 0, 0, 1], 9).into());
    followers.published.put(Fact::Listed(removed.clone()));
    let version = followers.version() + 1;
    followers.published.put_version(version);
    followers.until_version(version).await;
    let subscribers: Vec<_> = followers
        .nodes
        .iter()
        .filter(|node| !node.is_reader())
        .collect();
    let calls = |subscribers: &[&Follower]| -> u64 {
        subscribers.iter().map(|node| node.source.calls()).sum()
    };
    let before = calls(&subscribers);
    let unseen = vec![Fact::Removed(removed.id.clone()), version_fact(version + 1)];
    followers.published.put_and_drop_history(unseen);
    followers.until_version(version + 1).await;
    assert_eq!(calls(&subscribers), before);
    for node in &followers.nodes {
        let directory = node.directory.load();
        assert!(directory.members.get(&removed.id).is_none(), "{}", node.ip);
    }
}

/// A third of the VMs is cut off from the platform, and their entries lapse though
/// their targets serve. Whoever reaches the platform leaves them alone. One that
/// was cut off hears of it from readers: it keeps using them, or nobody would,
/// until it reaches the platform itself.
#[tokio::test]
async fn an_isolated_node_keeps_expired_targets() {
    // Enough that some still follow others when four are gone.
    let followers = followers(NODES + 4).await;
    let mut subscribers = followers.nodes.iter().filter(|node| !node.is_reader());
    let (isolated, other) = (
        subscribers.next().expect("more than readers"),
        subscribers.next().expect("more than readers"),
    );
    isolated.source.set_mode(SourceMode::Failing);
    let expiring = followers.expire_entries(isolated, 3);
    other
        .until("the lapse", |known| !knows_any(known, &expiring))
        .await;
    isolated.until_next_call().await;
    isolated.until_next_call().await;
    let directory = isolated.directory.load();
    assert!(
        expiring
            .iter()
            .all(|id| directory.members.get(id).is_some())
    );
    isolated.source.set_mode(SourceMode::Normal);
    isolated
        .until("the lapse", |known| !knows_any(known, &expiring))
        .await;
}

/// The same is told to a node that reaches the platform: it asks once, and leaves
/// the targets alone as the others do.
#[tokio::test]
async fn a_connected_node_removes_expired_targets() {
    let followers = followers(NODES).await;
    let own = followers.nodes.iter().find(|node| !node.is_reader());
    let expiring = followers.expire_entries(own.expect("more than readers"), 0);
    for node in &followers.nodes {
        node.until("the lapse", |known| !knows_any(known, &expiring))
            .await;
    }
}

fn knows_any(directory: &Directory, ids: &[TargetId]) -> bool {
    ids.iter().any(|id| directory.members.get(id).is_some())
}

/// A target leaves while others are told by readers. It must not come back by
/// what is told late, by a reader that learnt of its arrival after its end.
#[tokio::test]
async fn a_removed_target_does_not_return() {
    let followers = followers(NODES).await;
    let removed = member(90, "s", ([127, 0, 0, 1], 9).into());
    for _ in 0..5 {
        followers.published.put(Fact::Listed(removed.clone()));
        followers.published.put(Fact::Removed(removed.id.clone()));
        let version = followers.version() + 1;
        followers.published.put_version(version);
        followers.until_version(version).await;
        for node in &followers.nodes {
            let directory = node.directory.load();
            assert!(directory.members.get(&removed.id).is_none(), "{}", node.ip);
        }
    }
}

/// A configuration is too large to be told by readers on thin lines. They tell that it is
/// there, and what changes after it; each other node reads it once for itself.
#[tokio::test]
async fn each_node_reads_a_large_configuration_once() {
    let followers = followers(NODES).await;
    let before = followers.calls();
    let version = followers.version() + 1;
    followers.published.put(large(version));
    followers.until_version(version).await;
    let others = NODES as u64 - READERS;
    assert!(followers.calls() - before >= others);
    for node in followers.nodes.iter().filter(|node| !node.is_reader()) {
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
async fn expired_targets_are_removed_by_the_first_successful_read() {
    const FEW: usize = 2;
    let (followers, listed) = start_unlisted(FEW, Millis(1_000)).await;
    followers.published.put_all(listed);
    for node in &followers.nodes {
        node.until("all targets", |known| known.members.iter().count() == FEW)
            .await;
    }
    let [first, second] = &followers.nodes[..] else {
        panic!("there are two nodes");
    };
    first.source.set_mode(SourceMode::Failing);
    first.until_next_call().await;
    let removed = followers.expire_entries(second, 0);
    second
        .until("the lapse", |known| !knows_any(known, &removed))
        .await;
    let before = first.source.listings();
    first.source.set_mode(SourceMode::Normal);
    first
        .until("the lapse", |known| !knows_any(known, &removed))
        .await;
    first.until_next_call().await;
    assert_eq!(first.source.listings(), before);
}
