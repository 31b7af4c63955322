//! Decides what follows an attempt: its response, another attempt, or a refusal that states whether
//! the request may have run.

use std::time::Duration;

/// Maximum number of backend servers tried for one request. Includes refusals for lack of capacity,
/// which do not count as runs.
pub const MAX_PLACEMENTS: u32 = 3;

/// Retry delay after a backend server declined a request for which its queue had room: far below any
/// latency target.
const DECLINED_RETRY_AFTER: Duration = Duration::from_millis(25);

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The backend server responded; the response is final.
    Answered,
    /// The backend server ran the request and failed.
    ServerFailed,
    /// The executor has no capacity. The backend server did not receive the request.
    NoCapacity,
    /// The backend server or its daemon could not be reached, or is leaving.
    NotReached,
    /// The backend server received the request and states that it did not run it.
    Declined,
    /// It is unknown whether the request ran.
    Uncertain,
}

/// Action that follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Returns the response of this attempt to the caller.
    Deliver,
    /// Tries another backend server.
    TryAnother {
        /// Whether it counts as a retry, as this attempt's backend server may have received the
        /// request.
        is_repeat: bool,
    },
    /// Tells the caller that the request did not run.
    RefuseNotExecuted,
    /// Tells the caller that it is unknown whether the request ran.
    RefuseOutcomeUnknown,
}

/// State of one request across its attempts.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    is_idempotent: bool,
    /// Number of backend servers it may still run on.
    runs_left: u64,
    /// Number of backend servers tried so far.
    placements: u32,
    may_have_run: bool,
    was_declined: bool,
}

impl Attempts {
    /// State of a request that may run on at most `max_runs` backend servers, at least one.
    pub fn new(is_idempotent: bool, max_runs: u64) -> Self {
        Attempts {
            is_idempotent,
            runs_left: max_runs.max(1),
            placements: 0,
            may_have_run: false,
            was_declined: false,
        }
    }

    /// Whether some attempt may have run. If so, a refusal must not claim that the request did not
    /// run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether some backend server may have received the request, so that another arrival is a repeat.
    pub fn was_received(&self) -> bool {
        self.may_have_run || self.was_declined
    }

    /// Time after which a caller whose request did not run may retry. `capacity_in` is the time until
    /// capacity is expected, if a queue refused the request for lack of it.
    ///
    /// A backend server that declines a request for which its queue had room sheds a share of its
    /// requests: another try may succeed at once and still meet its target.
    pub fn retry_after(&self, capacity_in: Option<Duration>) -> Option<Duration> {
        capacity_in.or(self.was_declined.then_some(DECLINED_RETRY_AFTER))
    }

    /// Decides the next action after an attempt. `time_left` is the time until the caller's
    /// timeout, `run_time` the expected duration of another attempt. `is_busy` means that the
    /// backend servers have no free capacity: repeating a failed run would displace a request that
    /// may succeed.
    pub fn decide_next(
        &mut self,
        end: AttemptEnd,
        time_left: Duration,
        run_time: Duration,
        is_busy: bool,
    ) -> NextAction {
        self.placements += 1;
        let was_received = match end {
            AttemptEnd::Answered | AttemptEnd::ServerFailed | AttemptEnd::Uncertain => {
                self.may_have_run = true;
                true
            }
            AttemptEnd::Declined => {
                self.was_declined = true;
                true
            }
            AttemptEnd::NoCapacity | AttemptEnd::NotReached => false,
        };
        if was_received {
            self.runs_left = self.runs_left.saturating_sub(1);
        }
        let may_repeat = self.runs_left > 0
            && self.placements < MAX_PLACEMENTS
            && time_left > run_time / 2
            && (self.is_idempotent || !self.may_have_run)
            && !(is_busy && end == AttemptEnd::ServerFailed);
        match end {
            AttemptEnd::Answered => NextAction::Deliver,
            _ if may_repeat => NextAction::TryAnother {
                is_repeat: was_received,
            },
            _ => self.final_action(end),
        }
    }

    /// The action when there is no further attempt.
    pub fn final_action(&self, end: AttemptEnd) -> NextAction {
        match end {
            AttemptEnd::Answered | AttemptEnd::ServerFailed => NextAction::Deliver,
            _ if self.may_have_run => NextAction::RefuseOutcomeUnknown,
            _ => NextAction::RefuseNotExecuted,
        }
    }
}
