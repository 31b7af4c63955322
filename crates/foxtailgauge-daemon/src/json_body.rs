//! JSON bodies of requests to the HTTP interfaces of operators and backend servers.

use async_std::io::{self, ReadExt};
use serde::de::DeserializeOwned;
use tide::Request;

/// Maximum size of a body with a configuration text: the largest text, and more than its escapes add.
pub(crate) const MAX_TEXT_BODY_BYTES: usize = 8 << 20;
/// Maximum size of a body that has only names, numbers and addresses.
pub(crate) const MAX_SMALL_BODY_BYTES: usize = 64 << 10;

/// Reads a body; an error if it is not the JSON of a `T`, or larger than `max_bytes`. Of a larger body,
/// nothing is kept if its size is declared, and no more than `max_bytes` otherwise.
pub(crate) async fn read_json<T: DeserializeOwned, S>(
    request: &mut Request<S>,
    max_bytes: usize,
) -> io::Result<T> {
    let is_too_large = |length: usize| length > max_bytes;
    if request.len().is_some_and(is_too_large) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    // `read_to_end` writes zeros to all capacity, twice the memory of the body itself.
    let mut bytes = Vec::new();
    let mut part = vec![0; 16 << 10];
    loop {
        let length = request.read(&mut part).await?;
        if length == 0 {
            return Ok(serde_json::from_slice(&bytes)?);
        }
        if is_too_large(bytes.len() + length) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        bytes.extend_from_slice(&part[..length]);
    }
}
