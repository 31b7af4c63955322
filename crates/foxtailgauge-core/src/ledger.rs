//! Replicated record of billable actions: at most one run per key, and what became of it.

use crate::ids::{ActionKey, AttemptId, DaemonName, Digest, Incarnation, UnixMs};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far in the future a key's time may lie, in milliseconds.
pub const MAX_KEY_SKEW_MS: u64 = 60_000;
/// Time after a claim's deadline at which its executor no longer runs it, in milliseconds.
pub const CLAIM_GRACE_MS: u64 = 5_000;
/// Attempts of one key that can be voided before the key is closed as not run.
pub const MAX_VOIDED_ATTEMPTS: usize = 64;

/// The process that runs a claimed action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimant {
    /// Daemon beside the backend server.
    pub executor: DaemonName,
    /// Start of that daemon.
    pub incarnation: Incarnation,
    /// Attempt it acts for.
    pub attempt: AttemptId,
}

/// A backend server's answer as it is recorded and repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Header names and values, in order.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// A request to the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Asks for the right to run the action, immediately before running it.
    Claim {
        /// The action.
        key: ActionKey,
        /// Hash over method, path and body: the same key must mean the same request.
        request: Digest,
        /// Who would run it.
        claimant: Claimant,
        /// Time now at the leader.
        at_ms: UnixMs,
        /// When the claimant gives up at the latest.
        until_ms: UnixMs,
    },
    /// Records the answer of a run.
    Done {
        /// The action.
        key: ActionKey,
        /// Who ran it.
        claimant: Claimant,
        /// What the backend server answered.
        answer: RecordedResponse,
    },
    /// Gives a claim back: the backend server refused before running.
    Release {
        /// The action.
        key: ActionKey,
        /// Who held the claim.
        claimant: Claimant,
    },
    /// Records that nobody can know whether the run took place.
    MarkUnknown {
        /// The action.
        key: ActionKey,
        /// Who held the claim.
        claimant: Claimant,
    },
    /// Forbids an attempt that may still be under way, so that it can be called not run.
    Void {
        /// The action.
        key: ActionKey,
        /// The attempt.
        attempt: AttemptId,
        /// Hash of the request, as in `Claim`.
        request: Digest,
        /// Time now at the leader.
        at_ms: UnixMs,
    },
    /// Drops records of keys older than the time; such keys are refused from then on.
    Expire {
        /// Keys made before this time expire.
        before_ms: UnixMs,
    },
}

/// The ledger's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerAnswer {
    /// The claimant, and nobody else, may run the action.
    Granted,
    /// The command is recorded.
    Recorded,
    /// The action ran; this is its answer.
    AlreadyDone(RecordedResponse),
    /// Somebody else holds the claim and may be running the action.
    InProgress {
        /// When that claim ends at the latest.
        until_ms: UnixMs,
    },
    /// The action may or may not have run, and nobody will ever know.
    OutcomeUnknown,
    /// The attempt was voided: it has not run and never will.
    Voided,
    /// The key was used for another request.
    OtherRequest,
    /// The key is older than the retention.
    Expired,
    /// The key's time lies in the future.
    FutureKey,
    /// The claim named by the command is not the one on record.
    NotClaimant,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RecordState {
    /// No run was begun; any attempt not voided may claim.
    Open,
    /// The claimant may be running the action.
    Claimed {
        claimant: Claimant,
        until_ms: UnixMs,
    },
    /// The action ran.
    Done(RecordedResponse),
    /// The action may have run; the claimant may still tell.
    OutcomeUnknown { claimant: Claimant },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    request: Digest,
    state: RecordState,
    /// Attempts that must not run; never holds the claimant's attempt.
    voided: Vec<AttemptId>,
}

/// The ledger's replicated state machine. Deterministic in the order of commands.
///
/// Invariant: a key is granted again only after its claimant released it, so it runs at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// UUIDv7 keys sort by time, so expiry removes from the front.
    records: BTreeMap<ActionKey, Record>,
    /// Keys made before this time are refused.
    expired_before_ms: UnixMs,
}

/// Time at which a UUIDv7 key was made; `None` for other UUIDs.
pub fn key_time_ms(key: &ActionKey) -> Option<UnixMs> {
    if key.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = key.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}

impl Ledger {
    /// Number of keys on record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Applies one command in log order.
    pub fn apply(&mut self, command: &LedgerCommand) -> LedgerAnswer {
        match command {
            LedgerCommand::Claim {
                key,
                request,
                claimant,
                at_ms,
                until_ms,
            } => match self.record_for_request(key, request, *at_ms) {
                Err(refusal) => refusal,
                Ok(record) => record.claim(claimant, *at_ms, *until_ms),
            },
            LedgerCommand::Void {
                key,
                attempt,
                request,
                at_ms,
            } => match self.record_for_request(key, request, *at_ms) {
                Err(refusal) => refusal,
                Ok(record) => record.void(*attempt, *at_ms),
            },
            LedgerCommand::Done {
                key,
                claimant,
                answer,
            } => self.conclude(key, claimant, |record| {
                record.state = RecordState::Done(answer.clone());
            }),
            LedgerCommand::Release { key, claimant } => self.conclude(key, claimant, |record| {
                record.state = RecordState::Open;
                // A claim of this attempt that is still under way must not be granted again.
                if record.voided.len() < MAX_VOIDED_ATTEMPTS {
                    record.voided.push(claimant.attempt);
                }
            }),
            LedgerCommand::MarkUnknown { key, claimant } => {
                self.conclude(key, claimant, |record| {
                    record.state = RecordState::OutcomeUnknown {
                        claimant: claimant.clone(),
                    };
                })
            }
            LedgerCommand::Expire { before_ms } => self.expire(*before_ms),
        }
    }

    fn record_for_request(
        &mut self,
        key: &ActionKey,
        request: &Digest,
        at_ms: UnixMs,
    ) -> Result<&mut Record, LedgerAnswer> {
        let made_ms = key_time_ms(key).ok_or(LedgerAnswer::Expired)?;
        if made_ms < self.expired_before_ms {
            return Err(LedgerAnswer::Expired);
        }
        if made_ms > at_ms + MAX_KEY_SKEW_MS {
            return Err(LedgerAnswer::FutureKey);
        }
        let record = self.records.entry(*key).or_insert_with(|| Record {
            request: *request,
            state: RecordState::Open,
            voided: Vec::new(),
        });
        if record.request != *request {
            return Err(LedgerAnswer::OtherRequest);
        }
        Ok(record)
    }

    fn conclude(
        &mut self,
        key: &ActionKey,
        claimant: &Claimant,
        change: impl FnOnce(&mut Record),
    ) -> LedgerAnswer {
        let Some(record) = self.records.get_mut(key) else {
            return LedgerAnswer::Expired;
        };
        if let RecordState::Done(answer) = &record.state {
            return LedgerAnswer::AlreadyDone(answer.clone());
        }
        if !record.is_claimed_by(claimant) {
            return LedgerAnswer::NotClaimant;
        }
        change(record);
        LedgerAnswer::Recorded
    }

    fn expire(&mut self, before_ms: UnixMs) -> LedgerAnswer {
        self.expired_before_ms = self.expired_before_ms.max(before_ms);
        let limit = self.expired_before_ms;
        self.records
            .retain(|key, _| key_time_ms(key).is_some_and(|made_ms| made_ms >= limit));
        LedgerAnswer::Recorded
    }
}

impl Record {
    fn is_claimed_by(&self, claimant: &Claimant) -> bool {
        match &self.state {
            RecordState::Claimed {
                claimant: recorded, ..
            } => recorded == claimant,
            RecordState::OutcomeUnknown { claimant: recorded } => recorded == claimant,
            RecordState::Open | RecordState::Done(_) => false,
        }
    }

    fn claim(&mut self, claimant: &Claimant, at_ms: UnixMs, until_ms: UnixMs) -> LedgerAnswer {
        self.expire_claim(at_ms);
        match &self.state {
            RecordState::Done(answer) => LedgerAnswer::AlreadyDone(answer.clone()),
            RecordState::OutcomeUnknown { .. } => LedgerAnswer::OutcomeUnknown,
            // The answer to an earlier claim of the same attempt was lost on its way.
            RecordState::Claimed {
                claimant: recorded, ..
            } if recorded == claimant => LedgerAnswer::Granted,
            RecordState::Claimed { until_ms, .. } => LedgerAnswer::InProgress {
                until_ms: *until_ms,
            },
            RecordState::Open if self.voided.contains(&claimant.attempt) => LedgerAnswer::Voided,
            RecordState::Open => {
                self.state = RecordState::Claimed {
                    claimant: claimant.clone(),
                    until_ms,
                };
                LedgerAnswer::Granted
            }
        }
    }

    fn void(&mut self, attempt: AttemptId, at_ms: UnixMs) -> LedgerAnswer {
        self.expire_claim(at_ms);
        match &self.state {
            RecordState::Done(answer) => LedgerAnswer::AlreadyDone(answer.clone()),
            RecordState::OutcomeUnknown { .. } => LedgerAnswer::OutcomeUnknown,
            RecordState::Claimed { claimant, until_ms } if claimant.attempt == attempt => {
                LedgerAnswer::InProgress {
                    until_ms: *until_ms,
                }
            }
            RecordState::Claimed { .. } | RecordState::Open => {
                if self.voided.len() >= MAX_VOIDED_ATTEMPTS {
                    return LedgerAnswer::NotClaimant;
                }
                if !self.voided.contains(&attempt) {
                    self.voided.push(attempt);
                }
                LedgerAnswer::Voided
            }
        }
    }

    /// A claim whose time is long over will not be answered any more.
    fn expire_claim(&mut self, at_ms: UnixMs) {
        if let RecordState::Claimed { claimant, until_ms } = &self.state {
            if at_ms > until_ms + CLAIM_GRACE_MS {
                self.state = RecordState::OutcomeUnknown {
                    claimant: claimant.clone(),
                };
            }
        }
    }
}
