//! Replication: appends, commitment, snapshots, reads, and promotion of learners.

use crate::consensus::{Node, Progress, ReadReady, Role, ELECTION_MIN_MS};
use crate::ids::{LogIndex, ReplicaId};
use crate::log::Log;
use crate::membership::Silence;
use crate::message::{AppendReply, AppendRequest, Entry, Message, Payload, StateSnapshot};

/// Entries sent in one message at most.
const MAX_BATCH_ENTRIES: usize = 512;
/// Entries sent ahead of a replica's answers at most.
const MAX_AHEAD_ENTRIES: u64 = 4096;
/// Time until a snapshot is sent again to a replica that has not answered, in milliseconds.
const SNAPSHOT_RETRY_MS: u64 = 5_000;
/// Silence after which a voter gives its place to a learner that waits, in milliseconds: longer than
/// a restart, shorter than the time until the next loss must be borne.
const REPLACEABLE_VOTER_MS: u64 = 3_000;
/// Silence after which an even group goes on without a voter, in milliseconds: longer than cuts that
/// heal by themselves.
const LOST_VOTER_MS: u64 = 15_000;
/// Entries a learner may lag behind and still count as caught up.
const CAUGHT_UP_ENTRIES: u64 = 64;

impl Node {
    pub(crate) fn append_own(&mut self, payload: Payload) -> LogIndex {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard.term,
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
        self.now_ms < progress.acked_ms + ELECTION_MIN_MS
    }

    /// Sends what a replica is missing, unless enough is under way.
    fn send_entries(&mut self, to: ReplicaId) {
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let is_ahead = progress.next > progress.matched + MAX_AHEAD_ENTRIES;
        if is_ahead || !self.is_reachable(progress) || progress.next > self.log.last_index() {
            return;
        }
        self.send_append(to, MAX_BATCH_ENTRIES);
    }

    /// Sends up to `limit` entries from the replica's next index on; none makes a heartbeat.
    fn send_append(&mut self, to: ReplicaId, limit: usize) {
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            return self.send_snapshot(to);
        };
        let entries = self.log.range(progress.next, limit);
        let sent = entries.len() as u64;
        let request = AppendRequest {
            term: self.hard.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round: self.round,
        };
        self.send_early(to, Message::Append(request));
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.next += sent;
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
        let is_under_way = progress
            .snapshot_sent_ms
            .is_some_and(|at| now_ms < at + SNAPSHOT_RETRY_MS);
        if is_under_way {
            return;
        }
        progress.snapshot_sent_ms = Some(now_ms);
        let message = Message::Snapshot {
            term: self.hard.term,
            round: self.round,
            snapshot,
        };
        self.send(to, message);
    }

    pub(crate) fn broadcast_heartbeat(&mut self) {
        for peer in self.peers() {
            let is_reachable = self
                .progress
                .get(&peer)
                .is_some_and(|p| self.is_reachable(p));
            self.send_append(peer, if is_reachable { MAX_BATCH_ENTRIES } else { 0 });
        }
    }

    /// Tells the other replicas the commit index now instead of with the next heartbeat.
    pub fn announce_commit(&mut self) {
        if self.role == Role::Leader {
            self.broadcast_heartbeat();
        }
    }

    pub(crate) fn on_append(&mut self, from: ReplicaId, request: AppendRequest) {
        self.told_commit = self.told_commit.max(Some(request.commit));
        self.follow(from);
        let (is_match, index) = self.take_entries(&request);
        if self.commit >= request.commit {
            self.current_ms = Some(self.now_ms);
        }
        let reply = AppendReply {
            term: self.hard.term,
            is_match,
            index,
            round: request.round,
        };
        self.send(from, Message::AppendReply(reply));
    }

    fn follow(&mut self, leader: ReplicaId) {
        self.become_follower(self.hard.term, Some(leader));
        self.leader_heard_ms = Some(self.now_ms);
        self.reset_election_timer();
    }

    /// Returns whether the entries fit, and the last matching index or where to try next.
    fn take_entries(&mut self, request: &AppendRequest) -> (bool, LogIndex) {
        let prev_index = request.prev_index;
        if prev_index >= self.log.start_index() {
            match self.log.term_at(prev_index) {
                Some(term) if term == request.prev_term => {}
                Some(_) => return (false, self.log.first_of_term(prev_index).saturating_sub(1)),
                None => return (false, self.log.last_index()),
            }
        }
        for entry in &request.entries {
            self.take_entry(entry);
        }
        let last_new = prev_index + request.entries.len() as u64;
        let matched = last_new.max(self.log.start_index());
        self.commit = self.commit.max(request.commit.min(matched));
        (true, matched)
    }

    fn take_entry(&mut self, entry: &Entry) {
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
        debug_assert!(from > self.commit, "a committed entry would change");
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
        progress.acked_ms = now_ms;
        progress.round = progress.round.max(reply.round);
        if reply.is_match {
            progress.matched = progress.matched.max(reply.index);
            progress.next = progress.next.max(progress.matched + 1);
            progress.snapshot_sent_ms = None;
            self.advance_commit();
            self.send_entries(from);
        } else {
            // An old answer must not bring back what is known to match.
            progress.next = (reply.index + 1)
                .max(progress.matched + 1)
                .min(progress.next);
            self.send_append(from, MAX_BATCH_ENTRIES);
        }
        self.confirm_reads();
    }

    pub(crate) fn advance_commit(&mut self) {
        let durable = self.durable;
        let reached = self.membership().quorum_value(|id| {
            if id == self.id {
                durable
            } else {
                self.progress.get(&id).map_or(0, |p| p.matched)
            }
        });
        // Only entries of the own term are committed by counting replicas.
        if reached > self.commit && self.log.term_at(reached) == Some(self.hard.term) {
            self.commit = reached;
        }
        let (index, membership) = self.log.membership();
        if index <= self.commit && !membership.members.contains_key(&self.id) {
            self.become_follower(self.hard.term, None);
        }
    }

    pub(crate) fn confirm_reads(&mut self) {
        let round = self.round;
        let confirmed = self.membership().quorum_value(|id| {
            if id == self.id {
                round
            } else {
                self.progress.get(&id).map_or(0, |p| p.round)
            }
        });
        while self
            .reads
            .front()
            .is_some_and(|read| read.round <= confirmed)
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
        self.follow(from);
        let index = snapshot.index;
        if self.log.term_at(index) == Some(snapshot.term) {
            // The log holds all of the snapshot; entries after it may already count as durable.
            self.commit = self.commit.max(index);
        } else if index > self.commit {
            self.install(snapshot);
        }
        let reply = AppendReply {
            term: self.hard.term,
            is_match: true,
            index: index.max(self.commit.min(self.log.last_index())),
            round,
        };
        self.send(from, Message::AppendReply(reply));
    }

    fn install(&mut self, snapshot: StateSnapshot) {
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

    /// Takes the next step towards giving a caught-up learner its vote.
    pub(crate) fn advance_membership(&mut self) {
        if self.check_membership_idle().is_err() {
            return;
        }
        let last_index = self.log.last_index();
        let is_caught_up = |id: ReplicaId| {
            self.progress.get(&id).is_some_and(|progress| {
                self.is_reachable(progress)
                    && progress.matched + CAUGHT_UP_ENTRIES >= last_index
                    && progress.matched >= self.log.membership().0
            })
        };
        let silence = |id: ReplicaId| match self.now_ms.saturating_sub(self.contact_ms(id)) {
            silent_ms if silent_ms >= LOST_VOTER_MS => Silence::Lost,
            silent_ms if silent_ms >= REPLACEABLE_VOTER_MS => Silence::Replaceable,
            silent_ms if silent_ms >= ELECTION_MIN_MS => Silence::Short,
            _ => Silence::Heard,
        };
        if let Some(next) = self.membership().next_step(is_caught_up, silence) {
            self.change_membership(next);
        }
    }
}
