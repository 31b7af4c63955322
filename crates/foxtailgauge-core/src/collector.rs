//! Sums the counts of all daemons. Every replica is a collector: it receives the reports of its own
//! senders and exchanges them with the other collectors.
//!
//! Designed for 200 daemons that report every 100 ms, 5,000 workspaces, lost messages, restarts of
//! collectors and partitions between them. Nothing is stored on disk.

use crate::capacity::WorkspaceLoad;
use crate::collector_bucket::{CollectorBucket, FleetView, PeerView};
use crate::ids::{DaemonName, Incarnation, WorkspaceName};
use crate::usage::{
    AdmissionShare, LastReport, Outbox, RunKey, RunTally, ShareReply, UsageReport, UsageRequest,
    WorkspaceUsage,
};
use crate::workspace::{Allotment, Workspace};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after its start in which a collector gives no shares: it does not know the sums before all
/// daemons have reported, at least every 400 ms.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time after the start in which buckets begin empty, as the fleet may have spent them before.
const EMPTY_START: Duration = Duration::from_secs(5);
/// Interval between messages to another collector when there is nothing to exchange.
const EXCHANGE_HEARTBEAT: Duration = Duration::from_millis(200);
/// Time without a message of another collector after which its share is not changed.
const LATE_AFTER: Duration = Duration::from_millis(300);
/// Time without a message of another collector after which its share is reserved. Until then, both
/// sides of a partition may use the same part of an allotment.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Time without a report after which a daemon counts as not heard.
const SENDER_LOST_AFTER: Duration = Duration::from_millis(900);
/// Reports that cover more time than this are late, and their demand is not current.
const LATE_REPORT_MS: u64 = 500;
/// Time to which the demand of a late report is scaled, in milliseconds.
const LATE_DEMAND_MS: u64 = 200;
/// Most limited workspaces listed in a reply besides those that were reported.
pub const MAX_REPLY_WORKSPACES: usize = 256;
/// Time for which a workspace must not be limited until this is stated.
const UNLIMITED_AFTER: Duration = Duration::from_secs(2);

/// A workspace became limited, or is no longer limited.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Workspace.
    pub workspace: WorkspaceName,
    /// The share, or `None` if it is no longer limited.
    pub share: Option<AdmissionShare>,
}

#[derive(Debug)]
struct Peer {
    addr: String,
    is_member: bool,
    last: Option<LastReport>,
    /// Senders that it stated to hear.
    senders: u32,
    /// Own senders' counts that it does not have yet.
    outbox: Outbox,
    /// Start time of its process as it last acknowledged; `None` before.
    epoch: Option<Incarnation>,
    sent_at: Option<Instant>,
}

impl Peer {
    fn view(&self, started: Instant, now: Instant) -> PeerView {
        if !self.is_member {
            return PeerView::Removed;
        }
        let heard_at = self.last.map_or(started, |last| last.heard_at);
        let age = now.saturating_duration_since(heard_at);
        match age {
            age if age < LATE_AFTER && self.last.is_some() => PeerView::Heard,
            age if age < SILENT_AFTER => PeerView::Late(heard_at),
            age => PeerView::Silent {
                unheard_s: age.as_secs_f64().min(SILENT_AFTER.as_secs_f64() * 2.0),
            },
        }
    }
}

/// Sums of all daemons as one collector knows them.
#[derive(Debug)]
pub struct Collector {
    addr: String,
    incarnation: Incarnation,
    started: Instant,
    senders: HashMap<DaemonName, Option<LastReport>>,
    /// The other collectors; buckets refer to them by position, so none is removed.
    peers: Vec<Peer>,
    buckets: BTreeMap<WorkspaceName, CollectorBucket>,
    /// Limited workspaces, with the time since which they are not, if so.
    limited: BTreeMap<WorkspaceName, Option<Instant>>,
    /// Live daemons, as the directory knows them.
    daemons: usize,
    /// Runs on all daemons.
    runs: BTreeMap<RunKey, RunTally>,
    /// Runs reported by own senders.
    own_runs: BTreeMap<RunKey, RunTally>,
}

impl Collector {
    /// Starts a collector; `addr` is its control address.
    pub fn new(addr: &str, incarnation: Incarnation, now: Instant) -> Self {
        Collector {
            addr: addr.to_owned(),
            incarnation,
            started: now,
            senders: HashMap::new(),
            peers: Vec::new(),
            buckets: BTreeMap::new(),
            limited: BTreeMap::new(),
            daemons: 0,
            runs: BTreeMap::new(),
            own_runs: BTreeMap::new(),
        }
    }

    /// Sets the control addresses of all collectors, and the number of daemons that have not
    /// stopped.
    pub fn set_fleet(&mut self, collectors: &BTreeSet<String>, daemons: usize) {
        self.daemons = daemons;
        for peer in &mut self.peers {
            peer.is_member = collectors.contains(&peer.addr);
        }
        for addr in collectors.iter().filter(|addr| **addr != self.addr) {
            if !self.peers.iter().any(|peer| peer.addr == *addr) {
                self.peers.push(Peer {
                    addr: addr.clone(),
                    is_member: true,
                    last: None,
                    senders: 0,
                    outbox: Outbox::default(),
                    epoch: None,
                    sent_at: None,
                });
            }
        }
    }

    /// Sets the allotments of a configuration.
    pub fn set_workspaces(
        &mut self,
        workspaces: &BTreeMap<WorkspaceName, Arc<Workspace>>,
        now: Instant,
    ) {
        let allotment = |name: &str| workspaces.get(name).and_then(|w| w.allotment);
        self.buckets.retain(|name, _| allotment(name).is_some());
        self.limited.retain(|name, _| allotment(name).is_some());
        let is_started = now.saturating_duration_since(self.started) > EMPTY_START;
        let fill = f64::from(u8::from(is_started));
        for (name, workspace) in workspaces {
            let Some(allotment) = workspace.allotment else {
                continue;
            };
            match self.buckets.get_mut(name) {
                Some(bucket) => bucket.set_allotment(allotment),
                None => {
                    let bucket = CollectorBucket::new(allotment, fill, now);
                    self.buckets.insert(name.clone(), bucket);
                }
            }
        }
    }

    /// Counts the report of a daemon.
    pub fn report(&mut self, report: &UsageReport, now: Instant) -> ShareReply {
        let last = self.senders.entry(report.sender.clone()).or_default();
        if LastReport::record(last, report, now) {
            let age = now.saturating_duration_since(self.started);
            let predating = Duration::from_millis(report.span_ms).saturating_sub(age);
            for (name, usage) in &report.workspaces {
                let usage = as_of_now(*usage, report.span_ms);
                self.count_workspace(name, usage, predating, now);
            }
            for (key, tally) in &report.runs {
                self.runs.entry(key.clone()).or_default().extend(tally);
                self.own_runs.entry(key.clone()).or_default().extend(tally);
                for peer in &mut self.peers {
                    peer.outbox.add_runs(key, tally);
                }
            }
        }
        self.shares(report, now)
    }

    /// Counts the requests of a workspace. What was admitted at the rate in the time before the start
    /// of this collector, `predating`, is paid for: this bucket was not refilled in that time.
    fn count_workspace(
        &mut self,
        name: &str,
        mut usage: WorkspaceUsage,
        predating: Duration,
        now: Instant,
    ) {
        // A workspace that this collector does not know yet, or not any more, has no sum.
        let Some(bucket) = self.buckets.get_mut(name) else {
            return;
        };
        let paid =
            bucket.allotment().rate_per_s() * predating.as_secs_f64() / self.daemons.max(1) as f64;
        usage.admitted -= (paid.round() as i64).clamp(0, usage.admitted.max(0));
        bucket.record(None, usage, now);
        for peer in self.peers.iter_mut().filter(|peer| peer.is_member) {
            peer.outbox.add_workspace(name, usage);
        }
    }

    fn shares(&mut self, report: &UsageReport, now: Instant) -> ShareReply {
        let fleet = self.fleet_view(now);
        let mut shares = BTreeMap::new();
        for (name, _) in &report.workspaces {
            if let Some(bucket) = self.buckets.get_mut(name) {
                bucket.advance(&fleet, now);
                if bucket.is_limited() {
                    shares.insert(name.clone(), bucket.share());
                }
            }
        }
        let limited = self.limited.keys().take(MAX_REPLY_WORKSPACES);
        let limited = limited.filter_map(|name| Some((name, self.buckets.get(name)?)));
        for (name, bucket) in limited.filter(|(_, bucket)| bucket.is_limited()) {
            shares.insert(name.clone(), bucket.share());
        }
        ShareReply {
            is_ready: self.is_ready(now),
            is_complete: self.limited.len() <= MAX_REPLY_WORKSPACES,
            shares: shares.into_iter().collect(),
        }
    }

    fn fleet_view(&self, now: Instant) -> FleetView {
        let peers = self.peers.iter();
        let others: u32 = peers
            .filter(|peer| peer.is_member)
            .fold(0, |sum, peer| peer.senders.saturating_add(sum));
        let heard = self.heard_senders(now) as usize + others as usize;
        // What the senders of a collector admit that was never heard is reserved for it.
        let is_unknown = |peer: &Peer| peer.is_member && peer.last.is_none();
        let missing = match self.peers.iter().any(is_unknown) {
            true => 0.0,
            false => self.daemons.saturating_sub(heard) as f64,
        };
        FleetView {
            peers: self
                .peers
                .iter()
                .map(|p| p.view(self.started, now))
                .collect(),
            missing: missing / self.daemons.max(1) as f64,
            heard_since: self.heard_since(now),
        }
    }

    /// Instant after which all other collectors were heard; now if there are none.
    fn heard_since(&self, now: Instant) -> Option<Instant> {
        let mut members = self.peers.iter().filter(|peer| peer.is_member);
        members.try_fold(now, |since, peer| Some(since.min(peer.last?.heard_at)))
    }

    fn heard_senders(&self, now: Instant) -> u32 {
        let is_heard =
            |last: &&LastReport| now.saturating_duration_since(last.heard_at) < SENDER_LOST_AFTER;
        let count = self.senders.values().flatten().filter(is_heard).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Advances all buckets, forgets daemons that are gone, and returns which workspaces have become
    /// limited or are no longer limited. To be called every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<LimitChange> {
        let fleet = self.fleet_view(now);
        let mut changes = Vec::new();
        for (name, bucket) in &mut self.buckets {
            bucket.advance(&fleet, now);
            let is_limited = bucket.is_limited();
            match (is_limited, self.limited.get_mut(name)) {
                (false, None) | (true, Some(None)) => {}
                (true, Some(since @ Some(_))) => *since = None,
                (true, None) => {
                    self.limited.insert(name.clone(), None);
                    changes.push(LimitChange {
                        workspace: name.clone(),
                        share: Some(bucket.share()),
                    });
                }
                (false, Some(since @ None)) => *since = Some(now),
                (false, Some(Some(since))) => {
                    if now.saturating_duration_since(*since) >= UNLIMITED_AFTER {
                        self.limited.remove(name);
                        changes.push(LimitChange {
                            workspace: name.clone(),
                            share: None,
                        });
                    }
                }
            }
        }
        changes
    }

    /// Workspaces that are limited, with their allotments and shares.
    pub fn limited(&self) -> impl Iterator<Item = (&WorkspaceName, Allotment, AdmissionShare)> {
        let buckets = self
            .buckets
            .iter()
            .filter(|(_, bucket)| bucket.is_limited());
        buckets.map(|(name, bucket)| (name, bucket.allotment(), bucket.share()))
    }

    /// Limited workspaces with their demand, as far as the other collectors are heard.
    pub fn workspace_loads(&self) -> Vec<WorkspaceLoad> {
        let limited = self.buckets.iter().filter(|(_, b)| b.is_limited());
        let loads = limited.map(|(name, bucket)| WorkspaceLoad {
            workspace: name.clone(),
            rate_milli: bucket.allotment().rate_milli,
            burst_requests: bucket.allotment().burst_requests,
            share_ppm: bucket.share().share_ppm,
            demand_milli: (bucket.demand_per_s() * 1_000.0) as u64,
        });
        loads.collect()
    }

    /// Whether the collector knows the sums.
    pub fn is_ready(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= WARM_UP
    }

    /// Control addresses of the other collectors that are not heard, so that the demand of their
    /// senders is not known. Without allotments, collectors send each other nothing.
    pub fn silent_peers(&self, now: Instant) -> Vec<String> {
        let is_silent =
            |peer: &&Peer| matches!(peer.view(self.started, now), PeerView::Silent { .. });
        let peers = self.peers.iter().filter(|_| !self.buckets.is_empty());
        peers.filter(is_silent).map(|p| p.addr.clone()).collect()
    }

    /// Control addresses of the other collectors.
    pub fn peers(&self) -> Vec<String> {
        let members = self.peers.iter().filter(|peer| peer.is_member);
        members.map(|peer| peer.addr.clone()).collect()
    }

    /// The message to send to another collector now, if any.
    pub fn exchange(&mut self, addr: &str, now: Instant) -> Option<UsageRequest> {
        let senders = self.heard_senders(now);
        let has_buckets = !self.buckets.is_empty();
        let peer = self.peers.iter_mut().find(|peer| peer.addr == addr)?;
        let is_recent = peer
            .sent_at
            .is_some_and(|at| now.saturating_duration_since(at) < EXCHANGE_HEARTBEAT);
        if !peer.outbox.has_counts() && (is_recent || !has_buckets) {
            return None;
        }
        peer.sent_at = Some(now);
        let report = peer.outbox.report(&self.addr, self.incarnation, now);
        Some(UsageRequest::Exchange { report, senders })
    }

    /// Records that another collector has counted a message.
    pub fn exchanged(&mut self, addr: &str, serial: u64, epoch: Incarnation) {
        let Some(peer) = self.peers.iter_mut().find(|peer| peer.addr == addr) else {
            return;
        };
        peer.outbox.acknowledge(serial);
        let has_restarted = peer.epoch.is_some_and(|known| known != epoch);
        if has_restarted {
            // It has lost the runs that it was told before.
            let mut outbox = Outbox::following(serial);
            for (key, tally) in &self.own_runs {
                outbox.add_runs(key, tally);
            }
            peer.outbox = outbox;
        }
        peer.epoch = Some(epoch);
    }

    /// Counts the message of another collector; returns the start time of this process, or `None` if
    /// the sender is not known as a collector: it is not counted.
    pub fn receive(
        &mut self,
        report: &UsageReport,
        senders: u32,
        now: Instant,
    ) -> Option<Incarnation> {
        let addr = &report.sender;
        let index = self.peers.iter().position(|peer| peer.addr == *addr)?;
        let was_silent = matches!(
            self.peers[index].view(self.started, now),
            PeerView::Silent { .. }
        );
        let peer = &mut self.peers[index];
        peer.senders = senders;
        let is_new = LastReport::record(&mut peer.last, report, now);
        if was_silent {
            for bucket in self.buckets.values_mut() {
                bucket.end_silence(index);
            }
        }
        if is_new {
            for (name, usage) in &report.workspaces {
                if let Some(bucket) = self.buckets.get_mut(name) {
                    let usage = WorkspaceUsage {
                        demand: current_demand(usage.demand, report.span_ms),
                        ..*usage
                    };
                    bucket.record(Some(index), usage, now);
                }
            }
            for (key, tally) in &report.runs {
                self.runs.entry(key.clone()).or_default().extend(tally);
            }
        }
        Some(self.incarnation)
    }

    /// Runs of a service's requests on all daemons.
    pub fn runs(&self, service: &str) -> impl Iterator<Item = (&RunKey, &RunTally)> {
        let service = service.to_owned();
        let is_service = move |(key, _): &(&RunKey, &RunTally)| key.0 == service;
        self.runs.iter().filter(is_service)
    }
}

/// What the counts of a span say about the present: the admissions of a long span are late.
fn as_of_now(usage: WorkspaceUsage, span_ms: u64) -> WorkspaceUsage {
    let is_late = span_ms > LATE_REPORT_MS;
    WorkspaceUsage {
        demand: current_demand(usage.demand, span_ms),
        admitted: usage.admitted,
        late: u64::try_from(usage.admitted).map_or(0, |admitted| admitted * u64::from(is_late)),
    }
}

/// Demand of a span, scaled down if the span is long: it counts as demand of the present.
fn current_demand(demand: u64, span_ms: u64) -> u64 {
    match span_ms > LATE_REPORT_MS {
        true => demand.saturating_mul(LATE_DEMAND_MS).div_ceil(span_ms),
        false => demand,
    }
}
