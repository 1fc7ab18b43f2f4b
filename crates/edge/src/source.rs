//! Where configuration and targets come from.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// One read of a source.
pub type ReadFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, SourceFault>> + Send + 'a>>;

/// What a platform publishes, for reading.
///
/// The platform counts its changes with one revision that only rises. Reads may
/// be dropped before they end, and several may be in hand at once.
///
/// Each read fails once its answer should have begun, or gone on, `idle_timeout_ms` ago. An
/// answer that goes on coming may take as long as the line needs for it.
pub trait Source: Send + Sync + std::fmt::Debug {
    /// Reads everything.
    fn read_all(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Listing>;

    /// Reads everything from a replica that may be seconds behind, where that is cheaper.
    /// The listing's revision and age say nothing.
    fn read_stale(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Listing>;

    /// Waits until something changes after a revision; empty when nothing did
    /// for as long as `wait_ms`.
    fn watch(
        &self,
        after: u64,
        wait_ms: Millis,
        idle_timeout_ms: Millis,
    ) -> ReadFuture<'_, Changes>;

    /// Reads the entry of one target; `None` when it is not listed.
    fn read_target<'a>(
        &'a self,
        id: &'a TargetId,
        idle_timeout_ms: Millis,
    ) -> ReadFuture<'a, Option<Member>>;

    /// Reads the configuration alone; `None` when there is none that can be used.
    fn read_routes(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Option<RouteSet>>;
}

/// A source that several parts of a node read.
pub type SharedSource = Arc<dyn Source>;

/// Why a read brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SourceFault {
    /// The changes after the revision are no longer held: everything has to be
    /// read anew.
    #[error("its history is gone")]
    HistoryGone,
    /// It could not be read, for this reason.
    #[error("{0}")]
    Failed(String),
}

/// Everything that is published.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The configuration, if there is one that can be used.
    pub routes: Option<RouteSet>,
    /// The targets.
    pub members: Vec<Member>,
    /// Every change up to this revision is contained.
    pub revision: u64,
    /// Time since the source began to answer.
    pub age_ms: Millis,
}

/// Changes in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes that can be used.
    pub changes: Vec<Change>,
    /// No change up to this revision is left out.
    pub revision: u64,
    /// Time since the source began to answer.
    pub age_ms: Millis,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision at which it was made.
    pub revision: u64,
    /// What is so since.
    pub fact: Fact,
}

/// What a change brought.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// A configuration was written.
    Routes(RouteSet),
    /// A configuration of this version was written. It is too large to be told from node
    /// to node; who hears of it reads it from the source.
    LargeRoutes(u64),
    /// A target's entry was written.
    Listed(Member),
    /// A target's entry was removed.
    Removed(TargetId),
}
