//! Plain HTTP through real daemons while backend servers, callers and daemons misbehave: rows of
//! requests on one connection, answers that come twice or never, restarts, silence.

mod mesh_support;

use foxtailgauge_bench::relay::LinkFault;
use mesh_support::{
    body, document, exchange, header, newest_version, read_message, report, status, wait_for, Mesh,
    Script, Server, Topology,
};
use rustix::process::Signal;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Starts sidecars, of which the last one has a backend server beside it.
fn start(sidecars: usize) -> (Mesh, Server) {
    let mesh = Mesh::start(sidecars);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let server = Server::start();
    assert_eq!(mesh.report(sidecars, "i-1", &server.addr, "ready", 5), 200);
    for n in 1..=sidecars {
        wait_for("readiness", || mesh.is_ready(n).then_some(()));
        wait_for("a response", || {
            (status(&view(&mesh, n, "first")) == 200).then_some(())
        });
    }
    server.clear_received();
    (mesh, server)
}

fn request(method: &str, target: &str, id: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n"
    )
}

fn view(mesh: &Mesh, n: usize, id: &str) -> String {
    let text = request("GET", &format!("/view/{id}"), id);
    exchange(&mesh.outbound_addr(n), &text).unwrap_or_default()
}

/// Sends requests at once on one connection and reads the responses to its end.
fn send_row(mesh: &Mesh, ids: &[&str], after_sending: impl FnOnce()) -> Vec<String> {
    let row: Vec<_> = ids
        .iter()
        .map(|id| request("GET", &format!("/view/{id}"), id))
        .collect();
    send_texts(mesh, &row, after_sending)
}

fn send_texts(mesh: &Mesh, row: &[String], after_sending: impl FnOnce()) -> Vec<String> {
    let mut stream = TcpStream::connect(mesh.outbound_addr(1)).unwrap();
    let timeout = Duration::from_secs(5);
    stream.set_read_timeout(Some(timeout)).unwrap();
    stream.write_all(row.concat().as_bytes()).unwrap();
    after_sending();
    row.iter()
        .map_while(|_| read_message(&mut stream))
        .collect()
}

#[test]
fn responses_to_a_row_of_requests_come_in_order() {
    let (mesh, server) = start(1);
    for (script, expected) in [
        (Script::Echo, 200),
        (Script::Slow(50), 200),
        (Script::Fail, 500),
        (Script::Decline, 503),
    ] {
        server.set_script(script);
        let ids = ["row-1", "row-2", "row-3"];
        let responses = send_row(&mesh, &ids, || {});
        assert_eq!(responses.len(), ids.len(), "{script:?}: {responses:?}");
        for (id, response) in ids.iter().zip(&responses) {
            assert_eq!(status(response), expected, "{script:?}: {response}");
            if expected == 200 {
                let line = format!("GET /view/{id} HTTP/1.1");
                assert_eq!(body(response).lines().next(), Some(line.as_str()));
            }
        }
    }
}

/// Callers send what stands behind a response that closes the connection again. Safe requests behind
/// it may have been forwarded before (pipelining.rs).
#[test]
fn request_behind_a_closing_response_is_not_passed_on() {
    let (mesh, server) = start(1);
    server.set_script(Script::Slow(300));
    let row = [
        request("GET", "/view/row-1", "row-1"),
        request("POST", "/commit/row-2", "row-2"),
        request("GET", "/view/row-3", "row-3"),
    ];
    let responses = send_texts(&mesh, &row, || {
        wait_for("the first request", || {
            (server.received_count() > 0).then_some(())
        });
        mesh.terminate(1);
    });
    assert_eq!(responses.len(), 1, "{responses:?}");
    assert_eq!(status(&responses[0]), 200, "{}", responses[0]);
    assert_eq!(
        header(&responses[0], "connection").as_deref(),
        Some("close")
    );
    assert_eq!(server.received_count(), 1);
}

#[test]
fn second_copy_of_an_answer_reaches_nobody() {
    let (mesh, server) = start(1);
    server.set_script(Script::Twice);
    for n in 0..20 {
        let id = format!("twice-{n}");
        let response = view(&mesh, 1, &id);
        let line = format!("GET /view/{id} HTTP/1.1");
        match status(&response) {
            200 => assert_eq!(body(&response).lines().next(), Some(line.as_str())),
            // The copy arrived while the request was being sent.
            502 => {}
            _ => panic!("{response}"),
        }
        // Between 10 and 50 ms: before, at and after the second copy.
        std::thread::sleep(Duration::from_millis(10 + 10 * (n % 5)));
    }
}

#[test]
fn server_that_never_answers_ends_its_request_in_time_and_its_connection() {
    let (mesh, server) = start(1);
    server.set_script(Script::Hang);
    let started = Instant::now();
    let commit = exchange(
        &mesh.outbound_addr(1),
        &request("POST", "/commit/1", "hang-1"),
    );
    assert_eq!(status(&commit.unwrap_or_default()), 504);
    assert!(started.elapsed() < Duration::from_millis(1_500));
    assert_eq!(server.received_count(), 1, "at most once");
    server.set_script(Script::Echo);
    assert_eq!(status(&view(&mesh, 1, "after")), 200);
}

/// A report sent before the backend server left arrives after its daemon has restarted.
#[test]
fn server_that_left_stays_out_after_a_restart_of_its_daemon() {
    let (mut mesh, server) = start(2);
    server.is_leaving.store(true, Ordering::Relaxed);
    let leave =
        "DELETE /foxtailgauge/instances/i-1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    let left = exchange(&mesh.platform_addr(2), leave).unwrap_or_default();
    assert_eq!(status(&left), 200);
    wait_for("the other daemon to know", || {
        (status(&view(&mesh, 1, "gone")) == 503).then_some(())
    });
    mesh.kill(2);
    mesh.start_daemon(2, false);
    wait_for("readiness", || mesh.is_ready(2).then_some(()));
    server.clear_received();
    report(&mesh.platform_addr(2), "i-1", &server.addr, "ready", 4);
    std::thread::sleep(Duration::from_millis(500));
    for n in [1, 2] {
        assert_eq!(status(&view(&mesh, n, "again")), 503, "through daemon {n}");
    }
    assert_eq!(server.received_count(), 0);
}

#[test]
fn malformed_bytes_at_any_port_leave_the_daemon_up() {
    let (mut mesh, _server) = start(1);
    let inputs: [&[u8]; 5] = [
        b"\0\0\0\0",
        b"\xff\xff\xff\xff\xff\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
        b"PUT /foxtailgauge/instances/x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n\xff{\"",
        &[7; 70_000],
    ];
    let addrs = |mesh: &Mesh, n: usize| {
        let platform = mesh.platform_addr(n);
        let (ip, platform_port) = platform.split_once(':').unwrap();
        let first: u16 = platform_port.parse::<u16>().unwrap() - 7;
        (first..first + 9)
            .map(|port| format!("{ip}:{port}"))
            .collect::<Vec<_>>()
    };
    for n in [0, 1] {
        for addr in addrs(&mesh, n) {
            for input in inputs {
                if let Ok(mut stream) = TcpStream::connect(&addr) {
                    // The daemon may close the connection at the first byte.
                    let _ = stream.write_all(input);
                }
            }
        }
    }
    std::thread::sleep(Duration::from_millis(300));
    assert!(!mesh.has_exited(0) && !mesh.has_exited(1));
    assert_eq!(status(&view(&mesh, 1, "after")), 200);
}

/// A daemon that stands still for a while keeps its running request: it is not run elsewhere.
#[test]
fn request_at_a_daemon_that_stands_still_is_not_run_again() {
    let (mesh, server) = start(2);
    let second = Server::start();
    assert_eq!(mesh.report(1, "i-2", &second.addr, "ready", 1), 200);
    server.set_script(Script::Slow(200));
    second.set_script(Script::Decline);
    let addr = mesh.outbound_addr(1);
    let caller =
        std::thread::spawn(move || exchange(&addr, &request("POST", "/commit/1", "still")));
    wait_for("the run", || (server.received_count() > 0).then_some(()));
    mesh.pause(2);
    second.set_script(Script::Echo);
    let response = caller.join().unwrap().unwrap_or_default();
    mesh.signal(2, Signal::CONT);
    assert!(
        matches!(status(&response), 502 | 504),
        "the outcome is unknown: {response}"
    );
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(server.received_count(), 1);
    let runs = second
        .received
        .lock()
        .unwrap()
        .iter()
        .filter(|a| a.is_started)
        .count();
    assert_eq!(runs, 0, "not run at the other server");
}

/// Number of routes of a document, and of documents in the log, that take longer to apply than an
/// election timeout if each is read completely.
const LARGE_DOCUMENT_ROUTES: usize = 1_200;
const LOGGED_DOCUMENTS: u64 = 10;

fn large_document(version: u64) -> serde_json::Value {
    let mut large = document(version);
    let rules = &mut large["listeners"][0]["rule_set"];
    let template = rules[0].clone();
    for n in 0..LARGE_DOCUMENT_ROUTES {
        let mut rule = template.clone();
        rule["name"] = format!("idle-{n}").into();
        rule["match"]["path_prefix"] = format!("/idle-{n}/").into();
        rules.as_array_mut().expect("a list").push(rule);
    }
    large["listeners"][0]["rule_set"][2]["action"]["timeout_ms"] = (1_000 + version).into();
    large
}

/// All replicas restart and apply the documents of their logs.
#[test]
fn restarted_replicas_keep_their_first_leader() {
    let topology = mesh_support::Topology {
        replicas: 3,
        sidecars: 0,
        domains: 3,
        has_links: false,
    };
    let mut mesh = Mesh::start_with(topology);
    for version in 1..=LOGGED_DOCUMENTS {
        assert_eq!(
            mesh.put_document(version - 1, &large_document(version)),
            200
        );
    }
    // Each election has a term of its own. Lines of one replica may be left out, as their number in a
    // second is limited, but a term is logged by all three.
    let term = |mesh: &Mesh| {
        let lines = (0..3).flat_map(|n| mesh.grep(n, "\"event\":2103"));
        lines
            .filter(|line| line["group"] == "config")
            .filter_map(|line| line["term"].as_u64())
            .max()
            .unwrap_or(0)
    };
    let before = term(&mesh);
    (0..3).for_each(|n| mesh.kill(n));
    (0..3).for_each(|n| mesh.start_daemon(n, false));
    let read = "GET /foxtailgauge/config HTTP/1.1\r\nHost: x\r\n\r\n";
    for n in 0..3 {
        wait_for("the document", || {
            let response = exchange(&mesh.platform_addr(n), read)?;
            (status(&response) == 200).then_some(())
        });
    }
    std::thread::sleep(Duration::from_secs(1));
    let roles: Vec<_> = (0..3)
        .flat_map(|n| mesh.grep(n, "\"event\":2103"))
        .collect();
    assert_eq!(term(&mesh) - before, 1, "{roles:#?}");
}

/// Changes after which a replica writes a snapshot.
const CHANGES_TO_SNAPSHOT: u64 = 20;

/// The disk of a replica fills up and has space again later.
#[test]
fn replica_takes_part_again_once_its_disk_has_space() {
    let mesh = Mesh::start(0);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    // Writes to this device fail for lack of space.
    let next_snapshot = mesh.store_dir(0).join("config").join("snapshot.new");
    std::os::unix::fs::symlink("/dev/full", &next_snapshot).unwrap();
    let mut version = 1;
    // A change without a definite answer may be in force, and then is the newest document.
    let mut unanswered = None;
    while mesh.grep(0, "\"event\":2003").is_empty() && version < CHANGES_TO_SNAPSHOT {
        let status =
            mesh_support::put_document(&mesh.platform_addr(0), version, &document(version + 1));
        let is_accepted = status == Some(200);
        unanswered = (!is_accepted).then_some(version + 1);
        version += u64::from(is_accepted);
    }
    wait_for("the failure", || mesh.grep(0, "no space left").pop());
    std::fs::remove_file(&next_snapshot).unwrap();
    let version = wait_for("the document", || {
        let newest = newest_version(&mesh, 0)?;
        (newest == version || Some(newest) == unanswered).then_some(newest)
    });
    assert_eq!(mesh.put_document(version, &document(version + 1)), 200);
}

/// All replicas end right after a change was acknowledged; as many as may be lost at once come back
/// without their disks.
#[test]
fn acknowledged_change_survives_lost_disks_while_all_others_end() {
    for (replicas, lost) in [(3, vec![0]), (3, vec![1]), (3, vec![2]), (5, vec![0, 3])] {
        let mut mesh = Mesh::start_with(mesh_support::Topology {
            replicas,
            sidecars: 0,
            domains: replicas,
            has_links: false,
        });
        assert_eq!(mesh.put_document(0, &document(1)), 200);
        for n in 0..replicas {
            wait_for("the first document", || newest_version(&mesh, n));
        }
        assert_eq!(mesh.put_document(1, &document(2)), 200);
        (0..replicas).for_each(|n| mesh.kill(n));
        for n in &lost {
            std::fs::remove_dir_all(mesh.store_dir(*n)).expect("cannot remove the store");
        }
        (0..replicas).for_each(|n| mesh.start_daemon(n, false));
        for n in 0..replicas {
            let version = wait_for("the document", || newest_version(&mesh, n));
            assert_eq!(version, 2, "{replicas} replicas, {lost:?} without disks");
        }
    }
}

/// Guards against records of crashes that go with the daemons that saw them: a request that had been
/// refused crashed further servers once these daemons had restarted.
#[test]
fn request_that_crashes_servers_is_refused_after_all_sidecars_restarted() {
    let mut mesh = Mesh::start(3);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    for n in 1..=3 {
        wait_for("readiness", || mesh.is_ready(n).then_some(()));
    }
    let commit = |mesh: &Mesh, n: usize, name: &str| {
        let text = request("POST", &format!("/commit/{name}"), name);
        exchange(&mesh.outbound_addr(n), &text).unwrap_or_default()
    };
    for n in [1, 2] {
        let server = Server::start();
        assert_eq!(
            mesh.report(n, &format!("i-{n}"), &server.addr, "ready", 1),
            200
        );
        wait_for("a response", || {
            (status(&commit(&mesh, n, "first")) == 200).then_some(())
        });
        server.set_script(Script::Crash);
        assert_eq!(status(&commit(&mesh, n, "poison")), 502);
    }
    for n in [1, 2, 3] {
        mesh.kill(n);
        mesh.start_daemon(n, false);
        wait_for("readiness", || mesh.is_ready(n).then_some(()));
        // The daemon's new entry reaches the others.
        std::thread::sleep(Duration::from_secs(2));
    }
    let server = Server::start();
    assert_eq!(mesh.report(3, "i-3", &server.addr, "ready", 1), 200);
    for n in [3, 1, 2] {
        wait_for("a response", || {
            (status(&commit(&mesh, n, "other")) == 200).then_some(())
        });
        let response = commit(&mesh, n, "poison");
        assert_eq!(status(&response), 503, "sidecar {n}: {response}");
        assert!(body(&response).contains("quarantined"), "{response}");
    }
    let received = server.received.lock().expect("received requests");
    let poison = |text: &&String| text.contains("/poison");
    assert_eq!(received.iter().map(|a| &a.text).filter(poison).count(), 0);
}

/// Guards against daemons that give each other up when their failure domain is reachable again: each is
/// told that all others are lost, before they have said that they are not.
#[test]
fn domain_serves_its_callers_while_it_is_reconnected() {
    let mesh = Mesh::start_with(Topology {
        replicas: 1,
        sidecars: 3,
        domains: 2,
        has_links: true,
    });
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let server = Server::start();
    // The sidecars 1 and 3 are in one domain.
    assert_eq!(mesh.report(3, "i-1", &server.addr, "ready", 5), 200);
    wait_for("a response", || {
        (status(&view(&mesh, 1, "first")) == 200).then_some(())
    });
    mesh.faults.set("z1", Some(LinkFault::Cut));
    let mut reports = 5;
    let mut call_for = |time: Duration| {
        let end = Instant::now() + time;
        let mut refused = Vec::new();
        while Instant::now() < end {
            reports += 1;
            mesh.report(3, "i-1", &server.addr, "ready", reports);
            let response = view(&mesh, 1, "next");
            if status(&response) != 200 {
                refused.push(response);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        refused
    };
    call_for(Duration::from_secs(1));
    // The replica marks both as lost.
    let mut refused = Vec::new();
    while mesh.grep(0, "\"event\":3201").len() < 2 {
        refused.extend(call_for(Duration::from_millis(200)));
    }
    mesh.faults.set("z1", None);
    refused.extend(call_for(Duration::from_secs(6)));
    assert!(refused.is_empty(), "{} refused: {refused:?}", refused.len());
    // Both were told that they are lost.
    for n in [1, 3] {
        assert!(!mesh.grep(n, "\"event\":3202").is_empty(), "sidecar {n}");
    }
}
