//! The soak test: fault plans, the run of a seed, and the checks of its record.

pub mod faults;
pub mod record;
pub mod run;
