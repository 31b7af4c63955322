//! Acknowledgements on one-way connections.
//!
//! Designed for connections that go silent while the socket at their other end still accepts bytes,
//! such as that of a relay: a sender that waits for no reply would write into them for good.

use std::time::{Duration, Instant};

/// Shortest interval between two acknowledgements of a connection.
const ACK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an acknowledgement, while frames are sent, after which a connection is silent. Below
/// the time after which a silent voter is replaced.
const SILENT_AFTER: Duration = Duration::from_millis(2_000);

/// Decides when a receiver acknowledges the frames that it reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct AckPacer {
    last_at: Option<Instant>,
}

impl AckPacer {
    /// Whether a frame that was read now is to be acknowledged.
    pub fn is_due(&mut self, now: Instant) -> bool {
        let is_due = self
            .last_at
            .is_none_or(|last| now.saturating_duration_since(last) >= ACK_INTERVAL);
        if is_due {
            self.last_at = Some(now);
        }
        is_due
    }
}

/// Decides when a sender gives up a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct AckMonitor {
    /// Last acknowledgement. Without any, the receiver may be of a version that sends none.
    last_ack_at: Option<Instant>,
    /// When the first frame was sent whose acknowledgement is due and has not arrived.
    due_since: Option<Instant>,
}

impl AckMonitor {
    /// Records a frame that was sent; returns whether the connection is silent.
    pub fn sent(&mut self, now: Instant) -> bool {
        let Some(last_ack_at) = self.last_ack_at else {
            return false;
        };
        // The receiver leaves frames within the interval after an acknowledgement unacknowledged.
        if now.saturating_duration_since(last_ack_at) >= ACK_INTERVAL {
            self.due_since.get_or_insert(now);
        }
        self.due_since
            .is_some_and(|since| now.saturating_duration_since(since) >= SILENT_AFTER)
    }

    /// Records an acknowledgement.
    pub fn acknowledged(&mut self, now: Instant) {
        self.last_ack_at = Some(now);
        self.due_since = None;
    }
}
