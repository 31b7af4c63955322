//! The foxtailgauge daemon: gateway, executor and, on instances with a data directory, replica.
//!
//! ```
//! let error = foxtailgauge_daemon::load_settings("does-not-exist.ini".as_ref());
//! assert!(error.is_err());
//! ```

mod admin_http;
mod announce_http;
mod caller_connection;
mod caller_http;
mod consensus_link;
mod daemon;
pub mod events;
mod executor;
mod fleet_status;
mod formation;
mod forward_attempt;
mod forward_body;
mod forward_executor;
mod forward_gateway;
mod forward_headers;
mod forward_hop;
mod forward_refusal;
mod forward_request;
mod forward_server;
mod gateway;
mod hop;
mod hop_connection;
mod http_pool;
mod ledger_client;
mod local_server;
mod logger;
mod mesh;
mod mesh_settings;
mod meter;
mod metrics;
mod peer_client;
mod peer_server;
mod platform_http;
mod replica;
mod replica_client;
mod reply_gate;
mod route_view;
mod run_times;
mod server_health;
mod server_statement;
mod settings;
mod settings_files;
mod shared;
mod socket;
mod source;
mod state_machine;
pub mod store;
mod subscriber;
mod timer;

pub use daemon::{run, DaemonError};
pub use mesh_settings::MeshSettings;
pub use settings::{load as load_settings, Formation, Settings, SettingsError, SettingsProblem};
