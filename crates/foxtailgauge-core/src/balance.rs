//! Chooses a backend server for a call: same failure domain first, power of two choices on load.

use crate::ids::{DaemonName, FailureDomain};
use rand::Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time over which the share of a new backend server rises to its full value.
const SLOW_START: Duration = Duration::from_secs(5);
/// Consecutive failures after which a backend server is ejected.
const EJECT_FAILURES: u32 = 3;
/// Duration of the first ejection; doubles with each further one until a response arrives.
const EJECTION_TIME: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Age from which a load report is ignored.
const REPORT_TTL: Duration = Duration::from_millis(500);
/// Calls in flight per slot from which a backend server has no capacity for more.
const SPILL_LOAD: f64 = 1.0;

/// Identity of a backend server in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerKey {
    /// Daemon on its instance.
    pub daemon: DaemonName,
    /// Name of the backend server, unique on that instance.
    pub server: String,
}

/// A backend server that a call may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Identity of the backend server.
    pub key: ServerKey,
    /// Failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Address of its daemon's call port.
    pub calls_addr: String,
    /// Number of requests it runs concurrently.
    pub slots: u32,
}

#[derive(Clone, Debug)]
struct ServerLoad {
    /// Calls of this gateway in flight.
    own_in_flight: u32,
    /// Calls of all gateways in flight, as last reported by the executor, and when.
    reported: Option<(u32, Instant)>,
    first_seen: Instant,
    consecutive_failures: u32,
    /// Ejections since the last response.
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl ServerLoad {
    fn new(now: Instant) -> Self {
        ServerLoad {
            own_in_flight: 0,
            reported: None,
            first_seen: now,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    fn in_flight(&self, now: Instant) -> u32 {
        match self.reported {
            Some((count, at)) if now.duration_since(at) < REPORT_TTL => {
                self.own_in_flight.max(count)
            }
            _ => self.own_in_flight,
        }
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Load per slot, scaled up for a new backend server during its slow start.
    fn score(&self, slots: u32, now: Instant) -> f64 {
        let age = now.duration_since(self.first_seen).as_secs_f64();
        let slow_start_share = (age / SLOW_START.as_secs_f64()).clamp(0.1, 1.0);
        f64::from(self.in_flight(now) + 1) / (f64::from(slots.max(1)) * slow_start_share)
    }
}

/// Outcome of a call, as far as it matters for the health of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallHealth {
    /// It responded.
    Answered,
    /// It or its daemon did not respond.
    Failed,
    /// Says nothing about its health, such as a refusal by its admission gate.
    Neutral,
}

/// Load and health of all backend servers, as known to one gateway.
#[derive(Debug)]
pub struct Balancer {
    failure_domain: FailureDomain,
    loads: HashMap<ServerKey, ServerLoad>,
}

impl Balancer {
    /// A balancer that prefers one failure domain.
    pub fn new(failure_domain: impl Into<FailureDomain>) -> Self {
        Balancer {
            failure_domain: failure_domain.into(),
            loads: HashMap::new(),
        }
    }

    /// Removes backend servers that are no longer known and have no calls in flight.
    pub fn retain(&mut self, is_known: impl Fn(&ServerKey) -> bool) {
        self.loads
            .retain(|key, load| load.own_in_flight > 0 || is_known(key));
    }

    /// Chooses among the candidates not tried yet, and counts the call as in flight.
    pub fn choose<'a>(
        &mut self,
        candidates: &'a [Candidate],
        tried: &[ServerKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        let untried: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| !tried.contains(&candidate.key))
            .collect();
        let healthy = self.without_ejected(&untried, candidates.len(), now);
        let (same_domain, other_domain): (Vec<&Candidate>, Vec<&Candidate>) = healthy
            .into_iter()
            .partition(|candidate| candidate.failure_domain == self.failure_domain);
        let chosen = match self.better_of_two(&same_domain, now, rng) {
            Some(best) if self.has_capacity(best, now) => Some(best),
            best => self.spill(&other_domain, now, rng).or(best),
        }?;
        self.load(&chosen.key, now).own_in_flight += 1;
        Some(chosen)
    }

    /// Ends a call counted by [`Balancer::choose`], with the load reported by the executor.
    pub fn finish(
        &mut self,
        key: &ServerKey,
        health: CallHealth,
        reported_in_flight: Option<u32>,
        now: Instant,
    ) {
        let load = self.load(key, now);
        load.own_in_flight = load.own_in_flight.saturating_sub(1);
        if let Some(count) = reported_in_flight {
            load.reported = Some((count, now));
        }
        match health {
            CallHealth::Neutral => {}
            CallHealth::Answered => {
                load.consecutive_failures = 0;
                load.ejections = 0;
            }
            CallHealth::Failed => load.record_failure(now),
        }
    }

    fn load(&mut self, key: &ServerKey, now: Instant) -> &mut ServerLoad {
        self.loads
            .entry(key.clone())
            .or_insert_with(|| ServerLoad::new(now))
    }

    /// Candidates that are not ejected; all of them if more than half of the total, or all untried
    /// ones, are ejected.
    fn without_ejected<'a>(
        &mut self,
        untried: &[&'a Candidate],
        total: usize,
        now: Instant,
    ) -> Vec<&'a Candidate> {
        for candidate in untried {
            self.load(&candidate.key, now);
        }
        let is_ejected = |c: &&&Candidate| self.loads[&c.key].is_ejected(now);
        let ejected = untried.iter().filter(is_ejected).count();
        if ejected == untried.len() || ejected * 2 > total {
            return untried.to_vec();
        }
        untried.iter().filter(|c| !is_ejected(c)).copied().collect()
    }

    fn better_of_two<'a>(
        &self,
        candidates: &[&'a Candidate],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        match candidates {
            [] => None,
            [only] => Some(only),
            _ => {
                let first = rng.random_range(0..candidates.len());
                let offset = rng.random_range(1..candidates.len());
                let second = (first + offset) % candidates.len();
                let (a, b) = (candidates[first], candidates[second]);
                Some(if self.score(a, now) <= self.score(b, now) {
                    a
                } else {
                    b
                })
            }
        }
    }

    fn spill<'a>(
        &self,
        other_domain: &[&'a Candidate],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        let candidate = self.better_of_two(other_domain, now, rng)?;
        self.has_capacity(candidate, now).then_some(candidate)
    }

    fn has_capacity(&self, candidate: &Candidate, now: Instant) -> bool {
        let in_flight = self.loads[&candidate.key].in_flight(now);
        f64::from(in_flight) < SPILL_LOAD * f64::from(candidate.slots)
    }

    fn score(&self, candidate: &Candidate, now: Instant) -> f64 {
        self.loads[&candidate.key].score(candidate.slots, now)
    }
}

impl ServerLoad {
    fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < EJECT_FAILURES || self.is_ejected(now) {
            return;
        }
        let time = EJECTION_TIME * 2u32.saturating_pow(self.ejections.min(5));
        self.ejected_until = Some(now + time.min(MAX_EJECTION_TIME));
        self.ejections += 1;
    }
}
