//! Settings of the part that carries plain HTTP by host routes.

use crate::settings::Reader;
use foxtailgauge_core::{is_valid_name, TeamName};
use std::net::SocketAddr;
use std::time::Duration;

/// Sections and keys of this part.
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
    ],
)];

/// Settings of the part that carries plain HTTP by host routes.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Workspace whose documents the platform's operators send.
    pub workspace: TeamName,
    /// Where callers on this instance and the backend server beside it send their requests.
    pub outbound: Option<SocketAddr>,
    /// Where the platform asks whether callers may be sent here.
    pub ready: Option<SocketAddr>,
    /// Where operators send documents and backend servers report.
    pub platform: Option<SocketAddr>,
    /// Where metrics are read besides the admin address.
    pub metrics: Option<SocketAddr>,
    /// Service of the backend server beside this daemon, without workspace.
    pub service: Option<String>,
    /// Interval at which a backend server reports.
    pub report_interval: Duration,
    /// Time between the request to stop and the end of the process.
    pub stop_grace: Duration,
}

/// Reads the section `mesh`; `None` if the file has none.
pub(crate) fn read(reader: &mut Reader) -> Option<MeshSettings> {
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
    Some(MeshSettings {
        workspace,
        outbound: reader.optional_address("outbound"),
        ready: reader.optional_address("ready"),
        platform: reader.optional_address("platform"),
        metrics: reader.optional_address("metrics"),
        service,
        report_interval: reader.duration_ms("mesh", "report_interval_ms", 50..=60_000, 1_500),
        stop_grace: reader.duration_ms("mesh", "stop_grace_ms", 500..=600_000, 6_000),
    })
}
