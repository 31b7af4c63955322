//! Reads one HTTP/1.1 response from a stream, without taking one that breaks off for a whole one.

use crate::http::{HttpError, HttpResponse, HOP_BY_HOP_HEADERS, VALID_STATUSES};
use crate::read_limit::MAX_RESPONSE_HEAD_BYTES;
use async_std::io::{Read, ReadExt};

/// Statuses of responses without a body, whatever their headers.
const BODILESS_STATUSES: [u16; 2] = [204, 304];
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 128;
/// Maximum size of a chunked body on the wire, as a multiple of its data: chunks of one byte.
const MAX_CHUNK_OVERHEAD: usize = 6;
/// Bytes that are read at a time.
const READ_BYTES: usize = 16 << 10;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(u64),
    Chunked,
}

struct Head {
    status: u16,
    headers: Vec<(String, String)>,
    framing: Option<Framing>,
    is_keep_alive: bool,
}

/// Reads a response whose body may have up to `max_body_bytes`; also returns whether the connection can
/// be used again.
pub(crate) async fn read_response(
    stream: impl Read + Unpin,
    is_head_request: bool,
    max_body_bytes: usize,
) -> Result<(HttpResponse, bool), HttpError> {
    let mut reader = ResponseReader {
        stream,
        bytes: Vec::new(),
        taken: 0,
        limit_bytes: MAX_RESPONSE_HEAD_BYTES,
    };
    let head = loop {
        let head = parse_head(reader.take_until(b"\r\n\r\n").await?)?;
        match head.status {
            101 => return Err(HttpError::Broken),
            100..200 => {}
            _ => break head,
        }
    };
    let is_bodiless = is_head_request || BODILESS_STATUSES.contains(&head.status);
    let body = match head.framing {
        _ if is_bodiless => Vec::new(),
        // A body that ends with the connection: one that is reset would look complete.
        None => return Err(HttpError::Broken),
        Some(Framing::Length(length)) => reader.body(length, max_body_bytes).await?,
        Some(Framing::Chunked) => reader.chunked_body(max_body_bytes).await?,
    };
    let is_reusable =
        head.is_keep_alive && head.framing.is_some() && reader.taken == reader.bytes.len();
    let response = HttpResponse {
        status: head.status,
        headers: head.headers,
        body,
    };
    Ok((response, is_reusable))
}

struct ResponseReader<S> {
    stream: S,
    /// Bytes read; the first `taken` of them are parsed.
    bytes: Vec<u8>,
    taken: usize,
    /// Bytes that may still be read.
    limit_bytes: usize,
}

impl<S: Read + Unpin> ResponseReader<S> {
    /// Reads more bytes; an error at the end of the stream.
    async fn fill(&mut self) -> Result<(), HttpError> {
        if self.taken == self.bytes.len() {
            self.bytes.clear();
            self.taken = 0;
        }
        let start = self.bytes.len();
        let length = READ_BYTES.min(self.limit_bytes);
        self.bytes.resize(start + length, 0);
        let result = self.stream.read(&mut self.bytes[start..]).await;
        let count = result.unwrap_or(0);
        self.bytes.truncate(start + count);
        self.limit_bytes -= count;
        match count {
            0 => Err(HttpError::Broken),
            _ => Ok(()),
        }
    }

    /// Takes the bytes up to and including `end`.
    async fn take_until(&mut self, end: &[u8]) -> Result<&[u8], HttpError> {
        let mut searched = 0;
        loop {
            let rest = &self.bytes[self.taken..];
            let mut windows = rest[searched..].windows(end.len());
            if let Some(found) = windows.position(|window| window == end) {
                let start = self.taken;
                self.taken += searched + found + end.len();
                return Ok(&self.bytes[start..self.taken]);
            }
            searched = rest.len().saturating_sub(end.len() - 1);
            self.fill().await?;
        }
    }

    /// Appends the next `length` bytes to `body`.
    async fn take_into(&mut self, body: &mut Vec<u8>, length: usize) -> Result<(), HttpError> {
        let mut missing = length;
        while missing > 0 {
            if self.taken == self.bytes.len() {
                self.fill().await?;
            }
            let count = missing.min(self.bytes.len() - self.taken);
            body.extend_from_slice(&self.bytes[self.taken..self.taken + count]);
            self.taken += count;
            missing -= count;
        }
        Ok(())
    }

    async fn body(&mut self, length: u64, max_body_bytes: usize) -> Result<Vec<u8>, HttpError> {
        let length = usize::try_from(length).map_err(|_| HttpError::TooLarge)?;
        if length > max_body_bytes {
            return Err(HttpError::TooLarge);
        }
        self.limit_bytes = length.saturating_add(READ_BYTES);
        let mut body = Vec::new();
        self.take_into(&mut body, length).await?;
        Ok(body)
    }

    async fn chunked_body(&mut self, max_body_bytes: usize) -> Result<Vec<u8>, HttpError> {
        let chunked_bytes = max_body_bytes.saturating_mul(MAX_CHUNK_OVERHEAD);
        self.limit_bytes = chunked_bytes.saturating_add(MAX_RESPONSE_HEAD_BYTES);
        let mut body = Vec::new();
        loop {
            let length = chunk_length(self.take_until(b"\r\n").await?)?;
            if length == 0 {
                break;
            }
            if length > max_body_bytes - body.len() {
                return Err(HttpError::TooLarge);
            }
            self.take_into(&mut body, length).await?;
            if self.take_until(b"\r\n").await?.len() != b"\r\n".len() {
                return Err(HttpError::Broken);
            }
        }
        // Trailers end with an empty line.
        while self.take_until(b"\r\n").await?.len() > b"\r\n".len() {}
        Ok(body)
    }
}

/// Length in the first line of a chunk, whose extensions are ignored.
fn chunk_length(line: &[u8]) -> Result<usize, HttpError> {
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, length))) => {
            usize::try_from(length).map_err(|_| HttpError::TooLarge)
        }
        Ok(httparse::Status::Partial) | Err(_) => Err(HttpError::Broken),
    }
}

fn parse_head(bytes: &[u8]) -> Result<Head, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let (Ok(httparse::Status::Complete(_)), Some(status), Some(1)) =
        (parsed.parse(bytes), parsed.code, parsed.version)
    else {
        return Err(HttpError::Broken);
    };
    if !VALID_STATUSES.contains(&status) {
        return Err(HttpError::Broken);
    }
    let mut head = Head {
        status,
        headers: Vec::new(),
        framing: None,
        is_keep_alive: true,
    };
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| HttpError::Broken)?;
        let name = header.name.to_ascii_lowercase();
        let framing = match name.as_str() {
            "content-length" => Some(Framing::Length(parse_length(value)?)),
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => Some(Framing::Chunked),
            "transfer-encoding" => return Err(HttpError::Broken),
            _ => None,
        };
        // Contradicting lengths leave the end of the body open.
        if framing.is_some() && head.framing.is_some_and(|first| Some(first) != framing) {
            return Err(HttpError::Broken);
        }
        head.framing = framing.or(head.framing);
        if name == "connection" {
            let mut options = value.split(',');
            head.is_keep_alive &= !options.any(|o| o.trim().eq_ignore_ascii_case("close"));
        }
        if !HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
            head.headers.push((name, value.to_owned()));
        }
    }
    Ok(head)
}

fn parse_length(value: &str) -> Result<u64, HttpError> {
    let is_number = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    match value.parse() {
        Ok(length) if is_number => Ok(length),
        _ => Err(HttpError::Broken),
    }
}
