//! Measures a running fleet: convergence from its logs, control bytes from its metrics, processor
//! time and memory from the process table.

use crate::fleet::read_fleet;
use crate::fleet_client::{FleetClient, Usage, SETTLE};
use crate::fleet_log::convergence_ms;
use crate::json_file::{BenchError, BenchResult};
use crate::plan::Fleet;
use clap::Args;
use error_stack::ResultExt;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

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
    /// Mean idle bytes a second of daemons with the same number of subscribers.
    idle_bytes_by_subscribers: BTreeMap<u64, f64>,
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
    let client = FleetClient::new(&fleet)?;
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
        idle_bytes_by_subscribers: by_subscribers(&before, &idle, idle_seconds),
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
        serde_json::to_string(&result).change_context(BenchError::Unexpected)?
    );
    Ok(())
}

fn by_subscribers(before: &[Usage], idle: &[Usage], seconds: f64) -> BTreeMap<u64, f64> {
    let mut rates: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for (a, b) in before.iter().zip(idle) {
        let bytes = b.sent_bytes + b.received_bytes - a.sent_bytes - a.received_bytes;
        rates
            .entry(b.subscribers as u64)
            .or_default()
            .push(bytes / seconds);
    }
    let mean = |rates: Vec<f64>| rates.iter().sum::<f64>() / rates.len() as f64;
    rates
        .into_iter()
        .map(|(subscribers, rates)| (subscribers, mean(rates)))
        .collect()
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
