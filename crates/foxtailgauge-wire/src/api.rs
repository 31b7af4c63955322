//! Bodies of the admin HTTP interface.

use foxtailgauge_core::{
    AuditEntry, ChangeAnswer, ChangeId, ConfigProblem, ConfigVersion, Digest, FailureDomain,
    Revision, RevisionRecord,
};
use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;

/// Body of `PUT /v1/teams/TEAM/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Identifier kept across resends.
    pub change_id: ChangeId,
    /// Revision the change was made against; 0 for a team without configuration.
    pub base_revision: Revision,
    /// The team's whole new text.
    pub text: String,
    /// Who makes the change.
    pub author: String,
    /// Revision that a rollback restores.
    #[serde(default)]
    pub rollback_of: Option<Revision>,
}

/// Body of `POST /v1/teams/TEAM/check`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckBody {
    /// The team's whole new text.
    pub text: String,
}

/// Answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// The change.
    pub change_id: ChangeId,
    /// What was decided.
    pub answer: ChangeAnswer,
}

/// Answer to a check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReply {
    /// All problems; none if the text would be accepted.
    pub problems: Vec<ConfigProblem>,
}

/// Answer to `GET /v1/teams/TEAM/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Revisions, oldest first.
    pub revisions: Vec<RevisionRecord>,
}

/// Answer to `GET /v1/teams/TEAM/audit`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditReply {
    /// Entries, oldest first.
    pub entries: Vec<AuditEntry>,
}

/// Answer to `GET /v1/local`: what the daemon that answers holds itself.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalReply {
    /// Daemon.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Version held.
    pub version: ConfigVersion,
    /// Digest of that version; hex in JSON.
    #[serde_as(as = "Hex")]
    pub digest: Digest,
    /// Highest version heard of.
    pub highest_version: ConfigVersion,
    /// Time since contact with a majority of the replicas, in milliseconds.
    pub quorum_age_ms: Option<u64>,
    /// Live daemons known.
    pub live_daemons: u32,
}

/// Body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// What is wrong.
    pub code: ErrorCode,
}

/// Codes of refusals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The body is not of the expected form.
    Malformed,
    /// The team's name is not valid.
    BadTeam,
    /// No token, or one that fits no team.
    Unauthorized,
    /// The token belongs to another team.
    Forbidden,
    /// No such team or revision.
    NotFound,
    /// No majority of replicas can be reached. Nothing was changed.
    Unavailable,
    /// The change may or may not take effect; ask again with the same change id.
    OutcomeUnknown,
}
