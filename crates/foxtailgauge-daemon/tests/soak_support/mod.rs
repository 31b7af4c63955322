//! The fault soak: its faults, a run, and what is checked of it.

pub mod faults;
pub mod record;
pub mod run;
