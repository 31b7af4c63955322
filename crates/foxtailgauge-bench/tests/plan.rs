//! Ports of planned fleets.

use foxtailgauge_bench::plan::{self, Deployment, PlanArguments};
use foxtailgauge_bench::ports::{free_ports, BLOCK_PORTS};
use foxtailgauge_bench::relay::RelayPlan;
use std::net::{IpAddr, Ipv4Addr, TcpListener};
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

/// Number of processes that allocate ports at the same time.
const ALLOCATORS: usize = 40;
/// Set in such a process.
const ALLOCATOR: &str = "FOXTAILGAUGE_TEST_ALLOCATOR";

/// Guards against test processes that take each other's ports. Started again by itself, the test
/// allocates blocks and prints them.
#[test]
fn processes_allocate_different_ports() {
    let allocate = || free_ports(&[IpAddr::from(Ipv4Addr::LOCALHOST)], BLOCK_PORTS / 2);
    if std::env::var_os(ALLOCATOR).is_some() {
        for _ in 0..6 {
            println!("first={}", allocate().expect("no free ports"));
        }
        // The ports remain allocated until all processes have theirs.
        std::thread::sleep(std::time::Duration::from_secs(1));
        return;
    }
    let program = std::env::current_exe().expect("no path of the test");
    let start = |_| {
        Command::new(&program)
            .args([
                "--exact",
                "processes_allocate_different_ports",
                "--nocapture",
            ])
            .env(ALLOCATOR, "1")
            .stdout(std::process::Stdio::piped())
            .spawn()
            .expect("cannot start the test again")
    };
    let children: Vec<_> = (0..ALLOCATORS).map(start).collect();
    let mut firsts: Vec<u16> = Vec::new();
    for child in children {
        let output = child.wait_with_output().expect("no output");
        let text = String::from_utf8_lossy(&output.stdout);
        let lines = text.lines().filter_map(|line| line.split_once("first="));
        firsts.extend(lines.filter_map(|(_, port)| port.trim().parse::<u16>().ok()));
    }
    assert_eq!(firsts.len(), 6 * ALLOCATORS);
    firsts.sort_unstable();
    let overlaps = firsts
        .windows(2)
        .filter(|pair| pair[1] - pair[0] < BLOCK_PORTS / 2);
    assert_eq!(overlaps.count(), 0, "{firsts:?}");
}
