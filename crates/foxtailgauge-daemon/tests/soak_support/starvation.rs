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

impl Soak {
    /// Records the waits of the daemons' threads until the end of the run.
    pub(super) fn watch_processor_waits(&self) {
        let mut totals = BTreeMap::new();
        while !self.is_done() {
            for daemon in 0..self.restart_counts.len() {
                let pid = lock(&self.mesh).pid(daemon);
                let tasks = pid.and_then(|pid| std::fs::read_dir(format!("/proc/{pid}/task")).ok());
                for task in tasks.into_iter().flatten().flatten() {
                    let Some(total) = total_wait(&task.path().join("schedstat")) else {
                        continue;
                    };
                    let before = totals.insert(task.path(), total).unwrap_or(total);
                    let wait = total.saturating_sub(before);
                    let at = Instant::now();
                    if wait >= MIN_WAIT {
                        lock(&self.waits).push(ProcessorWait { daemon, at, wait });
                    }
                }
            }
            std::thread::sleep(SAMPLE_INTERVAL);
        }
    }
}

/// The time for which a thread has waited for a processor: the second number of its `schedstat`.
fn total_wait(schedstat: &std::path::Path) -> Option<Duration> {
    let text = std::fs::read_to_string(schedstat).ok()?;
    let wait_ns = text.split(' ').nth(1)?.parse().ok()?;
    Some(Duration::from_nanos(wait_ns))
}
