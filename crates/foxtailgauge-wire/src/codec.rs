//! Encoding of control payloads, log records and snapshots.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;

/// A payload could not be encoded or decoded.
#[derive(Debug)]
pub struct CodecError(postcard::Error);

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "payload has not the expected form: {}", self.0)
    }
}

impl std::error::Error for CodecError {}

/// Encodes a value.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    postcard::to_stdvec(value).map_err(CodecError)
}

/// Decodes a value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    postcard::from_bytes(bytes).map_err(CodecError)
}
