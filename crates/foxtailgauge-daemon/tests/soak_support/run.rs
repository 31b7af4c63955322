//! One run: a fleet, its callers, backend servers and operators, and the faults of its seed.

use super::faults::{plan, Fault, Planned};
use super::record::{Ask, End, Record, Sent, ServerRecord};
use crate::mesh_support::{
    body, document, exchange, header, put_document, read_message, report, status, wait_for, Mesh,
    Script, Server, Topology,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Callers beside each sidecar; four is what the slots of its backend server hold.
const CALLERS: usize = 3;
/// Time that a caller waits for an answer.
const DEADLINE: Duration = Duration::from_secs(1);
/// Time beyond the deadline after which a caller gives up on an answer.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Time between two requests of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which backend servers report, a half of what the daemons are told.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Stated time in which all is served again after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Time of undisturbed service before the end, in which changes must be in force in time.
const CALM_TIME: Duration = Duration::from_secs(6);
/// Time that a leaving backend server goes on serving after the acknowledgement, and some more.
const LEAVE_TIME: Duration = Duration::from_millis(2_500);

/// A backend server and the one that it may have replaced.
struct Slot {
    servers: Vec<(String, Server)>,
    left_at: Vec<Option<Instant>>,
    script: Script,
    is_leaving: bool,
}

/// Lets all threads of a run end, also when what waits for them panics.
struct EndOfRun<'a>(&'a AtomicBool);

impl Drop for EndOfRun<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A run of one seed.
pub struct Soak {
    seed: u64,
    topology: Topology,
    mesh: Mutex<Mesh>,
    slots: Vec<Mutex<Slot>>,
    lifetimes: Vec<AtomicU64>,
    sent: Mutex<Vec<Sent>>,
    versions: Mutex<Vec<(u64, Instant)>>,
    broken: Mutex<Vec<String>>,
    is_over: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Soak {
    /// Plays a seed with faults for a time; returns the promises that were broken.
    pub fn play(seed: u64, topology: Topology, length: Duration) -> Vec<String> {
        let daemons = topology.replicas + topology.sidecars;
        let slot = |n: usize| Slot {
            servers: vec![(format!("i-{n}-0"), Server::start())],
            left_at: vec![None],
            script: Script::Echo,
            is_leaving: false,
        };
        let soak = Soak {
            seed,
            topology,
            mesh: Mutex::new(Mesh::start_with(topology)),
            slots: (0..topology.sidecars)
                .map(|n| Mutex::new(slot(n)))
                .collect(),
            lifetimes: (0..daemons).map(|_| AtomicU64::new(0)).collect(),
            sent: Mutex::default(),
            versions: Mutex::default(),
            broken: Mutex::default(),
            is_over: AtomicBool::new(false),
        };
        soak.change(0, &versioned(&[1], 1));
        let planned = plan(seed, topology, length);
        let started = std::thread::scope(|scope| {
            let soak = &soak;
            let _end = EndOfRun(&soak.is_over);
            let sidecars = topology.replicas..daemons;
            for n in sidecars.clone() {
                scope.spawn(move || soak.report_server(n));
            }
            for n in sidecars.clone() {
                wait_for("readiness", || lock(&soak.mesh).is_ready(n).then_some(()));
            }
            for n in sidecars {
                for caller in 0..CALLERS {
                    scope.spawn(move || soak.call(n, caller));
                }
            }
            scope.spawn(|| soak.operate());
            let started = Instant::now();
            soak.disturb(started, &planned);
            soak.wait_served();
            std::thread::sleep(CALM_TIME);
            started
        });
        soak.read_back();
        soak.finish(started, planned)
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn rng(&self, salt: usize) -> StdRng {
        let salt = u64::try_from(salt).unwrap_or_default();
        StdRng::seed_from_u64(self.seed.wrapping_mul(1_000).wrapping_add(salt))
    }

    fn broke(&self, what: String) {
        lock(&self.broken).push(what);
    }

    fn slot(&self, n: usize) -> MutexGuard<'_, Slot> {
        lock(&self.slots[n - self.topology.replicas])
    }

    /// Sends requests on a connection kept open, until the end of the run.
    fn call(&self, n: usize, caller: usize) {
        let mut rng = self.rng(n * CALLERS + caller);
        let addr = lock(&self.mesh).outbound_addr(n);
        let mut kept: Option<TcpStream> = None;
        let mut serial = 0;
        while !self.is_over() {
            serial += 1;
            let newest = lock(&self.versions)
                .last()
                .map_or(1, |(version, _)| *version);
            let ask = match rng.random_range(0..10) {
                0..4 => Ask::View,
                4..8 => Ask::Commit,
                8 => Ask::Version(newest),
                _ => Ask::Nowhere,
            };
            let id = format!("r{n}-{caller}-{serial}");
            let connect = || TcpStream::connect(&addr).ok();
            if let Some(stream) = kept.take().or_else(connect) {
                let (sent, stream) = self.ask(stream, id, ask, n);
                kept = stream;
                lock(&self.sent).push(sent);
            }
            std::thread::sleep(CALL_INTERVAL);
        }
    }

    /// Sends one request; returns what came of it, and the connection if it can be used again.
    fn ask(
        &self,
        mut stream: TcpStream,
        id: String,
        ask: Ask,
        n: usize,
    ) -> (Sent, Option<TcpStream>) {
        let (method, target) = match ask {
            Ask::View => ("GET", format!("/view/{id}")),
            Ask::Commit => ("POST", format!("/commit/{id}")),
            Ask::Nowhere => ("GET", format!("/nowhere/{id}")),
            Ask::Version(version) => ("GET", format!("/v{version}/{id}")),
        };
        let text = format!(
            "{method} {target} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
            DEADLINE.as_millis()
        );
        let lifetime = || self.lifetimes[n].load(Ordering::Relaxed);
        let (before, at) = (lifetime(), Instant::now());
        let limit = stream.set_read_timeout(Some(DEADLINE + SILENCE_LIMIT));
        limit.expect("a time limit");
        // A write into a connection that is gone fails or not; the read tells.
        let _ = stream.write_all(text.as_bytes());
        let answer = read_message(&mut stream);
        let until = Instant::now();
        let end = match &answer {
            Some(answer) => End::Answered {
                status: status(answer),
                is_sealed: header(answer, "server-seal").is_some(),
                is_own: header(answer, "server-seal").is_some()
                    && body(answer).starts_with(&format!("{method} {target} ")),
            },
            None if until.duration_since(at) < DEADLINE + SILENCE_LIMIT => End::Closed,
            None => End::Silent,
        };
        let sent = Sent {
            id,
            ask,
            daemon: n,
            lifetimes: (before, lifetime()),
            at,
            until,
            deadline: DEADLINE,
            end,
        };
        let is_kept = answer.is_some_and(|answer| header(&answer, "connection").is_none());
        (sent, is_kept.then_some(stream))
    }

    /// Reports the backend server beside a daemon, and replaces it once it has left.
    fn report_server(&self, n: usize) {
        let platform = lock(&self.mesh).platform_addr(n);
        let mut sequence = 0;
        while !self.is_over() {
            sequence += 1;
            let (name, addr, is_leaving) = {
                let slot = self.slot(n);
                let (name, server) = slot.servers.last().expect("a server");
                (name.clone(), server.addr.clone(), slot.is_leaving)
            };
            let state = if is_leaving { "draining" } else { "ready" };
            let is_taken = report(&platform, &name, &addr, state, sequence) == 200;
            if is_leaving && is_taken {
                self.replace_server(n);
            }
            std::thread::sleep(REPORT_INTERVAL);
        }
    }

    fn replace_server(&self, n: usize) {
        if let Some(left_at) = self.slot(n).left_at.last_mut() {
            *left_at = Some(Instant::now());
        }
        std::thread::sleep(LEAVE_TIME);
        let mut slot = self.slot(n);
        let server = Server::start();
        server.set_script(slot.script);
        let name = format!("i-{n}-{}", slot.servers.len());
        slot.servers.push((name, server));
        slot.left_at.push(None);
        slot.is_leaving = false;
    }

    /// Sends changes, some by two operators at once.
    fn operate(&self) {
        let mut rng = self.rng(usize::MAX);
        let mut routes = vec![1];
        while !self.is_over() {
            std::thread::sleep(CHANGE_INTERVAL);
            let base = lock(&self.versions)
                .last()
                .map_or(1, |(version, _)| *version);
            let version = base + rng.random_range(1..4);
            let with = |version| [&routes[..], &[version]].concat();
            let change = |version: u64| self.change(base, &versioned(&with(version), version));
            let taken = if rng.random_bool(0.3) {
                let other = version + 1;
                std::thread::scope(|scope| {
                    let rival = scope.spawn(|| change(other));
                    let first = change(version);
                    match (first, rival.join().unwrap_or(false)) {
                        (true, false) => version,
                        (false, true) => other,
                        ends => {
                            self.broke(format!("race on top of {base}: acknowledged {ends:?}"));
                            base
                        }
                    }
                })
            } else if change(version) {
                version
            } else {
                self.broke(format!("a change on top of {base} is refused"));
                base
            };
            if taken > base {
                routes.push(taken);
                lock(&self.versions).push((taken, Instant::now()));
            }
        }
    }

    /// Sends a document to one replica after another until the answer is clear; whether it was
    /// acknowledged.
    fn change(&self, base: u64, document: &serde_json::Value) -> bool {
        let mut replica = 0;
        let told = wait_for("a clear answer to a change", || {
            replica = (replica + 1) % self.topology.replicas;
            let platform = lock(&self.mesh).platform_addr(replica);
            put_document(&platform, base, document).filter(|told| *told < 500)
        });
        if !matches!(told, 200 | 412) {
            self.broke(format!("a proper change on top of {base} is told {told}"));
        }
        told == 200
    }

    /// Carries out the faults at their times.
    fn disturb(&self, started: Instant, planned: &[Planned]) {
        let mut steps: Vec<(Duration, bool, &Fault)> = Vec::new();
        for planned in planned {
            steps.push((planned.from, true, &planned.fault));
            steps.push((planned.until, false, &planned.fault));
        }
        steps.sort_by_key(|(at, is_start, _)| (*at, *is_start));
        for (at, is_start, fault) in steps {
            std::thread::sleep((started + at).saturating_duration_since(Instant::now()));
            match is_start {
                true => self.begin(fault),
                false => self.end(fault),
            }
        }
    }

    fn begin(&self, fault: &Fault) {
        let mut mesh = lock(&self.mesh);
        match fault {
            Fault::Pause { daemon } => mesh.signal_if_running(*daemon, Signal::STOP),
            Fault::Kill { daemon } => mesh.kill(*daemon),
            Fault::Stop { daemon } => mesh.signal_if_running(*daemon, Signal::TERM),
            Fault::KillReplicas => (0..self.topology.replicas).for_each(|n| mesh.kill(n)),
            Fault::TearLog { replica } => {
                mesh.kill(*replica);
                tear_logs(&mesh.store_dir(*replica), &mut self.rng(*replica));
            }
            Fault::LoseDisk { replica } => {
                mesh.kill(*replica);
                std::fs::remove_dir_all(mesh.store_dir(*replica)).expect("a folder");
            }
            Fault::Links { subject, fault } => mesh.faults.set(subject, Some(*fault)),
            Fault::Break { subject, how } => mesh.faults.end_connections(subject, *how),
            Fault::Server { daemon, script } => self.set_script(*daemon, *script),
            Fault::Replace { daemon } => self.slot(*daemon).is_leaving = true,
        }
    }

    fn end(&self, fault: &Fault) {
        let mut mesh = lock(&self.mesh);
        match fault {
            Fault::Pause { daemon } => mesh.signal_if_running(*daemon, Signal::CONT),
            Fault::Kill { daemon } | Fault::Stop { daemon } => self.restart(&mut mesh, *daemon),
            Fault::TearLog { replica } | Fault::LoseDisk { replica } => {
                self.restart(&mut mesh, *replica);
            }
            Fault::KillReplicas => {
                (0..self.topology.replicas).for_each(|n| self.restart(&mut mesh, n));
            }
            Fault::Links { subject, .. } => mesh.faults.set(subject, None),
            Fault::Break { .. } | Fault::Replace { .. } => {}
            Fault::Server { daemon, .. } => self.set_script(*daemon, Script::Echo),
        }
    }

    /// Starts a daemon anew; one that has not ended by now is killed.
    fn restart(&self, mesh: &mut Mesh, n: usize) {
        mesh.kill(n);
        self.lifetimes[n].fetch_add(1, Ordering::Relaxed);
        mesh.start_daemon(n, false);
    }

    fn set_script(&self, n: usize, script: Script) {
        let mut slot = self.slot(n);
        slot.script = script;
        if let Some((_, server)) = slot.servers.last() {
            server.set_script(script);
        }
    }

    /// Waits until each sidecar serves, and by the newest document.
    fn wait_served(&self) {
        let from = Instant::now();
        for n in self.topology.replicas..self.topology.replicas + self.topology.sidecars {
            let addr = lock(&self.mesh).outbound_addr(n);
            let mut tries = 0;
            while from.elapsed() < RECOVERY_LIMIT {
                tries += 1;
                let (version, _) = *lock(&self.versions).last().unwrap_or(&(1, from));
                let served = [Ask::View, Ask::Commit, Ask::Version(version)].map(|ask| {
                    let stream = TcpStream::connect(&addr).ok()?;
                    let (sent, _) = self.ask(stream, format!("w{n}-{tries}-{ask:?}"), ask, n);
                    let end = sent.end;
                    lock(&self.sent).push(sent);
                    matches!(end, End::Answered { is_own: true, .. }).then_some(())
                });
                if served.iter().all(Option::is_some) {
                    break;
                }
                std::thread::sleep(CALL_INTERVAL);
            }
        }
        if from.elapsed() >= RECOVERY_LIMIT {
            self.broke(format!(
                "not served {RECOVERY_LIMIT:?} after the last fault"
            ));
        }
        let mut mesh = lock(&self.mesh);
        for n in 0..self.lifetimes.len() {
            if mesh.has_exited(n) {
                self.broke(format!("daemon {n} ended by itself"));
            }
        }
    }

    /// What was acknowledged last is what every replica reads back.
    fn read_back(&self) {
        let newest = lock(&self.versions)
            .last()
            .map_or(1, |(version, _)| *version);
        for n in 0..self.topology.replicas {
            let platform = lock(&self.mesh).platform_addr(n);
            let from = Instant::now();
            let mut read = serde_json::Value::Null;
            while read.is_null() && from.elapsed() < RECOVERY_LIMIT {
                let text = "GET /foxtailgauge/config HTTP/1.1\r\nHost: x\r\n\r\n";
                let answer = exchange(&platform, text).unwrap_or_default();
                if status(&answer) == 200 {
                    read = serde_json::from_str(body(&answer)).unwrap_or_default();
                }
                std::thread::sleep(CALL_INTERVAL);
            }
            if read["version"] != format!("{newest:08x}") {
                let number = &read["version"];
                self.broke(format!(
                    "replica {n} reads {number}, acknowledged {newest:08x}"
                ));
            }
        }
    }

    fn finish(self, started: Instant, planned: Vec<Planned>) -> Vec<String> {
        let slots = self.slots.into_iter().flat_map(|slot| {
            let slot = slot.into_inner().unwrap_or_else(PoisonError::into_inner);
            slot.servers.into_iter().zip(slot.left_at)
        });
        let servers = slots.map(|((name, server), left_at)| ServerRecord {
            name,
            arrivals: lock(&server.received).clone(),
            left_at,
        });
        let record = Record {
            started,
            planned,
            sent: self
                .sent
                .into_inner()
                .unwrap_or_else(PoisonError::into_inner),
            servers: servers.collect(),
            versions: self
                .versions
                .into_inner()
                .unwrap_or_else(PoisonError::into_inner),
            broken: self
                .broken
                .into_inner()
                .unwrap_or_else(PoisonError::into_inner),
        };
        let violations = record.violations();
        if !violations.is_empty() {
            let mesh = self
                .mesh
                .into_inner()
                .unwrap_or_else(PoisonError::into_inner);
            let kept = mesh.keep_files();
            let text = format!("{violations:#?}\n\n{:#?}\n\n{record:#?}", record.planned);
            std::fs::write(kept.join("record"), text).expect("a file");
            println!("seed {}: logs and record in {}", self.seed, kept.display());
        }
        violations
    }
}

/// A document with the routes of all tests, and one for each version.
fn versioned(routes: &[u64], version: u64) -> serde_json::Value {
    let mut document = document(version);
    let rules = document["listeners"][0]["rule_set"]
        .as_array_mut()
        .expect("rules");
    for route in routes {
        let mut rule = rules[0].clone();
        rule["name"] = format!("v{route}").into();
        rule["match"]["path_prefix"] = format!("/v{route}/").into();
        rules.push(rule);
    }
    document
}

/// Leaves what a write that was never synced may leave behind the synced records.
fn tear_logs(store: &std::path::Path, rng: &mut StdRng) {
    for group in ["config", "ledger"] {
        let log = store.join(group).join("log");
        let Ok(mut file) = std::fs::File::options().append(true).open(&log) else {
            continue;
        };
        let mut torn = vec![0; rng.random_range(1..200)];
        rng.fill(&mut torn[..]);
        file.write_all(&torn).expect("a write");
    }
}
