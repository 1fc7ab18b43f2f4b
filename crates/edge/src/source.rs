//! Where configuration and targets come from.

use std::future::Future;
use std::pin::Pin;

use crate::directory::DirectoryWriter;

/// A source's work on the control thread.
pub type SourceFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Reads what a platform publishes and writes it to the directory, for as long
/// as the process lives.
pub trait Source: Send {
    /// Starts following; never returns while the process lives.
    fn follow(self: Box<Self>, directory: DirectoryWriter) -> SourceFuture;
}
