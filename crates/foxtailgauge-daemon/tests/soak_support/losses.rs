//! One replica after the other is replaced, with and without a signal, and another one loses its disk 0 to
//! 4 s later, beside cuts and pauses. After each, an order is acknowledged and every replica returns it.

use super::profile::Plan;
use crate::mesh_support::{document, newest_version, put_document, wait_for, Mesh, Topology};
use foxtailgauge_bench::relay::LinkFault;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// Most replacements of one run.
const MAX_ROUNDS: usize = 8;
/// Time that a successor or a returned replica is given before the next one is removed.
const CATCH_UP: Duration = Duration::from_secs(5);
/// Time within which the group serves once all are back.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// What happens to a replica beside the loss.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    Pause,
    Cut,
}

struct Losses {
    mesh: Mesh,
    rng: StdRng,
    replicas: Vec<usize>,
    /// Newest acknowledged version.
    acknowledged: u64,
    violations: Vec<String>,
}

/// Makes a run with three or four replicas, by the seed; returns the violations.
pub fn run(plan: Plan) -> Vec<String> {
    let replicas = 3 + plan.seed as usize % 2;
    let topology = Topology {
        replicas,
        sidecars: 0,
        ..plan.topology
    };
    let mut losses = Losses {
        mesh: Mesh::start_with_spares(topology, MAX_ROUNDS),
        rng: StdRng::seed_from_u64(plan.seed),
        replicas: (0..replicas).collect(),
        acknowledged: 0,
        violations: Vec::new(),
    };
    losses.order_and_read("the start");
    let started = Instant::now();
    let mut rounds = 0;
    while rounds < MAX_ROUNDS && losses.violations.is_empty() {
        losses.replace_and_lose(rounds);
        rounds += 1;
        if started.elapsed() >= plan.duration {
            break;
        }
    }
    let acknowledged = losses.acknowledged;
    println!("{plan:?}: {replicas} replicas, {rounds} rounds, {acknowledged} versions");
    if !losses.violations.is_empty() {
        println!("logs in {}", losses.mesh.keep_files().display());
    }
    losses.violations
}

impl Losses {
    fn replace_and_lose(&mut self, round: usize) {
        let successor = self.mesh.spare(round);
        self.mesh.seeds = self.replicas.clone();
        self.mesh.start_daemon(successor, false);
        let mesh = &self.mesh;
        wait_for("the document at the successor", || {
            newest_version(mesh, successor)
        });
        std::thread::sleep(CATCH_UP);
        let index = self.rng.random_range(0..self.replicas.len());
        let removed = self.replicas.remove(index);
        self.replicas.push(successor);
        let has_signal = self.rng.random_bool(0.5);
        if has_signal {
            self.mesh.terminate(removed);
            self.mesh.wait_for_exit(removed);
        } else {
            self.mesh.kill(removed);
        }
        let loss_after_ms = match self.rng.random_range(0..3) {
            0 => 0,
            1 => self.rng.random_range(0..1_000),
            _ => self.rng.random_range(0..4_000),
        };
        let ended = Instant::now();
        let lost = *self.replicas.choose(&mut self.rng).expect("a replica");
        let disturbed = self.disturb(lost);
        let loss_after = Duration::from_millis(loss_after_ms);
        if loss_after_ms > 0 {
            // Without a leader there is no answer, or a late one.
            self.order_once();
            std::thread::sleep(loss_after.saturating_sub(ended.elapsed()));
        }
        self.mesh.kill(lost);
        std::fs::remove_dir_all(self.mesh.store_dir(lost)).expect("the store");
        std::thread::sleep(Duration::from_millis(self.rng.random_range(200..1_500)));
        self.mesh.seeds = self.replicas.clone();
        self.mesh.start_daemon(lost, false);
        self.end_disturbance(disturbed);
        self.order_and_read(&format!(
            "round {round}: {removed} removed (signal: {has_signal}), {lost} without its disk {loss_after_ms} ms \
             later, disturbed: {disturbed:?}"
        ));
        std::thread::sleep(CATCH_UP);
    }

    /// Cuts off or pauses a replica that keeps its disk, in half of the rounds.
    fn disturb(&mut self, lost: usize) -> Option<(usize, Disturbance)> {
        if self.rng.random_bool(0.5) {
            return None;
        }
        let others: Vec<usize> = self
            .replicas
            .iter()
            .copied()
            .filter(|n| *n != lost)
            .collect();
        let n = *others.choose(&mut self.rng)?;
        let kind = match self.rng.random_bool(0.5) {
            true => Disturbance::Pause,
            false => Disturbance::Cut,
        };
        match kind {
            Disturbance::Pause => self.mesh.signal(n, Signal::STOP),
            Disturbance::Cut => self.mesh.faults.set(&format!("d{n}"), Some(LinkFault::Cut)),
        }
        Some((n, kind))
    }

    fn end_disturbance(&self, disturbed: Option<(usize, Disturbance)>) {
        match disturbed {
            Some((n, Disturbance::Pause)) => self.mesh.signal(n, Signal::CONT),
            Some((n, Disturbance::Cut)) => self.mesh.faults.set(&format!("d{n}"), None),
            None => {}
        }
    }

    /// Orders the next version once, at each replica until one answers.
    fn order_once(&mut self) -> bool {
        // An order without an answer may be in force.
        let read = |n: &usize| newest_version(&self.mesh, *n);
        let base = self.replicas.iter().filter_map(read).max();
        let base = base.unwrap_or(self.acknowledged).max(self.acknowledged);
        let next = document(base + 1);
        let is_acknowledged = self
            .replicas
            .iter()
            .any(|n| put_document(&self.mesh.platform_addr(*n), base, &next) == Some(200));
        if is_acknowledged {
            self.acknowledged = base + 1;
        }
        is_acknowledged
    }

    fn order_and_read(&mut self, what: &str) {
        let started = Instant::now();
        while !self.order_once() {
            if started.elapsed() >= RECOVERY_LIMIT {
                let violation = format!("{what}: no order acknowledged");
                return self.violations.push(violation);
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
        for n in self.replicas.clone() {
            let mut read = None;
            while read < Some(self.acknowledged) && started.elapsed() < RECOVERY_LIMIT {
                read = newest_version(&self.mesh, n);
                std::thread::sleep(RETRY_INTERVAL);
            }
            if read < Some(self.acknowledged) {
                let newest = self.acknowledged;
                let violation = format!("{what}: replica {n} returned {read:?}, not {newest}");
                self.violations.push(violation);
            }
        }
    }
}
