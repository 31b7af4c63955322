//! Routes callers' requests to backend servers by method and path.

use crate::emit;
use crate::events;
use crate::executor::call_executor::{claim_refusal_reply, replayed, Executor};
use crate::gateway::action_reader::ActionReader;
use crate::gateway::authentication::{authenticate, set_workspace, SenderRefusal};
use crate::gateway::caller_response::{CallerResponse, Refusal};
use crate::gateway::keys_in_flight::{KeyMark, KeysInFlight};
use crate::gateway::ledger_client::{void_command, LedgerClient};
use crate::gateway::route_view::RouteView;
use crate::hop::forward_headers::end_to_end_text;
use crate::peer_client::{PeerError, PeerReply, PeerRequest};
use crate::shared::{lock, unix_ms, Shared};
use foxtailgauge_core::{
    fingerprint, key_time_ms, request_digest, ActionKey, AttemptId, CallHealth, Candidate,
    ConfigVersion, Digest, Fingerprint, LedgerAnswer, RetryBudget, Route, ServerKey,
    SuspectVerdict, UnixMs,
};
use foxtailgauge_wire::{CallReply, CallRequest, Cause, Outcome};
use hyper::header::HeaderMap;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 3;
/// Timeout for voiding an attempt in the ledger to find out whether it can still run.
const VOID_TIMEOUT: Duration = Duration::from_millis(400);
/// Time beyond the deadline to wait for the executor's own reply that the deadline has passed.
const REPLY_SLACK: Duration = Duration::from_millis(20);
/// Bodies larger than this are sent over the connections for bulk calls.
const BULK_BYTES: usize = 32 << 10;
/// Retry delay for a suspected request while the same request is in flight.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay if the ledger could not be asked whether an action has run.
const LEDGER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay if an earlier try with the key may still claim it.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay if a service has no available backend server, or the daemon no configuration.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A caller's request with its complete body.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: String,
    /// Path without the query.
    pub(crate) path: String,
    /// Path and query.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    /// Value of the header `Idempotency-Key`.
    pub(crate) key: Option<String>,
    /// Value of the header `Foxtailgauge-Deadline-Ms`.
    pub(crate) deadline_ms: Option<u64>,
}

impl CallerRequest {
    /// The idempotency key, if it is a valid one.
    fn action_key(&self) -> Option<ActionKey> {
        let key = Uuid::parse_str(self.key.as_deref()?).ok()?;
        key_time_ms(&key).map(|_| key)
    }
}

/// Routes callers' requests to backend servers.
pub(crate) struct Gateway {
    shared: Arc<Shared>,
    executor: Arc<Executor>,
    ledger: LedgerClient,
    actions: ActionReader,
    budgets: Mutex<HashMap<String, RetryBudget>>,
    suspects_in_flight: Mutex<HashSet<Fingerprint>>,
    keys: KeysInFlight,
}

/// One request being routed.
struct Call<'a> {
    view: &'a RouteView,
    version: ConfigVersion,
    route: &'a Route,
    request: &'a CallerRequest,
    /// Headers as forwarded, in order.
    headers: Vec<(String, String)>,
    key: Option<ActionKey>,
    digest: Digest,
    deadline: Instant,
}

/// Result of an attempt.
enum Attempt {
    /// Response to deliver; no further attempt is made.
    Final(CallerResponse),
    /// The request was not executed, so another attempt may be made. The response is delivered if
    /// none is.
    NotRun(CallerResponse),
    /// The request may have been executed; only an idempotent one may be retried.
    Uncertain(CallerResponse),
}

impl Gateway {
    /// Creates a gateway that runs attempts on this daemon through `executor`.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        executor: &Arc<Executor>,
        ledger: LedgerClient,
    ) -> Self {
        Gateway {
            shared: Arc::clone(shared),
            executor: Arc::clone(executor),
            actions: ActionReader::new(ledger.clone()),
            ledger,
            budgets: Mutex::default(),
            suspects_in_flight: Mutex::default(),
            keys: KeysInFlight::default(),
        }
    }

    /// Routes one request and returns its result.
    pub(crate) async fn handle(&self, request: &CallerRequest) -> CallerResponse {
        let started_at = Instant::now();
        let view = self.shared.view();
        let key = request.action_key();
        let Some(key) = key.filter(|_| may_be_billable(&view, request)) else {
            return self.route(&view, request).await;
        };
        let mark = self.keys.mark(key);
        let response = self.route(&view, request).await;
        match response.result {
            Err(refusal) if refusal.leaves_key_open() => {
                let requested = request.deadline_ms.map(Duration::from_millis);
                let time_left = requested.map(|time| time.saturating_sub(started_at.elapsed()));
                self.refuse_unless_claimed(request, &mark, response, time_left)
                    .await
            }
            _ => response,
        }
    }

    async fn route(&self, view: &RouteView, request: &CallerRequest) -> CallerResponse {
        let Some(snapshot) = view
            .snapshot
            .clone()
            .filter(|snapshot| snapshot.version > 0)
        else {
            return CallerResponse::not_run(0, Refusal::NotReady)
                .retry_after(NO_SERVER_RETRY_AFTER);
        };
        let version = snapshot.version;
        let Some((_, route)) = snapshot.route(&request.method, &request.path) else {
            return CallerResponse::not_run(version, Refusal::UnknownRoute);
        };
        let table = &view.workspaces;
        let sender = match authenticate(table, route.is_public, false, &request.headers) {
            Ok(sender) => sender,
            Err(refusal) => return refused_sender(version, refusal),
        };
        let mut headers = request.headers.clone();
        set_workspace(table, &sender, &mut headers);
        let Some(headers) = end_to_end_text(&headers) else {
            return CallerResponse::not_run(version, Refusal::MalformedHeader);
        };
        let key = match parse_key(route, request) {
            Ok(key) => key,
            Err(refusal) => return CallerResponse::not_run(version, refusal),
        };
        let requested_ms = request.deadline_ms.unwrap_or(route.deadline_ms);
        let deadline_ms = requested_ms.min(route.deadline_ms);
        if deadline_ms == 0 {
            return CallerResponse::not_run(version, Refusal::DeadlinePassed);
        }
        let call = Call {
            view,
            version,
            route,
            request,
            headers,
            key,
            digest: request_digest(&request.method, &request.target, &request.body),
            deadline: Instant::now() + Duration::from_millis(deadline_ms),
        };
        let admitted_for = match self.shared.admit_sender(view, &sender) {
            Ok(admitted_for) => admitted_for,
            Err(refusal) => return refused_sender(version, refusal),
        };
        let response = self.run_unless_suspected(&call).await;
        if !response.is_counted() {
            self.shared.refund_sender(admitted_for.as_ref());
        }
        response
    }

    /// Refuses a request unless an earlier try with its key is recorded in the ledger or may still
    /// claim the key. An action that ran gets its recorded response: its retry takes no capacity, and
    /// "not run" would be false.
    async fn refuse_unless_claimed(
        &self,
        request: &CallerRequest,
        mark: &KeyMark,
        response: CallerResponse,
        time_left: Option<Duration>,
    ) -> CallerResponse {
        let version = response.version;
        let digest = request_digest(&request.method, &request.target, &request.body);
        // Asked before the read: a try that ends during it may have claimed the key after it.
        let may_be_claimed = mark.is_shared();
        match self.actions.find(mark.key(), digest, time_left).await {
            Ok(None) if may_be_claimed || mark.is_shared() => {
                CallerResponse::refused(version, Outcome::Unknown, Refusal::InProgress)
                    .retry_after(IN_PROGRESS_RETRY_AFTER)
            }
            Ok(None) => response,
            Ok(Some(answer)) => match attempt_from_reply(version, claim_refusal_reply(answer)) {
                Attempt::Final(response)
                | Attempt::NotRun(response)
                | Attempt::Uncertain(response) => response,
            },
            Err(_) => {
                let refusal = Refusal::LedgerUnavailable;
                CallerResponse::refused(version, Outcome::Unknown, refusal)
                    .retry_after(LEDGER_RETRY_AFTER)
            }
        }
    }

    /// Runs the request unless it is quarantined. Copies of a suspected request run one at a
    /// time.
    async fn run_unless_suspected(&self, call: &Call<'_>) -> CallerResponse {
        let fingerprint = fingerprint(&call.digest);
        match self.verdict(fingerprint) {
            SuspectVerdict::Clear => self.run(call).await,
            SuspectVerdict::Quarantined { until_ms } => self.quarantine_response(call, until_ms),
            SuspectVerdict::Suspect => {
                if !lock(&self.suspects_in_flight).insert(fingerprint) {
                    return CallerResponse::not_run(call.version, Refusal::Suspected)
                        .retry_after(SUSPECT_RETRY_AFTER);
                }
                let guard = SuspectGuard {
                    gateway: self,
                    fingerprint,
                };
                let response = self.run(call).await;
                drop(guard);
                response
            }
        }
    }

    fn verdict(&self, fingerprint: Fingerprint) -> SuspectVerdict {
        self.shared.view().suspects.verdict(fingerprint, unix_ms())
    }

    fn quarantine_response(&self, call: &Call<'_>, until_ms: UnixMs) -> CallerResponse {
        emit!(self.shared.log, events::REQUEST_QUARANTINED, "path" => &call.request.path);
        let delay = Duration::from_millis(until_ms.saturating_sub(unix_ms()));
        CallerResponse::not_run(call.version, Refusal::Quarantined).retry_after(delay)
    }

    async fn run(&self, call: &Call<'_>) -> CallerResponse {
        let service = call
            .view
            .snapshot
            .as_ref()
            .and_then(|s| s.services.get(&call.route.service));
        let (retry_percent, queue) = service.map_or((0, 0), |service| {
            (service.retry_percent, service.queue_requests)
        });
        self.deposit(&call.route.service, retry_percent);
        let no_candidates = Vec::new();
        let candidates = call
            .view
            .candidates
            .get(&call.route.service)
            .unwrap_or(&no_candidates);
        let mut tried: Vec<ServerKey> = Vec::new();
        // Once an attempt may have been executed, a later one cannot turn the outcome into
        // "not run".
        let mut uncertain: Option<CallerResponse> = None;
        let mut last_response = CallerResponse::not_run(call.version, Refusal::NoServer)
            .retry_after(NO_SERVER_RETRY_AFTER);
        while tried.len() < MAX_ATTEMPTS {
            if !tried.is_empty() && !self.may_retry(call) {
                break;
            }
            let chosen = {
                let mut balancer = lock(&self.shared.balancer);
                balancer
                    .choose(candidates, &tried, Instant::now(), &mut rand::rng())
                    .cloned()
            };
            let Some(candidate) = chosen else {
                break;
            };
            tried.push(candidate.key.clone());
            match self.attempt(call, &candidate, queue).await {
                Attempt::Final(response) if response.outcome != Outcome::NotRun => return response,
                Attempt::Final(response) => return uncertain.unwrap_or(response),
                Attempt::NotRun(response) => last_response = response,
                Attempt::Uncertain(response) if call.route.idempotent => uncertain = Some(response),
                Attempt::Uncertain(response) => return response,
            }
        }
        uncertain.unwrap_or(last_response)
    }

    fn deposit(&self, service: &str, retry_percent: u64) {
        let mut budgets = lock(&self.budgets);
        if !budgets.contains_key(service) {
            budgets.insert(service.to_owned(), RetryBudget::default());
        }
        if let Some(budget) = budgets.get_mut(service) {
            budget.deposit(retry_percent as f64);
        }
    }

    fn may_retry(&self, call: &Call<'_>) -> bool {
        let is_quarantined = matches!(
            self.verdict(fingerprint(&call.digest)),
            SuspectVerdict::Quarantined { .. }
        );
        if is_quarantined || Instant::now() >= call.deadline {
            return false;
        }
        let mut budgets = lock(&self.budgets);
        let is_withdrawn = budgets
            .get_mut(&call.route.service)
            .is_some_and(RetryBudget::try_withdraw);
        if is_withdrawn {
            self.shared.metrics.retries.inc();
        }
        is_withdrawn
    }

    async fn attempt(&self, call: &Call<'_>, candidate: &Candidate, queue: u64) -> Attempt {
        let time_left = call.deadline.saturating_duration_since(Instant::now());
        let attempt = Uuid::now_v7();
        let request = CallRequest {
            attempt,
            server: candidate.key.server.clone(),
            method: call.request.method.clone(),
            target: call.request.target.clone(),
            headers: call.headers.clone(),
            body: call.request.body.clone(),
            time_left,
            key: call.key,
            queue_requests: queue,
        };
        let guard = AttemptGuard::new(&self.shared, &candidate.key);
        let is_remote = candidate.key.daemon != self.shared.settings.name;
        let mut claim = call.key.filter(|_| is_remote).map(|key| ClaimGuard {
            gateway: self,
            key,
            attempt,
            digest: call.digest,
            is_decided: false,
        });
        let result = self.send(candidate, request, time_left).await;
        guard.finish(&result);
        let (outcome, is_decided) = match result {
            Ok(reply) => (attempt_from_reply(call.version, reply), true),
            Err(PeerError::NotSent) => {
                let response = overloaded_response(call.version, None);
                (Attempt::NotRun(response), true)
            }
            Err(PeerError::NoResponse) => self.resolve(call, attempt).await,
        };
        if let Some(claim) = &mut claim {
            claim.is_decided = is_decided;
        }
        outcome
    }

    async fn send(
        &self,
        candidate: &Candidate,
        request: CallRequest,
        time_left: Duration,
    ) -> Result<CallReply, PeerError> {
        if candidate.key.daemon == self.shared.settings.name {
            return Ok(self.executor.execute(request).await);
        }
        let client = match request.body.len() > BULK_BYTES {
            true => &self.shared.clients.bulk_calls,
            false => &self.shared.clients.calls,
        };
        let request = PeerRequest::Execute(Box::new(request));
        match client
            .call(&candidate.calls_addr, request, time_left + REPLY_SLACK)
            .await?
        {
            PeerReply::Call(reply) => Ok(reply),
            PeerReply::Acknowledged | PeerReply::Payload(_) => Err(PeerError::NoResponse),
        }
    }

    /// Determines the outcome of an attempt whose executor did not reply, by voiding it in the
    /// ledger. Without an idempotency key there is no ledger entry, and the outcome stays unknown.
    /// Also returns whether the ledger decided on the attempt.
    async fn resolve(&self, call: &Call<'_>, attempt: Uuid) -> (Attempt, bool) {
        let unknown =
            CallerResponse::refused(call.version, Outcome::Unknown, Refusal::OutcomeUnknown);
        let Some(key) = call.key else {
            return (Attempt::Uncertain(unknown), true);
        };
        let command = void_command(key, attempt, call.digest);
        let answer = self.ledger.command(command, VOID_TIMEOUT).await;
        let is_decided = answer.is_ok();
        let outcome = match answer {
            Ok(LedgerAnswer::Voided) => Attempt::NotRun(overloaded_response(call.version, None)),
            Ok(LedgerAnswer::AlreadyDone(response)) => Attempt::Final(CallerResponse {
                outcome: Outcome::Ran,
                version: call.version,
                retry_after: None,
                result: Ok(replayed(response)),
                is_replay: true,
            }),
            _ => Attempt::Final(unknown),
        };
        (outcome, is_decided)
    }
}

fn attempt_from_reply(version: ConfigVersion, reply: CallReply) -> Attempt {
    let retry_after = reply.retry_after;
    let refused = |outcome, refusal| CallerResponse {
        retry_after,
        ..CallerResponse::refused(version, outcome, refusal)
    };
    match reply.cause {
        Cause::None | Cause::Replayed => match reply.response {
            Some(response) => Attempt::Final(CallerResponse {
                outcome: Outcome::Ran,
                version,
                retry_after: None,
                result: Ok(response),
                is_replay: reply.cause == Cause::Replayed,
            }),
            None => Attempt::Final(refused(Outcome::Unknown, Refusal::OutcomeUnknown)),
        },
        Cause::UnknownServer
        | Cause::Draining
        | Cause::QueueFull
        | Cause::TooLate
        | Cause::Unreachable
        | Cause::Voided
        | Cause::Shed => Attempt::NotRun(overloaded_response(version, retry_after)),
        Cause::LedgerUnreachable => {
            Attempt::Final(refused(Outcome::Unknown, Refusal::LedgerUnavailable))
        }
        Cause::OtherRequest => Attempt::Final(refused(Outcome::NotRun, Refusal::KeyReused)),
        Cause::ExpiredKey => Attempt::Final(refused(Outcome::NotRun, Refusal::KeyExpired)),
        Cause::FutureKey => Attempt::Final(refused(Outcome::NotRun, Refusal::KeyFromFuture)),
        Cause::InProgress => Attempt::Final(refused(Outcome::Unknown, Refusal::InProgress)),
        Cause::Lost => Attempt::Final(refused(Outcome::Unknown, Refusal::OutcomeUnknown)),
        Cause::TimedOut => Attempt::Final(refused(Outcome::Unknown, Refusal::TimedOut)),
        Cause::Died => Attempt::Uncertain(refused(Outcome::Unknown, Refusal::OutcomeUnknown)),
        Cause::AnswerTooLarge => Attempt::Final(refused(Outcome::Ran, Refusal::AnswerTooLarge)),
    }
}

fn overloaded_response(version: ConfigVersion, retry_after: Option<Duration>) -> CallerResponse {
    let delay = retry_after.unwrap_or(NO_SERVER_RETRY_AFTER);
    CallerResponse::not_run(version, Refusal::Overloaded).retry_after(delay)
}

fn refused_sender(version: ConfigVersion, refusal: SenderRefusal) -> CallerResponse {
    match refusal {
        SenderRefusal::UnknownKey => CallerResponse::not_run(version, Refusal::UnknownKey),
        SenderRefusal::OverAllotment { retry_after } => {
            CallerResponse::not_run(version, Refusal::OverAllotment).retry_after(retry_after)
        }
    }
}

/// Whether the ledger may have a record of the request's key. Earlier attempts with it may have had
/// a route that is not known here.
fn may_be_billable(view: &RouteView, request: &CallerRequest) -> bool {
    let snapshot = view.snapshot.as_ref();
    let found = snapshot.and_then(|s| s.route(&request.method, &request.path));
    found.is_none_or(|(_, route)| route.billable)
}

fn parse_key(route: &Route, request: &CallerRequest) -> Result<Option<ActionKey>, Refusal> {
    if !route.billable {
        return Ok(None);
    }
    if request.key.is_none() {
        return Err(Refusal::MissingKey);
    }
    let key = request.action_key().ok_or(Refusal::MalformedKey)?;
    Ok(Some(key))
}

/// Allows the next run of a suspected request when dropped.
struct SuspectGuard<'a> {
    gateway: &'a Gateway,
    fingerprint: Fingerprint,
}

impl Drop for SuspectGuard<'_> {
    fn drop(&mut self) {
        lock(&self.gateway.suspects_in_flight).remove(&self.fingerprint);
    }
}

/// Voids an attempt at another daemon if it is dropped undecided, as when its caller is gone: the
/// executor may learn of it after it has claimed the key. Until then the key counts as in flight.
struct ClaimGuard<'a> {
    gateway: &'a Gateway,
    key: ActionKey,
    attempt: AttemptId,
    digest: Digest,
    is_decided: bool,
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        if !self.is_decided {
            let mark = self.gateway.keys.mark(self.key);
            let ledger = &self.gateway.ledger;
            ledger.void_abandoned(mark, self.attempt, self.digest);
        }
    }
}

/// Ends the balancer's in-flight count of an attempt, also if the caller disconnects and the attempt
/// is dropped.
struct AttemptGuard<'a> {
    shared: &'a Shared,
    key: Option<&'a ServerKey>,
}

impl<'a> AttemptGuard<'a> {
    fn new(shared: &'a Shared, key: &'a ServerKey) -> Self {
        AttemptGuard {
            shared,
            key: Some(key),
        }
    }

    fn finish(mut self, result: &Result<CallReply, PeerError>) {
        let (health, in_flight) = match result {
            Ok(reply) => (call_health(reply), Some(reply.in_flight)),
            Err(_) => (CallHealth::Failed, None),
        };
        if let Some(key) = self.key.take() {
            lock(&self.shared.balancer).finish(key, health, in_flight, Instant::now());
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            let now = Instant::now();
            lock(&self.shared.balancer).finish(key, CallHealth::Neutral, None, now);
        }
    }
}

fn call_health(reply: &CallReply) -> CallHealth {
    match reply.cause {
        Cause::None | Cause::Replayed => CallHealth::Answered,
        Cause::Unreachable | Cause::Died | Cause::TimedOut => CallHealth::Failed,
        _ => CallHealth::Neutral,
    }
}
