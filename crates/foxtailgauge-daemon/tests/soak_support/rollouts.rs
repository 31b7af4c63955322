//! Rollouts during a run, of a good and of a bad version, each on a service of its own.

use super::faults::{Fault, PlannedFault};
use super::record::FAULT_EFFECT_TIME;
use crate::mesh_support::{body, exchange, status, Arrival, Script, Server};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Services, with how the version that is rolled out behaves.
pub const SERVICES: [(&str, Script); 2] = [("planner", Script::Echo), ("packer", Script::Fail)];
const ROLLOUT_S: f64 = 10.0;
const SLOTS: u32 = 8;
/// Contact with a quorum of this age suffices to use a version on trial in the phase full; requests
/// that were sent before may arrive later.
const PARTITION_LIMIT: Duration = Duration::from_millis(2_600);
const ARRIVAL_SLACK: Duration = Duration::from_millis(500);

/// A state that a daemon answered.
struct Observation {
    at: Instant,
    /// Number and restart count of the daemon.
    process: (usize, u64),
    state: String,
}

/// One rollout with its backend servers: the old one and the new one.
pub struct RolloutRun {
    pub service: &'static str,
    servers: [Server; 2],
    is_ordered: AtomicBool,
    observations: Mutex<Vec<Observation>>,
}

impl RolloutRun {
    pub fn start((service, script): (&'static str, Script)) -> Self {
        let servers = [Server::start(), Server::start()];
        servers[1].set_script(script);
        RolloutRun {
            service,
            servers,
            is_ordered: AtomicBool::new(false),
            observations: Mutex::default(),
        }
    }

    /// Orders the rollout; returns whether it was ordered, by this order or by one whose answer was lost. An
    /// order after the decision would begin another rollout.
    pub fn order(&self, platform: &str) -> bool {
        if !lock(&self.observations).is_empty() {
            self.is_ordered.store(true, Ordering::Relaxed);
            return true;
        }
        let order =
            json!({"service": self.service, "target_version": "v2", "duration_s": ROLLOUT_S});
        let response = send(platform, "POST", "rollouts", &order.to_string());
        let is_ordered = response.is_some_and(|response| matches!(status(&response), 200 | 409));
        self.is_ordered.fetch_or(is_ordered, Ordering::Relaxed);
        is_ordered
    }

    /// Reports the server of a version: 0 the old one, 1 the new one, once the rollout is ordered.
    pub fn report(&self, n: usize, platform: &str, sequence: u64) {
        if n == 1 && !self.is_ordered.load(Ordering::Relaxed) {
            return;
        }
        let version = ["v1", "v2"][n];
        let report = json!({
            "address": self.servers[n].addr, "born": 1,
            "info": {"service": self.service, "version": version, "zone": "z", "capacity": SLOTS},
            "status": {"state": "ready", "sequence": sequence, "warmup_left_ms": 0},
        });
        let path = format!("instances/{}-{version}", self.service);
        // A daemon that does not answer gets the next report.
        let _ = send(platform, "PUT", &path, &report.to_string());
    }

    /// Sends a request, whose result is not recorded.
    pub fn call(&self, addr: &str, id: &str) {
        let head = format!(
            "GET /{}/1 HTTP/1.1\r\nHost: plans.example\r\n",
            self.service
        );
        let _ = exchange(
            addr,
            &format!("{head}Attempt-Id: {id}\r\nDeadline-Ms: 1000\r\n\r\n"),
        );
    }

    /// Records the state that a daemon answers, if it answers one and is the same process afterwards.
    pub fn observe(&self, platform: &str, process: impl Fn() -> (usize, u64)) {
        let asked = process();
        let response = send(platform, "GET", &format!("rollouts/{}", self.service), "");
        let response = response.unwrap_or_default();
        let reply: Value = serde_json::from_str(body(&response)).unwrap_or_default();
        let state = reply["state"].as_str().filter(|_| process() == asked);
        if let Some(state) = state {
            lock(&self.observations).push(Observation {
                at: Instant::now(),
                process: asked,
                state: state.to_owned(),
            });
        }
    }

    /// The decision, with the time of its first observation.
    pub fn decision(&self) -> Option<(Instant, String)> {
        let observations = lock(&self.observations);
        let decided = observations.iter().filter(|o| o.state != "running");
        let first = decided.min_by_key(|o| o.at)?;
        Some((first.at, first.state.clone()))
    }

    /// Violations of what rollouts guarantee, for faults planned relative to `started`.
    pub fn violations(&self, started: Instant, planned: &[PlannedFault]) -> Vec<String> {
        let service = self.service;
        let Some((at, state)) = self.decision() else {
            return vec![format!("rollout of {service} was not decided")];
        };
        let mut found = self.regressions(&state);
        let is_bad = lock(&self.servers[1].script).ne(&Script::Echo);
        if is_bad && state == "completed" {
            found.push(format!("bad version of {service} was completed"));
        }
        let is_pause = |fault: &Fault| matches!(fault, Fault::Pause { .. });
        let (server, until) = match state.as_str() {
            // A paused daemon sends what it was about to send once it goes on.
            "rolled_back" => (
                1,
                at + PARTITION_LIMIT.max(effect(at, started, planned, is_pause)),
            ),
            // A daemon without contact does not know that the old servers are replaced.
            _ => (0, at + effect(at, started, planned, |_| true)),
        };
        let arrivals = lock(&self.servers[server].received);
        let late = |arrival: &&Arrival| arrival.at > until + ARRIVAL_SLACK;
        found.extend(arrivals.iter().filter(late).map(|arrival| {
            let after = arrival.at - at;
            format!("{service} {state}, but reached {after:?} later: {arrival:?}")
        }));
        found
    }

    /// Processes that answered a decision and then something else, and decisions that differ.
    fn regressions(&self, decision: &str) -> Vec<String> {
        let mut decided = BTreeMap::new();
        let mut found = Vec::new();
        for Observation { at, process, state } in &*lock(&self.observations) {
            let is_back = decided.contains_key(process) || state != "running";
            if is_back && state != decision {
                found.push(format!(
                    "{} went back to {state} at {process:?}",
                    self.service
                ));
            }
            if state != "running" {
                decided.entry(process).or_insert(at);
            }
        }
        found
    }
}

/// Time after `at` in which the faults at that time, or right after it, may have effects.
fn effect(
    at: Instant,
    started: Instant,
    planned: &[PlannedFault],
    is_effective: impl Fn(&Fault) -> bool,
) -> Duration {
    let effects = planned.iter().filter(|planned| {
        started + planned.from <= at + ARRIVAL_SLACK && is_effective(&planned.fault)
    });
    let ends = effects.map(|planned| started + planned.until + FAULT_EFFECT_TIME);
    ends.max()
        .map_or(Duration::ZERO, |end| end.saturating_duration_since(at))
}

fn send(platform: &str, method: &str, path: &str, body: &str) -> Option<String> {
    let length = body.len();
    let head = format!("{method} /foxtailgauge/{path} HTTP/1.1\r\nHost: x\r\n");
    exchange(
        platform,
        &format!("{head}Content-Length: {length}\r\n\r\n{body}"),
    )
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
