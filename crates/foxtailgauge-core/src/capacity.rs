//! Capacity and demand of a fleet, summed for operators.
//!
//! Designed for 200 instances and 5,000 workspaces, of which operators look for the few that are
//! short of capacity: entries are ordered by their shortage, and those beyond a limit are summed up.

use crate::directory::{ServerEntry, ServerState};
use crate::ids::{DaemonName, FailureDomain, ServiceName, WorkspaceName};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Most entries in a message or reply whose size grows with the number of backend servers or
/// workspaces: about 20 KB.
pub const MAX_CAPACITY_ENTRIES: usize = 256;
/// Pace of a backend server that states none, in percent.
const NORMAL_PACE_PERCENT: u32 = 100;

/// Load of one backend server, as its daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Name, unique on its instance.
    pub server: String,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Time that work takes, in percent of the normal time; 100 if it states none.
    pub pace_percent: u32,
    /// Requests per second that it states to accept, in thousandths; `None` if it states none.
    pub rate_limit_milli: Option<u64>,
}

/// Load of one backend server, with its daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocatedLoad {
    /// Daemon of its instance.
    pub daemon: DaemonName,
    /// Failure domain of the daemon.
    pub failure_domain: FailureDomain,
    /// Its load.
    pub load: ServerLoad,
}

/// Sum over the backend servers of a service in a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerGroup {
    /// Service; empty in a sum over several.
    pub service: ServiceName,
    /// Failure domain; empty in a sum over several.
    pub failure_domain: FailureDomain,
    /// Backend servers whose daemons answered.
    pub servers: u32,
    /// Backend servers of the directory whose daemons did not answer; they are in no other figure.
    pub unanswered: u32,
    /// Backend servers that accept new requests.
    pub ready: u32,
    /// Slots of those that accept new requests.
    pub slots: u32,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Lowest pace, in percent of the normal run time; `None` without a backend server.
    pub lowest_pace_percent: Option<u32>,
    /// Highest pace, in percent of the normal run time; `None` without a backend server.
    pub highest_pace_percent: Option<u32>,
    /// Backend servers that state a rate.
    pub rate_limited: u32,
    /// Sum of the stated rates in requests per second, in thousandths.
    pub rate_limit_milli: u64,
}

impl ServerGroup {
    /// Adds the figures of another group.
    pub fn add(&mut self, other: &ServerGroup) {
        self.servers += other.servers;
        self.unanswered += other.unanswered;
        self.ready += other.ready;
        self.slots = self.slots.saturating_add(other.slots);
        self.running = self.running.saturating_add(other.running);
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.lowest_pace_percent = combine(
            self.lowest_pace_percent,
            other.lowest_pace_percent,
            u32::min,
        );
        self.highest_pace_percent = combine(
            self.highest_pace_percent,
            other.highest_pace_percent,
            u32::max,
        );
        self.rate_limited += other.rate_limited;
        self.rate_limit_milli = self.rate_limit_milli.saturating_add(other.rate_limit_milli);
    }

    /// Requests in progress per thousand slots; highest for a group without slots.
    fn load_permille(&self) -> u64 {
        let in_progress = u64::from(self.running) + u64::from(self.waiting);
        let permille = (in_progress * 1_000).checked_div(u64::from(self.slots));
        permille.unwrap_or(u64::MAX)
    }
}

fn combine(a: Option<u32>, b: Option<u32>, choose: fn(u32, u32) -> u32) -> Option<u32> {
    match (a, b) {
        (Some(a), Some(b)) => Some(choose(a, b)),
        (a, b) => a.or(b),
    }
}

impl From<&ServerLoad> for ServerGroup {
    fn from(load: &ServerLoad) -> Self {
        let accepts = matches!(load.state, ServerState::Ready | ServerState::OnTrial);
        ServerGroup {
            service: load.service.clone(),
            failure_domain: FailureDomain::new(),
            servers: 1,
            unanswered: 0,
            ready: u32::from(accepts),
            slots: if accepts { load.slots } else { 0 },
            running: load.running,
            waiting: load.waiting,
            lowest_pace_percent: Some(load.pace_percent),
            highest_pace_percent: Some(load.pace_percent),
            rate_limited: u32::from(load.rate_limit_milli.is_some()),
            rate_limit_milli: load.rate_limit_milli.unwrap_or(0),
        }
    }
}

impl ServerLoad {
    /// The load of a backend server that states neither pace nor rate.
    pub fn new(entry: ServerEntry, running: u32, waiting: u32) -> Self {
        ServerLoad {
            server: entry.name,
            service: entry.service,
            state: entry.state,
            slots: entry.slots,
            running,
            waiting,
            pace_percent: NORMAL_PACE_PERCENT,
            rate_limit_milli: None,
        }
    }
}

/// The first entries of a table, and the sum of the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary<T> {
    /// Entries with the largest shortage, in this order.
    pub entries: Vec<T>,
    /// Number of the other entries.
    pub others: u32,
    /// Sum of the other entries; `None` if there are none.
    pub others_sum: Option<T>,
}

impl<T: Default> Summary<T> {
    /// The first `limit` entries, and the sum of the others.
    pub fn new(entries: Vec<T>, limit: usize, add: fn(&mut T, &T)) -> Self {
        let all = Summary {
            entries,
            others: 0,
            others_sum: None,
        };
        all.shortened(limit, add)
    }

    /// The same with at most `limit` entries.
    pub fn shortened(mut self, limit: usize, add: fn(&mut T, &T)) -> Self {
        let removed = self.entries.split_off(limit.min(self.entries.len()));
        self.others += u32::try_from(removed.len()).unwrap_or(u32::MAX);
        for entry in &removed {
            add(self.others_sum.get_or_insert_default(), entry);
        }
        self
    }
}

/// Sums the loads of backend servers by service and failure domain.
#[derive(Debug, Default)]
pub struct ServerGroups {
    groups: BTreeMap<(ServiceName, FailureDomain), ServerGroup>,
}

impl ServerGroups {
    /// Adds a backend server.
    pub fn add(&mut self, failure_domain: &str, load: &ServerLoad) {
        let sum = self.group(&load.service, failure_domain);
        sum.add(&ServerGroup::from(load));
    }

    /// Adds a backend server of the directory whose daemon did not answer.
    pub fn add_unanswered(&mut self, failure_domain: &str, service: &str) {
        self.group(service, failure_domain).unanswered += 1;
    }

    fn group(&mut self, service: &str, failure_domain: &str) -> &mut ServerGroup {
        let key = (service.to_owned(), failure_domain.to_owned());
        let group = self.groups.entry(key).or_default();
        if group.service.is_empty() {
            service.clone_into(&mut group.service);
            failure_domain.clone_into(&mut group.failure_domain);
        }
        group
    }

    /// The groups, those with the highest load per slot first; at most [`MAX_CAPACITY_ENTRIES`].
    pub fn summary(self) -> Summary<ServerGroup> {
        let mut groups: Vec<ServerGroup> = self.groups.into_values().collect();
        groups.sort_by_key(|group| Reverse(group.load_permille()));
        Summary::new(groups, MAX_CAPACITY_ENTRIES, ServerGroup::add)
    }
}

/// A workspace that sends more than its allotment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceLoad {
    /// Name; empty in a sum over several.
    pub workspace: WorkspaceName,
    /// Requests per second of its allotment, in thousandths.
    pub rate_milli: u64,
    /// Requests that it may send at once after a pause.
    pub burst_requests: u64,
    /// Part of its requests that gateways admit, in millionths; the mean by demand in a sum.
    pub share_ppm: u32,
    /// Requests per second that it sends, in thousandths.
    pub demand_milli: u64,
}

impl WorkspaceLoad {
    /// Adds the figures of another workspace.
    pub fn add(&mut self, other: &WorkspaceLoad) {
        let admitted = self.admitted_milli() + other.admitted_milli();
        self.rate_milli = self.rate_milli.saturating_add(other.rate_milli);
        self.burst_requests = self.burst_requests.saturating_add(other.burst_requests);
        self.demand_milli = self.demand_milli.saturating_add(other.demand_milli);
        let share = (admitted * 1_000_000).checked_div(u128::from(self.demand_milli));
        self.share_ppm = u32::try_from(share.unwrap_or(0)).unwrap_or(u32::MAX);
    }

    fn admitted_milli(&self) -> u128 {
        u128::from(self.demand_milli) * u128::from(self.share_ppm) / 1_000_000
    }

    fn refused_milli(&self) -> u128 {
        u128::from(self.demand_milli).saturating_sub(self.admitted_milli())
    }
}

/// The workspaces, those with the most refused requests per second first; at most
/// [`MAX_CAPACITY_ENTRIES`].
pub fn summarize_workspaces(mut workspaces: Vec<WorkspaceLoad>) -> Summary<WorkspaceLoad> {
    workspaces.sort_by_key(|workspace| Reverse(workspace.refused_milli()));
    Summary::new(workspaces, MAX_CAPACITY_ENTRIES, WorkspaceLoad::add)
}
