//! Accepts requests from callers on this instance and from the colocated backend server, and
//! forwards them to backend servers by host routes.

use crate::emit;
use crate::events;
use crate::executor::forward_executor::{
    fingerprint_of, ForwardExecutor, ForwardReply, ForwardRequest,
};
use crate::executor::http_pool::SendError;
use crate::executor::running_requests::RunningRequest;
use crate::gateway::authentication::{authenticate, set_workspace};
use crate::gateway::forward_attempt::{attempt_end, reply_without_response, AttemptGuard};
use crate::gateway::forward_refusal::{refusal_response, Refusal};
use crate::gateway::forward_request::{
    check_head, implies_not_executed, next_body, read_body, response_timeout,
};
use crate::gateway::front::connection;
use crate::gateway::front::request::Responder;
use crate::gateway::front::request_head::HeadError;
use crate::gateway::retry_budgets::{RequestOrigin, RetryBudgets};
use crate::gateway::route_view::RouteView;
use crate::hop::forward_body::ForwardBody;
use crate::hop::forward_headers::{attempt_id, header, set_time_left, strip_hop_by_hop};
use crate::hop::hop_connection::{HopConnections, HopTraffic};
use crate::hop::metadata::{HopEnd, HopReply, HopRequest, HOP_HEADER};
use crate::mesh_settings::MeshSettings;
use crate::metrics::{ForwardLabels, ServiceLabels};
use crate::peer_client::PeerIdentity;
use crate::rollout::choice::VersionChoice;
use crate::shared::{lock, unix_ms, ForwardingGuard, Shared};
use crate::socket;
use crate::stop::StopState;
use async_std::net::{TcpListener, TcpStream};
use foxtailgauge_core::{
    AttemptEnd, Attempts, CallerLimits, CallerTimeouts, CallerTry, Candidate, DeliveredStatements,
    Fingerprint, HostRoute, LateRequest, NextAction, PlacementRequest, RequestKind, RouteName,
    ServerKey, ServiceName, SuspectVerdict, UnixMs, WorkspaceName,
};
use foxtailgauge_platform::headers;
use foxtailgauge_wire::http::VALID_STATUSES;
use futures::future::{BoxFuture, FutureExt};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, HOST};
use hyper::http::request::Parts;
use hyper::{Request, Response, Version};
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time left of a request that does not state it. The timeout of the route applies as well.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(30);

/// Forwards callers' requests by host routes.
pub(crate) struct ForwardGateway {
    shared: Arc<Shared>,
    executor: Arc<ForwardExecutor>,
    settings: MeshSettings,
    peers: HopConnections,
    budgets: RetryBudgets,
    statements: Mutex<DeliveredStatements>,
    caller_timeouts: Mutex<CallerTimeouts>,
}

/// Route and service of a request, and its attempts; empty until a route matched.
#[derive(Default)]
struct RouteMatch {
    route: RouteName,
    service: ServiceName,
    /// Workspace of the sender, if it has one.
    workspace: Option<WorkspaceName>,
    /// Workspace in whose allotment the request is counted.
    admitted_for: Option<WorkspaceName>,
    /// Backend servers tried so far, and how each attempt ended.
    attempts: Vec<(String, HopEnd)>,
    /// Whether a backend server may have run the request, or may be running it.
    may_have_run: bool,
}

/// One request being forwarded.
struct Call<'a> {
    id: String,
    view: &'a RouteView,
    route_name: &'a RouteName,
    route: &'a HostRoute,
    service: ServiceName,
    /// Rank of the sender's workspace, otherwise of the route.
    rank: u64,
    /// Workspace of the sender, if it has one.
    workspace: Option<WorkspaceName>,
    /// The parent request, if this one is nested in a request that runs on this instance.
    parent: Option<RunningRequest>,
    started: Instant,
    /// Time that the caller spent on earlier tries.
    elapsed_before: Duration,
    /// Latency target of the route, counted from the caller's first try.
    target: Duration,
    deadline: Instant,
    /// When a response must be complete: at the caller's deadline or the timeout of the route.
    response_end: Instant,
    parts: Parts,
}

impl Call<'_> {
    fn origin(&self) -> RequestOrigin {
        match &self.parent {
            Some(parent) => RequestOrigin::ParentRequest {
                is_repeat: parent.is_repeat,
            },
            None => RequestOrigin::Caller,
        }
    }

    /// The request as it is now, for a decision during a stop.
    fn late_request(&self) -> LateRequest {
        let latency = Duration::from_millis(self.route.latency_ms);
        LateRequest {
            time_left: self.response_end.saturating_duration_since(Instant::now()),
            usual_time: (!latency.is_zero()).then_some(latency),
            is_nested: self.parent.is_some(),
        }
    }

    /// The try of the caller. A nested request counts as a later one: a refusal wastes the run of
    /// its parent.
    fn caller_try(&self) -> CallerTry {
        match self.parent {
            Some(_) => CallerTry::Later,
            None => CallerTry::from_elapsed(self.elapsed_before),
        }
    }
}

impl ForwardGateway {
    /// Creates a gateway that runs attempts on this daemon through `executor`.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        executor: &Arc<ForwardExecutor>,
        settings: MeshSettings,
        identity: PeerIdentity,
    ) -> Self {
        ForwardGateway {
            shared: Arc::clone(shared),
            executor: Arc::clone(executor),
            settings,
            peers: HopConnections::new(identity),
            budgets: RetryBudgets::new(shared),
            statements: Mutex::default(),
            caller_timeouts: Mutex::default(),
        }
    }

    /// Accepts and serves callers' connections until the drain of a stop ends.
    pub(crate) async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Some(stream) = socket::accept_until_drained(&listener, &self.shared).await {
            async_std::task::spawn(Arc::clone(&self).serve_connection(stream));
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let counters = self.shared.metrics.caller_bytes.clone();
        connection::serve(self, stream, counters).await;
    }

    async fn respond_from(
        &self,
        request: Request<ForwardBody>,
        started: Instant,
    ) -> Response<ForwardBody> {
        let id = attempt_id(request.headers());
        let mut route_match = RouteMatch::default();
        let stop = &self.shared.stop;
        let handled = stop
            .until_drain_end(pin!(self.handle(request, started, &mut route_match)))
            .await;
        let handled = handled.unwrap_or_else(|| Err(self.give_up(&route_match)));
        let (response, outcome) = match handled {
            Ok(response) => (response, "answered"),
            Err(refusal) => {
                if !refusal.may_have_run() {
                    self.shared.refund_sender(route_match.admitted_for.as_ref());
                }
                if let Some(workspace) = &route_match.workspace {
                    let refusals = &self.shared.metrics.workspace_refusals;
                    refusals.record(workspace, refusal.reason());
                }
                emit!(self.shared.log, events::FORWARD_REFUSED, "request" => id,
                    "reason" => refusal.reason(), "status" => refusal.status().as_u16(),
                    "took_ms" => started.elapsed().as_millis() as u64,
                    "version" => self.shared.current_version().0,
                    "attempts" => format!("{:?}", route_match.attempts));
                (refusal_response(&refusal), refusal.reason())
            }
        };
        let RouteMatch { route, service, .. } = route_match;
        let metrics = &self.shared.metrics;
        let service_labels = ServiceLabels {
            service: service.clone(),
        };
        metrics
            .forward_seconds
            .get_or_create(&service_labels)
            .observe(started.elapsed().as_secs_f64());
        let labels = ForwardLabels {
            route,
            service,
            outcome,
        };
        metrics.forwarded.get_or_create(&labels).inc();
        response
    }

    /// The refusal of a request that is not answered at the end of the drain.
    fn give_up(&self, route_match: &RouteMatch) -> Refusal {
        match route_match.may_have_run {
            true => {
                self.shared.stop.record_unknown();
                Refusal::OutcomeUnknown
            }
            false => Refusal::Stopping,
        }
    }

    async fn handle(
        &self,
        request: Request<ForwardBody>,
        started: Instant,
        route_match: &mut RouteMatch,
    ) -> Result<Response<ForwardBody>, Refusal> {
        let view = self.shared.view();
        let snapshot = view.snapshot.as_ref().filter(|s| s.version > 0);
        let snapshot = snapshot.ok_or(Refusal::NoConfiguration)?;
        let (parts, body) = request.into_parts();
        let host = header(&parts.headers, HOST.as_str()).or(parts.uri.host());
        let path = parts.uri.path();
        let (route_name, route) = view
            .hosts
            .find(host.unwrap_or_default(), path)
            .ok_or(Refusal::UnknownRoute)?;
        let limits = &snapshot.caller_limits;
        check_head(&parts, limits.header_bytes)?;
        let id = attempt_id(&parts.headers);
        let parent = self.executor.parent(&id);
        let table = &view.workspaces;
        let sender = authenticate(table, route.is_public, parent.is_some(), &parts.headers)?;
        route_match.workspace = sender.as_ref().map(|(name, _)| name.clone());
        route_match.admitted_for = self.shared.admit_sender(&view, &sender)?;
        let time_left = header(&parts.headers, headers::REMAINING_TIME_MS)
            .and_then(|text| text.trim().parse().ok())
            .map_or(DEFAULT_TIME_LEFT, Duration::from_millis);
        let service = route
            .pick_service(rand::random())
            .ok_or(Refusal::UnknownRoute)?;
        route_match.route.clone_from(route_name);
        route_match.service.clone_from(service);
        // A nested request inherits the time left of its parent, which says nothing about earlier
        // tries.
        let elapsed_before = match parent {
            Some(_) => Duration::ZERO,
            None => lock(&self.caller_timeouts).elapsed_before(route_name, time_left),
        };
        let workspace_rank = sender.as_ref().and_then(|(_, workspace)| workspace.rank);
        let mut parts = self.forwarded_parts(parts);
        set_workspace(table, &sender, &mut parts.headers);
        let call = Call {
            rank: workspace_rank.unwrap_or(route.rank),
            workspace: sender.map(|(name, _)| name),
            parent,
            id,
            elapsed_before,
            view: &view,
            route_name,
            route,
            service: service.clone(),
            started,
            target: Duration::from_millis(route.latency_ms),
            deadline: started + response_timeout(time_left, route),
            response_end: started + time_left.min(Duration::from_millis(route.timeout_ms)),
            parts,
        };
        if !self.shared.stop.takes(|| call.late_request()) {
            return Err(Refusal::Stopping);
        }
        let body = read_body(body, limits.body_bytes, call.deadline).await?;
        self.run_attempts(&call, body, route_match).await
    }

    /// Head of a request as forwarded to backend servers: without hop-by-hop and internal headers,
    /// and with the service of the caller.
    fn forwarded_parts(&self, mut parts: Parts) -> Parts {
        strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(HOP_HEADER);
        parts.headers.remove(headers::TARGET_SERVER);
        parts.headers.remove(headers::CALLER_SERVICE);
        let service = self.settings.service.as_deref().unwrap_or_default();
        if let Ok(service) = HeaderValue::from_str(service) {
            parts.headers.insert(headers::CALLER_SERVICE, service);
        }
        if let Some(path_and_query) = parts.uri.path_and_query() {
            parts.uri = path_and_query.clone().into();
        }
        parts
    }

    /// Makes attempts until one yields the response to deliver or no further attempt is allowed.
    async fn run_attempts(
        &self,
        call: &Call<'_>,
        body: ForwardBody,
        route_match: &mut RouteMatch,
    ) -> Result<Response<ForwardBody>, Refusal> {
        let fingerprint = fingerprint_of(&call.parts, &body);
        if let Some(until_ms) = self.quarantined_until(call, fingerprint) {
            let retry_after = Duration::from_millis(until_ms.saturating_sub(unix_ms()));
            return Err(Refusal::Quarantined { retry_after });
        }
        self.budgets
            .deposit(call.view, &call.service, call.origin());
        let draw = rand::random();
        let mut version = VersionChoice::draw(&self.shared, call.view, &call.service, draw);
        let mut attempts = Attempts::new(call.route.idempotent, call.route.attempts);
        let mut tried: Vec<ServerKey> = Vec::new();
        let mut body = Some(body);
        let mut retry_after = None;
        // A failure response of a backend server tells the caller more than an unknown outcome.
        let mut failure: Option<ForwardReply> = None;
        let give_up = |attempts: &Attempts, failure, retry_after| match failure {
            Some(reply) => self.deliver(call, reply),
            None => Err(Refusal::from_attempts(attempts, call.deadline, retry_after)),
        };
        loop {
            if !self.shared.stop.takes(|| call.late_request()) {
                return match attempts.may_have_run() {
                    true => give_up(&attempts, failure, retry_after),
                    false => Err(Refusal::Stopping),
                };
            }
            let Some(attempt_body) = next_body(&mut body) else {
                return give_up(&attempts, failure, retry_after);
            };
            let now = Instant::now();
            let candidates = version.candidates();
            let target = call.target.saturating_sub(now - call.started);
            let placement_request = PlacementRequest {
                route: call.route_name,
                target,
                is_nested: call.parent.is_some(),
                is_bulk: call.route.is_bulk,
                was_refused: retry_after.is_some(),
                colocated_load: self.executor.colocated_load(candidates, call.route_name),
            };
            let chosen = lock(&self.shared.placement).choose(
                candidates,
                &tried,
                &placement_request,
                now,
                &mut rand::rng(),
            );
            let Some(candidate) = chosen else {
                return give_up(&attempts, failure, retry_after);
            };
            tried.push(candidate.key.clone());
            let is_repeat = attempts.was_received();
            route_match.may_have_run = true;
            let reply = self.attempt(call, candidate, attempt_body, is_repeat).await;
            let end_at_server = (candidate.key.server.clone(), reply.reply.end);
            route_match.attempts.push(end_at_server);
            let run_time = reply.reply.load.route_run;
            if let HopEnd::Refused { retry_after: delay } = reply.reply.end {
                retry_after = Some(retry_after.unwrap_or(delay).min(delay));
            }
            let end = attempt_end(&reply);
            let has_left_trial = version.leave_trial(end);
            let time_left = call.deadline.saturating_duration_since(Instant::now());
            let load = reply.reply.load;
            let is_busy = (load.waiting > 0 || load.running >= load.slots) && !has_left_trial;
            let mut next = attempts.decide_next(end, time_left, run_time, is_busy);
            route_match.may_have_run = attempts.may_have_run();
            let is_over_budget = matches!(next, NextAction::TryAnother { is_repeat: true })
                && !self.budgets.try_withdraw(&call.service, call.caller_try());
            let is_given_up = matches!(reply.reply.end, HopEnd::Refused { .. })
                && !has_left_trial
                && call.parent.is_none()
                && !lock(&self.shared.placement).may_try_another(call.route_name, rand::random());
            if is_over_budget || is_given_up {
                next = attempts.final_action(end);
            }
            match next {
                NextAction::Deliver => return self.deliver(call, reply),
                NextAction::TryAnother { is_repeat } => {
                    self.log_retry(call, candidate, &reply, is_repeat);
                    if end == AttemptEnd::ServerFailed {
                        failure = Some(reply);
                    }
                }
                NextAction::RefuseNotExecuted | NextAction::RefuseOutcomeUnknown => {
                    return give_up(&attempts, failure, retry_after);
                }
            }
        }
    }

    /// End of the quarantine of a request that was in flight when several backend servers crashed.
    fn quarantined_until(&self, call: &Call<'_>, fingerprint: Fingerprint) -> Option<UnixMs> {
        match call.view.suspects.verdict(fingerprint, unix_ms()) {
            SuspectVerdict::Quarantined { until_ms } => Some(until_ms),
            SuspectVerdict::Clear | SuspectVerdict::Suspect => None,
        }
    }

    fn log_retry(&self, call: &Call<'_>, from: &Candidate, reply: &ForwardReply, is_repeat: bool) {
        emit!(self.shared.log, events::FORWARD_RETRIED, "request" => &call.id,
            "route" => call.route_name, "server" => &from.key.server, "daemon" => &from.key.daemon,
            "end" => format!("{:?}", reply.reply.end), "load" => format!("{:?}", reply.reply.load),
            "is_repeat" => is_repeat);
    }

    /// Delivers the backend server's response. Callers take some statuses as a guarantee that the
    /// request was not executed, which a backend server's response does not give. On a route that
    /// is not idempotent, the outcome is reported as unknown instead of such a status.
    fn deliver(
        &self,
        call: &Call<'_>,
        reply: ForwardReply,
    ) -> Result<Response<ForwardBody>, Refusal> {
        let Some(mut response) = reply.response else {
            return Err(Refusal::OutcomeUnknown);
        };
        if implies_not_executed(response.status()) && !call.route.idempotent {
            return Err(Refusal::OutcomeUnknown);
        }
        strip_hop_by_hop(response.headers_mut());
        response.headers_mut().remove(HOP_HEADER);
        let (log, id) = (self.shared.log.clone(), call.id.clone());
        response
            .body_mut()
            .set_deadline(call.response_end, move || {
                emit!(log, events::BODY_TIMED_OUT, "request" => id);
            });
        Ok(response)
    }

    async fn attempt(
        &self,
        call: &Call<'_>,
        candidate: &Candidate,
        body: ForwardBody,
        is_repeat: bool,
    ) -> ForwardReply {
        let now = Instant::now();
        let mut parts = call.parts.clone();
        if let Ok(server) = HeaderValue::from_str(&candidate.key.server) {
            parts.headers.insert(headers::TARGET_SERVER, server);
        }
        let elapsed = now.saturating_duration_since(call.started);
        let hop = HopRequest {
            server: candidate.key.server.clone(),
            route: call.route_name.clone(),
            rank: call.rank,
            is_nested: call.parent.is_some(),
            is_idempotent: call.route.idempotent,
            target: call.target.saturating_sub(elapsed + call.elapsed_before),
            statement: lock(&self.statements).get(&candidate.key, now),
            workspace: call.workspace.clone(),
            is_repeat,
        };
        let guard = AttemptGuard::new(&self.shared, &candidate.key, call.route_name);
        let fingerprint = fingerprint_of(&parts, &body);
        let sent_bytes = body.buffered_length();
        let request = ForwardRequest {
            hop,
            request: Request::from_parts(parts, body),
            deadline: call.deadline,
            fingerprint,
        };
        let (reply, transit_time) = if candidate.key.daemon == self.shared.settings.name {
            (self.executor.run(request).await, None)
        } else {
            let traffic = HopTraffic::of_route(call.route.is_bulk);
            let reply = self.send(&candidate.calls_addr, traffic, request).await;
            let elapsed = now.elapsed();
            let hop_seconds = &self.shared.metrics.hop_seconds;
            hop_seconds.observe(elapsed.as_secs_f64());
            let transit_time = elapsed.saturating_sub(reply.reply.elapsed);
            (reply, Some(transit_time))
        };
        if matches!(reply.reply.end, HopEnd::Answered | HopEnd::Declined) {
            lock(&self.statements).record(&candidate.key, reply.reply.statement, Instant::now());
        }
        guard.finish(&reply, transit_time, sent_bytes);
        if let Some(parent) = &call.parent {
            self.executor
                .record_call(&parent.route, &call.service, &reply.reply);
        }
        reply
    }

    /// Sends a request to the executor of another daemon, until the deadline at most.
    async fn send(&self, addr: &str, traffic: HopTraffic, forward: ForwardRequest) -> ForwardReply {
        let time_left = forward.deadline.saturating_duration_since(Instant::now());
        let sending = self.send_without_timeout(addr, traffic, forward);
        match async_std::future::timeout(time_left, sending).await {
            Ok(reply) => reply,
            Err(_) => {
                // The shared connection may be stuck, so later requests open a new one.
                self.peers.remove(addr, traffic);
                reply_without_response(HopEnd::Broken)
            }
        }
    }

    async fn send_without_timeout(
        &self,
        addr: &str,
        traffic: HopTraffic,
        forward: ForwardRequest,
    ) -> ForwardReply {
        let mut request = forward.request;
        if let Ok(hop) = HeaderValue::from_str(&forward.hop.encode()) {
            request.headers_mut().insert(HOP_HEADER, hop);
        }
        *request.version_mut() = Version::HTTP_11;
        loop {
            let mut sender = match self.peers.sender(addr, traffic).await {
                Ok(sender) => sender,
                Err(error) => {
                    emit!(self.shared.log, events::PEER_UNREACHABLE, "addr" => addr,
                        "error" => error.to_string());
                    return reply_without_response(HopEnd::NotReached);
                }
            };
            set_time_left(request.headers_mut(), forward.deadline);
            match sender.send(request).await {
                Ok(response) => return read_reply(response).await,
                Err(SendError::NotSent(not_sent)) if sender.is_reused => {
                    self.peers.remove(addr, traffic);
                    request = *not_sent;
                }
                Err(SendError::NotSent(_)) => return reply_without_response(HopEnd::NotReached),
                Err(SendError::Broken(_)) => return reply_without_response(HopEnd::Broken),
            }
        }
    }
}

impl Responder for ForwardGateway {
    fn kind(&self, parts: &Parts) -> RequestKind {
        let view = self.shared.view();
        let host = header(&parts.headers, HOST.as_str()).or(parts.uri.host());
        let found = view.hosts.find(host.unwrap_or_default(), parts.uri.path());
        match found {
            Some((_, route)) if route.idempotent && route.is_bulk => RequestKind::Bulk,
            Some((_, route)) if route.idempotent => RequestKind::Idempotent,
            Some(_) | None => RequestKind::NonIdempotent,
        }
    }

    fn respond(
        self: Arc<Self>,
        request: Request<ForwardBody>,
        read_at: Instant,
        _: &TcpStream,
    ) -> BoxFuture<'static, Response<ForwardBody>> {
        async move { self.respond_from(request, read_at).await }.boxed()
    }

    fn refuse_head(&self, error: HeadError) -> Response<ForwardBody> {
        refusal_response(&match error {
            HeadError::Malformed => Refusal::MalformedHead,
            HeadError::TooLarge => Refusal::HeadTooLarge,
        })
    }

    fn begin(&self) -> ForwardingGuard {
        self.shared.begin_forwarding()
    }

    fn limits(&self) -> CallerLimits {
        let view = self.shared.view();
        let snapshot = view.snapshot.as_ref();
        snapshot.map_or_else(CallerLimits::default, |s| s.caller_limits)
    }

    fn stop(&self) -> Option<&StopState> {
        Some(&self.shared.stop)
    }

    fn head_timed_out(&self, caller: Option<String>) {
        // A caller that has disconnected meanwhile has no address: an empty one is logged.
        emit!(self.shared.log, events::CALLER_TOO_SLOW, "caller" => caller.unwrap_or_default());
    }
}

async fn read_reply(response: Response<Incoming>) -> ForwardReply {
    let reply = header(response.headers(), HOP_HEADER).and_then(HopReply::parse);
    let Some(reply) = reply else {
        return reply_without_response(HopEnd::Broken);
    };
    // A daemon of an earlier version passes any status on.
    if !VALID_STATUSES.contains(&response.status().as_u16()) {
        return reply_without_response(HopEnd::Broken);
    }
    let (mut parts, body) = response.into_parts();
    parts.version = Version::HTTP_11;
    let Ok(body) = ForwardBody::read(body).await else {
        return reply_without_response(HopEnd::Broken);
    };
    ForwardReply {
        reply,
        response: Some(Response::from_parts(parts, body)),
    }
}
