//! All replicas are replaced in turn, several times, beside cuts, pauses, restarts and changes; callers at
//! every sidecar see which version is in force.

use super::profile::Plan;
use super::requests::document_with_routes;
use super::run::lock;
use super::starvation::{longest, watch, ThreadWait, WaitKind};
use crate::mesh_support::{
    exchange, newest_version, put_document, status, wait_for, Mesh, Topology,
};
use foxtailgauge_bench::relay::LinkFault;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Replacements of each replica.
const TURNS: usize = 3;
/// Time that the group is given before the next replica is removed.
const CATCH_UP: Duration = Duration::from_secs(4);
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
const CHANGE_INTERVAL: Duration = Duration::from_millis(900);
const CALL_INTERVAL: Duration = Duration::from_millis(150);
/// Time within which a change is in force everywhere.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Time after a fault until a daemon is in touch again, and the group stable.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time by which an unstable group may delay a change.
const MAX_STRETCH: Duration = Duration::from_secs(5);
/// Time after which a process that applied a version must not apply an older one.
const REGRESSION_SLACK: Duration = Duration::from_millis(250);
/// The settings of the users' platform: a poll without changes lasts as long as there.
const POLL_TIMEOUT_MS: u64 = 1_000;
/// Time after the last fault until the last change is made and checked.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// What a caller at a sidecar saw of the route that a version added.
struct Observation {
    sidecar: usize,
    restart_count: u64,
    version: u64,
    at: Instant,
    is_known: bool,
}

struct Turnover {
    plan: Plan,
    mesh: Mutex<Mesh>,
    /// Current replicas; the one that is being replaced is not among them.
    replicas: Mutex<Vec<usize>>,
    /// Versions and the times of their acknowledgement.
    acknowledged: Mutex<Vec<(u64, Instant)>>,
    observations: Mutex<Vec<Observation>>,
    /// Times at which something was done to a replica or its links.
    group_events: Mutex<Vec<Instant>>,
    /// The same for sidecars.
    sidecar_events: Mutex<Vec<(usize, Instant)>>,
    restart_counts: Vec<AtomicU64>,
    waits: Mutex<Vec<ThreadWait>>,
    violations: Mutex<Vec<String>>,
    is_done: AtomicBool,
}

/// Makes a run; returns the violations of what is promised for changes.
pub fn run(plan: Plan) -> Vec<String> {
    let Topology {
        replicas, sidecars, ..
    } = plan.topology;
    let mut mesh = Mesh::start_with_spares(plan.topology, TURNS * replicas);
    mesh.poll_timeout_ms = Some(POLL_TIMEOUT_MS);
    let run = Turnover {
        plan,
        mesh: Mutex::new(mesh),
        replicas: Mutex::new((0..replicas).collect()),
        acknowledged: Mutex::default(),
        observations: Mutex::default(),
        group_events: Mutex::default(),
        sidecar_events: Mutex::default(),
        restart_counts: (0..replicas + sidecars)
            .map(|_| AtomicU64::new(0))
            .collect(),
        waits: Mutex::default(),
        violations: Mutex::default(),
        is_done: AtomicBool::new(false),
    };
    // All daemons start anew with the settings of the run.
    for n in replicas..replicas + sidecars {
        run.restart(n);
    }
    run.change();
    std::thread::scope(|scope| {
        let run = &run;
        for n in replicas..replicas + sidecars {
            wait_for("readiness", || lock(&run.mesh).is_ready(n).then_some(()));
            scope.spawn(move || run.call(n));
        }
        scope.spawn(|| run.submit_changes());
        scope.spawn(|| run.disturb_sidecars());
        scope.spawn(|| {
            watch(
                replicas + sidecars,
                |daemon| lock(&run.mesh).pid(daemon),
                || run.is_done(),
                |wait| lock(&run.waits).push(wait),
            );
        });
        run.replace_replicas();
        run.is_done.store(true, Ordering::Relaxed);
    });
    run.finish()
}

impl Turnover {
    fn is_done(&self) -> bool {
        self.is_done.load(Ordering::Relaxed)
    }

    fn rng(&self, salt: u64) -> StdRng {
        StdRng::seed_from_u64(self.plan.seed.wrapping_mul(1_000).wrapping_add(salt))
    }

    fn restart(&self, n: usize) {
        let mut mesh = lock(&self.mesh);
        mesh.kill(n);
        self.restart_counts[n].fetch_add(1, Ordering::Relaxed);
        mesh.start_daemon(n, false);
    }

    fn note_group_event(&self) {
        lock(&self.group_events).push(Instant::now());
    }

    /// Replaces each replica in turn until the time is over, at least once; between the turns, and at
    /// the end, all replicas are dark or killed at the same time.
    fn replace_replicas(&self) {
        let mut rng = self.rng(0);
        let started = Instant::now();
        let count = self.plan.topology.replicas;
        for turn in 0..TURNS {
            for n in 0..count {
                let is_dark = rng.random_bool(0.5);
                self.replace(turn * count + n, is_dark);
            }
            self.stop_all_replicas(&mut rng);
            if started.elapsed() >= self.plan.duration {
                break;
            }
        }
        std::thread::sleep(CONTACT_TIME + APPLY_LIMIT + CHANGE_INTERVAL * 3);
    }

    /// Replaces the replica that has lasted longest by the spare one of that number. A dark one neither answers
    /// nor refuses connections to the end of the run.
    fn replace(&self, spare: usize, is_dark: bool) {
        let removed = lock(&self.replicas).remove(0);
        self.note_group_event();
        match is_dark {
            true => lock(&self.mesh).signal(removed, Signal::STOP),
            false => lock(&self.mesh).kill(removed),
        }
        std::thread::sleep(SUCCESSOR_DELAY);
        let successor = {
            let mut mesh = lock(&self.mesh);
            let successor = mesh.spare(spare);
            mesh.seeds.retain(|seed| *seed != removed);
            mesh.start_daemon(successor, false);
            mesh.seeds.push(successor);
            successor
        };
        let platform = lock(&self.mesh).platform_addr(successor);
        wait_for("the document at the successor", || {
            newest_version_at(&platform)
        });
        self.note_group_event();
        lock(&self.replicas).push(successor);
        std::thread::sleep(CATCH_UP);
    }

    /// All replicas stop at the same time: they stand still, or are killed and started again.
    fn stop_all_replicas(&self, rng: &mut StdRng) {
        let replicas = lock(&self.replicas).clone();
        let stop_time = Duration::from_millis(rng.random_range(500..8_000));
        let is_dark = rng.random_bool(0.6);
        self.note_group_event();
        for n in &replicas {
            match is_dark {
                true => lock(&self.mesh).signal(*n, Signal::STOP),
                false => lock(&self.mesh).kill(*n),
            }
        }
        std::thread::sleep(stop_time);
        for n in &replicas {
            match is_dark {
                true => lock(&self.mesh).signal(*n, Signal::CONT),
                false => lock(&self.mesh).start_daemon(*n, false),
            }
        }
        self.note_group_event();
    }

    /// Pauses, restarts and cuts off single sidecars, and sends them SIGHUP with new settings.
    fn disturb_sidecars(&self) {
        let mut rng = self.rng(1);
        let topology = self.plan.topology;
        while !self.is_done() {
            std::thread::sleep(Duration::from_millis(rng.random_range(200..1_500)));
            let n = topology.replicas + rng.random_range(0..topology.sidecars);
            let length = Duration::from_millis(rng.random_range(100..3_000));
            let note = || lock(&self.sidecar_events).push((n, Instant::now()));
            note();
            match rng.random_range(0..4) {
                0 => {
                    lock(&self.mesh).signal(n, Signal::STOP);
                    std::thread::sleep(length);
                    lock(&self.mesh).signal(n, Signal::CONT);
                }
                1 => self.restart(n),
                2 => {
                    let subject = format!("d{n}");
                    lock(&self.mesh).faults.set(&subject, Some(LinkFault::Cut));
                    std::thread::sleep(length);
                    lock(&self.mesh).faults.set(&subject, None);
                }
                _ => {
                    let mesh = lock(&self.mesh);
                    mesh.write_settings(n, false);
                    mesh.signal(n, Signal::HUP);
                }
            }
            note();
        }
    }

    fn submit_changes(&self) {
        while !self.is_done() {
            std::thread::sleep(CHANGE_INTERVAL);
            self.change();
        }
    }

    /// Adds a route, and tries at other replicas until one acknowledges it or the run ends.
    fn change(&self) {
        let (base, routes) = {
            let acknowledged = lock(&self.acknowledged);
            let routes: Vec<u64> = acknowledged.iter().map(|(version, _)| *version).collect();
            (routes.last().copied().unwrap_or(0), routes)
        };
        let version = base + 1;
        let document = document_with_routes(&[&routes[..], &[version]].concat(), version);
        let mut rng = self.rng(version);
        let mut may_be_in_force = false;
        while !self.is_done() {
            let replica = lock(&self.replicas).choose(&mut rng).copied();
            let replica = replica.expect("no replicas");
            let platform = lock(&self.mesh).platform_addr(replica);
            match put_document(&platform, base, &document) {
                Some(200) => {
                    lock(&self.acknowledged).push((version, Instant::now()));
                    return;
                }
                Some(code) if code < 500 && !may_be_in_force => {
                    let violation = format!("valid change {version} on base {base} got {code}");
                    lock(&self.violations).push(violation);
                    return;
                }
                _ => may_be_in_force = true,
            }
            std::thread::sleep(CALL_INTERVAL);
        }
    }

    /// Asks again and again for the route of the newest version.
    fn call(&self, n: usize) {
        let addr = lock(&self.mesh).outbound_addr(n);
        while !self.is_done() {
            std::thread::sleep(CALL_INTERVAL);
            let Some((version, _)) = lock(&self.acknowledged).last().copied() else {
                continue;
            };
            let restart_count = || self.restart_counts[n].load(Ordering::Relaxed);
            let (before, at) = (restart_count(), Instant::now());
            let text = format!(
                "GET /v{version}/1 HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: t{n}\r\n\
                 Deadline-Ms: 1000\r\n\r\n"
            );
            let response = exchange(&addr, &text).unwrap_or_default();
            // Without a backend server, a known route is answered with 503, as is any before the first version.
            let is_known = match status(&response) {
                404 => false,
                503 if response.contains("no_configuration") => continue,
                503 => true,
                _ => continue,
            };
            if before == restart_count() {
                lock(&self.observations).push(Observation {
                    sidecar: n,
                    restart_count: before,
                    version,
                    at,
                    is_known,
                });
            }
        }
    }

    /// Time from which a version must be in force: later while something happens to the group, by
    /// `MAX_STRETCH` at most.
    fn due_at(&self, acknowledged_at: Instant) -> Instant {
        let latest = acknowledged_at + APPLY_LIMIT + MAX_STRETCH;
        let mut due_at = acknowledged_at + APPLY_LIMIT;
        for at in lock(&self.group_events).iter() {
            if *at <= due_at && *at + CONTACT_TIME >= acknowledged_at {
                due_at = due_at.max(*at + CONTACT_TIME);
            }
        }
        due_at.min(latest)
    }

    fn late_violation(&self, observation: &Observation) -> Option<String> {
        let acknowledged = lock(&self.acknowledged).clone();
        let (_, at) = *acknowledged
            .iter()
            .find(|(version, _)| *version == observation.version)?;
        let is_affected = lock(&self.sidecar_events).iter().any(|(n, event_at)| {
            *n == observation.sidecar
                && *event_at + CONTACT_TIME >= at
                && *event_at <= observation.at
        });
        let is_late = !observation.is_known && observation.at > self.due_at(at) && !is_affected;
        is_late.then(|| {
            let age = observation.at.duration_since(at);
            let (sidecar, version) = (observation.sidecar, observation.version);
            let waits = lock(&self.waits);
            let wait = |kind| longest(&waits, kind, sidecar, at, observation.at);
            format!(
                "sidecar {sidecar} lacks version {version} {age:?} after its acknowledgement \
                 (threads waited {:?} for a processor, {:?} uninterruptibly, {:?} on one taken away)",
                wait(WaitKind::Processor),
                wait(WaitKind::Uninterruptible),
                wait(WaitKind::Stolen)
            )
        })
    }

    fn regressions(&self) -> Vec<String> {
        let observations = lock(&self.observations);
        let is_older = |lacking: &Observation, known: &Observation| {
            known.is_known
                && known.sidecar == lacking.sidecar
                && known.restart_count == lacking.restart_count
                && known.version >= lacking.version
                && known.at + REGRESSION_SLACK < lacking.at
        };
        let lacking = observations.iter().filter(|o| !o.is_known);
        let regressed = lacking.filter(|o| observations.iter().any(|known| is_older(o, known)));
        regressed
            .map(|o| format!("sidecar {} went back behind {}", o.sidecar, o.version))
            .collect()
    }

    fn check_replicas(&self) {
        let newest = lock(&self.acknowledged).last().map(|(version, _)| *version);
        for n in lock(&self.replicas).iter() {
            let started = Instant::now();
            let mut read = None;
            while read.is_none() && started.elapsed() < RECOVERY_LIMIT {
                read = newest_version(&lock(&self.mesh), *n);
                std::thread::sleep(CALL_INTERVAL);
            }
            if read < newest {
                let violation = format!("replica {n} returned {read:?}, acknowledged {newest:?}");
                lock(&self.violations).push(violation);
            }
        }
    }

    fn finish(self) -> Vec<String> {
        self.check_replicas();
        let mut violations = lock(&self.violations).clone();
        let late = lock(&self.observations);
        violations.extend(late.iter().filter_map(|o| self.late_violation(o)));
        let known = late.iter().filter(|o| o.is_known).count();
        println!(
            "{:?}: {} changes, {} observations, {known} of them with the newest version",
            self.plan,
            lock(&self.acknowledged).len(),
            late.len()
        );
        drop(late);
        violations.extend(self.regressions());
        if !violations.is_empty() {
            let mesh = self.mesh.into_inner().expect("a thread panicked");
            println!("logs in {}", mesh.keep_files().display());
        }
        violations
    }
}

fn newest_version_at(platform: &str) -> Option<u64> {
    let read = "GET /foxtailgauge/config HTTP/1.1\r\nHost: x\r\n\r\n";
    (status(&exchange(platform, read)?) == 200).then_some(0)
}
