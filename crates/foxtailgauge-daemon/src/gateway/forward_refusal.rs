//! Responses of the gateway itself, and what they guarantee about execution.

use crate::gateway::authentication::SenderRefusal;
use crate::hop::forward_body::ForwardBody;
use foxtailgauge_core::Attempts;
use foxtailgauge_platform::headers::RETRY_AFTER;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use std::time::{Duration, Instant};

/// Retry delay if the daemon is stopping; another daemon can respond.
const OTHER_DAEMON_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Retry delay if the daemon has no configuration yet. After the whole fleet restarted, replicas need
/// about a second until they serve one; a caller that comes back earlier is refused again.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Retry delay if no backend server accepts requests.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Largest jitter, as a share of the retry delay, so that callers do not retry all at once.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// Why the gateway responds in place of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Refusal {
    /// The daemon has no configuration yet.
    NoConfiguration,
    /// The daemon is stopping.
    Stopping,
    /// No route of the host has a prefix that matches the path.
    UnknownRoute,
    /// The route needs a key, and the request has none or one of no workspace.
    UnknownKey,
    /// The sender's workspace has used up its allotment. Not executed.
    OverAllotment {
        /// Time until the excess is paid off.
        retry_after: Duration,
    },
    /// The bytes are not the head of a request.
    MalformedHead,
    /// The head exceeds the limit.
    HeadTooLarge,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body ended early or cannot be read.
    MalformedBody,
    /// The body did not arrive in time.
    SlowBody,
    /// No backend server of the service accepts requests. Not executed.
    NoServer,
    /// All backend servers tried are at capacity. Not executed.
    Overloaded {
        /// Delay until capacity is expected.
        retry_after: Duration,
    },
    /// A backend server declined the request. Not executed.
    Declined {
        /// Delay until another try may succeed.
        retry_after: Duration,
    },
    /// The request was in flight when several backend servers crashed. Not executed.
    Quarantined {
        /// Time until the quarantine ends.
        retry_after: Duration,
    },
    /// It is unknown whether the request was executed.
    OutcomeUnknown,
    /// The deadline passed, and the request may have been executed.
    TimedOut,
}

impl Refusal {
    /// The refusal when no further attempt is made.
    pub(crate) fn from_attempts(
        attempts: &Attempts,
        deadline: Instant,
        retry_after: Option<Duration>,
    ) -> Self {
        if attempts.may_have_run() {
            return if Instant::now() >= deadline {
                Refusal::TimedOut
            } else {
                Refusal::OutcomeUnknown
            };
        }
        match (retry_after, attempts.retry_after(retry_after)) {
            (Some(retry_after), _) => Refusal::Overloaded { retry_after },
            (None, Some(retry_after)) => Refusal::Declined { retry_after },
            (None, None) => Refusal::NoServer,
        }
    }

    /// Code in logs, metrics and responses.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Refusal::NoConfiguration => "no_configuration",
            Refusal::Stopping => "stopping",
            Refusal::UnknownRoute => "unknown_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::OverAllotment { .. } => "over_allotment",
            Refusal::MalformedHead => "malformed_request",
            Refusal::HeadTooLarge => "head_too_large",
            Refusal::BodyTooLarge => "body_too_large",
            Refusal::MalformedBody => "malformed_body",
            Refusal::SlowBody => "slow_body",
            Refusal::NoServer => "no_server",
            Refusal::Overloaded { .. } => "overloaded",
            Refusal::Declined { .. } => "declined",
            Refusal::Quarantined { .. } => "quarantined",
            Refusal::OutcomeUnknown => "outcome_unknown",
            Refusal::TimedOut => "timed_out",
        }
    }

    /// Whether the request may have been executed.
    pub(crate) fn may_have_run(&self) -> bool {
        matches!(self, Refusal::OutcomeUnknown | Refusal::TimedOut)
    }

    /// Status of the response. 503, 429 and 408 guarantee that the request was not executed.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Refusal::NoConfiguration
            | Refusal::Stopping
            | Refusal::NoServer
            | Refusal::Overloaded { .. }
            | Refusal::Declined { .. }
            | Refusal::Quarantined { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::UnknownRoute => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::OverAllotment { .. } => StatusCode::TOO_MANY_REQUESTS,
            Refusal::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::MalformedHead | Refusal::MalformedBody => StatusCode::BAD_REQUEST,
            Refusal::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Refusal::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::NoConfiguration => Some(NO_CONFIGURATION_RETRY_AFTER),
            Refusal::Stopping => Some(OTHER_DAEMON_RETRY_AFTER),
            Refusal::NoServer => Some(NO_SERVER_RETRY_AFTER),
            Refusal::Overloaded { retry_after }
            | Refusal::Declined { retry_after }
            | Refusal::Quarantined { retry_after }
            | Refusal::OverAllotment { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

impl From<SenderRefusal> for Refusal {
    fn from(refusal: SenderRefusal) -> Self {
        match refusal {
            SenderRefusal::UnknownKey => Refusal::UnknownKey,
            SenderRefusal::OverAllotment { retry_after } => Refusal::OverAllotment { retry_after },
        }
    }
}

/// The HTTP response for a refusal.
pub(crate) fn refusal_response(refusal: &Refusal) -> Response<ForwardBody> {
    let body = serde_json::json!({ "code": refusal.reason() }).to_string();
    let mut response = Response::new(ForwardBody::from_bytes(body));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(delay) = refusal.retry_after() {
        let jitter = 1.0 + RETRY_AFTER_JITTER * rand::random::<f64>();
        let seconds = format!("{:.3}", delay.as_secs_f64() * jitter);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    let is_body_unread = matches!(
        refusal,
        Refusal::BodyTooLarge | Refusal::MalformedBody | Refusal::SlowBody
    );
    if is_body_unread {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
