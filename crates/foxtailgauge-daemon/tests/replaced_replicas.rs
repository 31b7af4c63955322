//! Real daemons while all replicas that their settings name are replaced by others.

mod mesh_support;

use foxtailgauge_bench::relay::LinkFault;
use mesh_support::{
    body, document, document_with_report_route, exchange, header, newest_version, put_json, status,
    wait_for, Mesh, Server, Topology,
};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Time that the group is given before the next replica is removed.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time within which a change is in force everywhere.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time within which daemons have found the replicas again that had lost all of them.
const RECOVERY: Duration = Duration::from_secs(15);

fn start(replicas: usize, sidecars: usize, spares: usize, has_links: bool) -> Mesh {
    let topology = Topology {
        replicas,
        sidecars,
        domains: replicas,
        has_links,
    };
    let mesh = Mesh::start_with_spares(topology, spares);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    for n in replicas..replicas + sidecars {
        wait_for("readiness", || mesh.is_ready(n).then_some(()));
        wait_for("a directory of all daemons", || {
            let local = admin_get(&mesh, n, "/v1/local")?;
            (local["live_daemons"] == replicas + sidecars).then_some(())
        });
    }
    mesh
}

/// Replaces the replicas in an order, each by the spare replica of its failure domain. A successor
/// starts with seeds of which one runs.
fn replace(mesh: &mut Mesh, order: &[usize]) {
    for n in order {
        let spare = mesh.spare(*n);
        mesh.replace(*n, spare);
        mesh.seeds.retain(|seed| seed != n);
        mesh.seeds.push(spare);
        wait_for("the document at the successor", || {
            newest_version(mesh, spare)
        });
        std::thread::sleep(CATCH_UP);
    }
}

/// A document with one more route than [`document`].
fn put(mesh: &Mesh, n: usize, base: u64, document: &Value) {
    wait_for("the acknowledgement", || {
        let status = mesh_support::put_document(&mesh.platform_addr(n), base, document);
        (status == Some(200)).then_some(())
    });
}

fn get(mesh: &Mesh, n: usize, target: &str, headers: &str) -> String {
    let text = format!(
        "GET {target} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 1000\r\n\
         {headers}\r\n"
    );
    exchange(&mesh.outbound_addr(n), &text).unwrap_or_default()
}

/// Adds a route and waits until sidecars know it; panics after `limit`.
fn assert_change_reaches(mesh: &Mesh, at: usize, sidecars: &[usize], limit: Duration) {
    put(mesh, at, 1, &document_with_report_route(2));
    let acknowledged_at = Instant::now();
    for n in sidecars {
        // Without a backend server, a known route is answered with 503.
        while status(&get(mesh, *n, "/report/1", "")) != 503 {
            let age = acknowledged_at.elapsed();
            if age >= limit {
                let sources = mesh.grep(*n, "\"event\":31");
                panic!("sidecar {n} has an older version after {age:?}: {sources:#?}");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Guards against sidecars that poll only the replicas of their settings: they kept the configuration
/// that they had when the last of these was removed.
#[test]
fn sidecars_get_changes_after_all_replicas_were_replaced() {
    for (replicas, order) in [(3, vec![0, 1, 2]), (3, vec![2, 0, 1])] {
        let mut mesh = start(replicas, 3, replicas, false);
        replace(&mut mesh, &order);
        assert_change_reaches(&mesh, mesh.spare(0), &[3, 4, 5], CONFIG_APPLY);
    }
}

/// The same with even and larger groups, whose settings name all of their replicas.
#[test]
fn larger_groups_are_replaced_as_a_whole() {
    for (replicas, order) in [(4, vec![3, 1, 0, 2]), (5, vec![0, 2, 4, 1, 3])] {
        let mut mesh = start(replicas, 2, replicas, false);
        replace(&mut mesh, &order);
        let sidecars = [replicas, replicas + 1];
        assert_change_reaches(&mesh, mesh.spare(0), &sidecars, CONFIG_APPLY);
    }
}

/// Guards against a sidecar that was cut off while all replicas that it knows were removed: only the
/// other sidecars can tell it where the new ones are.
#[test]
fn sidecar_that_was_cut_off_meanwhile_learns_the_replicas_from_other_daemons() {
    let mut mesh = start(3, 2, 3, true);
    mesh.faults.set("d3", Some(LinkFault::Cut));
    replace(&mut mesh, &[0, 1, 2]);
    mesh.faults.set("d3", None);
    assert_change_reaches(&mesh, mesh.spare(1), &[3, 4], RECOVERY);
}

/// Guards against a replica that asks only replicas that are gone to take it back: it was removed from
/// the group while it stood still, and the others were replaced before it went on.
#[test]
fn replica_that_stood_still_while_all_others_were_replaced_joins_again() {
    let mut mesh = start(4, 2, 4, false);
    mesh.pause(3);
    std::thread::sleep(CATCH_UP);
    replace(&mut mesh, &[0, 1, 2]);
    put(&mesh, mesh.spare(0), 1, &document_with_report_route(2));
    mesh.signal(3, Signal::CONT);
    wait_for("the newest document", || {
        newest_version(&mesh, 3).filter(|version| *version == 2)
    });
    wait_for("contact with the group", || {
        let local = admin_get(&mesh, 3, "/v1/local")?;
        local["quorum_age_ms"].as_u64().filter(|age| *age < 1_000)
    });
}

/// Guards against a new replica that asks for the group only the replicas that its settings named at
/// its start.
#[test]
fn new_replica_joins_by_seeds_written_while_it_waits() {
    let mut mesh = start(3, 0, 4, false);
    replace(&mut mesh, &[0, 1, 2]);
    let (current, late) = (mesh.seeds.clone(), mesh.spare(3));
    mesh.seeds = vec![0, 1, 2];
    mesh.start_daemon(late, false);
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(newest_version(&mesh, late), None, "all its seeds are gone");
    mesh.seeds = current;
    mesh.write_settings(late, false);
    wait_for("the document", || newest_version(&mesh, late));
}

/// Guards against a signal that is not handled until the group is found.
#[test]
fn replica_that_waits_for_its_group_ends_at_sigterm() {
    let mut mesh = start(3, 0, 1, false);
    let late = mesh.spare(0);
    mesh.seeds = vec![late];
    mesh.start_daemon(late, false);
    wait_for("the start", || mesh.grep(late, "\"event\":1001").pop());
    mesh.terminate(late);
    mesh.wait_for_exit(late);
    assert_eq!(newest_version(&mesh, 0), Some(1));
}

/// Guards against a sidecar that restarts while its settings name removed replicas, and is never ready
/// again; with and without a signal once they name others.
#[test]
fn restarted_sidecar_finds_the_replicas_once_its_settings_name_them() {
    let mut mesh = start(3, 2, 3, false);
    replace(&mut mesh, &[0, 1, 2]);
    let current = mesh.seeds.clone();
    mesh.seeds = vec![0, 1, 2];
    for n in [3, 4] {
        mesh.kill(n);
        mesh.start_daemon(n, false);
    }
    std::thread::sleep(Duration::from_secs(3));
    assert!(!mesh.is_ready(3) && !mesh.is_ready(4), "all seeds are gone");
    mesh.seeds = current;
    for n in [3, 4] {
        mesh.write_settings(n, false);
    }
    mesh.signal(4, Signal::HUP);
    for n in [3, 4] {
        wait_for("readiness", || mesh.is_ready(n).then_some(()));
        let changed = mesh.grep(n, "\"event\":1009");
        assert_eq!(changed.len(), 1, "{changed:?}");
    }
}

/// Guards against sidecars that are never ready again after a restart, as their settings name only removed
/// replicas: alone, and together with all replicas, which then know the sidecars from their disks.
#[test]
fn restarted_sidecars_that_know_only_removed_replicas_are_ready_again() {
    for is_all_at_once in [false, true] {
        let mut mesh = start(3, 3, 3, false);
        replace(&mut mesh, &[0, 1, 2]);
        let current = std::mem::replace(&mut mesh.seeds, vec![0, 1, 2]);
        let killed: Vec<usize> = match is_all_at_once {
            true => (3..6).chain(current).collect(),
            false => (3..6).collect(),
        };
        killed.iter().for_each(|n| mesh.kill(*n));
        killed.iter().for_each(|n| mesh.start_daemon(*n, false));
        let restarted_at = Instant::now();
        for n in 3..6 {
            while !mesh.is_ready(n) {
                let age = restarted_at.elapsed();
                assert!(age < RECOVERY, "sidecar {n}, all at once: {is_all_at_once}");
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        assert_change_reaches(&mesh, mesh.spare(0), &[3, 4, 5], CONFIG_APPLY);
    }
}

/// Guards against a settings file that is replaced by one with errors while the daemon runs.
#[test]
fn unreadable_seeds_leave_the_previous_ones() {
    let mesh = start(3, 1, 0, false);
    std::fs::write(mesh.path("d3.ini"), "[replicas]\nseeds = nowhere\n").expect("the settings");
    mesh.signal(3, Signal::HUP);
    wait_for("the log line", || mesh.grep(3, "\"event\":1010").pop());
    assert_change_reaches(&mesh, 0, &[3], CONFIG_APPLY);
}

fn admin_get(mesh: &Mesh, n: usize, target: &str) -> Option<Value> {
    let text = format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n");
    let response = exchange(&mesh.admin_addr(n), &text)?;
    let value = serde_json::from_str(body(&response)).ok()?;
    (status(&response) == 200).then_some(value)
}

/// Guards against clients of the replicas on sidecars that know only the first ones: the status of the
/// fleet, the ledger and the rollouts.
#[test]
fn sidecars_reach_the_leader_after_all_replicas_were_replaced() {
    let mut mesh = start(3, 3, 3, false);
    let server = Server::start();
    let text = "[services/desk]\n[routes/plans]\nprefix = /plans\nmethods = GET\nservice = desk\n\
                deadline_ms = 5000\nidempotent = false\n";
    let change = json!({"change_id": "c1", "base_revision": 0, "text": text, "author": "test"});
    put_json(&mesh.admin_addr(0), "/v1/teams/rybar/config", &change);
    let announcement = json!({"service": "rybar/desk", "addr": server.addr, "slots": 20,
        "state": "ready", "lease_ms": 60_000});
    put_json(&mesh.announce_addr(3), "/v1/servers/desk-1", &announcement);
    replace(&mut mesh, &[1, 0, 2]);
    for n in [3, 4, 5] {
        let key = uuid::Uuid::now_v7();
        let text = format!(
            "GET /plans/1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: {key}\r\n\
             Foxtailgauge-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
        );
        let response = exchange(&mesh.callers_addr(n), &text).unwrap_or_default();
        let outcome = header(&response, "foxtailgauge-outcome");
        assert_eq!(outcome.as_deref(), Some("ran"), "sidecar {n}: {response}");
        let rollouts = "GET /foxtailgauge/rollouts/viewer HTTP/1.1\r\nHost: x\r\n\r\n";
        let response = exchange(&mesh.platform_addr(n), rollouts).unwrap_or_default();
        assert_eq!(status(&response), 404, "sidecar {n}: {response}");
    }
    let status = wait_for("a status with all sidecars", || {
        let status = admin_get(&mesh, 5, "/v1/status")?;
        let held = status["held"].as_array()?;
        let count = |held: &Value| held["members"]["daemons"].as_u64().unwrap_or(0);
        (held.iter().map(count).sum::<u64>() == 6).then_some(status)
    });
    let versions = status["held"].as_array().expect("a list").iter();
    let versions: Vec<&Value> = versions.map(|held| &held["version"]).collect();
    assert!(
        versions.iter().all(|v| **v == status["version"]),
        "{status}"
    );
}

/// Guards against allotments that are counted by removed collectors only: workspaces would be held to
/// a share for as long as the sidecar runs.
#[test]
fn allotments_are_admitted_after_all_replicas_were_replaced() {
    const RATE_PER_S: u64 = 40;
    let mut mesh = start(3, 3, 3, false);
    replace(&mut mesh, &[2, 1, 0]);
    let mut with_allotment = document(2);
    with_allotment["tenants"] = json!([{"name": "atelier", "api_keys": ["k-atelier"],
        "rate_per_s": RATE_PER_S, "burst": RATE_PER_S}]);
    put(&mesh, mesh.spare(0), 1, &with_allotment);
    let key = "Authorization: Bearer k-atelier\r\n";
    for n in 3..6 {
        wait_for("the allotment", || {
            (status(&get(&mesh, n, "/view/1", "")) == 401).then_some(())
        });
        // Without a backend server, an admitted request is answered with 503.
        wait_for("shares of a collector", || {
            (status(&get(&mesh, n, "/view/1", key)) == 503).then_some(())
        });
        // The replica that was killed last is listed until its lease has ended.
        wait_for("a directory without removed replicas", || {
            let local = admin_get(&mesh, n, "/v1/local")?;
            (local["live_daemons"] == 6).then_some(())
        });
    }
    let removed = [0, 1, 2].map(|n| {
        let addr = mesh.platform_addr(n);
        let (ip, _) = addr.split_once(':').expect("a port");
        format!("\"collector\":\"{ip}:")
    });
    let sent_to_removed = || -> Vec<Value> {
        let lines = (3..6).flat_map(|n| removed.iter().map(move |text| (n, text)));
        lines.flat_map(|(n, text)| mesh.grep(n, text)).collect()
    };
    let before = sent_to_removed();
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(sent_to_removed(), before, "reports to removed collectors");
}
