//! The replicated state machine of a consensus group.

use crate::control::store::StoreError;
use crate::shared::unix_ms;
use error_stack::{Report, ResultExt};
use foxtailgauge_core::{
    Change, ChangeAnswer, Ledger, LedgerCommand, Registry, RegistryV1, RegistryV2, RegistryV3,
    RolloutAnswer, RolloutCommand, Snapshot, StateSnapshot,
};
use foxtailgauge_wire::{decode, encode_compressed, Group, SubmitReply, SubmitRequest};

/// Length of the configuration group's log, in entries, at which it is compacted. Small, because a
/// replica parses every entry at its start before it can serve.
const COMPACT_CONFIG_ENTRIES: usize = 16;
/// Minimum length of the ledger group's log, in entries, at which it is compacted.
const COMPACT_MIN_ENTRIES: usize = 4_096;

/// First number of a stored registry. Releases before workspaces stored the configuration version
/// there, which never reaches it.
const REGISTRY_MARKER: u64 = u64::MAX - 2;
/// First number of a registry that a release before refused documents stored.
const REGISTRY_V3_MARKER: u64 = u64::MAX - 1;
/// First number of a registry that a release before rollouts stored.
const REGISTRY_V2_MARKER: u64 = u64::MAX;
/// First number of a command of a rollout in the log. A change begins with the length of its team's
/// name there, which never reaches it.
const ROLLOUT_MARKER: u64 = u64::MAX;

/// Result of applying one command.
pub(crate) struct Applied {
    /// Reply to the sender of the command.
    pub(crate) reply: SubmitReply,
    /// Whether the command created a new configuration version to distribute.
    pub(crate) is_new_version: bool,
    /// The configuration change and its answer, if the command was a change.
    pub(crate) change: Option<(Change, ChangeAnswer)>,
    /// The command of a rollout and its answer, if it was one.
    pub(crate) rollout: Option<(RolloutCommand, RolloutAnswer)>,
}

/// State machine of one group.
pub(crate) enum StateMachine {
    Config(Box<Registry>),
    Ledger(Box<Ledger>),
}

impl StateMachine {
    /// Decodes the state from a snapshot; without one, returns the initial state.
    pub(crate) fn restore(
        group: Group,
        snapshot: Option<&StateSnapshot>,
    ) -> Result<Self, Report<StoreError>> {
        let data = snapshot.map(|snapshot| snapshot.data.as_slice());
        let decode_error = || StoreError::Encode;
        Ok(match group {
            Group::Config => StateMachine::Config(match data {
                Some(data) => Box::new(decode_registry(data)?),
                None => Box::default(),
            }),
            Group::Ledger => StateMachine::Ledger(match data {
                Some(data) => decode(data).change_context_lazy(decode_error)?,
                None => Box::default(),
            }),
        })
    }

    /// Encodes the state for a snapshot.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, Report<StoreError>> {
        match self {
            StateMachine::Config(registry) => encode_compressed(&(REGISTRY_MARKER, registry)),
            StateMachine::Ledger(ledger) => encode_compressed(ledger),
        }
        .change_context(StoreError::Encode)
    }

    /// Log length, in entries, from which on a snapshot costs no more to write than the entries
    /// that it replaces.
    pub(crate) fn compaction_threshold(&self) -> usize {
        match self {
            StateMachine::Config(_) => COMPACT_CONFIG_ENTRIES,
            StateMachine::Ledger(ledger) => COMPACT_MIN_ENTRIES.max(2 * ledger.len()),
        }
    }

    /// Applies one command in log order.
    pub(crate) fn apply(&mut self, bytes: &[u8]) -> Result<Applied, Report<StoreError>> {
        match self {
            StateMachine::Config(registry) => {
                if is_rollout_command(bytes)? {
                    return apply_rollout(registry, bytes);
                }
                let change: Change = decode(bytes).change_context(StoreError::Encode)?;
                let version = registry.version();
                let answer = registry.apply(&change);
                Ok(Applied {
                    reply: SubmitReply::Change(answer.clone()),
                    is_new_version: registry.version() > version,
                    change: Some((change, answer)),
                    rollout: None,
                })
            }
            StateMachine::Ledger(ledger) => {
                let command: LedgerCommand = decode(bytes).change_context(StoreError::Encode)?;
                Ok(Applied {
                    reply: SubmitReply::Ledger(ledger.apply(&command)),
                    is_new_version: false,
                    change: None,
                    rollout: None,
                })
            }
        }
    }

    /// Replies to a read; `Unavailable` for requests that this state machine does not serve.
    pub(crate) fn read(&self, request: SubmitRequest) -> SubmitReply {
        let registry = match (self, &request) {
            (StateMachine::Config(registry), _) => registry,
            (StateMachine::Ledger(ledger), SubmitRequest::ReadAction { key, request }) => {
                return SubmitReply::Action(ledger.find(key, request, unix_ms()));
            }
            (StateMachine::Ledger(_), _) => return SubmitReply::Unavailable,
        };
        match request {
            SubmitRequest::Check { team, text } => {
                SubmitReply::Checked(registry.check(&team, &text).err().unwrap_or_default())
            }
            SubmitRequest::Read { team, revision } => {
                SubmitReply::Revision(registry.revision_record(&team, revision).cloned())
            }
            SubmitRequest::ReadDocument { team } => {
                SubmitReply::Document(registry.document(&team).cloned())
            }
            SubmitRequest::History { team } => {
                SubmitReply::History(registry.history(&team).cloned().collect())
            }
            SubmitRequest::Audit { team } => {
                SubmitReply::Audit(registry.audit(team.as_deref()).cloned().collect())
            }
            SubmitRequest::ReadRollouts { service } => {
                let rollouts = registry.rollouts();
                let is_asked = |name: &str| service.as_deref().is_none_or(|asked| asked == name);
                let latest = rollouts.latest().iter().filter(|(name, _)| is_asked(name));
                SubmitReply::Rollouts {
                    latest: latest.map(|(name, r)| (name.clone(), r.clone())).collect(),
                    records: rollouts.records(service.as_deref()).cloned().collect(),
                }
            }
            _ => SubmitReply::Unavailable,
        }
    }

    /// The state of the configuration; `None` in the ledger group.
    pub(crate) fn registry(&self) -> Option<&Registry> {
        match self {
            StateMachine::Config(registry) => Some(registry),
            StateMachine::Ledger(_) => None,
        }
    }

    /// The configuration to distribute; `None` in the ledger group.
    pub(crate) fn configuration(&self) -> Option<Snapshot> {
        match self {
            StateMachine::Config(registry) => Some(registry.snapshot()),
            StateMachine::Ledger(_) => None,
        }
    }

    /// Number of keys in the ledger; 0 in the configuration group.
    pub(crate) fn ledger_keys(&self) -> u64 {
        match self {
            StateMachine::Config(_) => 0,
            StateMachine::Ledger(ledger) => ledger.len() as u64,
        }
    }
}

/// Payload of a log entry with a command of a rollout.
pub(crate) fn rollout_entry(command: &RolloutCommand) -> (u64, &RolloutCommand) {
    (ROLLOUT_MARKER, command)
}

fn is_rollout_command(bytes: &[u8]) -> Result<bool, Report<StoreError>> {
    // Decoding ignores what follows the value.
    let first: u64 = decode(bytes).change_context(StoreError::Encode)?;
    Ok(first == ROLLOUT_MARKER)
}

fn apply_rollout(registry: &mut Registry, bytes: &[u8]) -> Result<Applied, Report<StoreError>> {
    let (_, command): (u64, RolloutCommand) = decode(bytes).change_context(StoreError::Encode)?;
    let version = registry.version();
    let answer = registry.apply_rollout(&command);
    Ok(Applied {
        reply: SubmitReply::Rollout(answer),
        is_new_version: registry.version() > version,
        change: None,
        rollout: Some((command, answer)),
    })
}

fn decode_registry(data: &[u8]) -> Result<Registry, Report<StoreError>> {
    // Decoding ignores what follows the value.
    let first: u64 = decode(data).change_context(StoreError::Encode)?;
    if first == REGISTRY_MARKER {
        let (_, registry): (u64, Registry) = decode(data).change_context(StoreError::Encode)?;
        return Ok(registry);
    }
    if first == REGISTRY_V3_MARKER {
        let (_, stored): (u64, RegistryV3) = decode(data).change_context(StoreError::Encode)?;
        return Ok(stored.into());
    }
    if first == REGISTRY_V2_MARKER {
        let (_, stored): (u64, RegistryV2) = decode(data).change_context(StoreError::Encode)?;
        return Ok(stored.into());
    }
    let stored: RegistryV1 = decode(data).change_context(StoreError::Encode)?;
    Ok(stored.into())
}
