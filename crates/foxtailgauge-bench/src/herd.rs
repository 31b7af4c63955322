//! Restarts all daemons but the replicas at once.

use crate::fleet::read_fleet;
use crate::fleet_client::{FleetClient, SETTLE};
use crate::fleet_log::{time_now_ms, wait_held};
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
pub async fn run(arguments: &HerdArguments) -> BenchResult<()> {
    let fleet = read_fleet(&arguments.dir)?;
    let client = FleetClient::new(&fleet)?;
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
