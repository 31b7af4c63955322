//! Runs requests on the colocated backend servers.

pub(crate) mod announce_http;
pub(crate) mod call_executor;
pub(crate) mod fingerprints;
pub(crate) mod forward_executor;
pub(crate) mod forward_hop;
pub(crate) mod forward_server;
pub(crate) mod http_pool;
pub(crate) mod local_server;
pub(crate) mod reply_gate;
pub(crate) mod run_times;
pub(crate) mod running_requests;
pub(crate) mod server_health;
pub(crate) mod server_response;
pub(crate) mod server_statement;
