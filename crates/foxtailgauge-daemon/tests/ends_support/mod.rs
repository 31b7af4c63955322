//! Callers, misbehaving backend servers and faults on daemons and links, and the checks of what callers
//! and servers saw.

use crate::mesh_support::{
    body, document, header, read_message, report, status, try_read_message, wait_for, Mesh,
    Topology, WAIT_TIMEOUT,
};
use foxtailgauge_bench::relay::{ConnectionFault, LinkFault};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::net::sockopt::set_socket_linger;
use rustix::process::Signal;
use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Sidecars without a backend server, from 1 on. The first one is never disturbed.
const GATEWAYS: usize = 3;
/// Sidecars with a backend server beside them, behind the gateways.
const EXECUTORS: usize = 4;
const SIDECARS: usize = GATEWAYS + EXECUTORS;
const CALLERS_PER_SIDECAR: u64 = 6;
/// Requests that a backend server runs at once; it is told the daemons as its capacity.
const SLOTS: u32 = 4;
/// Bytes of a large answer; the daemons stream it.
const LARGE_BYTES: usize = 300_000;
/// Time that a daemon may take to cancel what a lost connection had asked for.
const CANCEL_TIME: Duration = Duration::from_millis(500);
/// Requests that may run later than that: on a busy machine a server reads late what came in time.
const MAX_LATE_RUNS: usize = 3;
/// Time after the deadline at which a caller stops waiting for a response.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time after a fault on links or processes in which executors may learn late of a lost connection.
const CONTACT_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Status(u16),
    /// A response that belongs to another request.
    Mixed,
    /// The connection ended without a response.
    Closed,
    /// No response until after the deadline.
    Silence,
    /// A response ahead of it in its row closed the connection, or broke off.
    NotRead,
    /// The caller closed its connection.
    GaveUp,
}

#[derive(Clone, Debug)]
struct End {
    is_commit: bool,
    gateway: usize,
    sent_at: Instant,
    deadline: Duration,
    ended_at: Instant,
    outcome: Outcome,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    executor: usize,
    at: Instant,
    /// Whether the answer is longer than what daemons buffer.
    is_large: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    Killed,
    Frozen,
    Link,
}

/// What callers, servers and the faults did.
#[derive(Default)]
struct Record {
    ends: Mutex<HashMap<String, End>>,
    runs: Mutex<HashMap<String, Vec<Run>>>,
    disturbances: Mutex<Vec<(usize, Disturbance, Instant, Instant)>>,
}

impl Record {
    fn add_disturbance(&self, n: usize, kind: Disturbance, until: Instant) {
        let disturbance = (n, kind, Instant::now(), until);
        self.disturbances.lock().unwrap().push(disturbance);
    }

    fn is_disturbed(&self, n: usize, kinds: &[Disturbance], from: Instant, to: Instant) -> bool {
        let disturbances = self.disturbances.lock().unwrap();
        let mut disturbances = disturbances.iter();
        disturbances.any(|(at, kind, start, end)| {
            *at == n && kinds.contains(kind) && *start <= to && *end + CONTACT_TIME >= from
        })
    }

    /// Broken promises, each with its request.
    fn violations(&self) -> Vec<String> {
        use Disturbance::{Frozen, Killed, Link};
        let (ends, runs) = (self.ends.lock().unwrap(), self.runs.lock().unwrap());
        let mut violations = Vec::new();
        for (id, end) in ends.iter() {
            let runs = runs.get(id).map_or(&[][..], Vec::as_slice);
            let mut violate = |rule: &str| {
                let took_ms = (end.ended_at - end.sent_at).as_millis();
                let ran: Vec<_> = runs
                    .iter()
                    .map(|run| {
                        (
                            run.executor,
                            (run.at.max(end.sent_at) - end.sent_at).as_millis(),
                            run.is_large,
                        )
                    })
                    .collect();
                violations.push(format!(
                    "{rule} {id} commit {} by d{}: {:?} after {took_ms} ms, ran at (daemon, ms, large) {ran:?}",
                    end.is_commit, end.gateway, end.outcome
                ));
            };
            let is_refused = matches!(end.outcome, Outcome::Status(408 | 421 | 429 | 503));
            if end.is_commit && is_refused && !runs.is_empty() {
                violate("REFUSED");
            }
            if end.is_commit && runs.len() > 1 {
                violate("TWICE");
            }
            if end.is_commit && end.outcome == Outcome::NotRead && !runs.is_empty() {
                violate("PASSED ON");
            }
            if end.outcome == Outcome::Mixed
                || (end.outcome == Outcome::Status(200) && runs.is_empty())
            {
                violate("MIXED");
            }
            let is_unanswered = matches!(end.outcome, Outcome::Closed | Outcome::Silence);
            let from = end.sent_at - CONTACT_TIME;
            // A streamed response ends at the deadline as well.
            let is_at_deadline = end.ended_at - end.sent_at > end.deadline.mul_f64(0.9);
            let is_cut_off = |run: &Run| {
                let kinds = [Killed, Frozen, Link];
                let is_disturbed = self.is_disturbed(run.executor, &kinds, from, end.ended_at);
                run.is_large && (is_at_deadline || is_disturbed)
            };
            if is_unanswered
                && !self.is_disturbed(end.gateway, &[Killed, Frozen], from, end.ended_at)
                && !runs.iter().any(is_cut_off)
            {
                violate("LOST");
            }
            // A killed gateway closes the connections of its callers as well.
            let is_left = matches!(end.outcome, Outcome::GaveUp | Outcome::Closed);
            let is_late = |run: &&Run| {
                run.at > end.ended_at + CANCEL_TIME
                    && !self.is_disturbed(end.gateway, &[Frozen, Link], from, run.at)
                    && !self.is_disturbed(run.executor, &[Killed, Frozen, Link], from, run.at)
            };
            if is_left && runs.iter().any(|run| is_late(&run)) {
                violate("GONE");
            }
        }
        let is_gone = |line: &String| line.starts_with("GONE");
        if violations.iter().filter(|line| is_gone(line)).count() <= MAX_LATE_RUNS {
            violations.retain(|line| {
                if is_gone(line) {
                    println!("one of a few: {line}");
                }
                !is_gone(line)
            });
        }
        violations
    }

    /// Number of requests by kind and outcome.
    fn summary(&self) -> String {
        let mut counts: HashMap<String, u32> = HashMap::new();
        for end in self.ends.lock().unwrap().values() {
            let kind = if end.is_commit { "commit" } else { "view" };
            *counts
                .entry(format!("{kind} {:?}", end.outcome))
                .or_default() += 1;
        }
        let mut counts: Vec<_> = counts.into_iter().collect();
        counts.sort();
        format!("{counts:?}")
    }
}

/// Whether daemons and links fail too, or only servers and callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weather {
    Calm,
    Faults,
}

/// Runs callers, servers and faults for a time; returns the broken promises.
pub fn run(seed: u64, duration: Duration, weather: Weather) -> Vec<String> {
    let topology = Topology {
        replicas: 1,
        sidecars: SIDECARS,
        domains: 3,
        has_links: true,
    };
    let mut mesh = Mesh::start_with(topology);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let record = Arc::new(Record::default());
    let is_over = AtomicBool::new(false);
    let servers: Vec<_> = (1..=EXECUTORS)
        .map(|n| start_server(seed, GATEWAYS + n, Arc::clone(&record)))
        .collect();
    let outbound: Vec<_> = (0..=SIDECARS).map(|n| mesh.outbound_addr(n)).collect();
    let platform: Vec<_> = (0..=SIDECARS).map(|n| mesh.platform_addr(n)).collect();
    std::thread::scope(|scope| {
        for (n, addr) in servers.iter().enumerate() {
            let (platform, is_over) = (&platform[GATEWAYS + 1 + n], &is_over);
            scope.spawn(move || {
                let mut sequence = 0;
                while !is_over.load(Ordering::Relaxed) {
                    sequence += 1;
                    report(platform, &format!("i-{n}"), addr, "ready", sequence);
                    std::thread::sleep(Duration::from_millis(300));
                }
            });
        }
        for n in 1..=SIDECARS {
            wait_for("readiness", || mesh.is_ready(n).then_some(()));
        }
        for caller in 0..CALLERS_PER_SIDECAR * SIDECARS as u64 {
            let gateway = 1 + caller as usize % SIDECARS;
            let (record, is_over, addr) = (&*record, &is_over, &outbound[gateway]);
            scope.spawn(move || {
                let mut caller = Caller {
                    rng: SmallRng::seed_from_u64(seed ^ (caller + 1) << 20),
                    name: format!("{seed}-{caller}"),
                    gateway,
                    addr,
                    connection: None,
                };
                for n in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    caller.send_row(n, record);
                }
            });
        }
        match weather {
            Weather::Calm => std::thread::sleep(duration),
            Weather::Faults => inject_faults(&mut mesh, seed, duration, &record),
        }
        is_over.store(true, Ordering::Relaxed);
    });
    // What runs later than its refusal shows by now.
    std::thread::sleep(Duration::from_secs(2));
    println!("seed {seed}: {}", record.summary());
    let violations = record.violations();
    if !violations.is_empty() {
        println!("logs in {}", mesh.keep_files().display());
    }
    violations
}

/// Disturbs all daemons except the replica and the first sidecar.
fn inject_faults(mesh: &mut Mesh, seed: u64, duration: Duration, record: &Record) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let end = Instant::now() + duration;
    let mut ends: HashMap<usize, (Disturbance, Instant)> = HashMap::new();
    while Instant::now() < end || !ends.is_empty() {
        std::thread::sleep(Duration::from_millis(50));
        ends.retain(|n, (kind, until)| {
            if Instant::now() < *until {
                return true;
            }
            match kind {
                Disturbance::Killed => mesh.start_daemon(*n, false),
                Disturbance::Frozen => mesh.signal(*n, Signal::CONT),
                Disturbance::Link => mesh.faults.set(&format!("d{n}"), None),
            }
            false
        });
        let n = rng.random_range(2..=SIDECARS);
        if Instant::now() > end || ends.len() > 2 || ends.contains_key(&n) || rng.random_bool(0.7) {
            continue;
        }
        let name = format!("d{n}");
        let until = Instant::now() + Duration::from_millis(rng.random_range(100..2_500));
        let kind = match rng.random_range(0..10) {
            0..4 => {
                record.add_disturbance(n, Disturbance::Killed, until);
                mesh.kill(n);
                Disturbance::Killed
            }
            4..6 => {
                record.add_disturbance(n, Disturbance::Frozen, until);
                mesh.signal(n, Signal::STOP);
                Disturbance::Frozen
            }
            kind => {
                // Black-holed connections stay silent.
                let until = until
                    + if kind == 9 {
                        WAIT_TIMEOUT
                    } else {
                        Duration::ZERO
                    };
                record.add_disturbance(n, Disturbance::Link, until);
                match kind {
                    6 => mesh.faults.set(&name, Some(LinkFault::Cut)),
                    7 => mesh.faults.set(&name, Some(LinkFault::CutOutbound)),
                    8 => mesh.faults.end_connections(&name, ConnectionFault::Reset),
                    _ => mesh
                        .faults
                        .end_connections(&name, ConnectionFault::BlackHole),
                }
                Disturbance::Link
            }
        };
        ends.insert(n, (kind, until));
    }
}

struct Caller<'a> {
    rng: SmallRng,
    name: String,
    gateway: usize,
    addr: &'a str,
    connection: Option<TcpStream>,
}

/// A request of a row.
struct Sent {
    id: String,
    is_commit: bool,
    first_line: String,
}

impl Caller<'_> {
    /// Sends a row of requests, mostly of one, and records how each ended.
    fn send_row(&mut self, n: u64, record: &Record) {
        let connection = self.connection.take();
        let Some(mut stream) = connection.or_else(|| TcpStream::connect(self.addr).ok()) else {
            std::thread::sleep(Duration::from_millis(20));
            return;
        };
        let count = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(2..6),
            _ => 1,
        };
        let deadline_ms = self.rng.random_range(150..1_500);
        let (row, mut text): (Vec<Sent>, Vec<String>) = (0..count)
            .map(|at| self.request(&format!("{}-{n}-{at}", self.name), deadline_ms))
            .unzip();
        let gives_up = self.rng.random_bool(0.06);
        let patience = match gives_up {
            true => Duration::from_millis(self.rng.random_range(5..200)),
            false => Duration::from_millis(deadline_ms) + PATIENCE,
        };
        if let Some(last) = text.last_mut().filter(|_| gives_up) {
            // Some leave in the middle of a body.
            last.truncate(last.len().min(90_000));
        }
        let sent_at = Instant::now();
        stream.set_read_timeout(Some(patience)).unwrap();
        stream.set_write_timeout(Some(patience)).unwrap();
        let mut is_open = stream.write_all(text.concat().as_bytes()).is_ok();
        let mut is_closing = false;
        for sent in row {
            let response = match is_open {
                true => try_read_message(&mut stream),
                false => Err(ErrorKind::NotConnected.into()),
            };
            let outcome = match &response {
                _ if is_closing => Outcome::NotRead,
                Ok(text) => check(text, &sent),
                Err(error) if is_open && !is_timeout(error) => Outcome::Closed,
                Err(_) if gives_up => Outcome::GaveUp,
                Err(_) if is_open => Outcome::Silence,
                Err(_) => Outcome::Closed,
            };
            is_open &= response.is_ok();
            is_closing |= outcome == Outcome::Closed;
            is_closing |= response.is_ok_and(|text| header(&text, "connection").is_some());
            let end = End {
                is_commit: sent.is_commit,
                gateway: self.gateway,
                sent_at,
                deadline: Duration::from_millis(deadline_ms),
                ended_at: Instant::now(),
                outcome,
            };
            record.ends.lock().unwrap().insert(sent.id, end);
            if outcome == Outcome::Status(503) {
                std::thread::sleep(Duration::from_millis(30));
            }
        }
        self.connection = (is_open && !is_closing).then_some(stream);
    }

    fn request(&mut self, id: &str, deadline_ms: u64) -> (Sent, String) {
        let is_commit = self.rng.random_bool(0.6);
        let target = if is_commit {
            "POST /commit/"
        } else {
            "GET /view/"
        };
        let body_bytes = match self.rng.random_range(0..20) {
            0 => 100_000,
            1..5 => 300,
            _ => 0,
        };
        let first_line = format!("{target}{id} HTTP/1.1");
        let text = format!(
            "{first_line}\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: {deadline_ms}\r\nContent-Length: {body_bytes}\r\n\r\n{}",
            "x".repeat(body_bytes)
        );
        let id = id.to_owned();
        (
            Sent {
                id,
                is_commit,
                first_line,
            },
            text,
        )
    }
}

/// Whether a read ended by its time-out. The system may end it a tick early by the clock of the tests.
fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn check(response: &str, sent: &Sent) -> Outcome {
    let is_own = header(response, "attempt-id").as_ref() == Some(&sent.id)
        && header(response, "server-seal").is_some()
        && body(response).trim_end_matches('y') == sent.first_line;
    match status(response) {
        200 if !is_own => Outcome::Mixed,
        status => Outcome::Status(status),
    }
}
/// Starts a backend server beside a daemon; returns its address.
fn start_server(seed: u64, executor: usize, record: Arc<Record>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let running = Arc::new(AtomicU64::new(0));
    std::thread::spawn(move || {
        let mut accepted = 0;
        for stream in listener.incoming().flatten() {
            accepted += 1;
            let stream_seed = (seed << 32) ^ (executor as u64) << 24 ^ accepted;
            let (record, running) = (Arc::clone(&record), Arc::clone(&running));
            std::thread::spawn(move || {
                let rng = SmallRng::seed_from_u64(stream_seed);
                serve(stream, executor, rng, &record, &running);
            });
        }
    });
    addr
}

/// Serves one connection.
fn serve(
    mut stream: TcpStream,
    executor: usize,
    mut rng: SmallRng,
    record: &Record,
    running: &AtomicU64,
) {
    let reset = |stream: TcpStream| {
        set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
    };
    if rng.random_bool(0.03) {
        return reset(stream);
    }
    let idle_ms = rng.random_range(30..1_000);
    stream
        .set_read_timeout(Some(Duration::from_millis(idle_ms)))
        .unwrap();
    while let Some(request) = read_message(&mut stream) {
        let id = header(&request, "attempt-id").unwrap_or_default();
        let first_line = request.lines().next().unwrap_or_default();
        let respond = |stream: &mut TcpStream, status: &str, headers: &str, body: &str| {
            let length = body.len();
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nAttempt-Id: {id}\r\n\
                 Server-Seal: seal\r\n{headers}\r\n{body}"
            );
            // The peer may have closed the connection.
            let _ = stream.write_all(text.as_bytes());
        };
        if first_line.starts_with("GET /health ") {
            respond(&mut stream, "200 OK", "", "");
            continue;
        }
        let kind = rng.random_range(0..100);
        match kind {
            0..9 => {
                respond(&mut stream, "503 No", "Not-Executed: 1\r\n", "");
                if kind < 4 {
                    // Once more, at times while the next request is in flight.
                    std::thread::sleep(Duration::from_millis(rng.random_range(0..30)));
                    respond(&mut stream, "503 No", "Not-Executed: 1\r\n", "");
                }
                continue;
            }
            9 => {
                respond(&mut stream, "421 Not Me", "", "");
                continue;
            }
            10 if running.load(Ordering::Relaxed) >= u64::from(SLOTS) => return reset(stream),
            _ => {}
        }
        let is_large = (32..38).contains(&kind);
        let run = Run {
            executor,
            at: Instant::now(),
            is_large,
        };
        record
            .runs
            .lock()
            .unwrap()
            .entry(id.clone())
            .or_default()
            .push(run);
        running.fetch_add(1, Ordering::Relaxed);
        let run_ms = match kind {
            11..15 => rng.random_range(300..2_000),
            _ => rng.random_range(2..60),
        };
        std::thread::sleep(Duration::from_millis(run_ms));
        running.fetch_sub(1, Ordering::Relaxed);
        match kind {
            15..18 => return,
            18..20 => return reset(stream),
            20..23 => {
                let text = format!("HTTP/1.1 200 OK\r\nContent-Length: 99\r\nAttempt-Id: {id}\r\n");
                // The peer may have closed the connection.
                let _ = stream.write_all(&text.as_bytes()[..rng.random_range(1..text.len())]);
                return;
            }
            23 => respond(&mut stream, "500 Failed", "", "failed"),
            24 => respond(&mut stream, "503 No", "", "ran"),
            25..28 => {
                respond(&mut stream, "200 OK", "Connection: close\r\n", first_line);
                return;
            }
            28 => {
                respond(&mut stream, "200 OK", "", first_line);
                return reset(stream);
            }
            29..32 => {
                respond(&mut stream, "200 OK", "", first_line);
                std::thread::sleep(Duration::from_millis(rng.random_range(0..20)));
                respond(&mut stream, "200 OK", "", first_line);
            }
            _ => {
                let filler = "y".repeat(if is_large { LARGE_BYTES } else { 0 });
                respond(&mut stream, "200 OK", "", &format!("{first_line}{filler}"));
            }
        }
    }
}
