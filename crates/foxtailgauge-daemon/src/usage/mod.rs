//! Counts of this daemon, and their sums over all daemons.

mod collecting;
mod reporting;

pub(crate) use reporting::collectors;

use crate::shared::{lock, Shared};
use foxtailgauge_core::{
    AllotmentGate, Collector, RouteName, RunTally, ServerVersion, ServiceName, UsageReply,
    UsageRequest, WorkspaceLoad,
};
use foxtailgauge_wire::LimitedWorkspace;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after which a report or an exchange without an answer is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs by version and route.
pub(crate) type VersionTallies = BTreeMap<(ServerVersion, RouteName), RunTally>;

/// Counts of this daemon, and the sums of all daemons if it is a replica.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    pub(crate) gate: Mutex<AllotmentGate>,
    /// Runs on this daemon.
    runs: Mutex<BTreeMap<ServiceName, VersionTallies>>,
    /// Sums of all daemons; `None` on daemons without a store.
    collector: Mutex<Option<Collector>>,
}

impl Usage {
    /// Counts a run on a colocated backend server. To be called only while a rollout of the service
    /// is running: every run is reported to the collectors.
    pub(crate) fn add_run(
        &self,
        service: &ServiceName,
        version: &ServerVersion,
        route: &RouteName,
        run: &RunTally,
    ) {
        let mut runs = lock(&self.runs);
        let of_service = runs.entry(service.clone()).or_default();
        let tally = of_service.entry((version.clone(), route.clone()));
        tally.or_default().extend(run);
        drop(runs);
        let key = (service.clone(), version.clone(), route.clone());
        lock(&self.gate).add_runs(&key, run);
    }

    /// Runs of a service's requests: on all daemons as far as this one knows, if it is a collector;
    /// otherwise on this one.
    pub(crate) fn runs(&self, service: &ServiceName) -> VersionTallies {
        if let Some(collector) = &*lock(&self.collector) {
            let of_service = collector.runs(service);
            return of_service
                .map(|((_, version, route), tally)| {
                    ((version.clone(), route.clone()), tally.clone())
                })
                .collect();
        }
        lock(&self.runs).get(service).cloned().unwrap_or_default()
    }
}

impl Usage {
    /// Workspaces that send more than their allotment; none on daemons that are no collector.
    pub(crate) fn limited(&self) -> Vec<LimitedWorkspace> {
        let collector = lock(&self.collector);
        let limited = collector.iter().flat_map(Collector::limited);
        limited
            .map(|(workspace, allotment, share)| LimitedWorkspace {
                workspace: workspace.clone(),
                rate_milli: allotment.rate_milli,
                share_ppm: share.share_ppm,
            })
            .collect()
    }

    /// Limited workspaces with their demand, and the control addresses of the collectors whose part
    /// of it is not known; `None` if this daemon is no collector, or does not know the sums yet.
    pub(crate) fn workspace_loads(&self) -> Option<(Vec<WorkspaceLoad>, Vec<String>)> {
        let now = Instant::now();
        let collector = lock(&self.collector);
        let collector = collector.as_ref().filter(|c| c.is_ready(now))?;
        Some((collector.workspace_loads(), collector.silent_peers(now)))
    }

    /// Counts a message to this collector; `None` if this daemon is none, or if the sender is not
    /// known as one.
    pub(crate) fn collect(&self, request: &UsageRequest) -> Option<UsageReply> {
        let now = Instant::now();
        let mut collector = lock(&self.collector);
        let collector = collector.as_mut()?;
        Some(match request {
            UsageRequest::Report(report) => UsageReply::Report(collector.report(report, now)),
            UsageRequest::Exchange { report, senders } => UsageReply::Exchanged {
                epoch: collector.receive(report, *senders, now)?,
            },
        })
    }
}

/// Starts the task that reports, and on replicas the one that collects.
pub(crate) fn start(shared: &Arc<Shared>) {
    if shared.settings.store_dir.is_some() {
        async_std::task::spawn(collecting::run(Arc::clone(shared)));
    }
    async_std::task::spawn(reporting::run(Arc::clone(shared)));
}
