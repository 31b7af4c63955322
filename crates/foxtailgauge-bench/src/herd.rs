//! Measures a thundering herd: the simultaneous restart of all daemons except the replicas.

use crate::fleet::read_fleet;
use crate::fleet_client::{FleetClient, SETTLE_TIME};
use crate::fleet_log::{time_now_ms, wait_until_in_force};
use crate::json_file::{BenchError, BenchResult};
use crate::plan::DaemonPlan;
use clap::Args;
use error_stack::{Report, ResultExt};
use serde::Serialize;
use std::path::PathBuf;
use std::time::Instant;

/// Arguments of `herd`.
#[derive(Clone, Debug, Args)]
pub struct HerdArguments {
    /// Directory of the fleet.
    #[arg(long)]
    dir: PathBuf,
    /// Script that restarts a process of the fleet when run as `SCRIPT start NAME`.
    #[arg(long)]
    script: PathBuf,
}

/// Result of the measurement.
#[derive(Debug, Serialize)]
struct HerdResult {
    label: &'static str,
    restarted: usize,
    /// Time from the start of the first daemon until the last one was started.
    starting_ms: f64,
    /// Time from the start of the last daemon until the version was in force on all of them.
    held_after_ms: f64,
    /// Maximum number of daemons on which the version came into force within one second.
    max_holders_per_second: usize,
}

/// Kills all daemons except the replicas, restarts them and measures the time until the version is
/// in force on all of them.
pub async fn run(arguments: &HerdArguments) -> BenchResult<()> {
    let fleet = read_fleet(&arguments.dir)?;
    let client = FleetClient::new(&fleet)?;
    client.prepare(0).await?;
    async_std::task::sleep(SETTLE_TIME).await;
    let herd: Vec<&DaemonPlan> = fleet
        .daemons
        .iter()
        .filter(|daemon| !daemon.replica)
        .collect();
    let mut log_sizes = Vec::new();
    for daemon in &herd {
        let log = arguments.dir.join(format!("{}.log", daemon.name));
        log_sizes.push(
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
    let last_start_ms = time_now_ms();
    let mut in_force = Vec::new();
    for (daemon, log_size) in herd.iter().zip(log_sizes) {
        in_force.push(
            wait_until_in_force(
                &arguments.dir.join(format!("{}.log", daemon.name)),
                log_size,
            )
            .await?,
        );
    }
    in_force.sort_by(f64::total_cmp);
    let count_within_second = |from: &f64| {
        in_force
            .iter()
            .filter(|at| (*from..*from + 1000.0).contains(*at))
            .count()
    };
    let result = HerdResult {
        label: "herd",
        restarted: herd.len(),
        starting_ms,
        held_after_ms: in_force.last().copied().unwrap_or(f64::NAN) - last_start_ms,
        max_holders_per_second: in_force.iter().map(count_within_second).max().unwrap_or(0),
    };
    println!(
        "{}",
        serde_json::to_string(&result).change_context(BenchError::Unexpected)?
    );
    Ok(())
}

fn run_command(program: &str, arguments: &[&str]) -> BenchResult<()> {
    let status = std::process::Command::new(program)
        .args(arguments)
        .status()
        .change_context(BenchError::Unexpected)?;
    status
        .success()
        .then_some(())
        .ok_or_else(|| Report::new(BenchError::Unexpected))
}
