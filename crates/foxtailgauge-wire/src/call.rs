//! A call between gateway and executor, and its form on the wire.

use crate::foxtailgauge_capnp::{
    call_reply, call_request, header, Cause as WireCause, Outcome as WireOutcome,
};
use foxtailgauge_core::{ActionKey, AttemptId};
use std::time::Duration;

/// What became of a request, as far as the caller can rely on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran, and the answer is the backend server's.
    Ran,
    /// It did not run and, under this key, will not run later by itself.
    NotRun,
    /// It may or may not have run.
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

/// Why an attempt ended without an answer of the backend server, or how the answer came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// Nothing to add: the backend server answered.
    None,
    /// The daemon has no such backend server.
    UnknownServer,
    /// The backend server is leaving.
    Draining,
    /// The queue in front of the backend server is full.
    QueueFull,
    /// The expected wait exceeds the deadline.
    TooLate,
    /// No connection to the backend server could be opened.
    Unreachable,
    /// The backend server refused before running.
    Shed,
    /// The connection broke after the request was handed over.
    Died,
    /// The deadline passed while the request ran.
    TimedOut,
    /// The ledger did not answer.
    LedgerUnreachable,
    /// Another attempt of the same action may be running.
    InProgress,
    /// What became of an earlier attempt of the action cannot be known.
    Lost,
    /// The attempt was voided.
    Voided,
    /// The key was used for another request.
    OtherRequest,
    /// The key is older than the retention.
    ExpiredKey,
    /// The key's time lies in the future.
    FutureKey,
    /// The backend server's answer exceeds the limit.
    AnswerTooLarge,
    /// The action ran earlier; the answer is the recorded one.
    Replayed,
}

/// An attempt to run a request on one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Name of the backend server beside the executor.
    pub server: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers passed on.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Time left to the deadline.
    pub remaining: Duration,
    /// Idempotency key of a billable action.
    pub key: Option<ActionKey>,
    /// Queue allowed in front of the backend server.
    pub queue_requests: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// What became of the request.
    pub outcome: Outcome,
    /// Why.
    pub cause: Cause,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// The backend server's answer.
    pub response: Option<BackendResponse>,
    /// Requests on the backend server now.
    pub in_flight: u32,
}

/// A backend server's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers passed on.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl CallReply {
    /// A reply without an answer of the backend server.
    pub fn without_response(outcome: Outcome, cause: Cause) -> Self {
        CallReply {
            outcome,
            cause,
            retry_after: None,
            response: None,
            in_flight: 0,
        }
    }

    /// The same with a time to come back.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
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
        builder.set_remaining_us(u64::try_from(self.remaining.as_micros()).unwrap_or(u64::MAX));
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
            remaining: Duration::from_micros(reader.get_remaining_us()),
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
        let retry_after_ms = self.retry_after.map_or(0, |wait| wait.as_millis().max(1));
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
    let text = |entry: header::Reader<'_>| {
        Ok((
            entry.get_name()?.to_string()?,
            entry.get_value()?.to_string()?,
        ))
    };
    list.iter().map(text).collect()
}

fn read_uuid(bytes: &[u8]) -> capnp::Result<ActionKey> {
    ActionKey::from_slice(bytes).map_err(|_| capnp::Error::failed("not a UUID".to_owned()))
}

/// Maps an enum to its form in the schema and back; both have the same variants.
macro_rules! same_variants {
    ($ours:ty, $wire:ty, $($variant:ident),+) => {
        impl From<$ours> for $wire {
            fn from(value: $ours) -> Self {
                match value {
                    $(<$ours>::$variant => <$wire>::$variant,)+
                }
            }
        }

        impl From<$wire> for $ours {
            fn from(value: $wire) -> Self {
                match value {
                    $(<$wire>::$variant => <$ours>::$variant,)+
                }
            }
        }
    };
}

same_variants!(Outcome, WireOutcome, Ran, NotRun, Unknown);
same_variants!(
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
