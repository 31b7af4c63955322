//! Members of a consensus group, and the order in which they change.

use crate::ids::ReplicaId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address of its daemon's control port.
    pub control_addr: String,
    /// Whether it votes. A member without a vote is a learner.
    pub is_voter: bool,
}

/// All replicas of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members by identity.
    pub members: BTreeMap<ReplicaId, Member>,
}

impl Membership {
    /// A membership in which every replica votes.
    pub fn of_voters(voters: impl IntoIterator<Item = (ReplicaId, String)>) -> Self {
        let member = |control_addr| Member {
            control_addr,
            is_voter: true,
        };
        Membership {
            members: voters
                .into_iter()
                .map(|(id, addr)| (id, member(addr)))
                .collect(),
        }
    }

    /// Whether the replica votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.members.get(&id).is_some_and(|m| m.is_voter)
    }

    /// Identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members
            .iter()
            .filter(|(_, m)| m.is_voter)
            .map(|(id, _)| *id)
    }

    /// Number of voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters for which `agrees` holds are a majority.
    pub fn has_quorum(&self, agrees: impl Fn(ReplicaId) -> bool) -> bool {
        self.voters().filter(|id| agrees(*id)).count() >= self.quorum()
    }

    /// The highest value that a majority of voters has reached.
    pub fn quorum_value(&self, value: impl Fn(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Adds a learner, unless the identity is a member already.
    pub fn with_learner(&self, id: ReplicaId, control_addr: impl Into<String>) -> Option<Self> {
        if self.members.contains_key(&id) {
            return None;
        }
        let mut next = self.clone();
        // A learner whose disk was lost before it got a vote leaves nothing behind.
        let addr = control_addr.into();
        next.members
            .retain(|_, m| m.is_voter || m.control_addr != addr);
        next.members.insert(
            id,
            Member {
                control_addr: addr,
                is_voter: false,
            },
        );
        Some(next)
    }

    /// The next single change towards giving caught-up learners their vote.
    ///
    /// A voter at the learner's address has lost its disk for good, and one that has been silent for
    /// long while a learner waits has been replaced by it: such a voter is removed first, so that no
    /// quorum waits for it. While a voter is only unresponsive, the learner waits for the answer to
    /// which it is. Each step changes one voter, so that old and new quorums intersect.
    pub fn next_change(
        &self,
        is_caught_up: impl Fn(ReplicaId) -> bool,
        status: impl Fn(ReplicaId) -> VoterStatus,
    ) -> Option<Self> {
        let learners = self.members.iter().filter(|(_, m)| !m.is_voter);
        let Some((id, learner)) = learners.into_iter().find(|(id, _)| is_caught_up(**id)) else {
            return self.without_failed_voter(status);
        };
        let voters = || self.members.iter().filter(|(_, m)| m.is_voter);
        let replaced = voters()
            .find(|(_, m)| m.control_addr == learner.control_addr)
            .or_else(|| voters().find(|(id, _)| status(**id) >= VoterStatus::Replaceable));
        let mut next = self.clone();
        match replaced {
            Some((old, _)) => {
                next.members.remove(old);
            }
            None if voters().any(|(id, _)| status(*id) > VoterStatus::Responsive) => return None,
            None => next.members.get_mut(id)?.is_voter = true,
        }
        Some(next)
    }

    /// Removes a failed voter where an even number makes it a burden: the quorum gets smaller.
    fn without_failed_voter(&self, status: impl Fn(ReplicaId) -> VoterStatus) -> Option<Self> {
        if self.voters().count() % 2 != 0 {
            return None;
        }
        let failed = self
            .voters()
            .find(|id| status(*id) == VoterStatus::Failed)?;
        let mut next = self.clone();
        next.members.remove(&failed);
        Some(next)
    }
}

/// State of a voter by the time since its last contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VoterStatus {
    /// It answers.
    Responsive,
    /// It may come back in a moment.
    Unresponsive,
    /// Long enough for a waiting learner to take its place.
    Replaceable,
    /// Long enough to do without it.
    Failed,
}
