//! Metrics of one daemon.

use crate::meter::ByteCounters;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};

/// Label of calls by how they ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct CallLabels {
    /// `ran`, `not-run` or `unknown`.
    pub(crate) outcome: &'static str,
}

/// Label of forwarded requests by how they ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ForwardLabels {
    /// `answered`, or the reason of the refusal.
    pub(crate) outcome: &'static str,
}

/// Label of control payloads.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct PayloadLabels {
    /// `sent` or `received`.
    pub(crate) direction: &'static str,
    /// `poll`, `update`, `instances`, `report`, `submit`, `tell` or `consensus`.
    pub(crate) kind: &'static str,
}

/// Label of consensus groups.
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
    pub(crate) forward_seconds: Histogram,
    pub(crate) retries: Counter,
    pub(crate) version: Gauge,
    pub(crate) daemons: Gauge,
    pub(crate) children: Gauge,
    pub(crate) control: ByteCounters,
    pub(crate) consensus: ByteCounters,
    pub(crate) call_bytes: ByteCounters,
    pub(crate) payload_bytes: Family<PayloadLabels, Counter>,
    pub(crate) syncs: Family<GroupLabels, Counter>,
    pub(crate) commits: Family<GroupLabels, Counter>,
}

impl Metrics {
    /// Metrics at zero.
    pub(crate) fn new() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("foxtailgauge"),
            calls: Family::default(),
            call_seconds: Histogram::new(exponential_buckets(0.000_25, 2.0, 16)),
            forwarded: Family::default(),
            forward_seconds: Histogram::new(exponential_buckets(0.000_25, 2.0, 16)),
            retries: Counter::default(),
            version: Gauge::default(),
            daemons: Gauge::default(),
            children: Gauge::default(),
            control: ByteCounters::default(),
            consensus: ByteCounters::default(),
            call_bytes: ByteCounters::default(),
            payload_bytes: Family::default(),
            syncs: Family::default(),
            commits: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "Callers' requests by outcome", self.calls.clone());
        registry.register_with_unit(
            "call",
            "Time from a caller's whole request to its answer",
            Unit::Seconds,
            self.call_seconds.clone(),
        );
        registry.register(
            "forwarded",
            "Forwarded requests by outcome",
            self.forwarded.clone(),
        );
        registry.register_with_unit(
            "forward",
            "Time from the head of a forwarded request to the head of its answer",
            Unit::Seconds,
            self.forward_seconds.clone(),
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
            self.children.clone(),
        );
        let connections = [
            ("control", &self.control),
            ("consensus", &self.consensus),
            ("calls", &self.call_bytes),
        ];
        for (name, counters) in connections {
            registry.register_with_unit(
                format!("{name}_received"),
                "Bytes received from other daemons",
                Unit::Bytes,
                counters.received.clone(),
            );
            registry.register_with_unit(
                format!("{name}_sent"),
                "Bytes sent to other daemons",
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
        registry.register("commits", "Log entries applied", self.commits.clone());
    }

    /// Counts a control payload.
    pub(crate) fn payload(&self, direction: &'static str, kind: &'static str, bytes: usize) {
        let labels = PayloadLabels { direction, kind };
        self.payload_bytes
            .get_or_create(&labels)
            .inc_by(bytes as u64);
    }

    /// The metrics as text.
    pub(crate) fn text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
