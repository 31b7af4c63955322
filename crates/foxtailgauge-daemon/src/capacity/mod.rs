//! Capacity of the fleet as operators see it. Daemons are asked only when an operator asks; nothing
//! is kept, so no figure is older than its reply.

pub(crate) mod admin;
mod servers;
mod workspaces;

use foxtailgauge_core::MAX_CAPACITY_ENTRIES;
use foxtailgauge_wire::api::MissingDaemons;

pub(crate) use servers::local_loads;
pub(crate) use workspaces::local_workspaces;

/// Counts daemons and names the first of them.
fn missing_daemons(mut names: Vec<String>) -> MissingDaemons {
    let count = u32::try_from(names.len()).unwrap_or(u32::MAX);
    names.sort();
    names.truncate(MAX_CAPACITY_ENTRIES);
    MissingDaemons { count, names }
}
