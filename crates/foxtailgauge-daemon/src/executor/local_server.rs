//! A colocated backend server: admission gate, queue and connections.

use crate::shared::lock;
use foxtailgauge_core::{
    Admission, AdmissionGate, AdmissionRefusal, ServerEntry, ServerLoad, ServerState,
};
use foxtailgauge_wire::http::{HttpConnection, HttpError, HttpRequest, HttpResponse};
use futures::channel::oneshot;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Status with which a backend server refuses a request without running it.
pub(crate) const SHED_STATUS: u16 = 503;
/// Timeout for opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Announcement of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Announcement {
    /// Entry for the directory.
    pub(crate) entry: ServerEntry,
    /// Address at which it accepts requests.
    pub(crate) addr: SocketAddr,
    /// Time after which it is removed unless it announces itself again.
    pub(crate) lease: Duration,
}

struct Inner {
    gate: AdmissionGate,
    queue: VecDeque<(u64, oneshot::Sender<SlotGuard>)>,
    last_ticket: u64,
    idle: Vec<HttpConnection>,
    announcement: Announcement,
    lease_until: Instant,
}

/// A backend server. All requests to it pass through its gate, so its load is known exactly.
pub(crate) struct LocalServer {
    inner: Mutex<Inner>,
    connection_limit: usize,
}

/// Permit to run one request. Dropping it hands the slot to the next request in the queue.
pub(crate) struct SlotGuard {
    server: Arc<LocalServer>,
    started_at: Instant,
    /// Whether the run time counts as a sample of the backend server's run times.
    is_sample: bool,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let run_time = self.is_sample.then(|| self.started_at.elapsed());
        self.server.finish(run_time);
    }
}

impl SlotGuard {
    /// Marks the run time to be counted as a sample when the slot is released.
    pub(crate) fn set_complete(&mut self) {
        self.is_sample = true;
    }
}

/// Position in the queue. Dropping it before a slot is assigned leaves the queue.
struct QueuePosition {
    server: Arc<LocalServer>,
    ticket: u64,
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        let mut inner = lock(&self.server.inner);
        let index = inner
            .queue
            .iter()
            .position(|(ticket, _)| *ticket == self.ticket);
        if let Some(index) = index {
            inner.queue.remove(index);
            inner.gate.abandon();
        }
    }
}

impl LocalServer {
    /// Creates a backend server from its first announcement.
    pub(crate) fn new(announcement: Announcement, connection_limit: usize) -> Self {
        let queue = foxtailgauge_core::DEFAULT_QUEUE_REQUESTS;
        let gate = AdmissionGate::new(announcement.entry.slots, queue);
        let lease_until = Instant::now() + announcement.lease;
        LocalServer {
            inner: Mutex::new(Inner {
                gate,
                queue: VecDeque::new(),
                last_ticket: 0,
                idle: Vec::new(),
                announcement,
                lease_until,
            }),
            connection_limit,
        }
    }

    /// Applies a new announcement; returns whether the directory entry changed.
    pub(crate) fn announce(&self, announcement: Announcement) -> bool {
        let mut inner = lock(&self.inner);
        inner.lease_until = Instant::now() + announcement.lease;
        if inner.announcement.addr != announcement.addr {
            inner.idle.clear();
        }
        let has_changed = inner.announcement.entry != announcement.entry;
        inner.announcement = announcement;
        inner.configure(None);
        has_changed
    }

    /// Entry for the directory.
    pub(crate) fn entry(&self) -> ServerEntry {
        lock(&self.inner).announcement.entry.clone()
    }

    /// Its load, for operators.
    pub(crate) fn server_load(&self) -> ServerLoad {
        let inner = lock(&self.inner);
        let waiting = u32::try_from(inner.gate.waiting()).unwrap_or(u32::MAX);
        let entry = inner.announcement.entry.clone();
        ServerLoad::new(entry, inner.gate.running(), waiting)
    }

    /// Whether its lease has expired.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        lock(&self.inner).lease_until < now
    }

    /// Closes the gate for new requests.
    pub(crate) fn drain(&self) {
        let mut inner = lock(&self.inner);
        inner.announcement.entry.state = ServerState::Leaving;
        inner.configure(None);
    }

    /// Number of running and queued requests.
    pub(crate) fn in_flight(&self) -> u32 {
        let inner = lock(&self.inner);
        let waiting = u32::try_from(inner.gate.waiting()).unwrap_or(u32::MAX);
        inner.gate.running().saturating_add(waiting)
    }

    /// Waits for a slot for at most `time_left`; the gate may refuse at once.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        time_left: Duration,
        queue_requests: u64,
    ) -> Result<SlotGuard, AdmissionRefusal> {
        let (position, receiver) = {
            let mut inner = lock(&self.inner);
            inner.configure(Some(queue_requests));
            match inner.gate.arrive(time_left) {
                Admission::Run => return Ok(self.slot_guard()),
                Admission::Refused(refusal) => return Err(refusal),
                Admission::Wait => self.join_queue(&mut inner),
            }
        };
        let outcome = async_std::future::timeout(time_left, receiver).await;
        let retry_after = lock(&self.inner).gate.expected_wait();
        drop(position);
        match outcome {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(AdmissionRefusal::Draining),
            Err(_) => Err(AdmissionRefusal::TooLate { retry_after }),
        }
    }

    fn join_queue(
        self: &Arc<Self>,
        inner: &mut Inner,
    ) -> (QueuePosition, oneshot::Receiver<SlotGuard>) {
        let (sender, receiver) = oneshot::channel();
        inner.last_ticket += 1;
        let ticket = inner.last_ticket;
        inner.queue.push_back((ticket, sender));
        let position = QueuePosition {
            server: Arc::clone(self),
            ticket,
        };
        (position, receiver)
    }

    fn slot_guard(self: &Arc<Self>) -> SlotGuard {
        SlotGuard {
            server: Arc::clone(self),
            started_at: Instant::now(),
            is_sample: false,
        }
    }

    fn finish(self: &Arc<Self>, run_time: Option<Duration>) {
        let next = {
            let mut inner = lock(&self.inner);
            match inner.gate.finish(run_time) {
                true => inner.queue.pop_front(),
                false => None,
            }
        };
        if let Some((_, sender)) = next {
            // If the receiver is gone, the slot is dropped here and freed for the next request.
            let _ = sender.send(self.slot_guard());
        }
    }

    /// Sends a request to the backend server and reads the complete response.
    ///
    /// The peer may have closed a reused connection unnoticed, in which case it is unknown whether
    /// the request arrived, and what it sends there may belong to an earlier request;
    /// `requires_new_connection` rules out reuse. A connection that has carried a refusal is not used
    /// again: the refusal names no request, so a repetition of it would end the next one.
    pub(crate) async fn exchange(
        &self,
        request: HttpRequest<'_>,
        limit_bytes: usize,
        requires_new_connection: bool,
    ) -> Result<HttpResponse, HttpError> {
        let mut connection = self.connection(requires_new_connection).await?;
        let response = connection.exchange(request, limit_bytes).await?;
        if response.status != SHED_STATUS && connection.is_reusable() {
            self.release(connection);
        }
        Ok(response)
    }

    async fn connection(&self, requires_new_connection: bool) -> Result<HttpConnection, HttpError> {
        while let Some(connection) = self.idle_connection(requires_new_connection) {
            if connection.is_reusable() {
                return Ok(connection);
            }
        }
        let addr = lock(&self.inner).announcement.addr;
        open(addr).await
    }

    fn idle_connection(&self, requires_new_connection: bool) -> Option<HttpConnection> {
        match requires_new_connection {
            true => None,
            false => lock(&self.inner).idle.pop(),
        }
    }

    fn release(&self, connection: HttpConnection) {
        let mut inner = lock(&self.inner);
        let busy = inner.gate.running() as usize;
        if inner.idle.len() + busy <= self.connection_limit {
            inner.idle.push(connection);
        }
    }
}

impl Inner {
    fn configure(&mut self, queue_requests: Option<u64>) {
        let entry = &self.announcement.entry;
        let is_draining = entry.state == ServerState::Leaving;
        self.gate
            .configure(entry.slots, queue_requests, is_draining);
    }
}

async fn open(addr: SocketAddr) -> Result<HttpConnection, HttpError> {
    let opening = HttpConnection::open(addr);
    match async_std::future::timeout(CONNECT_TIMEOUT, opening).await {
        Ok(connection) => connection,
        Err(_) => Err(HttpError::Connect(std::io::ErrorKind::TimedOut.into())),
    }
}
