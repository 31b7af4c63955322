//! Reads from the ledger whether an action that is refused has already run.

use crate::control::replica_client::SubmitError;
use crate::gateway::ledger_client::LedgerClient;
use async_std::channel::{bounded, Receiver, Sender};
use foxtailgauge_core::{ActionKey, Digest, LedgerAnswer};
use std::time::Duration;

/// Most reads of one gateway at a time; others wait. Allotments do not limit reads, and the ledger's
/// leader also serves the actions of all other workspaces.
const MAX_READS: usize = 32;
/// Timeout of a read, including its wait.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Lower bound of that timeout, for requests that are refused at their deadline.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Reads records of actions for a gateway.
pub(crate) struct ActionReader {
    ledger: LedgerClient,
    /// Holds one token for each read in flight.
    in_flight: (Sender<()>, Receiver<()>),
}

impl ActionReader {
    /// Creates a reader of `ledger`.
    pub(crate) fn new(ledger: LedgerClient) -> Self {
        ActionReader {
            ledger,
            in_flight: bounded(MAX_READS),
        }
    }

    /// What the ledger knows of an action; `None` if it has not run and is not running.
    pub(crate) async fn find(
        &self,
        key: ActionKey,
        request: Digest,
        time_left: Option<Duration>,
    ) -> Result<Option<LedgerAnswer>, SubmitError> {
        if !self.ledger.has_quorum() {
            return Err(SubmitError::Unavailable);
        }
        let time_left = time_left.unwrap_or(READ_TIMEOUT);
        let timeout = time_left.clamp(MIN_READ_TIMEOUT, READ_TIMEOUT);
        let read = async {
            let _guard = self.begin().await?;
            self.ledger.find(key, request, timeout).await
        };
        let result = async_std::future::timeout(timeout, read).await;
        result.unwrap_or(Err(SubmitError::Unavailable))
    }

    async fn begin(&self) -> Result<ReadGuard<'_>, SubmitError> {
        let (sender, receiver) = &self.in_flight;
        let sent = sender.send(()).await;
        sent.map_err(|_| SubmitError::Unavailable)?;
        Ok(ReadGuard(receiver))
    }
}

/// Ends a read when dropped.
struct ReadGuard<'a>(&'a Receiver<()>);

impl Drop for ReadGuard<'_> {
    fn drop(&mut self) {
        // Its own token is in the channel, so there is one.
        let _ = self.0.try_recv();
    }
}
