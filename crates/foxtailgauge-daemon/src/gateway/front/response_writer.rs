//! Writes responses to the bytes of a connection.

use crate::hop::forward_body::{BodyError, ForwardBody};
use bytes::{BufMut, Bytes, BytesMut};
use hyper::body::Body;
use hyper::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use std::io::Write;
use std::pin::Pin;
use std::task::{Context, Poll};

/// First bytes of every response.
pub(crate) const RESPONSE_START: &[u8] = b"HTTP/1.";
/// Interim response to `Expect: 100-continue`.
pub(crate) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What the request says about its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseContext {
    pub(crate) is_head_request: bool,
    pub(crate) is_http_10: bool,
    /// Whether the connection closes after the response.
    pub(crate) closes: bool,
    /// Whether [`RESPONSE_START`] was written before.
    pub(crate) is_started: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// No body.
    Empty,
    /// Bytes still to be written.
    Length(u64),
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// A response being written.
pub(crate) struct ResponseWriter {
    body: ForwardBody,
    framing: Framing,
}

impl ResponseWriter {
    /// Writes the head to `out`.
    pub(crate) fn start(
        response: Response<ForwardBody>,
        context: ResponseContext,
        out: &mut BytesMut,
    ) -> Self {
        let (mut parts, body) = response.into_parts();
        let length = body.size_hint().exact();
        let is_bodiless = context.is_head_request
            || parts.status.is_informational()
            || matches!(
                parts.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        let framing = match length {
            _ if is_bodiless => Framing::Empty,
            Some(length) => Framing::Length(length),
            None if context.is_http_10 => Framing::UntilClose,
            None => Framing::Chunked,
        };
        for name in [CONTENT_LENGTH, TRANSFER_ENCODING, CONNECTION] {
            parts.headers.remove(name);
        }
        let start = match context.is_started {
            true => "",
            false => "HTTP/1.",
        };
        let status = parts.status;
        let reason = status.canonical_reason().unwrap_or_default();
        // Writing to memory does not fail.
        let _ = write!(out.writer(), "{start}1 {} {reason}\r\n", status.as_u16());
        for (name, value) in &parts.headers {
            put_header(out, name.as_str(), value.as_bytes());
        }
        match framing {
            Framing::Length(length) => {
                let _ = write!(out.writer(), "content-length: {length}\r\n");
            }
            Framing::Chunked => put_header(out, "transfer-encoding", b"chunked"),
            Framing::Empty | Framing::UntilClose => {}
        }
        if context.closes {
            put_header(out, "connection", b"close");
        }
        out.put_slice(b"\r\n");
        ResponseWriter { body, framing }
    }

    /// Whether a part of the body has not been received.
    pub(crate) fn is_streaming(&self) -> bool {
        self.body.bytes().is_none()
    }

    /// Whether the body has passed its deadline.
    pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> bool {
        self.body.poll_expired(cx)
    }

    /// Writes the next part of the body to `out`; ready with `true` at its end.
    pub(crate) fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
        out: &mut BytesMut,
    ) -> Poll<Result<bool, BodyError>> {
        if matches!(self.framing, Framing::Empty | Framing::Length(0)) {
            return Poll::Ready(Ok(true));
        }
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        let Some(frame) = frame.transpose()? else {
            return Poll::Ready(self.end(out));
        };
        // Trailers are dropped.
        if let Ok(data) = frame.into_data() {
            self.put_data(&data, out)?;
        }
        Poll::Ready(Ok(self.framing == Framing::Length(0)))
    }

    fn put_data(&mut self, data: &Bytes, out: &mut BytesMut) -> Result<(), BodyError> {
        match &mut self.framing {
            Framing::Length(left) => {
                let more = data.len() as u64;
                *left = left.checked_sub(more).ok_or(BodyError::TooLarge)?;
                out.put_slice(data);
            }
            // An empty chunk would end the body.
            Framing::Chunked if data.is_empty() => {}
            Framing::Chunked => {
                let _ = write!(out.writer(), "{:x}\r\n", data.len());
                out.put_slice(data);
                out.put_slice(b"\r\n");
            }
            Framing::UntilClose => out.put_slice(data),
            Framing::Empty => {}
        }
        Ok(())
    }

    fn end(&self, out: &mut BytesMut) -> Result<bool, BodyError> {
        match self.framing {
            Framing::Length(left) if left > 0 => return Err(BodyError::Malformed),
            Framing::Chunked => out.put_slice(b"0\r\n\r\n"),
            _ => {}
        }
        Ok(true)
    }
}

fn put_header(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.put_slice(name.as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}
