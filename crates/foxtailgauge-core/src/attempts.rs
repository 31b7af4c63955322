//! What follows on an attempt: its answer, another attempt, or a refusal that tells the truth.

use std::time::Duration;

/// Backend servers asked for room for one request at most. A refusal for lack of room costs no run.
pub const MAX_PLACEMENTS: u32 = 3;

/// How an attempt of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The backend server answered; nothing more can be done.
    Answered,
    /// The backend server ran it and failed.
    ServerFailed,
    /// The executor has no room. The backend server never saw it.
    NoCapacity,
    /// The backend server or its daemon was not reached, or is leaving.
    NotReached,
    /// The backend server saw it and says that it did not run it.
    Declined,
    /// Nobody knows whether it ran.
    Uncertain,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// The caller gets the answer of this attempt.
    Deliver,
    /// Another backend server is asked; `is_repeat` if the first one may have seen the request.
    TryAnother {
        /// Whether it counts as a retry.
        is_repeat: bool,
    },
    /// The caller is told that it did not run.
    RefuseNotExecuted,
    /// The caller is told that nobody knows.
    RefuseOutcomeUnknown,
}

/// State of one request over its attempts.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    is_idempotent: bool,
    /// Backend servers it may still run on.
    runs_left: u64,
    placements: u32,
    /// Whether some attempt may have run.
    may_have_run: bool,
}

impl Attempts {
    /// A request that may run on `limit` backend servers.
    pub fn new(is_idempotent: bool, max_runs: u64) -> Self {
        Attempts {
            is_idempotent,
            runs_left: max_runs.max(1),
            placements: 0,
            may_have_run: false,
        }
    }

    /// Whether some attempt may have run, so that a refusal may not say otherwise.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Decides after an attempt. `time_left` is what remains until the caller gives up,
    /// `run_time` what another attempt is expected to take. `is_busy` tells that the backend
    /// servers are full: repeating a failed run then takes the place of a request that may succeed.
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
            AttemptEnd::Declined => true,
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

    /// The answer when there is no further attempt.
    pub fn final_action(&self, end: AttemptEnd) -> NextAction {
        match end {
            AttemptEnd::Answered | AttemptEnd::ServerFailed => NextAction::Deliver,
            _ if self.may_have_run => NextAction::RefuseOutcomeUnknown,
            _ => NextAction::RefuseNotExecuted,
        }
    }
}
