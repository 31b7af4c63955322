//! What the daemons' logs tell: when versions were accepted and in force.

use crate::json_file::{BenchError, BenchResult};
use crate::plan::Fleet;
use error_stack::{Report, ResultExt};
use foxtailgauge_core::ConfigVersion;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// Number of the log event "change accepted".
const EVENT_ACCEPTED: u64 = 3001;
/// Number of the log event "configuration version in force".
const EVENT_HELD: u64 = 3003;
/// Time for a restarted daemon to hold a version.
const HOLD_LIMIT: Duration = Duration::from_secs(60);

/// For each version, the time from its acceptance until it was in force on the last daemon, sorted.
///
/// A daemon that skipped a version holds it with the next one.
pub(crate) fn convergence_ms(
    dir: &Path,
    fleet: &Fleet,
    versions: &[ConfigVersion],
) -> BenchResult<Vec<f64>> {
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

/// Milliseconds since midnight, as in the logs.
pub(crate) fn time_now_ms() -> f64 {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    (since.as_millis() % 86_400_000) as f64
}

/// Waits until a log tells, behind its first `size` bytes, of a version in force; returns when.
pub(crate) async fn wait_held(log: &Path, size: u64) -> BenchResult<f64> {
    let end = Instant::now() + HOLD_LIMIT;
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
