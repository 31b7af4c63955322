//! Runs requests on the colocated backend servers. All requests to them pass through here.

use crate::control::replica_client::SubmitError;
use crate::emit;
use crate::events;
use crate::executor::local_server::{Announcement, LocalServer, SlotGuard, SHED_STATUS};
use crate::gateway::ledger_client::LedgerClient;
use crate::shared::{lock, unix_ms, Shared};
use foxtailgauge_core::{
    fingerprint, request_digest, ActionKey, AdmissionRefusal, Claimant, Digest, LedgerAnswer,
    LedgerCommand, RecordedResponse, ServerEntry, ServerLoad, ServerState, SuspectVerdict,
    CLAIM_GRACE_MS,
};
use foxtailgauge_wire::http::{HttpError, HttpRequest, HttpResponse};
use foxtailgauge_wire::{BackendResponse, CallReply, CallRequest, Cause, Outcome};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// Header with the time left for the request, in milliseconds.
const DEADLINE_HEADER: &str = "Foxtailgauge-Deadline-Ms";
/// Upper bound on the timeout of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay returned to the caller while the ledger has no quorum.
const LEDGER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Added to the expected end of a running attempt when the caller is told to retry after it.
const IN_PROGRESS_SLACK: Duration = Duration::from_millis(100);
/// Interval at which leases of backend servers are checked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The backend servers colocated with this daemon.
pub(crate) struct Executor {
    shared: Arc<Shared>,
    ledger: LedgerClient,
    servers: Mutex<BTreeMap<String, Arc<LocalServer>>>,
}

impl Executor {
    /// An executor without backend servers.
    pub(crate) fn new(shared: &Arc<Shared>, ledger: LedgerClient) -> Self {
        Executor {
            shared: Arc::clone(shared),
            ledger,
            servers: Mutex::default(),
        }
    }

    /// Applies an announcement; returns the number of running and queued requests of the backend
    /// server. A stopping daemon closes each announced server.
    pub(crate) fn announce(&self, mut announcement: Announcement) -> u32 {
        if self.shared.stop.is_begun() {
            announcement.entry.state = ServerState::Leaving;
        }
        let name = announcement.entry.name.clone();
        let entry = announcement.entry.clone();
        let (server, has_changed) = {
            let mut servers = lock(&self.servers);
            match servers.get(&name) {
                Some(server) => (Arc::clone(server), server.announce(announcement)),
                None => {
                    let limit = self.shared.settings.limits.server_connections;
                    let server = Arc::new(LocalServer::new(announcement, limit));
                    servers.insert(name, Arc::clone(&server));
                    (server, true)
                }
            }
        };
        if has_changed {
            self.log_announcement(&entry);
            self.publish();
        }
        server.in_flight()
    }

    fn log_announcement(&self, entry: &ServerEntry) {
        match entry.state {
            ServerState::Ready | ServerState::OnTrial => emit!(self.shared.log,
                events::SERVER_ANNOUNCED, "server" => &entry.name, "service" => &entry.service),
            ServerState::Leaving | ServerState::Drained => emit!(self.shared.log,
                events::SERVER_LEAVING, "server" => &entry.name, "service" => &entry.service),
        }
    }

    /// Removes a backend server; returns whether it was known.
    pub(crate) fn remove(&self, name: &str) -> bool {
        let removed = lock(&self.servers).remove(name);
        if removed.is_some() {
            emit!(self.shared.log, events::SERVER_GONE, "server" => name);
            self.publish();
        }
        removed.is_some()
    }

    /// Periodically removes backend servers whose lease has expired.
    pub(crate) async fn expire_leases(self: Arc<Self>) {
        loop {
            async_std::task::sleep(LEASE_CHECK_INTERVAL).await;
            let now = Instant::now();
            let expired: Vec<String> = lock(&self.servers)
                .iter()
                .filter(|(_, server)| server.is_expired(now))
                .map(|(name, _)| name.clone())
                .collect();
            for name in expired {
                self.remove(&name);
            }
        }
    }

    /// Drains all backend servers; returns when no request is in flight and the outcomes of all actions
    /// are recorded, or the timeout elapses.
    pub(crate) async fn drain(&self, timeout: Duration) {
        let servers: Vec<Arc<LocalServer>> = lock(&self.servers).values().cloned().collect();
        for server in &servers {
            server.drain();
        }
        self.publish();
        let deadline = Instant::now() + timeout;
        let is_busy = || {
            let has_requests = servers.iter().any(|server| server.in_flight() > 0);
            has_requests || self.ledger.is_recording()
        };
        while Instant::now() < deadline && is_busy() {
            async_std::task::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Loads of the backend servers.
    pub(crate) fn server_loads(&self) -> Vec<ServerLoad> {
        let servers = lock(&self.servers);
        servers
            .values()
            .map(|server| server.server_load())
            .collect()
    }

    fn publish(&self) {
        let entries = lock(&self.servers)
            .values()
            .map(|server| server.entry())
            .collect();
        self.shared.announce(entries);
    }

    /// Runs a request. Dropping the future cancels a request that is not billable.
    pub(crate) async fn execute(self: &Arc<Self>, request: CallRequest) -> CallReply {
        let server = lock(&self.servers).get(&request.server).cloned();
        let Some(server) = server else {
            return CallReply::without_response(Outcome::NotRun, Cause::UnknownServer);
        };
        let deadline = Instant::now() + request.time_left;
        let mut reply = match server
            .acquire_slot(request.time_left, request.queue_requests)
            .await
        {
            Err(refusal) => refusal_reply(refusal),
            Ok(slot) => match request.key {
                None => self.run_unclaimed(&server, slot, &request, deadline).await,
                Some(key) => {
                    self.run_detached(&server, slot, request, key, deadline)
                        .await
                }
            },
        };
        reply.in_flight = server.in_flight();
        reply
    }

    async fn run_unclaimed(
        &self,
        server: &Arc<LocalServer>,
        mut slot: SlotGuard,
        request: &CallRequest,
        deadline: Instant,
    ) -> CallReply {
        let time_left = deadline.saturating_duration_since(Instant::now());
        // A stray refusal on a kept connection would make it run twice.
        let requires_new_connection = !self.is_idempotent(request);
        let exchange = self.exchange(server, request, time_left, requires_new_connection);
        match async_std::future::timeout(time_left, exchange).await {
            Err(_) => {
                // Counted as a run time: otherwise a slow backend server would look idle.
                slot.set_complete();
                CallReply::without_response(Outcome::Unknown, Cause::TimedOut)
            }
            Ok(Ok(response)) if response.status == SHED_STATUS => shed_reply(&response),
            Ok(Ok(response)) => {
                slot.set_complete();
                self.clear_suspect(&digest_of(request));
                executed_reply(response)
            }
            Ok(Err(error)) => {
                drop(slot);
                self.error_reply(&error, &digest_of(request)).await
            }
        }
    }

    fn is_idempotent(&self, request: &CallRequest) -> bool {
        let view = self.shared.view();
        let path = request.target.split('?').next().unwrap_or_default();
        let snapshot = view.snapshot.as_ref();
        let found = snapshot.and_then(|s| s.route(&request.method, path));
        found.is_some_and(|(_, route)| route.idempotent)
    }

    /// Clears a suspect after it completed: it did not cause the observed crashes.
    fn clear_suspect(&self, digest: &Digest) {
        let fingerprint = fingerprint(digest);
        let verdict = self.shared.view().suspects.verdict(fingerprint, unix_ms());
        if verdict != SuspectVerdict::Clear {
            self.shared.record_completion(fingerprint);
        }
    }

    async fn exchange(
        &self,
        server: &LocalServer,
        request: &CallRequest,
        time_left: Duration,
        requires_new_connection: bool,
    ) -> Result<HttpResponse, HttpError> {
        let mut headers = request.headers.clone();
        headers.retain(|(name, _)| !name.eq_ignore_ascii_case(DEADLINE_HEADER));
        headers.push((
            DEADLINE_HEADER.to_owned(),
            time_left.as_millis().to_string(),
        ));
        let message = HttpRequest {
            method: &request.method,
            target: &request.target,
            headers: &headers,
            body: &request.body,
        };
        let limit_bytes = self.shared.settings.limits.body_bytes;
        server
            .exchange(message, limit_bytes, requires_new_connection)
            .await
    }

    async fn error_reply(&self, error: &HttpError, digest: &Digest) -> CallReply {
        match error {
            HttpError::BadRequest | HttpError::Connect(_) => {
                CallReply::without_response(Outcome::NotRun, Cause::Unreachable)
            }
            HttpError::TooLarge => CallReply::without_response(Outcome::Ran, Cause::AnswerTooLarge),
            HttpError::Broken => {
                emit!(self.shared.log, events::SERVER_DIED);
                self.shared.record_crash(fingerprint(digest)).await;
                CallReply::without_response(Outcome::Unknown, Cause::Died)
            }
        }
    }

    /// Runs an action in a separate task, so that a run that has begun completes and is recorded even
    /// if the caller disconnects.
    async fn run_detached(
        self: &Arc<Self>,
        server: &Arc<LocalServer>,
        slot: SlotGuard,
        request: CallRequest,
        key: ActionKey,
        deadline: Instant,
    ) -> CallReply {
        let executor = Arc::clone(self);
        // Dropped with this future, when the caller or its gateway is gone.
        let waiting = Arc::new(());
        let requester = Arc::downgrade(&waiting);
        let server = Arc::clone(server);
        let run = executor.run_billable(server, slot, request, key, deadline, requester);
        let run = async_std::task::spawn(run);
        let time_left = deadline.saturating_duration_since(Instant::now());
        match async_std::future::timeout(time_left, run).await {
            Ok(reply) => reply,
            Err(_) => {
                emit!(self.shared.log, events::ACTION_UNKNOWN, "key" => key.to_string());
                CallReply::without_response(Outcome::Unknown, Cause::TimedOut)
            }
        }
    }

    async fn run_billable(
        self: Arc<Self>,
        server: Arc<LocalServer>,
        mut slot: SlotGuard,
        request: CallRequest,
        key: ActionKey,
        deadline: Instant,
        requester: Weak<()>,
    ) -> CallReply {
        let _recording = self.ledger.begin_recording();
        let digest = digest_of(&request);
        let claimant = Claimant {
            executor: self.shared.settings.name.clone(),
            incarnation: self.shared.incarnation,
            attempt: request.attempt,
        };
        if let Err(reply) = self.claim(key, digest, &claimant, deadline).await {
            return reply;
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        // The caller may have sent the key again and have been told that it did not run.
        let is_abandoned = requester.strong_count() == 0;
        if time_left.is_zero() || is_abandoned {
            drop(slot);
            self.ledger
                .record_outcome(LedgerCommand::Release { key, claimant })
                .await;
            return CallReply::without_response(Outcome::NotRun, Cause::TooLate);
        }
        // A response that arrives after the deadline is still recorded, so that a retry gets it.
        let timeout = time_left + Duration::from_millis(CLAIM_GRACE_MS);
        let exchange = self.exchange(&server, &request, time_left, true);
        let result = async_std::future::timeout(timeout, exchange).await;
        if matches!(result, Ok(Ok(_)) | Err(_)) {
            slot.set_complete();
        }
        drop(slot);
        match result {
            Ok(result) => self.record_result(key, claimant, &digest, result).await,
            Err(_) => {
                self.ledger
                    .record_outcome(LedgerCommand::MarkUnknown { key, claimant })
                    .await;
                CallReply::without_response(Outcome::Unknown, Cause::TimedOut)
            }
        }
    }

    /// Claims the key in the ledger; the error is the reply to the caller if the claim fails.
    async fn claim(
        &self,
        key: ActionKey,
        digest: Digest,
        claimant: &Claimant,
        deadline: Instant,
    ) -> Result<(), CallReply> {
        let ledger_unreachable = || {
            // This attempt did not run, but an earlier one with the key may have: only the ledger
            // knows. After "not run" the caller would start the action again under another key.
            let reply = CallReply::without_response(Outcome::Unknown, Cause::LedgerUnreachable);
            reply.retry_after(LEDGER_RETRY_AFTER)
        };
        if !self.ledger.has_quorum() {
            return Err(ledger_unreachable());
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        let now_ms = unix_ms();
        let command = LedgerCommand::Claim {
            key,
            request: digest,
            claimant: claimant.clone(),
            at_ms: now_ms,
            until_ms: now_ms + u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
        };
        // Reserves half of the time for the run, or for a refusal to reach the caller in time.
        let answer = self
            .ledger
            .command(command, (time_left / 2).min(CLAIM_TIMEOUT))
            .await;
        match answer {
            Ok(LedgerAnswer::Granted) => Ok(()),
            Ok(answer) => Err(claim_refusal_reply(answer)),
            Err(error) => {
                if error == SubmitError::OutcomeUnknown {
                    self.ledger.withdraw(key, digest, claimant.clone());
                }
                Err(ledger_unreachable())
            }
        }
    }

    /// Records the result of the run in the ledger, then returns the reply.
    async fn record_result(
        &self,
        key: ActionKey,
        claimant: Claimant,
        digest: &Digest,
        result: Result<HttpResponse, HttpError>,
    ) -> CallReply {
        match result {
            Ok(response) if response.status == SHED_STATUS => {
                self.ledger
                    .record_outcome(LedgerCommand::Release { key, claimant })
                    .await;
                shed_reply(&response)
            }
            Ok(response) => {
                self.clear_suspect(digest);
                let command = LedgerCommand::Done {
                    key,
                    claimant,
                    answer: to_recorded(&response),
                };
                self.ledger.record_outcome(command).await;
                executed_reply(response)
            }
            Err(error) => {
                let reply = self.error_reply(&error, digest).await;
                let command = match reply.outcome {
                    Outcome::NotRun => LedgerCommand::Release { key, claimant },
                    Outcome::Unknown => LedgerCommand::MarkUnknown { key, claimant },
                    Outcome::Ran => LedgerCommand::Done {
                        key,
                        claimant,
                        answer: too_large_record(),
                    },
                };
                self.ledger.record_outcome(command).await;
                reply
            }
        }
    }
}

fn digest_of(request: &CallRequest) -> Digest {
    request_digest(&request.method, &request.target, &request.body)
}

fn refusal_reply(refusal: AdmissionRefusal) -> CallReply {
    let reply = |cause| CallReply::without_response(Outcome::NotRun, cause);
    match refusal {
        AdmissionRefusal::Draining => reply(Cause::Draining),
        AdmissionRefusal::QueueFull { retry_after } => {
            reply(Cause::QueueFull).retry_after(retry_after)
        }
        AdmissionRefusal::TooLate { retry_after } => reply(Cause::TooLate).retry_after(retry_after),
    }
}

/// The reply to the caller if a claim is answered so.
pub(crate) fn claim_refusal_reply(answer: LedgerAnswer) -> CallReply {
    let not_run = |cause| CallReply::without_response(Outcome::NotRun, cause);
    match answer {
        LedgerAnswer::AlreadyDone(response) => CallReply {
            outcome: Outcome::Ran,
            cause: Cause::Replayed,
            retry_after: None,
            response: Some(replayed(response)),
            in_flight: 0,
        },
        LedgerAnswer::InProgress { until_ms } => {
            let wait_ms = until_ms.saturating_sub(unix_ms()) + CLAIM_GRACE_MS;
            CallReply::without_response(Outcome::Unknown, Cause::InProgress)
                .retry_after(Duration::from_millis(wait_ms) + IN_PROGRESS_SLACK)
        }
        LedgerAnswer::OutcomeUnknown => CallReply::without_response(Outcome::Unknown, Cause::Lost),
        LedgerAnswer::OtherRequest => not_run(Cause::OtherRequest),
        LedgerAnswer::Expired => not_run(Cause::ExpiredKey),
        LedgerAnswer::FutureKey => not_run(Cause::FutureKey),
        LedgerAnswer::Granted
        | LedgerAnswer::Recorded
        | LedgerAnswer::Voided
        | LedgerAnswer::NotClaimant => not_run(Cause::Voided),
    }
}

/// Converts a recorded response into a response of a backend server.
pub(crate) fn replayed(response: RecordedResponse) -> BackendResponse {
    BackendResponse {
        status: response.status,
        headers: response.headers,
        body: response.body,
    }
}

fn executed_reply(response: HttpResponse) -> CallReply {
    CallReply {
        outcome: Outcome::Ran,
        cause: Cause::None,
        retry_after: None,
        response: Some(BackendResponse {
            status: response.status,
            headers: response.headers,
            body: response.body,
        }),
        in_flight: 0,
    }
}

fn shed_reply(response: &HttpResponse) -> CallReply {
    let seconds = response
        .header("retry-after")
        .and_then(|value| value.parse().ok());
    let retry_after = Duration::from_secs(seconds.unwrap_or(1));
    CallReply::without_response(Outcome::NotRun, Cause::Shed).retry_after(retry_after)
}

fn to_recorded(response: &HttpResponse) -> RecordedResponse {
    RecordedResponse {
        status: response.status,
        headers: response.headers.clone(),
        body: response.body.clone(),
    }
}

/// Record of a run whose response exceeded the size limit.
fn too_large_record() -> RecordedResponse {
    RecordedResponse {
        status: 502,
        headers: Vec::new(),
        body: Vec::new(),
    }
}
