//! Request and response bodies of the admin HTTP API.

use foxtailgauge_core::{
    AuditEntry, ChangeAnswer, ChangeId, ConfigProblem, ConfigVersion, Digest, FailureDomain,
    LocatedLoad, Revision, RevisionRecord, Rollout, RolloutAnswer, RolloutRecord, ServerGroup,
    ServerVersion, ServiceName, Summary, WorkspaceLoad,
};
use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;
use std::collections::BTreeMap;

/// Body of `PUT /v1/teams/TEAM/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Identifier of the change; the same across retries.
    pub change_id: ChangeId,
    /// Revision that the change is based on; 0 for a team without configuration.
    pub base_revision: Revision,
    /// The team's complete new configuration text.
    pub text: String,
    /// Author of the change.
    pub author: String,
    /// Revision that is restored, if the change is a rollback.
    #[serde(default)]
    pub rollback_of: Option<Revision>,
}

/// Body of `POST /v1/teams/TEAM/check`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckBody {
    /// The team's complete new configuration text.
    pub text: String,
}

/// Response to `PUT /v1/teams/TEAM/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// Identifier of the change.
    pub change_id: ChangeId,
    /// Result of the change.
    pub answer: ChangeAnswer,
}

/// Response to `POST /v1/teams/TEAM/check`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReply {
    /// All problems found; empty if the text would be accepted.
    pub problems: Vec<ConfigProblem>,
}

/// Response to `GET /v1/teams/TEAM/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Revisions, oldest first.
    pub revisions: Vec<RevisionRecord>,
}

/// Response to `GET /v1/teams/TEAM/audit`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditReply {
    /// Audit entries, oldest first.
    pub entries: Vec<AuditEntry>,
}

/// Body of `POST /v1/rollouts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutBody {
    /// Service with its team.
    pub service: ServiceName,
    /// Version to roll out.
    pub target_version: ServerVersion,
    /// Time to the deadline.
    pub duration_ms: u64,
    /// Who orders it.
    pub author: String,
}

/// Response to `POST /v1/rollouts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReply {
    /// Result of the order.
    pub answer: RolloutAnswer,
}

/// Response to `GET /v1/rollouts`, and to `GET /v1/rollouts/TEAM/SERVICE` for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutsReply {
    /// The latest rollout of each service.
    pub latest: BTreeMap<ServiceName, Rollout>,
    /// Steps, oldest first.
    pub records: Vec<RolloutRecord>,
}

/// Daemons that did not answer in time, and those that are lost. None of their figures are shown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingDaemons {
    /// Number.
    pub count: u32,
    /// Names, at most 256.
    pub names: Vec<String>,
}

/// Response to `GET /v1/servers`: the backend servers of the daemons that answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServersReply {
    /// Daemons with backend servers that answered.
    pub answered: u32,
    /// Daemons that did not.
    pub missing: MissingDaemons,
    /// Sums by service and failure domain, those with the highest load per slot first.
    pub groups: Summary<ServerGroup>,
    /// Each backend server, at most 256, if one service was asked for.
    pub servers: Vec<LocatedLoad>,
    /// Backend servers of that service that are not listed.
    pub servers_left_out: u32,
}

/// Response to `GET /v1/workspaces`: workspaces that send more than their allotment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspacesReply {
    /// Control address of the replica whose sums these are.
    pub collector: String,
    /// Replicas that did not answer, or whose counts the collector does not have.
    pub missing: MissingDaemons,
    /// Workspaces, those with the most refused requests per second first.
    pub workspaces: Summary<WorkspaceLoad>,
}

/// Response to `GET /v1/local`: the local state of the responding daemon.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalReply {
    /// Name of the daemon.
    pub name: String,
    /// Failure domain of the daemon.
    pub failure_domain: FailureDomain,
    /// Configuration version of the daemon.
    pub version: ConfigVersion,
    /// Digest of that version, in hexadecimal.
    #[serde_as(as = "Hex")]
    pub digest: Digest,
    /// Highest configuration version that the daemon knows to exist.
    pub highest_version: ConfigVersion,
    /// Time since the last contact with a quorum of the replicas, in milliseconds.
    pub quorum_age_ms: Option<u64>,
    /// Number of daemons known to be live.
    pub live_daemons: u32,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Kind of error.
    pub code: ErrorCode,
}

/// Error codes of the admin API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request body is malformed.
    Malformed,
    /// The team name is invalid.
    BadTeam,
    /// The token is missing or does not belong to any team.
    Unauthorized,
    /// The token belongs to another team.
    Forbidden,
    /// The team or revision does not exist.
    NotFound,
    /// No quorum of replicas is reachable. Nothing was changed.
    Unavailable,
    /// The change may or may not take effect; retry with the same change id.
    OutcomeUnknown,
}
