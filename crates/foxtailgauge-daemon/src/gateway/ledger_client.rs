//! Ledger client of the executor and the gateway.

use crate::control::replica_client::{ReplicaClient, SubmitError};
use crate::emit;
use crate::events;
use crate::gateway::keys_in_flight::KeyMark;
use crate::shared::{ForwardingGuard, Shared};
use foxtailgauge_core::{
    ActionKey, AttemptId, Backoff, Claimant, Digest, LedgerAnswer, LedgerCommand,
    REPORT_INTERVAL_MS,
};
use foxtailgauge_wire::{SubmitReply, SubmitRequest};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout of one attempt to record the outcome of an action.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which recording is no longer retried; the claim then expires with an unknown
/// outcome.
const RECORD_RETRY_TIMEOUT: Duration = Duration::from_secs(120);

/// Age of the last quorum contact above which the ledger is not asked. A daemon behind a relay learns
/// of the contact up to two report intervals after the replica.
const MAX_QUORUM_AGE_MS: u64 = 3 * REPORT_INTERVAL_MS;

/// A client of the ledger.
#[derive(Clone)]
pub(crate) struct LedgerClient {
    shared: Arc<Shared>,
    replicas: ReplicaClient,
    /// Actions whose outcome is not recorded yet; shared by all clones.
    unrecorded: Arc<AtomicU32>,
}

impl LedgerClient {
    /// Creates a client that submits its commands to the replicas.
    pub(crate) fn new(shared: &Arc<Shared>, replicas: ReplicaClient) -> Self {
        LedgerClient {
            shared: Arc::clone(shared),
            replicas,
            unrecorded: Arc::default(),
        }
    }

    /// Counts an action as not recorded yet until the returned guard is dropped.
    pub(crate) fn begin_recording(&self) -> ForwardingGuard {
        ForwardingGuard::new(&self.unrecorded)
    }

    /// Whether the outcome of an action is not recorded yet.
    pub(crate) fn is_recording(&self) -> bool {
        self.unrecorded.load(Ordering::Relaxed) > 0
    }

    /// Whether this daemon knows of recent contact with a majority of replicas. Without it, nothing
    /// that is submitted would be answered in time.
    pub(crate) fn has_quorum(&self) -> bool {
        let contact_age_ms = self.shared.quorum_age_ms();
        contact_age_ms.is_some_and(|age_ms| age_ms <= MAX_QUORUM_AGE_MS)
    }

    /// Submits one command.
    pub(crate) async fn command(
        &self,
        command: LedgerCommand,
        timeout: Duration,
    ) -> Result<LedgerAnswer, SubmitError> {
        match self
            .replicas
            .submit(SubmitRequest::Ledger(command), timeout)
            .await?
        {
            SubmitReply::Ledger(answer) => Ok(answer),
            _ => Err(SubmitError::OutcomeUnknown),
        }
    }

    /// What the ledger knows of an action; `None` if a claim of it would be granted.
    pub(crate) async fn find(
        &self,
        key: ActionKey,
        request: Digest,
        timeout: Duration,
    ) -> Result<Option<LedgerAnswer>, SubmitError> {
        let request = SubmitRequest::ReadAction { key, request };
        match self.replicas.submit(request, timeout).await? {
            SubmitReply::Action(answer) => Ok(answer),
            _ => Err(SubmitError::Unavailable),
        }
    }

    /// Records the outcome of a claim. If the first attempt fails, retries in the background.
    pub(crate) async fn record_outcome(&self, command: LedgerCommand) {
        if self.command(command.clone(), RECORD_TIMEOUT).await.is_ok() {
            return;
        }
        emit!(self.shared.log, events::LEDGER_RETRY);
        let ledger = self.clone();
        let recording = self.begin_recording();
        async_std::task::spawn(async move {
            ledger.retry_until_timeout(command).await;
            drop(recording);
        });
    }

    async fn retry_until_timeout(&self, command: LedgerCommand) {
        let deadline = Instant::now() + RECORD_RETRY_TIMEOUT;
        let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5));
        while Instant::now() < deadline {
            let delay = backoff.next_delay(&mut rand::rng());
            async_std::task::sleep(delay).await;
            if self.command(command.clone(), RECORD_TIMEOUT).await.is_ok() {
                return;
            }
        }
    }

    /// Withdraws a claim that got no answer, so that the key does not stay claimed.
    pub(crate) fn withdraw(&self, key: ActionKey, digest: Digest, claimant: Claimant) {
        let ledger = self.clone();
        async_std::task::spawn(async move {
            ledger
                .retry_until_timeout(void_command(key, claimant.attempt, digest))
                .await;
            // If the claim took effect, the void is refused and the claim is released instead.
            ledger
                .retry_until_timeout(LedgerCommand::Release { key, claimant })
                .await;
        });
    }

    /// Voids an attempt that nobody waits for any more, in the background; `mark` is kept until then.
    pub(crate) fn void_abandoned(&self, mark: KeyMark, attempt: AttemptId, digest: Digest) {
        let ledger = self.clone();
        let recording = self.begin_recording();
        async_std::task::spawn(async move {
            let command = void_command(mark.key(), attempt, digest);
            if ledger
                .command(command.clone(), RECORD_TIMEOUT)
                .await
                .is_err()
            {
                emit!(ledger.shared.log, events::LEDGER_RETRY);
                ledger.retry_until_timeout(command).await;
            }
            drop((mark, recording));
        });
    }
}

/// The command that voids an attempt. The leader sets its time.
pub(crate) fn void_command(key: ActionKey, attempt: AttemptId, request: Digest) -> LedgerCommand {
    LedgerCommand::Void {
        key,
        attempt,
        request,
        at_ms: 0,
    }
}
