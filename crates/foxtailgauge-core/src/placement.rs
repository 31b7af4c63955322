//! Chooses the backend server for a request by its expected response time.
//!
//! Designed for services whose backend servers differ in speed by several times, may be cold or
//! failing, and are spread unevenly over the failure domains. Many gateways choose at once, each
//! from load reports that are a few responses old.
//!
//! Also designed for downloads of 90 KB that saturate the links of their backend servers: they stay
//! in their failure domain while that is in time, and leave it only for a link with room.
//!
//! The run times of the last report hold until the next one, so a backend server that was slow or
//! limited would get no request that shows otherwise: after 5 s in which one was slow, twelve
//! gateways at two fifths of the capacity did not use it again for 6 s in four of six replays, and
//! so it is with a new one that is assumed to be slower than the others. A small share of the
//! requests therefore goes to backend servers that have not reported for a while.

use crate::balance::{Candidate, ServerKey};
use crate::ids::{DaemonName, FailureDomain, RouteName};
use crate::work_queue::WorkLoad;
use rand::Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of backend servers compared for one request, both in the gateway's own failure domain and
/// in the others. If all were compared, every gateway would choose the same one between two
/// reports.
const SAMPLE_SIZE: usize = 3;
/// Age from which a load report is ignored.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Age of a report from which a backend server is probed: it is found again within a second, with
/// the time for the response.
const PROBE_AGE: Duration = Duration::from_millis(700);
/// Largest share of the requests that are probes. Their responses may be late, so it is small; a
/// gateway with 40 requests per second needs it to probe one backend server a second.
const PROBE_SHARE: f64 = 0.03;
/// Failure rate above which a backend server is not probed: a failed run can cost the request.
const MAX_PROBE_FAILURE_RATE: f64 = 0.05;
/// Run time assumed for a backend server without a report.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(50);
/// Lower bound of the assumed run time, so that transit time never decides alone.
const MIN_RUN_TIME: Duration = Duration::from_millis(1);
/// Load per slot assumed while no backend server of a service has reported.
const INITIAL_LOAD_PER_SLOT: f64 = 0.5;
/// Round-trip transit time assumed for another instance without a recent report: two hops between
/// daemons that each have a small fraction of a core.
const INITIAL_TRANSIT_TIME: Duration = Duration::from_millis(6);
/// Weight of the newest sample in the moving average of the transit time.
const TRANSIT_TIME_WEIGHT: f64 = 0.5;
/// Half-life of the measured transit time: a saturated link drains again.
const TRANSIT_TIME_HALF_LIFE: Duration = Duration::from_secs(1);
/// Fixed cost of sending a request to another failure domain.
const OTHER_DOMAIN_COST: Duration = Duration::from_millis(6);
/// Additional cost per kilobyte of request and response, as a multiple of the latency target:
/// traffic between failure domains is expensive, and a wait within the target costs the caller
/// little.
const OTHER_DOMAIN_COST_PER_KB: f64 = 0.2;
/// Weight of the newest exchange in the mean bytes of a route.
const BYTES_WEIGHT: f64 = 0.1;
/// Forecast, as a multiple of the latency target, below which the colocated backend server is
/// chosen without comparing others: few runs take twice their mean, and the hop and its traffic are
/// saved.
const COLOCATED_MAX_FORECAST: f64 = 0.7;
/// Forecast, as a multiple of the latency target, below which a backend server of the same failure
/// domain is chosen. Run times spread around their mean, so many responses still arrive in time,
/// and traffic between failure domains is saved.
const SAME_DOMAIN_MAX_FORECAST: f64 = 0.8;
/// The same limit for nested requests, whose callers hold a slot elsewhere while they wait.
const SAME_DOMAIN_MAX_FORECAST_NESTED: f64 = 0.8;
/// Forecast, as a multiple of the latency target, below which a bulk request that was refused is sent
/// to another failure domain. Links admit replies that wait for up to 0.35 targets, so a saturated one
/// is above it with the run time alone: a bulk request would displace another one there.
const REFUSED_BULK_MAX_FORECAST: f64 = 0.35;
/// Age from which the link wait in a report says nothing about the other links of its group. Longer
/// than [`REPORT_TTL`], because a link stays saturated while there is too much demand, and a gateway
/// sends few bulk requests to other failure domains.
const LINK_WAIT_TTL: Duration = Duration::from_secs(5);
/// Cost of a failure with probability 1: the time a caller loses by retrying elsewhere.
const FAILURE_COST: Duration = Duration::from_millis(500);
/// Weight of the newest result in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Half-life of the failure rate while no results arrive.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Time for which a backend server is skipped after it could not be reached. Doubles with each
/// consecutive failure to reach it.
const UNAVAILABLE_TIME: Duration = Duration::from_millis(250);
/// Upper bound of [`UNAVAILABLE_TIME`] after doubling.
const MAX_UNAVAILABLE_TIME: Duration = Duration::from_secs(2);
/// Lower bound of the time without any response, with requests in flight, after which a daemon
/// counts as unresponsive.
const MIN_UNANSWERED_TIME: Duration = Duration::from_millis(120);
/// Time without any response after which a daemon counts as unresponsive, in mean run times divided
/// by the square root of the number of requests in flight: the more there are, the less likely it
/// is that none of them ends.
const UNANSWERED_RUNS: f64 = 6.0;
/// Weight of the newest attempt in the accepted share of a route.
const ACCEPTED_WEIGHT: f64 = 0.05;
/// Attempts that follow a refusal, as a multiple of those that the accepted share would allow: the
/// share recovers only if enough attempts are made.
const ACCEPTED_MARGIN: f64 = 2.0;
/// Relative slowdown of a run on a backend server whose slots are all in use.
const CONTENTION: f64 = 0.1;

/// Outcome of an attempt, as far as it matters for the choice of backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptHealth {
    /// The backend server responded.
    Answered,
    /// It responded with a failure, or closed the connection early.
    Failed,
    /// It or its daemon could not be reached, or accepts no requests.
    Unavailable,
    /// Its daemon did not respond in time, or closed the connection early.
    Unresponsive,
    /// It has no capacity for the request. Says nothing about its health.
    Refused,
    /// Says nothing about its health or capacity, such as the caller's disconnection.
    Neutral,
}

/// Measurements that came with the response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// Load of the backend server.
    pub load: WorkLoad,
    /// Transit time of the request and its response: the duration of the attempt without the time
    /// spent waiting and running at the other daemon. `None` if the attempt ran on this daemon.
    pub transit_time: Option<Duration>,
    /// Body bytes of the request and its response; `None` without a response.
    pub bytes: Option<u64>,
}

#[derive(Clone, Debug)]
struct ServerStats {
    /// Requests of this gateway in flight.
    own_in_flight: u32,
    sent_since_report: u32,
    report: Option<(WorkLoad, Instant)>,
    /// Run times by route. Routes of the same service can differ by several times.
    route_run_times: HashMap<RouteName, Duration>,
    /// Round-trip transit time, and when it was last updated.
    transit_time: Option<(Duration, Instant)>,
    failure_rate: f64,
    /// When the failure rate was last updated.
    failure_rate_at: Instant,
    unavailable_until: Option<Instant>,
    /// Consecutive failures to reach it.
    consecutive_unavailable: u32,
    /// Since when requests have been in flight without any response.
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
            failure_rate_at: now,
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
        let age = now.duration_since(self.failure_rate_at).as_secs_f64();
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

    /// Whether a probe is due: it has not reported for a while or at all, has no request of this
    /// gateway in flight, and does not fail.
    fn needs_probe(&self, now: Instant) -> bool {
        let is_current = self
            .last_report_at()
            .is_some_and(|at| now.saturating_duration_since(at) < PROBE_AGE);
        !is_current && self.own_in_flight == 0 && self.failure_rate(now) < MAX_PROBE_FAILURE_RATE
    }

    fn last_report_at(&self) -> Option<Instant> {
        self.report.map(|(_, at)| at)
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

    /// Round-trip transit time. The measured value decays towards [`INITIAL_TRANSIT_TIME`].
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

    /// Load per slot; `None` without a current report.
    fn load_per_slot(&self, now: Instant) -> Option<f64> {
        let load = self.current_report(now)?;
        let in_flight = load.running + load.waiting + self.sent_since_report;
        Some(f64::from(in_flight) / f64::from(load.slots.max(1)))
    }

    /// Expected time until the response to a request sent now: its wait in the queue behind
    /// requests of all routes and for its turn at a limited rate, its own run, then its wait for the
    /// link. Without a current report, the means of the other backend servers are assumed.
    fn expected_response_time(
        &self,
        slots: u32,
        means: Means,
        route: &str,
        now: Instant,
    ) -> Duration {
        let slots = f64::from(slots.max(1));
        let in_flight = match self.load_per_slot(now) {
            Some(load_per_slot) => load_per_slot * slots,
            None => (means.load_per_slot * slots).max(f64::from(self.own_in_flight)),
        };
        let queue_rounds = ((in_flight + 1.0 - slots) / slots).max(0.0);
        let contention = CONTENTION * (in_flight / slots).min(1.0);
        let (rate_wait, link_wait) = self
            .current_report(now)
            .map_or((Duration::ZERO, means.link_wait), |load| {
                (load.rate_wait, load.link_wait)
            });
        self.mean_run_time().mul_f64(queue_rounds).max(rate_wait)
            + link_wait
            + self.route_run_time(route).mul_f64(1.0 + contention)
    }
}

/// What is assumed of backend servers without a current report.
#[derive(Clone, Copy, Debug)]
struct Means {
    load_per_slot: f64,
    link_wait: Duration,
}

/// Properties of a request that decide its placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Route of the request.
    pub route: &'a str,
    /// Latency target: time left until the response is late.
    pub target: Duration,
    /// Whether its caller is itself a running request that holds a slot elsewhere.
    pub is_nested: bool,
    /// Whether its route is for bulk responses.
    pub is_bulk: bool,
    /// Whether a backend server has refused it for lack of capacity.
    pub was_refused: bool,
    /// Current load of the colocated backend server, if the service has one on this daemon's
    /// instance.
    pub colocated_load: Option<WorkLoad>,
}

/// Statistics of a gateway about all backend servers.
#[derive(Debug)]
pub struct Placement {
    failure_domain: FailureDomain,
    daemon: DaemonName,
    server_stats: HashMap<ServerKey, ServerStats>,
    /// Mean bytes of an exchange, by route.
    route_bytes: HashMap<RouteName, f64>,
    /// Share of the attempts that were not refused for lack of capacity, by route.
    accepted_shares: HashMap<RouteName, f64>,
    /// Probes that may be sent, at most 1; each request adds [`PROBE_SHARE`].
    probe_credit: f64,
}

impl Placement {
    /// Empty statistics for a daemon in a failure domain.
    pub fn new(failure_domain: impl Into<FailureDomain>, daemon: impl Into<DaemonName>) -> Self {
        Placement {
            failure_domain: failure_domain.into(),
            daemon: daemon.into(),
            server_stats: HashMap::new(),
            route_bytes: HashMap::new(),
            accepted_shares: HashMap::new(),
            probe_credit: 0.0,
        }
    }

    /// Removes backend servers that are no longer known and have no requests in flight.
    pub fn retain(&mut self, is_known: impl Fn(&ServerKey) -> bool) {
        self.server_stats
            .retain(|key, stats| stats.own_in_flight > 0 || is_known(key));
    }

    /// Chooses among the candidates not tried yet, and counts the request as in flight.
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
        // With no usable one left, an unavailable or unresponsive one may have recovered. A request
        // that was refused for lack of capacity is not delayed by an attempt to find out.
        let eligible = match usable.is_empty() && !placement_request.was_refused {
            true => unusable,
            false => usable,
        };
        let may_probe = tried.is_empty() && !placement_request.was_refused;
        let probed = may_probe.then(|| self.probe(&eligible, now)).flatten();
        let load_per_slot = self.mean_load_per_slot(&eligible, now);
        let link_waits = [true, false].map(|is_own| match placement_request.is_bulk {
            true => self.mean_link_wait(candidates, is_own, now),
            false => Duration::ZERO,
        });
        let cost = |c: &'a Candidate| {
            let link_wait = match self.is_own_domain(c) {
                true => link_waits[0],
                false => link_waits[1],
            };
            let means = Means {
                load_per_slot,
                link_wait,
            };
            (self.cost(c, means, placement_request.route, now), c)
        };
        let is_confined = placement_request.is_bulk && placement_request.was_refused;
        let max_cost = placement_request.target.mul_f64(REFUSED_BULK_MAX_FORECAST);
        let mut eligible = eligible;
        eligible.retain(|c| !is_confined || self.is_own_domain(c) || cost(c).0 < max_cost);
        let chosen = match probed {
            Some(probed) => probed,
            None => self.choose_by(eligible, placement_request, cost, rng)?,
        };
        let stats = self.stats_mut(&chosen.key, now);
        stats.own_in_flight += 1;
        stats.sent_since_report += 1;
        stats.unanswered_since.get_or_insert(now);
        Some(chosen)
    }

    /// Backend server to probe with this request, if one is due: of those in this failure domain,
    /// the one whose report is the oldest.
    fn probe<'a>(&mut self, eligible: &[&'a Candidate], now: Instant) -> Option<&'a Candidate> {
        self.probe_credit = (self.probe_credit + PROBE_SHARE).min(1.0);
        if self.probe_credit < 1.0 {
            return None;
        }
        let near = eligible
            .iter()
            .filter(|c| c.failure_domain == self.failure_domain && c.key.daemon != self.daemon);
        let due = near.filter_map(|c| match self.server_stats.get(&c.key) {
            None => Some((None, *c)),
            Some(stats) => stats.needs_probe(now).then(|| (stats.last_report_at(), *c)),
        });
        let (_, probed) = due.min_by_key(|(reported_at, _)| *reported_at)?;
        self.probe_credit = 0.0;
        Some(probed)
    }

    /// Whether a request that was refused for lack of capacity may be sent to another backend server.
    /// While most attempts of the route are refused, further ones only load the links and
    /// processors of instances that are short of capacity; `draw` is a random number in `0.0..1.0`.
    pub fn may_try_another(&self, route: &str, draw: f64) -> bool {
        let accepted_share = self.accepted_shares.get(route).copied();
        draw < accepted_share.unwrap_or(1.0) * ACCEPTED_MARGIN
    }

    fn record_acceptance(&mut self, route: &str, health: AttemptHealth) {
        let sample = match health {
            AttemptHealth::Refused => 0.0,
            AttemptHealth::Answered | AttemptHealth::Failed => 1.0,
            AttemptHealth::Unavailable | AttemptHealth::Unresponsive | AttemptHealth::Neutral => {
                return
            }
        };
        match self.accepted_shares.get_mut(route) {
            Some(share) => *share += ACCEPTED_WEIGHT * (sample - *share),
            None => {
                self.accepted_shares.insert(route.to_owned(), 1.0);
            }
        }
    }

    /// Considers the colocated backend server, then those of the same failure domain, then the
    /// others. A later group is considered only if no forecast of the earlier ones is good enough,
    /// or after a refusal.
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
        let (same_domain, other_domain): (Vec<&Candidate>, Vec<&Candidate>) =
            others.into_iter().partition(|c| self.is_own_domain(c));
        let same_domain = sample(same_domain, rng).map(&cost);
        let same_domain = colocated.into_iter().chain(same_domain).min_by_key(by_cost);
        let max_forecast = match placement_request.is_nested {
            true => SAME_DOMAIN_MAX_FORECAST_NESTED,
            false => SAME_DOMAIN_MAX_FORECAST,
        };
        // A refusal shows that the forecasts of this domain are too optimistic.
        let is_forecast_trusted = placement_request.is_bulk || !placement_request.was_refused;
        if is_forecast_trusted && is_within(&same_domain, max_forecast) {
            return same_domain.map(|(_, chosen)| chosen);
        }
        let in_time = placement_request.target.mul_f64(max_forecast);
        let has_own = same_domain.is_some();
        let other_domain = sample(other_domain, rng).map(&cost);
        // A bulk response that is late in any case stays in the failure domain.
        let other_domain = other_domain
            .filter(|(time, _)| !placement_request.is_bulk || !has_own || *time < in_time);
        let other_domain_cost = self.other_domain_cost(placement_request);
        let other_domain =
            other_domain.map(|(time, candidate)| (time + other_domain_cost, candidate));
        let best = same_domain
            .into_iter()
            .chain(other_domain)
            .min_by_key(by_cost);
        best.map(|(_, chosen)| chosen)
    }

    fn is_own_domain(&self, candidate: &Candidate) -> bool {
        candidate.failure_domain == self.failure_domain
    }

    /// Cost of leaving the failure domain, in addition to the transit time. A bulk response leaves it
    /// only if it would be late otherwise: by its bytes, at 90 KB, it would wait for 18 targets first.
    fn other_domain_cost(&self, placement_request: &PlacementRequest<'_>) -> Duration {
        if placement_request.is_bulk {
            return OTHER_DOMAIN_COST;
        }
        let bytes = self.route_bytes.get(placement_request.route).copied();
        let target_multiples = OTHER_DOMAIN_COST_PER_KB * bytes.unwrap_or(0.0) / 1_000.0;
        OTHER_DOMAIN_COST + placement_request.target.mul_f64(target_multiples)
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

    /// Mean load per slot of the candidates with a current report. A gateway gets reports of most
    /// backend servers only now and then. If the others counted as idle, all requests would go to
    /// those with the oldest reports.
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

    /// Mean link wait in the reports of the last [`LINK_WAIT_TTL`], of the candidates in the own
    /// failure domain or of those in the others.
    fn mean_link_wait(&self, candidates: &[Candidate], is_own: bool, now: Instant) -> Duration {
        let group = candidates
            .iter()
            .filter(|c| self.is_own_domain(c) == is_own);
        let known = group.filter_map(|c| self.server_stats.get(&c.key)?.report);
        let (count, sum) = known
            .filter(|(_, at)| now.saturating_duration_since(*at) < LINK_WAIT_TTL)
            .fold((0, Duration::ZERO), |(count, sum), (load, _)| {
                (count + 1, sum + load.link_wait)
            });
        sum.checked_div(count).unwrap_or_default()
    }

    /// Ends an attempt counted by [`Placement::choose`], with the report of the executor.
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
        self.record_acceptance(route, health);
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
            AttemptHealth::Refused | AttemptHealth::Neutral => return,
        };
        let rate = stats.failure_rate(now);
        stats.failure_rate = rate + FAILURE_WEIGHT * (sample - rate);
        stats.failure_rate_at = now;
    }

    fn cost(&self, candidate: &Candidate, means: Means, route: &str, now: Instant) -> Duration {
        let Some(stats) = self.server_stats.get(&candidate.key) else {
            return INITIAL_RUN_TIME;
        };
        let transit_time = match candidate.key.daemon == self.daemon {
            true => Duration::ZERO,
            false => stats.transit_time(now),
        };
        let failures = FAILURE_COST.mul_f64(stats.failure_rate(now));
        stats.expected_response_time(candidate.slots, means, route, now) + transit_time + failures
    }

    /// When a daemon last sent the load of a backend server with a reply.
    pub fn last_report_at(&self, daemon: &str) -> Option<Instant> {
        let stats = self.server_stats.iter();
        let of_daemon = stats.filter(|(key, _)| key.daemon == daemon);
        of_daemon
            .filter_map(|(_, stats)| stats.last_report_at())
            .max()
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

/// Up to [`SAMPLE_SIZE`] candidates, drawn uniformly without replacement.
fn sample<'a>(
    mut candidates: Vec<&'a Candidate>,
    rng: &mut impl Rng,
) -> impl Iterator<Item = &'a Candidate> {
    let count = candidates.len().min(SAMPLE_SIZE);
    for index in 0..count {
        let other = rng.random_range(index..candidates.len());
        candidates.swap(index, other);
    }
    candidates.truncate(count);
    candidates.into_iter()
}
