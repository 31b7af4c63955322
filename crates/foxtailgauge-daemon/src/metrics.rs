//! Metrics of one daemon.

use crate::meter::ByteCounters;
use crate::workspace_refusals::WorkspaceRefusals;
use foxtailgauge_core::{ServerStatement, WorkLoad};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::AtomicU64;

/// Histogram of times with buckets from 0.25 ms to 8 s, each twice the previous one.
fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_25, 2.0, 16))
}

/// Label of calls: the outcome.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct CallLabels {
    /// `ran`, `not-run` or `unknown`.
    pub(crate) outcome: &'static str,
}

/// Labels of forwarded requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ForwardLabels {
    /// Empty if no route matches the request.
    pub(crate) route: String,
    /// Empty if no route matches the request.
    pub(crate) service: String,
    /// `answered`, or the reason of the refusal.
    pub(crate) outcome: &'static str,
}

/// Label of metrics per service.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    /// Service with its workspace.
    pub(crate) service: String,
}

/// Labels of retries that the budget of a service denied.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RetryLabels {
    /// Service with its workspace.
    pub(crate) service: String,
    /// `first` or `later`: the try of the caller; `later` for nested requests.
    pub(crate) caller_try: &'static str,
}

/// Labels of metrics per version of a service.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct VersionLabels {
    /// Service with its workspace.
    pub(crate) service: String,
    pub(crate) version: String,
}

/// Labels of runs while a rollout is in progress.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RunLabels {
    /// Service with its workspace.
    pub(crate) service: String,
    pub(crate) version: String,
    /// `succeeded` or `failed`.
    pub(crate) outcome: &'static str,
}

/// Label of metrics per colocated backend server.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ServerLabels {
    pub(crate) server: String,
}

/// Labels of refusals by a colocated backend server.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ServerRefusalLabels {
    pub(crate) server: String,
    /// `matching` if the refusal carries the id of the request, `mismatched` otherwise.
    pub(crate) id: &'static str,
}

/// Label of metrics per workspace.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct WorkspaceLabels {
    /// Workspace with an allotment.
    pub(crate) workspace: String,
}

/// Labels of requests per workspace.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct WorkspaceRequestLabels {
    /// Workspace with an allotment.
    pub(crate) workspace: String,
    /// `admitted` or `refused` for its allotment.
    pub(crate) outcome: &'static str,
}

type HistogramFamily<L> = Family<L, Histogram, fn() -> Histogram>;

/// Labels of control payloads.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct PayloadLabels {
    /// `sent` or `received`.
    pub(crate) direction: &'static str,
    /// `poll`, `update`, `instances`, `report`, `submit`, `usage`, `tell` or `consensus`.
    pub(crate) kind: &'static str,
}

/// Label of metrics per consensus group.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct GroupLabels {
    /// `config` or `ledger`.
    pub(crate) group: &'static str,
}

/// All metrics of one daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) calls: Family<CallLabels, Counter>,
    pub(crate) call_seconds: Histogram,
    pub(crate) forwarded: Family<ForwardLabels, Counter>,
    pub(crate) forward_seconds: HistogramFamily<ServiceLabels>,
    pub(crate) queue_seconds: HistogramFamily<ServiceLabels>,
    pub(crate) run_seconds: HistogramFamily<ServiceLabels>,
    pub(crate) hop_seconds: Histogram,
    pub(crate) slots: Family<ServerLabels, Gauge>,
    pub(crate) slots_used: Family<ServerLabels, Gauge>,
    pub(crate) queued: Family<ServerLabels, Gauge>,
    pub(crate) rate_limit: Family<ServerLabels, Gauge<f64, AtomicU64>>,
    pub(crate) server_pace_percent: Family<ServerLabels, Gauge<f64, AtomicU64>>,
    /// Requests sent, whatever became of them; health checks are not among them.
    pub(crate) server_requests: Family<ServerLabels, Counter>,
    /// Responses that state that a request was not run.
    pub(crate) server_refusals: Family<ServerRefusalLabels, Counter>,
    pub(crate) workspace_requests: Family<WorkspaceRequestLabels, Counter>,
    pub(crate) workspace_refusals: WorkspaceRefusals,
    /// Of limited workspaces only.
    pub(crate) workspace_share: Family<WorkspaceLabels, Gauge<f64, AtomicU64>>,
    /// Share of the requests that the target version of a service's latest rollout gets.
    pub(crate) rollout_share: Family<VersionLabels, Gauge<f64, AtomicU64>>,
    /// Runs on colocated backend servers of services with a running rollout.
    pub(crate) rollout_runs: Family<RunLabels, Counter>,
    pub(crate) retries: Counter,
    pub(crate) retries_left: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    pub(crate) retries_denied: Family<RetryLabels, Counter>,
    pub(crate) majority_age_seconds: Gauge<f64, AtomicU64>,
    pub(crate) source_age_seconds: Gauge<f64, AtomicU64>,
    pub(crate) version: Gauge,
    pub(crate) daemons: Gauge,
    pub(crate) subscribers: Gauge,
    pub(crate) control: ByteCounters,
    pub(crate) consensus: ByteCounters,
    pub(crate) call_bytes: ByteCounters,
    /// Plain HTTP of callers on this instance.
    pub(crate) caller_bytes: ByteCounters,
    pub(crate) payload_bytes: Family<PayloadLabels, Counter>,
    pub(crate) syncs: Family<GroupLabels, Counter>,
    pub(crate) sync_seconds: HistogramFamily<GroupLabels>,
    pub(crate) commits: Family<GroupLabels, Counter>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("foxtailgauge"),
            calls: Family::default(),
            call_seconds: time_histogram(),
            forwarded: Family::default(),
            forward_seconds: Family::new_with_constructor(time_histogram),
            queue_seconds: Family::new_with_constructor(time_histogram),
            run_seconds: Family::new_with_constructor(time_histogram),
            hop_seconds: time_histogram(),
            slots: Family::default(),
            slots_used: Family::default(),
            queued: Family::default(),
            rate_limit: Family::default(),
            server_pace_percent: Family::default(),
            server_requests: Family::default(),
            server_refusals: Family::default(),
            workspace_requests: Family::default(),
            workspace_refusals: WorkspaceRefusals::default(),
            workspace_share: Family::default(),
            rollout_share: Family::default(),
            rollout_runs: Family::default(),
            retries: Counter::default(),
            retries_left: Family::default(),
            retries_denied: Family::default(),
            majority_age_seconds: Gauge::default(),
            source_age_seconds: Gauge::default(),
            version: Gauge::default(),
            daemons: Gauge::default(),
            subscribers: Gauge::default(),
            control: ByteCounters::default(),
            consensus: ByteCounters::default(),
            call_bytes: ByteCounters::default(),
            caller_bytes: ByteCounters::default(),
            payload_bytes: Family::default(),
            syncs: Family::default(),
            sync_seconds: Family::new_with_constructor(time_histogram),
            commits: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        self.register_forwarding();
        self.register_ages();
        let registry = &mut self.registry;
        registry.register("calls", "Callers' requests by outcome", self.calls.clone());
        registry.register_with_unit(
            "call",
            "Time from a caller's whole request to its answer",
            Unit::Seconds,
            self.call_seconds.clone(),
        );
        registry.register(
            "retries",
            "Attempts after the first one",
            self.retries.clone(),
        );
        registry.register(
            "config_version",
            "Configuration version held",
            self.version.clone(),
        );
        registry.register(
            "live_daemons",
            "Daemons in the directory",
            self.daemons.clone(),
        );
        registry.register(
            "subscribers",
            "Daemons that take from this one",
            self.subscribers.clone(),
        );
        let connections = [
            ("control", &self.control),
            ("consensus", &self.consensus),
            ("calls", &self.call_bytes),
            ("callers", &self.caller_bytes),
        ];
        for (name, counters) in connections {
            let peers = match name {
                "callers" => "callers",
                _ => "other daemons",
            };
            registry.register_with_unit(
                format!("{name}_received"),
                format!("Bytes received from {peers}"),
                Unit::Bytes,
                counters.received.clone(),
            );
            registry.register_with_unit(
                format!("{name}_sent"),
                format!("Bytes sent to {peers}"),
                Unit::Bytes,
                counters.sent.clone(),
            );
        }
        registry.register_with_unit(
            "control_payload",
            "Control payloads by kind, without framing",
            Unit::Bytes,
            self.payload_bytes.clone(),
        );
        registry.register("store_syncs", "Syncs of the log", self.syncs.clone());
        registry.register_with_unit(
            "store_sync",
            "Time of a sync of the log",
            Unit::Seconds,
            self.sync_seconds.clone(),
        );
        registry.register("commits", "Log entries applied", self.commits.clone());
    }

    fn register_forwarding(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "forwarded",
            "Forwarded requests by route, service and outcome",
            self.forwarded.clone(),
        );
        let times = [
            (
                "forward",
                "Time from the head of a forwarded request to the head of its answer",
                &self.forward_seconds,
            ),
            (
                "queue",
                "Time that a request waited for a slot of the backend server beside the daemon",
                &self.queue_seconds,
            ),
            (
                "run",
                "Time from a slot to the head of the backend server's answer",
                &self.run_seconds,
            ),
        ];
        for (name, help, histogram) in times {
            registry.register_with_unit(name, help, Unit::Seconds, histogram.clone());
        }
        registry.register_with_unit(
            "hop",
            "Time of an attempt through another daemon, its queue and run included",
            Unit::Seconds,
            self.hop_seconds.clone(),
        );
        let gauges = [
            (
                "slots",
                "Slots of a backend server beside the daemon",
                &self.slots,
            ),
            ("slots_used", "Requests running on it", &self.slots_used),
            ("queued", "Requests waiting for it", &self.queued),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "rate_limit",
            "Requests per second that a backend server beside the daemon accepts, if it states it",
            self.rate_limit.clone(),
        );
        registry.register(
            "server_pace_percent",
            "Time that work takes on a backend server beside the daemon, in percent of the normal time",
            self.server_pace_percent.clone(),
        );
        registry.register(
            "server_requests",
            "Requests sent to a backend server beside the daemon",
            self.server_requests.clone(),
        );
        registry.register(
            "server_refusals",
            "Responses of a backend server beside the daemon that state that a request was not run",
            self.server_refusals.clone(),
        );
        registry.register(
            "workspace_requests",
            "Requests of workspaces with an allotment, admitted or refused for it",
            self.workspace_requests.clone(),
        );
        registry.register(
            "workspace_refusals",
            "Refused requests of workspaces by reason; `other` after the first 256 workspaces",
            self.workspace_refusals.counters(),
        );
        registry.register(
            "workspace_share",
            "Part of the requests of a limited workspace that is admitted",
            self.workspace_share.clone(),
        );
        registry.register(
            "rollout_share",
            "Share of the requests that the version of the latest rollout gets",
            self.rollout_share.clone(),
        );
        registry.register(
            "rollout_runs",
            "Runs on servers beside the daemon during a rollout, by version and outcome",
            self.rollout_runs.clone(),
        );
        registry.register(
            "retries_left",
            "Retries that the budget of a service holds",
            self.retries_left.clone(),
        );
        registry.register(
            "retries_denied",
            "Retries that the budget of a service denied, by first or later try of the caller",
            self.retries_denied.clone(),
        );
    }

    fn register_ages(&mut self) {
        let ages = [
            (
                "majority_age",
                "Time since contact with a majority of the configuration group, own or the source's",
                &self.majority_age_seconds,
            ),
            (
                "source_age",
                "Time since the source of configuration and directory was heard",
                &self.source_age_seconds,
            ),
        ];
        for (name, help, gauge) in ages {
            self.registry
                .register_with_unit(name, help, Unit::Seconds, gauge.clone());
        }
    }

    /// Sets the load gauges of the colocated backend servers and removes those of servers not
    /// listed.
    pub(crate) fn set_server_loads<'a>(
        &self,
        loads: impl Iterator<Item = (&'a str, WorkLoad, ServerStatement, f64)>,
    ) {
        for gauge in [&self.slots, &self.slots_used, &self.queued] {
            gauge.clear();
        }
        self.rate_limit.clear();
        self.server_pace_percent.clear();
        for (server, load, statement, pace_percent) in loads {
            let labels = ServerLabels {
                server: server.to_owned(),
            };
            if let Some(rate) = statement.rate_limit {
                self.rate_limit.get_or_create(&labels).set(rate.per_s());
            }
            let pace = self.server_pace_percent.get_or_create(&labels);
            pace.set(pace_percent);
            let gauges = [
                (&self.slots, load.slots),
                (&self.slots_used, load.running),
                (&self.queued, load.waiting),
            ];
            for (gauge, value) in gauges {
                gauge.get_or_create(&labels).set(value.into());
            }
        }
    }

    /// Counts a request of a workspace with an allotment.
    pub(crate) fn record_workspace_request(&self, workspace: &str, is_admitted: bool) {
        let labels = WorkspaceRequestLabels {
            workspace: workspace.to_owned(),
            outcome: if is_admitted { "admitted" } else { "refused" },
        };
        self.workspace_requests.get_or_create(&labels).inc();
    }

    /// Sets the shares of limited workspaces and removes those of others.
    pub(crate) fn set_shares<'a>(&self, shares: impl Iterator<Item = (&'a String, f64)>) {
        self.workspace_share.clear();
        for (workspace, share) in shares {
            let labels = WorkspaceLabels {
                workspace: workspace.clone(),
            };
            self.workspace_share.get_or_create(&labels).set(share);
        }
    }

    /// Counts a request sent to a backend server.
    pub(crate) fn record_sent(&self, server: &str) {
        let labels = ServerLabels {
            server: server.to_owned(),
        };
        self.server_requests.get_or_create(&labels).inc();
    }

    /// Counts a response that states that a request was not run.
    pub(crate) fn record_server_refusal(&self, server: &str, is_matching: bool) {
        let labels = ServerRefusalLabels {
            server: server.to_owned(),
            id: match is_matching {
                true => "matching",
                false => "mismatched",
            },
        };
        self.server_refusals.get_or_create(&labels).inc();
    }

    /// Bytes sent over the instance's link, to other daemons and to callers.
    pub(crate) fn link_bytes_sent(&self) -> u64 {
        let counters = [
            &self.control,
            &self.consensus,
            &self.call_bytes,
            &self.caller_bytes,
        ];
        counters.iter().map(|counters| counters.sent.get()).sum()
    }

    /// Counts the bytes of a control payload.
    pub(crate) fn record_payload(&self, direction: &'static str, kind: &'static str, bytes: usize) {
        let labels = PayloadLabels { direction, kind };
        self.payload_bytes
            .get_or_create(&labels)
            .inc_by(bytes as u64);
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub(crate) fn encode_text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
