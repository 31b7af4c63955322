//! Retry budget: retries are a bounded fraction of calls.

/// Retries a budget can save up.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// A token bucket filled by calls and emptied by retries.
///
/// Invariant: over any stretch of calls, retries <= saved + calls * percent / 100.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    max_saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            tokens: MAX_SAVED_RETRIES,
            max_saved: MAX_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// A budget that saves up `max_saved` retries at most, and starts with them.
    ///
    /// Daemons share a fleet's budget by saving up little each.
    pub fn with_saved(max_saved: f64) -> Self {
        RetryBudget {
            tokens: max_saved,
            max_saved,
        }
    }

    /// Retries that it holds.
    pub fn left(&self) -> f64 {
        self.tokens
    }

    /// Counts a call, which earns a part of a retry.
    pub fn earn(&mut self, retry_percent: u64) {
        self.tokens = (self.tokens + retry_percent as f64 / 100.0).min(self.max_saved);
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
