//! Serves the HTTP interfaces for operators and backend servers. What a peer may send before it is
//! answered is bounded: the parser itself keeps a line whatever its size.

use crate::json_body::MAX_TEXT_BODY_BYTES;
use crate::shared::Shared;
use crate::socket;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use foxtailgauge_wire::LimitedStream;
use std::sync::Arc;

/// Maximum size of a request's head, and of what is skipped of the request before it.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum size of a body on the wire, chunk headers included.
const MAX_WIRE_BODY_BYTES: usize = 2 * MAX_TEXT_BODY_BYTES;

/// Accepts and serves connections until the daemon exits.
pub(crate) fn serve<S>(shared: &Arc<Shared>, app: tide::Server<S>, listener: TcpListener)
where
    S: Clone + Send + Sync + 'static,
{
    let shared = Arc::clone(shared);
    task::spawn(async move {
        loop {
            let stream = socket::accept(&listener, &shared.log).await;
            task::spawn(serve_connection(app.clone(), stream));
        }
    });
}

async fn serve_connection<S>(app: tide::Server<S>, stream: TcpStream)
where
    S: Clone + Send + Sync + 'static,
{
    let (stream, limit) = LimitedStream::new(stream);
    limit.set(MAX_HEAD_BYTES);
    let serving = async_h1::accept(stream, |request| {
        limit.set(MAX_WIRE_BODY_BYTES);
        let (app, limit) = (app.clone(), limit.clone());
        let declared_bytes = request.len().unwrap_or(0).min(MAX_WIRE_BODY_BYTES);
        async move {
            let response = app.respond(request).await;
            // The parser skips what was not read of a body. A peer that is still sending it would find
            // its connection reset, and no response.
            let read_bytes = MAX_WIRE_BODY_BYTES - limit.rest_bytes();
            limit.set(MAX_HEAD_BYTES + declared_bytes.saturating_sub(read_bytes));
            response
        }
    });
    // The peer of a failed connection sends its request again.
    let _ = serving.await;
}
