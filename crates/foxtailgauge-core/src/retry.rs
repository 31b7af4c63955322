//! Retry budget: retries are a bounded fraction of calls.

/// Retries a budget can save up.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// A token bucket filled by calls and emptied by retries.
///
/// Invariant: over any stretch of calls, retries <= saved + calls * percent / 100.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            tokens: MAX_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Counts a call, which earns a part of a retry.
    pub fn earn(&mut self, retry_percent: u64) {
        self.tokens = (self.tokens + retry_percent as f64 / 100.0).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry if the budget holds it.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
