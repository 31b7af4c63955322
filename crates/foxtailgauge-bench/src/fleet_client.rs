//! Client for a running fleet; uses its admin interface and the process table.

use crate::json_file::{BenchError, BenchResult};
use crate::plan::{DaemonPlan, Fleet};
use error_stack::{Report, ResultExt};
use foxtailgauge_core::{ChangeAnswer, ConfigVersion};
use foxtailgauge_wire::api::{ChangeBody, ChangeReply};
use foxtailgauge_wire::http::{fetch, HttpRequest, HttpResponse};
use foxtailgauge_wire::FleetStatus;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Time allowed for the last version to appear in all daemons' logs.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Timeout of one request to a daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval between polls of the status while waiting for an announcement to appear.
const CHURN_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Minimum time between announcements.
const CHURN_GAP: Duration = Duration::from_millis(250);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Cumulative resource usage of one daemon at a point in time; memory and subscribers are current.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) sent_bytes: f64,
    pub(crate) received_bytes: f64,
    pub(crate) cpu_seconds: f64,
    pub(crate) resident_mb: f64,
    pub(crate) subscribers: f64,
}

/// Queries and changes a running fleet through the interfaces that operators use.
pub(crate) struct FleetClient<'a> {
    fleet: &'a Fleet,
    token: String,
    config: String,
}

impl<'a> FleetClient<'a> {
    /// Creates a client with the token and configuration of the fleet's team.
    pub(crate) fn new(fleet: &'a Fleet) -> BenchResult<Self> {
        let read = |path: &Path| {
            std::fs::read_to_string(path).change_context_lazy(|| BenchError::File(path.to_owned()))
        };
        Ok(FleetClient {
            fleet,
            token: read(&fleet.token_file)?,
            config: read(&fleet.config_file)?,
        })
    }

    /// Returns the deployment's configuration with `services` additional ones; `number` varies the
    /// deadline of one route.
    pub(crate) fn config_text(&self, services: u64, number: Option<u64>) -> String {
        let mut text = self.config.clone();
        for n in 0..services {
            let deadline_ms = 1_000 + if n == 0 { number.unwrap_or(0) } else { 0 };
            text.push_str(&format!(
                "\n[services/extra-{n}]\n[routes/extra-{n}]\nprefix = /extra/{n}\n\
                 methods = GET\nservice = extra-{n}\ndeadline_ms = {deadline_ms}\n"
            ));
        }
        if services == 0 {
            let deadline = format!("deadline_ms = {}", 2_001 + number.unwrap_or(0));
            text = text.replacen("deadline_ms = 2000", &deadline, 1);
        }
        text
    }

    /// Applies the configuration that later changes are based on; returns the team's revision.
    pub(crate) async fn prepare(&self, services: u64) -> BenchResult<u64> {
        let text = self.config_text(services, None);
        match self.send_change(0, &text).await? {
            ChangeAnswer::Accepted { revision, .. } => Ok(revision),
            ChangeAnswer::Conflict { current_revision } => {
                self.change(current_revision, &text).await?;
                Ok(current_revision + 1)
            }
            _ => Err(Report::new(BenchError::Unexpected)),
        }
    }

    /// Replaces the team's configuration; returns the new version.
    pub(crate) async fn change(&self, revision: u64, text: &str) -> BenchResult<ConfigVersion> {
        match self.send_change(revision, text).await? {
            ChangeAnswer::Accepted { version, .. } => Ok(version),
            _ => Err(Report::new(BenchError::Unexpected)),
        }
    }

    async fn send_change(&self, base_revision: u64, text: &str) -> BenchResult<ChangeAnswer> {
        let body = ChangeBody {
            change_id: Uuid::now_v7().to_string(),
            base_revision,
            text: text.to_owned(),
            author: "bench".to_owned(),
            rollback_of: None,
        };
        let bytes = serde_json::to_vec(&body).change_context(BenchError::Unexpected)?;
        let target = format!("/v1/teams/{}/config", self.fleet.team);
        let admin = self.fleet.daemons[0].admin_addr;
        let response = self.request(admin, "PUT", &target, &bytes).await?;
        let reply: ChangeReply =
            serde_json::from_slice(&response.body).change_context(BenchError::Unexpected)?;
        Ok(reply.answer)
    }

    async fn request(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> BenchResult<HttpResponse> {
        let headers = [(
            "Authorization".to_owned(),
            format!("Bearer {}", self.token.trim()),
        )];
        let request = HttpRequest {
            method,
            target,
            headers: &headers,
            body,
        };
        let exchange = fetch(addr, request, MAX_RESPONSE_BYTES);
        match async_std::future::timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(response) => response.change_context(BenchError::Network),
            Err(_) => Err(Report::new(BenchError::TimedOut)),
        }
    }

    /// Announces and removes backend servers at the daemons in turn; returns the sorted times in
    /// milliseconds until each appeared in the status.
    pub(crate) async fn churn(&self, count: u64) -> BenchResult<Vec<f64>> {
        let mut times = Vec::new();
        let announcement = format!(
            r#"{{"service":"{}/churn","addr":"127.0.0.1:9","slots":1,"state":"ready","lease_ms":60000}}"#,
            self.fleet.team
        );
        for number in 0..count {
            let daemon = &self.fleet.daemons[number as usize % self.fleet.daemons.len()];
            let target = format!("/v1/servers/churn-{number}");
            let before = self.ready_servers().await?;
            let started = Instant::now();
            self.request(
                daemon.announce_addr,
                "PUT",
                &target,
                announcement.as_bytes(),
            )
            .await?;
            while self.ready_servers().await? <= before {
                async_std::task::sleep(CHURN_POLL_INTERVAL).await;
            }
            times.push(started.elapsed().as_secs_f64() * 1000.0);
            self.request(daemon.announce_addr, "DELETE", &target, &[])
                .await?;
            while self.ready_servers().await? > before {
                async_std::task::sleep(CHURN_POLL_INTERVAL).await;
            }
            async_std::task::sleep(CHURN_GAP.saturating_sub(started.elapsed())).await;
        }
        times.sort_by(f64::total_cmp);
        Ok(times)
    }

    async fn ready_servers(&self) -> BenchResult<u32> {
        let admin = self.fleet.daemons[0].admin_addr;
        let response = self.request(admin, "GET", "/v1/status", &[]).await?;
        let status: FleetStatus =
            serde_json::from_slice(&response.body).change_context(BenchError::Unexpected)?;
        Ok(status
            .domains
            .iter()
            .map(|domain| domain.ready_servers)
            .sum())
    }

    async fn metrics(&self, daemon: &DaemonPlan) -> BenchResult<String> {
        let response = self
            .request(daemon.admin_addr, "GET", "/metrics", &[])
            .await?;
        String::from_utf8(response.body).change_context(BenchError::Unexpected)
    }

    /// Returns the resource usage of each daemon.
    pub(crate) async fn usages(&self) -> BenchResult<Vec<Usage>> {
        let mut usages = Vec::new();
        for daemon in &self.fleet.daemons {
            let text = self.metrics(daemon).await?;
            let sum = |direction: &str| {
                let names = ["control", "consensus"];
                let value = |name: &&str| {
                    metric_value(
                        &text,
                        &format!("foxtailgauge_{name}_{direction}_bytes_total"),
                    )
                };
                names.iter().map(value).sum()
            };
            let (cpu_seconds, resident_mb) = process_usage(daemon.pid)?;
            usages.push(Usage {
                sent_bytes: sum("sent"),
                received_bytes: sum("received"),
                cpu_seconds,
                resident_mb,
                subscribers: metric_value(&text, "foxtailgauge_subscribers "),
            });
        }
        Ok(usages)
    }

    /// Returns the control payload bytes sent by all daemons, by kind.
    pub(crate) async fn payload_bytes(&self) -> BenchResult<BTreeMap<String, f64>> {
        let mut totals = BTreeMap::new();
        for daemon in &self.fleet.daemons {
            for line in self.metrics(daemon).await?.lines() {
                let prefix = "foxtailgauge_control_payload_bytes_total{direction=\"sent\",kind=\"";
                let Some((kind, value)) = line
                    .strip_prefix(prefix)
                    .and_then(|rest| rest.split_once("\"} "))
                else {
                    continue;
                };
                let bytes: f64 = value.parse().unwrap_or(0.0);
                *totals.entry(kind.to_owned()).or_insert(0.0) += bytes;
            }
        }
        Ok(totals)
    }
}

fn metric_value(text: &str, name: &str) -> f64 {
    let value = |line: &str| line.strip_prefix(name)?.trim().parse().ok();
    text.lines().find_map(value).unwrap_or(0.0)
}

/// Returns the processor time in seconds and the resident memory in MB of a process.
fn process_usage(pid: u32) -> BenchResult<(f64, f64)> {
    let read = |file: &str| {
        let path = PathBuf::from(format!("/proc/{pid}/{file}"));
        std::fs::read_to_string(&path).change_context(BenchError::File(path))
    };
    let stat = read("stat")?;
    // The command name may contain spaces, so fields are counted after it: utime and stime are the
    // 12th and 13th.
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let status = read("status")?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kb =
        resident.and_then(|text| text.trim().strip_suffix(" kB")?.parse::<f64>().ok());
    Ok((
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
        resident_kb.unwrap_or(0.0) / 1024.0,
    ))
}
