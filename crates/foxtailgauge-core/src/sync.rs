//! Messages between a subscriber and its source of configuration, and when to change the source.

use crate::directory::{Cursor, InstanceState};
use crate::ids::{ConfigVersion, DaemonName, Digest, FailureDomain, Incarnation};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// Quorum contact older than this makes a subscriber look for a better source, in milliseconds.
///
/// Longer than an election, and short enough for a change that is accepted elsewhere to be in force
/// in time by way of another source.
pub const STALE_SOURCE_MS: u64 = 1_300;
/// Time without a report after which a subscriber counts as lost, in milliseconds.
pub const SUBSCRIBER_LEASE_MS: u64 = 6_000;
/// Interval of reports without changes, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 2_000;

/// How current a source is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// Version the source holds.
    pub version: ConfigVersion,
    /// Highest version the source knows of.
    pub highest_version: ConfigVersion,
    /// Time since the source had contact, itself or through its own source, with a leader that had
    /// contact with a majority; in milliseconds. `None`: never.
    pub quorum_age_ms: Option<u64>,
    /// Start of the source process.
    pub epoch: u64,
}

impl Freshness {
    /// Whether the source is known to lag or has lost contact with the majority.
    pub fn is_stale(&self, highest_known_version: ConfigVersion) -> bool {
        let has_contact = self.quorum_age_ms.is_some_and(|age| age <= STALE_SOURCE_MS);
        self.version < highest_known_version.max(self.highest_version) || !has_contact
    }

    /// Whether the source had contact with the majority and has lost it.
    pub fn has_lost_contact(&self) -> bool {
        self.quorum_age_ms.is_some_and(|age| age > STALE_SOURCE_MS)
    }
}

/// Asks for what is newer than what the subscriber holds; answered at once if there are changes, else
/// when there is, or after `hold_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Subscriber.
    pub daemon: DaemonName,
    /// Version it holds; 0 for none.
    pub current_version: ConfigVersion,
    /// Digest of that version.
    pub current_digest: Digest,
    /// How far it has read the source's directory.
    pub cursor: Option<Cursor>,
    /// Longest time until the answer.
    pub hold_ms: u64,
}

/// Answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollReply {
    /// What is new.
    Changes {
        /// Newer configuration, if there is one: an encoded [`Update`](crate::Update), which is the
        /// same for all subscribers that hold the same version.
        update: Option<Arc<Vec<u8>>>,
        /// Changed entries of the directory.
        instances: Vec<InstanceState>,
        /// How far the directory is now read.
        cursor: Cursor,
        /// How current the source is.
        freshness: Freshness,
    },
    /// The source admits no more sessions now.
    Busy {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A set of daemons in constant size: their number, and the sum of hashes of their identities.
///
/// Two sets are taken as equal when both agree. A daemon that is counted twice, while it moves from
/// one source to another, makes the set differ instead of standing in for a missing daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberSet {
    /// Number of daemons.
    pub daemons: u32,
    /// Wrapping sum of [`identity_hash`] over the daemons.
    pub hash_sum: u64,
}

impl MemberSet {
    /// Adds one daemon.
    pub fn insert(&mut self, name: &str, incarnation: Incarnation) {
        self.daemons += 1;
        self.hash_sum = self.hash_sum.wrapping_add(identity_hash(name, incarnation));
    }

    /// Adds the daemons of another set.
    pub fn extend(&mut self, other: MemberSet) {
        self.daemons += other.daemons;
        self.hash_sum = self.hash_sum.wrapping_add(other.hash_sum);
    }
}

/// Hash of one process of a daemon.
pub fn identity_hash(name: &str, incarnation: Incarnation) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(incarnation.to_be_bytes());
    hasher.update(name);
    let hash: [u8; 32] = hasher.finalize().into();
    let mut head = [0; 8];
    head.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(head)
}

/// Daemons of one failure domain that hold one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionCount {
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Version held.
    pub version: ConfigVersion,
    /// The daemons.
    pub members: MemberSet,
}

/// Tells the source about the subscriber and all that take from it; renews its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRequest {
    /// Subscriber.
    pub daemon: DaemonName,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Changed entries of the directory, own and from its subtree.
    pub instances: Vec<InstanceState>,
    /// Versions held in the subtree, the subscriber included.
    pub counts: Vec<VersionCount>,
}

/// Answer to a report or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// How current the source is.
    pub freshness: Freshness,
}
