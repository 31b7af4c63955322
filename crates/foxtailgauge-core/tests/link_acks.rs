//! Acknowledgements on one-way connections: lost, rare, and of earlier versions.

use foxtailgauge_core::{AckMonitor, AckPacer};
use std::time::{Duration, Instant};

/// Sends frames at an interval over a connection whose frames arrive until `silent_from_ms`; returns
/// the time at which the sender gives it up, if it does within 10 s.
fn given_up_at_ms(interval_ms: usize, silent_from_ms: u64, is_acknowledging: bool) -> Option<u64> {
    let start = Instant::now();
    let (mut pacer, mut monitor) = (AckPacer::default(), AckMonitor::default());
    for at_ms in (0..10_000).step_by(interval_ms) {
        let now = start + Duration::from_millis(at_ms);
        if monitor.sent(now) {
            return Some(at_ms);
        }
        if at_ms < silent_from_ms && pacer.is_due(now) && is_acknowledging {
            monitor.acknowledged(now);
        }
    }
    None
}

#[test]
fn silent_connection_is_given_up_and_a_working_one_is_not() {
    const NEVER: u64 = 100_000;
    // Heartbeats, and the rarer requests of a candidate.
    for interval_ms in [20, 50, 300, 700, 1_200] {
        assert_eq!(
            given_up_at_ms(interval_ms, NEVER, true),
            None,
            "{interval_ms}"
        );
        let given_up_at_ms = given_up_at_ms(interval_ms, 1_000, true);
        assert!(
            given_up_at_ms.is_some_and(|at_ms| (2_000..4_900).contains(&at_ms)),
            "{interval_ms}: {given_up_at_ms:?}"
        );
    }
    // A receiver of an earlier version.
    assert_eq!(given_up_at_ms(50, NEVER, false), None);
}
