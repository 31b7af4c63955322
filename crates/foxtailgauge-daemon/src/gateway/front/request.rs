//! Requests of one connection on their way from head to response.

use crate::gateway::forward_refusal::{refusal_response, Refusal};
use crate::gateway::front::body_reader::BodyReader;
use crate::gateway::front::request_head::HeadError;
use crate::gateway::front::response_writer::ResponseWriter;
use crate::hop::forward_body::{BodyFeed, ForwardBody};
use crate::shared::ForwardingGuard;
use crate::stop::StopState;
use async_std::net::TcpStream;
use foxtailgauge_core::{CallerLimits, PipelineId, RequestKind};
use futures::future::{BoxFuture, FutureExt};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

/// Makes the responses to the requests of a connection.
pub(crate) trait Responder: Send + Sync + 'static {
    /// What may run beside the request on its connection.
    fn kind(&self, parts: &Parts) -> RequestKind;

    /// Runs a request whose head was read from `caller` at `read_at`. Dropping the future cancels it.
    fn respond(
        self: Arc<Self>,
        request: Request<ForwardBody>,
        read_at: Instant,
        caller: &TcpStream,
    ) -> BoxFuture<'static, Response<ForwardBody>>;

    /// The response to bytes that are not the head of a request.
    fn refuse_head(&self, error: HeadError) -> Response<ForwardBody>;

    /// Counts a request as in progress until its response is written.
    fn begin(&self) -> ForwardingGuard;

    /// Timeouts of connections.
    fn limits(&self) -> CallerLimits;

    /// State of a stop, in which each connection is closed after its next response.
    fn stop(&self) -> Option<&StopState>;

    /// The connection is closed because a head took too long.
    fn head_timed_out(&self, caller: Option<String>);
}

/// Progress of one request.
pub(super) enum Stage {
    Waiting(Box<Request<ForwardBody>>),
    Running(BoxFuture<'static, Response<ForwardBody>>),
    Ready(Box<Response<ForwardBody>>),
    Sending {
        writer: Box<ResponseWriter>,
        /// Whether the writer has written everything to the buffer.
        is_complete: bool,
    },
    /// Replaced at once.
    Moved,
}

pub(super) struct Entry {
    pub(super) id: PipelineId,
    pub(super) stage: Stage,
    pub(super) read_at: Instant,
    pub(super) is_head_request: bool,
    pub(super) is_http_10: bool,
    pub(super) _guard: ForwardingGuard,
}

impl Entry {
    /// Whether its response is being sent and a part of it has not been received.
    pub(super) fn is_streaming(&self) -> bool {
        match &self.stage {
            Stage::Sending {
                writer,
                is_complete,
            } => !is_complete && writer.is_streaming(),
            _ => false,
        }
    }
}

/// The body that is being read.
pub(super) struct IncomingBody {
    pub(super) id: PipelineId,
    pub(super) reader: BodyReader,
    /// `None` if the rest of the body is discarded.
    pub(super) feed: Option<BodyFeed>,
    pub(super) expects_continue: bool,
}

/// Polls a request; one that panics is answered 502.
pub(super) fn poll_caught(
    running: &mut BoxFuture<'static, Response<ForwardBody>>,
    cx: &mut Context<'_>,
) -> Option<Response<ForwardBody>> {
    let polled = std::panic::catch_unwind(AssertUnwindSafe(|| running.poll_unpin(cx)));
    match polled {
        Ok(Poll::Ready(response)) => Some(response),
        Ok(Poll::Pending) => None,
        Err(_) => Some(refusal_response(&Refusal::OutcomeUnknown)),
    }
}
