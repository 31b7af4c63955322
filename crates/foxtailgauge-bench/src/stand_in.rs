//! A stand-in backend server: announces itself, answers, keeps a journal, and misbehaves on demand.

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
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Lease of an announcement, in milliseconds.
const LEASE_MS: u64 = 3_000;
/// Interval of announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval of announcements while leaving.
const LEAVE_INTERVAL: Duration = Duration::from_millis(20);
/// Largest body.
const BODY_LIMIT_BYTES: u64 = 16 << 20;
/// Path under which the behaviour is set.
const BEHAVIOUR_PATH: &str = "/stand-in/behaviour";
/// Exit code after a request that kills the backend server.
const EXIT_DEAD: i32 = 70;
/// Request header with the time left, in milliseconds.
const DEADLINE_HEADER: &str = "foxtailgauge-deadline-ms";
/// Request header that makes the backend server die.
const DIE_HEADER: &str = "bench-die";

/// Arguments of `backend`.
#[derive(Clone, Debug, Args)]
pub struct StandInArguments {
    /// Name.
    #[arg(long)]
    pub name: String,
    /// Service it belongs to, as TEAM/SERVICE.
    #[arg(long)]
    pub service: String,
    /// Address to take requests at.
    #[arg(long)]
    pub addr: SocketAddr,
    /// Announcement address of the daemon beside it.
    #[arg(long)]
    pub announce: SocketAddr,
    /// Requests it runs at a time.
    #[arg(long, default_value_t = 20)]
    pub slots: u32,
    /// Journal file.
    #[arg(long)]
    pub journal: Option<PathBuf>,
    /// Time a request runs, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub run_ms: u64,
    /// Time after the start during which requests run ten times as long, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub cold_ms: u64,
}

/// How the backend server behaves; set by `PUT /stand-in/behaviour`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Behaviour {
    /// Time a request runs, in milliseconds.
    run_ms: u64,
    /// Part of the requests that are refused before they run, in percent.
    shed_percent: u32,
    /// Slots it announces in place of its own.
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
struct AnnounceAnswer {
    in_flight: u32,
}

/// What a request marked to kill the backend server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// Ends the process.
    ExitProcess,
    /// Breaks all connections and falls silent, for use inside a test process.
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
    death: CrashMode,
    connections: Mutex<Vec<TcpStream>>,
    /// One token for each free slot; a request waits for one as long as it takes.
    slots: (Sender<()>, Receiver<()>),
    started: Instant,
}

/// Runs the backend server until it is told to leave and has nothing left to do.
pub async fn run(arguments: StandInArguments) -> BenchResult<()> {
    let server = start(arguments, CrashMode::ExitProcess).await?;
    watch_signals(&server)?;
    server.announce_until_deregistered().await;
    Ok(())
}

/// Starts the backend server; it takes requests but is not announced yet.
pub async fn start(arguments: StandInArguments, death: CrashMode) -> BenchResult<Arc<StandIn>> {
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
        death,
        connections: Mutex::default(),
        started: Instant::now(),
    });
    let accepting = Arc::clone(&server);
    task::spawn(async move {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                if accepting.has_crashed() {
                    break;
                }
                let server = Arc::clone(&accepting);
                task::spawn(async move { server.serve(stream).await });
            }
        }
    });
    Ok(server)
}

fn watch_signals(server: &Arc<StandIn>) -> BenchResult<()> {
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

    /// Whether a marked request has killed it.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }

    /// Whether it has left with nothing in flight.
    pub fn is_deregistered(&self) -> bool {
        self.is_deregistered.load(Ordering::SeqCst)
    }

    /// Makes it leave.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    fn die(&self) {
        if self.death == CrashMode::ExitProcess {
            std::process::exit(EXIT_DEAD);
        }
        self.has_crashed.store(true, Ordering::SeqCst);
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for connection in connections.drain(..) {
            // It may be closed already.
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Announces the backend server; once it leaves, ends when nothing is in flight.
    pub async fn announce_until_deregistered(&self) {
        loop {
            if self.has_crashed() {
                return;
            }
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            let answer = self.announce(is_leaving).await;
            if is_leaving && answer.is_none_or(|answer| answer.in_flight == 0) {
                break;
            }
            let mut left = if is_leaving {
                LEAVE_INTERVAL
            } else {
                ANNOUNCE_INTERVAL
            };
            while !left.is_zero() && self.is_leaving.load(Ordering::SeqCst) == is_leaving {
                let step = left.min(LEAVE_INTERVAL);
                task::sleep(step).await;
                left -= step;
            }
        }
        let target = format!("/v1/servers/{}", self.arguments.name);
        // The lease ends anyway if the daemon does not hear it.
        let _ = self.tell("DELETE", &target, &[]).await;
        self.is_deregistered.store(true, Ordering::SeqCst);
    }

    async fn announce(&self, is_leaving: bool) -> Option<AnnounceAnswer> {
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
        let answer = self.tell("PUT", &target, &body).await?;
        serde_json::from_slice(&answer).ok()
    }

    async fn tell(&self, method: &str, target: &str, body: &[u8]) -> Option<Vec<u8>> {
        let request = HttpRequest {
            method,
            target,
            headers: &[],
            body,
        };
        let telling = fetch(self.arguments.announce, request, 1 << 16);
        let answer = async_std::future::timeout(Duration::from_secs(1), telling).await;
        Some(answer.ok()?.ok()?.body)
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        if self.death == CrashMode::CloseConnections {
            let mut connections = self
                .connections
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            connections.push(stream.clone());
        }
        // A connection that breaks concerns the other side only.
        let _ = async_h1::accept(stream, |request| {
            let server = Arc::clone(&self);
            async move { server.answer(request).await }
        })
        .await;
    }

    async fn answer(&self, mut request: Request) -> http_types::Result<Response> {
        let mut body = Vec::new();
        request
            .take_body()
            .take(BODY_LIMIT_BYTES)
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
        if !self.take_slot(&behaviour, deadline_ms).await {
            return Ok(Response::new(StatusCode::ServiceUnavailable));
        }
        self.note("start", key.as_deref(), &method, &path);
        if request.header(DIE_HEADER).is_some() {
            self.die();
            std::future::pending::<()>().await;
        }
        self.work(&behaviour).await;
        self.note("end", key.as_deref(), &method, &path);
        let run = self.runs.fetch_add(1, Ordering::SeqCst) + 1;
        let mut response = Response::new(StatusCode::Ok);
        let text = serde_json::json!({
            "server": self.arguments.name,
            "run": run,
            "path": path,
            "key": key,
            "received_bytes": body.len(),
        });
        response.set_body(text.to_string());
        response.insert_header("content-type", "application/json");
        Ok(response)
    }

    /// Waits for a slot; false if the request's deadline passes first. Requests that take no time
    /// need none.
    async fn take_slot(&self, behaviour: &Behaviour, deadline_ms: Option<u64>) -> bool {
        if behaviour.run_ms == 0 {
            return true;
        }
        let slot = self.slots.1.recv();
        match deadline_ms.map(Duration::from_millis) {
            Some(left) => matches!(async_std::future::timeout(left, slot).await, Ok(Ok(()))),
            None => slot.await.is_ok(),
        }
    }

    async fn work(&self, behaviour: &Behaviour) {
        let cold = Duration::from_millis(self.arguments.cold_ms);
        let factor = if self.started.elapsed() < cold { 10 } else { 1 };
        let run_ms = behaviour.run_ms * factor;
        if run_ms == 0 {
            return;
        }
        task::sleep(Duration::from_millis(run_ms)).await;
        // The channel holds as many tokens as it has places.
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

    fn note(&self, event: &'static str, key: Option<&str>, method: &str, path: &str) {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let line = JournalLine {
            t_us: u64::try_from(since.as_micros()).unwrap_or(u64::MAX),
            event,
            key,
            method,
            path,
        };
        let mut journal = self.journal.lock().unwrap_or_else(PoisonError::into_inner);
        if let (Some(file), Ok(mut text)) = (journal.as_mut(), serde_json::to_vec(&line)) {
            text.push(b'\n');
            if let Err(error) = file.write_all(&text) {
                eprintln!("journal: {error}");
            }
        }
    }
}
