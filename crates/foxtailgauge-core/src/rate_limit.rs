//! Paces the requests to a backend server that states the rate it accepts.
//!
//! Designed for a backend server in need, which asks for a small part of its usual rate while the
//! callers of all daemons continue to press.

use crate::server_statement::RequestRate;
use std::time::{Duration, Instant};

/// Requests that may start at once after a pause, as the time in which they accrue at the stated
/// rate. One may always start.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Rate in requests per second of a backend server that states a lower one, even zero: only its
/// responses show that it accepts requests again.
const MIN_RATE_PER_S: f64 = 0.5;

/// Starts of requests at a stated rate; unlimited until one is stated.
#[derive(Debug, Default)]
pub(crate) struct RateLimit {
    rate: Option<RequestRate>,
    /// When all starts so far are paid for at the rate; `None` before the first one.
    paid_at: Option<Instant>,
}

impl RateLimit {
    /// Sets the rate; `None` removes the limit. Starts at an earlier rate remain counted, but delay
    /// the next one no longer than a whole burst at the new rate.
    pub(crate) fn set_rate(&mut self, rate: Option<RequestRate>, now: Instant) {
        self.rate = rate;
        if let (Some(interval), Some(paid_at)) = (self.interval(), self.paid_at) {
            self.paid_at = Some(paid_at.min(now + interval.max(BURST_TIME)));
        }
    }

    /// Time between two starts at the rate; `None` without a limit.
    pub(crate) fn interval(&self) -> Option<Duration> {
        let per_s = self.rate?.per_s().max(MIN_RATE_PER_S);
        Some(Duration::from_secs_f64(1.0 / per_s))
    }

    /// Earliest time of the next start; `None` if it may be at once.
    pub(crate) fn next_start(&self, now: Instant) -> Option<Instant> {
        let advance = BURST_TIME.saturating_sub(self.interval()?);
        let next = self.paid_at?.checked_sub(advance)?;
        (next > now).then_some(next)
    }

    /// Counts a start.
    pub(crate) fn record_start(&mut self, now: Instant) {
        if let Some(interval) = self.interval() {
            let from = self.paid_at.map_or(now, |paid_at| paid_at.max(now));
            self.paid_at = Some(from + interval);
        }
    }
}
