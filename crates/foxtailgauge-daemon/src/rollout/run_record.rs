//! Counts the runs of a service with a running rollout by version.

use crate::executor::forward_server::ForwardServer;
use crate::hop::forward_body::ForwardBody;
use crate::hop::metadata::HopEnd;
use crate::metrics::RunLabels;
use crate::shared::Shared;
use foxtailgauge_core::{RouteName, RunOutcome, RunTally, ServerEntry, ServerWarmth};
use hyper::Response;
use std::time::{Duration, Instant};

/// A run that is counted when it ends.
pub(crate) struct RunRecord<'a> {
    shared: &'a Shared,
    server: ServerEntry,
    route: RouteName,
    warmth: ServerWarmth,
    started: Instant,
    /// Time until the caller stops waiting.
    time_left: Duration,
    is_ended: bool,
}

impl<'a> RunRecord<'a> {
    /// Starts the record of a run; `None` if the service has no running rollout.
    pub(crate) fn start(
        shared: &'a Shared,
        server: &ForwardServer,
        entry: ServerEntry,
        route: &str,
        time_left: Duration,
    ) -> Option<Self> {
        let view = shared.view();
        let rollout = view.snapshot.as_ref()?.rollouts.get(&entry.service)?;
        rollout.phase.is_running().then(|| RunRecord {
            shared,
            server: entry,
            route: route.to_owned(),
            warmth: server.warmth(),
            started: Instant::now(),
            time_left,
            is_ended: false,
        })
    }

    /// Ends the record of a run: with its end and response, or `None` if its deadline passed.
    pub(crate) fn end(mut self, outcome: Option<&(HopEnd, Option<Response<ForwardBody>>)>) {
        self.is_ended = true;
        let Some((end, response)) = outcome else {
            return self.count_failure();
        };
        let status = response.as_ref().map(Response::status);
        match end {
            HopEnd::Answered if status.is_some_and(|status| status.is_server_error()) => {
                self.count(RunOutcome::Failed)
            }
            HopEnd::Answered => self.count(RunOutcome::Succeeded),
            HopEnd::Broken => self.count_failure(),
            // Did not run.
            HopEnd::Declined | HopEnd::Refused { .. } | HopEnd::Closed | HopEnd::NotReached => {}
        }
    }

    /// Counts a run without a response. Late responses of a server that warms up are no failures:
    /// it is slower than usual.
    fn count_failure(&self) {
        if self.warmth == ServerWarmth::Warm || self.started.elapsed() < self.time_left {
            self.count(RunOutcome::Failed);
        }
    }

    fn count(&self, outcome: RunOutcome) {
        let ServerEntry {
            service, version, ..
        } = &self.server;
        let usage = &self.shared.usage;
        let mut run = RunTally::default();
        run.record(outcome, self.started.elapsed(), self.warmth);
        usage.add_run(service, version, &self.route, &run);
        let labels = RunLabels {
            service: service.clone(),
            version: version.clone(),
            outcome: match outcome {
                RunOutcome::Succeeded => "succeeded",
                RunOutcome::Failed => "failed",
            },
        };
        let runs = &self.shared.metrics.rollout_runs;
        runs.get_or_create(&labels).inc();
    }
}

impl Drop for RunRecord<'_> {
    /// The caller or its gateway went away. It counts only if it had waited for its whole time.
    fn drop(&mut self) {
        if !self.is_ended && self.started.elapsed() >= self.time_left.mul_f64(0.95) {
            self.count_failure();
        }
    }
}
