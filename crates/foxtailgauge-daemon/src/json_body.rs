//! JSON bodies of requests to the HTTP interfaces of operators and backend servers.

use async_std::io::{self, ReadExt};
use serde::de::DeserializeOwned;
use tide::Request;

/// Maximum size of a body: that of the largest configuration text, and more than its escapes add.
pub(crate) const MAX_BODY_BYTES: u64 = 8 << 20;

/// Reads a body; an error if it is not the JSON of a `T`, or larger than [`MAX_BODY_BYTES`]. Of a body
/// without end, no more than that is kept.
pub(crate) async fn read_json<T: DeserializeOwned, S>(request: &mut Request<S>) -> io::Result<T> {
    let mut body = Vec::new();
    let mut limited = request.take_body().take(MAX_BODY_BYTES + 1);
    limited.read_to_end(&mut body).await?;
    if body.len() as u64 > MAX_BODY_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(serde_json::from_slice(&body)?)
}
