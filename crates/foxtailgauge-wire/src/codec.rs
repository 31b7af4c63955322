//! Encoding of control payloads, log records and snapshots.
//!
//! The first byte says whether the rest is compressed with DEFLATE.

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::io::{self, Read, Write};

/// Encoding byte of an uncompressed payload.
const UNCOMPRESSED: u8 = 0;
/// Encoding byte of a payload compressed with DEFLATE.
const DEFLATED: u8 = 1;
/// Smallest payload that is compressed, in bytes; smaller ones gain too little from it.
const MIN_DEFLATED_BYTES: usize = 512;
/// Decompression stops at this size, in bytes. A larger payload indicates a faulty sender and fails
/// to decode.
const MAX_INFLATED_BYTES: u64 = 256 << 20;

/// Why a payload could not be encoded or decoded.
#[derive(Debug)]
pub enum CodecError {
    /// The payload does not match the expected type.
    Postcard(postcard::Error),
    /// Compression or decompression failed.
    Compression(io::Error),
    /// The payload is empty, or its first byte is not a known encoding.
    UnknownEncoding,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::Postcard(error) => write!(f, "payload has not the expected form: {error}"),
            CodecError::Compression(error) => {
                write!(f, "payload cannot be inflated: {error}")
            }
            CodecError::UnknownEncoding => write!(f, "payload has no known marker"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes a value without compression.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(value, vec![UNCOMPRESSED]).map_err(CodecError::Postcard)
}

/// Encodes a value that is large and repetitive, such as a configuration, with compression.
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

/// Decodes a value from either encoding.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    match bytes.split_first() {
        Some((&UNCOMPRESSED, plain)) => postcard::from_bytes(plain).map_err(CodecError::Postcard),
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
