//! Replicated record of billable actions, which ensures at most one run per key and keeps its
//! outcome.

use crate::ids::{ActionKey, AttemptId, DaemonName, Digest, Incarnation, UnixMs};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum time by which a key's timestamp may lie in the future, in milliseconds.
pub const MAX_KEY_SKEW_MS: u64 = 60_000;
/// Time after a claim's deadline from which its executor certainly no longer runs the action, in
/// milliseconds.
pub const CLAIM_GRACE_MS: u64 = 5_000;
/// Maximum number of voided attempts recorded per key; once it is reached, no attempt is voided.
pub const MAX_VOIDED_ATTEMPTS: usize = 64;

/// The process that runs a claimed action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimant {
    /// Daemon colocated with the backend server.
    pub executor: DaemonName,
    /// Start time of that daemon's process.
    pub incarnation: Incarnation,
    /// Attempt on whose behalf it runs the action.
    pub attempt: AttemptId,
}

/// A backend server's response, recorded so that it can be replayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Header names and values, in order.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// A command to the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Requests the exclusive right to run the action; sent immediately before running it.
    Claim {
        /// The action.
        key: ActionKey,
        /// Hash of method, path and body. A key is valid for one request only.
        request: Digest,
        /// Process that is to run the action.
        claimant: Claimant,
        /// Current time at the leader.
        at_ms: UnixMs,
        /// Deadline of the run, after which the claimant stops waiting for the response.
        until_ms: UnixMs,
    },
    /// Records the response of a run.
    Done {
        /// The action.
        key: ActionKey,
        /// Process that ran the action.
        claimant: Claimant,
        /// Response of the backend server.
        answer: RecordedResponse,
    },
    /// Releases a claim because the backend server refused the request without running it.
    Release {
        /// The action.
        key: ActionKey,
        /// Process that has the claim.
        claimant: Claimant,
    },
    /// Records that the outcome of the run cannot be determined.
    MarkUnknown {
        /// The action.
        key: ActionKey,
        /// Process that has the claim.
        claimant: Claimant,
    },
    /// Forbids an attempt that may still be in transit, so that it can be reported as not run.
    Void {
        /// The action.
        key: ActionKey,
        /// The attempt.
        attempt: AttemptId,
        /// Hash of the request, as in `Claim`.
        request: Digest,
        /// Current time at the leader.
        at_ms: UnixMs,
    },
    /// Removes the records of expired keys; such keys are rejected from then on.
    Expire {
        /// Keys created before this time expire.
        before_ms: UnixMs,
    },
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerAnswer {
    /// Only the claimant may run the action.
    Granted,
    /// The command is recorded.
    Recorded,
    /// The action has already run; contains its response.
    AlreadyDone(RecordedResponse),
    /// A claim is in force, and the action may be running.
    InProgress {
        /// Deadline of that claim.
        until_ms: UnixMs,
    },
    /// It is unknown whether the action has run, so no claim is granted.
    OutcomeUnknown,
    /// The attempt is voided: it has not run and never will.
    Voided,
    /// The key already belongs to another request.
    OtherRequest,
    /// The key is older than the retention period, is not a UUIDv7, or has no record.
    Expired,
    /// The key's timestamp lies more than [`MAX_KEY_SKEW_MS`] in the future.
    FutureKey,
    /// The claim in the command is not the recorded one, or the key already has
    /// [`MAX_VOIDED_ATTEMPTS`] voided attempts.
    NotClaimant,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RecordState {
    /// No claim is in force; any attempt that is not voided may claim the key.
    Open,
    /// The claimant may be running the action.
    Claimed {
        claimant: Claimant,
        until_ms: UnixMs,
    },
    /// The action has run.
    Done(RecordedResponse),
    /// The action may have run; the claimant may still record the response.
    OutcomeUnknown { claimant: Claimant },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    request: Digest,
    state: RecordState,
    /// Attempts that must not run; never contains the claimant's attempt.
    voided: Vec<AttemptId>,
}

/// Replicated state machine of the ledger. Its state depends only on the commands and their order.
///
/// Invariant: a key is granted to another claimant only after the previous one released it, so its
/// action runs at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Records by key. UUIDv7 keys sort by time, so expiry removes from the front.
    records: BTreeMap<ActionKey, Record>,
    /// Keys created before this time are rejected.
    expired_before_ms: UnixMs,
}

/// Time at which a UUIDv7 key was created, in Unix milliseconds; `None` for other UUIDs.
pub fn key_time_ms(key: &ActionKey) -> Option<UnixMs> {
    if key.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = key.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}

impl Ledger {
    /// Number of recorded keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Applies one command; commands must be applied in log order.
    pub fn apply(&mut self, command: &LedgerCommand) -> LedgerAnswer {
        match command {
            LedgerCommand::Claim {
                key,
                request,
                claimant,
                at_ms,
                until_ms,
            } => match self.record_for_request(key, request, *at_ms) {
                Err(rejection) => rejection,
                Ok(record) => record.claim(claimant, *at_ms, *until_ms),
            },
            LedgerCommand::Void {
                key,
                attempt,
                request,
                at_ms,
            } => match self.record_for_request(key, request, *at_ms) {
                Err(rejection) => rejection,
                Ok(record) => record.void(*attempt, *at_ms),
            },
            LedgerCommand::Done {
                key,
                claimant,
                answer,
            } => self.end_claim(key, claimant, |record| {
                record.state = RecordState::Done(answer.clone());
            }),
            LedgerCommand::Release { key, claimant } => self.end_claim(key, claimant, |record| {
                record.state = RecordState::Open;
                record.end_attempt(claimant.attempt);
            }),
            LedgerCommand::MarkUnknown { key, claimant } => {
                self.end_claim(key, claimant, |record| {
                    record.state = RecordState::OutcomeUnknown {
                        claimant: claimant.clone(),
                    };
                })
            }
            LedgerCommand::Expire { before_ms } => self.expire(*before_ms),
        }
    }

    /// What a claim of the action would be answered if it is not granted; `None` if it would be. Adds
    /// no record, so that requests which are refused leave nothing in the ledger.
    pub fn find(&self, key: &ActionKey, request: &Digest, at_ms: UnixMs) -> Option<LedgerAnswer> {
        if let Err(rejection) = self.check_key_time(key, at_ms) {
            return Some(rejection);
        }
        let record = self.records.get(key)?;
        if record.request != *request {
            return Some(LedgerAnswer::OtherRequest);
        }
        record.find(at_ms)
    }

    fn check_key_time(&self, key: &ActionKey, at_ms: UnixMs) -> Result<(), LedgerAnswer> {
        let created_ms = key_time_ms(key).ok_or(LedgerAnswer::Expired)?;
        if created_ms < self.expired_before_ms {
            return Err(LedgerAnswer::Expired);
        }
        if created_ms > at_ms + MAX_KEY_SKEW_MS {
            return Err(LedgerAnswer::FutureKey);
        }
        Ok(())
    }

    fn record_for_request(
        &mut self,
        key: &ActionKey,
        request: &Digest,
        at_ms: UnixMs,
    ) -> Result<&mut Record, LedgerAnswer> {
        self.check_key_time(key, at_ms)?;
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

    /// Applies `change` to the record if `claimant` has the claim and no response is recorded.
    fn end_claim(
        &mut self,
        key: &ActionKey,
        claimant: &Claimant,
        change: impl FnOnce(&mut Record),
    ) -> LedgerAnswer {
        let Some(record) = self.records.get_mut(key) else {
            return LedgerAnswer::Expired;
        };
        if let RecordState::Done(response) = &record.state {
            return LedgerAnswer::AlreadyDone(response.clone());
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
            .retain(|key, _| key_time_ms(key).is_some_and(|created_ms| created_ms >= limit));
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

    /// Ends an attempt whose executor was told that it may not run: a copy of its claim may be in transit
    /// and must not be granted. At the bound it may be; nothing runs then, and the key is unknown once
    /// the claim has expired.
    fn end_attempt(&mut self, attempt: AttemptId) {
        if self.voided.len() < MAX_VOIDED_ATTEMPTS && !self.voided.contains(&attempt) {
            self.voided.push(attempt);
        }
    }

    fn claim(&mut self, claimant: &Claimant, at_ms: UnixMs, until_ms: UnixMs) -> LedgerAnswer {
        self.expire_claim(at_ms);
        match &self.state {
            RecordState::Done(response) => LedgerAnswer::AlreadyDone(response.clone()),
            RecordState::OutcomeUnknown { claimant: recorded } => {
                if recorded.attempt != claimant.attempt {
                    self.end_attempt(claimant.attempt);
                }
                LedgerAnswer::OutcomeUnknown
            }
            // The claim was retried because the answer to it was lost in transit.
            RecordState::Claimed {
                claimant: recorded, ..
            } if recorded == claimant => LedgerAnswer::Granted,
            RecordState::Claimed { until_ms, .. } => {
                let until_ms = *until_ms;
                self.end_attempt(claimant.attempt);
                LedgerAnswer::InProgress { until_ms }
            }
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

    fn find(&self, at_ms: UnixMs) -> Option<LedgerAnswer> {
        match &self.state {
            RecordState::Open => None,
            RecordState::Done(response) => Some(LedgerAnswer::AlreadyDone(response.clone())),
            RecordState::OutcomeUnknown { .. } => Some(LedgerAnswer::OutcomeUnknown),
            RecordState::Claimed { until_ms, .. } if is_claim_expired(*until_ms, at_ms) => {
                Some(LedgerAnswer::OutcomeUnknown)
            }
            RecordState::Claimed { until_ms, .. } => Some(LedgerAnswer::InProgress {
                until_ms: *until_ms,
            }),
        }
    }

    fn void(&mut self, attempt: AttemptId, at_ms: UnixMs) -> LedgerAnswer {
        self.expire_claim(at_ms);
        match &self.state {
            RecordState::Done(response) => LedgerAnswer::AlreadyDone(response.clone()),
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

    /// Marks the outcome of an expired claim as unknown.
    fn expire_claim(&mut self, at_ms: UnixMs) {
        if let RecordState::Claimed { claimant, until_ms } = &self.state {
            if is_claim_expired(*until_ms, at_ms) {
                self.state = RecordState::OutcomeUnknown {
                    claimant: claimant.clone(),
                };
            }
        }
    }
}

/// Whether the deadline of a claim passed more than [`CLAIM_GRACE_MS`] ago.
fn is_claim_expired(until_ms: UnixMs, at_ms: UnixMs) -> bool {
    at_ms > until_ms + CLAIM_GRACE_MS
}
