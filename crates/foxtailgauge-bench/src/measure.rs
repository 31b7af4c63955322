//! Measures a running fleet: convergence from its logs, control traffic from its metrics, processor
//! time and memory from the process table.

use crate::fleet::read_fleet;
use crate::fleet_client::{FleetClient, Usage, SETTLE_TIME};
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
    /// Directory of the fleet.
    #[arg(long)]
    dir: PathBuf,
    /// Duration of the idle window, in seconds.
    #[arg(long, default_value_t = 10)]
    idle_s: u64,
    /// Number of configuration changes.
    #[arg(long, default_value_t = 20)]
    changes: u64,
    /// Pause after each change, in milliseconds.
    #[arg(long, default_value_t = 300)]
    gap_ms: u64,
    /// Time to wait before the idle window, in seconds.
    #[arg(long, default_value_t = 3)]
    settle_s: u64,
    /// Number of backend servers to announce and remove one after the other, at 4 per second.
    #[arg(long, default_value_t = 0)]
    churn: u64,
    /// Number of services to configure in addition to those of the deployment.
    #[arg(long, default_value_t = 0)]
    services: u64,
    /// Label of the run in the result.
    #[arg(long, default_value = "")]
    label: String,
}

/// Mean and maximum over the daemons.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct MeanMax {
    mean: f64,
    max: f64,
}

/// Result of the measurement.
#[derive(Debug, Serialize)]
struct MeasureResult {
    label: String,
    daemons: usize,
    failure_domains: usize,
    services: u64,
    idle_bytes_per_second: MeanMax,
    idle_cpu_percent: MeanMax,
    resident_mb: MeanMax,
    /// Mean idle bytes per second of the daemons, by their number of subscribers.
    idle_bytes_by_subscribers: BTreeMap<u64, f64>,
    changes: usize,
    convergence_p50_ms: f64,
    convergence_p99_ms: f64,
    convergence_max_ms: f64,
    /// Bytes per change sent by the daemon that sent most, in excess of its idle rate.
    source_bytes_per_change: f64,
    /// Bytes per change sent by all daemons, in excess of their idle rates.
    fleet_bytes_per_change: f64,
    /// Control payload bytes sent by all daemons during the changes, by kind.
    payload_bytes: BTreeMap<String, f64>,
    /// Bytes sent and received per daemon while backend servers are announced and removed.
    churn_bytes_per_second: MeanMax,
    /// Time from an announcement until it appears in the status of the daemon at the root of the
    /// distribution tree.
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
    let sent_payload_bytes = client.payload_bytes().await?;
    let change_started = Instant::now();
    let mut versions = Vec::new();
    for number in 0..arguments.changes {
        let text = client.config_text(arguments.services, Some(number));
        versions.push(client.change(revision, &text).await?);
        revision += 1;
        async_std::task::sleep(Duration::from_millis(arguments.gap_ms)).await;
    }
    async_std::task::sleep(SETTLE_TIME).await;
    let after = client.usages().await?;
    let change_seconds = change_started.elapsed().as_secs_f64();
    let sent_payload_bytes = subtract(&client.payload_bytes().await?, &sent_payload_bytes);
    let convergence_times_ms = convergence_ms(&arguments.dir, &fleet, &versions)?;
    let churn_start = client.usages().await?;
    let churn_started = Instant::now();
    let takeover_times_ms = client.churn(arguments.churn).await?;
    let churn_end = client.usages().await?;
    let churn_seconds = churn_started.elapsed().as_secs_f64();
    let result = MeasureResult {
        label: arguments.label.clone(),
        daemons: fleet.daemons.len(),
        failure_domains: count_failure_domains(&fleet),
        services: arguments.services,
        idle_bytes_per_second: mean_max(&before, &idle, |a, b| {
            (b.sent_bytes + b.received_bytes - a.sent_bytes - a.received_bytes) / idle_seconds
        }),
        idle_cpu_percent: mean_max(&before, &idle, |a, b| {
            (b.cpu_seconds - a.cpu_seconds) / idle_seconds * 100.0
        }),
        resident_mb: mean_max(&before, &after, |_, b| b.resident_mb),
        idle_bytes_by_subscribers: idle_rate_by_subscribers(&before, &idle, idle_seconds),
        changes: convergence_times_ms.len(),
        convergence_p50_ms: quantile(&convergence_times_ms, 0.5),
        convergence_p99_ms: quantile(&convergence_times_ms, 0.99),
        convergence_max_ms: quantile(&convergence_times_ms, 1.0),
        source_bytes_per_change: excess_over_idle(
            &before,
            &idle,
            &after,
            idle_seconds,
            change_seconds,
        )
        .into_iter()
        .fold(0.0, f64::max)
            / arguments.changes.max(1) as f64,
        fleet_bytes_per_change: excess_over_idle(
            &before,
            &idle,
            &after,
            idle_seconds,
            change_seconds,
        )
        .into_iter()
        .sum::<f64>()
            / arguments.changes.max(1) as f64,
        payload_bytes: sent_payload_bytes,
        churn_bytes_per_second: mean_max(&churn_start, &churn_end, |a, b| {
            (b.sent_bytes + b.received_bytes - a.sent_bytes - a.received_bytes) / churn_seconds
        }),
        takeover_p50_ms: quantile(&takeover_times_ms, 0.5),
        takeover_max_ms: quantile(&takeover_times_ms, 1.0),
    };
    println!(
        "{}",
        serde_json::to_string(&result).change_context(BenchError::Unexpected)?
    );
    Ok(())
}

fn idle_rate_by_subscribers(before: &[Usage], idle: &[Usage], seconds: f64) -> BTreeMap<u64, f64> {
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

fn count_failure_domains(fleet: &Fleet) -> usize {
    let names: std::collections::BTreeSet<&String> = fleet
        .daemons
        .iter()
        .map(|daemon| &daemon.failure_domain)
        .collect();
    names.len()
}

fn mean_max(from: &[Usage], to: &[Usage], value: impl Fn(&Usage, &Usage) -> f64) -> MeanMax {
    let values: Vec<f64> = from.iter().zip(to).map(|(a, b)| value(a, b)).collect();
    MeanMax {
        mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
        max: values.into_iter().fold(0.0, f64::max),
    }
}

/// Returns the bytes that each daemon sent in the change window in excess of its idle rate.
fn excess_over_idle(
    before: &[Usage],
    idle: &[Usage],
    after: &[Usage],
    idle_seconds: f64,
    change_seconds: f64,
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
        .map(|(rate, sent)| (sent - rate * change_seconds).max(0.0))
        .collect()
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    let index = ((sorted.len() - 1) as f64 * q).round() as usize;
    sorted[index]
}

fn subtract(
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
