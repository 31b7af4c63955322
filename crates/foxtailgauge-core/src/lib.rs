//! The decision logic of foxtailgauge, without I/O, clock or randomness of its own.
//!
//! Every module takes events and the current time and returns actions, which the daemon executes.
//!
//! ```
//! use foxtailgauge_core::{Change, ChangeAnswer, Registry};
//!
//! let mut registry = Registry::default();
//! let change = Change {
//!     team: "rybar".to_owned(),
//!     change_id: "first".to_owned(),
//!     base_revision: 0,
//!     text: "[services/viewer]\n".to_owned(),
//!     author: "operator".to_owned(),
//!     at_ms: 0,
//!     rollback_of: None,
//!     document: None,
//! };
//! let accepted = ChangeAnswer::Accepted { version: 1, revision: 1 };
//! assert_eq!(registry.apply(&change), accepted);
//! // A retry gets the same answer and creates no second version.
//! assert_eq!(registry.apply(&change), accepted);
//! assert_eq!(registry.version(), 1);
//! ```

mod admission;
mod allotment;
mod attempts;
mod backoff;
mod balance;
mod caller_timeout;
mod capacity;
mod collector;
mod collector_bucket;
mod config;
mod config_fields;
mod consensus;
mod decaying_sum;
mod deferred_losses;
mod directory;
mod election;
mod fair_turns;
mod fleet_check;
mod gateway_bucket;
mod host_route;
mod ids;
mod introductions;
mod ledger;
mod link_acks;
mod log;
mod membership;
mod membership_change;
mod message;
mod pace;
mod pipeline;
mod placement;
mod planned_stop;
mod quarantine;
mod rate_limit;
mod registry;
mod registry_v1;
mod replication;
mod reply_link;
mod retry;
mod rollout;
mod rollout_judge;
mod rollout_slowness;
mod run_times;
mod server_statement;
mod snapshot;
mod source_choice;
mod stored_route;
mod subscriber_table;
mod sync;
mod throttle;
mod tree;
mod usage;
mod usage_encoding;
mod voter_recovery;
mod waiting_changes;
mod work_queue;
mod workspace;

pub use admission::{Admission, AdmissionGate, AdmissionRefusal};
pub use allotment::{AllotmentGate, FLOOR_AFTER, USAGE_HEARTBEAT};
pub use attempts::{AttemptEnd, Attempts, NextAction, MAX_PLACEMENTS};
pub use backoff::{Backoff, SessionLimit};
pub use balance::{Balancer, CallHealth, Candidate, ServerKey};
pub use caller_timeout::{CallerTimeouts, CallerTry};
pub use capacity::{
    summarize_workspaces, LocatedLoad, ServerGroup, ServerGroups, ServerLoad, Summary,
    WorkspaceLoad, MAX_CAPACITY_ENTRIES,
};
pub use collector::{Collector, LimitChange, MAX_REPLY_WORKSPACES};
pub use config::{
    is_valid_name, parse_team, parse_team_from, prefix_matches, ConfigProblem, ConfigProblemKind,
    ParsedTeam, Route, Service, TeamConfig, DEFAULT_QUEUE_REQUESTS, MAX_TEXT_BYTES,
};
pub use consensus::{
    HardState, Node, PersistedState, ProposeError, ReadReady, Ready, Role, HEARTBEAT_INTERVAL_MS,
    MAX_ELECTION_TIMEOUT_MS, MIN_ELECTION_TIMEOUT_MS,
};
pub use deferred_losses::DeferredLosses;
pub use directory::{Cursor, Directory, InstanceState, Presence, ServerEntry, ServerState};
pub use fleet_check::check_fleet;
pub use host_route::{CallerLimits, HostRoute, HostTable, WeightedService};
pub use ids::{
    ActionKey, AttemptId, ChangeId, ConfigVersion, DaemonName, Digest, FailureDomain, Incarnation,
    LogIndex, ReplicaId, Revision, RouteName, ServerVersion, ServiceName, TeamName, Term, UnixMs,
    WorkspaceName,
};
pub use introductions::Introductions;
pub use ledger::{
    key_time_ms, Claimant, Ledger, LedgerAnswer, LedgerCommand, RecordedResponse, CLAIM_GRACE_MS,
    MAX_KEY_SKEW_MS, MAX_VOIDED_ATTEMPTS,
};
pub use link_acks::{AckMonitor, AckPacer};
pub use log::Log;
pub use membership::{Member, Membership, VoterStatus};
pub use message::{
    AppendReply, AppendRequest, Entry, Envelope, Message, Payload, StateSnapshot, VoteReply,
    VoteRequest,
};
pub use pace::Pace;
pub use pipeline::{
    Pipeline, PipelineAction, PipelineId, RequestKind, LARGE_RESPONSE_BYTES, MAX_HELD_BYTES,
    MAX_PIPELINED, MAX_RUNNING,
};
pub use placement::{AttemptHealth, AttemptReport, Placement, PlacementRequest};
pub use planned_stop::{LateRequest, StopPlan};
pub use quarantine::{
    fingerprint, large_request_digest, request_digest, Fingerprint, Suspect, SuspectIndex,
    SuspectLog, SuspectVerdict, MAX_KNOWN_SUSPECTS, MAX_SUSPECTS, QUARANTINE_CRASHES,
    SUSPECT_TTL_MS,
};
pub use registry::{
    AuditEntry, Change, ChangeAnswer, Document, EarlierRegistry, Registry, RegistryV1, RegistryV2,
    RegistryV3, RevisionRecord,
};
pub use reply_link::{LinkRequest, LinkReservation, ReplyLink};
pub use retry::{RetryBudget, RetryLimits};
pub use rollout::{
    Rollout, RolloutAction, RolloutAnswer, RolloutCommand, RolloutPhase, RolloutRecord,
    RolloutStep, Rollouts, RolloutsV3, VersionRole, FULL_SHARE_MILLI, INITIAL_SHARE_MILLI,
    MAX_ROLLOUT_MS, ORDER_COPY_MS,
};
pub use rollout_judge::{tallies_since, Decision, RolloutFigures, RolloutJudge, RouteTallies};
pub use server_statement::{DeliveredStatements, ProcessStatement, RequestRate, ServerStatement};
pub use snapshot::{Delta, Snapshot, SnapshotError, SnapshotHistory, Update};
pub use source_choice::SourceChoice;
pub use subscriber_table::SubscriberTable;
pub use sync::{
    identity_hash, Freshness, MemberSet, PollReply, PollRequest, ReportReply, ReportRequest,
    VersionCount, REPORT_INTERVAL_MS, STALE_SOURCE_MS, SUBSCRIBER_LEASE_MS,
};
pub use throttle::{Throttle, THROTTLE_RETRY_AFTER};
pub use tree::{relays, sources, ReplicaAddrs, Source};
pub use usage::{
    AdmissionShare, RunKey, RunOutcome, RunTally, RunTimes, ServerWarmth, ShareReply, UsageReply,
    UsageReport, UsageRequest, WorkspaceUsage, MAX_REPORT_TALLIES, MAX_REPORT_WORKSPACES,
    USAGE_INTERVAL,
};
pub use voter_recovery::{RecoveredVoter, VoterReport};
pub use waiting_changes::{
    WaitEnd, WaitingChanges, BASE_REPLACEMENT_MS, BASE_WAIT_MS, MAX_WAITING_BYTES,
    MAX_WAITING_CHANGES,
};
pub use work_queue::{
    ArrivalDecision, Pressure, QueueAction, QueueRefusal, Ticket, WorkItem, WorkLoad, WorkQueue,
};
pub use workspace::{Allotment, KeyDigest, Workspace, WorkspaceTable, MAX_KEY_BYTES};
