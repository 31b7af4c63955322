//! Operations on a started fleet: recording its process ids and waiting until it is ready.

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

/// Interval between polls of a daemon's state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a daemon's response.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Arguments of `pids`.
#[derive(Debug, Args)]
pub struct PidsArguments {
    /// Directory of the fleet.
    #[arg(long)]
    dir: PathBuf,
}

/// Arguments of `ready`.
#[derive(Debug, Args)]
pub struct ReadyArguments {
    /// Directory of the fleet.
    #[arg(long)]
    dir: PathBuf,
    /// Maximum time to wait, in seconds.
    #[arg(long, default_value_t = 60)]
    timeout_s: u64,
    /// Minimum configuration version in force on every daemon.
    #[arg(long, default_value_t = 0)]
    version: u64,
}

/// Reads `fleet.json` from the directory of a fleet.
pub fn read_fleet(dir: &std::path::Path) -> BenchResult<Fleet> {
    read_json(&dir.join("fleet.json"))
}

/// Copies the process ids from `pids.tsv` (name, tab, id) to `fleet.json`.
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

/// Waits until every daemon sees all daemons of the fleet as live, has had contact with a quorum
/// of the replicas and has the requested version in force.
pub async fn wait_ready(arguments: &ReadyArguments) -> BenchResult<()> {
    let fleet = read_fleet(&arguments.dir)?;
    let token = std::fs::read_to_string(&fleet.token_file)
        .change_context_lazy(|| BenchError::File(fleet.token_file.clone()))?;
    let deadline = Instant::now() + Duration::from_secs(arguments.timeout_s);
    let expected = u32::try_from(fleet.daemons.len()).unwrap_or(u32::MAX);
    for daemon in &fleet.daemons {
        loop {
            let state = fetch_local_state(daemon.admin_addr, &token).await;
            let is_ready = state.as_ref().is_some_and(|state| {
                state.live_daemons >= expected
                    && state.quorum_age_ms.is_some()
                    && state.version >= arguments.version
            });
            if is_ready {
                break;
            }
            if Instant::now() > deadline {
                eprintln!("daemon {} is not ready: {state:?}", daemon.name);
                return Err(Report::new(BenchError::TimedOut));
            }
            async_std::task::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Fetches the local state of one daemon; `None` if the request fails or the response is invalid.
pub async fn fetch_local_state(admin: SocketAddr, token: &str) -> Option<LocalReply> {
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
    let exchange = fetch(admin, request, MAX_RESPONSE_BYTES);
    let response = async_std::future::timeout(Duration::from_secs(2), exchange).await;
    serde_json::from_slice(&response.ok()?.ok()?.body).ok()
}
