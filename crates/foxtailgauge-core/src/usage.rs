//! Counts that are summed over all daemons.

use crate::ids::{DaemonName, Incarnation, RouteName, ServerVersion, ServiceName, WorkspaceName};
use crate::usage_encoding::EncodedRequest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

/// Interval between reports while there is something to report.
pub const USAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Most workspaces in one report. The others follow in the next ones, so that a report is limited to
/// a few kilobytes whatever the number of workspaces.
pub const MAX_REPORT_WORKSPACES: usize = 256;
/// Most run tallies in one report, as one may hold twice 44 buckets.
pub const MAX_REPORT_TALLIES: usize = 64;
/// Buckets of run times for each doubling.
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// Highest bucket; longer run times count as this one, about 46 minutes.
const MAX_BUCKET: u8 = 43;

/// Outcome of a run on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It responded, with any status but a server error.
    Succeeded,
    /// It responded with a server error, or the response broke off or never came.
    Failed,
}

/// Whether a backend server has warmed up since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerWarmth {
    /// It has.
    Warm,
    /// It may be up to twice as slow as when it is warm.
    Cold,
}

/// Runs by bucket of their run times. The lower bound of bucket `n` is the square root of 2 to the
/// power `n`, in milliseconds.
pub type RunTimes = BTreeMap<u8, u64>;

/// Runs on the backend servers of one version, of requests of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTally {
    /// Runs that ended.
    pub runs: u64,
    /// Runs that failed.
    pub failures: u64,
    /// Run times of successful runs on warm backend servers.
    pub run_times: RunTimes,
    /// Run times of successful runs on cold backend servers. Encoded at the end of a
    /// [`UsageRequest`], so that daemons of earlier releases read the rest.
    #[serde(skip)]
    pub cold_run_times: RunTimes,
}

impl RunTally {
    /// Counts a run.
    pub fn record(&mut self, outcome: RunOutcome, run_time: Duration, warmth: ServerWarmth) {
        self.runs += 1;
        let run_times = match (outcome, warmth) {
            (RunOutcome::Failed, _) => {
                self.failures += 1;
                return;
            }
            (RunOutcome::Succeeded, ServerWarmth::Warm) => &mut self.run_times,
            (RunOutcome::Succeeded, ServerWarmth::Cold) => &mut self.cold_run_times,
        };
        *run_times.entry(bucket(run_time)).or_default() += 1;
    }

    /// Adds the runs of another tally.
    pub fn extend(&mut self, other: &RunTally) {
        self.runs += other.runs;
        self.failures += other.failures;
        add(&mut self.run_times, &other.run_times);
        add(&mut self.cold_run_times, &other.cold_run_times);
    }
}

fn add(sum: &mut RunTimes, run_times: &RunTimes) {
    for (bucket, runs) in run_times {
        *sum.entry(*bucket).or_default() += runs;
    }
}

/// Service, version and route of runs.
pub type RunKey = (ServiceName, ServerVersion, RouteName);

/// Requests of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceUsage {
    /// Requests that arrived, admitted or not.
    pub demand: u64,
    /// Requests that were admitted, less those refused afterwards without having run; the latter
    /// may have been admitted in an earlier report.
    pub admitted: i64,
    /// Those of `admitted` that the collector was told late, when it may have assumed them already.
    /// Set by collectors.
    pub late: u64,
}

/// What a daemon counted, as sent to a collector; also what a collector received from its own
/// senders, as sent to the other collectors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Name of the daemon, or control address of the collector.
    pub sender: DaemonName,
    /// Start time of the sender's process.
    pub incarnation: Incarnation,
    /// Increases by one with each report of the process. A report whose answer was lost is sent
    /// again with the same serial and content, and counted once.
    pub serial: u64,
    /// Time in which the counts accrued, in milliseconds.
    pub span_ms: u64,
    /// Counts of workspaces with an allotment, at most [`MAX_REPORT_WORKSPACES`].
    pub workspaces: Vec<(WorkspaceName, WorkspaceUsage)>,
    /// Runs by version, at most [`MAX_REPORT_TALLIES`].
    pub runs: Vec<(RunKey, RunTally)>,
}

/// A message to a collector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "EncodedRequest", try_from = "EncodedRequest")]
pub enum UsageRequest {
    /// From a daemon.
    Report(UsageReport),
    /// From another collector.
    Exchange {
        /// Counts that its senders reported to it.
        report: UsageReport,
        /// Senders that it has heard recently.
        senders: u32,
    },
}

/// Reply to a [`UsageRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageReply {
    /// To a report.
    Report(ShareReply),
    /// To an exchange.
    Exchanged {
        /// Start time of the receiver's process.
        epoch: Incarnation,
    },
}

/// What part of the requests of limited workspaces to admit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReply {
    /// Whether the collector knows the sums. If not, the report is counted, but says nothing
    /// about shares.
    pub is_ready: bool,
    /// Whether all limited workspaces are listed.
    pub is_complete: bool,
    /// Limited workspaces: all those that were reported, and further ones.
    pub shares: Vec<(WorkspaceName, AdmissionShare)>,
}

/// Part of a workspace's requests that gateways admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionShare {
    /// Probability of admission, in millionths.
    pub share_ppm: u32,
    /// Time until the excess is paid off, in milliseconds.
    pub retry_after_ms: u32,
}

impl AdmissionShare {
    /// Probability of admission.
    pub fn share(&self) -> f64 {
        f64::from(self.share_ppm) / 1e6
    }
}

/// Counts that wait to be reported to one receiver, exactly once.
///
/// Invariant: a count is either in `in_flight` or in `workspaces` and `runs`.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    serial: u64,
    /// When the last report was made.
    reported_at: Option<Instant>,
    in_flight: Option<UsageReport>,
    workspaces: BTreeMap<WorkspaceName, WorkspaceUsage>,
    runs: BTreeMap<RunKey, RunTally>,
    /// Last workspace of the last report; the next one continues behind it.
    last_workspace: WorkspaceName,
}

impl Outbox {
    /// An empty outbox whose serials continue after `serial`.
    pub(crate) fn following(serial: u64) -> Self {
        Outbox {
            serial,
            ..Outbox::default()
        }
    }

    /// Adds requests of a workspace.
    pub(crate) fn add_workspace(&mut self, name: &str, usage: WorkspaceUsage) {
        if let Some(sum) = self.workspaces.get_mut(name) {
            sum.demand += usage.demand;
            sum.admitted += usage.admitted;
            sum.late += usage.late;
        } else {
            self.workspaces.insert(name.to_owned(), usage);
        }
    }

    /// Adds runs.
    pub(crate) fn add_runs(&mut self, key: &RunKey, tally: &RunTally) {
        self.runs.entry(key.clone()).or_default().extend(tally);
    }

    /// Drops the counts of workspaces that have not been sent.
    pub(crate) fn drop_workspaces(&mut self) {
        self.workspaces.clear();
    }

    /// Whether there are counts to report.
    pub(crate) fn has_counts(&self) -> bool {
        self.in_flight.is_some() || !self.workspaces.is_empty() || !self.runs.is_empty()
    }

    /// The report to send: the last one again until it is acknowledged.
    pub(crate) fn report(
        &mut self,
        sender: &str,
        incarnation: Incarnation,
        now: Instant,
    ) -> UsageReport {
        if let Some(report) = &self.in_flight {
            return report.clone();
        }
        self.serial += 1;
        let since = self.reported_at.unwrap_or(now);
        let span = now.saturating_duration_since(since).max(USAGE_INTERVAL);
        let report = UsageReport {
            sender: sender.to_owned(),
            incarnation,
            serial: self.serial,
            span_ms: u64::try_from(span.as_millis()).unwrap_or(u64::MAX),
            workspaces: self.take_workspaces(),
            runs: take_first(&mut self.runs, MAX_REPORT_TALLIES),
        };
        self.reported_at = Some(now);
        self.in_flight = Some(report.clone());
        report
    }

    fn take_workspaces(&mut self) -> Vec<(WorkspaceName, WorkspaceUsage)> {
        let behind = (
            Bound::Excluded(self.last_workspace.as_str()),
            Bound::Unbounded,
        );
        let before = (
            Bound::Unbounded,
            Bound::Included(self.last_workspace.as_str()),
        );
        let next = self.workspaces.range::<str, _>(behind);
        let names = next.chain(self.workspaces.range::<str, _>(before));
        let names: Vec<WorkspaceName> = names
            .take(MAX_REPORT_WORKSPACES)
            .map(|(name, _)| name.clone())
            .collect();
        if let Some(last) = names.last() {
            self.last_workspace.clone_from(last);
        }
        names
            .into_iter()
            .filter_map(|name| self.workspaces.remove_entry(&name))
            .collect()
    }

    /// Records that the receiver has counted a report.
    pub(crate) fn acknowledge(&mut self, serial: u64) {
        if self.in_flight.as_ref().is_some_and(|r| r.serial == serial) {
            self.in_flight = None;
        }
    }
}

fn take_first<V>(map: &mut BTreeMap<RunKey, V>, limit: usize) -> Vec<(RunKey, V)> {
    std::iter::from_fn(|| map.pop_first()).take(limit).collect()
}

/// Latest report that was counted of a sender.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastReport {
    incarnation: Incarnation,
    serial: u64,
    /// When the sender was last heard.
    pub(crate) heard_at: Instant,
}

impl LastReport {
    /// Records a report; returns whether it is to be counted, which a repeated one is not.
    pub(crate) fn record(last: &mut Option<Self>, report: &UsageReport, now: Instant) -> bool {
        let precedence = (report.incarnation, report.serial);
        let is_new = last.is_none_or(|last| precedence > (last.incarnation, last.serial));
        if is_new {
            *last = Some(LastReport {
                incarnation: report.incarnation,
                serial: report.serial,
                heard_at: now,
            });
        } else if let Some(last) = last {
            last.heard_at = now;
        }
        is_new
    }
}

fn bucket(run_time: Duration) -> u8 {
    let run_ms = (run_time.as_secs_f64() * 1_000.0).max(1.0);
    let bucket = (run_ms.log2() * BUCKETS_PER_DOUBLING).floor();
    (bucket as u8).min(MAX_BUCKET)
}
