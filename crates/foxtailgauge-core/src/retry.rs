//! Retry budget: retries are a bounded fraction of calls.

/// Retries a budget can save up.
const DEFAULT_CAPACITY: f64 = 10.0;

/// A token bucket filled by calls and emptied by retries.
///
/// Invariant: over any stretch of calls, retries <= saved + calls * percent / 100.
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
    /// A budget that saves up `capacity` retries at most, and starts with them.
    ///
    /// Daemons share a fleet's budget by saving up little each.
    pub fn with_capacity(capacity: f64) -> Self {
        RetryBudget {
            tokens: capacity,
            capacity,
        }
    }

    /// Retries that it holds.
    pub fn balance(&self) -> f64 {
        self.tokens
    }

    /// Counts a call, which earns a part of a retry.
    pub fn deposit(&mut self, retry_percent: u64) {
        self.tokens = (self.tokens + retry_percent as f64 / 100.0).min(self.capacity);
    }

    /// Takes one retry if the budget holds it.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
