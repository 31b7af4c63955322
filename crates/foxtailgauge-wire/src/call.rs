//! Calls from the gateway to an executor, and their Cap'n Proto encoding.

use crate::foxtailgauge_capnp::{
    call_reply, call_request, header, Cause as WireCause, Outcome as WireOutcome,
};
use crate::http::VALID_STATUSES;
use foxtailgauge_core::{ActionKey, AttemptId};
use std::time::Duration;

/// Whether a request was executed, as far as the caller can rely on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was executed and the response is from the backend server.
    Ran,
    /// The request was not executed, and will not be executed later under this key without a retry.
    NotRun,
    /// The request may or may not have been executed.
    Unknown,
}

impl Outcome {
    /// Value of the header `Foxtailgauge-Outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why an attempt ended without a response from the backend server, or where the response is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The backend server responded.
    None,
    /// The daemon has no backend server of that name.
    UnknownServer,
    /// The backend server is draining.
    Draining,
    /// The queue for the backend server is full.
    QueueFull,
    /// The expected queueing time exceeds the deadline.
    TooLate,
    /// No connection to the backend server could be opened.
    Unreachable,
    /// The backend server refused the request before executing it.
    Shed,
    /// The connection failed after the request was sent.
    Died,
    /// The deadline passed while the request was being executed.
    TimedOut,
    /// The ledger did not respond.
    LedgerUnreachable,
    /// Another attempt of the same action may be in progress.
    InProgress,
    /// The outcome of an earlier attempt of the action cannot be determined.
    Lost,
    /// The attempt was voided: it was not executed and will not be.
    Voided,
    /// The idempotency key was used for a different request.
    OtherRequest,
    /// The idempotency key is older than the retention period.
    ExpiredKey,
    /// The timestamp of the idempotency key is in the future.
    FutureKey,
    /// The backend server's response exceeds the size limit.
    AnswerTooLarge,
    /// The action was executed earlier; the response is the recorded one.
    Replayed,
}

/// An attempt to execute a request on one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Unique identifier of the attempt.
    pub attempt: AttemptId,
    /// Name of the backend server, which runs on the executor's instance.
    pub server: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Idempotency key; present for billable actions only.
    pub key: Option<ActionKey>,
    /// Maximum number of requests queued for the backend server.
    pub queue_requests: u64,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// Reason for the outcome.
    pub cause: Cause,
    /// Delay before the next retry.
    pub retry_after: Option<Duration>,
    /// Response of the backend server, if there is one.
    pub response: Option<BackendResponse>,
    /// Requests that the backend server is executing at present.
    pub in_flight: u32,
}

/// HTTP response of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendResponse {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl CallReply {
    /// Creates a reply without a response of the backend server.
    pub fn without_response(outcome: Outcome, cause: Cause) -> Self {
        CallReply {
            outcome,
            cause,
            retry_after: None,
            response: None,
            in_flight: 0,
        }
    }

    /// Sets the delay before the next retry.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl CallRequest {
    /// Writes the request into a message.
    pub fn write(&self, mut builder: call_request::Builder<'_>) {
        builder.set_attempt(self.attempt.as_bytes());
        builder.set_server(&self.server);
        builder.set_method(&self.method);
        builder.set_target(&self.target);
        builder.set_body(&self.body);
        builder.set_remaining_us(u64::try_from(self.time_left.as_micros()).unwrap_or(u64::MAX));
        builder.set_queue_requests(self.queue_requests);
        match &self.key {
            Some(key) => builder.set_key(key.as_bytes()),
            None => builder.set_key(&[]),
        }
        write_headers(&self.headers, |count| builder.init_headers(count));
    }

    /// Reads a request from a message.
    pub fn read(reader: call_request::Reader<'_>) -> capnp::Result<Self> {
        let key = reader.get_key()?;
        Ok(CallRequest {
            attempt: read_uuid(reader.get_attempt()?)?,
            server: reader.get_server()?.to_string()?,
            method: reader.get_method()?.to_string()?,
            target: reader.get_target()?.to_string()?,
            headers: read_headers(reader.get_headers()?)?,
            body: reader.get_body()?.to_vec(),
            time_left: Duration::from_micros(reader.get_remaining_us()),
            key: if key.is_empty() {
                None
            } else {
                Some(read_uuid(key)?)
            },
            queue_requests: reader.get_queue_requests(),
        })
    }
}

impl CallReply {
    /// Writes the reply into a message.
    pub fn write(&self, mut builder: call_reply::Builder<'_>) {
        builder.set_outcome(self.outcome.into());
        builder.set_cause(self.cause.into());
        let retry_after_ms = self.retry_after.map_or(0, |delay| delay.as_millis().max(1));
        builder.set_retry_after_ms(u64::try_from(retry_after_ms).unwrap_or(u64::MAX));
        builder.set_in_flight(self.in_flight);
        if let Some(response) = &self.response {
            builder.set_status(response.status);
            builder.set_body(&response.body);
            write_headers(&response.headers, |count| builder.init_headers(count));
        }
    }

    /// Reads a reply from a message.
    pub fn read(reader: call_reply::Reader<'_>) -> capnp::Result<Self> {
        let retry_after_ms = reader.get_retry_after_ms();
        let response = match reader.get_status() {
            0 => None,
            status if !VALID_STATUSES.contains(&status) => {
                return Err(capnp::Error::failed(format!("invalid status {status}")));
            }
            status => Some(BackendResponse {
                status,
                headers: read_headers(reader.get_headers()?)?,
                body: reader.get_body()?.to_vec(),
            }),
        };
        Ok(CallReply {
            outcome: reader.get_outcome()?.into(),
            cause: reader.get_cause()?.into(),
            retry_after: (retry_after_ms > 0).then(|| Duration::from_millis(retry_after_ms)),
            response,
            in_flight: reader.get_in_flight(),
        })
    }
}

fn write_headers<'a>(
    headers: &[(String, String)],
    init: impl FnOnce(u32) -> capnp::struct_list::Builder<'a, header::Owned>,
) {
    let count = u32::try_from(headers.len()).unwrap_or(u32::MAX);
    let mut list = init(count);
    for (index, (name, value)) in (0..count).zip(headers) {
        let mut entry = list.reborrow().get(index);
        entry.set_name(name);
        entry.set_value(value);
    }
}

fn read_headers(
    list: capnp::struct_list::Reader<'_, header::Owned>,
) -> capnp::Result<Vec<(String, String)>> {
    let read_header = |entry: header::Reader<'_>| {
        Ok((
            entry.get_name()?.to_string()?,
            entry.get_value()?.to_string()?,
        ))
    };
    list.iter().map(read_header).collect()
}

fn read_uuid(bytes: &[u8]) -> capnp::Result<ActionKey> {
    ActionKey::from_slice(bytes).map_err(|_| capnp::Error::failed("not a UUID".to_owned()))
}

/// Implements the conversions between an enum and its Cap'n Proto counterpart, which has the same
/// variants.
macro_rules! impl_enum_conversions {
    ($local:ty, $wire:ty, $($variant:ident),+) => {
        impl From<$local> for $wire {
            fn from(value: $local) -> Self {
                match value {
                    $(<$local>::$variant => <$wire>::$variant,)+
                }
            }
        }

        impl From<$wire> for $local {
            fn from(value: $wire) -> Self {
                match value {
                    $(<$wire>::$variant => <$local>::$variant,)+
                }
            }
        }
    };
}

impl_enum_conversions!(Outcome, WireOutcome, Ran, NotRun, Unknown);
impl_enum_conversions!(
    Cause,
    WireCause,
    None,
    UnknownServer,
    Draining,
    QueueFull,
    TooLate,
    Unreachable,
    Shed,
    Died,
    TimedOut,
    LedgerUnreachable,
    InProgress,
    Lost,
    Voided,
    OtherRequest,
    ExpiredKey,
    FutureKey,
    AnswerTooLarge,
    Replayed
);
