//! Source side of distribution: replies to polls, reports and probes of subscribers.

use crate::shared::Shared;
use crate::timer::sleep_until;
use foxtailgauge_core::{PollReply, PollRequest, ReportReply, ReportRequest, STALE_SOURCE_MS};
use futures::future::{select, Either};
use std::time::{Duration, Instant};

/// Replies to a poll: at once if there are changes, else on the next change or at the poll timeout.
pub(crate) async fn poll(shared: &Shared, request: PollRequest) -> PollReply {
    // A subscriber with a cursor of this process has been admitted before.
    if !shared.is_own_cursor(request.cursor) {
        if let Err(retry_after) = shared.admit_session() {
            let retry_after_ms = u64::try_from(retry_after.as_millis())
                .unwrap_or(u64::MAX)
                .max(1);
            return PollReply::Busy { retry_after_ms };
        }
    }
    let poll_timeout = shared.settings.distribution.poll_timeout;
    let poll_timeout = poll_timeout.min(std::time::Duration::from_millis(request.hold_ms));
    let deadline = Instant::now() + poll_timeout;
    let mut is_first = true;
    loop {
        let changed = shared.changed.listen();
        let has_update = shared.current_version().0 > request.current_version;
        if is_first || has_update {
            if let Some(reply) = shared.poll_reply_for(&request) {
                return reply;
            }
        }
        is_first = false;
        let wait_until = contact_deadline(shared).map_or(deadline, |time| time.min(deadline));
        if let Either::Right(_) = select(changed, sleep_until(wait_until)).await {
            let has_lost_contact = shared.freshness().has_lost_contact();
            if wait_until == deadline || has_lost_contact {
                return shared.empty_poll_reply();
            }
            continue;
        }
        collect_changes(shared, &request, deadline).await;
        if let Some(reply) = shared.poll_reply_for(&request) {
            return reply;
        }
    }
}

/// Time at which this replica will have been without contact to a quorum for too long to be a
/// source, unless there is contact before; `None` on other daemons, or if that time has passed.
/// Waiting subscribers get a reply at that time, as they may miss a newer version. Other daemons
/// learn of contact with a quorum only through their own polls.
fn contact_deadline(shared: &Shared) -> Option<Instant> {
    shared.replica.get()?;
    let time_left_ms = STALE_SOURCE_MS.checked_sub(shared.quorum_age_ms()?)?;
    Some(Instant::now() + Duration::from_millis(time_left_ms + 1))
}

/// Collects changes of the directory for the batch interval; a new version ends the wait at once.
async fn collect_changes(shared: &Shared, request: &PollRequest, deadline: Instant) {
    let batch_end = deadline.min(Instant::now() + shared.settings.distribution.batch_interval);
    loop {
        let changed = shared.changed.listen();
        if shared.current_version().0 > request.current_version {
            return;
        }
        if let Either::Right(_) = select(changed, sleep_until(batch_end)).await {
            return;
        }
    }
}

/// Applies a report and replies with the freshness of this daemon.
pub(crate) fn report(shared: &Shared, request: ReportRequest) -> ReportReply {
    shared.apply_report(request);
    probe(shared)
}

/// Replies with the freshness of this daemon.
pub(crate) fn probe(shared: &Shared) -> ReportReply {
    ReportReply {
        freshness: shared.freshness(),
    }
}

/// Records the payload size of a reply by its kind.
pub(crate) fn record_reply(shared: &Shared, reply: &PollReply, bytes: usize) {
    let kind = match reply {
        PollReply::Changes {
            update: Some(_), ..
        } => "update",
        PollReply::Changes { instances, .. } if !instances.is_empty() => "instances",
        PollReply::Changes { .. } | PollReply::Busy { .. } => "poll",
    };
    shared.metrics.record_payload("sent", kind, bytes);
}
