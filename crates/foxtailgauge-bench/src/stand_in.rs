//! A stand-in backend server that announces itself, serves requests, writes a journal and injects
//! faults on request.

use crate::json_file::{BenchError, BenchResult};
use async_std::channel::{bounded, Receiver, Sender};
use async_std::io::ReadExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use clap::Args;
use error_stack::ResultExt;
use foxtailgauge_wire::http::{fetch, HttpRequest};
use http_types::{Method, Request, Response, StatusCode};
use rand::Rng;
use serde::{Deserialize, Serialize};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Lease requested with an announcement, in milliseconds.
const LEASE_MS: u64 = 3_000;
/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between announcements while leaving.
const LEAVING_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 16 << 20;
/// Path at which the behaviour is configured.
const BEHAVIOUR_PATH: &str = "/stand-in/behaviour";
/// Exit code after a request that crashes the backend server.
const CRASH_EXIT_CODE: i32 = 70;
/// Request header with the time until the deadline, in milliseconds.
const DEADLINE_HEADER: &str = "foxtailgauge-deadline-ms";
/// Request header that makes the backend server crash.
const CRASH_HEADER: &str = "bench-die";

/// Request header that makes the backend server return the headers that it received.
const ECHO_HEADER: &str = "bench-echo";

/// Arguments of `backend`.
#[derive(Clone, Debug, Args)]
pub struct StandInArguments {
    /// Name under which it is announced.
    #[arg(long)]
    pub name: String,
    /// Service it belongs to, as TEAM/SERVICE.
    #[arg(long)]
    pub service: String,
    /// Address on which to serve requests.
    #[arg(long)]
    pub addr: SocketAddr,
    /// Announcement address of the daemon on the same instance.
    #[arg(long)]
    pub announce: SocketAddr,
    /// Maximum number of requests it runs concurrently.
    #[arg(long, default_value_t = 20)]
    pub slots: u32,
    /// File to which the start and end of each request are appended.
    #[arg(long)]
    pub journal: Option<PathBuf>,
    /// Processing time of a request, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub run_ms: u64,
    /// Time after the start during which requests take ten times as long, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub cold_ms: u64,
}

/// Configurable behaviour of the backend server; set by `PUT /stand-in/behaviour`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Behaviour {
    /// Processing time of a request, in milliseconds.
    run_ms: u64,
    /// Percentage of requests that are refused before they run.
    shed_percent: u32,
    /// Number of slots to announce instead of the actual one.
    announced_slots: Option<u32>,
}

#[derive(Serialize)]
struct JournalLine<'a> {
    t_us: u64,
    event: &'static str,
    key: Option<&'a str>,
    method: &'a str,
    path: &'a str,
}

#[derive(Serialize)]
struct AnnounceBody<'a> {
    service: &'a str,
    addr: SocketAddr,
    slots: u32,
    state: &'static str,
    lease_ms: u64,
}

#[derive(Deserialize)]
struct AnnounceReply {
    in_flight: u32,
}

/// Effect of a request that carries the crash header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// Exits the process.
    ExitProcess,
    /// Closes all connections and stops responding and announcing, for use inside a test process.
    CloseConnections,
}

/// A running backend server.
pub struct StandIn {
    arguments: StandInArguments,
    behaviour: Mutex<Behaviour>,
    journal: Mutex<Option<File>>,
    runs: AtomicU64,
    is_leaving: AtomicBool,
    has_crashed: AtomicBool,
    is_deregistered: AtomicBool,
    crash_mode: CrashMode,
    /// Open connections, which a crash closes, by their number.
    connections: Mutex<BTreeMap<u64, TcpStream>>,
    connection_count: AtomicU64,
    /// Holds one token for each free slot.
    slots: (Sender<()>, Receiver<()>),
    started: Instant,
}

/// Runs the backend server until it has been signalled to leave and has no request in flight.
pub async fn run(arguments: StandInArguments) -> BenchResult<()> {
    let server = start(arguments, CrashMode::ExitProcess).await?;
    leave_on_signal(&server)?;
    server.announce_until_deregistered().await;
    Ok(())
}

/// Starts the backend server; it serves requests but does not announce itself yet.
pub async fn start(
    arguments: StandInArguments,
    crash_mode: CrashMode,
) -> BenchResult<Arc<StandIn>> {
    let journal = match &arguments.journal {
        Some(path) => Some(
            File::options()
                .create(true)
                .append(true)
                .open(path)
                .change_context_lazy(|| BenchError::File(path.clone()))?,
        ),
        None => None,
    };
    let listener = TcpListener::bind(arguments.addr)
        .await
        .change_context(BenchError::Network)?;
    let behaviour = Behaviour {
        run_ms: arguments.run_ms,
        ..Behaviour::default()
    };
    let slots = bounded(arguments.slots as usize);
    for _ in 0..arguments.slots {
        slots
            .0
            .try_send(())
            .change_context(BenchError::Unexpected)?;
    }
    let server = Arc::new(StandIn {
        slots,
        arguments,
        behaviour: Mutex::new(behaviour),
        journal: Mutex::new(journal),
        runs: AtomicU64::new(0),
        is_leaving: AtomicBool::new(false),
        has_crashed: AtomicBool::new(false),
        is_deregistered: AtomicBool::new(false),
        crash_mode,
        connections: Mutex::default(),
        connection_count: AtomicU64::new(0),
        started: Instant::now(),
    });
    let acceptor = Arc::clone(&server);
    task::spawn(async move {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                if acceptor.has_crashed() {
                    break;
                }
                let server = Arc::clone(&acceptor);
                task::spawn(async move { server.serve(stream).await });
            }
        }
    });
    Ok(server)
}

fn leave_on_signal(server: &Arc<StandIn>) -> BenchResult<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).change_context(BenchError::Network)?;
    let server = Arc::clone(server);
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            server.leave();
        }
    });
    Ok(())
}

impl StandIn {
    fn behaviour(&self) -> Behaviour {
        self.behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Whether a request with the crash header has stopped it.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }

    /// Whether it has completed its requests and removed its announcement.
    pub fn is_deregistered(&self) -> bool {
        self.is_deregistered.load(Ordering::SeqCst)
    }

    /// Starts leaving: announces the state `leaving` until no request is in flight.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    fn crash(&self) {
        if self.crash_mode == CrashMode::ExitProcess {
            std::process::exit(CRASH_EXIT_CODE);
        }
        self.has_crashed.store(true, Ordering::SeqCst);
        for connection in std::mem::take(&mut *self.connections()).into_values() {
            // Fails if the peer has already closed the connection.
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Announces the backend server periodically; after [`StandIn::leave`], returns when no request
    /// is in flight.
    pub async fn announce_until_deregistered(&self) {
        loop {
            if self.has_crashed() {
                return;
            }
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            let reply = self.announce(is_leaving).await;
            if is_leaving && reply.is_none_or(|reply| reply.in_flight == 0) {
                break;
            }
            let mut remaining = if is_leaving {
                LEAVING_INTERVAL
            } else {
                ANNOUNCE_INTERVAL
            };
            while !remaining.is_zero() && self.is_leaving.load(Ordering::SeqCst) == is_leaving {
                let step = remaining.min(LEAVING_INTERVAL);
                task::sleep(step).await;
                remaining -= step;
            }
        }
        let target = format!("/v1/servers/{}", self.arguments.name);
        // If the daemon cannot be reached, the lease expires.
        let _ = self.send_to_daemon("DELETE", &target, &[]).await;
        self.is_deregistered.store(true, Ordering::SeqCst);
    }

    async fn announce(&self, is_leaving: bool) -> Option<AnnounceReply> {
        let slots = self
            .behaviour()
            .announced_slots
            .unwrap_or(self.arguments.slots);
        let body = AnnounceBody {
            service: &self.arguments.service,
            addr: self.arguments.addr,
            slots,
            state: if is_leaving { "leaving" } else { "ready" },
            lease_ms: LEASE_MS,
        };
        let body = serde_json::to_vec(&body).ok()?;
        let target = format!("/v1/servers/{}", self.arguments.name);
        let response = self.send_to_daemon("PUT", &target, &body).await?;
        serde_json::from_slice(&response).ok()
    }

    async fn send_to_daemon(&self, method: &str, target: &str, body: &[u8]) -> Option<Vec<u8>> {
        let request = HttpRequest {
            method,
            target,
            headers: &[],
            body,
        };
        let exchange = fetch(self.arguments.announce, request, 1 << 16);
        let response = async_std::future::timeout(Duration::from_secs(1), exchange).await;
        Some(response.ok()?.ok()?.body)
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let number = self.connection_count.fetch_add(1, Ordering::Relaxed);
        if self.crash_mode == CrashMode::CloseConnections {
            self.connections().insert(number, stream.clone());
        }
        // Connection errors are left to the client to handle.
        let _ = async_h1::accept(stream, |request| {
            let server = Arc::clone(&self);
            async move { server.respond(request).await }
        })
        .await;
        self.connections().remove(&number);
    }

    fn connections(&self) -> MutexGuard<'_, BTreeMap<u64, TcpStream>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn respond(&self, mut request: Request) -> http_types::Result<Response> {
        let mut body = Vec::new();
        request
            .take_body()
            .take(MAX_BODY_BYTES)
            .read_to_end(&mut body)
            .await?;
        if request.url().path() == BEHAVIOUR_PATH && request.method() == Method::Put {
            return Ok(self.set_behaviour(&body));
        }
        let behaviour = self.behaviour();
        if rand::rng().random_range(0..100) < behaviour.shed_percent {
            let mut response = Response::new(StatusCode::ServiceUnavailable);
            response.insert_header("Retry-After", "1");
            return Ok(response);
        }
        let method = request.method().to_string();
        let path = request.url().path().to_owned();
        let key = request
            .header("idempotency-key")
            .map(|values| values.as_str().to_owned());
        let deadline_ms = request
            .header(DEADLINE_HEADER)
            .and_then(|v| v.as_str().parse().ok());
        if !self.acquire_slot(&behaviour, deadline_ms).await {
            return Ok(Response::new(StatusCode::ServiceUnavailable));
        }
        self.append_journal("start", key.as_deref(), &method, &path);
        if request.header(CRASH_HEADER).is_some() {
            self.crash();
            std::future::pending::<()>().await;
        }
        self.process(&behaviour).await;
        self.append_journal("end", key.as_deref(), &method, &path);
        let run = self.runs.fetch_add(1, Ordering::SeqCst) + 1;
        let mut response = Response::new(StatusCode::Ok);
        let is_echoed = request.header(ECHO_HEADER).is_some();
        let headers = is_echoed.then(|| received_headers(&request));
        let text = serde_json::json!({
            "server": self.arguments.name,
            "run": run,
            "path": path,
            "key": key,
            "received_bytes": body.len(),
            "headers": headers,
        });
        response.set_body(text.to_string());
        response.insert_header("content-type", "application/json");
        Ok(response)
    }

    /// Waits for a free slot; returns false if the request's deadline passes first. Requests
    /// without processing time need no slot.
    async fn acquire_slot(&self, behaviour: &Behaviour, deadline_ms: Option<u64>) -> bool {
        if behaviour.run_ms == 0 {
            return true;
        }
        let slot = self.slots.1.recv();
        match deadline_ms.map(Duration::from_millis) {
            Some(time_left) => matches!(
                async_std::future::timeout(time_left, slot).await,
                Ok(Ok(()))
            ),
            None => slot.await.is_ok(),
        }
    }

    async fn process(&self, behaviour: &Behaviour) {
        let cold = Duration::from_millis(self.arguments.cold_ms);
        let factor = if self.started.elapsed() < cold { 10 } else { 1 };
        let run_ms = behaviour.run_ms * factor;
        if run_ms == 0 {
            return;
        }
        task::sleep(Duration::from_millis(run_ms)).await;
        // Cannot fail: the channel's capacity equals the number of tokens.
        let _ = self.slots.0.try_send(());
    }

    fn set_behaviour(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(behaviour) => {
                *self
                    .behaviour
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = behaviour;
                Response::new(StatusCode::NoContent)
            }
            Err(_) => Response::new(StatusCode::BadRequest),
        }
    }

    fn append_journal(&self, event: &'static str, key: Option<&str>, method: &str, path: &str) {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let line = JournalLine {
            t_us: u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX),
            event,
            key,
            method,
            path,
        };
        let mut journal = self.journal.lock().unwrap_or_else(PoisonError::into_inner);
        if let (Some(file), Ok(mut text)) = (journal.as_mut(), serde_json::to_vec(&line)) {
            text.push(b'\n');
            if let Err(error) = file.write_all(&text) {
                eprintln!("cannot write the journal: {error}");
            }
        }
    }
}

fn received_headers(request: &Request) -> BTreeMap<String, String> {
    let headers = request.iter();
    headers
        .map(|(name, values)| (name.to_string(), values.as_str().to_owned()))
        .collect()
}
