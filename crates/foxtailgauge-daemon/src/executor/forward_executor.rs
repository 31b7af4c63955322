//! Runs forwarded requests on the colocated backend servers. All requests to them pass through
//! here.

use crate::emit;
use crate::events;
pub(crate) use crate::executor::fingerprints::fingerprint_of;
use crate::executor::forward_server::{ForwardServer, SlotGuard};
use crate::executor::http_pool::{
    connect, connect_for_upload, ConnectionUse, ExchangeError, HttpPool, PooledConnection,
    SendError,
};
use crate::executor::reply_gate::{is_bulk, ReplyGate};
use crate::executor::run_times::RunTimes;
use crate::executor::running_requests::{RunningRequest, RunningRequests};
use crate::executor::server_health::{self, HealthAnswer};
use crate::executor::server_response::{states_refusal, ResponseMeaning};
use crate::executor::server_statement;
use crate::hop::forward_body::{
    ForwardBody, SourceEnd, MAX_BUFFERED_BULK_BYTES, MAX_BUFFERED_BYTES,
};
use crate::hop::forward_headers::{attempt_id, header_text, millis_until, set_time_left};
use crate::hop::metadata::{HopEnd, HopReply, HopRequest};
use crate::mesh_settings::MeshSettings;
use crate::rollout::gate::RolloutGate;
use crate::rollout::run_record::RunRecord;
use crate::shared::{lock, unix_ms, Shared};
use foxtailgauge_core::{
    Candidate, Fingerprint, ServerEntry, ServerLoad, Throttle, WorkItem, WorkLoad,
    THROTTLE_RETRY_AFTER,
};
use foxtailgauge_platform::{headers, ServerReport};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout for opening a connection to the backend server, which is on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the deadline of a request at which its streamed response is ended, so that a gateway
/// that no longer reads it does not keep a slot.
const BODY_GRACE: Duration = Duration::from_secs(1);
/// Lease of a backend server, in report intervals: it is removed after missing that many reports.
const LEASE_REPORT_INTERVALS: u32 = 8;
/// Maximum number of fingerprints of completed requests kept. All are dropped when it is reached.
const MAX_COMPLETED_FINGERPRINTS: usize = 16_384;
/// Interval at which a new backend server is checked until it is known to serve.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which leases of backend servers are checked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A request to be sent to a backend server.
pub(crate) struct ForwardRequest {
    pub(crate) hop: HopRequest,
    /// Head and body as sent to the backend server.
    pub(crate) request: Request<ForwardBody>,
    /// Deadline of the caller.
    pub(crate) deadline: Instant,
    /// Identifies equal requests; `None` if the body is not buffered.
    pub(crate) fingerprint: Fingerprint,
}

/// Result of an attempt.
pub(crate) struct ForwardReply {
    pub(crate) reply: HopReply,
    /// The backend server's response, if there is one.
    pub(crate) response: Option<Response<ForwardBody>>,
}

/// Outcome of applying a backend server's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportOutcome {
    /// The report was applied.
    Accepted,
    /// A newer report has already been applied.
    Stale,
    /// The process is said to start in the future.
    FutureStart,
    /// The report is for a service that does not run on this instance.
    OtherService,
}

/// The colocated backend servers that accept forwarded requests.
pub(crate) struct ForwardExecutor {
    shared: Arc<Shared>,
    settings: MeshSettings,
    pool: HttpPool,
    servers: Mutex<BTreeMap<String, Arc<ForwardServer>>>,
    running: RunningRequests,
    throttle: Mutex<Throttle>,
    /// Gate in front of the instance's link, if its rate is known.
    reply_gate: Option<ReplyGate>,
    /// Requests that completed here and therefore did not crash their backend server.
    completed: Mutex<HashSet<Fingerprint>>,
    rollout_gate: RolloutGate,
}

impl ForwardExecutor {
    /// An executor without backend servers.
    pub(crate) fn new(shared: &Arc<Shared>, settings: MeshSettings) -> Self {
        ForwardExecutor {
            shared: Arc::clone(shared),
            settings,
            pool: HttpPool::default(),
            servers: Mutex::default(),
            running: RunningRequests::default(),
            throttle: Mutex::default(),
            reply_gate: ReplyGate::new(shared),
            completed: Mutex::default(),
            rollout_gate: RolloutGate::new(shared),
        }
    }

    /// The running request that made this call.
    pub(crate) fn parent(&self, id: &str) -> Option<RunningRequest> {
        self.running.parent(id)
    }

    /// Records the pressure reported by a service that a running request called.
    pub(crate) fn record_call(&self, parent_route: &str, service: &str, reply: &HopReply) {
        let pressure = reply.load.pressure;
        let now = Instant::now();
        lock(&self.throttle).record_call(parent_route, service, pressure, now);
    }

    /// Applies a backend server's report and announces a changed state to the other daemons.
    pub(crate) fn apply_report(self: &Arc<Self>, report: ServerReport) -> ReportOutcome {
        let is_other = |service: &String| *service != report.service;
        if self.settings.service.as_ref().is_some_and(is_other) {
            return ReportOutcome::OtherService;
        }
        let service = format!("{}/{}", self.settings.workspace, report.service);
        let lease = self.settings.report_interval * LEASE_REPORT_INTERVALS;
        let confirm_after = self.settings.report_interval / 2;
        let now_ms = unix_ms();
        let mut unconfirmed = None;
        let has_changed = {
            let mut servers = lock(&self.servers);
            let is_stale = |s: &Arc<ForwardServer>| s.is_stale_report(&report);
            if servers.values().any(is_stale) {
                return ReportOutcome::Stale;
            }
            if servers.values().any(|s| s.is_future_start(&report, now_ms)) {
                return ReportOutcome::FutureStart;
            }
            // A new process has replaced an earlier one at the same address.
            servers.retain(|name, s| *name == report.server || s.addr() != report.addr);
            match servers.get(&report.server) {
                Some(server) => server.apply_report(&report, &service, lease, confirm_after),
                None => {
                    let server = Arc::new(ForwardServer::new(&report, &service, lease));
                    servers.insert(report.server.clone(), Arc::clone(&server));
                    unconfirmed = Some(server);
                    true
                }
            }
        };
        if let Some(server) = unconfirmed {
            async_std::task::spawn(Arc::clone(self).confirm(server));
        }
        if has_changed {
            self.pool.close_idle(&report.addr.to_string());
            emit!(self.shared.log, events::SERVER_REPORTED, "server" => &report.server,
                "service" => &service, "state" => format!("{:?}", report.state),
                "born_ms" => report.sequence.0, "report" => report.sequence.1);
            self.publish();
        }
        ReportOutcome::Accepted
    }

    /// Confirms a backend server by its health check, until it is confirmed or removed.
    async fn confirm(self: Arc<Self>, server: Arc<ForwardServer>) {
        let is_current = |server: &Arc<ForwardServer>| {
            let servers = lock(&self.servers);
            let current = servers.get(server.name());
            current.is_some_and(|current| Arc::ptr_eq(current, server))
        };
        while is_current(&server) && !server.is_confirmed() {
            let changed = self.shared.changed.listen();
            let health_path = self.shared.health_path(&server.entry().service);
            // Without a configuration the path is not known yet.
            let is_serving = match &health_path {
                None => false,
                Some(path) if path.is_empty() => true,
                Some(path) => {
                    let answer = server_health::check(&self.pool, server.addr(), path).await;
                    let is_passed = answer.is_passed_by(server.name());
                    if let (
                        true,
                        HealthAnswer::Passed {
                            load: Some(load), ..
                        },
                    ) = (is_passed, &answer)
                    {
                        server_statement::apply_load(&self.shared.log, &server, load);
                    }
                    is_passed
                }
            };
            if is_serving {
                if server.confirm() {
                    self.publish();
                }
                return;
            }
            match health_path {
                None => changed.await,
                Some(_) => async_std::task::sleep(HEALTH_CHECK_INTERVAL).await,
            }
        }
    }

    /// Marks a backend server as leaving, after which it receives no new requests. Returns whether
    /// it is known.
    pub(crate) fn mark_leaving(&self, server: &str) -> bool {
        let found = lock(&self.servers).get(server).cloned();
        let Some(found) = found else {
            return false;
        };
        found.mark_leaving();
        emit!(self.shared.log, events::SERVER_LEAVING, "server" => server);
        self.publish();
        true
    }

    /// Marks a backend server as leaving on its own request. One of an earlier process under its name,
    /// by its start in Unix milliseconds, has no effect.
    pub(crate) fn deregister(&self, server: &str, started_ms: Option<u64>) {
        let found = lock(&self.servers).get(server).cloned();
        let is_earlier = |server: &Arc<ForwardServer>| {
            started_ms.is_some_and(|started_ms| started_ms < server.started_ms())
        };
        if !found.as_ref().is_some_and(is_earlier) {
            self.mark_leaving(server);
        }
    }

    /// Marks all backend servers as leaving because this daemon stops.
    pub(crate) fn mark_all_leaving(&self) {
        let servers: Vec<Arc<ForwardServer>> = lock(&self.servers).values().cloned().collect();
        for server in servers {
            server.mark_leaving();
        }
        self.publish();
    }

    /// Load of the first candidate on this instance, if it accepts requests.
    pub(crate) fn colocated_load(&self, candidates: &[Candidate], route: &str) -> Option<WorkLoad> {
        let own_name = &self.shared.settings.name;
        let colocated = candidates.iter().find(|c| c.key.daemon == *own_name)?;
        let servers = lock(&self.servers);
        let server = servers.get(&colocated.key.server)?;
        server.is_open().then(|| server.load(route))
    }

    /// Number of running and queued requests.
    pub(crate) fn in_flight(&self) -> u32 {
        lock(&self.servers).values().map(|s| s.in_flight()).sum()
    }

    /// Periodically removes backend servers whose lease has expired.
    pub(crate) async fn expire_leases(self: Arc<Self>) {
        loop {
            async_std::task::sleep(LEASE_CHECK_INTERVAL).await;
            let now = Instant::now();
            let mut expired = Vec::new();
            lock(&self.servers).retain(|name, server| {
                let is_expired = server.is_expired(now);
                if is_expired {
                    expired.push(name.clone());
                }
                !is_expired
            });
            for server in &expired {
                emit!(self.shared.log, events::SERVER_GONE, "server" => server,
                    "reason" => "no report");
            }
            if !expired.is_empty() {
                self.publish();
            }
        }
    }

    /// Updates the metrics of slots and queues.
    pub(crate) fn update_load_metrics(&self) {
        let servers: Vec<Arc<ForwardServer>> = lock(&self.servers).values().cloned().collect();
        let loads = servers
            .iter()
            .map(|s| (s.name(), s.load(""), s.statement(), s.pace_percent()));
        self.shared.metrics.set_server_loads(loads);
    }

    /// Loads of the backend servers, with their states as announced.
    pub(crate) fn server_loads(&self) -> Vec<ServerLoad> {
        let servers: Vec<Arc<ForwardServer>> = lock(&self.servers).values().cloned().collect();
        let loads = servers.iter().map(|server| {
            let announced = self
                .rollout_gate
                .announced(server.entry(), server.in_flight());
            ServerLoad {
                state: announced.state,
                ..server.server_load()
            }
        });
        loads.collect()
    }

    fn publish(&self) {
        self.rollout_gate.announce(|| self.own_servers());
    }

    fn own_servers(&self) -> Vec<(ServerEntry, u32)> {
        let servers = lock(&self.servers);
        servers
            .values()
            .map(|s| (s.entry(), s.in_flight()))
            .collect()
    }

    /// Announces the backend servers again when a rollout changes how they take part.
    pub(crate) async fn follow_rollouts(self: Arc<Self>) {
        self.rollout_gate.follow(|| self.own_servers()).await;
    }

    /// Runs a request. Dropping the future removes it from the queue or cancels its run.
    pub(crate) async fn run(self: &Arc<Self>, request: ForwardRequest) -> ForwardReply {
        let server = lock(&self.servers).get(&request.hop.server).cloned();
        let Some(server) = server else {
            return without_response(HopEnd::Closed, WorkLoad::default());
        };
        let known = request.hop.statement;
        if known.is_some_and(|known| server.adopt_statement(&known)) {
            self.mark_leaving(server.name());
        }
        let mut reply = self.run_on(&server, request).await;
        reply.reply.statement = server.process_statement();
        reply
    }

    async fn run_on(
        self: &Arc<Self>,
        server: &Arc<ForwardServer>,
        request: ForwardRequest,
    ) -> ForwardReply {
        let now = Instant::now();
        let admits = request.hop.is_nested
            || lock(&self.throttle).admits(
                &request.hop.route,
                request.hop.rank,
                rand::random(),
                now,
            );
        if !admits {
            self.log_refusal(&request, "throttled", server);
            let retry_after = THROTTLE_RETRY_AFTER;
            let load = server.load(&request.hop.route);
            return without_response(HopEnd::Refused { retry_after }, load);
        }
        let route = request.hop.route.clone();
        let entry = server.entry();
        if !self.rollout_gate.admits(&entry) {
            self.log_refusal(&request, "version", server);
            return without_response(HopEnd::Closed, server.load(&route));
        }
        let item = WorkItem {
            route: route.clone(),
            rank: request.hop.rank,
            is_nested: request.hop.is_nested,
            deadline: request.deadline,
            target: now + request.hop.target,
            workspace: request.hop.workspace.clone(),
        };
        let slot = match server.acquire_slot(item).await {
            Ok(slot) => slot,
            Err(refused) => {
                self.log_refusal(&request, &format!("{refused:?}"), server);
                return without_response(refused.into(), server.load(&route));
            }
        };
        let time_left = request.deadline.saturating_duration_since(Instant::now());
        // The version may have been excluded while the request waited.
        if !self.rollout_gate.admits(&entry) {
            self.log_refusal(&request, "version", server);
            return without_response(HopEnd::Closed, server.load(&route));
        }
        let id = attempt_id(request.request.headers());
        let _running = self.running.start(id, &request.hop);
        let times = RunTimes::new(&self.shared, server, now);
        let record = RunRecord::start(&self.shared, server, entry, &route, time_left);
        let exchange = self.exchange(server, request, slot);
        let outcome = async_std::future::timeout(time_left, exchange).await;
        times.finish();
        if let Some(record) = record {
            record.end(outcome.as_ref().ok());
        }
        match outcome {
            Ok((end, response)) => ForwardReply {
                reply: HopReply {
                    end,
                    load: server.load(&route),
                    elapsed: Duration::ZERO,
                    statement: None,
                },
                response,
            },
            Err(_) => without_response(HopEnd::Broken, server.load(&route)),
        }
    }

    /// Runs a request of another daemon, if its reply is not expected to wait for the link.
    pub(crate) async fn run_for_peer(self: &Arc<Self>, request: ForwardRequest) -> ForwardReply {
        let hop = request.hop.clone();
        let server = lock(&self.servers).get(&hop.server).cloned();
        let (Some(gate), Some(server)) = (&self.reply_gate, server) else {
            return self.run(request).await;
        };
        let mut reply = match gate.reserve(&hop, &server) {
            Ok(reservation) => {
                let mut reply = self.run(request).await;
                if let Some(response) = &mut reply.response {
                    reservation.end_with_body(response.body_mut());
                }
                reply
            }
            Err(retry_after) => {
                self.log_refusal(&request, "link", &server);
                without_response(HopEnd::Refused { retry_after }, server.load(&hop.route))
            }
        };
        reply.reply.load.link_wait = gate.expected_wait(&hop, &server);
        reply
    }

    fn log_refusal(&self, request: &ForwardRequest, reason: &str, server: &ForwardServer) {
        let hop = &request.hop;
        emit!(self.shared.log, events::WORK_REFUSED,
            "request" => attempt_id(request.request.headers()), "server" => &hop.server,
            "route" => &hop.route, "rank" => hop.rank, "is_nested" => hop.is_nested,
            "target_ms" => hop.target.as_millis() as u64,
            "left_ms" => millis_until(request.deadline), "reason" => reason,
            "load" => format!("{:?}", server.load(&hop.route)));
    }

    /// Sends a request to its backend server and classifies the response.
    async fn exchange(
        self: &Arc<Self>,
        server: &Arc<ForwardServer>,
        request: ForwardRequest,
        mut slot: SlotGuard,
    ) -> (HopEnd, Option<Response<ForwardBody>>) {
        let id = request.request.headers().get(headers::ATTEMPT_ID).cloned();
        let name = request.hop.server.clone();
        let max_buffered_bytes = match is_bulk(&self.shared, &request.hop.route) {
            true => MAX_BUFFERED_BULK_BYTES,
            false => MAX_BUFFERED_BYTES,
        };
        let fingerprint = request.fingerprint;
        let (deadline, sent_at) = (request.deadline, Instant::now());
        let (mut connection, response) = match self.send(server, request).await {
            Ok(sent) => sent,
            Err(error) => {
                let end = self.handle_exchange_error(server, &id, &error);
                if end == HopEnd::Broken {
                    self.check_for_crash(server, fingerprint).await;
                }
                return (end, None);
            }
        };
        let meaning = ResponseMeaning::of(&response, id.as_ref());
        if states_refusal(&response) {
            let is_matching = !matches!(
                meaning,
                ResponseMeaning::Mismatched | ResponseMeaning::Invalid
            );
            let metrics = &self.shared.metrics;
            metrics.record_server_refusal(&name, is_matching);
            emit!(self.shared.log, events::SERVER_DECLINED,
                "request" => header_text(id.as_ref()), "server" => &name,
                "status" => response.status().as_u16(),
                "response" => attempt_id(response.headers()),
                "is_reused" => connection.is_reused());
        }
        let end = match meaning {
            ResponseMeaning::Mismatched => {
                emit!(self.shared.log, events::RESPONSE_MISMATCHED,
                    "request" => header_text(id.as_ref()), "server" => name,
                    "response" => attempt_id(response.headers()));
                return (HopEnd::Broken, None);
            }
            ResponseMeaning::Invalid => {
                emit!(self.shared.log, events::RESPONSE_INCOMPLETE,
                    "request" => header_text(id.as_ref()), "server" => name,
                    "error" => format!("invalid status {}", response.status().as_u16()));
                return (HopEnd::Broken, None);
            }
            ResponseMeaning::Unproved => {
                emit!(self.shared.log, events::RESPONSE_INCOMPLETE,
                    "request" => header_text(id.as_ref()), "server" => name,
                    "error" => "success without the proof of the backend server");
                return (HopEnd::Broken, None);
            }
            ResponseMeaning::Misdirected => {
                // Nothing is sent to the address until the next report.
                self.mark_unreachable(server);
                HopEnd::Declined
            }
            ResponseMeaning::Declined => HopEnd::Declined,
            ResponseMeaning::Ran => HopEnd::Answered,
        };
        if meaning != ResponseMeaning::Misdirected && !server.has_restarted_since(sent_at) {
            let log = &self.shared.log;
            if server_statement::apply(log, server, response.headers(), sent_at) {
                self.mark_leaving(&name);
            }
        }
        let (parts, body) = response.into_parts();
        match ForwardBody::read_up_to(body, max_buffered_bytes).await {
            Ok(mut body) => {
                match end {
                    HopEnd::Answered => {
                        slot.set_complete();
                        match body.bytes() {
                            Some(_) => self.record_completion(fingerprint),
                            None => self.follow_stream(&mut body, server, fingerprint),
                        }
                    }
                    _ => {
                        slot.set_declined();
                        connection.record_refusal(id.as_ref().map_or(&[], HeaderValue::as_bytes));
                    }
                }
                if body.bytes().is_some() {
                    drop(slot);
                    self.pool.release(connection);
                } else {
                    body.attach_guard((slot, connection));
                    // The gateway logs that it ended the response, unless it is cut off.
                    body.set_deadline(deadline + BODY_GRACE, || {});
                }
                (end, Some(Response::from_parts(parts, body)))
            }
            Err(error) => {
                emit!(self.shared.log, events::RESPONSE_INCOMPLETE,
                    "request" => header_text(id.as_ref()), "server" => name,
                    "error" => error.to_string());
                self.check_for_crash(server, fingerprint).await;
                (HopEnd::Broken, None)
            }
        }
    }

    /// Records how a streamed response ends: whole, or with a crash of its backend server.
    fn follow_stream(
        self: &Arc<Self>,
        body: &mut ForwardBody,
        server: &Arc<ForwardServer>,
        fingerprint: Fingerprint,
    ) {
        let (executor, server) = (Arc::clone(self), Arc::clone(server));
        body.set_source_end_listener(move |end| match end {
            SourceEnd::Complete => executor.record_completion(fingerprint),
            SourceEnd::Broken => {
                async_std::task::spawn(async move {
                    executor.check_for_crash(&server, fingerprint).await;
                });
            }
        });
    }

    fn handle_exchange_error(
        &self,
        server: &Arc<ForwardServer>,
        id: &Option<HeaderValue>,
        error: &ExchangeError,
    ) -> HopEnd {
        emit!(self.shared.log, events::RESPONSE_INCOMPLETE, "request" => header_text(id.as_ref()),
            "server" => server.name(), "error" => error.to_string());
        match error {
            ExchangeError::NotSent(error) if is_reset(error) => HopEnd::NotReached,
            ExchangeError::NotSent(_) => {
                self.mark_unreachable(server);
                HopEnd::NotReached
            }
            ExchangeError::Broken(_) => HopEnd::Broken,
        }
    }

    fn record_completion(&self, fingerprint: Fingerprint) {
        let mut completed = lock(&self.completed);
        if completed.len() >= MAX_COMPLETED_FINGERPRINTS {
            completed.clear();
        }
        completed.insert(fingerprint);
    }

    /// Checks whether a backend server whose connection broke has crashed. If so, the request is
    /// suspected of having caused the crash, and all daemons are notified before the caller gets
    /// a response.
    async fn check_for_crash(&self, server: &Arc<ForwardServer>, fingerprint: Fingerprint) {
        let addr = server.addr().to_string();
        let reconnect = async_std::future::timeout(CONNECT_TIMEOUT, connect(&addr)).await;
        match reconnect {
            Ok(Ok(_)) => return,
            Ok(Err(error)) if is_reset(&error) => return,
            Ok(Err(_)) | Err(_) => {}
        }
        self.mark_unreachable(server);
        let has_completed = lock(&self.completed).contains(&fingerprint);
        if !has_completed {
            emit!(self.shared.log, events::SERVER_DIED, "server" => server.name(),
                "fingerprint" => fingerprint);
            self.shared.record_crash(fingerprint).await;
        }
    }

    /// Stops sending requests to an unreachable backend server until its next report.
    fn mark_unreachable(&self, server: &Arc<ForwardServer>) {
        if server.set_unreachable() {
            emit!(self.shared.log, events::SERVER_UNREACHABLE, "server" => server.name());
            self.publish();
        }
    }

    async fn send(
        &self,
        server: &ForwardServer,
        forward: ForwardRequest,
    ) -> Result<(PooledConnection, Response<Incoming>), ExchangeError> {
        let addr = server.addr().to_string();
        let deadline = forward.deadline;
        let mut request = forward.request;
        let id = request.headers().get(headers::ATTEMPT_ID);
        let usage = ConnectionUse {
            request_id: id.map_or(&[], HeaderValue::as_bytes),
            is_idempotent: forward.hop.is_idempotent,
        };
        let is_upload = request.body().bytes().is_none();
        let reused = match is_upload {
            true => None,
            false => self.pool.take_idle(&addr, usage),
        };
        let mut may_reconnect = reused.is_some();
        let mut connection = match reused {
            Some(connection) => connection,
            None => self.open(&addr, is_upload).await?,
        };
        loop {
            set_time_left(request.headers_mut(), deadline);
            self.shared.metrics.record_sent(server.name());
            match connection.send(request).await {
                Ok(response) => return Ok((connection, response)),
                Err(SendError::NotSent(not_sent)) if may_reconnect => {
                    may_reconnect = false;
                    request = *not_sent;
                    connection = self.open(&addr, is_upload).await?;
                }
                Err(SendError::NotSent(_)) => {
                    let closed = std::io::ErrorKind::ConnectionReset;
                    return Err(ExchangeError::NotSent(closed.into()));
                }
                Err(SendError::Broken(error)) => return Err(ExchangeError::Broken(error)),
            }
        }
    }

    /// Opens a connection; one for an upload is not reused.
    async fn open(&self, addr: &str, is_upload: bool) -> Result<PooledConnection, ExchangeError> {
        if !is_upload {
            return self.pool.open(addr, connect(addr), CONNECT_TIMEOUT).await;
        }
        let connecting = connect_for_upload(addr);
        let mut connection = self.pool.open(addr, connecting, CONNECT_TIMEOUT).await?;
        connection.set_single_use();
        Ok(connection)
    }
}

/// Whether the peer listens and reset a connection: a backend server that is full may do that, and
/// serves the requests on its other connections.
fn is_reset(error: &std::io::Error) -> bool {
    error.kind() == std::io::ErrorKind::ConnectionReset
}

pub(crate) fn without_response(end: HopEnd, load: WorkLoad) -> ForwardReply {
    ForwardReply {
        reply: HopReply {
            end,
            load,
            elapsed: Duration::ZERO,
            statement: None,
        },
        response: None,
    }
}
