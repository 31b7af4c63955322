//! Files in JSON, and the errors of this program.

use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::path::{Path, PathBuf};

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BenchError {
    /// A file cannot be read or written.
    File(PathBuf),
    /// A port or address cannot be had.
    Network,
    /// What was waited for did not come.
    TimedOut,
    /// The fleet's plan does not hold what is needed.
    Unexpected,
}

impl fmt::Display for BenchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BenchError::File(path) => write!(f, "{}: cannot be used", path.display()),
            BenchError::Network => write!(f, "network operation failed"),
            BenchError::TimedOut => write!(f, "timed out"),
            BenchError::Unexpected => write!(f, "fleet plan lacks what is needed"),
        }
    }
}

impl std::error::Error for BenchError {}

/// Result of a command.
pub type BenchResult<T> = Result<T, Report<BenchError>>;

/// Reads a JSON file.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> BenchResult<T> {
    let failed = || BenchError::File(path.to_owned());
    let text = std::fs::read_to_string(path).change_context_lazy(failed)?;
    serde_json::from_str(&text).change_context_lazy(failed)
}

/// Writes a JSON file.
pub fn write_json(path: &Path, value: &impl Serialize) -> BenchResult<()> {
    let failed = || BenchError::File(path.to_owned());
    let text = serde_json::to_string_pretty(value).change_context_lazy(failed)?;
    write_text(path, &text)
}

/// Writes a text file.
pub fn write_text(path: &Path, text: &str) -> BenchResult<()> {
    std::fs::write(path, text).change_context_lazy(|| BenchError::File(path.to_owned()))
}
