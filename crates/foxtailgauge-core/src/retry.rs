//! Retry budget that bounds retries to a fraction of calls.

/// Default capacity of a budget, in retries.
const DEFAULT_CAPACITY: f64 = 10.0;

/// A token bucket filled by calls and emptied by retries.
///
/// Invariant: over any sequence of calls, retries <= capacity + calls * `retry_percent` / 100.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    capacity: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            tokens: DEFAULT_CAPACITY,
            capacity: DEFAULT_CAPACITY,
        }
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
        }
    }

    /// Number of retries available.
    pub fn balance(&self) -> f64 {
        self.tokens
    }

    /// Counts a call, which adds `retry_percent` / 100 of a retry.
    pub fn deposit(&mut self, retry_percent: u64) {
        self.tokens = (self.tokens + retry_percent as f64 / 100.0).min(self.capacity);
    }

    /// Withdraws one retry, or returns `false` if less than one is available.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
