//! Changes of a node's membership, and the quorums that it needs meanwhile.

use crate::consensus::{Node, ProposeError};
use crate::ids::{LogIndex, ReplicaId, Term};
use crate::membership::Membership;
use crate::message::Payload;
use std::collections::BTreeSet;

impl Node {
    /// Proposes a new member as a learner: it receives the log but has no vote yet.
    pub fn add_learner(
        &mut self,
        id: ReplicaId,
        control_addr: &str,
    ) -> Result<(LogIndex, Term), ProposeError> {
        self.check_leader()?;
        self.check_membership_idle()?;
        let next = self
            .membership()
            .with_learner(id, control_addr)
            .ok_or(ProposeError::Unchanged)?;
        Ok((self.change_membership(next), self.hard_state.term))
    }

    /// Prepares for the stop of a replica: proposes its removal if the group then tolerates as many
    /// losses as before.
    ///
    /// Otherwise the membership stays as it is, [`ProposeError::Unchanged`] is returned, and a leader
    /// that is the one to stop hands over.
    pub fn leave(&mut self, id: ReplicaId) -> Result<(LogIndex, Term), ProposeError> {
        self.check_leader()?;
        let Some(next) = self.membership().without_surplus_voter(id) else {
            if id == self.id {
                self.hand_over();
            }
            return Err(ProposeError::Unchanged);
        };
        self.check_membership_idle()?;
        Ok((self.change_membership(next), self.hard_state.term))
    }

    pub(crate) fn change_membership(&mut self, next: Membership) -> LogIndex {
        let index = self.append_as_leader(Payload::Membership(next));
        self.sync_progress();
        index
    }

    pub(crate) fn check_membership_idle(&self) -> Result<(), ProposeError> {
        // A new leader may change the membership only after it has committed an entry of its own
        // term.
        let is_idle = self.log.membership().0 <= self.commit && self.has_committed_in_term();
        is_idle.then_some(()).ok_or(ProposeError::MembershipBusy)
    }

    /// The membership before the latest one, while that is not known to be committed and its voters
    /// differ.
    ///
    /// Until then, decisions need a quorum of both. With an even number of voters one of them may have lost its
    /// memory, and would be the only one that a quorum of the old and one of the new voters share.
    fn previous_membership(&self) -> Option<&Membership> {
        let (index, membership) = self.log.membership();
        let previous = self.log.previous_membership().1;
        let is_change = previous.voters().next().is_some() && !previous.has_voters_of(membership);
        (index > self.commit && is_change).then_some(previous)
    }

    /// Whether the log proves that the voters of the latest membership are agreed: a membership with the
    /// same voters follows only once they are.
    pub(crate) fn is_settled(&self) -> bool {
        let previous = self.log.previous_membership().1;
        previous.voters().next().is_none() || previous.has_voters_of(self.membership())
    }

    /// Highest value that a quorum has reached.
    pub(crate) fn quorum_value(&self, value: impl Fn(ReplicaId) -> u64) -> u64 {
        let current = self.membership().quorum_value(&value);
        let previous = self.previous_membership();
        previous.map_or(current, |previous| {
            previous.quorum_value(&value).min(current)
        })
    }

    /// Whether the votes received elect this replica.
    pub(crate) fn is_elected(&self) -> bool {
        let elects = |members: &Membership| members.elects(&self.votes, &self.votes_without_memory);
        elects(self.membership()) && self.previous_membership().is_none_or(elects)
    }

    /// The other members, and the other voters whose quorum is needed.
    pub(crate) fn peers(&self) -> BTreeSet<ReplicaId> {
        let members = self.membership().members.keys().copied();
        let previous = self.previous_membership().into_iter();
        let previous_voters = previous.flat_map(Membership::voters);
        let peers = members.chain(previous_voters);
        peers.filter(|id| *id != self.id).collect()
    }
}
