//! Type aliases for identifiers and counters.

/// Name of a team, the owner of one part of the configuration.
pub type TeamName = String;
/// Qualified name of a service: `team/service`.
pub type ServiceName = String;
/// Qualified name of a route: `team/route`.
pub type RouteName = String;
/// Name of a workspace of callers.
pub type WorkspaceName = String;
/// Version of the software of a backend server, as it reports it; empty if it reports none.
pub type ServerVersion = String;
/// Unique name of a daemon, taken from its settings.
pub type DaemonName = String;
/// Name of a failure domain, taken from the settings.
pub type FailureDomain = String;
/// Identifier of one replica's disk. A replaced disk gets a new identifier.
pub type ReplicaId = u64;
/// Election term of a consensus group.
pub type Term = u64;
/// Position in a consensus log; the first entry has index 1.
pub type LogIndex = u64;
/// Version of the whole configuration, incremented by one with each accepted change.
pub type ConfigVersion = u64;
/// Revision of one team's configuration, incremented by one with each accepted change of that team.
pub type Revision = u64;
/// Identifier of one change, chosen by the operator's tool and kept across retries.
pub type ChangeId = String;
/// Idempotency key of a billable action (UUIDv7).
pub type ActionKey = uuid::Uuid;
/// Identifier of one attempt to run a request on one backend server.
pub type AttemptId = uuid::Uuid;
/// Start time of a process in microseconds since the Unix epoch; later restarts have larger values.
pub type Incarnation = u64;
/// Milliseconds since the Unix epoch.
pub type UnixMs = u64;
/// SHA-256 digest.
pub type Digest = [u8; 32];
