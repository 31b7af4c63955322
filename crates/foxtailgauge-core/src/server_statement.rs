//! What a backend server states about itself in its responses.

use crate::balance::ServerKey;
use crate::ids::UnixMs;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which a gateway keeps a statement after the last response with it: longer than a daemon
/// takes to restart, and than a leaving backend server takes to end.
const STATEMENT_TTL: Duration = Duration::from_secs(120);

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(u64);

impl RequestRate {
    /// A rate in requests per second; `None` if it is negative, infinite or not a number.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let is_rate = per_s.is_finite() && per_s >= 0.0;
        is_rate.then_some(RequestRate((per_s * 1_000.0) as u64))
    }

    /// A rate in thousandths of a request per second.
    pub fn from_milli(milli: u64) -> Self {
        RequestRate(milli)
    }

    /// Thousandths of a request per second.
    pub fn milli(self) -> u64 {
        self.0
    }

    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

/// Statements of a backend server that hold for all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerStatement {
    /// Rate of requests that it accepts from all daemons together; `None` if it states none.
    pub rate_limit: Option<RequestRate>,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// Statements of one process of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStatement {
    /// Start of the process; a later process has stated nothing yet.
    pub started_ms: UnixMs,
    /// Its statements.
    pub statement: ServerStatement,
}

/// Statements in the responses that a gateway has delivered. It sends them along with its requests,
/// as the daemon of a backend server forgets them when it restarts.
#[derive(Debug, Default)]
pub struct DeliveredStatements {
    by_server: HashMap<ServerKey, (ProcessStatement, Instant)>,
}

impl DeliveredStatements {
    /// Records the statements that came with a response; `None` if there were none.
    pub fn record(
        &mut self,
        server: &ServerKey,
        statement: Option<ProcessStatement>,
        now: Instant,
    ) {
        match statement {
            None => drop(self.by_server.remove(server)),
            Some(statement) => {
                self.by_server.retain(|_, (_, at)| is_current(*at, now));
                self.by_server.insert(server.clone(), (statement, now));
            }
        }
    }

    /// Statements last recorded for a backend server.
    pub fn get(&self, server: &ServerKey, now: Instant) -> Option<ProcessStatement> {
        let (statement, at) = self.by_server.get(server)?;
        is_current(*at, now).then_some(*statement)
    }
}

fn is_current(recorded_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(recorded_at) < STATEMENT_TTL
}
