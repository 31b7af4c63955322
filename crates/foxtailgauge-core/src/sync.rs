//! Messages between a subscriber and its source of configuration, and the criteria for changing the
//! source.

use crate::directory::{Cursor, InstanceState};
use crate::ids::{ConfigVersion, DaemonName, Digest, FailureDomain, Incarnation};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// Age of the source's last quorum contact above which a subscriber looks for another source, in
/// milliseconds.
///
/// Longer than an election, so that an election causes no change of source; short enough that a
/// change accepted elsewhere still takes effect in time through another source.
pub const STALE_SOURCE_MS: u64 = 1_300;
/// Time since the last report after which a subscriber's lease expires, in milliseconds.
pub const SUBSCRIBER_LEASE_MS: u64 = 6_000;
/// Interval between reports when nothing has changed, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 2_000;

/// How up to date a source is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// Current version of the source.
    pub version: ConfigVersion,
    /// Highest version known to the source.
    pub highest_version: ConfigVersion,
    /// Time since the source last had contact, directly or through its own source, with a leader
    /// that had contact with a quorum, in milliseconds. `None` if it never had.
    pub quorum_age_ms: Option<u64>,
    /// Identifies the source process; changes with each start.
    pub epoch: u64,
}

impl Freshness {
    /// Whether the source lags behind a known version, or has no recent contact with a quorum.
    pub fn is_stale(&self, highest_known_version: ConfigVersion) -> bool {
        let has_contact = self.quorum_age_ms.is_some_and(|age| age <= STALE_SOURCE_MS);
        self.version < highest_known_version.max(self.highest_version) || !has_contact
    }

    /// Whether the source once had contact with a quorum and has lost it.
    pub fn has_lost_contact(&self) -> bool {
        self.quorum_age_ms.is_some_and(|age| age > STALE_SOURCE_MS)
    }
}

/// Long poll for changes since the subscriber's current version and cursor.
///
/// Answered at once if there are changes, else when the first one occurs or after `hold_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Name of the subscriber.
    pub daemon: DaemonName,
    /// Current version of the subscriber; 0 for none.
    pub current_version: ConfigVersion,
    /// Digest of that version.
    pub current_digest: Digest,
    /// Position up to which it has read the source's directory.
    pub cursor: Option<Cursor>,
    /// Maximum time until the reply, in milliseconds.
    pub hold_ms: u64,
}

/// Reply to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollReply {
    /// Changes since the poll's version and cursor.
    Changes {
        /// Newer configuration, if there is one: an encoded [`Update`](crate::Update), the same for
        /// all subscribers that are at the same version.
        update: Option<Arc<Vec<u8>>>,
        /// Changed entries of the directory.
        instances: Vec<InstanceState>,
        /// Position in the directory after these entries.
        cursor: Cursor,
        /// How up to date the source is.
        freshness: Freshness,
    },
    /// The source admits no further sessions at the moment.
    Busy {
        /// Time to wait before the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Constant-size summary of a set of daemons: their number and the sum of their identity hashes.
///
/// Two sets are considered equal if both values agree. A daemon may be counted twice while it moves
/// from one source to another; the hash sum then differs, so that it cannot mask a missing daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberSet {
    /// Number of daemons.
    pub daemons: u32,
    /// Wrapping sum of [`identity_hash`] over the daemons.
    pub hash_sum: u64,
}

impl MemberSet {
    /// Adds one process of a daemon.
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

/// Hash that identifies one process of a daemon.
pub fn identity_hash(name: &str, incarnation: Incarnation) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(incarnation.to_be_bytes());
    hasher.update(name);
    let hash: [u8; 32] = hasher.finalize().into();
    let mut head = [0; 8];
    head.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(head)
}

/// Daemons of one failure domain that are at the same version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionCount {
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Current version of these daemons.
    pub version: ConfigVersion,
    /// The daemons.
    pub members: MemberSet,
}

/// Report to the source on the subscriber and its subtree; renews the subscriber's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRequest {
    /// Name of the subscriber.
    pub daemon: DaemonName,
    /// Start time of the subscriber's process.
    pub incarnation: Incarnation,
    /// Changed directory entries of the subscriber and its subtree.
    pub instances: Vec<InstanceState>,
    /// Current versions in the subtree, including the subscriber's own.
    pub counts: Vec<VersionCount>,
}

/// Reply to a report or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// How up to date the source is.
    pub freshness: Freshness,
}
