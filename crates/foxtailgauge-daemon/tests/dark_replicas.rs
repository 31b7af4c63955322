//! Real daemons while replicas, removed ones among them, neither answer nor refuse connections.

mod mesh_support;

use mesh_support::{
    document, document_with_report_route, knows_report_route, newest_version, put_document,
    wait_for, Mesh, Topology,
};
use rustix::process::Signal;
use std::time::{Duration, Instant};

const REPLICAS: usize = 3;
const SIDECARS: usize = 6;
/// Time that the group is given before the next replica is removed.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time for which all replicas are dark: longer than their sources' reports take to fail.
const DARK_TIME: Duration = Duration::from_secs(7);
/// Time within which a change is in force everywhere.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Replaces a replica. The removed one stands still to the end of the test, so that connections to it
/// hang like those to a machine that is gone.
fn replace_silently(mesh: &mut Mesh, removed: usize, successor: usize) {
    mesh.pause(removed);
    std::thread::sleep(Duration::from_secs(1));
    mesh.seeds.retain(|seed| *seed != removed);
    mesh.start_daemon(successor, false);
    mesh.seeds.push(successor);
    wait_for("the document at the successor", || {
        newest_version(mesh, successor)
    });
    std::thread::sleep(CATCH_UP);
}

/// Guards against sidecars that avoid the replicas which did not answer while they were dark, and try
/// removed ones in turn: they got an acknowledged change up to 5 s later.
#[test]
fn sidecars_get_changes_in_time_after_all_replicas_were_dark() {
    let topology = Topology {
        replicas: REPLICAS,
        sidecars: SIDECARS,
        domains: REPLICAS,
        has_links: false,
    };
    let mut mesh = Mesh::start_with_spares(topology, 2 * REPLICAS);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let sidecars = REPLICAS..REPLICAS + SIDECARS;
    for n in sidecars.clone() {
        wait_for("readiness", || mesh.is_ready(n).then_some(()));
    }
    let mut replicas: Vec<usize> = (0..REPLICAS).collect();
    for turn in 0..2 {
        for (n, replica) in replicas.iter_mut().enumerate() {
            let successor = mesh.spare(turn * REPLICAS + n);
            replace_silently(&mut mesh, *replica, successor);
            *replica = successor;
        }
    }
    replicas.iter().for_each(|n| mesh.pause(*n));
    std::thread::sleep(DARK_TIME);
    replicas.iter().for_each(|n| mesh.signal(*n, Signal::CONT));
    let change = document_with_report_route(2);
    wait_for("the acknowledgement", || {
        let status = put_document(&mesh.platform_addr(replicas[0]), 1, &change);
        (status == Some(200)).then_some(())
    });
    let acknowledged_at = Instant::now();
    std::thread::sleep(CONFIG_APPLY);
    let behind: Vec<_> = sidecars
        .filter(|n| !knows_report_route(&mesh, *n))
        .collect();
    let sources = |n: &usize| (*n, mesh.grep(*n, "\"event\":31"));
    let logs: Vec<_> = behind.iter().map(sources).collect();
    let age = acknowledged_at.elapsed();
    assert!(
        behind.is_empty(),
        "{behind:?} behind after {age:?}: {logs:#?}"
    );
}
