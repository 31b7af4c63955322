//! Results of attempts on backend servers, as reported to placement and to the retry decision.

use crate::executor::forward_executor::{without_response, ForwardReply};
use crate::hop::metadata::HopEnd;
use crate::shared::{lock, Shared};
use foxtailgauge_core::{AttemptEnd, AttemptHealth, AttemptReport, ServerKey, WorkLoad};
use std::time::{Duration, Instant};

/// Ends the in-flight count of an attempt, also if its caller disconnects and it is dropped.
pub(crate) struct AttemptGuard<'a> {
    shared: &'a Shared,
    key: &'a ServerKey,
    route: &'a str,
    is_done: bool,
}

impl<'a> AttemptGuard<'a> {
    /// Guards an attempt that `Placement::choose` has counted.
    pub(crate) fn new(shared: &'a Shared, key: &'a ServerKey, route: &'a str) -> Self {
        AttemptGuard {
            shared,
            key,
            route,
            is_done: false,
        }
    }

    /// Reports a completed attempt. `sent_bytes` is the number of buffered bytes of the request's
    /// body; `transit_time` is the attempt's duration less the executor's time, or `None` if it ran
    /// on this daemon.
    pub(crate) fn finish(
        mut self,
        reply: &ForwardReply,
        transit_time: Option<Duration>,
        sent_bytes: u64,
    ) {
        self.is_done = true;
        let health = match reply.reply.end {
            HopEnd::Answered if is_server_failure(reply) => AttemptHealth::Failed,
            HopEnd::Answered => AttemptHealth::Answered,
            HopEnd::Declined => AttemptHealth::Failed,
            HopEnd::Broken if reply.reply.load.slots > 0 => AttemptHealth::Failed,
            HopEnd::Broken => AttemptHealth::Unresponsive,
            HopEnd::Closed | HopEnd::NotReached => AttemptHealth::Unavailable,
            HopEnd::Refused { .. } => AttemptHealth::Refused,
        };
        let load = reply.reply.load;
        let received = reply
            .response
            .as_ref()
            .filter(|_| health == AttemptHealth::Answered);
        let report = (load.slots > 0).then_some(AttemptReport {
            load,
            transit_time,
            bytes: received.map(|response| sent_bytes + response.body().buffered_length()),
        });
        lock(&self.shared.placement).finish(self.key, self.route, health, report, Instant::now());
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.is_done {
            let now = Instant::now();
            lock(&self.shared.placement).finish(
                self.key,
                self.route,
                AttemptHealth::Neutral,
                None,
                now,
            );
        }
    }
}

/// Reply for an attempt that got none from the executor. Its load has no slots, which marks it as
/// unknown.
pub(crate) fn reply_without_response(end: HopEnd) -> ForwardReply {
    without_response(end, WorkLoad::default())
}

/// Maps the end of an attempt to the input of [`foxtailgauge_core::Attempts::decide_next`].
pub(crate) fn attempt_end(reply: &ForwardReply) -> AttemptEnd {
    match reply.reply.end {
        HopEnd::Answered if is_server_failure(reply) => AttemptEnd::ServerFailed,
        HopEnd::Answered => AttemptEnd::Answered,
        HopEnd::Declined => AttemptEnd::Declined,
        HopEnd::Refused { .. } => AttemptEnd::NoCapacity,
        HopEnd::Closed | HopEnd::NotReached => AttemptEnd::NotReached,
        HopEnd::Broken => AttemptEnd::Uncertain,
    }
}

fn is_server_failure(reply: &ForwardReply) -> bool {
    let response = reply.response.as_ref();
    response.is_some_and(|response| response.status().is_server_error())
}
