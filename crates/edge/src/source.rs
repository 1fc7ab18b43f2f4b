//! Interface to the source of configuration and targets.

use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use hornbeamhitch_dispatch::routing::routes::parts::RoutesManifest;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Future of one read of a source.
pub type ReadFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, SourceFault>> + Send + 'a>>;

/// Read access to the configuration and targets that a platform publishes.
///
/// The platform numbers its changes with a single revision, which increases within an era.
/// A platform that returns from an older copy of itself begins a new era. What it has
/// published since that copy was made is then gone, or is published again.
///
/// A read may be cancelled by dropping its future, and several reads may run concurrently.
///
/// A read fails when its response does not begin or continue within `idle_timeout_ms`.
/// The total duration of a response is not limited, so large responses may use slow
/// links.
pub trait Source: Send + Sync + std::fmt::Debug {
    /// Reads the complete listing.
    fn read_all(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Listing>;

    /// Reads the complete listing from a replica where that is cheaper. The replica may
    /// lag by seconds, and the revision and age of the listing are meaningless.
    fn read_stale(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Listing>;

    /// Waits for changes after a revision. Returns an empty list if there are none within
    /// `wait_ms`.
    fn watch(
        &self,
        after: Revision,
        wait_ms: Millis,
        idle_timeout_ms: Millis,
    ) -> ReadFuture<'_, Changes>;

    /// Reads the entry of one target. Returns `None` if it is not listed.
    fn read_target<'a>(
        &'a self,
        id: &'a TargetId,
        idle_timeout_ms: Millis,
    ) -> ReadFuture<'a, Option<Member>>;

    /// Reads only the configuration. Returns `None` if there is no valid one.
    fn read_routes(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Option<RouteSet>>;

    /// Whether an answer has begun to arrive and is not complete yet. This is false again
    /// once the answer has not continued within its idle timeout.
    fn is_receiving(&self) -> bool;
}

/// A source shared by several parts of a node.
pub type SharedSource = Arc<dyn Source>;

/// Reason for a failed read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SourceFault {
    /// The source has dropped the changes after the revision, so the complete listing has
    /// to be read.
    #[error("the source dropped the requested history")]
    HistoryGone,
    /// The read failed for this reason.
    #[error("{0}")]
    Failed(String),
}

/// The complete published state.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The configuration, if there is a valid one.
    pub routes: Option<RouteSet>,
    /// The targets.
    pub members: Vec<Member>,
    /// The evacuated data centres.
    pub evacuated: BTreeSet<DataCentre>,
    /// Revision up to which all changes are included.
    pub revision: Revision,
    /// Time since the source began to respond.
    pub age_ms: Millis,
}

/// Changes in the order of their revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The valid changes.
    pub changes: Vec<Change>,
    /// Revision up to which no change is missing. In another era than that of the watch,
    /// any change may be missing.
    pub revision: Revision,
    /// Time since the source began to respond.
    pub age_ms: Millis,
}

/// A published change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the change.
    pub revision: Revision,
    /// The new fact.
    pub fact: Fact,
}

/// Content of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// A configuration was written.
    Routes(RouteSet),
    /// A configuration of this version was written that is too large for the change feed.
    /// Nodes that receive this change read the configuration from the source. Only nodes
    /// of an earlier program publish it.
    LargeRoutes(u64),
    /// A target's entry was written.
    Listed(Member),
    /// A target's entry was removed.
    Removed(TargetId),
    /// A data centre is evacuated: its targets get no new work.
    EvacuationStarted(DataCentre),
    /// A data centre is no longer evacuated.
    EvacuationEnded(DataCentre),
    /// The changes of this revision were derived from a complete listing by a reader that
    /// knew everything up to the revision `after`. What was published and withdrawn again
    /// in between is missing. Only the change feed contains this.
    DerivedFromListing {
        /// Revision that the reader knew before.
        after: Revision,
    },
    /// A configuration was written that is too large for the change feed. Nodes that receive
    /// this change fetch the parts that they lack from other nodes. Only the change feed
    /// contains this.
    RoutesInParts(RoutesManifest),
    /// The same for a configuration whose manifest is large. Nodes that receive this change
    /// fetch the manifest before the parts.
    RoutesByDigest {
        /// Version of the configuration.
        version: u64,
        /// Digest of the encoded manifest.
        manifest: PartDigest,
    },
}
