//! Entries and messages of a consensus group.

use crate::ids::{LogIndex, ReplicaId, Term};
use crate::membership::Membership;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Content of one log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Written by each new leader to commit what earlier terms left.
    Noop,
    /// A command of the replicated state machine, encoded.
    Command(Arc<Vec<u8>>),
    /// A new membership; in force as soon as it is in the log.
    Membership(Membership),
}

/// One log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position.
    pub index: LogIndex,
    /// Term of the leader that wrote it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// State of the state machine at one index, in place of the log up to there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// Last index contained.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that index.
    pub membership: Membership,
    /// Encoded state machine.
    pub data: Arc<Vec<u8>>,
}

/// A request for a vote; a pre-vote asks whether one would be given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Whether this only asks, without changing terms.
    pub is_pre_vote: bool,
    /// Term of the election.
    pub term: Term,
    /// Candidate's last log index.
    pub last_index: LogIndex,
    /// Term of the candidate's last entry.
    pub last_term: Term,
}

/// Answer to a vote request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Copied from the request.
    pub is_pre_vote: bool,
    /// Term of the election if granted, else the voter's term.
    pub term: Term,
    /// Whether the vote is given.
    pub is_granted: bool,
}

/// New entries, or a heartbeat without entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Leader's term.
    pub term: Term,
    /// Index before the first entry.
    pub prev_index: LogIndex,
    /// Term at `prev_index`.
    pub prev_term: Term,
    /// Entries, without gaps.
    pub entries: Vec<Entry>,
    /// Leader's commit index.
    pub commit: LogIndex,
    /// Number of the leader's heartbeat round, for reads and leadership checks.
    pub round: u64,
}

/// Answer to an append or a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Follower's term.
    pub term: Term,
    /// Whether the follower's log holds the entries.
    pub is_match: bool,
    /// Last index known to match; if not matching, where to try next.
    pub index: LogIndex,
    /// Copied from the request.
    pub round: u64,
}

/// A message between replicas of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answers it.
    VoteReply(VoteReply),
    /// Replicates entries.
    Append(AppendRequest),
    /// Answers appends and snapshots.
    AppendReply(AppendReply),
    /// Brings a replica past the start of the leader's log.
    Snapshot {
        /// Leader's term.
        term: Term,
        /// Number of the heartbeat round.
        round: u64,
        /// The state.
        snapshot: StateSnapshot,
    },
}

impl Message {
    /// Term the message was sent in.
    pub fn term(&self) -> Term {
        match self {
            Message::Vote(m) => m.term,
            Message::VoteReply(m) => m.term,
            Message::Append(m) => m.term,
            Message::AppendReply(m) => m.term,
            Message::Snapshot { term, .. } => *term,
        }
    }
}

/// A message with its ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// Content.
    pub message: Message,
}
