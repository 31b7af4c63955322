//! Serves a connection with responses that a function makes, so that tests can have one that fails
//! in a way that no request causes.

use crate::gateway::forward_refusal::{refusal_response, Refusal};
use crate::gateway::front::connection;
use crate::gateway::front::request::Responder;
use crate::gateway::front::request_head::HeadError;
use crate::hop::forward_body::ForwardBody;
use crate::meter::ByteCounters;
use crate::shared::ForwardingGuard;
use crate::stop::StopState;
use async_std::net::TcpStream;
use foxtailgauge_core::{CallerLimits, RequestKind};
use futures::future::{BoxFuture, FutureExt};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::sync::atomic::AtomicU32;
use std::sync::Arc;
use std::time::Instant;

const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 0,
    body_bytes: 0,
    header_ms: 30_000,
    idle_ms: 30_000,
};

struct FunctionResponder<F> {
    respond: F,
    in_progress: Arc<AtomicU32>,
}

impl<F> Responder for FunctionResponder<F>
where
    F: Fn(String) -> BoxFuture<'static, String> + Send + Sync + 'static,
{
    fn kind(&self, _: &Parts) -> RequestKind {
        RequestKind::Idempotent
    }

    fn respond(
        self: Arc<Self>,
        request: Request<ForwardBody>,
        _: Instant,
        _: &TcpStream,
    ) -> BoxFuture<'static, Response<ForwardBody>> {
        async move {
            let body = (self.respond)(request.uri().to_string()).await;
            Response::new(ForwardBody::from_bytes(body))
        }
        .boxed()
    }

    fn refuse_head(&self, error: HeadError) -> Response<ForwardBody> {
        refusal_response(&match error {
            HeadError::Malformed => Refusal::MalformedHead,
            HeadError::TooLarge => Refusal::HeadTooLarge,
        })
    }

    fn begin(&self) -> ForwardingGuard {
        ForwardingGuard::new(&self.in_progress)
    }

    fn limits(&self) -> CallerLimits {
        LIMITS
    }

    fn stop(&self) -> Option<&StopState> {
        None
    }

    fn head_timed_out(&self, _: Option<String>) {}
}

/// Serves a caller's connection until it ends, as the gateways do. All requests count as idempotent;
/// `respond` makes the body of a response from the target of its request.
pub async fn serve_with_function<F>(socket: TcpStream, respond: F)
where
    F: Fn(String) -> BoxFuture<'static, String> + Send + Sync + 'static,
{
    let responder = Arc::new(FunctionResponder {
        respond,
        in_progress: Arc::default(),
    });
    connection::serve(responder, socket, ByteCounters::default()).await;
}
