//! Pacing of reconnects: backoff with jitter at the client, rate-limited admission at the source.

use rand::Rng;
use std::time::Duration;

/// Exponential backoff with jitter: each delay is 50 % to 100 % of the current maximum.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    max: Duration,
    attempt: u32,
}

impl Backoff {
    /// Backoff that starts at `base` and doubles up to `max`.
    pub fn new(base: Duration, max: Duration) -> Self {
        Backoff {
            base,
            max,
            attempt: 0,
        }
    }

    /// Resets the delay to `base` after a success.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }

    /// Delay before the next attempt.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let factor = 2u32.saturating_pow(self.attempt.min(16));
        self.attempt += 1;
        let max_delay = self.base.saturating_mul(factor).min(self.max);
        let half = max_delay / 2;
        half + half.mul_f64(rng.random::<f64>())
    }
}

/// Rate limit for new sessions. A refused session is told when to retry.
#[derive(Clone, Debug)]
pub struct SessionLimit {
    per_second: u64,
    /// End of the interval taken by the last admitted session, in microseconds of the caller's
    /// clock. Each session takes 1 s / `per_second`.
    reserved_until_us: u64,
}

impl SessionLimit {
    /// Allows `per_second` sessions per second, and a burst of the same size.
    pub fn new(per_second: u64) -> Self {
        SessionLimit {
            per_second: per_second.max(1),
            reserved_until_us: 0,
        }
    }

    /// Admits a session, or returns the time to wait before the next attempt. `now_ms` is the
    /// caller's clock in milliseconds.
    pub fn admit(&mut self, now_ms: u64) -> Result<(), Duration> {
        const BURST_US: u64 = 1_000_000;
        let now_us = now_ms * 1000;
        let interval_us = 1_000_000 / self.per_second;
        let start_us = self.reserved_until_us.max(now_us.saturating_sub(BURST_US));
        if start_us + interval_us <= now_us {
            self.reserved_until_us = start_us + interval_us;
            return Ok(());
        }
        Err(Duration::from_micros(start_us + interval_us - now_us))
    }
}
