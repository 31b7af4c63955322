//! Turns of workspaces among waiting requests of the same urgency: start-time fair queueing.
//!
//! Designed for a shortage in which one workspace sends most of the requests, for example 60 % of
//! twice the capacity beside 40 small ones: by arrival, all would be served equally rarely. Here
//! each gets an equal part of the run time as long as it asks for that much. A turn costs a lookup,
//! whatever the number of workspaces.

use crate::decaying_sum::DecayingSum;
use crate::ids::WorkspaceName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Position among requests of the same urgency, in microseconds of run time that a workspace with
/// waiting requests has got so far.
pub(crate) type Turn = u64;

/// Smallest share of the requests of a workspace that is served, as a multiple of the share of all.
/// Required is a quarter; the shares are means over the last requests and vary.
const MIN_SERVED_RATIO: f64 = 0.35;
/// Weight of the newest request in a served share.
const SERVED_WEIGHT: f64 = 0.04;
/// Averaging window of the rate at which turns are served: long compared with a run, short compared
/// with the rise of a burst.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Smallest rate at which turns are assumed to be served, so that forecasts remain finite.
const MIN_RATE: f64 = 0.01;
/// Number of workspaces from which those without a claim are removed.
const MIN_REMOVAL_LEN: usize = 256;

/// What a workspace has got.
#[derive(Debug)]
struct Flow {
    /// Turn after its last admitted request.
    next_turn: Turn,
    waiting: u32,
    /// Turn of the last request that was queued.
    last_queued: Turn,
    /// Mean served share of its last requests.
    served_share: f64,
}

/// Turns in one group of requests. Requests without a workspace count as those of one more.
#[derive(Debug)]
pub(crate) struct FairTurns {
    /// Latest turn that has been served.
    current: Turn,
    /// Latest turn that any workspace may have next.
    last: Turn,
    /// Requests waiting, of all workspaces.
    waiting: u32,
    /// Seconds of turns served since requests have been waiting without a break.
    served_turns_s: DecayingSum,
    flows: HashMap<Option<WorkspaceName>, Flow>,
    /// Mean served share of the last requests of all workspaces.
    served_share: f64,
    /// Number of flows at which those without a claim are removed next.
    removal_len: usize,
}

impl Default for FairTurns {
    fn default() -> Self {
        FairTurns {
            current: 0,
            last: 0,
            waiting: 0,
            served_turns_s: DecayingSum::new(RATE_WINDOW),
            flows: HashMap::new(),
            served_share: 1.0,
            removal_len: MIN_REMOVAL_LEN,
        }
    }
}

impl FairTurns {
    /// Turn of a request that arrives now: after those of its workspace that wait. A workspace of
    /// which too small a share is served comes next.
    pub(crate) fn turn(&self, workspace: &Option<WorkspaceName>) -> Turn {
        let Some(flow) = self.flows.get(workspace) else {
            return self.current;
        };
        if flow.served_share < MIN_SERVED_RATIO * self.served_share {
            return self.current;
        }
        let behind_own = if flow.waiting > 0 {
            flow.last_queued
        } else {
            0
        };
        self.current.max(flow.next_turn).max(behind_own)
    }

    /// Forecast wait of a request with this turn: those of its workspace ahead of it are served only
    /// as fast as turns are, while other workspaces come in between. The turns ahead include one
    /// `cost` that runs already. Zero if only one workspace is known.
    pub(crate) fn wait(&self, turn: Turn, cost: Duration, now: Instant) -> Duration {
        if self.flows.len() < 2 || self.waiting == 0 {
            return Duration::ZERO;
        }
        let ahead = Duration::from_micros(turn.saturating_sub(self.current));
        let ahead = ahead.saturating_sub(cost);
        ahead.div_f64(self.served_turns_s.per_s(now).max(MIN_RATE))
    }

    /// Counts a request that was queued with this turn. `slots` are those of the backend server: a
    /// workspace whose requests are the first to wait is assumed to get all of them.
    pub(crate) fn queue(
        &mut self,
        workspace: &Option<WorkspaceName>,
        turn: Turn,
        cost: Duration,
        slots: f64,
        now: Instant,
    ) {
        if self.waiting == 0 {
            self.served_turns_s = DecayingSum::new(RATE_WINDOW);
            self.served_turns_s
                .add(slots * RATE_WINDOW.as_secs_f64(), now);
        }
        let flow = self.flow_mut(workspace);
        flow.next_turn = flow.next_turn.max(turn) + micros(cost);
        flow.waiting += 1;
        flow.last_queued = flow.last_queued.max(turn);
        let next_turn = flow.next_turn;
        self.last = self.last.max(next_turn);
        self.waiting += 1;
    }

    /// Counts the start of a queued request. Once none waits, earlier use no longer counts.
    pub(crate) fn start(&mut self, workspace: &Option<WorkspaceName>, turn: Turn, now: Instant) {
        self.record_outcome(workspace, 1.0);
        let flow = self.flow_mut(workspace);
        flow.waiting = flow.waiting.saturating_sub(1);
        self.waiting = self.waiting.saturating_sub(1);
        let served = Duration::from_micros(turn.saturating_sub(self.current));
        self.served_turns_s.add(served.as_secs_f64(), now);
        self.current = match self.waiting {
            0 => self.last,
            _ => self.current.max(turn),
        };
    }

    /// Takes back a queued request that did not start.
    pub(crate) fn leave(&mut self, workspace: &Option<WorkspaceName>, cost: Duration) {
        let flow = self.flow_mut(workspace);
        flow.waiting = flow.waiting.saturating_sub(1);
        flow.next_turn = flow.next_turn.saturating_sub(micros(cost));
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Counts a refused request.
    pub(crate) fn record_refusal(&mut self, workspace: &Option<WorkspaceName>) {
        self.record_outcome(workspace, 0.0);
    }

    fn record_outcome(&mut self, workspace: &Option<WorkspaceName>, served: f64) {
        self.served_share += SERVED_WEIGHT * (served - self.served_share);
        let flow = self.flow_mut(workspace);
        flow.served_share += SERVED_WEIGHT * (served - flow.served_share);
    }

    fn flow_mut(&mut self, workspace: &Option<WorkspaceName>) -> &mut Flow {
        if !self.flows.contains_key(workspace) {
            self.remove_without_claim();
            let flow = Flow {
                next_turn: self.current,
                waiting: 0,
                last_queued: 0,
                served_share: self.served_share,
            };
            self.flows.insert(workspace.clone(), flow);
        }
        self.flows
            .get_mut(workspace)
            .unwrap_or_else(|| unreachable!("the entry was inserted above"))
    }

    /// Removes workspaces that have nothing waiting and got no more than others. It runs each time
    /// their number has doubled, so its cost per request is constant.
    fn remove_without_claim(&mut self) {
        if self.flows.len() < self.removal_len {
            return;
        }
        let current = self.current;
        self.flows
            .retain(|_, flow| flow.waiting > 0 || flow.next_turn > current);
        self.removal_len = MIN_REMOVAL_LEN.max(2 * self.flows.len());
    }
}

fn micros(cost: Duration) -> u64 {
    u64::try_from(cost.as_micros()).unwrap_or(u64::MAX)
}
