//! Replication: appends, commits, snapshots, reads and the promotion of learners.

use crate::consensus::{Node, Progress, ReadReady, Role, MIN_ELECTION_TIMEOUT_MS};
use crate::ids::{LogIndex, ReplicaId};
use crate::log::Log;
use crate::membership::VoterStatus;
use crate::message::{AppendReply, AppendRequest, Entry, Message, Payload, StateSnapshot};

/// Maximum number of entries in one message.
const MAX_BATCH_ENTRIES: usize = 512;
/// Window of unacknowledged entries to a replica: once it is full, no more are sent until a reply
/// or the next heartbeat.
const MAX_IN_FLIGHT_ENTRIES: u64 = 4096;
/// Time after which an unacknowledged snapshot is sent again, in milliseconds.
const SNAPSHOT_RETRY_MS: u64 = 5_000;
/// Time without contact after which a voter is removed from a group of an even number of voters, in
/// milliseconds. With it, the group tolerates one loss less than without it.
pub(crate) const SILENT_VOTER_MS: u64 = 800;
/// Time without contact after which a voter is replaced by a caught-up learner, in milliseconds:
/// longer than a restart, since a group of an odd number tolerates one loss less until the learner
/// votes, and shorter than the time within which the group must tolerate the next loss.
const REPLACEABLE_VOTER_MS: u64 = 3_000;
/// Number of entries by which a learner may lag and still count as caught up.
const CAUGHT_UP_ENTRIES: u64 = 64;

impl Node {
    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> LogIndex {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            payload,
        };
        let index = entry.index;
        self.ready.entries.push(entry.clone());
        self.log.push(entry);
        for peer in self.peers() {
            self.send_entries(peer);
        }
        index
    }

    pub(crate) fn is_reachable(&self, progress: &Progress) -> bool {
        self.now_ms < progress.last_ack_ms + MIN_ELECTION_TIMEOUT_MS
    }

    /// Sends missing entries to a reachable replica, unless its in-flight window is full.
    fn send_entries(&mut self, to: ReplicaId) {
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let is_window_full = progress.next_index > progress.match_index + MAX_IN_FLIGHT_ENTRIES;
        if is_window_full
            || !self.is_reachable(progress)
            || progress.next_index > self.log.last_index()
        {
            return;
        }
        self.send_append(to, MAX_BATCH_ENTRIES);
    }

    /// Sends up to `limit` entries from the replica's next index on; without entries the message is
    /// a heartbeat. Sends a snapshot if the preceding entry is compacted.
    fn send_append(&mut self, to: ReplicaId, limit: usize) {
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            return self.send_snapshot(to);
        };
        let entries = self.log.range(progress.next_index, limit);
        let sent = entries.len() as u64;
        let request = AppendRequest {
            term: self.hard_state.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round: self.round,
        };
        self.send_early(to, Message::Append(request));
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.next_index += sent;
        }
    }

    fn send_snapshot(&mut self, to: ReplicaId) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let now_ms = self.now_ms;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let is_in_progress = progress
            .snapshot_sent_ms
            .is_some_and(|at| now_ms < at + SNAPSHOT_RETRY_MS);
        if is_in_progress {
            return;
        }
        progress.snapshot_sent_ms = Some(now_ms);
        let message = Message::Snapshot {
            term: self.hard_state.term,
            round: self.round,
            snapshot,
        };
        self.send(to, message);
    }

    /// Sends a heartbeat to every other replica, with missing entries if the replica is reachable.
    pub(crate) fn broadcast_heartbeat(&mut self) {
        for peer in self.peers() {
            let is_reachable = self
                .progress
                .get(&peer)
                .is_some_and(|p| self.is_reachable(p));
            self.send_append(peer, if is_reachable { MAX_BATCH_ENTRIES } else { 0 });
        }
    }

    /// Sends the commit index to the other replicas now instead of with the next heartbeat.
    pub fn broadcast_commit(&mut self) {
        if self.role == Role::Leader {
            self.broadcast_heartbeat();
        }
    }

    pub(crate) fn on_append(&mut self, from: ReplicaId, request: AppendRequest) {
        self.max_leader_commit = self.max_leader_commit.max(Some(request.commit));
        self.follow_leader(from);
        let (is_match, index) = self.append_entries(&request);
        if self.commit >= request.commit {
            self.last_up_to_date_ms = Some(self.now_ms);
        }
        let reply = AppendReply {
            term: self.hard_state.term,
            is_match,
            index,
            round: request.round,
        };
        self.send(from, Message::AppendReply(reply));
    }

    fn follow_leader(&mut self, leader: ReplicaId) {
        self.become_follower(self.hard_state.term, Some(leader));
        self.last_leader_contact_ms = Some(self.now_ms);
        self.last_leader = Some(leader);
        self.reset_election_timer();
    }

    /// Appends the entries of a request if they match the log. Returns whether they do, with the
    /// last matching index or else the `prev_index` to try next.
    fn append_entries(&mut self, request: &AppendRequest) -> (bool, LogIndex) {
        let prev_index = request.prev_index;
        if prev_index >= self.log.start_index() {
            match self.log.term_at(prev_index) {
                Some(term) if term == request.prev_term => {}
                Some(_) => return (false, self.log.first_of_term(prev_index).saturating_sub(1)),
                None => return (false, self.log.last_index()),
            }
        }
        for entry in &request.entries {
            self.append_entry(entry);
        }
        let last_new = prev_index + request.entries.len() as u64;
        let match_index = last_new.max(self.log.start_index());
        self.commit = self.commit.max(request.commit.min(match_index));
        (true, match_index)
    }

    fn append_entry(&mut self, entry: &Entry) {
        if entry.index <= self.log.start_index() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate(entry.index),
            None => {}
        }
        self.ready.entries.push(entry.clone());
        self.log.push(entry.clone());
    }

    fn truncate(&mut self, from: LogIndex) {
        debug_assert!(
            from > self.commit,
            "truncation would remove a committed entry"
        );
        self.log.truncate(from);
        self.durable = self.durable.min(from - 1);
        self.ready.entries.retain(|entry| entry.index < from);
        let first = self.ready.truncate_from.map_or(from, |at| at.min(from));
        self.ready.truncate_from = Some(first);
    }

    pub(crate) fn on_append_reply(&mut self, from: ReplicaId, reply: &AppendReply) {
        if self.role != Role::Leader {
            return;
        }
        let now_ms = self.now_ms;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_ack_ms = now_ms;
        progress.round = progress.round.max(reply.round);
        if reply.is_match {
            progress.match_index = progress.match_index.max(reply.index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            progress.snapshot_sent_ms = None;
            self.advance_commit();
            self.send_entries(from);
        } else {
            // A delayed reply must not move the next index back below the known match.
            progress.next_index = (reply.index + 1)
                .max(progress.match_index + 1)
                .min(progress.next_index);
            self.send_append(from, MAX_BATCH_ENTRIES);
        }
        self.confirm_reads();
    }

    pub(crate) fn advance_commit(&mut self) {
        let durable = self.durable;
        let quorum_index = self.quorum_value(|id| {
            if id == self.id {
                durable
            } else {
                self.progress.get(&id).map_or(0, |p| p.match_index)
            }
        });
        // Only entries of the leader's own term are committed by counting replicas.
        if quorum_index > self.commit
            && self.log.term_at(quorum_index) == Some(self.hard_state.term)
        {
            self.commit = quorum_index;
        }
        // A leader that was removed from the group steps down once its removal is committed.
        let (index, membership) = self.log.membership();
        if index <= self.commit && !membership.members.contains_key(&self.id) {
            self.hand_over();
            self.become_follower(self.hard_state.term, None);
        } else if index <= self.commit && !self.is_settled() {
            let settled = membership.clone();
            self.change_membership(settled);
        }
    }

    pub(crate) fn confirm_reads(&mut self) {
        let round = self.round;
        let quorum_round = self.quorum_value(|id| {
            if id == self.id {
                round
            } else {
                self.progress.get(&id).map_or(0, |p| p.round)
            }
        });
        while self
            .reads
            .front()
            .is_some_and(|read| read.round <= quorum_round)
        {
            if let Some(read) = self.reads.pop_front() {
                self.reads_ready.push(ReadReady {
                    read: read.read,
                    index: read.index,
                });
            }
        }
    }

    pub(crate) fn on_snapshot(&mut self, from: ReplicaId, round: u64, snapshot: StateSnapshot) {
        self.follow_leader(from);
        let index = snapshot.index;
        if self.log.term_at(index) == Some(snapshot.term) {
            // The log already contains the snapshot's entries; later ones may already be durable.
            self.commit = self.commit.max(index);
        } else if index > self.commit {
            self.install_snapshot(snapshot);
        }
        let reply = AppendReply {
            term: self.hard_state.term,
            is_match: true,
            index: index.max(self.commit.min(self.log.last_index())),
            round,
        };
        self.send(from, Message::AppendReply(reply));
    }

    fn install_snapshot(&mut self, snapshot: StateSnapshot) {
        self.log = Log::new(
            snapshot.index,
            snapshot.term,
            snapshot.membership.clone(),
            Vec::new(),
        );
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.durable = snapshot.index;
        self.ready.entries.clear();
        self.ready.truncate_from = None;
        self.ready.snapshot = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    /// Proposes the next membership change, if one is due and none is in progress.
    pub(crate) fn advance_membership(&mut self) {
        if self.check_membership_idle().is_err() {
            return;
        }
        let last_index = self.log.last_index();
        let is_caught_up = |id: ReplicaId| {
            self.progress.get(&id).is_some_and(|progress| {
                self.is_reachable(progress)
                    && progress.match_index + CAUGHT_UP_ENTRIES >= last_index
                    && progress.match_index >= self.log.membership().0
            })
        };
        let status = |id: ReplicaId| match self.now_ms.saturating_sub(self.contact_ms(id)) {
            elapsed_ms if elapsed_ms >= REPLACEABLE_VOTER_MS => VoterStatus::Replaceable,
            elapsed_ms if elapsed_ms >= SILENT_VOTER_MS => VoterStatus::Silent,
            elapsed_ms if elapsed_ms >= MIN_ELECTION_TIMEOUT_MS => VoterStatus::Unresponsive,
            _ => VoterStatus::Responsive,
        };
        if let Some(next) = self.membership().next_change(is_caught_up, status) {
            self.change_membership(next);
        }
    }
}
