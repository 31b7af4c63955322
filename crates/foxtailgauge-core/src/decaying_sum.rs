//! Sum of recent amounts with exponential decay.

use std::time::{Duration, Instant};

/// Amounts added over the last while; each loses a factor of *e* within the window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingSum {
    window: Duration,
    sum: f64,
    /// When `sum` was last updated; `None` while it is empty.
    at: Option<Instant>,
}

impl DecayingSum {
    /// An empty sum.
    pub(crate) fn new(window: Duration) -> Self {
        DecayingSum {
            window,
            sum: 0.0,
            at: None,
        }
    }

    /// Adds an amount.
    pub(crate) fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.value(now) + amount;
        self.at = Some(now);
    }

    /// The sum at an instant, in the unit of the amounts.
    pub(crate) fn value(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        self.sum * (-age.as_secs_f64() / self.window.as_secs_f64()).exp()
    }

    /// Mean amount per second over the window.
    pub(crate) fn per_s(&self, now: Instant) -> f64 {
        self.value(now) / self.window.as_secs_f64()
    }
}
