//! Replicated state, and the distribution of configuration and directory.

pub(crate) mod consensus_link;
pub(crate) mod fleet_status;
pub(crate) mod formation;
pub(crate) mod group_handle;
pub(crate) mod introduction;
pub(crate) mod replica;
pub(crate) mod replica_client;
pub(crate) mod replica_search;
pub(crate) mod seeds;
pub(crate) mod source;
pub(crate) mod source_probe;
pub(crate) mod state_machine;
pub mod store;
pub(crate) mod subscriber;
pub(crate) mod voter_recovery;
