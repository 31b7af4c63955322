//! Exit codes.

use crate::client::ClientError;
use std::process::ExitCode;

/// Result of a command, as its exit code reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded. A change is in force on every daemon, or accepted if `--wait` was not
    /// given.
    Success,
    /// A local failure, such as an unreadable file, or an invalid response.
    Failed,
    /// The version is accepted, but was not in force on every daemon within the timeout.
    WaitTimedOut,
    /// The request was refused; nothing was changed.
    Refused,
    /// The change may have been accepted; retry it with the same change id.
    OutcomeUnknown,
    /// No daemon responded, or none could reach a quorum of replicas; nothing was changed.
    Unavailable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        // clap exits with 2 on usage errors.
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Failed => 1,
            Exit::WaitTimedOut => 3,
            Exit::Refused => 4,
            Exit::OutcomeUnknown => 5,
            Exit::Unavailable => 6,
        })
    }
}

impl From<&ClientError> for Exit {
    fn from(error: &ClientError) -> Self {
        match error {
            ClientError::File { .. } | ClientError::InvalidResponse => Exit::Failed,
            ClientError::Refused { .. } => Exit::Refused,
            ClientError::OutcomeUnknown => Exit::OutcomeUnknown,
            ClientError::Unavailable => Exit::Unavailable,
        }
    }
}
