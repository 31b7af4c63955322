//! Ports of planned fleets.

use foxtailgauge_bench::plan::{self, Deployment, PlanArguments};
use foxtailgauge_bench::relay::RelayPlan;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

/// Number of planned fleets; each has six links.
const FLEET_COUNT: usize = 200;
/// Number of threads that spawn processes while the fleets are planned.
const SPAWNER_THREADS: usize = 6;

/// Guards against ports that stay occupied after planning: a process that is spawned during the
/// probe of a port inherits the probing socket for a moment.
#[test]
fn planned_ports_are_free_at_once_while_processes_start() {
    let is_done = AtomicBool::new(false);
    let occupied = std::thread::scope(|scope| {
        for _ in 0..SPAWNER_THREADS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let occupied: Vec<_> = (0..FLEET_COUNT).flat_map(|_| occupied_links()).collect();
        is_done.store(true, Ordering::Relaxed);
        occupied
    });
    assert!(occupied.is_empty(), "{occupied:?}");
}

/// Plans a fleet; returns the errors of links whose address cannot be listened on.
fn occupied_links() -> Vec<String> {
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
