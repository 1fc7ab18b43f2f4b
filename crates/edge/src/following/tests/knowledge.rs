//! Tests of which updates of readers a node applies.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

use hornbeamhitch_dispatch::knowledge::waits::Waits;

use super::source::Published;
use super::{IN_FORCE_MS, in_virtual_time};
use crate::directory::DirectoryWriter;
use crate::feed::{ChangeFeed, FeedEvent, TcpFeedLinks};
use crate::following::knowledge::KnownState;
use crate::following::large_routes::{LargeRoutes, RoutesAccess};
use crate::prelude::*;
use crate::source::{Change, Fact};

const OWN_IP: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1));
const FORMER: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 2));
const PRESENT: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 3));

/// Returns the state of a node that knows nothing.
fn empty_state() -> KnownState {
    let (clock, waits) = (ProcessClock::start(), Waits::new(IN_FORCE_MS));
    let feed = Arc::new(ChangeFeed::new(clock, waits));
    let access = RoutesAccess {
        own_ip: OWN_IP,
        source: Arc::new(Published::new().source()),
        links: Arc::new(TcpFeedLinks { port: 9 }),
        feed: Arc::clone(&feed),
        waits,
    };
    let (events, _) = tokio::sync::mpsc::unbounded_channel();
    let large_routes = LargeRoutes::start(access, events);
    let directory = DirectoryWriter::new(SharedDirectory::default(), clock);
    KnownState::new(directory, feed, large_routes, OWN_IP, waits)
}

fn update(reader: IpAddr, changes: Vec<(u64, Fact)>, revision: u64) -> FeedEvent {
    let change = |(number, fact)| Change {
        revision: Revision::new(0, number),
        fact,
    };
    FeedEvent::Update {
        reader,
        changes: changes.into_iter().map(change).collect(),
        revision: Revision::new(0, revision),
        last_read_failed: false,
        is_receiving: false,
        as_of: Millis::ZERO,
    }
}

/// Guards against a former reader whose later updates are applied although an earlier one
/// was skipped, so that the changes of that one stay unknown.
#[test]
fn a_former_reader_whose_update_was_skipped_stays_skipped() {
    in_virtual_time(async {
        let mut known = empty_state();
        known.apply_event(update(PRESENT, vec![], 7));
        let after = Revision::new(0, 5);
        let listing = (10, Fact::DerivedFromListing { after });
        known.apply_event(update(FORMER, vec![listing], 10));
        assert_eq!(known.revision(), Revision::new(0, 7));
        known.set_readers(&[PRESENT], &BTreeSet::from([PRESENT, FORMER]));
        known.apply_event(update(FORMER, vec![], 12));
        assert_eq!(known.revision(), Revision::new(0, 7));
        known.apply_event(update(PRESENT, vec![], 12));
        assert_eq!(known.revision(), Revision::new(0, 12));
        // It is up to date again once this node knows all that the reader knew.
        known.apply_event(update(FORMER, vec![], 13));
        assert_eq!(known.revision(), Revision::new(0, 13));
    });
}
