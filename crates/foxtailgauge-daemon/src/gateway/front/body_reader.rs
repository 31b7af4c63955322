//! Reads the body of a request from the bytes of a connection.

use crate::gateway::front::request_head::BodyFraming;
use bytes::{Buf, Bytes, BytesMut};

/// Longest line with a chunk size or a trailer.
const MAX_LINE_BYTES: usize = 4 << 10;
/// Largest number of trailers.
const MAX_TRAILERS: usize = 100;
/// Hexadecimal digits of the largest chunk size: 2^60 bytes.
const MAX_SIZE_DIGITS: usize = 15;

/// What follows in a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Bytes of a body with a stated length.
    Bytes { left: u64 },
    /// A line with a chunk size.
    Size,
    /// Bytes of a chunk.
    Chunk { left: u64 },
    /// The line end behind a chunk.
    ChunkEnd,
    /// Lines behind the last chunk, which are dropped.
    Trailers { count: usize },
    /// The body is complete.
    End,
}

/// Part of a body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BodyPart {
    /// Bytes, at least one.
    Data(Bytes),
    /// More bytes have to arrive first.
    Incomplete,
    /// The body is complete.
    End,
}

/// The bytes are not a chunked body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct MalformedBody;

/// Reads one body.
#[derive(Debug)]
pub(crate) struct BodyReader {
    state: State,
}

impl BodyReader {
    /// Starts at the first byte behind a head.
    pub(crate) fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => State::End,
            BodyFraming::Length(left) => State::Bytes { left },
            BodyFraming::Chunked => State::Size,
        };
        BodyReader { state }
    }

    /// Whether all bytes of the body were removed.
    pub(crate) fn is_end(&self) -> bool {
        self.state == State::End
    }

    /// Removes the next part of the body from `bytes`.
    pub(crate) fn read(&mut self, bytes: &mut BytesMut) -> Result<BodyPart, MalformedBody> {
        loop {
            match self.state {
                State::End => return Ok(BodyPart::End),
                State::Bytes { left } | State::Chunk { left } => {
                    if bytes.is_empty() {
                        return Ok(BodyPart::Incomplete);
                    }
                    let count = left.min(bytes.len() as u64);
                    self.state = match (self.state, left - count) {
                        (State::Bytes { .. }, 0) => State::End,
                        (State::Bytes { .. }, left) => State::Bytes { left },
                        (_, 0) => State::ChunkEnd,
                        (_, left) => State::Chunk { left },
                    };
                    return Ok(BodyPart::Data(bytes.split_to(count as usize).freeze()));
                }
                State::ChunkEnd => {
                    if !b"\r\n".starts_with(&bytes[..bytes.len().min(2)]) {
                        return Err(MalformedBody);
                    }
                    if bytes.len() < 2 {
                        return Ok(BodyPart::Incomplete);
                    }
                    bytes.advance(2);
                    self.state = State::Size;
                }
                State::Size => {
                    let Some(line) = take_line(bytes)? else {
                        return Ok(BodyPart::Incomplete);
                    };
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailers { count: 0 },
                        left => State::Chunk { left },
                    };
                }
                State::Trailers { count } => {
                    let Some(line) = take_line(bytes)? else {
                        return Ok(BodyPart::Incomplete);
                    };
                    self.state = match line.is_empty() {
                        true => State::End,
                        false if count >= MAX_TRAILERS => return Err(MalformedBody),
                        false => State::Trailers { count: count + 1 },
                    };
                }
            }
        }
    }
}

/// Removes the first line, which is returned without its end; `None` if it is not complete.
fn take_line(bytes: &mut BytesMut) -> Result<Option<Bytes>, MalformedBody> {
    let searched = &bytes[..bytes.len().min(MAX_LINE_BYTES)];
    let Some(at) = searched
        .iter()
        .position(|byte| matches!(byte, b'\r' | b'\n'))
    else {
        return match bytes.len() < MAX_LINE_BYTES {
            true => Ok(None),
            false => Err(MalformedBody),
        };
    };
    match (bytes[at], bytes.get(at + 1)) {
        (b'\r', Some(b'\n')) => {
            let line = bytes.split_to(at).freeze();
            bytes.advance(2);
            Ok(Some(line))
        }
        (b'\r', None) => Ok(None),
        _ => Err(MalformedBody),
    }
}

/// Size in the line before a chunk. Extensions are dropped.
fn chunk_size(line: &[u8]) -> Result<u64, MalformedBody> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default();
    let is_valid = !digits.is_empty()
        && digits.len() <= MAX_SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_| MalformedBody)?;
    match u64::from_str_radix(text, 16) {
        Ok(size) if is_valid => Ok(size),
        _ => Err(MalformedBody),
    }
}
