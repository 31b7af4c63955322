//! Reads the head of a request. Heads that two parsers could read differently are malformed.

use bytes::{Bytes, BytesMut};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::header::{CONNECTION, EXPECT};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri, Version};

/// Largest head of a request that is read, whatever the configuration allows.
pub(crate) const MAX_HEAD_BYTES: usize = 256 << 10;
/// Largest number of header lines.
const MAX_HEADERS: usize = 100;
/// Incomplete heads up to this size are checked at every read, so that bytes that are not HTTP are
/// refused at once. Larger ones are checked when complete: checking them at every read would take
/// time quadratic in their size.
const MAX_PARTIAL_CHECK_BYTES: usize = 1 << 10;

/// How the body of a request is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// A number of bytes; 0 without a body.
    Length(u64),
    /// Chunks.
    Chunked,
}

/// The head of a request, and what the connection needs of it.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) parts: Parts,
    pub(crate) framing: BodyFraming,
    /// Whether the caller expects the connection to close after the response.
    pub(crate) closes: bool,
    /// Whether the caller sends its body only after an interim response.
    pub(crate) expects_continue: bool,
    /// Bytes of the head.
    pub(crate) bytes: usize,
}

/// Why bytes are not the head of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadError {
    /// The bytes are not HTTP/1, or their framing is ambiguous.
    Malformed,
    /// The head exceeds [`MAX_HEAD_BYTES`] or [`MAX_HEADERS`].
    TooLarge,
}

/// Finds the ends of heads in the bytes of a connection.
#[derive(Debug, Default)]
pub(crate) struct HeadReader {
    /// Bytes of the incomplete head that were searched for its end.
    searched: usize,
}

impl HeadReader {
    /// Removes the first head from `bytes`; `None` if it is not complete.
    pub(crate) fn read(&mut self, bytes: &mut BytesMut) -> Result<Option<RequestHead>, HeadError> {
        while self.searched == 0 && bytes.starts_with(b"\r\n") {
            // Some callers send an empty line behind a body.
            let _ = bytes.split_to(2);
        }
        if let Some(length) = self.find_end(bytes)? {
            self.searched = 0;
            return parse(bytes.split_to(length).freeze()).map(Some);
        }
        if bytes.len() > MAX_HEAD_BYTES {
            return Err(HeadError::TooLarge);
        }
        if bytes.len() <= MAX_PARTIAL_CHECK_BYTES {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            httparse::Request::new(&mut headers)
                .parse(bytes)
                .map_err(head_error)?;
        }
        Ok(None)
    }

    /// Length of the first head, with its empty line. A CR or LF on its own is refused: parsers
    /// differ on whether it ends a line.
    fn find_end(&mut self, bytes: &[u8]) -> Result<Option<usize>, HeadError> {
        // The byte after a CR decides whether it stands alone.
        let limit = bytes.len().saturating_sub(1);
        while self.searched < limit {
            let at = self.searched;
            match (bytes[at], bytes[at + 1]) {
                (b'\r', b'\n') => {
                    if at >= 2 && bytes[at - 2..at] == *b"\r\n" {
                        return Ok(Some(at + 2));
                    }
                    self.searched += 2;
                }
                (b'\r' | b'\n', _) => return Err(HeadError::Malformed),
                _ => self.searched += 1,
            }
        }
        Ok(None)
    }
}

fn head_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooLarge,
        _ => HeadError::Malformed,
    }
}

fn parse(head: Bytes) -> Result<RequestHead, HeadError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let status = parsed.parse(&head).map_err(head_error)?;
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(HeadError::Malformed);
    };
    if status != httparse::Status::Complete(head.len()) {
        return Err(HeadError::Malformed);
    }
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for line in parsed.headers.iter() {
        let name = HeaderName::from_bytes(line.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(head.slice_ref(line.value));
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(HeadError::Malformed);
        };
        headers.append(name, value);
    }
    let is_http_10 = version == 0;
    let framing = framing(&headers, is_http_10)?;
    let has_body = framing != BodyFraming::Length(0);
    let closes = is_http_10 || has_token(&headers, &CONNECTION, "close");
    let expects_continue = has_body && !is_http_10 && has_token(&headers, &EXPECT, "100-continue");
    let target = head.slice_ref(target.as_bytes());
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = Method::from_bytes(method.as_bytes()).map_err(|_| HeadError::Malformed)?;
    parts.uri = Uri::from_maybe_shared(target).map_err(|_| HeadError::Malformed)?;
    parts.version = match is_http_10 {
        true => Version::HTTP_10,
        false => Version::HTTP_11,
    };
    parts.headers = headers;
    Ok(RequestHead {
        parts,
        framing,
        closes,
        expects_continue,
        bytes: head.len(),
    })
}

fn framing(headers: &HeaderMap, is_http_10: bool) -> Result<BodyFraming, HeadError> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let text = value.to_str().map_err(|_| HeadError::Malformed)?;
        // `parse` alone would accept a sign.
        let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        let stated: u64 = match text.parse() {
            Ok(stated) if is_number => stated,
            _ => return Err(HeadError::Malformed),
        };
        if length.is_some_and(|length| length != stated) {
            return Err(HeadError::Malformed);
        }
        length = Some(stated);
    }
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(encoding) = encodings.next() else {
        return Ok(BodyFraming::Length(length.unwrap_or(0)));
    };
    let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if !is_chunked || encodings.next().is_some() || length.is_some() || is_http_10 {
        return Err(HeadError::Malformed);
    }
    Ok(BodyFraming::Chunked)
}

/// Whether a header that is a list of tokens has one of them.
pub(crate) fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers.get_all(name);
    values.iter().any(|value| {
        let mut tokens = value.as_bytes().split(|&byte| byte == b',');
        tokens.any(|found| found.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    })
}
