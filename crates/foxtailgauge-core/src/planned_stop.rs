//! Requests at a daemon that was asked to stop: which of them it takes, and when it answers the rest.
//!
//! Load pattern: callers keep sending for some seconds, until they are routed elsewhere. A request
//! that was passed on and still runs when the process ends has no response, and one that is not
//! idempotent may not be repeated.

use std::time::Duration;

/// Time after the request to stop until callers are routed elsewhere. Before, a request that is
/// refused is likely to come back to the same daemon.
const ROUTED_ELSEWHERE_AFTER: Duration = Duration::from_secs(3);
/// Part of the grace period that is kept for final responses and the announcement of the end.
const CLOSING_DIVISOR: u32 = 6;
/// Longest time kept for them.
const MAX_CLOSING_TIME: Duration = Duration::from_millis(600);
/// A request that has no guaranteed end in time is taken if this many times its usual time is left.
const USUAL_TIME_FACTOR: u32 = 2;

/// Times of a planned stop, each counted from the request to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    grace: Duration,
}

/// A request that arrives during a stop and has not been passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRequest {
    /// Time within which it is answered in any case.
    pub time_left: Duration,
    /// Time that it usually takes, if known.
    pub usual_time: Option<Duration>,
    /// Whether a running request waits for it.
    pub is_nested: bool,
}

impl StopPlan {
    /// Plan of a process that is killed when `grace` is over.
    pub fn new(grace: Duration) -> Self {
        StopPlan { grace }
    }

    fn closing_time(self) -> Duration {
        (self.grace / CLOSING_DIVISOR).min(MAX_CLOSING_TIME)
    }

    /// Time until which requests may run. Those that run longer get a final response then.
    pub fn drain_time(self) -> Duration {
        self.grace - self.closing_time()
    }

    /// Time at which the process exits at the latest.
    pub fn exit_time(self) -> Duration {
        self.grace - self.closing_time() / 2
    }

    /// Whether a request that arrives `elapsed` after the request to stop is taken: if it is answered
    /// in time in any case, or while callers have nowhere else to go, or a running request waits for
    /// it, if it is expected to be.
    pub fn takes(self, elapsed: Duration, request: LateRequest) -> bool {
        let left = self.drain_time().saturating_sub(elapsed);
        let is_early = elapsed <= ROUTED_ELSEWHERE_AFTER.min(self.grace / 2);
        let is_expected = |usual: Duration| usual * USUAL_TIME_FACTOR <= left;
        let is_expected = request.usual_time.is_some_and(is_expected);
        !left.is_zero()
            && (request.time_left <= left || ((is_early || request.is_nested) && is_expected))
    }
}
