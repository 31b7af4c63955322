//! Encoding of control payloads, log records and snapshots.
//!
//! The first byte tells whether the rest is deflated.

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::io::{self, Read, Write};

const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;
/// Payloads below this size gain too little from compression, in bytes.
const MIN_DEFLATED_BYTES: usize = 512;
/// Largest payload that is inflated, in bytes; more is taken for a fault of the sender.
const MAX_INFLATED_BYTES: u64 = 256 << 20;

/// A payload could not be encoded or decoded.
#[derive(Debug)]
pub enum CodecError {
    /// It has not the expected form.
    Postcard(postcard::Error),
    /// It cannot be inflated, or is too large.
    Compression(io::Error),
    /// It is empty, or its first byte is not known.
    UnknownEncoding,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::Postcard(error) => write!(f, "payload has not the expected form: {error}"),
            CodecError::Compression(error) => write!(f, "payload cannot be inflated: {error}"),
            CodecError::UnknownEncoding => write!(f, "payload has no known marker"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes a value.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(value, vec![PLAIN]).map_err(CodecError::Postcard)
}

/// Encodes a value that is large and repeats itself, such as configurations.
pub fn encode_compressed(value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    let plain = encode(value)?;
    if plain.len() < MIN_DEFLATED_BYTES {
        return Ok(plain);
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    encoder
        .write_all(&plain[1..])
        .map_err(CodecError::Compression)?;
    encoder.finish().map_err(CodecError::Compression)
}

/// Decodes a value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    match bytes.split_first() {
        Some((&PLAIN, plain)) => postcard::from_bytes(plain).map_err(CodecError::Postcard),
        Some((&DEFLATED, deflated)) => {
            let mut plain = Vec::new();
            let mut decoder = DeflateDecoder::new(deflated).take(MAX_INFLATED_BYTES);
            decoder
                .read_to_end(&mut plain)
                .map_err(CodecError::Compression)?;
            postcard::from_bytes(&plain).map_err(CodecError::Postcard)
        }
        _ => Err(CodecError::UnknownEncoding),
    }
}
