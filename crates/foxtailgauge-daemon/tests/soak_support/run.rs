//! The run of one seed: a fleet with callers, backend servers and operators, and injected faults.

use super::faults::{plan_faults, Fault, PlannedFault};
use super::profile::Plan;
use super::record::{Record, RequestKind, RequestRecord, RequestResult, ServerRecord};
use super::requests::document_with_routes;
use super::rollouts::{RolloutRun, SERVICES};
use super::starvation::ThreadWait;
use super::trace;
use crate::mesh_support::{
    body, exchange, put_document, report, status, wait_for, Mesh, Script, Server, Topology,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Pause between two tries, observations, or requests whose results are not recorded.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Sidecars with full load; more of them share this load.
const SIDECARS_OF_FULL_LOAD: usize = 6;
/// Interval at which backend servers report, half the `report_interval_ms` of the daemons.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Deadline of requests that look for the recovery.
const RECOVERY_DEADLINE: Duration = Duration::from_secs(1);
/// Specified time after the last fault within which all requests must be served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Time without faults before the end of a run, during which changes must be in force in time.
const FAULT_FREE_TIME: Duration = Duration::from_secs(6);
/// Time after its acknowledged departure until a backend server is replaced. It is longer than the
/// time during which requests may still arrive.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Backend servers of a sidecar: the current one is the last, after those that it replaced.
struct SidecarServers {
    servers: Vec<(String, Server)>,
    left_at: Vec<Option<Instant>>,
    script: Script,
    is_leaving: bool,
}

/// Stops all threads of a run when dropped, so that they also end if the main thread panics.
struct StopGuard<'a>(&'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A run of one seed.
pub struct Soak {
    pub(super) plan: Plan,
    topology: Topology,
    pub(super) mesh: Mutex<Mesh>,
    sidecar_servers: Vec<Mutex<SidecarServers>>,
    pub(super) restart_counts: Vec<AtomicU64>,
    rollouts: Vec<RolloutRun>,
    pub(super) requests: Mutex<Vec<RequestRecord>>,
    /// Planned stops.
    stops: Mutex<Vec<(usize, Instant)>>,
    pub(super) waits: Mutex<Vec<ThreadWait>>,
    pub(super) versions: Mutex<Vec<(u64, Instant)>>,
    violations: Mutex<Vec<String>>,
    is_done: AtomicBool,
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Soak {
    /// Makes a run; returns the violations of the guarantees.
    pub fn run(plan: Plan) -> Vec<String> {
        let topology = plan.topology;
        let daemons = topology.replicas + topology.sidecars;
        let initial_servers = |n: usize| {
            let (script, server) = (plan.profile.script(n), Server::start());
            server.set_script(script);
            SidecarServers {
                servers: vec![(format!("i-{}-0", topology.replicas + n), server)],
                left_at: vec![None],
                script,
                is_leaving: false,
            }
        };
        let soak = Soak {
            plan,
            topology,
            mesh: Mutex::new(Mesh::start_with(topology)),
            sidecar_servers: (0..topology.sidecars)
                .map(|n| Mutex::new(initial_servers(n)))
                .collect(),
            restart_counts: (0..daemons).map(|_| AtomicU64::new(0)).collect(),
            rollouts: SERVICES.map(RolloutRun::start).into(),
            requests: Mutex::default(),
            stops: Mutex::default(),
            waits: Mutex::default(),
            versions: Mutex::default(),
            violations: Mutex::default(),
            is_done: AtomicBool::new(false),
        };
        soak.submit_change(0, &document_with_routes(&[1], 1));
        let planned = plan_faults(plan);
        let started = std::thread::scope(|scope| {
            let soak = &soak;
            let _guard = StopGuard(&soak.is_done);
            let sidecars = topology.replicas..daemons;
            for n in sidecars.clone() {
                scope.spawn(move || soak.report_server(n));
            }
            for n in sidecars.clone() {
                wait_for("readiness", || lock(&soak.mesh).is_ready(n).then_some(()));
            }
            for n in sidecars {
                for caller in 0..plan.profile.load().callers {
                    scope.spawn(move || soak.send_requests(n, caller));
                }
            }
            scope.spawn(|| soak.submit_changes());
            scope.spawn(|| soak.watch_processor_waits());
            for n in 0..daemons {
                scope.spawn(move || soak.observe_rollouts(n));
            }
            for n in soak.topology.replicas..daemons {
                scope.spawn(move || soak.call_services_with_rollouts(n));
            }
            let started = Instant::now();
            for n in 0..2 {
                scope.spawn(move || soak.run_rollouts(n));
            }
            soak.inject_faults(started, &planned);
            soak.wait_until_served();
            soak.wait_for_rollouts();
            std::thread::sleep(FAULT_FREE_TIME);
            started
        });
        soak.check_documents();
        soak.finish(started, planned)
    }

    pub(super) fn is_done(&self) -> bool {
        self.is_done.load(Ordering::Relaxed)
    }

    /// A pause at full load, longer if more sidecars share the load.
    pub(super) fn shared_pause(&self, pause: Duration) -> Duration {
        pause * u32::try_from(self.topology.sidecars.div_ceil(SIDECARS_OF_FULL_LOAD)).unwrap_or(1)
    }

    pub(super) fn rng(&self, salt: usize) -> StdRng {
        let salt = u64::try_from(salt).unwrap_or_default();
        StdRng::seed_from_u64(self.plan.seed.wrapping_mul(1_000).wrapping_add(salt))
    }

    fn add_violation(&self, violation: String) {
        lock(&self.violations).push(violation);
    }

    fn sidecar_servers(&self, n: usize) -> MutexGuard<'_, SidecarServers> {
        lock(&self.sidecar_servers[n - self.topology.replicas])
    }

    /// Reports the colocated backend server of a daemon, and replaces it after it left.
    fn report_server(&self, n: usize) {
        let platform = lock(&self.mesh).platform_addr(n);
        let mut sequence = 0;
        while !self.is_done() {
            sequence += 1;
            let (name, addr, is_leaving) = {
                let sidecar = self.sidecar_servers(n);
                let (name, server) = sidecar
                    .servers
                    .last()
                    .expect("sidecar without a backend server");
                (name.clone(), server.addr.clone(), sidecar.is_leaving)
            };
            let state = if is_leaving { "draining" } else { "ready" };
            let is_accepted = report(&platform, &name, &addr, state, sequence) == 200;
            if is_leaving && is_accepted {
                self.replace_server(n);
            }
            std::thread::sleep(REPORT_INTERVAL);
        }
    }

    fn replace_server(&self, n: usize) {
        if let Some(left_at) = self.sidecar_servers(n).left_at.last_mut() {
            *left_at = Some(Instant::now());
        }
        std::thread::sleep(DRAIN_TIME);
        let mut sidecar = self.sidecar_servers(n);
        let server = Server::start();
        server.set_script(sidecar.script);
        let name = format!("i-{n}-{}", sidecar.servers.len());
        sidecar.servers.push((name, server));
        sidecar.left_at.push(None);
        sidecar.is_leaving = false;
    }

    /// Submits changes until the end of the run, some by two operators concurrently.
    fn submit_changes(&self) {
        let mut rng = self.rng(usize::MAX);
        let mut routes = vec![1];
        while !self.is_done() {
            std::thread::sleep(CHANGE_INTERVAL);
            let base = lock(&self.versions)
                .last()
                .map_or(1, |(version, _)| *version);
            let version = base + rng.random_range(1..4);
            let routes_with = |version| [&routes[..], &[version]].concat();
            let submit = |version: u64| {
                self.submit_change(base, &document_with_routes(&routes_with(version), version))
            };
            let accepted = if rng.random_bool(0.3) {
                let other = version + 1;
                std::thread::scope(|scope| {
                    let concurrent = scope.spawn(|| submit(other));
                    let first = submit(version);
                    match (first, concurrent.join().unwrap_or(false)) {
                        (true, false) => version,
                        (false, true) => other,
                        results => {
                            self.add_violation(format!(
                                "two concurrent changes on base {base}: exactly one must be \
                                 acknowledged, got {results:?}"
                            ));
                            base
                        }
                    }
                })
            } else if submit(version) {
                version
            } else {
                self.add_violation(format!("change on base {base} was rejected"));
                base
            };
            if accepted > base {
                routes.push(accepted);
                lock(&self.versions).push((accepted, Instant::now()));
            }
        }
    }

    /// Sends a document to the replicas in turn until one responds with a status below 500; returns
    /// whether the document was acknowledged.
    fn submit_change(&self, base: u64, document: &serde_json::Value) -> bool {
        let mut replica = 0;
        let code = wait_for("a definite response to a change", || {
            replica = (replica + 1) % self.topology.replicas;
            let platform = lock(&self.mesh).platform_addr(replica);
            put_document(&platform, base, document).filter(|code| *code < 500)
        });
        if !matches!(code, 200 | 412) {
            self.add_violation(format!("valid change on base {base} got status {code}"));
        }
        code == 200
    }

    /// Reports the old (0) or the new (1) backend servers of the rollouts at the replica of that number,
    /// and orders the rollouts after the first reports.
    fn run_rollouts(&self, n: usize) {
        let mut left: Vec<&RolloutRun> = self.rollouts.iter().collect();
        for sequence in 1.. {
            if self.is_done() {
                return;
            }
            let platform = lock(&self.mesh).platform_addr(n);
            let report = |rollout: &RolloutRun| rollout.report(n, &platform, sequence);
            self.rollouts.iter().for_each(report);
            if n == 0 && sequence > 2 {
                left.retain(|rollout| !rollout.order(&platform));
            }
            std::thread::sleep(REPORT_INTERVAL);
        }
    }

    /// Records the states of the rollouts at a daemon.
    fn observe_rollouts(&self, n: usize) {
        let platform = lock(&self.mesh).platform_addr(n);
        while !self.is_done() {
            for rollout in &self.rollouts {
                let restart_count = || self.restart_counts[n].load(Ordering::Relaxed);
                rollout.observe(&platform, || (n, restart_count()));
            }
            std::thread::sleep(self.shared_pause(2 * CALL_INTERVAL));
        }
    }

    /// Sends requests for the services that have rollouts. Their results are not recorded.
    fn call_services_with_rollouts(&self, n: usize) {
        let addr = lock(&self.mesh).outbound_addr(n);
        let mut serial = 0;
        while !self.is_done() {
            for rollout in &self.rollouts {
                serial += 1;
                rollout.call(&addr, &format!("o{n}-{serial}"));
            }
            std::thread::sleep(self.shared_pause(CALL_INTERVAL));
        }
    }

    /// Waits for the decisions; one that is missing is found in the record.
    fn wait_for_rollouts(&self) {
        let limit = Instant::now() + RECOVERY_LIMIT;
        let is_decided = |rollout: &RolloutRun| rollout.decision().is_some();
        while !self.rollouts.iter().all(is_decided) && Instant::now() < limit {
            std::thread::sleep(CALL_INTERVAL);
        }
    }

    /// Starts and ends the faults at their times.
    fn inject_faults(&self, started: Instant, planned: &[PlannedFault]) {
        let mut actions: Vec<(Duration, bool, &Fault)> = Vec::new();
        for planned in planned {
            actions.push((planned.from, true, &planned.fault));
            actions.push((planned.until, false, &planned.fault));
        }
        actions.sort_by_key(|(at, is_start, _)| (*at, *is_start));
        for (at, is_start, fault) in actions {
            std::thread::sleep((started + at).saturating_duration_since(Instant::now()));
            match is_start {
                true => self.start_fault(fault),
                false => self.end_fault(fault),
            }
        }
    }

    fn start_fault(&self, fault: &Fault) {
        let mut mesh = lock(&self.mesh);
        match fault {
            Fault::Pause { daemon } => mesh.signal_if_running(*daemon, Signal::STOP),
            Fault::Kill { daemon } => mesh.kill(*daemon),
            Fault::Stop { daemon } => mesh.signal_if_running(*daemon, Signal::TERM),
            Fault::Hangup { daemon } => mesh.signal_if_running(*daemon, Signal::HUP),
            Fault::PlannedStop { daemon } => {
                lock(&self.stops).push((*daemon, Instant::now()));
                mesh.terminate(*daemon);
            }
            Fault::KillReplicas => (0..self.topology.replicas).for_each(|n| mesh.kill(n)),
            Fault::TearLog { replica } => {
                mesh.kill(*replica);
                tear_logs(&mesh.store_dir(*replica), &mut self.rng(*replica));
            }
            Fault::LoseDisk { replica } => {
                mesh.kill(*replica);
                std::fs::remove_dir_all(mesh.store_dir(*replica)).expect("cannot remove the store");
            }
            Fault::Links { subject, fault } => mesh.faults.set(subject, Some(*fault)),
            Fault::EndConnections { subject, fault } => {
                mesh.faults.end_connections(subject, *fault)
            }
            Fault::Server { daemon, script } => self.set_script(*daemon, *script),
            Fault::Servers { daemons, script } => {
                daemons.iter().for_each(|n| self.set_script(*n, *script));
            }
            Fault::Replace { daemon } => self.sidecar_servers(*daemon).is_leaving = true,
        }
    }

    fn end_fault(&self, fault: &Fault) {
        let mut mesh = lock(&self.mesh);
        match fault {
            Fault::Pause { daemon } => mesh.signal_if_running(*daemon, Signal::CONT),
            Fault::Kill { daemon } | Fault::Stop { daemon } => self.restart(&mut mesh, *daemon),
            Fault::PlannedStop { daemon } => {
                if !mesh.has_exited(*daemon) {
                    self.add_violation(format!("daemon {daemon} runs on after its grace period"));
                }
                self.restart(&mut mesh, *daemon);
            }
            Fault::TearLog { replica } | Fault::LoseDisk { replica } => {
                self.restart(&mut mesh, *replica);
            }
            Fault::KillReplicas => {
                (0..self.topology.replicas).for_each(|n| self.restart(&mut mesh, n));
            }
            Fault::Links { subject, .. } => mesh.faults.set(subject, None),
            Fault::EndConnections { .. } | Fault::Replace { .. } | Fault::Hangup { .. } => {}
            Fault::Server { daemon, .. } => self.reset_script(*daemon),
            Fault::Servers { daemons, .. } => daemons.iter().for_each(|n| self.reset_script(*n)),
        }
    }

    /// Restarts a daemon, and kills it first if it is still running.
    fn restart(&self, mesh: &mut Mesh, n: usize) {
        mesh.kill(n);
        self.restart_counts[n].fetch_add(1, Ordering::Relaxed);
        mesh.start_daemon(n, false);
    }

    fn reset_script(&self, n: usize) {
        let script = self.plan.profile.script(n - self.topology.replicas);
        self.set_script(n, script);
    }

    fn set_script(&self, n: usize, script: Script) {
        let mut sidecar = self.sidecar_servers(n);
        sidecar.script = script;
        if let Some((_, server)) = sidecar.servers.last() {
            server.set_script(script);
        }
    }

    /// Waits until each sidecar serves requests, including the route of the newest version.
    /// Adds a violation if that takes longer than [`RECOVERY_LIMIT`], and one for each daemon that
    /// exited on its own.
    fn wait_until_served(&self) {
        let recovery_started = Instant::now();
        for n in self.topology.replicas..self.topology.replicas + self.topology.sidecars {
            let addr = lock(&self.mesh).outbound_addr(n);
            let mut tries = 0;
            while recovery_started.elapsed() < RECOVERY_LIMIT {
                tries += 1;
                let (version, _) = *lock(&self.versions)
                    .last()
                    .unwrap_or(&(1, recovery_started));
                let served = [
                    RequestKind::View,
                    RequestKind::Commit,
                    RequestKind::Version(version),
                ]
                .map(|kind| {
                    let stream = TcpStream::connect(&addr).ok()?;
                    let row = vec![(format!("w{n}-{tries}-{kind:?}"), kind)];
                    let (requests, _) = self.send_row(stream, row, n, RECOVERY_DEADLINE);
                    let result = requests.first()?.result;
                    lock(&self.requests).extend(requests);
                    matches!(result, RequestResult::Response { is_echo: true, .. }).then_some(())
                });
                if served.iter().all(Option::is_some) {
                    break;
                }
                std::thread::sleep(CALL_INTERVAL);
            }
        }
        if recovery_started.elapsed() >= RECOVERY_LIMIT {
            self.add_violation(format!(
                "requests still not served {RECOVERY_LIMIT:?} after the last fault"
            ));
        }
        let mut mesh = lock(&self.mesh);
        for n in 0..self.restart_counts.len() {
            if mesh.has_exited(n) {
                self.add_violation(format!("daemon {n} exited on its own"));
            }
        }
    }

    /// Checks that every replica returns the version that was acknowledged last.
    fn check_documents(&self) {
        let newest = lock(&self.versions)
            .last()
            .map_or(1, |(version, _)| *version);
        for n in 0..self.topology.replicas {
            let platform = lock(&self.mesh).platform_addr(n);
            let check_started = Instant::now();
            let mut read = serde_json::Value::Null;
            while read.is_null() && check_started.elapsed() < RECOVERY_LIMIT {
                let text = "GET /foxtailgauge/config HTTP/1.1\r\nHost: x\r\n\r\n";
                let response = exchange(&platform, text).unwrap_or_default();
                if status(&response) == 200 {
                    read = serde_json::from_str(body(&response)).unwrap_or_default();
                }
                std::thread::sleep(CALL_INTERVAL);
            }
            if read["version"] != format!("{newest:08x}") {
                let version = &read["version"];
                self.add_violation(format!(
                    "replica {n} returned version {version}, last acknowledged was {newest:08x}"
                ));
            }
        }
    }

    /// Checks the record of the run and returns the violations. If there are any, keeps the
    /// daemons' files and writes the record to their directory.
    fn finish(self, started: Instant, planned: Vec<PlannedFault>) -> Vec<String> {
        let servers_with_times = self.sidecar_servers.into_iter().flat_map(|sidecar| {
            let sidecar = sidecar.into_inner().unwrap_or_else(PoisonError::into_inner);
            sidecar.servers.into_iter().zip(sidecar.left_at)
        });
        let servers = servers_with_times.map(|((name, server), left_at)| ServerRecord {
            name,
            arrivals: lock(&server.received).clone(),
            left_at,
        });
        let record = Record {
            started,
            planned,
            requests: self
                .requests
                .into_inner()
                .unwrap_or_else(PoisonError::into_inner),
            servers: servers.collect(),
            stops: self
                .stops
                .into_inner()
                .unwrap_or_else(PoisonError::into_inner),
            waits: self
                .waits
                .into_inner()
                .unwrap_or_else(PoisonError::into_inner),
            versions: self
                .versions
                .into_inner()
                .unwrap_or_else(PoisonError::into_inner),
            run_violations: self
                .violations
                .into_inner()
                .unwrap_or_else(PoisonError::into_inner),
        };
        let mut violations = record.violations();
        for rollout in &self.rollouts {
            violations.extend(rollout.violations(started, &record.planned));
        }
        println!("{:?}: {}", self.plan, record.summary());
        if !violations.is_empty() {
            let mesh = self
                .mesh
                .into_inner()
                .unwrap_or_else(PoisonError::into_inner);
            let dir = mesh.keep_files();
            let traces = trace::traces(&record, &violations, &dir);
            std::fs::write(dir.join("traces"), traces).expect("cannot write the traces");
            let text = record.text(&violations);
            std::fs::write(dir.join("record"), text).expect("cannot write the record");
            println!("logs, record and traces in {}", dir.display());
        }
        violations
    }
}

/// Appends random bytes to the logs, as a write that was never synced may leave after the synced
/// records.
fn tear_logs(store: &std::path::Path, rng: &mut StdRng) {
    for group in ["config", "ledger"] {
        let log = store.join(group).join("log");
        let Ok(mut file) = std::fs::File::options().append(true).open(&log) else {
            continue;
        };
        let mut torn_bytes = vec![0; rng.random_range(1..200)];
        rng.fill(&mut torn_bytes[..]);
        file.write_all(&torn_bytes)
            .expect("cannot append to the log");
    }
}
