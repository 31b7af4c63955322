//! Responses to callers of the product's own routes, and refusals in place of them.

use foxtailgauge_core::ConfigVersion;
use foxtailgauge_wire::{BackendResponse, Outcome};
use std::time::Duration;

/// Why the gateway responds in place of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No route matches the method and the path.
    UnknownRoute,
    /// The value of a header that is forwarded is not text.
    MalformedHeader,
    /// The route needs the key of a workspace, and the request has none or an unknown one.
    UnknownKey,
    /// The sender's workspace has used up its allotment.
    OverAllotment,
    /// The route is billable and the request has no idempotency key.
    MissingKey,
    /// The key is not a UUIDv7.
    MalformedKey,
    /// The key was used for another request.
    KeyReused,
    /// The key is older than the ledger's retention.
    KeyExpired,
    /// The key's time lies in the future.
    KeyFromFuture,
    /// The deadline passed before the first attempt.
    DeadlinePassed,
    /// The daemon has no configuration yet.
    NotReady,
    /// The service has no backend server that accepts requests.
    NoServer,
    /// All backend servers tried are at capacity, draining or unreachable.
    Overloaded,
    /// The ledger has no quorum.
    LedgerUnavailable,
    /// The request was in flight when several backend servers crashed.
    Quarantined,
    /// The request was in flight when a backend server crashed, and another copy of it is in flight
    /// now.
    Suspected,
    /// Another attempt of the same action may still be running.
    InProgress,
    /// It cannot be determined whether the request was executed.
    OutcomeUnknown,
    /// The deadline passed after the request may have started.
    TimedOut,
    /// The backend server's response exceeds the size limit.
    AnswerTooLarge,
}

impl Refusal {
    /// Whether the request may have been executed.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(
            self,
            Refusal::OutcomeUnknown | Refusal::TimedOut | Refusal::AnswerTooLarge
        )
    }

    /// Whether the refusal says nothing about earlier attempts with the same key, of which only the
    /// ledger knows.
    pub(crate) fn leaves_key_open(self) -> bool {
        match self {
            Refusal::UnknownRoute
            | Refusal::MalformedHeader
            | Refusal::OverAllotment
            | Refusal::DeadlinePassed
            | Refusal::NotReady
            | Refusal::NoServer
            | Refusal::Overloaded
            | Refusal::Quarantined
            | Refusal::Suspected => true,
            // A sender that is not known learns nothing about the actions of others.
            Refusal::UnknownKey
            | Refusal::MissingKey
            | Refusal::MalformedKey
            | Refusal::KeyReused
            | Refusal::KeyExpired
            | Refusal::KeyFromFuture
            | Refusal::LedgerUnavailable
            | Refusal::InProgress
            | Refusal::OutcomeUnknown
            | Refusal::TimedOut
            | Refusal::AnswerTooLarge => false,
        }
    }
}

/// Result of a caller's request.
#[derive(Clone, Debug)]
pub(crate) struct CallerResponse {
    /// Whether the request was executed.
    pub(crate) outcome: Outcome,
    /// Version of the configuration that it was routed by.
    pub(crate) version: ConfigVersion,
    /// Delay before a retry.
    pub(crate) retry_after: Option<Duration>,
    /// The backend server's response, or the reason why there is none.
    pub(crate) result: Result<BackendResponse, Refusal>,
    /// Whether the response is the recorded one of an earlier run.
    pub(crate) is_replay: bool,
}

impl CallerResponse {
    pub(crate) fn refused(version: ConfigVersion, outcome: Outcome, refusal: Refusal) -> Self {
        CallerResponse {
            outcome,
            version,
            retry_after: None,
            result: Err(refusal),
            is_replay: false,
        }
    }

    pub(crate) fn not_run(version: ConfigVersion, refusal: Refusal) -> Self {
        CallerResponse::refused(version, Outcome::NotRun, refusal)
    }

    /// Whether the request counts in its sender's allotment. A recorded response is one of a request
    /// that has been counted.
    pub(crate) fn is_counted(&self) -> bool {
        match &self.result {
            Ok(_) => !self.is_replay,
            Err(refusal) => refusal.may_have_run(),
        }
    }

    pub(crate) fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
