//! Chooses the backend server for a request by the time at which its answer is expected.
//!
//! Load it answers: backend servers of one service that differ in speed by several times, some cold
//! or failing, spread unevenly over the failure domains, seen through reports that are a few answers
//! old by many gateways at once.

use crate::balance::{Candidate, ServerKey};
use crate::ids::{DaemonName, FailureDomain, RouteName};
use crate::work_queue::WorkLoad;
use rand::Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Backend servers compared for one request, in each of own and other failure domains. Comparing
/// all would send every gateway to the same one between two reports.
const SAMPLE_SIZE: usize = 3;
/// Age from which a reported load no longer counts.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Run time assumed of a backend server without a report.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(50);
/// Shortest run time that is assumed, so that distance never counts alone.
const MIN_RUN_TIME: Duration = Duration::from_millis(1);
/// Load per slot that is assumed while no backend server of a service has reported.
const INITIAL_LOAD_PER_SLOT: f64 = 0.5;
/// Transit time to another instance and back that is assumed without a recent report from it: two
/// hops on a small part of a core at both ends.
const INITIAL_TRANSIT_TIME: Duration = Duration::from_millis(6);
/// Weight of the newest answer in the transit time.
const TRANSIT_TIME_WEIGHT: f64 = 0.5;
/// Time after which half of what was learned of the transit time is forgotten: a full link empties
/// again.
const TRANSIT_TIME_HALF_LIFE: Duration = Duration::from_secs(1);
/// Cost of leaving the failure domain with any request.
const REMOTE_COST: Duration = Duration::from_millis(6);
/// Cost of leaving it besides, in times to the target for each kilobyte of request and answer: bytes
/// between domains are dear, and a wait within the target costs the caller little.
const REMOTE_COST_PER_KB: f64 = 0.2;
/// Weight of the newest exchange in the bytes of a route.
const BYTES_WEIGHT: f64 = 0.1;
/// Forecast, in times to the target, up to which the colocated backend server is taken
/// without a look at the others: few runs take twice their mean, and the hop and its bytes are saved.
const COLOCATED_MAX_FORECAST: f64 = 0.7;
/// The same for backend servers of the own failure domain. Run times spread around their mean, so many
/// answers still come in time there, and bytes between domains are saved.
const SAME_DOMAIN_MAX_FORECAST: f64 = 0.8;
/// The same for nested requests: while they wait, they hold a slot elsewhere.
const SAME_DOMAIN_MAX_FORECAST_NESTED: f64 = 0.8;
/// Cost of a certain failure: what a caller loses by trying again elsewhere.
const FAILURE_COST: Duration = Duration::from_millis(500);
/// Weight of the newest answer in the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Time after which a failure rate has fallen by half without answers.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Time for which a backend server is passed over after it could not be reached; doubles each time.
const UNAVAILABLE_TIME: Duration = Duration::from_millis(250);
/// Longest time for which it is passed over.
const MAX_UNAVAILABLE_TIME: Duration = Duration::from_secs(2);
/// Shortest silence with requests under way that makes a daemon suspect.
const MIN_UNANSWERED_TIME: Duration = Duration::from_millis(120);
/// Silence that makes a daemon suspect, in mean run times over the requests under way: that no one
/// of several ends is less likely the more they are.
const UNANSWERED_RUNS: f64 = 6.0;
/// Part of a slot by which a running request slows down the others.
const CONTENTION: f64 = 0.1;

/// How an attempt ended, as far as the choice of backend servers is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptHealth {
    /// The backend server answered.
    Answered,
    /// It answered with a failure, or broke off.
    Failed,
    /// It or its daemon could not be reached, or takes no work.
    Unavailable,
    /// Its daemon gave no answer in time, or broke off.
    Unresponsive,
    /// Nothing can be said, as after a refusal for lack of room.
    Neutral,
}

/// What came with the answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// How full the backend server is.
    pub load: WorkLoad,
    /// Transit time of the request and its answer: all of the attempt but waiting and
    /// running at the other daemon. `None` if it was this one.
    pub transit_time: Option<Duration>,
    /// Bytes of the request's body and the answer's; `None` without an answer.
    pub bytes: Option<u64>,
}

#[derive(Clone, Debug)]
struct ServerStats {
    own_in_flight: u32,
    sent_since_report: u32,
    report: Option<(WorkLoad, Instant)>,
    /// Run times by route. A short call and a long one of the same service differ by several times.
    route_run_times: HashMap<RouteName, Duration>,
    /// Transit time there and back, and when it was learned.
    transit_time: Option<(Duration, Instant)>,
    failure_rate: f64,
    failure_at: Instant,
    unavailable_until: Option<Instant>,
    /// Times in a row that it could not be reached.
    consecutive_unavailable: u32,
    /// Since when requests are under way without any word.
    unanswered_since: Option<Instant>,
}

impl ServerStats {
    fn new(now: Instant) -> Self {
        ServerStats {
            own_in_flight: 0,
            sent_since_report: 0,
            report: None,
            route_run_times: HashMap::new(),
            transit_time: None,
            failure_rate: 0.0,
            failure_at: now,
            unavailable_until: None,
            consecutive_unavailable: 0,
            unanswered_since: None,
        }
    }

    fn current_report(&self, now: Instant) -> Option<WorkLoad> {
        let (load, at) = self.report?;
        (now.duration_since(at) < REPORT_TTL).then_some(load)
    }

    fn mean_run_time(&self) -> Duration {
        self.report.map_or(INITIAL_RUN_TIME, |(load, _)| {
            load.mean_run.max(MIN_RUN_TIME)
        })
    }

    fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.duration_since(self.failure_at).as_secs_f64();
        self.failure_rate * 0.5f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn is_usable(&self, now: Instant) -> bool {
        let is_unavailable = self.unavailable_until.is_some_and(|until| until > now);
        let limit = self
            .mean_run_time()
            .mul_f64(UNANSWERED_RUNS / f64::from(self.own_in_flight.max(1)).sqrt());
        let limit = limit.max(MIN_UNANSWERED_TIME);
        let is_unresponsive = self
            .unanswered_since
            .is_some_and(|since| now.duration_since(since) > limit);
        !is_unavailable && !is_unresponsive
    }

    fn record_report(&mut self, route: &str, load: WorkLoad, now: Instant) {
        self.report = Some((load, now));
        self.record_run_time(route, load.route_run);
        self.sent_since_report = 0;
    }

    fn record_run_time(&mut self, route: &str, run_time: Duration) {
        match self.route_run_times.get_mut(route) {
            Some(last) => *last = run_time,
            None => {
                self.route_run_times.insert(route.to_owned(), run_time);
            }
        }
    }

    fn record_transit_time(&mut self, sample: Duration, now: Instant) {
        let previous = self.transit_time(now);
        let transit_time =
            previous.mul_f64(1.0 - TRANSIT_TIME_WEIGHT) + sample.mul_f64(TRANSIT_TIME_WEIGHT);
        self.transit_time = Some((transit_time, now));
    }

    /// Transit time there and back. What was learned fades towards
    /// [`INITIAL_TRANSIT_TIME`].
    fn transit_time(&self, now: Instant) -> Duration {
        let Some((transit_time, at)) = self.transit_time else {
            return INITIAL_TRANSIT_TIME;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let retained = 0.5f64.powf(age / TRANSIT_TIME_HALF_LIFE.as_secs_f64());
        transit_time.mul_f64(retained) + INITIAL_TRANSIT_TIME.mul_f64(1.0 - retained)
    }

    fn mark_unavailable(&mut self, now: Instant) {
        let time = UNAVAILABLE_TIME * 2u32.saturating_pow(self.consecutive_unavailable.min(8));
        self.unavailable_until = Some(now + time.min(MAX_UNAVAILABLE_TIME));
        self.consecutive_unavailable += 1;
    }

    fn route_run_time(&self, route: &str) -> Duration {
        let run_time = self.route_run_times.get(route).copied();
        run_time.map_or_else(
            || self.mean_run_time(),
            |run_time| run_time.max(MIN_RUN_TIME),
        )
    }

    /// Its load per slot, if it has reported lately.
    fn load_per_slot(&self, now: Instant) -> Option<f64> {
        let load = self.current_report(now)?;
        let in_flight = load.running + load.waiting + self.sent_since_report;
        Some(f64::from(in_flight) / f64::from(load.slots.max(1)))
    }

    /// Time until the answer to a request sent now: its turns of waiting behind requests of all
    /// routes, then its own run. Without a report it is taken to have the mean load per slot.
    fn expected_response_time(
        &self,
        slots: u32,
        mean_load_per_slot: f64,
        route: &str,
        now: Instant,
    ) -> Duration {
        let slots = f64::from(slots.max(1));
        let in_flight = match self.load_per_slot(now) {
            Some(load_per_slot) => load_per_slot * slots,
            None => (mean_load_per_slot * slots).max(f64::from(self.own_in_flight)),
        };
        let queue_rounds = ((in_flight + 1.0 - slots) / slots).max(0.0);
        let contention = CONTENTION * (in_flight / slots).min(1.0);
        self.mean_run_time().mul_f64(queue_rounds)
            + self.route_run_time(route).mul_f64(1.0 + contention)
    }
}

/// What a request is placed by.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Its route.
    pub route: &'a str,
    /// Time within which the answer is of full use.
    pub target: Duration,
    /// Whether a request that already holds a slot elsewhere waits for it.
    pub is_nested: bool,
    /// Load of the colocated backend server, on the instance of this daemon, as it is now, if the
    /// service has one there.
    pub colocated_load: Option<WorkLoad>,
}

/// A gateway's picture of all backend servers.
#[derive(Debug)]
pub struct Placement {
    failure_domain: FailureDomain,
    daemon: DaemonName,
    server_stats: HashMap<ServerKey, ServerStats>,
    /// Mean bytes of an exchange, by route.
    route_bytes: HashMap<RouteName, f64>,
}

impl Placement {
    /// A picture without backend servers, seen from a daemon in a failure domain.
    pub fn new(failure_domain: impl Into<FailureDomain>, daemon: impl Into<DaemonName>) -> Self {
        Placement {
            failure_domain: failure_domain.into(),
            daemon: daemon.into(),
            server_stats: HashMap::new(),
            route_bytes: HashMap::new(),
        }
    }

    /// Forgets backend servers that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&ServerKey) -> bool) {
        self.server_stats
            .retain(|key, stats| stats.own_in_flight > 0 || is_known(key));
    }

    /// Chooses among the candidates that were not tried yet; counts the request as under way.
    pub fn choose<'a>(
        &mut self,
        candidates: &'a [Candidate],
        tried: &[ServerKey],
        placement_request: &PlacementRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        let colocated = candidates.iter().find(|c| c.key.daemon == self.daemon);
        if let (Some(colocated), Some(load)) = (colocated, placement_request.colocated_load) {
            self.stats_mut(&colocated.key, now)
                .record_report(placement_request.route, load, now);
        }
        let untried = candidates.iter().filter(|c| !tried.contains(&c.key));
        let (usable, unusable): (Vec<&Candidate>, Vec<&Candidate>) = untried.partition(|c| {
            self.server_stats
                .get(&c.key)
                .is_none_or(|stats| stats.is_usable(now))
        });
        // With nobody else left, one that was silent may be back.
        let eligible = if usable.is_empty() { unusable } else { usable };
        let mean_load_per_slot = self.mean_load_per_slot(&eligible, now);
        let cost = |c: &'a Candidate| {
            (
                self.cost(c, mean_load_per_slot, placement_request.route, now),
                c,
            )
        };
        let chosen = self.choose_by(eligible, placement_request, cost, rng)?;
        let stats = self.stats_mut(&chosen.key, now);
        stats.own_in_flight += 1;
        stats.sent_since_report += 1;
        stats.unanswered_since.get_or_insert(now);
        Some(chosen)
    }

    /// The colocated backend server, the own failure domain, the others: each is looked at
    /// only if nothing before is good enough.
    fn choose_by<'a>(
        &self,
        eligible: Vec<&'a Candidate>,
        placement_request: &PlacementRequest<'_>,
        cost: impl Fn(&'a Candidate) -> (Duration, &'a Candidate),
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        let (colocated, others): (Vec<&Candidate>, Vec<&Candidate>) = eligible
            .into_iter()
            .partition(|c| c.key.daemon == self.daemon);
        let by_cost = |(cost, _): &(Duration, &Candidate)| *cost;
        let colocated = colocated.into_iter().map(&cost).min_by_key(by_cost);
        let is_within = |best: &Option<(Duration, &Candidate)>, fraction: f64| {
            best.is_some_and(|(cost, _)| cost < placement_request.target.mul_f64(fraction))
        };
        if is_within(&colocated, COLOCATED_MAX_FORECAST) {
            return colocated.map(|(_, chosen)| chosen);
        }
        let (same_domain, other_domain): (Vec<&Candidate>, Vec<&Candidate>) = others
            .into_iter()
            .partition(|c| c.failure_domain == self.failure_domain);
        let same_domain = sample(same_domain, rng).map(&cost);
        let same_domain = colocated.into_iter().chain(same_domain).min_by_key(by_cost);
        let max_forecast = match placement_request.is_nested {
            true => SAME_DOMAIN_MAX_FORECAST_NESTED,
            false => SAME_DOMAIN_MAX_FORECAST,
        };
        if is_within(&same_domain, max_forecast) {
            return same_domain.map(|(_, chosen)| chosen);
        }
        let other_domain = sample(other_domain, rng).map(&cost);
        let remote_cost = self.remote_cost(placement_request);
        let other_domain = other_domain.map(|(time, candidate)| (time + remote_cost, candidate));
        let best = same_domain
            .into_iter()
            .chain(other_domain)
            .min_by_key(by_cost);
        best.map(|(_, chosen)| chosen)
    }

    /// What leaving the failure domain costs besides the transit time.
    fn remote_cost(&self, placement_request: &PlacementRequest<'_>) -> Duration {
        let bytes = self.route_bytes.get(placement_request.route).copied();
        let target_multiples = REMOTE_COST_PER_KB * bytes.unwrap_or(0.0) / 1_000.0;
        REMOTE_COST + placement_request.target.mul_f64(target_multiples)
    }

    fn record_bytes(&mut self, route: &str, bytes: u64) {
        let sample = bytes as f64;
        match self.route_bytes.get_mut(route) {
            Some(mean) => *mean += BYTES_WEIGHT * (sample - *mean),
            None => {
                self.route_bytes.insert(route.to_owned(), sample);
            }
        }
    }

    /// Mean load per slot of those that have reported lately. A gateway hears of most only now and
    /// then; taking the others to be idle would send everything to those it knows least of.
    fn mean_load_per_slot(&self, candidates: &[&Candidate], now: Instant) -> f64 {
        let known = candidates
            .iter()
            .filter_map(|c| self.server_stats.get(&c.key));
        let (count, sum) = known
            .filter_map(|stats| stats.load_per_slot(now))
            .fold((0.0, 0.0), |(count, sum), load_per_slot| {
                (count + 1.0, sum + load_per_slot)
            });
        match count > 0.0 {
            true => sum / count,
            false => INITIAL_LOAD_PER_SLOT,
        }
    }

    /// Ends an attempt that `choose` counted, with what the executor reported.
    pub fn finish(
        &mut self,
        key: &ServerKey,
        route: &str,
        health: AttemptHealth,
        report: Option<AttemptReport>,
        now: Instant,
    ) {
        if let Some(bytes) = report.and_then(|report| report.bytes) {
            self.record_bytes(route, bytes);
        }
        let stats = self.stats_mut(key, now);
        stats.own_in_flight = stats.own_in_flight.saturating_sub(1);
        if let Some(AttemptReport {
            load, transit_time, ..
        }) = report
        {
            stats.record_report(route, load, now);
            transit_time
                .into_iter()
                .for_each(|transit_time| stats.record_transit_time(transit_time, now));
        }
        let has_answer = report.is_some() || health == AttemptHealth::Answered;
        if has_answer || stats.own_in_flight == 0 {
            stats.unanswered_since = (stats.own_in_flight > 0).then_some(now);
        }
        if has_answer {
            stats.consecutive_unavailable = 0;
        }
        let sample = match health {
            AttemptHealth::Answered => 0.0,
            AttemptHealth::Failed => 1.0,
            AttemptHealth::Unavailable => return stats.mark_unavailable(now),
            AttemptHealth::Unresponsive => {
                stats.mark_unavailable(now);
                1.0
            }
            AttemptHealth::Neutral => return,
        };
        let rate = stats.failure_rate(now);
        stats.failure_rate = rate + FAILURE_WEIGHT * (sample - rate);
        stats.failure_at = now;
    }

    fn cost(
        &self,
        candidate: &Candidate,
        mean_load_per_slot: f64,
        route: &str,
        now: Instant,
    ) -> Duration {
        let Some(stats) = self.server_stats.get(&candidate.key) else {
            return INITIAL_RUN_TIME;
        };
        let transit_time = match candidate.key.daemon == self.daemon {
            true => Duration::ZERO,
            false => stats.transit_time(now),
        };
        let failures = FAILURE_COST.mul_f64(stats.failure_rate(now));
        stats.expected_response_time(candidate.slots, mean_load_per_slot, route, now)
            + transit_time
            + failures
    }

    fn stats_mut(&mut self, key: &ServerKey, now: Instant) -> &mut ServerStats {
        if !self.server_stats.contains_key(key) {
            self.server_stats.insert(key.clone(), ServerStats::new(now));
        }
        self.server_stats
            .get_mut(key)
            .unwrap_or_else(|| unreachable!("the entry was inserted above"))
    }
}

/// A few of the candidates, each equally likely.
fn sample<'a>(
    mut candidates: Vec<&'a Candidate>,
    rng: &mut impl Rng,
) -> impl Iterator<Item = &'a Candidate> {
    let count = candidates.len().min(SAMPLE_SIZE);
    for at in 0..count {
        let other = rng.random_range(at..candidates.len());
        candidates.swap(at, other);
    }
    candidates.truncate(count);
    candidates.into_iter()
}
