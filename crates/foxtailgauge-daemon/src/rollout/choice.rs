//! Choice of the version that a request is sent to.

use crate::gateway::route_view::RouteView;
use crate::rollout::has_recent_contact;
use crate::shared::Shared;
use foxtailgauge_core::{
    identity_hash, AttemptEnd, Candidate, Rollout, RolloutPhase, ServerEntry, ServerState,
    Snapshot, VersionRole,
};
use std::sync::Arc;

/// A running rollout, with the servers of its target version that get requests.
#[derive(Debug)]
pub(crate) struct Trial {
    rollout: Arc<Rollout>,
    pub(crate) candidates: Vec<Candidate>,
}

impl Trial {
    /// Selects the servers to use from all those of the target version. All gateways select the
    /// same ones.
    pub(crate) fn new(
        rollout: &Arc<Rollout>,
        mut candidates: Vec<Candidate>,
        serving_servers: usize,
    ) -> Self {
        let position = |candidate: &Candidate| {
            let key = &candidate.key;
            let name = format!("{}/{}", key.daemon, key.server);
            identity_hash(&name, rollout.ordered_in)
        };
        candidates.sort_by_cached_key(position);
        candidates.truncate(rollout.servers_on_trial(candidates.len(), serving_servers));
        Trial {
            rollout: Arc::clone(rollout),
            candidates,
        }
    }
}

/// How a listed server may be used by gateways with this configuration; `None` if not at all.
pub(crate) fn usable_role(snapshot: &Snapshot, server: &ServerEntry) -> Option<VersionRole> {
    let rollout = snapshot.rollouts.get(&server.service);
    let role = rollout.map_or(VersionRole::Serving, |r| r.role(&server.version));
    match (server.state, role) {
        (_, VersionRole::Excluded) => None,
        (ServerState::Ready, role) => Some(role),
        (ServerState::OnTrial, VersionRole::OnTrial) => Some(role),
        // The server's daemon knows of an order that this one does not know of yet, or this one
        // knows first that its version has replaced the others.
        (ServerState::OnTrial, _) => rollout
            .filter(|r| r.phase == RolloutPhase::Completed && r.target_version == server.version)
            .map(|_| VersionRole::Serving),
        (ServerState::Leaving | ServerState::Drained, _) => None,
    }
}

/// The version that a request is sent to next.
pub(crate) struct VersionChoice<'a> {
    view: &'a RouteView,
    service: &'a str,
    trial: Option<&'a Trial>,
}

impl<'a> VersionChoice<'a> {
    /// Draws the version of a request; `draw` is a random number in `0.0..1.0`.
    pub(crate) fn draw(shared: &Shared, view: &'a RouteView, service: &'a str, draw: f64) -> Self {
        let trial = view.trials.get(service).filter(|trial| {
            let phase = trial.rollout.phase;
            let is_drawn = trial.rollout.draws_target(draw);
            is_drawn && !trial.candidates.is_empty() && has_recent_contact(shared, phase)
        });
        VersionChoice {
            view,
            service,
            trial,
        }
    }

    /// Servers of the version.
    pub(crate) fn candidates(&self) -> &'a [Candidate] {
        match self.trial {
            Some(trial) => &trial.candidates,
            None => self
                .view
                .candidates
                .get(self.service)
                .map_or(&[], Vec::as_slice),
        }
    }

    /// Leaves the version on trial after an attempt that it did not answer; returns whether it did.
    /// In the phase full there is no other version to go to.
    pub(crate) fn leave_trial(&mut self, end: AttemptEnd) -> bool {
        let is_left = end != AttemptEnd::Answered
            && self
                .trial
                .is_some_and(|trial| trial.rollout.phase != RolloutPhase::Full);
        if is_left {
            self.trial = None;
        }
        is_left
    }
}
