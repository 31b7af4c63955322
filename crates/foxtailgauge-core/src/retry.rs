//! Retry budget that bounds retries to a fraction of calls.
//!
//! Load pattern: all backend servers of a service decline 55 % of their requests for 8.5 s although
//! their queues have room. 90 gateways share a budget, and callers come back once. A caller that is
//! refused on its first try can come back; one that is refused on a later try may be lost, so later
//! tries take precedence.

use crate::caller_timeout::CallerTry;
use std::time::{Duration, Instant};

/// Default capacity of a budget, in retries.
const DEFAULT_CAPACITY: f64 = 10.0;
/// Part of the slack that the balances of all gateways may reach together.
const CAPACITY_SHARE: f64 = 0.7;
/// Part of the slack that all gateways start with. Both parts together are the slack: gateways that
/// spend their balance, restart at once and spend the initial one stay within it.
const INITIAL_SHARE: f64 = 1.0 - CAPACITY_SHARE;

/// Time after the denial of a later try's retry during which first tries get none. In the replay,
/// 200 ms served as many callers (one seed).
const PRECEDENCE_TIME: Duration = Duration::from_secs(1);

/// Bound on the retries of a service, over all gateways together: in any period, `percent` of the
/// callers' requests, and `slack_requests` more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries in percent of the callers' requests.
    pub percent: f64,
    /// Retries allowed beyond the percentage.
    pub slack_requests: f64,
}

impl RetryLimits {
    /// Capacity of one of `gateways` budgets. At least 1, as less would allow no retry at all.
    fn capacity(&self, gateways: usize) -> f64 {
        (CAPACITY_SHARE * self.slack_per_gateway(gateways)).max(1.0)
    }

    fn initial_balance(&self, gateways: usize) -> f64 {
        INITIAL_SHARE * self.slack_per_gateway(gateways)
    }

    fn slack_per_gateway(&self, gateways: usize) -> f64 {
        self.slack_requests / gateways.max(1) as f64
    }
}

/// A token bucket filled by calls and emptied by retries.
///
/// Invariants: over any sequence of calls without charges, retries <= capacity + calls * `percent` /
/// 100; the balance is within the capacity and minus the capacity.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    capacity: f64,
    /// When a later try was last denied a retry.
    later_denied_at: Option<Instant>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::with_capacity(DEFAULT_CAPACITY)
    }
}

impl RetryBudget {
    /// Creates a full budget that holds at most `capacity` retries.
    ///
    /// A small capacity per daemon bounds the retries of the whole fleet.
    pub fn with_capacity(capacity: f64) -> Self {
        RetryBudget {
            tokens: capacity,
            capacity,
            later_denied_at: None,
        }
    }

    /// Creates the budget of one of `gateways` that share the limits. While their number is not
    /// known, the budget is empty and holds at most one retry: a gateway that has just started knows
    /// few of the others.
    pub fn within(limits: &RetryLimits, gateways: Option<usize>) -> Self {
        RetryBudget {
            tokens: gateways.map_or(0.0, |gateways| limits.initial_balance(gateways)),
            capacity: gateways.map_or(1.0, |gateways| limits.capacity(gateways)),
            later_denied_at: None,
        }
    }

    /// Adapts the capacity to the number of gateways that share the limits.
    pub fn set_gateways(&mut self, limits: &RetryLimits, gateways: usize) {
        self.capacity = limits.capacity(gateways);
        self.tokens = self.tokens.clamp(-self.capacity, self.capacity);
    }

    /// Number of retries available; negative after charges beyond the balance.
    pub fn balance(&self) -> f64 {
        self.tokens
    }

    /// Counts a call, which adds `percent` / 100 of a retry.
    pub fn deposit(&mut self, percent: f64) {
        self.tokens = (self.tokens + percent / 100.0).min(self.capacity);
    }

    /// Withdraws one retry, or returns `false` if less than one is available.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Withdraws one retry for a caller's try. A first try is denied it as well if a later one was
    /// denied one in the last second.
    pub fn try_withdraw_for(&mut self, caller_try: CallerTry, now: Instant) -> bool {
        match caller_try {
            CallerTry::First => !self.are_later_tries_first(now) && self.try_withdraw(),
            CallerTry::Later => {
                let is_withdrawn = self.try_withdraw();
                if !is_withdrawn {
                    self.later_denied_at = Some(now);
                }
                is_withdrawn
            }
        }
    }

    /// Whether retries are left to later tries.
    fn are_later_tries_first(&self, now: Instant) -> bool {
        let denied_at = self.later_denied_at;
        denied_at.is_some_and(|at| now.saturating_duration_since(at) < PRECEDENCE_TIME)
    }

    /// Withdraws one retry that cannot be refused. The balance may fall to minus the capacity.
    pub fn charge(&mut self) {
        self.tokens = (self.tokens - 1.0).max(-self.capacity);
    }
}
