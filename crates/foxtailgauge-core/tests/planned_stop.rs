//! Requests at a daemon that was asked to stop.

use foxtailgauge_core::{LateRequest, StopPlan};
use std::time::Duration;

/// Guards against requests that are taken although they can't be answered in time, and against
/// refusals of those that can.
#[test]
fn request_is_taken_if_it_can_be_answered_before_the_drain_ends() {
    // Grace, elapsed, time left and usual time in milliseconds (0: unknown), nested, and the decision.
    let cases = [
        (6_000, 0, 4_000, 0, false, true),
        (6_000, 1_400, 4_000, 0, false, true),
        (6_000, 1_401, 4_000, 0, false, false),
        (6_000, 4_900, 500, 0, false, true),
        (6_000, 1_000, 10_000, 300, false, true),
        (6_000, 1_000, 10_000, 2_200, false, true),
        (6_000, 1_000, 10_000, 2_201, false, false),
        (6_000, 3_000, 10_000, 300, false, true),
        (6_000, 3_001, 10_000, 300, false, false),
        (6_000, 3_001, 10_000, 300, true, true),
        (6_000, 4_801, 10_000, 300, true, false),
        (10_000, 5_400, 4_000, 1_500, false, true),
        (10_000, 5_401, 4_000, 1_500, false, false),
        (3_000, 1_500, 20_000, 500, false, true),
        (3_000, 1_501, 20_000, 500, false, false),
        (500, 300, 10, 0, false, true),
        (500, 420, 0, 0, true, false),
        (0, 0, 0, 0, false, false),
    ];
    let ms = Duration::from_millis;
    for case in cases {
        let (grace, elapsed, time_left, usual, is_nested, expected) = case;
        let request = LateRequest {
            time_left: ms(time_left),
            usual_time: (usual > 0).then(|| ms(usual)),
            is_nested,
        };
        let plan = StopPlan::new(ms(grace));
        assert_eq!(plan.takes(ms(elapsed), request), expected, "{case:?}");
    }
}

/// Guards against a stop that doesn't fit into its grace period, and against final responses that
/// come long before its end.
#[test]
fn drain_and_exit_lie_in_the_last_sixth_of_the_grace_period() {
    for grace_ms in [0, 1, 500, 3_000, 6_000, 10_000, 600_000] {
        let (plan, grace) = (
            StopPlan::new(Duration::from_millis(grace_ms)),
            Duration::from_millis(grace_ms),
        );
        assert!(plan.drain_time() >= grace * 5 / 6, "{grace_ms}");
        assert!(plan.drain_time() <= plan.exit_time(), "{grace_ms}");
        assert!(plan.exit_time() <= grace, "{grace_ms}");
        let closing = grace - plan.drain_time();
        assert!(closing <= Duration::from_millis(600), "{grace_ms}");
    }
}
