//! Real daemons whose settings file cannot be read to its end, as on a disk that stands still.

mod mesh_support;

use mesh_support::{
    document, document_with_report_route, knows_report_route, put_document, wait_for, Mesh,
    Topology,
};
use rustix::process::Signal;
use std::process::Command;
use std::time::Duration;

const REPLICAS: usize = 3;
/// Time for which all replicas are dark: sidecars search for them and read their seeds again.
const DARK_TIME: Duration = Duration::from_secs(7);
/// Time within which a change is in force everywhere.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Replaces the settings file of a daemon by a pipe that nobody writes to.
fn freeze_settings(mesh: &Mesh, n: usize) {
    let file = mesh.path(&format!("d{n}.ini"));
    std::fs::remove_file(&file).expect("cannot remove the settings");
    let made = Command::new("mkfifo").arg(&file).status();
    assert!(made.expect("cannot start mkfifo").success());
}

/// Guards against sidecars that stand still as a whole while they wait for their settings file.
#[test]
fn sidecars_get_changes_while_their_settings_files_cannot_be_read() {
    // Daemons inherit it: with more threads, more searches are needed to stop all of them.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "2");
    let topology = Topology {
        replicas: REPLICAS,
        sidecars: REPLICAS,
        domains: REPLICAS,
        has_links: false,
    };
    let mesh = Mesh::start_with(topology);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let sidecars = REPLICAS..2 * REPLICAS;
    for n in sidecars.clone() {
        wait_for("readiness", || mesh.is_ready(n).then_some(()));
        freeze_settings(&mesh, n);
        mesh.signal(n, Signal::HUP);
    }
    (0..REPLICAS).for_each(|n| mesh.pause(n));
    std::thread::sleep(DARK_TIME);
    (0..REPLICAS).for_each(|n| mesh.signal(n, Signal::CONT));
    let change = document_with_report_route(2);
    wait_for("the acknowledgement", || {
        let status = put_document(&mesh.platform_addr(0), 1, &change);
        (status == Some(200)).then_some(())
    });
    std::thread::sleep(CONFIG_APPLY);
    let behind: Vec<_> = sidecars
        .filter(|n| !knows_report_route(&mesh, *n))
        .collect();
    let logs: Vec<_> = behind.iter().map(|n| mesh.grep(*n, "\"event\":")).collect();
    assert!(behind.is_empty(), "{behind:?} behind: {logs:#?}");
}
