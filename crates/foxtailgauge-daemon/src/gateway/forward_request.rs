//! Checks on a caller's request before it is forwarded, and the time allowed for its response.

use crate::gateway::forward_refusal::Refusal;
use crate::hop::forward_body::{BodyError, ForwardBody};
use foxtailgauge_core::HostRoute;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::StatusCode;
use std::time::{Duration, Instant};

/// Largest head of a request, if the configuration sets no limit.
const DEFAULT_HEADER_BYTES: u64 = 64 << 10;
/// The return time, which is reserved for sending the response to the caller, is the time left
/// divided by this.
const RETURN_TIME_DIVISOR: u32 = 50;
/// Bounds of the return time.
const MIN_RETURN_TIME: Duration = Duration::from_millis(3);
const MAX_RETURN_TIME: Duration = Duration::from_millis(40);

/// Whether a status implies to the caller that the request was not executed.
pub(crate) fn implies_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Refuses a head larger than the limit; 0 selects [`DEFAULT_HEADER_BYTES`].
pub(crate) fn check_head(parts: &Parts, limit_bytes: u64) -> Result<(), Refusal> {
    let limit_bytes = match limit_bytes {
        0 => DEFAULT_HEADER_BYTES,
        limit => limit,
    };
    let line_bytes = |(name, value): (&hyper::header::HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    let bytes: usize = parts.headers.iter().map(line_bytes).sum();
    if bytes as u64 > limit_bytes {
        return Err(Refusal::HeadTooLarge);
    }
    Ok(())
}

/// Buffers a small body completely; a larger one is streamed and fails beyond the limit. A limit
/// of 0 means no limit.
pub(crate) async fn read_body(
    mut body: ForwardBody,
    limit_bytes: u64,
    deadline: Instant,
) -> Result<ForwardBody, Refusal> {
    let limit_bytes = match limit_bytes {
        0 => u64::MAX,
        limit => limit,
    };
    if hyper::body::Body::size_hint(&body).lower() > limit_bytes {
        return Err(Refusal::BodyTooLarge);
    }
    let time_left = deadline.saturating_duration_since(Instant::now());
    if body.bytes().is_none() {
        match async_std::future::timeout(time_left, body.buffer()).await {
            Ok(Ok(())) => {}
            Ok(Err(BodyError::TooLarge)) => return Err(Refusal::BodyTooLarge),
            Ok(Err(BodyError::Broken(_) | BodyError::Malformed)) => {
                return Err(Refusal::MalformedBody)
            }
            Ok(Err(BodyError::TimedOut)) | Err(_) => return Err(Refusal::SlowBody),
        }
    }
    if body
        .bytes()
        .is_some_and(|bytes| bytes.len() as u64 > limit_bytes)
    {
        return Err(Refusal::BodyTooLarge);
    }
    if body.bytes().is_none() && limit_bytes < u64::MAX {
        body.set_limit(limit_bytes);
    }
    Ok(body)
}

/// Time within which the gateway must have a response: the shorter of the time left and the
/// route's timeout, less the return time.
pub(crate) fn response_timeout(time_left: Duration, route: &HostRoute) -> Duration {
    let time_left = time_left.min(Duration::from_millis(route.timeout_ms));
    let return_time = (time_left / RETURN_TIME_DIVISOR).clamp(MIN_RETURN_TIME, MAX_RETURN_TIME);
    time_left.saturating_sub(return_time)
}

/// Body for the next attempt: a copy if it is completely buffered, otherwise the stream, which can
/// be sent only once.
pub(crate) fn next_body(body: &mut Option<ForwardBody>) -> Option<ForwardBody> {
    let buffered = body.as_ref()?.bytes().cloned();
    match buffered {
        Some(bytes) => Some(ForwardBody::from_bytes(bytes)),
        None => body.take(),
    }
}
