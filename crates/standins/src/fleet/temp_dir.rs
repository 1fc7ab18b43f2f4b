//! A temporary directory that is removed when its owner is dropped.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::prelude::*;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A directory below the system's directory for temporary files, removed on drop.
#[derive(Debug)]
pub struct TempDir {
    path: PathBuf,
}

impl TempDir {
    /// Creates a directory with a unique name.
    ///
    /// # Errors
    ///
    /// Fails when the directory cannot be created.
    pub fn create(prefix: &str) -> Result<Self> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!(
            "{prefix}-{}-{}-{number}",
            std::process::id(),
            wall_clock().0
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).wrap_err_with(|| format!("cannot create {}", path.display()))?;
        Ok(Self { path })
    }

    /// Returns the path of the directory.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
