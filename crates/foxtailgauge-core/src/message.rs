//! Log entries and messages of a consensus group.

use crate::ids::{LogIndex, ReplicaId, Term};
use crate::membership::Membership;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Content of one log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by each new leader to commit the entries of earlier terms.
    Noop,
    /// Encoded command of the replicated state machine.
    Command(Arc<Vec<u8>>),
    /// New membership; takes effect as soon as it is in the log, before it is committed.
    Membership(Membership),
}

/// One log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content of the entry.
    pub payload: Payload,
}

/// State of the state machine at one index; replaces the log up to that index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// Last index included in the snapshot.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that index.
    pub membership: Membership,
    /// Encoded state machine.
    pub data: Arc<Vec<u8>>,
}

/// Vote request; a pre-vote asks whether the vote would be granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Whether this is a pre-vote, which changes no term and no vote.
    pub is_pre_vote: bool,
    /// Term of the election.
    pub term: Term,
    /// Index of the candidate's last entry.
    pub last_index: LogIndex,
    /// Term of the candidate's last entry.
    pub last_term: Term,
}

/// Reply to a vote request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Copied from the request.
    pub is_pre_vote: bool,
    /// Term of the election if granted, otherwise the voter's term.
    pub term: Term,
    /// Whether the vote is granted.
    pub is_granted: bool,
}

/// New entries, or a heartbeat if there are none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Leader's term.
    pub term: Term,
    /// Index before the first entry.
    pub prev_index: LogIndex,
    /// Term at `prev_index`.
    pub prev_term: Term,
    /// Entries with consecutive indexes from `prev_index + 1`.
    pub entries: Vec<Entry>,
    /// Leader's commit index.
    pub commit: LogIndex,
    /// Number of the leader's heartbeat round, which confirms reads.
    pub round: u64,
}

/// Reply to an append request or a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Follower's term.
    pub term: Term,
    /// Whether the follower's log matches the leader's up to `index`.
    pub is_match: bool,
    /// Last index known to match; without a match, the `prev_index` to try next.
    pub index: LogIndex,
    /// Copied from the request.
    pub round: u64,
}

/// A message between replicas of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote or a pre-vote.
    Vote(VoteRequest),
    /// Replies to a vote request.
    VoteReply(VoteReply),
    /// Replicates entries, or serves as a heartbeat.
    Append(AppendRequest),
    /// Replies to an append request or a snapshot.
    AppendReply(AppendReply),
    /// Sent to a replica that needs entries that the leader has already compacted.
    Snapshot {
        /// Leader's term.
        term: Term,
        /// Number of the leader's heartbeat round.
        round: u64,
        /// Snapshot to install.
        snapshot: StateSnapshot,
    },
    /// Asks a voter to start an election at once, as its leader is about to stop.
    HandOver {
        /// Leader's term.
        term: Term,
    },
    /// Requests a vote on behalf of a leader that hands over: voters grant it despite their recent
    /// contact with that leader.
    HandOverVote(VoteRequest),
    /// Reply to a vote request by a voter that lost its disk and has no memory of its votes and
    /// entries before that.
    VoteWithoutMemory(VoteReply),
}

impl Message {
    /// Term of the message; that of the election for votes and granted replies.
    pub fn term(&self) -> Term {
        match self {
            Message::Vote(m) | Message::HandOverVote(m) => m.term,
            Message::VoteReply(m) | Message::VoteWithoutMemory(m) => m.term,
            Message::Append(m) => m.term,
            Message::AppendReply(m) => m.term,
            Message::Snapshot { term, .. } | Message::HandOver { term } => *term,
        }
    }
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
}
