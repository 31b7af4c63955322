//! Stand-in backend server, load generator, cuttable links and fleet plans. Not shipped.
//!
//! ```
//! use foxtailgauge_bench::relay::RelayPlan;
//!
//! let plan = RelayPlan { links: Vec::new() };
//! assert!(plan.links.is_empty());
//! ```

pub mod call;
pub mod fleet;
mod fleet_client;
mod fleet_log;
pub mod herd;
pub mod json_file;
pub mod load;
pub mod measure;
pub mod plan;
pub mod plot;
pub mod ports;
pub mod relay;
pub mod stand_in;
