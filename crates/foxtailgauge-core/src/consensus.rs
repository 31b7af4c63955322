//! One replica of a consensus group: a state machine based on Raft that performs no I/O.
//!
//! The driver passes in messages, proposals and the time, and carries out what [`Node::ready`]
//! returns: it sends the early messages, makes the records durable, calls [`Node::persisted`],
//! sends the other messages and applies the committed entries.

use crate::election::Campaign;
use crate::ids::{LogIndex, ReplicaId, Term};
use crate::log::Log;
use crate::membership::Membership;
use crate::message::{Entry, Envelope, Message, Payload, StateSnapshot};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

/// Interval between a leader's heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// Shortest time without a leader before an election, in milliseconds.
///
/// A leader without contact with a quorum for this time steps down.
pub const MIN_ELECTION_TIMEOUT_MS: u64 = 600;
/// Longest time without a leader before an election, in milliseconds.
pub const MAX_ELECTION_TIMEOUT_MS: u64 = 1_200;

/// Current term and vote; must be durable before any message that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// Candidate that received this replica's vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// State that a replica loads from its disk at startup.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot, if there is one.
    pub snapshot: Option<StateSnapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Upper bound of the random part of the first election timeout after startup, in milliseconds.
///
/// Shorter than the election timeout in operation. This cannot depose a working leader, because the
/// pre-vote fails as long as a quorum of the replicas has contact with that leader.
const MAX_FIRST_ELECTION_JITTER_MS: u64 = 300;

/// Role of a replica in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Replicates from a leader, or waits for one.
    Follower,
    /// Runs a pre-vote, without a change of term.
    PreCandidate,
    /// Requests votes for its term.
    Candidate,
    /// Leader of its term.
    Leader,
}

/// Reason why a proposal or read was rejected. Nothing was written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposeError {
    /// This replica is not the leader, or cannot serve reads as leader yet.
    NotLeader {
        /// Leader of the current term, if it is known. A hint only: it may have changed.
        leader: Option<ReplicaId>,
    },
    /// Another membership change is in progress, or the leader has not committed an entry of its
    /// term yet.
    MembershipBusy,
    /// The proposed membership equals the current one.
    Unchanged,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposeError::NotLeader { .. } => write!(f, "replica is not the leader"),
            ProposeError::MembershipBusy => write!(
                f,
                "another membership change is in progress, or the leader has not committed an \
                 entry of its term yet"
            ),
            ProposeError::Unchanged => write!(f, "proposed membership equals the current one"),
        }
    }
}

impl std::error::Error for ProposeError {}

/// A confirmed read; it may be served from the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadReady {
    /// Read number returned by [`Node::read`].
    pub read: u64,
    /// Index that had to be applied before the read is served.
    pub index: LogIndex,
}

/// Work for the driver, in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Messages that may be sent before the records are durable.
    pub early_messages: Vec<Envelope>,
    /// Snapshot that replaces the state machine and the log.
    pub snapshot: Option<StateSnapshot>,
    /// New term and vote to make durable.
    pub hard_state: Option<HardState>,
    /// Index from which the stored log is to be truncated.
    pub truncate_from: Option<LogIndex>,
    /// Entries to make durable.
    pub entries: Vec<Entry>,
    /// Messages to send once the records are durable.
    pub messages: Vec<Envelope>,
    /// Index and term of the last entry, to be passed to [`Node::persisted`].
    pub last: (LogIndex, Term),
}

impl Ready {
    /// Whether there is anything to make durable.
    pub fn has_records(&self) -> bool {
        self.snapshot.is_some()
            || self.hard_state.is_some()
            || self.truncate_from.is_some()
            || !self.entries.is_empty()
    }
}

/// Replication progress of another replica, as its leader knows it.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Highest index known to be durable on the replica.
    pub(crate) match_index: LogIndex,
    /// Index of the next entry to send.
    pub(crate) next_index: LogIndex,
    /// Time of its last reply, or of the start of tracking, in the driver's time.
    pub(crate) last_ack_ms: u64,
    /// Highest heartbeat round that it acknowledged.
    pub(crate) round: u64,
    /// Time at which a snapshot was last sent to it, while that snapshot is unacknowledged.
    pub(crate) snapshot_sent_ms: Option<u64>,
}

/// A read that a quorum has not confirmed yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    /// Read number returned by [`Node::read`].
    pub(crate) read: u64,
    /// Heartbeat round that a quorum must acknowledge.
    pub(crate) round: u64,
    /// Index that must be applied before the read is served.
    pub(crate) index: LogIndex,
}

/// One replica of one group.
///
/// Invariants: the term never decreases; at most one vote per term; entries up to `commit` never
/// change; `applied <= commit <= last index`.
#[derive(Debug)]
pub struct Node {
    pub(crate) id: ReplicaId,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    /// Highest index whose entry is durable on this replica.
    pub(crate) durable: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) snapshot: Option<StateSnapshot>,
    pub(crate) votes: BTreeSet<ReplicaId>,
    /// Those of `votes` that come from voters without memory.
    pub(crate) votes_without_memory: BTreeSet<ReplicaId>,
    /// Highest term that this voter may have taken part in before it lost its disk, until its log has
    /// an entry of a later term.
    pub(crate) forgotten_term: Option<Term>,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) reads: VecDeque<PendingRead>,
    pub(crate) reads_ready: Vec<ReadReady>,
    /// Number of the last read that was started.
    pub(crate) last_read: u64,
    /// Number of the last heartbeat round started by this replica as leader.
    pub(crate) round: u64,
    pub(crate) now_ms: u64,
    pub(crate) election_deadline_ms: u64,
    pub(crate) heartbeat_due_ms: u64,
    pub(crate) last_leader_contact_ms: Option<u64>,
    /// Leader of that contact; `None` if this replica has led since.
    pub(crate) last_leader: Option<ReplicaId>,
    /// Time of the last leader contact at which this replica had all committed entries.
    pub(crate) last_up_to_date_ms: Option<u64>,
    /// Highest commit index received from a leader since startup.
    pub(crate) max_leader_commit: Option<LogIndex>,
    pub(crate) leader_since_ms: u64,
    pub(crate) ready: Ready,
    rng: SmallRng,
}

impl Node {
    /// Creates a replica from its persisted state at time `now_ms`. `seed` seeds the generator of
    /// election timeouts.
    pub fn new(id: ReplicaId, persisted: PersistedState, now_ms: u64, seed: u64) -> Self {
        let snapshot = persisted.snapshot;
        let (index, term, membership) = match &snapshot {
            Some(s) => (s.index, s.term, s.membership.clone()),
            None => (0, 0, Membership::default()),
        };
        let log = Log::new(index, term, membership, persisted.entries);
        let mut node = Node {
            id,
            hard_state: persisted.hard_state,
            commit: index,
            applied: index,
            durable: log.last_index(),
            log,
            role: Role::Follower,
            leader: None,
            snapshot,
            votes: BTreeSet::new(),
            votes_without_memory: BTreeSet::new(),
            forgotten_term: None,
            progress: BTreeMap::new(),
            reads: VecDeque::new(),
            reads_ready: Vec::new(),
            last_read: 0,
            round: 0,
            now_ms,
            election_deadline_ms: 0,
            heartbeat_due_ms: 0,
            last_leader_contact_ms: None,
            last_leader: None,
            last_up_to_date_ms: None,
            max_leader_commit: None,
            leader_since_ms: 0,
            ready: Ready::default(),
            rng: SmallRng::seed_from_u64(seed),
        };
        let wait_ms = node.rng.random_range(0..=MAX_FIRST_ELECTION_JITTER_MS);
        node.election_deadline_ms = now_ms + HEARTBEAT_INTERVAL_MS + wait_ms;
        node
    }

    /// State that the replicas of a new group persist before their first start: the initial
    /// membership.
    pub fn initial_entries(membership: &Membership) -> (HardState, Vec<Entry>) {
        let entry = Entry {
            index: 1,
            term: 1,
            payload: Payload::Membership(membership.clone()),
        };
        let hard_state = HardState {
            term: 1,
            voted_for: None,
        };
        (hard_state, vec![entry])
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Role of this replica in its group.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Current term and vote.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Leader of the current term, if it is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Highest index known to be committed.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Highest index returned by [`Node::take_committed`] or covered by a snapshot.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// The replicated log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Latest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Address of a member's control port.
    pub fn member_addr(&self, id: ReplicaId) -> Option<&str> {
        let previous = self.log.previous_membership().1;
        let member = self.membership().members.get(&id);
        let member = member.or_else(|| previous.members.get(&id));
        member.map(|m| m.control_addr.as_str())
    }

    /// Time since this replica's last contact with a quorum, in milliseconds.
    ///
    /// A leader counts its own contact with the voters. Any other replica counts contact with its
    /// leader at which it had every entry that the leader had committed. A follower whose replies
    /// do not reach its leader gets heartbeats without entries, and must not be taken for up to
    /// date.
    pub fn quorum_age_ms(&self) -> Option<u64> {
        let contact_ms = match self.role {
            Role::Leader => {
                let contact = self.quorum_value(|id| self.contact_ms(id));
                Some(contact)
            }
            _ => self.last_up_to_date_ms,
        };
        contact_ms.map(|at| self.now_ms.saturating_sub(at))
    }

    /// Time at which [`Node::tick`] is next due, in the driver's time.
    pub fn next_tick_ms(&self) -> u64 {
        match self.role {
            Role::Leader => self.heartbeat_due_ms,
            _ => self.election_deadline_ms,
        }
    }

    /// Advances the clock; runs elections, heartbeats and the leader's quorum check when due.
    pub fn tick(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        match self.role {
            Role::Leader => self.tick_leader(),
            _ if self.now_ms >= self.election_deadline_ms => self.campaign(Campaign::PreVote),
            _ => {}
        }
    }

    /// Handles one message from another replica.
    pub fn step(&mut self, envelope: Envelope, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        if envelope.to != self.id {
            return;
        }
        let from = envelope.from;
        if !self.accept_term(from, &envelope.message) {
            return;
        }
        match envelope.message {
            Message::Vote(request) | Message::HandOverVote(request) => self.on_vote(from, &request),
            Message::HandOver { .. } => self.campaign(Campaign::HandOver),
            Message::VoteReply(reply) => {
                self.on_vote_reply(from, &reply, false);
            }
            Message::VoteWithoutMemory(reply) => self.on_vote_reply(from, &reply, true),
            Message::Append(request) => self.on_append(from, request),
            Message::AppendReply(reply) => self.on_append_reply(from, &reply),
            Message::Snapshot {
                round, snapshot, ..
            } => self.on_snapshot(from, round, snapshot),
        }
    }

    /// Adopts a newer term. Returns whether the message is to be processed further.
    fn accept_term(&mut self, from: ReplicaId, message: &Message) -> bool {
        let term = message.term();
        let is_pre_vote = match message {
            Message::Vote(m) => m.is_pre_vote,
            Message::VoteReply(m) | Message::VoteWithoutMemory(m) => m.is_pre_vote && m.is_granted,
            _ => false,
        };
        if term > self.hard_state.term && !is_pre_vote {
            // A replica with recent leader contact ignores candidates, so that a rejoining replica
            // cannot depose a working leader.
            if matches!(message, Message::Vote(_)) && self.has_recent_leader_contact() {
                return false;
            }
            self.become_follower(term, None);
        }
        if term < self.hard_state.term {
            self.reply_stale_term(from, message);
            return false;
        }
        true
    }

    fn reply_stale_term(&mut self, from: ReplicaId, message: &Message) {
        let term = self.hard_state.term;
        let reply = match message {
            Message::Append(m) => stale_append_reply(term, m.round),
            Message::Snapshot { round, .. } => stale_append_reply(term, *round),
            Message::Vote(m) | Message::HandOverVote(m) => {
                Message::VoteReply(crate::message::VoteReply {
                    is_pre_vote: m.is_pre_vote,
                    term,
                    is_granted: false,
                })
            }
            Message::VoteReply(_)
            | Message::VoteWithoutMemory(_)
            | Message::AppendReply(_)
            | Message::HandOver { .. } => return,
        };
        self.send(from, reply);
    }

    pub(crate) fn has_recent_leader_contact(&self) -> bool {
        match self.role {
            Role::Leader => true,
            _ => {
                self.leader.is_some()
                    && self
                        .last_leader_contact_ms
                        .is_some_and(|at| self.now_ms < at + MIN_ELECTION_TIMEOUT_MS)
            }
        }
    }

    /// Appends a command to the log. Returns its index and term.
    ///
    /// Fails unless this replica is the leader.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(LogIndex, Term), ProposeError> {
        self.check_leader()?;
        let index = self.append_as_leader(Payload::Command(Arc::new(command)));
        Ok((index, self.hard_state.term))
    }

    /// Starts a linearizable read and returns its number.
    ///
    /// Once confirmed by a quorum, the read is returned by [`Node::take_ready_reads`]. Fails on a
    /// leader that has not committed an entry of its own term yet.
    pub fn read(&mut self) -> Result<u64, ProposeError> {
        self.start_read(self.commit)
    }

    /// Starts a read that also sees each command which was proposed here before it.
    pub fn read_after_proposals(&mut self) -> Result<u64, ProposeError> {
        self.start_read(self.log.last_index())
    }

    fn start_read(&mut self, index: LogIndex) -> Result<u64, ProposeError> {
        self.check_leader()?;
        if !self.has_committed_in_term() {
            return Err(ProposeError::NotLeader { leader: None });
        }
        self.last_read += 1;
        self.round += 1;
        self.reads.push_back(PendingRead {
            read: self.last_read,
            round: self.round,
            index,
        });
        self.broadcast_heartbeat();
        self.confirm_reads();
        Ok(self.last_read)
    }

    /// Takes the confirmed reads whose index is applied.
    pub fn take_ready_reads(&mut self) -> Vec<ReadReady> {
        let reads = std::mem::take(&mut self.reads_ready).into_iter();
        let (reached, waiting) = reads.partition(|read| read.index <= self.applied);
        self.reads_ready = waiting;
        reached
    }

    pub(crate) fn check_leader(&self) -> Result<(), ProposeError> {
        match self.role {
            Role::Leader => Ok(()),
            _ => Err(ProposeError::NotLeader {
                leader: self.leader,
            }),
        }
    }

    /// Whether all entries known to be committed are applied.
    ///
    /// Also requires a committed entry of the current term, and on a follower a commit index from a
    /// leader: without these, a new leader or a restarted replica cannot know what is committed.
    pub fn has_caught_up(&self) -> bool {
        let is_leader_commit_applied = match self.role {
            Role::Leader => true,
            _ => self
                .max_leader_commit
                .is_some_and(|leader_commit| self.applied >= leader_commit),
        };
        is_leader_commit_applied && self.applied == self.commit && self.has_committed_in_term()
    }

    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit) == Some(self.hard_state.term)
    }

    /// Takes the pending work for the driver.
    pub fn ready(&mut self) -> Ready {
        let mut ready = std::mem::take(&mut self.ready);
        ready.last = (self.log.last_index(), self.log.last_term());
        ready
    }

    /// Reports that the records of the [`Ready`] with this [`last`](Ready::last) are durable.
    pub fn persisted(&mut self, (index, term): (LogIndex, Term)) {
        // A later append may have replaced the entry in the meantime.
        if self.log.term_at(index) == Some(term) {
            self.durable = self.durable.max(index);
        }
        let durable_term = self.log.term_at(self.durable).unwrap_or_default();
        if self.forgotten_term.is_some_and(|term| durable_term > term) {
            self.forgotten_term = None;
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Takes the committed and durable entries that were not yet returned.
    pub fn take_committed(&mut self) -> Vec<Entry> {
        // Only durable entries are applied, so that a restart never loses an acknowledged entry.
        let until = self.commit.min(self.durable);
        let count = until.saturating_sub(self.applied) as usize;
        let entries = self.log.range(self.applied + 1, count);
        self.applied = self.applied.max(until);
        entries
    }

    /// Replaces the log up to and including `index` by a snapshot of the state at that index.
    ///
    /// Returns `None` if `index` is not applied yet or already compacted.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) -> Option<StateSnapshot> {
        if index > self.applied || index <= self.log.start_index() {
            return None;
        }
        let snapshot = StateSnapshot {
            index,
            term: self.log.term_at(index)?,
            membership: self.log.membership_at(index).clone(),
            data: Arc::new(data),
        };
        self.log.compact(index);
        self.snapshot = Some(snapshot.clone());
        Some(snapshot)
    }

    /// Whether every reachable replica has all entries up to an index, so that none of them needs a
    /// snapshot once these entries are compacted.
    pub fn peers_have(&self, index: LogIndex) -> bool {
        let mut reachable = self.progress.values().filter(|p| self.is_reachable(p));
        reachable.all(|progress| progress.match_index >= index)
    }

    pub(crate) fn send(&mut self, to: ReplicaId, message: Message) {
        let envelope = self.envelope(to, message);
        self.ready.messages.push(envelope);
    }

    pub(crate) fn send_early(&mut self, to: ReplicaId, message: Message) {
        let envelope = self.envelope(to, message);
        self.ready.early_messages.push(envelope);
    }

    fn envelope(&self, to: ReplicaId, message: Message) -> Envelope {
        Envelope {
            from: self.id,
            to,
            message,
        }
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.ready.hard_state = Some(hard_state);
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let wait_ms = self
            .rng
            .random_range(MIN_ELECTION_TIMEOUT_MS..=MAX_ELECTION_TIMEOUT_MS);
        self.election_deadline_ms = self.now_ms + wait_ms;
    }

    /// Time of the last contact with a member; the current time for this replica itself.
    pub(crate) fn contact_ms(&self, id: ReplicaId) -> u64 {
        if id == self.id {
            return self.now_ms;
        }
        self.progress.get(&id).map_or(0, |p| p.last_ack_ms)
    }
}

fn stale_append_reply(term: Term, round: u64) -> Message {
    Message::AppendReply(crate::message::AppendReply {
        term,
        is_match: false,
        index: 0,
        round,
    })
}
