//! Extracts from the daemons' logs when configuration versions were accepted and came into force.

use crate::json_file::{BenchError, BenchResult};
use crate::plan::Fleet;
use error_stack::{Report, ResultExt};
use foxtailgauge_core::ConfigVersion;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// Number of the log event for an accepted change.
const EVENT_ACCEPTED: u64 = 3001;
/// Number of the log event for a configuration version that came into force.
const EVENT_IN_FORCE: u64 = 3003;
/// Time within which a restarted daemon must have a version in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);

/// For each version, the time in milliseconds from its acceptance until it was in force on the last
/// daemon; sorted by time.
///
/// A version that a daemon skipped counts as in force once a later one is.
pub(crate) fn convergence_ms(
    dir: &Path,
    fleet: &Fleet,
    versions: &[ConfigVersion],
) -> BenchResult<Vec<f64>> {
    let mut accepted: BTreeMap<ConfigVersion, f64> = BTreeMap::new();
    let mut in_force: Vec<BTreeMap<ConfigVersion, f64>> = Vec::new();
    for daemon in &fleet.daemons {
        let path = dir.join(format!("{}.log", daemon.name));
        let text = std::fs::read_to_string(&path)
            .change_context_lazy(|| BenchError::File(path.clone()))?;
        let mut in_force_at = BTreeMap::new();
        for line in text.lines() {
            let Ok(line) = serde_json::from_str::<serde_json::Value>(line) else {
                continue;
            };
            let Some(at_ms) = line["ts"].as_str().and_then(time_of_day_ms) else {
                continue;
            };
            match line["event"].as_u64() {
                Some(EVENT_IN_FORCE) => {
                    in_force_at.insert(line["version"].as_u64().unwrap_or(0), at_ms);
                }
                Some(EVENT_ACCEPTED) => {
                    if let Some(version) = line["answer"].as_str().and_then(parse_accepted_version)
                    {
                        accepted.insert(version, at_ms);
                    }
                }
                _ => {}
            }
        }
        in_force.push(in_force_at);
    }
    let mut times = Vec::new();
    for version in versions {
        let Some(accepted_ms) = accepted.get(version) else {
            continue;
        };
        let delay = |in_force_at: &BTreeMap<ConfigVersion, f64>| {
            in_force_at
                .range(version..)
                .next()
                .map(|(_, at_ms)| at_ms - accepted_ms)
        };
        let delays: Option<Vec<f64>> = in_force.iter().map(delay).collect();
        // A version has not converged if it never came into force on some daemon.
        let delays = delays.ok_or_else(|| Report::new(BenchError::TimedOut))?;
        times.push(delays.into_iter().fold(0.0, f64::max));
    }
    times.sort_by(f64::total_cmp);
    Ok(times)
}

/// Converts a timestamp such as `2026-12-03T22:43:24.084361525Z` to milliseconds since midnight.
fn time_of_day_ms(text: &str) -> Option<f64> {
    let time = text.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    let (hours, minutes, seconds) = (next()?, next()?, next()?);
    Some(((hours * 60.0 + minutes) * 60.0 + seconds) * 1000.0)
}

/// Parses the version from a logged answer such as `Accepted { version: 1, revision: 1 }`.
fn parse_accepted_version(answer: &str) -> Option<ConfigVersion> {
    let rest = answer.strip_prefix("Accepted { version: ")?;
    rest.split(',').next()?.parse().ok()
}

/// Current time in milliseconds since midnight UTC, comparable to the times in the logs.
pub(crate) fn time_now_ms() -> f64 {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    (since_epoch.as_millis() % 86_400_000) as f64
}

/// Waits for a version to come into force according to the part of a log after its first `offset`
/// bytes; returns the time of the event in milliseconds since midnight.
pub(crate) async fn wait_until_in_force(log: &Path, offset: u64) -> BenchResult<f64> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    while Instant::now() < deadline {
        let text = std::fs::read_to_string(log).change_context(BenchError::File(log.to_owned()))?;
        let lines = text.get(offset as usize..).unwrap_or("").lines();
        let in_force = lines
            .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
            .filter(|line| line["event"].as_u64() == Some(EVENT_IN_FORCE))
            .find_map(|line| line["ts"].as_str().and_then(time_of_day_ms));
        if let Some(at_ms) = in_force {
            return Ok(at_ms);
        }
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
    Err(Report::new(BenchError::TimedOut))
}
