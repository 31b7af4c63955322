//! The executor's and the gateway's use of the ledger.

use crate::emit;
use crate::events;
use crate::replica_client::{ReplicaClient, SubmitError};
use crate::shared::Shared;
use foxtailgauge_core::{ActionKey, AttemptId, Backoff, Claimant, LedgerAnswer, LedgerCommand};
use foxtailgauge_wire::{SubmitReply, SubmitRequest};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for one try to record what became of an action.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which recording is given up; the claim then ends by itself, as lost.
const RECORD_GIVE_UP: Duration = Duration::from_secs(120);

/// A client of the ledger.
#[derive(Clone)]
pub(crate) struct LedgerClient {
    shared: Arc<Shared>,
    replicas: ReplicaClient,
}

impl LedgerClient {
    /// A client on top of the replicas.
    pub(crate) fn new(shared: &Arc<Shared>, replicas: ReplicaClient) -> Self {
        LedgerClient {
            shared: Arc::clone(shared),
            replicas,
        }
    }

    /// Sends one command.
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

    /// Records how a claim ended. If the first try fails, trying goes on in the background.
    pub(crate) async fn conclude(&self, command: LedgerCommand) {
        if self.command(command.clone(), RECORD_TIMEOUT).await.is_ok() {
            return;
        }
        emit!(self.shared.log, events::LEDGER_RETRY);
        let ledger = self.clone();
        async_std::task::spawn(async move { ledger.insist(command).await });
    }

    async fn insist(&self, command: LedgerCommand) {
        let end = Instant::now() + RECORD_GIVE_UP;
        let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5));
        while Instant::now() < end {
            let wait = backoff.next_wait(&mut rand::rng());
            async_std::task::sleep(wait).await;
            if self.command(command.clone(), RECORD_TIMEOUT).await.is_ok() {
                return;
            }
        }
    }

    /// Withdraws a claim whose answer never came, so that the key is not left claimed.
    pub(crate) fn withdraw(&self, key: ActionKey, request: [u8; 32], claimant: Claimant) {
        let ledger = self.clone();
        async_std::task::spawn(async move {
            let attempt = claimant.attempt;
            ledger.insist_void(key, attempt, request).await;
            // If the claim took effect, the void is refused and the claim is given back.
            ledger
                .insist(LedgerCommand::Release { key, claimant })
                .await;
        });
    }

    async fn insist_void(&self, key: ActionKey, attempt: AttemptId, request: [u8; 32]) {
        let command = LedgerCommand::Void {
            key,
            attempt,
            request,
            at_ms: 0,
        };
        self.insist(command).await;
    }
}
