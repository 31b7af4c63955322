//! A started fleet: its process ids, and when it is ready.

use crate::json_file::{read_json, write_json, BenchError, BenchResult};
use crate::plan::Fleet;
use clap::Args;
use error_stack::{Report, ResultExt};
use foxtailgauge_wire::api::LocalReply;
use foxtailgauge_wire::http::{fetch, HttpRequest};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Interval at which daemons are asked.
const ASK_INTERVAL: Duration = Duration::from_millis(50);
/// Largest answer of a daemon.
const ANSWER_LIMIT_BYTES: usize = 1 << 20;

/// Arguments of `pids`.
#[derive(Debug, Args)]
pub struct PidsArguments {
    /// Folder of the fleet.
    #[arg(long)]
    dir: PathBuf,
}

/// Arguments of `ready`.
#[derive(Debug, Args)]
pub struct ReadyArguments {
    /// Folder of the fleet.
    #[arg(long)]
    dir: PathBuf,
    /// Longest time to wait, in seconds.
    #[arg(long, default_value_t = 60)]
    timeout_s: u64,
    /// Version that every daemon has to hold.
    #[arg(long, default_value_t = 0)]
    version: u64,
}

/// Reads the plan of a fleet.
pub fn read_fleet(dir: &std::path::Path) -> BenchResult<Fleet> {
    read_json(&dir.join("fleet.json"))
}

/// Enters the ids from `pids.tsv` (name, tab, id) into the plan.
pub fn record_pids(arguments: &PidsArguments) -> BenchResult<()> {
    let path = arguments.dir.join("pids.tsv");
    let text =
        std::fs::read_to_string(&path).change_context_lazy(|| BenchError::File(path.clone()))?;
    let pids: HashMap<&str, u32> = text
        .lines()
        .filter_map(|line| line.split_once('\t'))
        .filter_map(|(name, pid)| Some((name, pid.trim().parse().ok()?)))
        .collect();
    let pid = |name: &str| pids.get(name).copied().unwrap_or(0);
    let mut fleet = read_fleet(&arguments.dir)?;
    for daemon in &mut fleet.daemons {
        daemon.pid = pid(&daemon.name);
    }
    for server in &mut fleet.backend_servers {
        server.pid = pid(&server.name);
    }
    fleet.relay_pid = pid("relay");
    write_json(&arguments.dir.join("fleet.json"), &fleet)
}

/// Waits until every daemon knows as many daemons as there are, and holds the version.
pub async fn wait_ready(arguments: &ReadyArguments) -> BenchResult<()> {
    let fleet = read_fleet(&arguments.dir)?;
    let token = std::fs::read_to_string(&fleet.token_file)
        .change_context_lazy(|| BenchError::File(fleet.token_file.clone()))?;
    let end = Instant::now() + Duration::from_secs(arguments.timeout_s);
    let expected = u32::try_from(fleet.daemons.len()).unwrap_or(u32::MAX);
    for daemon in &fleet.daemons {
        loop {
            let local = local(daemon.admin_addr, &token).await;
            let is_ready = local.as_ref().is_some_and(|local| {
                local.live_daemons >= expected
                    && local.quorum_age_ms.is_some()
                    && local.version >= arguments.version
            });
            if is_ready {
                break;
            }
            if Instant::now() > end {
                eprintln!("{} is not ready: {local:?}", daemon.name);
                return Err(Report::new(BenchError::TimedOut));
            }
            async_std::task::sleep(ASK_INTERVAL).await;
        }
    }
    Ok(())
}

/// What one daemon holds.
pub async fn local(admin: SocketAddr, token: &str) -> Option<LocalReply> {
    let headers = [(
        "Authorization".to_owned(),
        format!("Bearer {}", token.trim()),
    )];
    let request = HttpRequest {
        method: "GET",
        target: "/v1/local",
        headers: &headers,
        body: &[],
    };
    let asking = fetch(admin, request, ANSWER_LIMIT_BYTES);
    let answer = async_std::future::timeout(Duration::from_secs(2), asking).await;
    serde_json::from_slice(&answer.ok()?.ok()?.body).ok()
}
