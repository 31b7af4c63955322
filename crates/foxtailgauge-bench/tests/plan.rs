//! Planned fleets: their ports.

use foxtailgauge_bench::plan::{self, Deployment, PlanArguments};
use foxtailgauge_bench::relay::RelayPlan;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

/// Fleets planned; each has six links.
const FLEETS: usize = 200;
/// Threads that start processes meanwhile.
const STARTERS: usize = 6;

#[test]
fn planned_ports_are_free_at_once_while_processes_start() {
    let is_over = AtomicBool::new(false);
    let taken = std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let taken: Vec<_> = (0..FLEETS).flat_map(|_| taken_links()).collect();
        is_over.store(true, Ordering::Relaxed);
        taken
    });
    assert!(taken.is_empty(), "{taken:?}");
}

/// Plans a fleet; returns the links that cannot be listened on.
fn taken_links() -> Vec<String> {
    let dir = tempfile::tempdir().unwrap();
    plan::run(&PlanArguments {
        deployment: Deployment::Trio,
        scale: 1,
        cuttable: true,
        batch_ms: 20,
        dir: dir.path().to_owned(),
    })
    .unwrap();
    let text = std::fs::read(dir.path().join("relay.json")).unwrap();
    let plan: RelayPlan = serde_json::from_slice(&text).unwrap();
    let failures = plan.links.iter().filter_map(|link| {
        let bound = TcpListener::bind(link.listen);
        bound.err().map(|error| format!("{}: {error}", link.listen))
    });
    failures.collect()
}
