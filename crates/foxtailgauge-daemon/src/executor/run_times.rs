//! Metrics of the time that a request waits for a backend server and runs on it.

use crate::executor::forward_server::ForwardServer;
use crate::metrics::{Metrics, ServiceLabels};
use crate::shared::Shared;
use std::time::Instant;

/// Records the queueing time and the run time of a request.
pub(crate) struct RunTimes<'a> {
    metrics: &'a Metrics,
    labels: ServiceLabels,
    started: Instant,
}

impl<'a> RunTimes<'a> {
    /// Records the queueing time, which began at `waiting_since`, and starts the run timer.
    pub(crate) fn new(shared: &'a Shared, server: &ForwardServer, waiting_since: Instant) -> Self {
        let metrics = &shared.metrics;
        let labels = ServiceLabels {
            service: server.entry().service,
        };
        let started = Instant::now();
        let waited = started.saturating_duration_since(waiting_since);
        let queue_seconds = metrics.queue_seconds.get_or_create(&labels);
        queue_seconds.observe(waited.as_secs_f64());
        drop(queue_seconds);
        RunTimes {
            metrics,
            labels,
            started,
        }
    }

    pub(crate) fn finish(self) {
        let run_seconds = self.metrics.run_seconds.get_or_create(&self.labels);
        run_seconds.observe(self.started.elapsed().as_secs_f64());
    }
}
