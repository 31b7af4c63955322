//! Protocols between foxtailgauge processes: calls, control payloads, the connection handshake and
//! the admin API.
//!
//! ```
//! use foxtailgauge_wire::{decode, encode, Group, SubmitRequest};
//!
//! let bytes = encode(&SubmitRequest::Status)?;
//! assert_eq!(decode::<SubmitRequest>(&bytes)?, SubmitRequest::Status);
//! assert_eq!(Group::from_number(Group::Ledger.number()), Some(Group::Ledger));
//! # Ok::<(), foxtailgauge_wire::CodecError>(())
//! ```

pub mod api;
mod call;
mod codec;
#[allow(missing_docs, clippy::all, clippy::pedantic, unsafe_code)]
#[rustfmt::skip]
pub mod foxtailgauge_capnp;
pub mod handshake;
pub mod http;
mod http_response;
mod read_limit;
mod submit;

pub use call::{BackendResponse, CallReply, CallRequest, Cause, Outcome};
pub use codec::{decode, encode, encode_compressed, CodecError};
pub use read_limit::{LimitedStream, ReadLimit, MAX_RESPONSE_HEAD_BYTES};
pub use submit::{
    DomainStatus, FleetStatus, FormationState, Group, GroupStatus, LimitedWorkspace, SubmitReply,
    SubmitRequest,
};
