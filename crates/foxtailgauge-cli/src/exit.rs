//! Exit codes.

use crate::client::ClientError;
use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done; for a change: in force on every daemon, or accepted if waiting was not asked for.
    Done,
    /// Something on this side failed, such as reading a file.
    Failed,
    /// Accepted, but not yet in force on every daemon.
    NotEverywhere,
    /// Refused; nothing was changed.
    Refused,
    /// Nobody knows whether the change was accepted; ask again with the same change id.
    OutcomeUnknown,
    /// No majority of replicas could be reached; nothing was changed.
    Unavailable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        // 2 is taken by errors in the command line itself.
        ExitCode::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::NotEverywhere => 3,
            Exit::Refused => 4,
            Exit::OutcomeUnknown => 5,
            Exit::Unavailable => 6,
        })
    }
}

impl From<&ClientError> for Exit {
    fn from(error: &ClientError) -> Self {
        match error {
            ClientError::File { .. } | ClientError::BadAnswer => Exit::Failed,
            ClientError::Refused { .. } => Exit::Refused,
            ClientError::OutcomeUnknown => Exit::OutcomeUnknown,
            ClientError::Unavailable => Exit::Unavailable,
        }
    }
}
