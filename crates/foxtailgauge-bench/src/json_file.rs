//! Access to JSON and text files, and the error type of this crate.

use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::path::{Path, PathBuf};

/// Cause of a failed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BenchError {
    /// A file cannot be read, written or parsed.
    File(PathBuf),
    /// A network operation failed, or no port is available.
    Network,
    /// An operation did not complete in time.
    TimedOut,
    /// A response, an exit status or a value is not as expected.
    Unexpected,
}

impl fmt::Display for BenchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BenchError::File(path) => write!(f, "{}: read, write or parse failed", path.display()),
            BenchError::Network => write!(f, "network operation failed"),
            BenchError::TimedOut => write!(f, "timed out"),
            BenchError::Unexpected => write!(f, "unexpected response, exit status or value"),
        }
    }
}

impl std::error::Error for BenchError {}

/// Result of an operation of this crate.
pub type BenchResult<T> = Result<T, Report<BenchError>>;

/// Reads a JSON file.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> BenchResult<T> {
    let file_error = || BenchError::File(path.to_owned());
    let text = std::fs::read_to_string(path).change_context_lazy(file_error)?;
    serde_json::from_str(&text).change_context_lazy(file_error)
}

/// Writes a JSON file.
pub fn write_json(path: &Path, value: &impl Serialize) -> BenchResult<()> {
    let file_error = || BenchError::File(path.to_owned());
    let text = serde_json::to_string_pretty(value).change_context_lazy(file_error)?;
    write_text(path, &text)
}

/// Writes a text file.
pub fn write_text(path: &Path, text: &str) -> BenchResult<()> {
    std::fs::write(path, text).change_context_lazy(|| BenchError::File(path.to_owned()))
}
