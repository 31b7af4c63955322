//! What a backend server states about itself in its responses.

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(u64);

impl RequestRate {
    /// A rate in requests per second; `None` if it is negative, infinite or not a number.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let is_rate = per_s.is_finite() && per_s >= 0.0;
        is_rate.then_some(RequestRate((per_s * 1_000.0) as u64))
    }

    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

/// Statements of a backend server that hold for all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Rate of requests that it accepts from all daemons together; `None` if it states none.
    pub rate_limit: Option<RequestRate>,
    /// Whether it is leaving.
    pub is_leaving: bool,
}
