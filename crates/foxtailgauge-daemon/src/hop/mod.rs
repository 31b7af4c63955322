//! Requests forwarded from one daemon to another.

pub(crate) mod forward_body;
pub(crate) mod forward_headers;
pub(crate) mod hop_connection;
pub(crate) mod metadata;
