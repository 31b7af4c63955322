//! Requests to the replicas: changes, reads, ledger commands, formation of a group.

use foxtailgauge_core::{
    AuditEntry, Change, ChangeAnswer, ConfigProblem, ConfigVersion, DaemonName, Document,
    FailureDomain, LedgerAnswer, LedgerCommand, MemberSet, Membership, ReplicaId, Revision,
    RevisionRecord, Role, TeamName, Term, VersionCount,
};
use serde::{Deserialize, Serialize};

/// A consensus group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    /// Configuration.
    Config,
    /// Billable actions.
    Ledger,
}

impl Group {
    /// All groups.
    pub const ALL: [Group; 2] = [Group::Config, Group::Ledger];

    /// Number on the wire.
    pub fn number(self) -> u8 {
        match self {
            Group::Config => 0,
            Group::Ledger => 1,
        }
    }

    /// The group with a number.
    pub fn from_number(number: u8) -> Option<Self> {
        Group::ALL
            .into_iter()
            .find(|group| group.number() == number)
    }

    /// Name in file names, metrics and logs.
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
    /// Replaces a team's subtree.
    Change(Change),
    /// Checks a text without changing anything.
    Check {
        /// Team.
        team: TeamName,
        /// Its whole new text.
        text: String,
    },
    /// Reads one revision of a team; the newest if none is named.
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
    /// Reads all revisions kept of a team.
    History {
        /// Team.
        team: TeamName,
    },
    /// Reads the audit trail of one team, or of all.
    Audit {
        /// Team.
        team: Option<TeamName>,
    },
    /// Reads where the fleet stands.
    Status,
    /// Takes a lost daemon off the list of those that may come back.
    Forget {
        /// Daemon.
        daemon: DaemonName,
    },
    /// A command to the ledger.
    Ledger(LedgerCommand),
    /// Asks to become a learner.
    Join {
        /// Group.
        group: Group,
        /// The new replica.
        replica: ReplicaId,
        /// Its control address.
        control_addr: String,
    },
    /// Asks whether the replica already belongs to a group.
    Formation,
}

/// Answer to a [`SubmitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// Answer to a change.
    Change(ChangeAnswer),
    /// Answer to a check; no problem means the text would be accepted.
    Checked(Vec<ConfigProblem>),
    /// The revision, if there is one.
    Revision(Option<RevisionRecord>),
    /// The document of the newest revision, if it was made by one.
    Document(Option<Document>),
    /// Revisions, oldest first.
    History(Vec<RevisionRecord>),
    /// Audit entries, oldest first.
    Audit(Vec<AuditEntry>),
    /// Where the fleet stands.
    Status(FleetStatus),
    /// Whether a lost daemon of that name was found and forgotten.
    Forgotten(bool),
    /// The ledger's answer.
    Ledger(LedgerAnswer),
    /// The learner is or becomes a member.
    Joined,
    /// Whether and how a group is formed.
    Formation(FormationState),
    /// The replica does not lead the group. Nothing was done.
    NotLeader {
        /// Control address of the leader, if it is known.
        leader_addr: Option<String>,
    },
    /// The replica cannot serve now. Nothing was done.
    Unavailable,
    /// The command was written but not committed in time: it may or may not take effect.
    OutcomeUnknown,
}

/// Whether a replica belongs to a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FormationState {
    /// It waits for the group's first members.
    Forming {
        /// Its identity.
        replica: ReplicaId,
        /// Its control address.
        control_addr: String,
    },
    /// It belongs to a group with these first members.
    Formed {
        /// First members.
        initial: Membership,
    },
}

/// Where the fleet stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Highest accepted version.
    pub version: ConfigVersion,
    /// Daemon that answers.
    pub answered_by: DaemonName,
    /// Replicas of each group.
    pub groups: Vec<GroupStatus>,
    /// Live daemons, by failure domain.
    pub domains: Vec<DomainStatus>,
    /// Versions held, by failure domain.
    pub held: Vec<VersionCount>,
    /// Keys on record in the ledger, if the answering replica holds it.
    pub ledger_keys: u64,
}

/// One consensus group, seen from one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Group.
    pub group: Group,
    /// Part of the answering replica.
    pub role: Role,
    /// Term.
    pub term: Term,
    /// Leader.
    pub leader: Option<ReplicaId>,
    /// Last committed index.
    pub commit_index: u64,
    /// Time since contact with a majority, in milliseconds.
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
    /// Daemons that are not heard: dead, or cut off and serving what they hold.
    pub lost: Vec<DaemonName>,
    /// Backend servers that take work.
    pub ready_servers: u32,
    /// Backend servers that leave.
    pub leaving_servers: u32,
}
