//! A backend server that accepts forwarded requests: queue, lease and reports.

use crate::shared::lock;
use foxtailgauge_core::{
    ArrivalDecision, Pace, ProcessStatement, QueueAction, QueueRefusal, RequestRate, RouteName,
    ServerEntry, ServerLoad, ServerState, ServerStatement, ServerWarmth, Ticket, UnixMs, WorkItem,
    WorkLoad, WorkQueue,
};
use foxtailgauge_platform::ServerReport;
use futures::channel::oneshot;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Start of a process in a report that does not state it.
const START_NOT_STATED: u64 = 0;
/// Longest time by which a clock is set between the starts of two processes.
const MAX_CLOCK_CHANGE: Duration = Duration::from_secs(24 * 3_600);

/// Delivers a slot or a refusal to a queued request.
type SlotSender = oneshot::Sender<Result<SlotGuard, QueueRefusal>>;

struct Inner {
    queue: WorkQueue,
    slot_senders: HashMap<Ticket, SlotSender>,
    entry: ServerEntry,
    addr: SocketAddr,
    /// Start time of the process, in Unix milliseconds, and number of its last report.
    sequence: (u64, u64),
    /// When the process reported first.
    process_since: Instant,
    lease_until: Instant,
    /// Set once the backend server announced that it leaves; later reports of the same process do
    /// not clear it.
    has_left: bool,
    is_reachable: bool,
    /// Whether it is known to serve: its first report may have been sent before it left and have
    /// arrived after this daemon restarted.
    is_confirmed: bool,
    first_report_at: Instant,
    /// When it is as fast as usual, by its last report.
    warm_at: Instant,
    /// What its responses state.
    statement: ServerStatement,
    /// When a response last stated a rate limit.
    rate_limited_at: Option<Instant>,
    /// Whether a response has shown what its process states.
    has_responded: bool,
    /// Whether a task will advance the queue once the rate limit permits the next start.
    has_timer: bool,
}

/// A backend server. All requests to it pass through its queue, so its load is known exactly.
pub(crate) struct ForwardServer {
    name: String,
    inner: Mutex<Inner>,
}

/// Permit to run one request. Dropping it releases the slot.
pub(crate) struct SlotGuard {
    server: Arc<ForwardServer>,
    route: RouteName,
    started_at: Instant,
    /// [Time lost](WorkQueue::lost_s) by the backend server before the start.
    lost_before_s: f64,
    /// Time at the normal pace until the response was ready: a sample of the backend server's run
    /// times.
    run_time: Option<Duration>,
}

impl SlotGuard {
    /// Marks the request as completed: its run time counts as a sample. A response that is still to
    /// be streamed keeps the slot.
    pub(crate) fn set_complete(&mut self) {
        let run_time = self.normal_time(&lock(&self.server.inner));
        self.run_time = Some(run_time);
    }

    /// Time since the start, at the normal pace of the backend server.
    fn normal_time(&self, inner: &Inner) -> Duration {
        let now = Instant::now();
        let elapsed_s = (now - self.started_at).as_secs_f64();
        let lost_s = inner.queue.lost_s(now) - self.lost_before_s;
        Duration::from_secs_f64((elapsed_s - lost_s).max(0.0))
    }

    /// Marks the request as declined by the backend server: its run time is not a sample.
    pub(crate) fn set_declined(&mut self) {
        self.run_time = None;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut inner = lock(&self.server.inner);
        let held_time = self.normal_time(&inner);
        inner
            .queue
            .finish_streamed(&self.route, self.run_time, held_time);
        self.server.advance_queue(inner);
    }
}

/// Position in the queue. Dropping it before a slot is assigned leaves the queue.
struct QueuePosition {
    server: Arc<ForwardServer>,
    ticket: Ticket,
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        let mut inner = lock(&self.server.inner);
        inner.slot_senders.remove(&self.ticket);
        if inner.queue.cancel(self.ticket).is_some() {
            self.server.advance_queue(inner);
        }
    }
}

impl Inner {
    /// Actions of the queue that are due after a change, with the senders to notify.
    fn actions(&mut self) -> Vec<(SlotSender, QueueAction)> {
        let now = Instant::now();
        let actions: Vec<QueueAction> =
            std::iter::from_fn(|| self.queue.next_action(now)).collect();
        self.with_senders(actions)
    }

    fn with_senders(&mut self, actions: Vec<QueueAction>) -> Vec<(SlotSender, QueueAction)> {
        let with_sender = |action| {
            let (QueueAction::Start(ticket, _) | QueueAction::Refuse(ticket, _)) = &action;
            Some((self.slot_senders.remove(ticket)?, action))
        };
        actions.into_iter().filter_map(with_sender).collect()
    }

    /// Opens or closes the queue according to the state; returns the requests refused by closing.
    fn set_open(&mut self) -> Vec<(SlotSender, QueueAction)> {
        let actions = self.queue.set_open(self.is_open());
        self.with_senders(actions)
    }

    fn is_open(&self) -> bool {
        let is_serving = self.entry.state == ServerState::Ready && !self.has_left;
        is_serving && self.is_reachable && self.is_confirmed
    }
}

impl ForwardServer {
    /// A backend server as described by its first report. It accepts no requests until it is
    /// [confirmed](Self::confirm), or reports again.
    pub(crate) fn new(report: &ServerReport, service: &str, lease: Duration) -> Self {
        let mut inner = Inner {
            queue: WorkQueue::new(report.slots),
            slot_senders: HashMap::new(),
            entry: directory_entry(report, service),
            addr: report.addr,
            sequence: report.sequence,
            process_since: Instant::now(),
            lease_until: Instant::now() + lease,
            has_left: false,
            is_reachable: true,
            is_confirmed: false,
            first_report_at: Instant::now(),
            warm_at: Instant::now() + report.warmup_remaining,
            statement: ServerStatement::default(),
            rate_limited_at: None,
            has_responded: false,
            has_timer: false,
        };
        inner.set_open();
        ForwardServer {
            name: report.server.clone(),
            inner: Mutex::new(inner),
        }
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Address at which it accepts requests.
    pub(crate) fn addr(&self) -> SocketAddr {
        lock(&self.inner).addr
    }

    /// Start of its process, in Unix milliseconds, by its last report.
    pub(crate) fn started_ms(&self) -> u64 {
        lock(&self.inner).sequence.0
    }

    /// Its load, with the run time of a route.
    pub(crate) fn load(&self, route: &str) -> WorkLoad {
        lock(&self.inner).queue.load(route, Instant::now())
    }

    /// Forecast time until the end of a request of this route that arrives now.
    pub(crate) fn expected_time_to_end(&self, route: &str) -> Duration {
        let inner = lock(&self.inner);
        inner.queue.expected_time_to_end(route, Instant::now())
    }

    /// What its responses state.
    pub(crate) fn statement(&self) -> ServerStatement {
        lock(&self.inner).statement
    }

    /// What its process states, if anything.
    pub(crate) fn process_statement(&self) -> Option<ProcessStatement> {
        let inner = lock(&self.inner);
        let has_statement = inner.statement != ServerStatement::default();
        has_statement.then_some(ProcessStatement {
            started_ms: inner.sequence.0,
            statement: inner.statement,
        })
    }

    /// Adopts what a gateway knows from earlier responses of the same process, which this daemon
    /// does not know after a restart; returns whether the process leaves. The rate limit is adopted
    /// until a response shows the current one.
    pub(crate) fn adopt_statement(self: &Arc<Self>, known: &ProcessStatement) -> bool {
        let now = Instant::now();
        let mut inner = lock(&self.inner);
        if inner.sequence.0 != known.started_ms {
            return false;
        }
        let is_leaving = known.statement.is_leaving && !inner.statement.is_leaving;
        inner.statement.is_leaving |= known.statement.is_leaving;
        if !inner.has_responded && inner.statement.rate_limit != known.statement.rate_limit {
            inner.statement.rate_limit = known.statement.rate_limit;
            inner.rate_limited_at = Some(now);
            inner.queue.set_rate_limit(known.statement.rate_limit, now);
            self.advance_queue(inner);
        }
        is_leaving
    }

    /// Applies what the response to a request sent at `sent_at` states; returns the statements
    /// before and after. Responses may arrive out of order: only one to a request that was sent
    /// after the rate limit was last stated ends it, and none revokes that the process leaves.
    pub(crate) fn apply_statement(
        self: &Arc<Self>,
        mut statement: ServerStatement,
        sent_at: Instant,
    ) -> (ServerStatement, ServerStatement) {
        let now = Instant::now();
        let mut inner = lock(&self.inner);
        inner.has_responded = true;
        let is_stated_later = inner.rate_limited_at.is_some_and(|at| at > sent_at);
        match statement.rate_limit {
            Some(_) => inner.rate_limited_at = Some(now),
            None if is_stated_later => statement.rate_limit = inner.statement.rate_limit,
            None => {}
        }
        statement.is_leaving |= inner.statement.is_leaving;
        let previous = std::mem::replace(&mut inner.statement, statement);
        if previous.rate_limit != statement.rate_limit {
            inner.queue.set_rate_limit(statement.rate_limit, now);
            self.advance_queue(inner);
        }
        (previous, statement)
    }

    /// Whether its process has reported first after `sent_at`. The response to a request sent before may
    /// come from an earlier process and then states nothing about this one.
    pub(crate) fn has_restarted_since(&self, sent_at: Instant) -> bool {
        lock(&self.inner).process_since > sent_at
    }

    /// Applies the pace that it states.
    pub(crate) fn record_pace(self: &Arc<Self>, pace: Pace) {
        let mut inner = lock(&self.inner);
        inner.queue.record_pace(pace, Instant::now());
        self.advance_queue(inner);
    }

    /// Time that work currently takes on it, in percent of the normal time.
    pub(crate) fn pace_percent(&self) -> f64 {
        lock(&self.inner).queue.pace_factor(Instant::now()) * 100.0
    }

    /// Its load, for operators.
    pub(crate) fn server_load(&self) -> ServerLoad {
        let (entry, load, statement) = (self.entry(), self.load(""), self.statement());
        ServerLoad {
            pace_percent: self.pace_percent().round() as u32,
            rate_limit_milli: statement.rate_limit.map(RequestRate::milli),
            ..ServerLoad::new(entry, load.running, load.waiting)
        }
    }

    /// Whether it accepts requests.
    pub(crate) fn is_open(&self) -> bool {
        lock(&self.inner).is_open()
    }

    /// Whether it has warmed up.
    pub(crate) fn warmth(&self) -> ServerWarmth {
        match lock(&self.inner).warm_at <= Instant::now() {
            true => ServerWarmth::Warm,
            false => ServerWarmth::Cold,
        }
    }

    /// Number of running and queued requests.
    pub(crate) fn in_flight(&self) -> u32 {
        lock(&self.inner).queue.in_flight()
    }

    /// Opens the queue of a backend server that is known to serve; returns whether it was closed
    /// for that reason.
    pub(crate) fn confirm(self: &Arc<Self>) -> bool {
        let mut inner = lock(&self.inner);
        let was_confirmed = std::mem::replace(&mut inner.is_confirmed, true);
        let refused = inner.set_open();
        drop(inner);
        self.notify(refused);
        !was_confirmed
    }

    /// Whether it is known to serve.
    pub(crate) fn is_confirmed(&self) -> bool {
        lock(&self.inner).is_confirmed
    }

    /// Whether a report is stale: not newer than the last one, or from an earlier process at this
    /// address.
    pub(crate) fn is_stale_report(&self, report: &ServerReport) -> bool {
        let inner = lock(&self.inner);
        if self.name == report.server {
            return inner.sequence >= report.sequence;
        }
        inner.addr == report.addr && inner.sequence.0 > report.sequence.0
    }

    /// Whether a report states a start that neither this instance's clock, at `now_ms`, nor the time since
    /// the known process was first heard allows. It would make the reports of the real process look old.
    ///
    /// Either alone is not enough: a clock may be wrong by years, and a process may be older than this
    /// daemon.
    pub(crate) fn is_future_start(&self, report: &ServerReport, now_ms: UnixMs) -> bool {
        let inner = lock(&self.inner);
        let (known_ms, _) = inner.sequence;
        if (self.name != report.server && inner.addr != report.addr) || known_ms == START_NOT_STATED
        {
            return false;
        }
        let to_ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let next_ms = known_ms.saturating_add(to_ms(inner.process_since.elapsed()));
        let latest_ms = next_ms.max(now_ms).saturating_add(to_ms(MAX_CLOCK_CHANGE));
        report.sequence.0 > latest_ms
    }

    /// Applies a newer report; returns whether the directory entry changed. A report that arrives
    /// `confirm_after` the first one or later confirms the backend server: after it left, it would
    /// have sent none.
    pub(crate) fn apply_report(
        self: &Arc<Self>,
        report: &ServerReport,
        service: &str,
        lease: Duration,
        confirm_after: Duration,
    ) -> bool {
        let mut inner = lock(&self.inner);
        let was_open = inner.is_open();
        inner.is_confirmed |= inner.first_report_at.elapsed() >= confirm_after;
        let entry = directory_entry(report, service);
        // A restarted process is not leaving and has no state of the earlier one.
        let is_restart = report.sequence.0 > inner.sequence.0;
        if is_restart {
            inner.process_since = Instant::now();
            inner.has_left = false;
            inner.statement = ServerStatement::default();
            inner.rate_limited_at = None;
            inner.has_responded = false;
            inner.queue.set_rate_limit(None, Instant::now());
        }
        inner.has_left |= report.state == ServerState::Leaving;
        inner.is_reachable = true;
        inner.sequence = report.sequence;
        inner.addr = report.addr;
        inner.lease_until = Instant::now() + lease;
        inner.warm_at = Instant::now() + report.warmup_remaining;
        inner.queue.set_slots(report.slots);
        let has_changed = inner.entry != entry || is_restart;
        inner.entry = entry;
        let is_open = inner.is_open();
        let refused = inner.set_open();
        self.advance_queue(inner);
        self.notify(refused);
        has_changed || was_open != is_open
    }

    /// Closes the queue until the backend server restarts.
    pub(crate) fn mark_leaving(self: &Arc<Self>) {
        let mut inner = lock(&self.inner);
        inner.has_left = true;
        let refused = inner.set_open();
        drop(inner);
        self.notify(refused);
    }

    /// Closes the queue until the next report; returns whether it was open.
    pub(crate) fn set_unreachable(self: &Arc<Self>) -> bool {
        let mut inner = lock(&self.inner);
        let was_open = inner.is_open();
        inner.is_reachable = false;
        let refused = inner.set_open();
        drop(inner);
        self.notify(refused);
        was_open
    }

    /// Carries out the actions of the queue after a change. Releases the lock first: a notified
    /// request may drop its slot at once, which takes the lock again.
    fn advance_queue(self: &Arc<Self>, mut inner: MutexGuard<'_, Inner>) {
        let actions = inner.actions();
        self.start_timer(&mut inner);
        drop(inner);
        self.notify(actions);
    }

    /// Starts a task that advances the queue when the rate limit permits the next start, if a
    /// request waits for it.
    fn start_timer(self: &Arc<Self>, inner: &mut Inner) {
        let now = Instant::now();
        let Some(next_start) = inner.queue.next_start(now).filter(|_| !inner.has_timer) else {
            return;
        };
        inner.has_timer = true;
        let server = Arc::clone(self);
        async_std::task::spawn(async move {
            async_std::task::sleep(next_start.saturating_duration_since(now)).await;
            let mut inner = lock(&server.inner);
            inner.has_timer = false;
            server.advance_queue(inner);
        });
    }

    fn notify(self: &Arc<Self>, actions: Vec<(SlotSender, QueueAction)>) {
        if actions.is_empty() {
            return;
        }
        let now = Instant::now();
        let lost_s = lock(&self.inner).queue.lost_s(now);
        for (sender, action) in actions {
            let outcome = match action {
                QueueAction::Start(_, route) => Ok(self.slot_guard(route, now, lost_s)),
                QueueAction::Refuse(_, refused) => Err(refused),
            };
            // If the receiver is gone, the slot is dropped here and freed for the next request.
            let _ = sender.send(outcome);
        }
    }

    /// Whether its lease has expired.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        lock(&self.inner).lease_until < now
    }

    /// Entry for the directory.
    pub(crate) fn entry(&self) -> ServerEntry {
        let inner = lock(&self.inner);
        let mut entry = inner.entry.clone();
        if !inner.is_open() {
            entry.state = ServerState::Leaving;
        }
        entry
    }

    /// Waits for a slot; fails if the queue refuses the request.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        item: WorkItem,
    ) -> Result<SlotGuard, QueueRefusal> {
        let route = item.route.clone();
        let (mut receiver, position, wait_until) = {
            let mut inner = lock(&self.inner);
            let now = Instant::now();
            match inner.queue.arrive(item, now) {
                ArrivalDecision::Run => {
                    let lost_s = inner.queue.lost_s(now);
                    return Ok(self.slot_guard(route, now, lost_s));
                }
                ArrivalDecision::Refused(refused) => return Err(refused),
                ArrivalDecision::Wait(ticket, wait_until) => {
                    let (sender, receiver) = oneshot::channel();
                    inner.slot_senders.insert(ticket, sender);
                    self.start_timer(&mut inner);
                    let server = Arc::clone(self);
                    (receiver, QueuePosition { server, ticket }, wait_until)
                }
            }
        };
        let timeout = wait_until.saturating_duration_since(Instant::now());
        let outcome = async_std::future::timeout(timeout, &mut receiver).await;
        if let Ok(outcome) = outcome {
            return outcome.unwrap_or(Err(QueueRefusal::Closed));
        }
        let expired = lock(&self.inner).queue.expire(position.ticket);
        match expired {
            Some(refused) => Err(refused),
            // A slot was assigned between the timeout and the lock.
            None => receiver.await.unwrap_or(Err(QueueRefusal::Closed)),
        }
    }

    fn slot_guard(
        self: &Arc<Self>,
        route: RouteName,
        started_at: Instant,
        lost_before_s: f64,
    ) -> SlotGuard {
        SlotGuard {
            server: Arc::clone(self),
            route,
            started_at,
            lost_before_s,
            run_time: None,
        }
    }
}

fn directory_entry(report: &ServerReport, service: &str) -> ServerEntry {
    ServerEntry {
        name: report.server.clone(),
        service: service.to_owned(),
        slots: report.slots,
        state: report.state,
        version: report.version.clone(),
    }
}
