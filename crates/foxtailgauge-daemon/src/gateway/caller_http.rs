//! Callers of the product's own routes: reads complete requests and adds outcome headers to
//! responses. Their connections are served by `gateway/front/`.

use crate::emit;
use crate::events;
use crate::gateway::call_gateway::{CallerRequest, Gateway};
use crate::gateway::caller_response::{CallerResponse, Refusal};
use crate::gateway::front::connection;
use crate::gateway::front::request::Responder;
use crate::gateway::front::request_head::HeadError;
use crate::hop::forward_body::ForwardBody;
use crate::hop::forward_headers::header;
use crate::meter::ByteCounters;
use crate::metrics::CallLabels;
use crate::shared::{ForwardingGuard, Shared};
use crate::socket;
use crate::stop::StopState;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use foxtailgauge_core::{CallerLimits, LateRequest, RequestKind};
use foxtailgauge_wire::Outcome;
use futures::future::{BoxFuture, FutureExt};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE,
};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Header with the outcome of the request.
const OUTCOME_HEADER: &str = "foxtailgauge-outcome";
/// Header with the configuration version the request was routed by.
const VERSION_HEADER: &str = "foxtailgauge-config-version";
/// Header that marks a recorded response of an earlier run.
const REPLAY_HEADER: &str = "foxtailgauge-replayed";
/// Header with the time that the caller allows for the request, in milliseconds.
const DEADLINE_HEADER: &str = "foxtailgauge-deadline-ms";
/// Authentication scheme, as HTTP requires it in a response with status 401.
const CHALLENGE: &str = "Bearer";
/// Waits before a request with a key whose caller has ended its input. In all longer than the interval at which
/// connections with a running request are checked.
const INPUT_END_WAITS: u32 = 3;
const INPUT_END_WAIT: Duration = Duration::from_millis(50);
/// Prefix of the names of headers that only the daemon sets.
const RESERVED_PREFIX: &str = "foxtailgauge-";
/// Retry delay if the daemon is stopping, in whole seconds; another daemon can respond.
const OTHER_DAEMON_RETRY_AFTER_S: u64 = 1;
/// Timeouts of connections. The limits of host routes are for callers of the platform.
const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 0,
    body_bytes: 0,
    header_ms: 30_000,
    idle_ms: 30_000,
};

/// Why a request is refused before it is routed.
#[derive(Clone, Copy, Debug)]
enum HttpRefusal {
    Malformed,
    BodyTooLarge,
    HeadTooLarge,
    /// The caller has closed the connection, and may have sent the key again on another one.
    CallerGone,
    /// The daemon is stopping. The outcome is unknown if an earlier try with the key may have run.
    Stopping {
        outcome: Outcome,
    },
}

/// Accepts and serves callers' connections until the drain of a stop ends.
pub(crate) fn serve(shared: &Arc<Shared>, gateway: &Arc<Gateway>, listener: TcpListener) {
    let callers = Arc::new(CallerHttp {
        shared: Arc::clone(shared),
        gateway: Arc::clone(gateway),
    });
    let open_connections = Arc::new(AtomicUsize::new(0));
    task::spawn(async move {
        while let Some(stream) = socket::accept_until_drained(&listener, &callers.shared).await {
            let shared = &callers.shared;
            let is_full =
                open_connections.load(Ordering::Relaxed) >= shared.settings.limits.connections;
            // Without it, small responses wait for the caller's acknowledgements.
            if is_full || stream.set_nodelay(true).is_err() {
                continue;
            }
            open_connections.fetch_add(1, Ordering::Relaxed);
            let (callers, open_connections) = (Arc::clone(&callers), Arc::clone(&open_connections));
            task::spawn(async move {
                connection::serve(callers, stream, ByteCounters::default()).await;
                open_connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
}

/// Responds to callers of the product's own routes.
struct CallerHttp {
    shared: Arc<Shared>,
    gateway: Arc<Gateway>,
}

impl Responder for CallerHttp {
    fn kind(&self, parts: &Parts) -> RequestKind {
        let view = self.shared.view();
        let snapshot = view.snapshot.as_ref();
        let found = snapshot.and_then(|s| s.route(parts.method.as_str(), parts.uri.path()));
        match found {
            Some((_, route)) if route.idempotent => RequestKind::Idempotent,
            Some(_) | None => RequestKind::NonIdempotent,
        }
    }

    fn respond(
        self: Arc<Self>,
        request: Request<ForwardBody>,
        read_at: Instant,
        caller: &TcpStream,
    ) -> BoxFuture<'static, Response<ForwardBody>> {
        let caller = caller.clone();
        async move {
            let limit_bytes = self.shared.settings.limits.body_bytes;
            let stop = &self.shared.stop;
            let read = stop
                .until_drain_end(pin!(read_request(request, limit_bytes)))
                .await;
            // An earlier try with the key of a request that is not read may have run.
            let outcome = Outcome::Unknown;
            let read = read.unwrap_or(Err(HttpRefusal::Stopping { outcome }));
            let taken = match read.and_then(|request| self.take(request)) {
                Ok(request) if request.key.is_some() && is_gone(&caller).await => {
                    Err(HttpRefusal::CallerGone)
                }
                taken => taken,
            };
            let (response, outcome) = match taken {
                Ok(request) => {
                    let handled = stop
                        .until_drain_end(pin!(self.gateway.handle(&request)))
                        .await;
                    let response = handled.unwrap_or_else(|| self.give_up());
                    let outcome = response.outcome;
                    (http_response(response), outcome)
                }
                Err(refusal) => (refusal_response(refusal), refusal.outcome()),
            };
            self.record_call(read_at, outcome);
            response
        }
        .boxed()
    }

    fn refuse_head(&self, error: HeadError) -> Response<ForwardBody> {
        refusal_response(match error {
            HeadError::Malformed => HttpRefusal::Malformed,
            HeadError::TooLarge => HttpRefusal::HeadTooLarge,
        })
    }

    fn begin(&self) -> ForwardingGuard {
        self.shared.begin_forwarding()
    }

    fn limits(&self) -> CallerLimits {
        LIMITS
    }

    fn stop(&self) -> Option<&StopState> {
        Some(&self.shared.stop)
    }

    fn head_timed_out(&self, caller: Option<String>) {
        emit!(self.shared.log, events::CALLER_TOO_SLOW, "caller" => caller.unwrap_or_default());
    }
}

impl HttpRefusal {
    fn outcome(self) -> Outcome {
        match self {
            HttpRefusal::Malformed | HttpRefusal::BodyTooLarge | HttpRefusal::HeadTooLarge => {
                Outcome::NotRun
            }
            HttpRefusal::CallerGone => Outcome::Unknown,
            HttpRefusal::Stopping { outcome } => outcome,
        }
    }
}

impl CallerHttp {
    /// Refuses a request if a stop is expected to end before its response.
    fn take(&self, request: CallerRequest) -> Result<CallerRequest, HttpRefusal> {
        let late_request = || {
            let view = self.shared.view();
            let snapshot = view.snapshot.as_ref();
            let found = snapshot.and_then(|s| s.route(&request.method, &request.path));
            let route_ms = found.map_or(0, |(_, route)| route.deadline_ms);
            let time_left_ms = request.deadline_ms.unwrap_or(route_ms).min(route_ms);
            LateRequest {
                time_left: Duration::from_millis(time_left_ms),
                usual_time: None,
                is_nested: false,
            }
        };
        if self.shared.stop.takes(late_request) {
            return Ok(request);
        }
        let outcome = match request.key {
            Some(_) => Outcome::Unknown,
            None => Outcome::NotRun,
        };
        Err(HttpRefusal::Stopping { outcome })
    }

    /// The response to a request that is not answered at the end of the drain.
    fn give_up(&self) -> CallerResponse {
        self.shared.stop.record_unknown();
        CallerResponse {
            outcome: Outcome::Unknown,
            version: self.shared.current_version().0,
            retry_after: None,
            result: Err(Refusal::OutcomeUnknown),
            is_replay: false,
        }
    }

    fn record_call(&self, started: Instant, outcome: Outcome) {
        let outcome = outcome.as_str();
        self.shared
            .metrics
            .calls
            .get_or_create(&CallLabels { outcome })
            .inc();
        self.shared
            .metrics
            .call_seconds
            .observe(started.elapsed().as_secs_f64());
    }
}

/// Whether a caller has closed its connection, also if that waits to be read behind its request. One
/// that has ended its input alone still reads the response.
async fn is_gone(caller: &TcpStream) -> bool {
    if !socket::has_input_end(caller) {
        return false;
    }
    // The connection is polled between the waits and writes the first bytes of the response, which a
    // caller that is gone resets.
    for _ in 0..INPUT_END_WAITS {
        task::sleep(INPUT_END_WAIT).await;
        if socket::is_reset(caller) {
            return true;
        }
    }
    false
}

async fn read_request(
    request: Request<ForwardBody>,
    limit_bytes: usize,
) -> Result<CallerRequest, HttpRefusal> {
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, limit_bytes).collect().await {
        Ok(body) => body.to_bytes().to_vec(),
        Err(error) if error.is::<LengthLimitError>() => return Err(HttpRefusal::BodyTooLarge),
        Err(_) => return Err(HttpRefusal::Malformed),
    };
    let deadline_ms = match header(&parts.headers, DEADLINE_HEADER) {
        Some(text) => Some(text.trim().parse().map_err(|_| HttpRefusal::Malformed)?),
        None => None,
    };
    let target = parts.uri.path_and_query();
    Ok(CallerRequest {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        target: target.map_or_else(String::new, ToString::to_string),
        key: header(&parts.headers, "idempotency-key").map(str::to_owned),
        headers: parts.headers,
        deadline_ms,
        body,
    })
}

fn http_response(caller_response: CallerResponse) -> Response<ForwardBody> {
    let mut response = match caller_response.result {
        Ok(backend) => {
            let mut response = Response::new(ForwardBody::from_bytes(backend.body));
            *response.status_mut() =
                StatusCode::from_u16(backend.status).unwrap_or(StatusCode::BAD_GATEWAY);
            for (name, value) in &backend.headers {
                append_header(response.headers_mut(), name, value);
            }
            response
        }
        Err(refusal) => {
            let (status, code) = refusal_status(refusal);
            let mut response = error_response(status, code);
            let headers = response.headers_mut();
            match refusal {
                Refusal::UnknownKey => {
                    headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static(CHALLENGE));
                }
                Refusal::MalformedHeader => {
                    headers.insert(CONNECTION, HeaderValue::from_static("close"));
                }
                _ => {}
            }
            response
        }
    };
    let headers = response.headers_mut();
    let outcome = HeaderValue::from_static(caller_response.outcome.as_str());
    headers.insert(OUTCOME_HEADER, outcome);
    headers.insert(VERSION_HEADER, HeaderValue::from(caller_response.version));
    if let Some(delay) = caller_response.retry_after {
        let seconds = delay.as_secs_f64().ceil().max(1.0);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds as u64));
    }
    if caller_response.is_replay {
        headers.insert(REPLAY_HEADER, HeaderValue::from_static("true"));
    }
    response
}

/// Adds a header of a backend server, unless it is invalid or reserved.
fn append_header(headers: &mut HeaderMap, name: &str, value: &str) {
    let (Ok(name), Ok(value)) = (
        HeaderName::from_bytes(name.as_bytes()),
        HeaderValue::from_str(value),
    ) else {
        return;
    };
    if !name.as_str().starts_with(RESERVED_PREFIX) {
        headers.append(name, value);
    }
}

fn refusal_response(refusal: HttpRefusal) -> Response<ForwardBody> {
    let (status, code) = match refusal {
        HttpRefusal::Malformed => (StatusCode::BAD_REQUEST, "malformed_request"),
        HttpRefusal::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        HttpRefusal::HeadTooLarge => (
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head_too_large",
        ),
        HttpRefusal::CallerGone => (StatusCode::SERVICE_UNAVAILABLE, "caller_gone"),
        HttpRefusal::Stopping { .. } => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    };
    let mut response = error_response(status, code);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let headers = response.headers_mut();
        headers.insert(RETRY_AFTER, HeaderValue::from(OTHER_DAEMON_RETRY_AFTER_S));
    }
    let outcome = HeaderValue::from_static(refusal.outcome().as_str());
    response.headers_mut().insert(OUTCOME_HEADER, outcome);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn error_response(status: StatusCode, code: &str) -> Response<ForwardBody> {
    let body = serde_json::json!({ "code": code }).to_string();
    let mut response = Response::new(ForwardBody::from_bytes(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn refusal_status(refusal: Refusal) -> (StatusCode, &'static str) {
    match refusal {
        Refusal::UnknownRoute => (StatusCode::NOT_FOUND, "unknown_route"),
        Refusal::MalformedHeader => (StatusCode::BAD_REQUEST, "malformed_request"),
        Refusal::UnknownKey => (StatusCode::UNAUTHORIZED, "unknown_key"),
        Refusal::OverAllotment => (StatusCode::TOO_MANY_REQUESTS, "over_allotment"),
        Refusal::MissingKey => (StatusCode::BAD_REQUEST, "missing_key"),
        Refusal::MalformedKey => (StatusCode::BAD_REQUEST, "malformed_key"),
        Refusal::KeyReused => (StatusCode::UNPROCESSABLE_ENTITY, "key_reused"),
        Refusal::KeyExpired => (StatusCode::BAD_REQUEST, "key_expired"),
        Refusal::KeyFromFuture => (StatusCode::BAD_REQUEST, "key_from_future"),
        Refusal::DeadlinePassed => (StatusCode::GATEWAY_TIMEOUT, "deadline_passed"),
        Refusal::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "not_ready"),
        Refusal::NoServer => (StatusCode::SERVICE_UNAVAILABLE, "no_server"),
        Refusal::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
        Refusal::LedgerUnavailable => (StatusCode::SERVICE_UNAVAILABLE, "ledger_unavailable"),
        Refusal::Quarantined => (StatusCode::SERVICE_UNAVAILABLE, "quarantined"),
        Refusal::Suspected => (StatusCode::SERVICE_UNAVAILABLE, "suspected"),
        Refusal::InProgress => (StatusCode::CONFLICT, "in_progress"),
        Refusal::OutcomeUnknown => (StatusCode::BAD_GATEWAY, "outcome_unknown"),
        Refusal::TimedOut => (StatusCode::GATEWAY_TIMEOUT, "timed_out"),
        Refusal::AnswerTooLarge => (StatusCode::BAD_GATEWAY, "answer_too_large"),
    }
}
