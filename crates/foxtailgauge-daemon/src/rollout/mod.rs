//! Rollouts: steps decided by the leading replica, choice of the version at gateways, gate at
//! executors.

pub(crate) mod admin;
pub(crate) mod choice;
pub(crate) mod gate;
pub(crate) mod leader;
pub(crate) mod order;
pub(crate) mod run_record;

use crate::shared::Shared;
use foxtailgauge_core::{RolloutPhase, STALE_SOURCE_MS};

/// Whether this daemon's contact with a quorum is recent enough to use a version on trial: without
/// it, the version may have been rolled back.
///
/// In the phase full the bound is twice as long. The other servers have run empty by then, so that
/// an election would refuse every request; 2.6 s still end well before the 5 s that a bad version
/// may go on.
pub(crate) fn has_recent_contact(shared: &Shared, phase: RolloutPhase) -> bool {
    let max_age_ms = match phase {
        RolloutPhase::Full => 2 * STALE_SOURCE_MS,
        _ => STALE_SOURCE_MS,
    };
    shared
        .quorum_age_ms()
        .is_some_and(|age_ms| age_ms <= max_age_ms)
}
