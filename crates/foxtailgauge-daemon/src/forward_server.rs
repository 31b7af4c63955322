//! One backend server that takes forwarded requests: its queue, its lease, its reports.

use crate::shared::lock;
use foxtailgauge_core::{
    ArrivalDecision, QueueAction, Refused, RouteName, ServerEntry, ServerState, Ticket, WorkItem,
    WorkLoad, WorkQueue,
};
use foxtailgauge_platform::ServerReport;
use futures::channel::oneshot;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Brings a waiting request its slot, or its refusal.
type Turn = oneshot::Sender<Result<SlotGuard, Refused>>;

struct Inner {
    queue: WorkQueue,
    turns: HashMap<Ticket, Turn>,
    entry: ServerEntry,
    addr: SocketAddr,
    order: (u64, u64),
    lease_until: Instant,
    /// It said that it leaves; later reports of the same process do not open it again.
    has_left: bool,
    is_reachable: bool,
}

/// A backend server. All requests to it pass its queue, so its load is known exactly.
pub(crate) struct ForwardServer {
    name: String,
    inner: Mutex<Inner>,
}

/// The right to run one request. Dropping it frees the slot.
pub(crate) struct SlotGuard {
    server: Arc<ForwardServer>,
    route: RouteName,
    since: Instant,
    /// Whether the run time says something about the backend server.
    is_sample: bool,
}

impl SlotGuard {
    /// The request ran to its end.
    pub(crate) fn set_complete(&mut self) {
        self.is_sample = true;
    }

    /// The backend server did not run the request.
    pub(crate) fn set_declined(&mut self) {
        self.is_sample = false;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let run_time = self.is_sample.then(|| self.since.elapsed());
        let mut inner = lock(&self.server.inner);
        inner.queue.finish(&self.route, run_time);
        self.server.advance(inner);
    }
}

/// A place in the queue. Dropping it before its turn gives the place up.
struct Waiting {
    server: Arc<ForwardServer>,
    ticket: Ticket,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut inner = lock(&self.server.inner);
        inner.turns.remove(&self.ticket);
        if inner.queue.cancel(self.ticket).is_some() {
            self.server.advance(inner);
        }
    }
}

impl Inner {
    /// What the queue decides after a change, with whom to tell.
    fn actions(&mut self) -> Vec<(Turn, QueueAction)> {
        let now = Instant::now();
        let actions: Vec<QueueAction> =
            std::iter::from_fn(|| self.queue.next_action(now)).collect();
        self.with_turns(actions)
    }

    fn with_turns(&mut self, actions: Vec<QueueAction>) -> Vec<(Turn, QueueAction)> {
        let with_turn = |action| {
            let (QueueAction::Start(ticket, _) | QueueAction::Refuse(ticket, _)) = &action;
            Some((self.turns.remove(ticket)?, action))
        };
        actions.into_iter().filter_map(with_turn).collect()
    }

    /// Opens or closes the queue as the state says; returns who is refused by it.
    fn set_open(&mut self) -> Vec<(Turn, QueueAction)> {
        let actions = self.queue.set_open(self.is_open());
        self.with_turns(actions)
    }

    fn is_open(&self) -> bool {
        self.entry.state == ServerState::Ready && !self.has_left && self.is_reachable
    }
}

impl ForwardServer {
    /// A backend server as it reports itself.
    pub(crate) fn new(report: &ServerReport, service: &str, lease: Duration) -> Self {
        let mut inner = Inner {
            queue: WorkQueue::new(report.slots),
            turns: HashMap::new(),
            entry: entry_of(report, service),
            addr: report.addr,
            order: report.sequence,
            lease_until: Instant::now() + lease,
            has_left: false,
            is_reachable: true,
        };
        inner.set_open();
        ForwardServer {
            name: report.server.clone(),
            inner: Mutex::new(inner),
        }
    }

    /// Its name.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Where it takes requests.
    pub(crate) fn addr(&self) -> SocketAddr {
        lock(&self.inner).addr
    }

    /// How full it is, for a route.
    pub(crate) fn load(&self, route: &str) -> WorkLoad {
        lock(&self.inner).queue.load(route)
    }

    /// Whether it takes requests of a service.
    pub(crate) fn serves(&self, service: &str) -> bool {
        let inner = lock(&self.inner);
        inner.is_open() && inner.entry.service == service
    }

    /// Requests running and waiting.
    pub(crate) fn in_flight(&self) -> u32 {
        lock(&self.inner).queue.in_flight()
    }

    /// Whether a report is late: of an earlier process at this address, or overtaken.
    pub(crate) fn is_newer_than(&self, report: &ServerReport) -> bool {
        let inner = lock(&self.inner);
        if self.name == report.server {
            return inner.order >= report.sequence;
        }
        inner.addr == report.addr && inner.order.0 > report.sequence.0
    }

    /// Takes over a newer report; returns whether its directory entry changed.
    pub(crate) fn apply_report(
        self: &Arc<Self>,
        report: &ServerReport,
        service: &str,
        lease: Duration,
    ) -> bool {
        let mut inner = lock(&self.inner);
        let was_open = inner.is_open();
        let entry = entry_of(report, service);
        // A process that started anew has not left and holds nothing of before.
        let is_restart = report.sequence.0 > inner.order.0;
        if is_restart {
            inner.has_left = false;
        }
        inner.has_left |= report.state == ServerState::Leaving;
        inner.is_reachable = true;
        inner.order = report.sequence;
        inner.addr = report.addr;
        inner.lease_until = Instant::now() + lease;
        inner.queue.set_slots(report.slots);
        let has_changed = inner.entry != entry || is_restart;
        inner.entry = entry;
        let is_open = inner.is_open();
        let refused = inner.set_open();
        self.advance(inner);
        self.notify(refused);
        has_changed || was_open != is_open
    }

    /// Closes the gate for good.
    pub(crate) fn mark_leaving(self: &Arc<Self>) {
        let mut inner = lock(&self.inner);
        inner.has_left = true;
        let refused = inner.set_open();
        drop(inner);
        self.notify(refused);
    }

    /// Closes the gate until the next report; returns whether it was open.
    pub(crate) fn set_unreachable(self: &Arc<Self>) -> bool {
        let mut inner = lock(&self.inner);
        let was_open = inner.is_open();
        inner.is_reachable = false;
        let refused = inner.set_open();
        drop(inner);
        self.notify(refused);
        was_open
    }

    /// Carries out what the queue decides after a change. Whoever is told may drop its slot at
    /// once, which takes the lock again.
    fn advance(self: &Arc<Self>, mut inner: MutexGuard<'_, Inner>) {
        let actions = inner.actions();
        drop(inner);
        self.notify(actions);
    }

    fn notify(self: &Arc<Self>, actions: Vec<(Turn, QueueAction)>) {
        for (turn, action) in actions {
            let outcome = match action {
                QueueAction::Start(_, route) => Ok(self.slot_guard(route)),
                QueueAction::Refuse(_, refused) => Err(refused),
            };
            // A request that gave up in this moment drops its slot, which frees it for the next.
            let _ = turn.send(outcome);
        }
    }

    /// Whether it was not heard of for long.
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

    /// Waits for a slot, unless the queue refuses.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        item: WorkItem,
    ) -> Result<SlotGuard, Refused> {
        let route = item.route.clone();
        let (mut turn, waiting, until) = {
            let mut inner = lock(&self.inner);
            match inner.queue.arrive(item, Instant::now()) {
                ArrivalDecision::Run => return Ok(self.slot_guard(route)),
                ArrivalDecision::Refused(refused) => return Err(refused),
                ArrivalDecision::Wait(ticket, until) => {
                    let (sender, turn) = oneshot::channel();
                    inner.turns.insert(ticket, sender);
                    let server = Arc::clone(self);
                    (turn, Waiting { server, ticket }, until)
                }
            }
        };
        let limit = until.saturating_duration_since(Instant::now());
        let outcome = async_std::future::timeout(limit, &mut turn).await;
        if let Ok(outcome) = outcome {
            return outcome.unwrap_or(Err(Refused::Closed));
        }
        let expired = lock(&self.inner).queue.expire(waiting.ticket);
        match expired {
            Some(refused) => Err(refused),
            // Its turn came in this moment.
            None => turn.await.unwrap_or(Err(Refused::Closed)),
        }
    }

    fn slot_guard(self: &Arc<Self>, route: RouteName) -> SlotGuard {
        SlotGuard {
            server: Arc::clone(self),
            route,
            since: Instant::now(),
            is_sample: false,
        }
    }
}

fn entry_of(report: &ServerReport, service: &str) -> ServerEntry {
    ServerEntry {
        name: report.server.clone(),
        service: service.to_owned(),
        slots: report.slots,
        state: report.state,
    }
}
