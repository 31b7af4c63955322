//! Measures a running fleet: convergence from its logs, control bytes from its metrics, processor
//! time and memory from the process table.

use crate::fleet::read_fleet;
use crate::json_file::{BenchError, BenchResult};
use crate::plan::{DaemonPlan, Fleet};
use clap::Args;
use error_stack::{Report, ResultExt};
use foxtailgauge_core::{ChangeAnswer, ConfigVersion};
use foxtailgauge_wire::api::{ChangeBody, ChangeReply};
use foxtailgauge_wire::http::{fetch, HttpAnswer, HttpRequest};
use foxtailgauge_wire::FleetStatus;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Number of the log event "change accepted".
const EVENT_ACCEPTED: u64 = 3001;
/// Number of the log event "configuration version in force".
const EVENT_HELD: u64 = 3003;
/// Clock ticks a second in the process table.
const TICKS_PER_SECOND: f64 = 100.0;
/// Time for one request to a daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);
/// Time for the last version to reach all daemons' logs.
const SETTLE: Duration = Duration::from_secs(3);
/// Interval at which the status is asked for an announcement.
const CHURN_POLL: Duration = Duration::from_millis(2);
/// Time between announcements.
const CHURN_GAP: Duration = Duration::from_millis(250);
/// Largest answer.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// Arguments of `measure`.
#[derive(Clone, Debug, Args)]
pub struct MeasureArguments {
    /// Folder of the fleet.
    #[arg(long)]
    dir: PathBuf,
    /// Time without changes, in seconds.
    #[arg(long, default_value_t = 10)]
    idle_s: u64,
    /// Changes.
    #[arg(long, default_value_t = 20)]
    changes: u64,
    /// Time between changes, in milliseconds.
    #[arg(long, default_value_t = 300)]
    gap_ms: u64,
    /// Time before the idle window, in seconds.
    #[arg(long, default_value_t = 3)]
    settle_s: u64,
    /// Backend servers that are announced and removed one after the other, 4 a second.
    #[arg(long, default_value_t = 0)]
    churn: u64,
    /// Services that the changes configure besides the deployment's own.
    #[arg(long, default_value_t = 0)]
    services: u64,
    /// Words that name the run in the result.
    #[arg(long, default_value = "")]
    label: String,
}

/// What one daemon had used up at a point in time.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    sent_bytes: f64,
    received_bytes: f64,
    cpu_seconds: f64,
    resident_mb: f64,
}

/// Mean and maximum over daemons.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Spread {
    mean: f64,
    max: f64,
}

/// What a run measured.
#[derive(Debug, Serialize)]
struct MeasureResult {
    label: String,
    daemons: usize,
    failure_domains: usize,
    services: u64,
    idle_bytes_per_second: Spread,
    idle_cpu_percent: Spread,
    resident_mb: Spread,
    changes: usize,
    convergence_p50_ms: f64,
    convergence_p99_ms: f64,
    convergence_max_ms: f64,
    /// Bytes sent by the daemon that sent most, for each change, above its idle rate.
    source_bytes_per_change: f64,
    /// Bytes sent by all daemons, for each change, above the idle rate.
    fleet_bytes_per_change: f64,
    /// Control payload bytes sent by all daemons over the run, by kind.
    payload_bytes: BTreeMap<String, f64>,
    /// Bytes sent and received by a daemon while backend servers come and go.
    churn_bytes_per_second: Spread,
    /// Time from an announcement until the root of the tree knows it.
    takeover_p50_ms: f64,
    takeover_max_ms: f64,
}

/// Runs the measurement and prints one JSON line.
pub async fn run(arguments: &MeasureArguments) -> BenchResult<()> {
    let fleet = read_fleet(&arguments.dir)?;
    let client = Client::new(&fleet)?;
    let mut revision = client.prepare(arguments.services).await?;
    async_std::task::sleep(Duration::from_secs(arguments.settle_s)).await;
    let before = client.usages().await?;
    let started = Instant::now();
    async_std::task::sleep(Duration::from_secs(arguments.idle_s)).await;
    let idle = client.usages().await?;
    let idle_seconds = started.elapsed().as_secs_f64();
    let payloads = client.payloads().await?;
    let burst = Instant::now();
    let mut versions = Vec::new();
    for number in 0..arguments.changes {
        let text = client.text(arguments.services, Some(number));
        versions.push(client.change(revision, &text).await?);
        revision += 1;
        async_std::task::sleep(Duration::from_millis(arguments.gap_ms)).await;
    }
    async_std::task::sleep(SETTLE).await;
    let after = client.usages().await?;
    let burst_seconds = burst.elapsed().as_secs_f64();
    let payloads = difference(&client.payloads().await?, &payloads);
    let convergence = convergence_ms(&arguments.dir, &fleet, &versions)?;
    let churn_start = client.usages().await?;
    let churn_started = Instant::now();
    let takeover = client.churn(arguments.churn).await?;
    let churn_end = client.usages().await?;
    let churn_seconds = churn_started.elapsed().as_secs_f64();
    let result = MeasureResult {
        label: arguments.label.clone(),
        daemons: fleet.daemons.len(),
        failure_domains: domains(&fleet),
        services: arguments.services,
        idle_bytes_per_second: spread(&before, &idle, |a, b| {
            (b.sent_bytes + b.received_bytes - a.sent_bytes - a.received_bytes) / idle_seconds
        }),
        idle_cpu_percent: spread(&before, &idle, |a, b| {
            (b.cpu_seconds - a.cpu_seconds) / idle_seconds * 100.0
        }),
        resident_mb: spread(&before, &after, |_, b| b.resident_mb),
        changes: convergence.len(),
        convergence_p50_ms: quantile(&convergence, 0.5),
        convergence_p99_ms: quantile(&convergence, 0.99),
        convergence_max_ms: quantile(&convergence, 1.0),
        source_bytes_per_change: above_idle(&before, &idle, &after, idle_seconds, burst_seconds)
            .into_iter()
            .fold(0.0, f64::max)
            / arguments.changes.max(1) as f64,
        fleet_bytes_per_change: above_idle(&before, &idle, &after, idle_seconds, burst_seconds)
            .into_iter()
            .sum::<f64>()
            / arguments.changes.max(1) as f64,
        payload_bytes: payloads,
        churn_bytes_per_second: spread(&churn_start, &churn_end, |a, b| {
            (b.sent_bytes + b.received_bytes - a.sent_bytes - a.received_bytes) / churn_seconds
        }),
        takeover_p50_ms: quantile(&takeover, 0.5),
        takeover_max_ms: quantile(&takeover, 1.0),
    };
    println!(
        "{}",
        serde_json::to_string(&result).change_context(BenchError::Plan)?
    );
    Ok(())
}

/// Arguments of `herd`.
#[derive(Clone, Debug, Args)]
pub struct HerdArguments {
    /// Folder of the fleet.
    #[arg(long)]
    dir: PathBuf,
    /// Script that starts a process of the fleet again by `SCRIPT start NAME`.
    #[arg(long)]
    script: PathBuf,
}

/// What a herd of restarts measured.
#[derive(Debug, Serialize)]
struct HerdResult {
    label: &'static str,
    restarted: usize,
    /// From the first restart until the last daemon was started.
    starting_ms: f64,
    /// From the last start until the last daemon held the version.
    held_after_ms: f64,
    /// Most new holders within one second.
    max_holders_per_second: usize,
}

/// Kills all daemons but the replicas, starts them again and measures until all hold the version.
pub async fn herd(arguments: &HerdArguments) -> BenchResult<()> {
    let fleet = read_fleet(&arguments.dir)?;
    let client = Client::new(&fleet)?;
    client.prepare(0).await?;
    async_std::task::sleep(SETTLE).await;
    let herd: Vec<&DaemonPlan> = fleet
        .daemons
        .iter()
        .filter(|daemon| !daemon.replica)
        .collect();
    let mut sizes = Vec::new();
    for daemon in &herd {
        let log = arguments.dir.join(format!("{}.log", daemon.name));
        sizes.push(
            std::fs::metadata(&log)
                .change_context(BenchError::File(log))?
                .len(),
        );
        run_command("kill", &["-KILL", &daemon.pid.to_string()])?;
    }
    let started = Instant::now();
    for daemon in &herd {
        run_command(
            &arguments.script.to_string_lossy(),
            &["start", &daemon.name],
        )?;
    }
    let starting_ms = started.elapsed().as_secs_f64() * 1000.0;
    let end_of_start = time_now_ms();
    let mut held = Vec::new();
    for (daemon, size) in herd.iter().zip(sizes) {
        held.push(wait_held(&arguments.dir.join(format!("{}.log", daemon.name)), size).await?);
    }
    held.sort_by(f64::total_cmp);
    let within = |from: &f64| {
        held.iter()
            .filter(|at| (*from..*from + 1000.0).contains(*at))
            .count()
    };
    let result = HerdResult {
        label: "herd",
        restarted: herd.len(),
        starting_ms,
        held_after_ms: held.last().copied().unwrap_or(f64::NAN) - end_of_start,
        max_holders_per_second: held.iter().map(within).max().unwrap_or(0),
    };
    println!(
        "{}",
        serde_json::to_string(&result).change_context(BenchError::Plan)?
    );
    Ok(())
}

fn run_command(program: &str, arguments: &[&str]) -> BenchResult<()> {
    let status = std::process::Command::new(program)
        .args(arguments)
        .status()
        .change_context(BenchError::Plan)?;
    status
        .success()
        .then_some(())
        .ok_or_else(|| Report::new(BenchError::Plan))
}

/// Milliseconds since midnight, as in the logs.
fn time_now_ms() -> f64 {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    (since.as_millis() % 86_400_000) as f64
}

/// Waits until a log tells, behind its first `size` bytes, of a version in force; returns when.
async fn wait_held(log: &Path, size: u64) -> BenchResult<f64> {
    let end = Instant::now() + Duration::from_secs(60);
    while Instant::now() < end {
        let text = std::fs::read_to_string(log).change_context(BenchError::File(log.to_owned()))?;
        let lines = text.get(size as usize..).unwrap_or("").lines();
        let held = lines
            .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
            .filter(|line| line["event"].as_u64() == Some(EVENT_HELD))
            .find_map(|line| line["ts"].as_str().and_then(time_of_day_ms));
        if let Some(at_ms) = held {
            return Ok(at_ms);
        }
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
    Err(Report::new(BenchError::TimedOut))
}

fn domains(fleet: &Fleet) -> usize {
    let names: std::collections::BTreeSet<&String> = fleet
        .daemons
        .iter()
        .map(|daemon| &daemon.failure_domain)
        .collect();
    names.len()
}

fn spread(from: &[Usage], to: &[Usage], value: impl Fn(&Usage, &Usage) -> f64) -> Spread {
    let values: Vec<f64> = from.iter().zip(to).map(|(a, b)| value(a, b)).collect();
    Spread {
        mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
        max: values.into_iter().fold(0.0, f64::max),
    }
}

/// Bytes that each daemon sent in the second window, beyond what its rate in the first one explains.
fn above_idle(
    before: &[Usage],
    idle: &[Usage],
    after: &[Usage],
    idle_seconds: f64,
    burst_seconds: f64,
) -> Vec<f64> {
    let rates = before
        .iter()
        .zip(idle)
        .map(|(a, b)| (b.sent_bytes - a.sent_bytes) / idle_seconds);
    let sent = idle
        .iter()
        .zip(after)
        .map(|(a, b)| b.sent_bytes - a.sent_bytes);
    rates
        .zip(sent)
        .map(|(rate, sent)| (sent - rate * burst_seconds).max(0.0))
        .collect()
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    let index = ((sorted.len() - 1) as f64 * q).round() as usize;
    sorted[index]
}

fn difference(
    after: &BTreeMap<String, f64>,
    before: &BTreeMap<String, f64>,
) -> BTreeMap<String, f64> {
    let change = |(kind, bytes): (&String, &f64)| {
        (
            kind.clone(),
            bytes - before.get(kind).copied().unwrap_or(0.0),
        )
    };
    after.iter().map(change).collect()
}

struct Client<'a> {
    fleet: &'a Fleet,
    token: String,
    config: String,
}

impl<'a> Client<'a> {
    fn new(fleet: &'a Fleet) -> BenchResult<Self> {
        let read = |path: &Path| {
            std::fs::read_to_string(path).change_context_lazy(|| BenchError::File(path.to_owned()))
        };
        Ok(Client {
            fleet,
            token: read(&fleet.token_file)?,
            config: read(&fleet.config_file)?,
        })
    }

    /// The deployment's text with more services; `number` changes one route.
    fn text(&self, services: u64, number: Option<u64>) -> String {
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

    /// Brings the fleet to the text that the changes start from; returns the team's revision.
    async fn prepare(&self, services: u64) -> BenchResult<u64> {
        let text = self.text(services, None);
        match self.send_change(0, &text).await? {
            ChangeAnswer::Accepted { revision, .. } => Ok(revision),
            ChangeAnswer::Conflict { current_revision } => {
                self.change(current_revision, &text).await?;
                Ok(current_revision + 1)
            }
            _ => Err(Report::new(BenchError::Plan)),
        }
    }

    async fn change(&self, revision: u64, text: &str) -> BenchResult<ConfigVersion> {
        match self.send_change(revision, text).await? {
            ChangeAnswer::Accepted { version, .. } => Ok(version),
            _ => Err(Report::new(BenchError::Plan)),
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
        let bytes = serde_json::to_vec(&body).change_context(BenchError::Plan)?;
        let target = format!("/v1/teams/{}/config", self.fleet.team);
        let admin = self.fleet.daemons[0].admin_addr;
        let answer = self.request(admin, "PUT", &target, &bytes).await?;
        let reply: ChangeReply =
            serde_json::from_slice(&answer.body).change_context(BenchError::Plan)?;
        Ok(reply.answer)
    }

    async fn request(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> BenchResult<HttpAnswer> {
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
        let exchange = fetch(addr, request, ANSWER_LIMIT_BYTES);
        match async_std::future::timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(answer) => answer.change_context(BenchError::Network),
            Err(_) => Err(Report::new(BenchError::TimedOut)),
        }
    }

    /// Announces and removes backend servers at the daemons in turn; returns, sorted, the times
    /// until the status told of each.
    async fn churn(&self, count: u64) -> BenchResult<Vec<f64>> {
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
                async_std::task::sleep(CHURN_POLL).await;
            }
            times.push(started.elapsed().as_secs_f64() * 1000.0);
            self.request(daemon.announce_addr, "DELETE", &target, &[])
                .await?;
            while self.ready_servers().await? > before {
                async_std::task::sleep(CHURN_POLL).await;
            }
            async_std::task::sleep(CHURN_GAP.saturating_sub(started.elapsed())).await;
        }
        times.sort_by(f64::total_cmp);
        Ok(times)
    }

    async fn ready_servers(&self) -> BenchResult<u32> {
        let admin = self.fleet.daemons[0].admin_addr;
        let answer = self.request(admin, "GET", "/v1/status", &[]).await?;
        let status: FleetStatus =
            serde_json::from_slice(&answer.body).change_context(BenchError::Plan)?;
        Ok(status
            .domains
            .iter()
            .map(|domain| domain.ready_servers)
            .sum())
    }

    async fn metrics(&self, daemon: &DaemonPlan) -> BenchResult<String> {
        let answer = self
            .request(daemon.admin_addr, "GET", "/metrics", &[])
            .await?;
        String::from_utf8(answer.body).change_context(BenchError::Plan)
    }

    async fn usages(&self) -> BenchResult<Vec<Usage>> {
        let mut usages = Vec::new();
        for daemon in &self.fleet.daemons {
            let text = self.metrics(daemon).await?;
            let sum = |direction: &str| {
                let names = ["control", "consensus"];
                let value = |name: &&str| {
                    metric(
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
            });
        }
        Ok(usages)
    }

    /// Control payload bytes sent by all daemons, by kind.
    async fn payloads(&self) -> BenchResult<BTreeMap<String, f64>> {
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

fn metric(text: &str, name: &str) -> f64 {
    let value = |line: &str| line.strip_prefix(name)?.trim().parse().ok();
    text.lines().find_map(value).unwrap_or(0.0)
}

/// Processor time in seconds and resident memory in MB of a process.
fn process_usage(pid: u32) -> BenchResult<(f64, f64)> {
    let read = |file: &str| {
        let path = PathBuf::from(format!("/proc/{pid}/{file}"));
        std::fs::read_to_string(&path).change_context(BenchError::File(path))
    };
    let stat = read("stat")?;
    // Fields after the command name, which may hold blanks: utime and stime are the 12th and 13th.
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

/// For each version, the time from its acceptance until it was in force on the last daemon, sorted.
///
/// A daemon that skipped a version holds it with the next one.
fn convergence_ms(dir: &Path, fleet: &Fleet, versions: &[ConfigVersion]) -> BenchResult<Vec<f64>> {
    let mut accepted: BTreeMap<ConfigVersion, f64> = BTreeMap::new();
    let mut held: Vec<BTreeMap<ConfigVersion, f64>> = Vec::new();
    for daemon in &fleet.daemons {
        let path = dir.join(format!("{}.log", daemon.name));
        let text = std::fs::read_to_string(&path)
            .change_context_lazy(|| BenchError::File(path.clone()))?;
        let mut own = BTreeMap::new();
        for line in text.lines() {
            let Ok(line) = serde_json::from_str::<serde_json::Value>(line) else {
                continue;
            };
            let Some(at_ms) = line["ts"].as_str().and_then(time_of_day_ms) else {
                continue;
            };
            match line["event"].as_u64() {
                Some(EVENT_HELD) => {
                    own.insert(line["version"].as_u64().unwrap_or(0), at_ms);
                }
                Some(EVENT_ACCEPTED) => {
                    if let Some(version) = line["answer"].as_str().and_then(version_of) {
                        accepted.insert(version, at_ms);
                    }
                }
                _ => {}
            }
        }
        held.push(own);
    }
    let mut times = Vec::new();
    for version in versions {
        let Some(accepted_ms) = accepted.get(version) else {
            continue;
        };
        let since = |own: &BTreeMap<ConfigVersion, f64>| {
            own.range(version..)
                .next()
                .map(|(_, at_ms)| at_ms - accepted_ms)
        };
        let each: Option<Vec<f64>> = held.iter().map(since).collect();
        // A version that some daemon never held has not converged.
        let each = each.ok_or_else(|| Report::new(BenchError::TimedOut))?;
        times.push(each.into_iter().fold(0.0, f64::max));
    }
    times.sort_by(f64::total_cmp);
    Ok(times)
}

/// Milliseconds since midnight of a time such as `2026-12-03T22:43:24.084361525Z`.
fn time_of_day_ms(text: &str) -> Option<f64> {
    let time = text.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    let (hours, minutes, seconds) = (next()?, next()?, next()?);
    Some(((hours * 60.0 + minutes) * 60.0 + seconds) * 1000.0)
}

/// The version in `Accepted { version: 1, revision: 1 }`.
fn version_of(answer: &str) -> Option<ConfigVersion> {
    let rest = answer.strip_prefix("Accepted { version: ")?;
    rest.split(',').next()?.parse().ok()
}
