//! Answers of the gateway itself, and what they promise.

use crate::forward_body::ForwardBody;
use foxtailgauge_core::Attempts;
use foxtailgauge_platform::headers::RETRY_AFTER;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use std::time::{Duration, Instant};

/// When to come back to a daemon that holds no configuration yet or stops.
const OTHER_DAEMON_RETRY_AFTER: Duration = Duration::from_millis(100);
/// When to come back if no backend server takes work.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Part of the delay that is random, so that callers do not retry together.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// Why the gateway answers instead of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Refusal {
    /// The daemon holds no configuration yet.
    NoConfiguration,
    /// The daemon stops.
    Stopping,
    /// No route begins the path on this host.
    UnknownRoute,
    /// The head exceeds the limit.
    HeadTooLarge,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body broke off or cannot be read.
    MalformedBody,
    /// The body did not arrive in time.
    SlowBody,
    /// No backend server of the service takes work. Not run.
    NoServer,
    /// All backend servers tried are full. Not run.
    Overloaded {
        /// When there is likely to be room.
        retry_after: Duration,
    },
    /// It was in flight when several backend servers died. Not run.
    Quarantined {
        /// When it may be tried again.
        retry_after: Duration,
    },
    /// Nobody knows whether it ran.
    OutcomeUnknown,
    /// The time is over, and it may have run.
    TimedOut,
}

impl Refusal {
    /// The refusal after the last attempt.
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
        match retry_after {
            Some(retry_after) => Refusal::Overloaded { retry_after },
            None => Refusal::NoServer,
        }
    }

    /// Name in logs, metrics and answers.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Refusal::NoConfiguration => "no_configuration",
            Refusal::Stopping => "stopping",
            Refusal::UnknownRoute => "unknown_route",
            Refusal::HeadTooLarge => "head_too_large",
            Refusal::BodyTooLarge => "body_too_large",
            Refusal::MalformedBody => "malformed_body",
            Refusal::SlowBody => "slow_body",
            Refusal::NoServer => "no_server",
            Refusal::Overloaded { .. } => "overloaded",
            Refusal::Quarantined { .. } => "quarantined",
            Refusal::OutcomeUnknown => "outcome_unknown",
            Refusal::TimedOut => "timed_out",
        }
    }

    /// Status of the answer. 503, 429 and 408 promise that nothing ran.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Refusal::NoConfiguration
            | Refusal::Stopping
            | Refusal::NoServer
            | Refusal::Overloaded { .. }
            | Refusal::Quarantined { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::UnknownRoute => StatusCode::NOT_FOUND,
            Refusal::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::MalformedBody => StatusCode::BAD_REQUEST,
            Refusal::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Refusal::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::NoConfiguration | Refusal::Stopping => Some(OTHER_DAEMON_RETRY_AFTER),
            Refusal::NoServer => Some(NO_SERVER_RETRY_AFTER),
            Refusal::Overloaded { retry_after } | Refusal::Quarantined { retry_after } => {
                Some(*retry_after)
            }
            _ => None,
        }
    }
}

/// The answer that tells a refusal.
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
