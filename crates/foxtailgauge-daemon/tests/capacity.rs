//! What operators see of the capacity of real daemons.

mod mesh_support;

use mesh_support::{body, document, exchange, status, wait_for, Mesh, Script, Server};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

fn get(mesh: &Mesh, n: usize, key: &str) -> u16 {
    let text = format!(
        "GET /view/1 HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 1000\r\n\
         Authorization: Bearer {key}\r\n\r\n"
    );
    status(&exchange(&mesh.outbound_addr(n), &text).unwrap_or_default())
}

/// Samples of a metric, as lines without the prefix of the name.
fn samples(mesh: &Mesh, n: usize, name: &str) -> Vec<String> {
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let response = exchange(&mesh.metrics_addr(n), text).unwrap_or_default();
    assert_eq!(status(&response), 200);
    let lines = body(&response).lines();
    let samples = lines.filter_map(|line| line.strip_prefix("foxtailgauge_")?.strip_prefix(name));
    samples.map(str::to_owned).collect()
}

/// Guards against a pace that is known to the queue only, and against one that stays after the
/// backend server was slow.
#[test]
fn pace_of_a_server_is_exported() {
    let mesh = Mesh::start(1);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let server = Server::start();
    assert_eq!(mesh.report(1, "i-1", &server.addr, "ready", 1), 200);
    let pace = || {
        let lines = samples(&mesh, 1, "server_pace_percent{server=\"i-1\"} ");
        let [value] = &lines[..] else {
            panic!("{lines:?}");
        };
        value.parse::<f64>().expect("a number")
    };
    wait_for("a response", || (get(&mesh, 1, "") == 200).then_some(()));
    assert_eq!(pace(), 100.0);
    server.set_extra_headers("Server-Load: 1,0,4,250\r\n");
    assert_eq!(get(&mesh, 1, ""), 200);
    let stated = pace();
    assert!(stated > 100.0 && stated <= 250.0, "{stated}");
    wait_for("the normal pace", || (pace() < 101.0).then_some(()));
}

/// Guards against refusals whose workspace or reason operators cannot find, and against time series
/// that grow with the number of workspaces.
#[test]
fn refusals_are_counted_for_a_bounded_number_of_workspaces() {
    const WORKSPACES: usize = 300;
    const MAX_COUNTED: usize = 256;
    let mut document = document(1);
    let tenant = |n: usize| json!({"name": format!("w{n}"), "api_keys": [format!("k{n}")]});
    document["tenants"] = (0..WORKSPACES).map(tenant).collect();
    let mesh = Mesh::start(1);
    assert_eq!(mesh.put_document(0, &document), 200);
    wait_for("readiness", || mesh.is_ready(1).then_some(()));
    assert_eq!(get(&mesh, 1, "unknown"), 401);
    for round in 1..=2 {
        for n in 0..WORKSPACES {
            assert_eq!(get(&mesh, 1, &format!("k{n}")), 503);
        }
        let lines = samples(&mesh, 1, "workspace_refusals_total");
        let label = |workspace: &str| format!("{{workspace=\"{workspace}\",reason=\"no_server\"}}");
        let others = round * (WORKSPACES - MAX_COUNTED);
        for (workspace, count) in [("w0", round), ("other", others)] {
            let line = format!("{} {count}", label(workspace));
            assert!(lines.contains(&line), "{line}: {lines:?}");
        }
        assert_eq!(lines.len(), MAX_COUNTED + 1);
    }
}

/// Status and body of a read in the operators' API of a daemon.
fn read(mesh: &Mesh, n: usize, target: &str) -> (u16, Value) {
    let text = format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n");
    let response = exchange(&mesh.admin_addr(n), &text).unwrap_or_default();
    let value = serde_json::from_str(body(&response)).unwrap_or_default();
    (status(&response), value)
}

/// Guards against figures of other daemons that are guessed or out of date, against a daemon that
/// does not answer and is passed over, and against messages although nobody asks.
#[test]
fn servers_of_all_daemons_are_shown_and_missing_daemons_are_named() {
    const PATH: &str = "/v1/servers";
    let mesh = Mesh::start(2);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let servers = [Server::start(), Server::start()];
    for (n, server) in (1..).zip(&servers) {
        let name = format!("i-{n}");
        assert_eq!(mesh.report(n, &name, &server.addr, "ready", 1), 200);
        wait_for("a response", || (get(&mesh, n, "") == 200).then_some(()));
    }
    let received = "control_payload_bytes_total{direction=\"received\",kind=\"submit\"}";
    assert_eq!(samples(&mesh, 2, received), [""; 0]);
    wait_for("both backend servers in the directory", || {
        (read(&mesh, 0, PATH).1["answered"] == 2).then_some(())
    });
    servers[0].set_extra_headers("Server-Limit: 40.5\r\n");
    assert_eq!(get(&mesh, 1, ""), 200);
    servers[0].set_script(Script::Slow(900));
    servers[0].clear_received();
    std::thread::scope(|scope| {
        let in_flight = scope.spawn(|| get(&mesh, 1, ""));
        wait_for("the arrival", || {
            (servers[0].received_count() == 1).then_some(())
        });
        let (status, reply) = read(&mesh, 0, PATH);
        assert_eq!((status, &reply["answered"]), (200, &json!(2)), "{reply}");
        let expected = |domain: &str, running: u32, rate_limited: u32| {
            json!({"service": "mesh/viewer", "failure_domain": domain, "servers": 1,
                "unanswered": 0, "ready": 1, "slots": 4, "running": running, "waiting": 0,
                "lowest_pace_percent": 100, "highest_pace_percent": 100,
                "rate_limited": rate_limited, "rate_limit_milli": rate_limited * 40_500})
        };
        let groups = json!([expected("z1", 1, 1), expected("z2", 0, 0)]);
        assert_eq!(reply["groups"]["entries"], groups);
        assert_eq!(reply["servers"], json!([]));
        assert_eq!(in_flight.join().expect("a response"), 200);
    });
    assert_eq!(samples(&mesh, 2, received).len(), 1);
    let (status, reply) = read(&mesh, 1, "/v1/servers?service=mesh/viewer");
    assert_eq!(status, 200);
    let names = reply["servers"].as_array().expect("a list").iter();
    let names: Vec<&Value> = names.map(|server| &server["load"]["server"]).collect();
    assert_eq!(names, ["i-1", "i-2"]);
    let unknown = read(&mesh, 1, "/v1/servers?service=mesh/gone");
    assert_eq!(unknown, (404, json!({"code": "not_found"})));

    mesh.pause(2);
    let asked_at = Instant::now();
    let (status, reply) = read(&mesh, 0, PATH);
    mesh.signal(2, Signal::CONT);
    assert!(asked_at.elapsed() < Duration::from_secs(4));
    let missing = json!({"count": 1, "names": ["d2"]});
    assert_eq!((status, &reply["missing"]), (200, &missing), "{reply}");
    let groups = reply["groups"]["entries"].as_array().expect("a list");
    // Once the daemon counts as lost, its server is no longer listed at all.
    let in_domain = groups.iter().find(|g| g["failure_domain"] == "z2");
    if let Some(group) = in_domain {
        let figures = (&group["servers"], &group["slots"], &group["unanswered"]);
        assert_eq!(figures, (&json!(0), &json!(0), &json!(1)), "{group}");
    }
}

/// Guards against limited workspaces that only the leader can show, or without what they send.
#[test]
fn limited_workspaces_are_shown_with_their_demand() {
    const PATH: &str = "/v1/workspaces";
    let mut document = document(1);
    document["tenants"] = json!([
        {"name": "atelier", "api_keys": ["k1"], "rate_per_s": 5, "burst": 4},
        {"name": "museum", "api_keys": ["k2"], "rate_per_s": 500, "burst": 500}]);
    let mut mesh = Mesh::start(1);
    assert_eq!(mesh.put_document(0, &document), 200);
    wait_for("readiness", || mesh.is_ready(1).then_some(()));
    let server = Server::start();
    assert_eq!(mesh.report(1, "i-1", &server.addr, "ready", 1), 200);
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                get(&mesh, 1, "k1");
                get(&mesh, 1, "k2");
                std::thread::sleep(Duration::from_millis(15));
            }
        });
        let limited = wait_for("a limited workspace", || {
            let (_, reply) = read(&mesh, 1, PATH);
            let limited = reply["workspaces"]["entries"].as_array()?.clone();
            (!limited.is_empty()).then_some(limited)
        });
        is_over.store(true, Ordering::Relaxed);
        let [atelier] = &limited[..] else {
            panic!("{limited:?}");
        };
        let fixed = [&atelier["workspace"], &atelier["rate_milli"]];
        assert_eq!(fixed, [&json!("atelier"), &json!(5_000)]);
        assert_eq!(atelier["burst_requests"], 4);
        assert!(atelier["share_ppm"].as_u64() < Some(1_000_000), "{atelier}");
        assert!(atelier["demand_milli"].as_u64() > Some(5_000), "{atelier}");
    });
    mesh.kill(0);
    assert_eq!(read(&mesh, 1, PATH), (503, json!({"code": "unavailable"})));
}
