//! The replicated state of a group: commands in, answers out.

use crate::store::StoreError;
use error_stack::{Report, ResultExt};
use foxtailgauge_core::{
    Change, ChangeAnswer, Ledger, LedgerCommand, Registry, Snapshot, StateSnapshot,
};
use foxtailgauge_wire::{decode, encode_compressed, Group, SubmitReply, SubmitRequest};

/// Log of configurations that is compacted, in entries: a replica that starts parses each of them
/// before it can serve.
const COMPACT_CONFIG_ENTRIES: usize = 16;
/// Shortest log that is compacted, in entries.
const COMPACT_MIN_ENTRIES: usize = 4_096;

/// What applying one command brought.
pub(crate) struct Applied {
    /// Answer to whoever sent the command.
    pub(crate) reply: SubmitReply,
    /// Whether it made a new configuration to distribute.
    pub(crate) is_new_version: bool,
    /// The change, if it was one, with its answer.
    pub(crate) change: Option<(Change, ChangeAnswer)>,
}

/// The replicated state of a group.
pub(crate) enum StateMachine {
    Config(Box<Registry>),
    Ledger(Box<Ledger>),
}

impl StateMachine {
    /// The state of a snapshot, or the state at the start.
    pub(crate) fn restore(
        group: Group,
        snapshot: Option<&StateSnapshot>,
    ) -> Result<Self, Report<StoreError>> {
        let data = snapshot.map(|snapshot| snapshot.data.as_slice());
        let decode_error = || StoreError::Encode;
        Ok(match group {
            Group::Config => StateMachine::Config(match data {
                Some(data) => decode(data).change_context_lazy(decode_error)?,
                None => Box::default(),
            }),
            Group::Ledger => StateMachine::Ledger(match data {
                Some(data) => decode(data).change_context_lazy(decode_error)?,
                None => Box::default(),
            }),
        })
    }

    /// The state as it is stored in a snapshot.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, Report<StoreError>> {
        match self {
            StateMachine::Config(registry) => encode_compressed(registry),
            StateMachine::Ledger(ledger) => encode_compressed(ledger),
        }
        .change_context(StoreError::Encode)
    }

    /// Entries after which writing a snapshot costs no more than what it saves.
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
                let change: Change = decode(bytes).change_context(StoreError::Encode)?;
                let version = registry.version();
                let answer = registry.apply(&change);
                Ok(Applied {
                    reply: SubmitReply::Change(answer.clone()),
                    is_new_version: registry.version() > version,
                    change: Some((change, answer)),
                })
            }
            StateMachine::Ledger(ledger) => {
                let command: LedgerCommand = decode(bytes).change_context(StoreError::Encode)?;
                Ok(Applied {
                    reply: SubmitReply::Ledger(ledger.apply(&command)),
                    is_new_version: false,
                    change: None,
                })
            }
        }
    }

    /// Answers a read from the state; other requests are not the state's to answer.
    pub(crate) fn read(&self, request: SubmitRequest) -> SubmitReply {
        let StateMachine::Config(registry) = self else {
            return SubmitReply::Unavailable;
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
            _ => SubmitReply::Unavailable,
        }
    }

    /// The configuration to distribute, if this is its state.
    pub(crate) fn configuration(&self) -> Option<Snapshot> {
        match self {
            StateMachine::Config(registry) => Some(registry.snapshot()),
            StateMachine::Ledger(_) => None,
        }
    }

    /// Keys on record, if this is the ledger.
    pub(crate) fn ledger_keys(&self) -> u64 {
        match self {
            StateMachine::Config(_) => 0,
            StateMachine::Ledger(ledger) => ledger.len() as u64,
        }
    }
}
