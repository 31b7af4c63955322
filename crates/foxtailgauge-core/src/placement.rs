//! Chooses the backend server for a request by the time at which its answer is expected.
//!
//! Load it answers: backend servers of one service that differ in speed by several times, some cold
//! or failing, seen through reports that are a few answers old by many gateways at once.

use crate::balance::{Candidate, ServerKey};
use crate::ids::{FailureDomain, RouteName};
use crate::work_queue::WorkLoad;
use rand::Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Backend servers compared for one request, in each of own and other failure domains. Comparing
/// all would send every gateway to the same one between two reports.
const COMPARED: usize = 3;
/// Age from which a reported load no longer counts.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Run time assumed of a backend server without a report.
const INITIAL_RUN: Duration = Duration::from_millis(50);
/// Shortest run time that is assumed, so that distance never counts alone.
const MIN_RUN: Duration = Duration::from_millis(1);
/// Cost of leaving the failure domain: the hop both ways.
const REMOTE_COST: Duration = Duration::from_millis(6);
/// Forecast, in times to the target, up to which a backend server of the own failure domain is taken
/// without a look at the others. Run times spread around their mean, so many answers still come in
/// time there, and bytes between domains are saved.
const NEAR_ENOUGH: f64 = 1.2;
/// Cost of a certain failure: what a caller loses by trying again elsewhere.
const FAILURE_COST: Duration = Duration::from_millis(500);
/// Weight of the newest answer in the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Time after which a failure rate has fallen by half without answers.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Time for which a backend server is passed over after it could not be reached; doubles each time.
const CLOSED_TIME: Duration = Duration::from_millis(250);
/// Longest time for which it is passed over.
const MAX_CLOSED_TIME: Duration = Duration::from_secs(2);
/// Shortest silence with requests under way that makes a daemon suspect.
const MIN_SILENCE: Duration = Duration::from_millis(120);
/// Silence that makes a daemon suspect, in mean run times over the requests under way: that no one
/// of several ends is less likely the more they are.
const SILENCE_RUNS: f64 = 6.0;
/// Part of a slot by which a running request slows down the others.
const CROWDING: f64 = 0.3;

/// How an attempt ended, as far as the choice of backend servers is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptHealth {
    /// The backend server answered.
    Answered,
    /// It answered with a failure, or broke off.
    Failed,
    /// It or its daemon could not be reached, or takes no work.
    Closed,
    /// Its daemon gave no answer in time, or broke off.
    Silent,
    /// Nothing can be said, as after a refusal for lack of room.
    Neutral,
}

#[derive(Clone, Debug)]
struct View {
    own: u32,
    sent_since_report: u32,
    report: Option<(WorkLoad, Instant)>,
    /// Run times by route. A short call and a long one of the same service differ by several times.
    route_runs: HashMap<RouteName, Duration>,
    failure_rate: f64,
    failure_at: Instant,
    closed_until: Option<Instant>,
    /// Times in a row that it could not be reached.
    closings: u32,
    /// Since when requests are under way without any word.
    silent_since: Option<Instant>,
}

impl View {
    fn new(now: Instant) -> Self {
        View {
            own: 0,
            sent_since_report: 0,
            report: None,
            route_runs: HashMap::new(),
            failure_rate: 0.0,
            failure_at: now,
            closed_until: None,
            closings: 0,
            silent_since: None,
        }
    }

    fn report(&self, now: Instant) -> Option<WorkLoad> {
        let (load, at) = self.report?;
        (now.duration_since(at) < REPORT_TTL).then_some(load)
    }

    fn run(&self) -> Duration {
        self.report
            .map_or(INITIAL_RUN, |(load, _)| load.mean_run.max(MIN_RUN))
    }

    fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.duration_since(self.failure_at).as_secs_f64();
        self.failure_rate * 0.5f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn is_usable(&self, now: Instant) -> bool {
        let is_closed = self.closed_until.is_some_and(|until| until > now);
        let limit = self
            .run()
            .mul_f64(SILENCE_RUNS / f64::from(self.own.max(1)).sqrt());
        let limit = limit.max(MIN_SILENCE);
        let is_silent = self
            .silent_since
            .is_some_and(|since| now.duration_since(since) > limit);
        !is_closed && !is_silent
    }

    fn learn_run(&mut self, route: &str, run: Duration) {
        match self.route_runs.get_mut(route) {
            Some(known) => *known = run,
            None => {
                self.route_runs.insert(route.to_owned(), run);
            }
        }
    }

    fn close(&mut self, now: Instant) {
        let time = CLOSED_TIME * 2u32.saturating_pow(self.closings.min(8));
        self.closed_until = Some(now + time.min(MAX_CLOSED_TIME));
        self.closings += 1;
    }

    fn route_run(&self, route: &str) -> Duration {
        let run = self.route_runs.get(route).copied();
        run.map_or_else(|| self.run(), |run| run.max(MIN_RUN))
    }

    /// Time until the answer to a request sent now: its turns of waiting behind requests of all
    /// routes, then its own run.
    fn expected(&self, slots: u32, route: &str, now: Instant) -> Duration {
        let (under_way, slots) = match self.report(now) {
            Some(load) => (
                load.running + load.waiting + self.sent_since_report,
                load.slots,
            ),
            None => (self.own, slots),
        };
        let slots = f64::from(slots.max(1));
        let under_way = f64::from(under_way);
        let turns = ((under_way + 1.0 - slots) / slots).max(0.0);
        let crowding = CROWDING * (under_way / slots).min(1.0);
        self.run().mul_f64(turns) + self.route_run(route).mul_f64(1.0 + crowding)
    }
}

/// A gateway's picture of all backend servers.
#[derive(Debug)]
pub struct Placement {
    failure_domain: FailureDomain,
    views: HashMap<ServerKey, View>,
}

impl Placement {
    /// A picture without backend servers, seen from a failure domain.
    pub fn new(failure_domain: impl Into<FailureDomain>) -> Self {
        Placement {
            failure_domain: failure_domain.into(),
            views: HashMap::new(),
        }
    }

    /// Forgets backend servers that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&ServerKey) -> bool) {
        self.views.retain(|key, view| view.own > 0 || is_known(key));
    }

    /// Chooses among the candidates that were not tried yet; counts the request as under way.
    ///
    /// `target` is the time within which the answer is of full use.
    pub fn choose<'a>(
        &mut self,
        candidates: &'a [Candidate],
        tried: &[ServerKey],
        route: &str,
        target: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        let open = candidates.iter().filter(|c| !tried.contains(&c.key));
        let (usable, unusable): (Vec<&Candidate>, Vec<&Candidate>) =
            open.partition(|c| self.views.get(&c.key).is_none_or(|v| v.is_usable(now)));
        // With nobody else left, one that was silent may be back.
        let open = if usable.is_empty() { unusable } else { usable };
        let (near, far): (Vec<&Candidate>, Vec<&Candidate>) = open
            .into_iter()
            .partition(|c| c.failure_domain == self.failure_domain);
        let near = sample(near, rng).map(|c| (self.cost(c, route, now), c));
        let best_near = near.min_by_key(|(cost, _)| *cost);
        let is_near_enough = best_near.is_some_and(|(cost, _)| cost < target.mul_f64(NEAR_ENOUGH));
        let far = if is_near_enough { Vec::new() } else { far };
        let far = sample(far, rng).map(|c| (self.cost(c, route, now) + REMOTE_COST, c));
        let (_, chosen) = best_near
            .into_iter()
            .chain(far)
            .min_by_key(|(cost, _)| *cost)?;
        let view = self.view(&chosen.key, now);
        view.own += 1;
        view.sent_since_report += 1;
        view.silent_since.get_or_insert(now);
        Some(chosen)
    }

    /// Ends an attempt that `choose` counted, with the load that the executor reported.
    pub fn finish(
        &mut self,
        key: &ServerKey,
        route: &str,
        health: AttemptHealth,
        report: Option<WorkLoad>,
        now: Instant,
    ) {
        let view = self.view(key, now);
        view.own = view.own.saturating_sub(1);
        if let Some(load) = report {
            view.report = Some((load, now));
            view.learn_run(route, load.route_run);
            view.sent_since_report = 0;
        }
        let is_heard = report.is_some() || health == AttemptHealth::Answered;
        if is_heard || view.own == 0 {
            view.silent_since = (view.own > 0).then_some(now);
        }
        if is_heard {
            view.closings = 0;
        }
        let sample = match health {
            AttemptHealth::Answered => 0.0,
            AttemptHealth::Failed => 1.0,
            AttemptHealth::Closed => return view.close(now),
            AttemptHealth::Silent => {
                view.close(now);
                1.0
            }
            AttemptHealth::Neutral => return,
        };
        let rate = view.failure_rate(now);
        view.failure_rate = rate + FAILURE_WEIGHT * (sample - rate);
        view.failure_at = now;
    }

    fn cost(&self, candidate: &Candidate, route: &str, now: Instant) -> Duration {
        let Some(view) = self.views.get(&candidate.key) else {
            return INITIAL_RUN;
        };
        view.expected(candidate.slots, route, now) + FAILURE_COST.mul_f64(view.failure_rate(now))
    }

    fn view(&mut self, key: &ServerKey, now: Instant) -> &mut View {
        if !self.views.contains_key(key) {
            self.views.insert(key.clone(), View::new(now));
        }
        self.views
            .get_mut(key)
            .unwrap_or_else(|| unreachable!("the view was inserted before"))
    }
}

/// A few of the candidates, each equally likely.
fn sample<'a>(
    mut candidates: Vec<&'a Candidate>,
    rng: &mut impl Rng,
) -> impl Iterator<Item = &'a Candidate> {
    let count = candidates.len().min(COMPARED);
    for at in 0..count {
        let other = rng.random_range(at..candidates.len());
        candidates.swap(at, other);
    }
    candidates.truncate(count);
    candidates.into_iter()
}
