//! Serves the requests that gateways of other daemons send to the executor.

use crate::executor::forward_executor::{
    fingerprint_of, without_response, ForwardExecutor, ForwardReply, ForwardRequest,
};
use crate::hop::forward_body::ForwardBody;
use crate::hop::forward_headers::{header, strip_hop_by_hop};
use crate::hop::hop_connection;
use crate::hop::metadata::{HopEnd, HopRequest, HOP_HEADER};
use foxtailgauge_core::WorkLoad;
use foxtailgauge_platform::headers;
use futures::io::{AsyncRead, AsyncWrite};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode, Version};
use std::sync::Arc;
use std::time::{Duration, Instant};

impl ForwardExecutor {
    /// Serves a connection from another daemon.
    pub(crate) async fn serve<S>(self: Arc<Self>, stream: S)
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        hop_connection::serve(stream, move |request| {
            let executor = Arc::clone(&self);
            async move { executor.serve_hop(request).await }
        })
        .await;
    }

    async fn serve_hop(self: Arc<Self>, request: Request<Incoming>) -> Response<ForwardBody> {
        let now = Instant::now();
        let hop = header(request.headers(), HOP_HEADER).and_then(HopRequest::parse);
        let time_left_ms = header(request.headers(), headers::REMAINING_TIME_MS);
        let time_left_ms = time_left_ms.and_then(|text| text.parse::<u64>().ok());
        let (Some(hop), Some(time_left_ms)) = (hop, time_left_ms) else {
            return encode(without_response(HopEnd::Closed, WorkLoad::default()));
        };
        let (mut parts, body) = request.into_parts();
        parts.headers.remove(HOP_HEADER);
        parts.version = Version::HTTP_11;
        // The gateway aborted the body, so the request has not run.
        let Ok(body) = ForwardBody::read(body).await else {
            return encode(without_response(HopEnd::Closed, WorkLoad::default()));
        };
        let arrived = Instant::now();
        let request = ForwardRequest {
            hop,
            fingerprint: fingerprint_of(&parts, &body),
            request: Request::from_parts(parts, body),
            deadline: now + Duration::from_millis(time_left_ms),
        };
        let mut reply = self.run_for_peer(request).await;
        reply.reply.elapsed = arrived.elapsed();
        encode(reply)
    }
}

fn encode(reply: ForwardReply) -> Response<ForwardBody> {
    let mut response = reply.response.unwrap_or_else(|| {
        let mut empty = Response::new(ForwardBody::default());
        *empty.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        empty
    });
    strip_hop_by_hop(response.headers_mut());
    if let Ok(value) = HeaderValue::from_str(&reply.reply.encode()) {
        response.headers_mut().insert(HOP_HEADER, value);
    }
    response
}
