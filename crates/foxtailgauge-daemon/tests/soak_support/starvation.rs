//! Times for which daemons' threads stood still: without a processor, in an uninterruptible wait, as for a disk, or on a
//! processor that the machine's host had taken away.

use super::run::{lock, Soak};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Shorter waits are not recorded.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Unit of the times in `/proc/stat`.
const TICK: Duration = Duration::from_millis(10);

/// What a thread waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitKind {
    Processor,
    /// State `D` in all samples of the wait.
    Uninterruptible,
    /// The time of one processor in one sample; whose threads it had is not known.
    Stolen,
}

/// A time until `at` for which a thread of a daemon stood still.
#[derive(Clone, Copy, Debug)]
pub struct ThreadWait {
    pub daemon: usize,
    pub kind: WaitKind,
    pub at: Instant,
    pub wait: Duration,
}

/// The longest wait of a daemon's threads between two times.
pub fn longest(
    waits: &[ThreadWait],
    kind: WaitKind,
    daemon: usize,
    from: Instant,
    until: Instant,
) -> Duration {
    let is_within = |wait: &&ThreadWait| {
        let is_in_time = wait.at >= from && wait.at <= until + 2 * SAMPLE_INTERVAL;
        wait.daemon == daemon && wait.kind == kind && is_in_time
    };
    let waits = waits.iter().filter(is_within).map(|wait| wait.wait);
    waits.max().unwrap_or_default()
}

/// Passes the waits of the threads of daemons to `record` until `is_done`. `pid` is a daemon's process, if it runs.
pub fn watch(
    daemons: usize,
    pid: impl Fn(usize) -> Option<u32>,
    is_done: impl Fn() -> bool,
    record: impl Fn(ThreadWait),
) {
    let mut totals = BTreeMap::new();
    let mut blocked_since = BTreeMap::new();
    let mut stolen_before = stolen_times();
    while !is_done() {
        let stolen = stolen_times();
        let pairs = stolen.iter().zip(&stolen_before);
        let longest = pairs.map(|(now, before)| now.saturating_sub(*before)).max();
        stolen_before = stolen;
        for daemon in 0..daemons {
            let at = Instant::now();
            if let Some(wait) = longest.filter(|wait| *wait >= MIN_WAIT) {
                let kind = WaitKind::Stolen;
                record(ThreadWait {
                    daemon,
                    kind,
                    at,
                    wait,
                });
            }
            let tasks =
                pid(daemon).and_then(|pid| std::fs::read_dir(format!("/proc/{pid}/task")).ok());
            for task in tasks.into_iter().flatten().flatten() {
                let Some(total) = total_wait(&task.path().join("schedstat")) else {
                    continue;
                };
                let before = totals.insert(task.path(), total).unwrap_or(total);
                let at = Instant::now();
                let record_wait = |kind, wait| {
                    if wait >= MIN_WAIT {
                        record(ThreadWait {
                            daemon,
                            kind,
                            at,
                            wait,
                        });
                    }
                };
                record_wait(WaitKind::Processor, total.saturating_sub(before));
                if is_blocked(&task.path().join("stat")) {
                    let since = *blocked_since.entry(task.path()).or_insert(at);
                    record_wait(WaitKind::Uninterruptible, at - since);
                } else {
                    blocked_since.remove(&task.path());
                }
            }
        }
        std::thread::sleep(SAMPLE_INTERVAL);
    }
}

impl Soak {
    /// Records the waits of the daemons' threads until the end of the run.
    pub(super) fn watch_processor_waits(&self) {
        watch(
            self.restart_counts.len(),
            |daemon| lock(&self.mesh).pid(daemon),
            || self.is_done(),
            |wait| lock(&self.waits).push(wait),
        );
    }
}

/// The time for which a thread has waited for a processor: the second number of its `schedstat`.
fn total_wait(schedstat: &std::path::Path) -> Option<Duration> {
    let text = std::fs::read_to_string(schedstat).ok()?;
    let wait_ns = text.split(' ').nth(1)?.parse().ok()?;
    Some(Duration::from_nanos(wait_ns))
}

/// Whether a thread is in state `D`. The name before the state may contain spaces and brackets.
fn is_blocked(stat: &std::path::Path) -> bool {
    let text = std::fs::read_to_string(stat).unwrap_or_default();
    let state = text
        .rsplit_once(") ")
        .and_then(|(_, rest)| rest.chars().next());
    state == Some('D')
}

/// The time for which each processor was taken away: the eighth number of its line.
fn stolen_times() -> Vec<Duration> {
    let text = std::fs::read_to_string("/proc/stat").unwrap_or_default();
    let lines = text.lines().filter(|line| line.starts_with("cpu"));
    let ticks = lines.filter_map(|line| line.split_whitespace().nth(8)?.parse::<u32>().ok());
    // The first line is their sum.
    ticks.skip(1).map(|ticks| TICK * ticks).collect()
}
