//! Test and benchmark tools: stand-in backend server, load generator, links with fault injection
//! and fleet generator. Not part of a release.
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
