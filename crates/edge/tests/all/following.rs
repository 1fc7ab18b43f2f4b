//! Tests of nodes that receive changes from other nodes.

use hornbeamhitch_edge::directory::Directory;
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_edge::source::Fact;

use crate::support::follower::{Follower, followers, start_unlisted};
use crate::support::source::{SourceMode, version_fact};
use crate::support::{member, route};

/// More nodes than the number up to which all of them are readers.
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

/// After a power loss all nodes are back before their targets are listed again, and each
/// of them watches the source until then. The listing determines the readers, so the
/// watch that returns it must be the last call of all other nodes.
#[tokio::test]
async fn followers_stop_reading_once_the_list_names_readers() {
    // The debounce interval, in which followers subscribe to their readers, is 30% of
    // this time. A watch without changes lasts as long.
    let in_force_ms = Millis(10_000);
    let (followers, listed) = start_unlisted(NODES, in_force_ms).await;
    // One call reads the complete listing, and one watches.
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

/// After a power loss the first nodes read a listing to which targets are added one after
/// the other. With the full debounce interval, one minute here, they would reject callers
/// for lack of targets that are already running.
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

/// The path from one reader to the platform is cut silently, so its watch hangs. The
/// reader and its subscribers receive the next change from the other readers.
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

/// All readers are frozen: their links stay open without sending anything. The other
/// nodes detect the silence, read the source, and put the change in force.
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

/// The platform rejects the readers and serves the other nodes. The readers report this
/// immediately, and the other nodes read the source.
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

/// Guards against long watches of nodes without readers: the platform may lose such
/// watches.
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

/// The source drops its history with changes that no watch has returned. The readers read
/// the complete listing and publish the difference. Otherwise all nodes would read the
/// source at once, with an outdated state.
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

/// A third of the VMs is partitioned from the platform, and their entries expire although
/// their targets are serving. Nodes that reach the platform stop using these targets. A
/// partitioned node receives the removals from readers, but keeps using the targets until
/// it reaches the platform itself, as otherwise no node would use them.
#[tokio::test]
async fn an_isolated_node_keeps_expired_targets() {
    // Enough nodes that some still follow others when four are removed.
    let followers = followers(NODES + 4).await;
    let mut subscribers = followers.nodes.iter().filter(|node| !node.is_reader());
    let (isolated, other) = (
        subscribers.next().expect("more than readers"),
        subscribers.next().expect("more than readers"),
    );
    isolated.source.set_mode(SourceMode::Failing);
    let expiring = followers.expire_entries(isolated, 3);
    other
        .until("the removal", |known| !knows_any(known, &expiring))
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
        .until("the removal", |known| !knows_any(known, &expiring))
        .await;
}

/// A node that reaches the platform receives the same removals. It reads the source once
/// and removes the targets as the other nodes do.
#[tokio::test]
async fn a_connected_node_removes_expired_targets() {
    let followers = followers(NODES).await;
    let own = followers.nodes.iter().find(|node| !node.is_reader());
    let expiring = followers.expire_entries(own.expect("more than readers"), 0);
    for node in &followers.nodes {
        node.until("the removal", |known| !knows_any(known, &expiring))
            .await;
    }
}

fn knows_any(directory: &Directory, ids: &[TargetId]) -> bool {
    ids.iter().any(|id| directory.members.get(id).is_some())
}

/// Guards against a target that returns after its removal because a reader that learnt of
/// its registration late publishes it after its end.
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

/// Guards against a large configuration that each node reads from the source. Readers
/// publish the digests of its parts, which the others fetch from them and from each other.
#[tokio::test]
async fn a_large_configuration_costs_no_read_of_a_follower() {
    let followers = followers(NODES).await;
    let version = followers.version() + 1;
    followers.published.put(large_configuration(version));
    followers.until_version(version).await;
    for node in &followers.nodes {
        assert_eq!(node.source.route_reads(), 0, "{}", node.ip);
    }
}

/// Returns a configuration of four thousand routes.
fn large_configuration(version: u64) -> Fact {
    let mut routes = RouteSet::new(version, CallerLimits::default());
    routes.set_health_path(ServiceName::new("s"), "/health");
    for number in 0..4_000 {
        let prefix = format!("/large-{number}/");
        routes.add("h", route("large", &prefix, CallKind::Idempotent, "s", 500));
    }
    Fact::Routes(routes)
}

/// Targets expire while a node that reads the source cannot reach it. Its first
/// successful read must remove them. Deferring the removals would require a second
/// complete read, of each node in the fleet at the end of an outage.
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
        .until("the removal", |known| !knows_any(known, &removed))
        .await;
    let before = first.source.listings();
    first.source.set_mode(SourceMode::Normal);
    first
        .until("the removal", |known| !knows_any(known, &removed))
        .await;
    first.until_next_call().await;
    assert_eq!(first.source.listings(), before);
}
