//! Requests to the replicas: changes, reads, ledger commands, formation of consensus groups.

use foxtailgauge_core::{
    ActionKey, AuditEntry, Change, ChangeAnswer, ConfigProblem, ConfigVersion, DaemonName, Digest,
    Document, FailureDomain, InstanceState, LedgerAnswer, LedgerCommand, MemberSet, Membership,
    ReplicaId, Revision, RevisionRecord, Role, Rollout, RolloutAnswer, RolloutCommand,
    RolloutRecord, ServerLoad, ServiceName, Summary, TeamName, Term, UsageReply, UsageRequest,
    VersionCount, VoterReport, WorkspaceLoad, WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A consensus group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    /// Replicates the configuration.
    Config,
    /// Replicates the ledger of billable actions.
    Ledger,
}

impl Group {
    /// All groups.
    pub const ALL: [Group; 2] = [Group::Config, Group::Ledger];

    /// Number of the group in messages between daemons.
    pub fn number(self) -> u8 {
        match self {
            Group::Config => 0,
            Group::Ledger => 1,
        }
    }

    /// The group with this number, if there is one.
    pub fn from_number(number: u8) -> Option<Self> {
        Group::ALL
            .into_iter()
            .find(|group| group.number() == number)
    }

    /// Name of the group in file names, metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Group::Config => "config",
            Group::Ledger => "ledger",
        }
    }
}

/// A request to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitRequest {
    /// Replaces a team's configuration.
    Change(Change),
    /// Validates a configuration text without changing anything.
    Check {
        /// Team.
        team: TeamName,
        /// The complete new configuration text.
        text: String,
    },
    /// Reads one revision of a team; the newest if `revision` is `None`.
    Read {
        /// Team.
        team: TeamName,
        /// Revision.
        revision: Option<Revision>,
    },
    /// Reads the document of a team's newest revision.
    ReadDocument {
        /// Team.
        team: TeamName,
    },
    /// Reads all retained revisions of a team.
    History {
        /// Team.
        team: TeamName,
    },
    /// Reads the audit trail of one team, or of all teams.
    Audit {
        /// Team, or `None` for all.
        team: Option<TeamName>,
    },
    /// Reads the status of the fleet.
    Status,
    /// Removes an unreachable daemon from the list of those expected to return.
    Forget {
        /// Daemon.
        daemon: DaemonName,
    },
    /// Executes a ledger command.
    Ledger(LedgerCommand),
    /// Adds a replica to a group as a learner.
    Join {
        /// Group.
        group: Group,
        /// Identifier of the new replica.
        replica: ReplicaId,
        /// Control address of the new replica.
        control_addr: String,
    },
    /// Reads whether the replica already belongs to a group.
    Formation,
    /// Counts for the sums over all daemons, to a collector.
    Usage(UsageRequest),
    /// Orders a rollout or moves one on. The leader sets the time.
    Rollout(RolloutCommand),
    /// Reads the latest rollout and the records of one service, or of all services.
    ReadRollouts {
        /// Service, or `None` for all.
        service: Option<ServiceName>,
    },
    /// Reads the loads of the backend servers beside a daemon.
    ServerLoads {
        /// Service, or `None` for all.
        service: Option<ServiceName>,
    },
    /// Reads the limited workspaces of a collector.
    WorkspaceLoads,
    /// Reads what the ledger knows of an action.
    ReadAction {
        /// The action.
        key: ActionKey,
        /// Hash of the request, as in a claim.
        request: Digest,
    },
    /// Reads the replicas that a daemon knows.
    ReadReplicas,
    /// Prepares a group for the stop of a replica: removes it where the others tolerate as many losses
    /// without it, or else makes it hand over the lead.
    Leave {
        /// Group.
        group: Group,
        /// Identifier of the replica.
        replica: ReplicaId,
    },
    /// Reads what a member tells a replica that lost its disk.
    ReportVoter {
        /// Group.
        group: Group,
    },
}

/// Reply to a [`SubmitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// Result of a change.
    Change(ChangeAnswer),
    /// Problems found by a check; none if the text would be accepted.
    Checked(Vec<ConfigProblem>),
    /// The requested revision, if there is one.
    Revision(Option<RevisionRecord>),
    /// The document of the newest revision, if that revision was made from a document.
    Document(Option<Document>),
    /// Revisions, oldest first.
    History(Vec<RevisionRecord>),
    /// Audit entries, oldest first.
    Audit(Vec<AuditEntry>),
    /// Status of the fleet.
    Status(Box<FleetStatus>),
    /// Whether an unreachable daemon of that name was found and removed.
    Forgotten(bool),
    /// Result of a ledger command.
    Ledger(LedgerAnswer),
    /// The replica is a member of the group or is being added as a learner.
    Joined,
    /// Whether the replica belongs to a group.
    Formation(FormationState),
    /// The replica is not the leader of the group. The request had no effect.
    NotLeader {
        /// Control address of the leader, if it is known.
        leader_addr: Option<String>,
    },
    /// The replica cannot process requests at present. The request had no effect.
    Unavailable,
    /// The command was appended to the log but not committed in time; it may or may not take
    /// effect.
    OutcomeUnknown,
    /// Reply of a collector.
    Usage(UsageReply),
    /// Result of a command of a rollout.
    Rollout(RolloutAnswer),
    /// Rollouts.
    Rollouts {
        /// The latest rollout of each service.
        latest: BTreeMap<ServiceName, Rollout>,
        /// Accepted commands, oldest first.
        records: Vec<RolloutRecord>,
    },
    /// Backend servers beside the daemon.
    ServerLoads {
        /// Loads, at most 256.
        loads: Vec<ServerLoad>,
        /// Number of backend servers left out.
        left_out: u32,
    },
    /// Limited workspaces.
    WorkspaceLoads {
        /// Loads, as far as the other collectors are heard.
        loads: Summary<WorkspaceLoad>,
        /// Control addresses of the other collectors that are not heard.
        silent_collectors: Vec<String>,
    },
    /// The answer to a claim of the action if it would not be granted.
    Action(Option<LedgerAnswer>),
    /// Directory entries of replicas, those of lost and stopped ones included.
    Replicas(Vec<InstanceState>),
    /// The group is prepared for the stop of the replica.
    Left,
    /// The state of a member.
    Voter(Box<VoterReport>),
}

/// Whether a replica belongs to a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FormationState {
    /// The replica is waiting for the group's initial members.
    Forming {
        /// Identifier of the replica.
        replica: ReplicaId,
        /// Control address of the replica.
        control_addr: String,
    },
    /// The replica belongs to a group.
    Formed {
        /// Initial members of the group.
        initial: Membership,
    },
}

/// Status of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Highest accepted configuration version.
    pub version: ConfigVersion,
    /// Daemon that responded.
    pub answered_by: DaemonName,
    /// Status of each consensus group.
    pub groups: Vec<GroupStatus>,
    /// Live daemons, by failure domain.
    pub domains: Vec<DomainStatus>,
    /// Daemons at each configuration version, by failure domain.
    pub held: Vec<VersionCount>,
    /// Idempotency keys recorded in the ledger; 0 if the responding replica does not hold it.
    pub ledger_keys: u64,
    /// Workspaces that send more than their allotment, as the responding replica knows them.
    #[serde(default)]
    pub limited: Vec<LimitedWorkspace>,
}

/// A workspace that sends more than its allotment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitedWorkspace {
    /// Name.
    pub workspace: WorkspaceName,
    /// Requests per second of its allotment, in thousandths.
    pub rate_milli: u64,
    /// Part of its requests that gateways admit, in millionths.
    pub share_ppm: u32,
}

/// Status of one consensus group as seen by one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Group.
    pub group: Group,
    /// Role of the responding replica in the group.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Leader, if it is known.
    pub leader: Option<ReplicaId>,
    /// Index of the last committed log entry.
    pub commit_index: u64,
    /// Time since the last contact with a quorum, in milliseconds.
    pub quorum_age_ms: Option<u64>,
    /// Members.
    pub members: Membership,
}

/// Live daemons of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Live daemons.
    pub live: MemberSet,
    /// Daemons without a recent heartbeat: stopped, or partitioned and still serving their last
    /// configuration.
    pub lost: Vec<DaemonName>,
    /// Backend servers that accept new requests.
    pub ready_servers: u32,
    /// Backend servers that are draining.
    pub leaving_servers: u32,
}
