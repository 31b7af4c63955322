//! What callers, backend servers and operators saw, and the promises that it is held against.

use super::faults::{Fault, Planned};
use crate::mesh_support::{header, Arrival};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time beyond its deadline in which a request has its final answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time after an acknowledgement in which a document is in force, where nothing is disturbed.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Time after which a daemon that showed a version must not show an older one.
const GO_BACK_SLACK: Duration = Duration::from_millis(250);
/// Time without a fault after which nothing counts as disturbed.
const CONTACT_LIMIT: Duration = Duration::from_secs(3);
/// Time after an acknowledged departure in which requests may still reach a backend server.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Requests that an undisturbed daemon may leave without an answer.
const MAX_DROPPED: usize = 3;
/// Window, share and slack of the budget for arrivals beyond the first of each request.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
const BUDGET_PERCENT: usize = 20;
const BUDGET_SLACK: usize = 56;
/// Attempts that a request has by its route.
const MAX_ATTEMPTS: usize = 2;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// An idempotent request.
    View,
    /// A request that runs at most once.
    Commit,
    /// A path without a route.
    Nowhere,
    /// The route that a version of the document brought.
    Version(u64),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer. `is_sealed`: it bears a server's mark; `is_own`: and holds this very request.
    Answered {
        status: u16,
        is_sealed: bool,
        is_own: bool,
    },
    /// The connection ended.
    Closed,
    /// Nothing came.
    Silent,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub ask: Ask,
    pub daemon: usize,
    /// Lifetime of the daemon's process, at both ends of the request.
    pub lifetimes: (u64, u64),
    pub at: Instant,
    pub until: Instant,
    pub deadline: Duration,
    pub end: End,
}

/// A backend server of the run.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    pub name: String,
    pub arrivals: Vec<Arrival>,
    /// When its departure was acknowledged.
    pub left_at: Option<Instant>,
}

/// All that was seen.
#[derive(Debug)]
pub struct Record {
    pub started: Instant,
    pub planned: Vec<Planned>,
    pub sent: Vec<Sent>,
    pub servers: Vec<ServerRecord>,
    /// Acknowledged versions and when.
    pub versions: Vec<(u64, Instant)>,
    /// Violations that were seen while it ran.
    pub broken: Vec<String>,
}

impl Record {
    /// Broken promises.
    pub fn violations(&self) -> Vec<String> {
        let mut found = self.broken.clone();
        let runs = self.runs();
        found.extend(self.sent.iter().filter_map(|sent| {
            let count = runs.get(sent.id.as_str()).copied().unwrap_or(0);
            self.answer_violation(sent, count)
        }));
        found.extend(self.going_back());
        found.extend(self.dropped());
        found.extend(self.late_arrivals());
        found.extend(self.over_budget());
        found
    }

    /// Times that each request was run.
    fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        let arrivals = self.servers.iter().flat_map(|server| &server.arrivals);
        for arrival in arrivals.filter(|arrival| arrival.is_started) {
            *runs.entry(id_of(arrival)).or_insert(0) += 1;
        }
        runs
    }

    fn answer_violation(&self, sent: &Sent, runs: usize) -> Option<String> {
        let fault = |what: &str| Some(format!("{what}, {runs} runs: {sent:?}"));
        if sent.ask == Ask::Commit && runs > 1 {
            return fault("run more than once");
        }
        if runs > MAX_ATTEMPTS {
            return fault("more attempts than its route allows");
        }
        let is_paused = self.disturbs(
            sent,
            |fault| matches!(fault, Fault::Pause { daemon } if *daemon == sent.daemon),
        );
        let held = sent.until.duration_since(sent.at);
        if held > sent.deadline + ANSWER_SLACK && !is_paused {
            return fault("no final answer in time");
        }
        let End::Answered {
            status,
            is_sealed,
            is_own,
        } = sent.end
        else {
            return None;
        };
        match (sent.ask, status) {
            (Ask::Nowhere, 200..=299) => fault("a path without a route was served"),
            (_, 200..=299) if !is_own => fault("success that is not the server's answer"),
            (_, 200..=299) if runs == 0 => fault("success that no server made"),
            // A server's own 503 is passed on as it is for what may be repeated.
            (Ask::View | Ask::Version(_), 503) if is_sealed => None,
            (_, 408 | 421 | 429 | 503) if runs > 0 => fault("told not run"),
            (Ask::View | Ask::Commit, 404) => fault("a route of all documents is unknown"),
            (Ask::Version(version), 404) if self.is_due(version, sent) => {
                fault("an acknowledged route is unknown")
            }
            (_, 200..=299 | 404 | 408 | 421 | 429 | 500 | 502 | 503 | 504) => None,
            _ => fault("an answer that nothing calls for"),
        }
    }

    /// Whether a version must be in force at a request: acknowledged long before, in a calm fleet.
    fn is_due(&self, version: u64, sent: &Sent) -> bool {
        let acknowledged = self.versions.iter().find(|(known, _)| *known == version);
        let is_old = acknowledged.is_some_and(|(_, at)| *at + APPLY_LIMIT < sent.at);
        is_old && !self.disturbs(sent, |_| true)
    }

    /// Whether a fault of a kind was there at a request or shortly before.
    fn disturbs(&self, sent: &Sent, concerns: impl Fn(&Fault) -> bool) -> bool {
        self.planned.iter().any(|planned| {
            concerns(&planned.fault)
                && self.started + planned.from <= sent.until
                && self.started + planned.until + CONTACT_LIMIT >= sent.at
        })
    }

    /// A process that served a version's route answers for no older one later.
    fn going_back(&self) -> Vec<String> {
        let mut held: BTreeMap<(usize, u64), Vec<(Instant, u64)>> = BTreeMap::new();
        let of_versions = |sent: &&Sent| sent.lifetimes.0 == sent.lifetimes.1;
        for sent in self.sent.iter().filter(of_versions) {
            if let (Ask::Version(version), End::Answered { is_own: true, .. }) =
                (sent.ask, sent.end)
            {
                let key = (sent.daemon, sent.lifetimes.0);
                held.entry(key).or_default().push((sent.until, version));
            }
        }
        let goes_back = |sent: &&Sent| {
            let (Ask::Version(version), End::Answered { status: 404, .. }) = (sent.ask, sent.end)
            else {
                return false;
            };
            let known = held.get(&(sent.daemon, sent.lifetimes.0));
            known.is_some_and(|known| {
                known
                    .iter()
                    .any(|(at, shown)| *shown >= version && *at + GO_BACK_SLACK < sent.at)
            })
        };
        let back = self.sent.iter().filter(of_versions).filter(goes_back);
        back.map(|sent| format!("went back to an older version: {sent:?}"))
            .collect()
    }

    /// Requests whose connection an undisturbed daemon closed.
    fn dropped(&self) -> Vec<String> {
        let ends_it = |fault: &Fault, daemon: usize| match fault {
            Fault::Kill { daemon: n } | Fault::Stop { daemon: n } | Fault::Pause { daemon: n } => {
                *n == daemon
            }
            _ => false,
        };
        let dropped: Vec<&Sent> = self
            .sent
            .iter()
            .filter(|sent| sent.end == End::Closed)
            .filter(|sent| !self.disturbs(sent, |fault| ends_it(fault, sent.daemon)))
            .collect();
        match dropped.len() > MAX_DROPPED {
            true => vec![format!(
                "{} requests without an answer: {dropped:?}",
                dropped.len()
            )],
            false => Vec::new(),
        }
    }

    /// Requests that reached a backend server after its departure was acknowledged.
    fn late_arrivals(&self) -> Vec<String> {
        let mut found = Vec::new();
        for server in &self.servers {
            let Some(left_at) = server.left_at else {
                continue;
            };
            let late = |arrival: &&Arrival| arrival.at > left_at + DRAIN_LIMIT;
            found.extend(server.arrivals.iter().filter(late).map(|arrival| {
                let after = arrival.at - left_at;
                format!(
                    "{} reached {after:?} after it left: {arrival:?}",
                    server.name
                )
            }));
        }
        found
    }

    fn over_budget(&self) -> Option<String> {
        let mut firsts = BTreeMap::new();
        let mut arrivals: Vec<(Instant, String)> = self
            .servers
            .iter()
            .flat_map(|server| &server.arrivals)
            .map(|arrival| (arrival.at, id_of(arrival)))
            .collect();
        arrivals.sort();
        let mut repeats = Vec::new();
        for (at, id) in arrivals {
            if firsts.insert(id, at).is_some() {
                repeats.push(at);
            }
        }
        let within = |from: Instant, at: Instant| at >= from && at < from + BUDGET_WINDOW;
        let window = repeats.iter().copied().find(|from| {
            let count = repeats.iter().filter(|at| within(*from, **at)).count();
            let requests = self.sent.iter().filter(|sent| within(*from, sent.at));
            count > requests.count() * BUDGET_PERCENT / 100 + BUDGET_SLACK
        })?;
        let after = window.duration_since(self.started);
        Some(format!("too many repeats in the window from {after:?}"))
    }
}

/// The request's id at its backend server.
fn id_of(arrival: &Arrival) -> String {
    header(&arrival.text, "attempt-id").unwrap_or_default()
}
