//! Planned stop of the daemon: it finishes the requests in progress, answers the rest, announces its
//! end and exits, all within the grace period.

use crate::control::formation;
use crate::emit;
use crate::events;
use crate::peer_server::DaemonContext;
use crate::settings::Settings;
use async_std::channel::{bounded, Receiver, Sender};
use foxtailgauge_core::{LateRequest, StopPlan};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::OnceLock;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Grace period of a daemon without host routes.
const DEFAULT_GRACE: Duration = Duration::from_secs(30);
/// Time after the request to stop until the platform no longer routes callers to this instance: it
/// removes the instance after two failed health checks, a second apart.
const DEREGISTRATION_TIME: Duration = Duration::from_millis(3_500);
/// Time allowed for the announcement of a stopping daemon to reach other daemons.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_millis(300);
/// Interval at which a stopping daemon checks whether requests are still in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Progress of a stop, shared with the gateways.
pub(crate) struct StopState {
    plan: StopPlan,
    /// When the daemon was asked to stop.
    started: OnceLock<Instant>,
    /// Whether no request is taken any more.
    is_closed: AtomicBool,
    /// Closed at the end of the drain, which ends the tasks that accept connections.
    accepting: (Sender<Infallible>, Receiver<Infallible>),
    /// Requests that got a final response while they may have been running.
    unknown: AtomicU32,
    /// Requests whose connection was closed without a complete response.
    cut: AtomicU32,
}

impl StopState {
    /// State of a daemon that was not asked to stop.
    pub(crate) fn new(settings: &Settings) -> Self {
        let mesh = settings.mesh.as_ref();
        StopState {
            plan: StopPlan::new(mesh.map_or(DEFAULT_GRACE, |mesh| mesh.stop_grace)),
            started: OnceLock::new(),
            is_closed: AtomicBool::default(),
            accepting: bounded(1),
            unknown: AtomicU32::default(),
            cut: AtomicU32::default(),
        }
    }

    /// Whether the daemon was asked to stop.
    pub(crate) fn is_begun(&self) -> bool {
        self.started.get().is_some()
    }

    /// When requests in progress get a final response, if the daemon was asked to stop.
    pub(crate) fn drain_end(&self) -> Option<Instant> {
        let started = self.started.get()?;
        Some(*started + self.plan.drain_time())
    }

    /// Completes at the end of the drain.
    pub(crate) async fn drained(&self) {
        // Nothing is sent: the channel is closed.
        let _ = self.accepting.1.recv().await;
    }

    /// Whether the drain has ended.
    pub(crate) fn is_drained(&self) -> bool {
        self.accepting.0.is_closed() || self.is_over()
    }

    /// Whether a request that has not been passed on may be.
    pub(crate) fn takes(&self, request: impl FnOnce() -> LateRequest) -> bool {
        match self.started.get() {
            None => true,
            Some(started) => {
                !self.is_closed.load(Ordering::SeqCst)
                    && self.plan.takes(started.elapsed(), request())
            }
        }
    }

    /// Runs `work`, but not beyond the end of the drain; `None` if it was given up. The connection
    /// polls its requests at that time.
    pub(crate) async fn until_drain_end<F: Future>(
        &self,
        mut work: Pin<&mut F>,
    ) -> Option<F::Output> {
        poll_fn(|cx| match work.as_mut().poll(cx) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if self.is_over() => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        })
        .await
    }

    fn is_over(&self) -> bool {
        self.drain_end().is_some_and(|end| Instant::now() >= end)
    }

    /// Counts a request that was given up while it may have been running.
    pub(crate) fn record_unknown(&self) {
        self.unknown.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts requests whose connection is closed without a complete response.
    pub(crate) fn record_cut(&self, requests: usize) {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        self.cut.fetch_add(requests, Ordering::Relaxed);
    }
}

/// Stops the daemon; it exits when this returns.
pub(crate) async fn run(context: &DaemonContext) {
    let shared = &context.shared;
    let stop = &shared.stop;
    let started = *stop.started.get_or_init(Instant::now);
    emit!(shared.log, events::STOPPING, "drain_ms" => stop.plan.drain_time().as_millis() as u64);
    let ((), unfinished) = futures::join!(
        context.executor.drain(stop.plan.drain_time()),
        drain(context, started)
    );
    if unfinished != InProgress::default() {
        emit!(shared.log, events::STOP_UNFINISHED, "requests" => unfinished.requests,
            "running" => unfinished.running);
    }
    stop.accepting.0.close();
    shared.announce_stop();
    let exit_at = started + stop.plan.exit_time();
    let left = exit_at.saturating_duration_since(Instant::now());
    // Without a leader it ends by its own timeout.
    let _ = async_std::future::timeout(left, formation::leave(context)).await;
    let earliest = Instant::now() + LEAVE_PROPAGATION_TIME;
    loop {
        let now = Instant::now();
        if now >= exit_at || (now >= earliest && shared.forwarding_count() == 0) {
            break;
        }
        let left = exit_at.saturating_duration_since(now);
        async_std::task::sleep(DRAIN_POLL_INTERVAL.min(left)).await;
    }
    let cut = stop.cut.load(Ordering::Relaxed) + shared.forwarding_count();
    emit!(shared.log, events::STOPPED, "took_ms" => started.elapsed().as_millis() as u64,
        "unknown" => stop.unknown.load(Ordering::Relaxed), "cut" => cut);
}

/// Serves callers until they are routed elsewhere and no request is in progress, or the drain ends;
/// returns what was in progress just before its end.
async fn drain(context: &DaemonContext, started: Instant) -> InProgress {
    let shared = &context.shared;
    let stop = &shared.stop;
    if let Some(executor) = &context.forward {
        executor.mark_all_leaving();
    }
    let mesh = shared.settings.mesh.as_ref();
    let serves_host_routes = mesh.is_some_and(|mesh| mesh.outbound.is_some());
    let end = started + stop.plan.drain_time();
    let earliest = match serves_host_routes {
        true => end.min(started + DEREGISTRATION_TIME),
        false => started,
    };
    let mut is_closed = false;
    let mut last_seen = InProgress::default();
    while Instant::now() < end {
        last_seen = InProgress::now(context);
        let is_idle = last_seen == InProgress::default();
        if is_closed && is_idle {
            return last_seen;
        }
        // A request counts as in progress before it is decided whether to take it: one that was taken
        // before this is seen in the next round.
        is_closed = is_closed || (is_idle && Instant::now() >= earliest);
        stop.is_closed.store(is_closed, Ordering::SeqCst);
        let left = end.saturating_duration_since(Instant::now());
        async_std::task::sleep(DRAIN_POLL_INTERVAL.min(left)).await;
    }
    last_seen
}

/// Requests in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct InProgress {
    /// Callers' requests at the gateways.
    requests: u32,
    /// Requests that run or wait on the colocated backend servers.
    running: u32,
}

impl InProgress {
    fn now(context: &DaemonContext) -> Self {
        let loads = context.executor.server_loads();
        let own: u32 = loads.iter().map(|load| load.running + load.waiting).sum();
        let executor = context.forward.as_ref();
        let forwarded = executor.map_or(0, |executor| executor.in_flight());
        InProgress {
            requests: context.shared.forwarding_count(),
            running: own + forwarded,
        }
    }
}
