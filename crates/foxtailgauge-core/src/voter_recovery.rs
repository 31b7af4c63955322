//! Recovery of a voter that lost its disk while the others have no quorum without it.
//!
//! After the view-stamped replication of Liskov and Cowling (2012, section 4.3), with the difference that no
//! leader need answer: docs/design/voter-recovery.md has the argument.

use crate::consensus::{HardState, Node, Role};
use crate::ids::{LogIndex, ReplicaId, Term};
use crate::membership::Membership;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a member of a group tells a replica that lost its disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterReport {
    /// Identity of the member.
    pub id: ReplicaId,
    /// Its current term.
    pub term: Term,
    /// Latest membership that its log proves to be committed.
    pub agreed: Membership,
    /// Index of that membership.
    pub agreed_index: LogIndex,
    /// Membership with other voters that follows it in the log.
    pub pending: Option<Membership>,
    /// Whether it has a leader.
    pub has_leader: bool,
    /// Whether it remembers its votes and entries.
    pub has_memory: bool,
}

/// A voter whose identity a replica without a disk takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveredVoter {
    /// Identity of the voter.
    pub id: ReplicaId,
    /// Highest term in which it may have voted or acknowledged entries.
    pub forgotten_term: Term,
}

impl RecoveredVoter {
    /// The voter at an address, if the reports of one round of questions permit its recovery.
    ///
    /// What it did before the loss must be of terms that one of the reports knows: at least half of the voters of
    /// each membership report. They agree on the voters, and none has a leader: with one, the
    /// replica joins as a learner instead. An even number of voters is needed for its vote to count.
    pub fn find(
        control_addr: &str,
        reports: impl IntoIterator<Item = VoterReport>,
    ) -> Option<Self> {
        let with_memory = reports.into_iter().filter(|report| report.has_memory);
        let reports: BTreeMap<ReplicaId, VoterReport> =
            with_memory.map(|report| (report.id, report)).collect();
        let agreed = &reports
            .values()
            .max_by_key(|report| report.agreed_index)?
            .agreed;
        let mut voters = agreed.members.iter().filter(|(_, m)| m.is_voter);
        let (id, _) = voters.find(|(_, member)| member.control_addr == control_addr)?;
        let permits = |report: &VoterReport| report.id != *id && !report.has_leader;
        let is_vacant = reports.values().all(permits);
        let up_to_date = reports
            .values()
            .filter(|report| report.agreed.has_voters_of(agreed));
        let pending = up_to_date.filter_map(|report| report.pending.as_ref());
        let own: Vec<&Membership> = pending
            .chain([agreed])
            .filter(|membership| membership.is_voter(*id))
            .collect();
        let is_known = own.iter().all(|membership| {
            let reporting = membership
                .voters()
                .filter(|voter| reports.contains_key(voter));
            reporting.count() >= membership.voters().count().div_ceil(2)
        });
        let has_even = own
            .iter()
            .any(|membership| membership.voters().count() % 2 == 0);
        let forgotten_term = reports.values().map(|report| report.term).max()?;
        (is_vacant && is_known && has_even).then_some(RecoveredVoter {
            id: *id,
            forgotten_term,
        })
    }
}

impl Node {
    /// What this replica tells one that lost its disk.
    pub fn voter_report(&self) -> VoterReport {
        let latest = self.membership().clone();
        let (agreed, agreed_index, pending) = match self.is_settled() {
            true => (latest, self.log.membership().0, None),
            false => {
                let (index, previous) = self.log.previous_membership();
                (previous.clone(), index, Some(latest))
            }
        };
        VoterReport {
            id: self.id,
            term: self.hard_state.term,
            agreed,
            agreed_index,
            pending,
            has_leader: self.has_recent_leader_contact(),
            has_memory: self.forgotten_term.is_none(),
        }
    }

    /// Whether this replica takes over the identity of a voter and still has no entry of a later term
    /// than that voter may have forgotten.
    pub fn is_recovering(&self) -> bool {
        self.forgotten_term.is_some()
    }

    /// Takes over the identity of a voter whose disk is lost. Has no effect once the log has an entry of a
    /// term that the voter cannot have forgotten.
    ///
    /// The driver stores `voter` durably before the call, and calls this again after each start.
    pub fn recover(&mut self, voter: RecoveredVoter) {
        self.id = voter.id;
        if self.log.last_term() > voter.forgotten_term {
            return;
        }
        self.forgotten_term = Some(voter.forgotten_term);
        self.role = Role::Follower;
        self.leader = None;
        if self.hard_state.term <= voter.forgotten_term {
            // A leader of a forgotten term steps down once it hears of the next one: it believes entries
            // to be here that are lost.
            self.set_hard_state(HardState {
                term: voter.forgotten_term + 1,
                voted_for: None,
            });
        }
        self.reset_election_timer();
    }
}
