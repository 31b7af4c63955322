//! Settings of host-routed plain HTTP (section `mesh`).

use crate::settings::Reader;
use foxtailgauge_core::{is_valid_name, RetryLimits, TeamName};
use foxtailgauge_platform::{parse_bounds, Bounds};
use std::net::SocketAddr;
use std::time::Duration;

/// Grace period if neither the settings nor the platform state one.
const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(6);

/// Known keys of the section.
pub(crate) const KNOWN_KEYS: &[(&str, &[&str])] = &[(
    "mesh",
    &[
        "workspace",
        "outbound",
        "ready",
        "platform",
        "metrics",
        "service",
        "report_interval_ms",
        "stop_grace_ms",
        "bounds",
    ],
)];

/// Settings of host-routed plain HTTP.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Workspace that the documents of the platform's operators configure.
    pub workspace: TeamName,
    /// Address for requests of callers on this instance and of its colocated backend server.
    pub outbound: Option<SocketAddr>,
    /// Address of the platform's readiness check, which decides whether callers are sent here.
    pub ready: Option<SocketAddr>,
    /// Address for documents of operators and reports of backend servers.
    pub platform: Option<SocketAddr>,
    /// Additional address for metrics, besides the admin address.
    pub metrics: Option<SocketAddr>,
    /// Service of the colocated backend server, without its workspace.
    pub service: Option<String>,
    /// Interval between the reports of a backend server.
    pub report_interval: Duration,
    /// Time from the request to stop until the process is killed.
    pub stop_grace: Duration,
    /// Bounds that neither the settings nor the platform state.
    pub unstated: Vec<UnstatedBound>,
}

/// A bound for which a default is used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnstatedBound {
    /// Key that would set it.
    pub key: &'static str,
    /// What is used in its place.
    pub used: String,
}

/// Reads the platform's bounds; without any, none is stated.
pub(crate) fn read_bounds(reader: &mut Reader) -> Bounds {
    let Some(text) = reader.non_empty_value("mesh", "bounds") else {
        return Bounds::default();
    };
    parse_bounds(&text).unwrap_or_else(|error| {
        let allowed =
            "NAME=VALUE, separated by commas, or a JSON table, with numbers within their ranges";
        reader.add_problem("mesh", "bounds", error.to_string(), allowed);
        Bounds::default()
    })
}

/// Reads section `mesh`; `None` if it has no `workspace`. `retries` is the bound on retries, if the
/// settings or the platform state one.
pub(crate) fn read(
    reader: &mut Reader,
    bounds: &Bounds,
    retries: Option<RetryLimits>,
) -> Option<MeshSettings> {
    let workspace = reader.value("mesh", "workspace")?;
    if !is_valid_name(&workspace) {
        let allowed = "1 to 64 characters a-z, 0-9 and -";
        reader.add_problem("mesh", "workspace", format!("`{workspace}`"), allowed);
    }
    let service = reader.non_empty_value("mesh", "service");
    if let Some(service) = service.as_ref().filter(|name| !is_valid_name(name)) {
        let allowed = "1 to 64 characters a-z, 0-9 and -";
        reader.add_problem("mesh", "service", format!("`{service}`"), allowed);
    }
    let stop_grace = read_stop_grace(reader, bounds.stop_grace);
    let mut unstated = Vec::new();
    if stop_grace.is_none() {
        unstated.push(UnstatedBound {
            key: "stop_grace_ms",
            used: DEFAULT_STOP_GRACE.as_millis().to_string(),
        });
    }
    if retries.is_none() {
        unstated.push(UnstatedBound {
            key: "retry_budget_percent",
            used: "retry_percent of each service".to_owned(),
        });
    }
    Some(MeshSettings {
        workspace,
        outbound: reader.optional_address("outbound"),
        ready: reader.optional_address("ready"),
        platform: reader.optional_address("platform"),
        metrics: reader.optional_address("metrics"),
        service,
        report_interval: reader.duration_ms("mesh", "report_interval_ms", 50..=60_000, 1_500),
        stop_grace: stop_grace.unwrap_or(DEFAULT_STOP_GRACE),
        unstated,
    })
}

/// The key takes precedence over `listed`, the grace period in the platform's bounds.
fn read_stop_grace(reader: &mut Reader, listed: Option<Duration>) -> Option<Duration> {
    match reader.non_empty_value("mesh", "stop_grace_ms") {
        Some(_) => Some(reader.duration_ms("mesh", "stop_grace_ms", 500..=600_000, 0)),
        None => listed,
    }
}
