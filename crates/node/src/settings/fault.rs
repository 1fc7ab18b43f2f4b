//! Faults of a settings file, as shown to operators.

use std::fmt;
use std::path::{Path, PathBuf};

use strum::IntoStaticStr;

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// The file could not be read.
    Unreadable,
    /// The text is not JSON with comments.
    Syntax,
    /// A required key is missing.
    Missing,
    /// The key is not a setting.
    Unknown,
    /// The key appears twice in one object.
    Repeated,
    /// The value is not one of those allowed.
    Value,
    /// The value is valid by itself but conflicts with another setting.
    Clash,
}

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// Path of the key, such as `limits.header_bytes`; empty for the whole
    /// file.
    pub key: String,
    /// The problem, with the value as in the file.
    pub problem: String,
    /// What is allowed instead; may be empty.
    pub allowed: String,
    /// Line, from 1; 0 when the file could not be read.
    pub line: usize,
    /// Column in characters, from 1; 0 when the file could not be read.
    pub column: usize,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}, column {}: ", self.line, self.column)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.problem)?;
        if !self.allowed.is_empty() {
            write!(f, "; allowed: {}", self.allowed)?;
        }
        Ok(())
    }
}

/// All faults of one settings file, ordered by line and column.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SettingsFaults {
    /// The file, if the settings came from one.
    pub file: Option<PathBuf>,
    /// The faults; never empty.
    pub faults: Vec<Fault>,
}

impl SettingsFaults {
    pub(super) fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| (fault.line, fault.column));
        Self { file: None, faults }
    }

    pub(super) fn unreadable(path: &Path, error: std::io::Error) -> Self {
        let fault = Fault {
            kind: FaultKind::Unreadable,
            key: String::new(),
            problem: format!("cannot be read: {error}"),
            allowed: String::new(),
            line: 0,
            column: 0,
        };
        Self::new(vec![fault]).in_file(path)
    }

    pub(super) fn in_file(mut self, path: &Path) -> Self {
        self.file = Some(path.to_owned());
        self
    }
}

/// Writes one line per fault, each preceded by the file, as compilers do.
impl fmt::Display for SettingsFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            match &self.file {
                Some(file) => write!(f, "{}: {fault}", file.display())?,
                None => write!(f, "{fault}")?,
            }
        }
        Ok(())
    }
}
