//! Times for which daemons had no processor, because of other work on the machine.

use super::run::{lock, Soak};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Shorter waits are not recorded.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// A time for which a thread of a daemon was runnable without running, in the sample until `at`.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorWait {
    pub daemon: usize,
    pub at: Instant,
    pub wait: Duration,
}

/// The longest wait of a daemon's threads between two times.
pub fn longest(waits: &[ProcessorWait], daemon: usize, from: Instant, until: Instant) -> Duration {
    let is_within = |wait: &&ProcessorWait| {
        wait.daemon == daemon && wait.at >= from && wait.at <= until + 2 * SAMPLE_INTERVAL
    };
    let waits = waits.iter().filter(is_within).map(|wait| wait.wait);
    waits.max().unwrap_or_default()
}

/// Passes the waits of the threads of daemons to `record` until `is_done`. `pid` is a daemon's process, if it runs.
pub fn watch(
    daemons: usize,
    pid: impl Fn(usize) -> Option<u32>,
    is_done: impl Fn() -> bool,
    record: impl Fn(ProcessorWait),
) {
    let mut totals = BTreeMap::new();
    while !is_done() {
        for daemon in 0..daemons {
            let tasks =
                pid(daemon).and_then(|pid| std::fs::read_dir(format!("/proc/{pid}/task")).ok());
            for task in tasks.into_iter().flatten().flatten() {
                let Some(total) = total_wait(&task.path().join("schedstat")) else {
                    continue;
                };
                let before = totals.insert(task.path(), total).unwrap_or(total);
                let wait = total.saturating_sub(before);
                let at = Instant::now();
                if wait >= MIN_WAIT {
                    record(ProcessorWait { daemon, at, wait });
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
