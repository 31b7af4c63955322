//! Elections: pre-vote, vote, and stepping down without contact with a quorum.

use crate::consensus::{
    HardState, Node, Progress, Role, HEARTBEAT_INTERVAL_MS, MIN_ELECTION_TIMEOUT_MS,
};
use crate::ids::{ReplicaId, Term};
use crate::message::{Message, Payload, VoteReply, VoteRequest};
use crate::replication::SILENT_VOTER_MS;
use std::collections::BTreeSet;

/// Silence of the last leader that its successor counts, in milliseconds: shorter than what leads to
/// its removal by some heartbeats, as it may be back.
const MAX_KNOWN_SILENCE_MS: u64 = SILENT_VOTER_MS - 3 * HEARTBEAT_INTERVAL_MS;

/// Kind of a campaign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Campaign {
    /// Asks whether an election would be won, without a change of term.
    PreVote,
    /// Election without a leader.
    Election,
    /// Election on behalf of a leader that is about to stop.
    HandOver,
}

impl Node {
    /// Starts a campaign. A replica without a vote only clears its leader and restarts its election
    /// timer.
    pub(crate) fn campaign(&mut self, campaign: Campaign) {
        let is_pre_vote = campaign == Campaign::PreVote;
        self.reset_election_timer();
        self.leader = None;
        if !self.membership().is_voter(self.id) || self.forgotten_term.is_some() {
            return;
        }
        let term = self.hard_state.term + 1;
        self.votes = [self.id].into();
        self.votes_without_memory.clear();
        if is_pre_vote {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.set_hard_state(HardState {
                term,
                voted_for: Some(self.id),
            });
        }
        let request = VoteRequest {
            is_pre_vote,
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let own_id = self.id;
        let membership = self.membership();
        let previous = self.log.previous_membership().1;
        let voters: BTreeSet<ReplicaId> = membership.voters().chain(previous.voters()).collect();
        for voter in voters.into_iter().filter(|id| *id != own_id) {
            let request = request.clone();
            let message = match campaign {
                Campaign::PreVote | Campaign::Election => Message::Vote(request),
                Campaign::HandOver => Message::HandOverVote(request),
            };
            self.send(voter, message);
        }
        self.count_votes();
    }

    pub(crate) fn on_vote(&mut self, from: ReplicaId, request: &VoteRequest) {
        let is_up_to_date = (request.last_term, request.last_index)
            >= (self.log.last_term(), self.log.last_index());
        let is_granted = if request.is_pre_vote {
            request.term > self.hard_state.term
                && is_up_to_date
                && !self.has_recent_leader_contact()
        } else {
            let is_vote_available = self.hard_state.voted_for.is_none_or(|voted| voted == from);
            is_vote_available && is_up_to_date && self.role != Role::Leader
        };
        if is_granted && !request.is_pre_vote {
            self.reset_election_timer();
            self.set_hard_state(HardState {
                term: self.hard_state.term,
                voted_for: Some(from),
            });
        }
        let reply = VoteReply {
            is_pre_vote: request.is_pre_vote,
            term: if is_granted {
                request.term
            } else {
                self.hard_state.term
            },
            is_granted,
        };
        let message = match self.forgotten_term {
            Some(_) => Message::VoteWithoutMemory(reply),
            None => Message::VoteReply(reply),
        };
        self.send(from, message);
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        from: ReplicaId,
        reply: &VoteReply,
        is_without_memory: bool,
    ) {
        // A candidate that stood still must not win by votes whose voters may have lost them since.
        let is_over = self.now_ms >= self.election_deadline_ms;
        let is_expected = match self.role {
            _ if is_over => false,
            Role::PreCandidate => reply.is_pre_vote && reply.term == self.hard_state.term + 1,
            Role::Candidate => !reply.is_pre_vote && reply.term == self.hard_state.term,
            Role::Follower | Role::Leader => false,
        };
        if is_expected && reply.is_granted {
            let is_first = self.votes.insert(from);
            if is_first && is_without_memory {
                self.votes_without_memory.insert(from);
            }
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        if !self.is_elected() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(Campaign::Election),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leader_since_ms = self.now_ms;
        self.progress.clear();
        self.reads.clear();
        self.sync_progress();
        self.keep_silence_of_last_leader();
        self.last_leader = None;
        self.append_as_leader(Payload::Noop);
        self.heartbeat_due_ms = self.now_ms + HEARTBEAT_INTERVAL_MS;
    }

    /// The voter that led before has been silent for as long as it led nobody: that time counts
    /// towards its removal, except for the time in which it can answer this leader.
    fn keep_silence_of_last_leader(&mut self) {
        let Some((leader, contact_ms)) = self.last_leader.zip(self.last_leader_contact_ms) else {
            return;
        };
        let earliest_ms = self.now_ms.saturating_sub(MAX_KNOWN_SILENCE_MS);
        if let Some(progress) = self.progress.get_mut(&leader) {
            progress.last_ack_ms = contact_ms.max(earliest_ms);
        }
    }

    /// Asks the voter with the most entries to take over the lead. Without an answer, the others
    /// elect a leader once they miss this one.
    pub(crate) fn hand_over(&mut self) {
        let membership = self.membership();
        let successors = self
            .progress
            .iter()
            .filter(|(id, progress)| membership.is_voter(**id) && self.is_reachable(progress));
        let Some((successor, _)) = successors.max_by_key(|(_, progress)| progress.match_index)
        else {
            return;
        };
        let message = Message::HandOver {
            term: self.hard_state.term,
        };
        self.send(*successor, message);
    }

    /// Adds progress records for new members and removes those of former members.
    pub(crate) fn sync_progress(&mut self) {
        let next_index = self.log.last_index() + 1;
        let now_ms = self.now_ms;
        let peers = self.peers();
        self.progress.retain(|id, _| peers.contains(id));
        for peer in peers {
            self.progress.entry(peer).or_insert(Progress {
                match_index: 0,
                next_index,
                last_ack_ms: now_ms,
                round: 0,
                snapshot_sent_ms: None,
            });
        }
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState {
                term,
                voted_for: None,
            });
        }
        if self.role != Role::Follower || self.leader != leader {
            self.reset_election_timer();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reads.clear();
    }

    /// Steps down without recent contact with a quorum; otherwise sends heartbeats when due.
    pub(crate) fn tick_leader(&mut self) {
        let contact_ms = self.quorum_value(|id| self.contact_ms(id));
        if self.now_ms > contact_ms + MIN_ELECTION_TIMEOUT_MS {
            // As a follower it continues to count the time from the last contact with a quorum.
            self.last_leader_contact_ms = Some(contact_ms);
            self.last_leader = None;
            self.last_up_to_date_ms = Some(contact_ms);
            self.become_follower(self.hard_state.term, None);
            return;
        }
        if self.now_ms >= self.heartbeat_due_ms {
            self.heartbeat_due_ms = self.now_ms + HEARTBEAT_INTERVAL_MS;
            self.round += 1;
            self.broadcast_heartbeat();
            self.advance_membership();
        }
    }
}
