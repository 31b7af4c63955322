//! Membership of a consensus group and the order of its changes.

use crate::ids::ReplicaId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One member of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address of its daemon's control port.
    pub control_addr: String,
    /// Whether the member votes; a member without a vote is a learner.
    pub is_voter: bool,
}

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members by identity.
    pub members: BTreeMap<ReplicaId, Member>,
}

impl Membership {
    /// Creates a membership of voters, given with their control addresses.
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

    /// Whether the replica is a voter.
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

    /// Whether the same replicas vote in both.
    pub(crate) fn has_voters_of(&self, other: &Membership) -> bool {
        self.voters().eq(other.voters())
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether a quorum of the voters satisfies `agrees`.
    pub fn has_quorum(&self, agrees: impl Fn(ReplicaId) -> bool) -> bool {
        self.voters().filter(|id| agrees(*id)).count() >= self.quorum()
    }

    /// Whether votes elect a leader: a quorum, of which at least half of all voters have kept their
    /// memory. Two quorums of an even number of voters share two of them, so that one vote may come
    /// from a voter without memory; of an odd number they may share one.
    pub(crate) fn elects(
        &self,
        votes: &BTreeSet<ReplicaId>,
        without_memory: &BTreeSet<ReplicaId>,
    ) -> bool {
        let has_memory = |id: &ReplicaId| votes.contains(id) && !without_memory.contains(id);
        let with_memory = self.voters().filter(has_memory).count();
        self.has_quorum(|id| votes.contains(&id))
            && with_memory >= self.voters().count().div_ceil(2)
    }

    /// Highest value that a quorum of the voters has reached; 0 without voters.
    pub fn quorum_value(&self, value: impl Fn(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Returns the membership with a new learner, or `None` if the identity is already a member.
    ///
    /// Replaces any learner at the same address.
    pub fn with_learner(&self, id: ReplicaId, control_addr: impl Into<String>) -> Option<Self> {
        if self.members.contains_key(&id) {
            return None;
        }
        let mut next = self.clone();
        // A learner that lost its disk before its promotion returns at the same address under a new
        // identity; the old one is removed.
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

    /// Next single change towards promoting caught-up learners to voters.
    ///
    /// A voter at the learner's address has lost its disk permanently, and a replaceable voter is
    /// replaced by the learner that waits: such a voter is removed first, so that no quorum depends
    /// on it. While a voter is only unresponsive, the promotion is deferred until the voter either
    /// responds or becomes replaceable. Each change concerns one voter, so that old and new quorums
    /// intersect. Without a caught-up learner, a silent voter is removed from an even group: until it
    /// is removed, the group tolerates one loss less.
    pub fn next_change(
        &self,
        is_caught_up: impl Fn(ReplicaId) -> bool,
        status: impl Fn(ReplicaId) -> VoterStatus,
    ) -> Option<Self> {
        let learners = self.members.iter().filter(|(_, m)| !m.is_voter);
        let Some((id, learner)) = learners.into_iter().find(|(id, _)| is_caught_up(**id)) else {
            return self.without_silent_voter(status);
        };
        let voters = || self.members.iter().filter(|(_, m)| m.is_voter);
        let replaced = voters()
            .find(|(_, m)| m.control_addr == learner.control_addr)
            .or_else(|| voters().find(|(id, _)| status(**id) == VoterStatus::Replaceable));
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

    /// Removes a silent voter if the number of voters is even, since that makes the quorum smaller.
    /// A voter that comes back joins again. Of two voters, one is removed only once it is replaceable:
    /// the other is left with the only copy.
    fn without_silent_voter(&self, status: impl Fn(ReplicaId) -> VoterStatus) -> Option<Self> {
        let least = match self.voters().count() {
            2 => VoterStatus::Replaceable,
            count if count % 2 == 0 => VoterStatus::Silent,
            _ => return None,
        };
        let silent = self.voters().find(|id| status(*id) >= least)?;
        let mut next = self.clone();
        next.members.remove(&silent);
        Some(next)
    }

    /// Removes a voter that is about to stop, if the others tolerate as many losses without it and
    /// keep more than one copy: if the number of voters is even and above two.
    pub fn without_surplus_voter(&self, id: ReplicaId) -> Option<Self> {
        let count = self.voters().count();
        if !self.is_voter(id) || count % 2 != 0 || count <= 2 {
            return None;
        }
        let mut next = self.clone();
        next.members.remove(&id);
        Some(next)
    }
}

/// Status of a voter by the time since its last contact, in ascending order of that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VoterStatus {
    /// Had contact within the shortest election timeout.
    Responsive,
    /// Had no contact within that time, but may come back shortly.
    Unresponsive,
    /// Without contact long enough to be removed from an even group.
    Silent,
    /// Without contact long enough to be replaced by a caught-up learner.
    Replaceable,
}
