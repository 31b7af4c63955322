//! The foxtailgauge daemon: gateway, executor and, on instances with a data directory, replica.
//!
//! ```
//! let error = foxtailgauge_daemon::load_settings("does-not-exist.ini".as_ref());
//! assert!(error.is_err());
//! ```

mod admin_http;
mod capacity;
mod control;
mod daemon;
pub mod events;
mod executor;
mod gateway;
pub mod header_readers;
mod hop;
mod json_body;
mod limited_http;
mod listen_settings;
mod lock_wait;
mod logger;
mod mesh;
mod mesh_settings;
mod meter;
mod metrics;
mod peer_client;
mod peer_server;
mod platform_http;
mod retry_settings;
mod rollout;
mod settings;
mod settings_files;
mod shared;
mod socket;
mod stop;
mod timer;
mod usage;
mod workspace_refusals;

pub use control::store;
pub use daemon::{run, DaemonError};
#[doc(hidden)]
pub use gateway::front::function_responder::serve_with_function;
pub use hop::metadata::HopRequest;
pub use mesh_settings::{MeshSettings, UnstatedBound};
pub use settings::{load as load_settings, Formation, Settings, SettingsError, SettingsProblem};
