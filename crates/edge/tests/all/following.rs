//! Nodes that learn of changes from others.

use hornbeamhitch_edge::source::Fact;

use crate::support::follower::followers;
use crate::support::member;
use crate::support::source::Mood;

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

/// The path from one reader to the platform is cut without a sign: its watch
/// hangs. It and those who hear it learn of the next change from the others.
#[tokio::test]
async fn a_reader_that_hears_nothing_from_the_source_hears_the_others() {
    let followers = followers(NODES).await;
    let mut readers: Vec<_> = followers.readers().collect();
    let deaf = readers.pop().expect("there are readers");
    deaf.source.set_mood(Mood::Silent);
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
        reader.source.set_mood(Mood::Failing);
    }
    let version = followers.version() + 1;
    followers.published.put_version(version);
    let rest = followers.nodes.iter().filter(|node| !node.reads());
    for node in rest {
        node.until_version(version).await;
    }
    for reader in followers.readers() {
        reader.source.set_mood(Mood::Calm);
        reader.until_version(version).await;
    }
}

/// A target leaves while others are told by readers. It must not come back by
/// what is told late, by a reader that learnt of its arrival after its end.
#[tokio::test]
async fn a_target_that_left_does_not_come_back() {
    let followers = followers(NODES).await;
    let gone = member(90, "s", ([127, 0, 0, 1], 9).into());
    for _ in 0..5 {
        followers.published.put(Fact::Listed(gone.clone()));
        followers.published.put(Fact::Left(gone.id.clone()));
        let version = followers.version() + 1;
        followers.published.put_version(version);
        followers.until_version(version).await;
        for node in &followers.nodes {
            let directory = node.directory.load();
            assert!(directory.members.get(&gone.id).is_none(), "{}", node.ip);
        }
    }
}
