//! Who ends a forwarded request when gateways, executors and the connections between them fail, and
//! whether what the caller is told is true.

mod ends_support;
mod mesh_support;

use ends_support::Weather;
use foxtailgauge_bench::relay::ConnectionFault;
use mesh_support::{
    body, document, exchange, header, read_message, report_process, status, wait_for, Arrival,
    Endless, Mesh, Script, Server, Topology,
};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Seed and time with faults in CI.
const CI_RUN: (u64, Duration) = (1, Duration::from_secs(6));

#[test]
fn callers_are_told_the_truth_while_daemons_and_links_fail() {
    let (seed, duration) = CI_RUN;
    let violations = ends_support::run(seed, duration, Weather::Faults);
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// `ENDS` contains the first seed, the number of seeds and the seconds with faults for each.
#[test]
#[ignore = "run by hand with the seeds in ENDS"]
fn callers_are_told_the_truth_for_many_seeds() {
    let text = std::env::var("ENDS").unwrap_or_else(|_| "1 5 20".to_owned());
    let numbers: Vec<u64> = text.split(' ').map(|word| word.parse().unwrap()).collect();
    let [first, count, seconds] = numbers[..] else {
        panic!("ENDS must have three numbers: {text}");
    };
    let mut failed = Vec::new();
    for seed in first..first + count {
        // Every fourth one in calm.
        let weather = match seed % 4 {
            0 => Weather::Calm,
            _ => Weather::Faults,
        };
        let violations = ends_support::run(seed, Duration::from_secs(seconds), weather);
        println!("seed {seed}: {} violations", violations.len());
        violations
            .iter()
            .take(20)
            .for_each(|line| println!("  {line}"));
        failed.extend((!violations.is_empty()).then_some(seed));
    }
    assert!(failed.is_empty(), "seeds with violations: {failed:?}");
}

/// Requests that a gateway gives up while their executor stands still.
const GIVEN_UP: usize = 12;

/// Time in which a gateway has withdrawn a request that it gave up (GONE).
const WITHDRAWAL: Duration = Duration::from_millis(500);

/// The executor has open connections to its server, over which it could send them at once.
#[test]
fn request_given_up_while_its_executor_stands_still_is_not_run_afterwards() {
    let mesh = Mesh::start(2);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let server = Server::start();
    let platform = mesh.platform_addr(2);
    let report = report_process(&platform, "i-1", &server.addr, "ready", (1, 1), 20);
    assert_eq!(report, 200);
    let outbound = mesh.outbound_addr(1);
    let send = |target: &str, id: &str, deadline_ms: u64| {
        let request = format!(
            "{target}{id} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
        );
        status(&exchange(&outbound, &request).unwrap_or_default())
    };
    let send_many = |target: &str, kind: &str, deadline_ms: u64| -> Vec<u16> {
        std::thread::scope(|scope| {
            let send = &send;
            let caller = |n| scope.spawn(move || send(target, &format!("{kind}-{n}"), deadline_ms));
            let callers: Vec<_> = (0..GIVEN_UP).map(caller).collect();
            let join = |caller: std::thread::ScopedJoinHandle<_>| caller.join().unwrap();
            callers.into_iter().map(join).collect()
        })
    };
    wait_for("a response", || {
        (send("GET /view/", "first", 1_000) == 200).then_some(())
    });
    for target in ["POST /commit/", "GET /view/"] {
        server.set_script(Script::Slow(50));
        assert_eq!(send_many(target, "before", 1_000), [200; GIVEN_UP]);
        server.clear_received();
        mesh.pause(2);
        let statuses = send_many(target, "late", 150);
        std::thread::sleep(WITHDRAWAL);
        mesh.signal(2, Signal::CONT);
        assert_eq!(statuses, [504; GIVEN_UP], "{target}");
        wait_for("a response", || {
            (send("GET /view/", "after", 1_000) == 200).then_some(())
        });
        std::thread::sleep(Duration::from_millis(500));
        let received = server.received.lock().unwrap();
        let is_late = |arrival: &&Arrival| arrival.text.contains("/late-");
        let late = received.iter().filter(is_late).count();
        assert_eq!(late, 0, "{target}: requests that nobody waited for arrived");
    }
}

/// Bytes of a body that the buffers of the connections on its way don't take.
const LONG_BODY_BYTES: usize = 24 << 20;

/// A backend server may wait for a slot before it reads on.
#[test]
fn server_that_pauses_in_a_long_body_gets_the_rest_of_it() {
    let mesh = Mesh::start(2);
    let mut document = document(1);
    document["limits"]["max_body_bytes"] = (2 * LONG_BODY_BYTES).into();
    for rule in document["listeners"][0]["rule_set"].as_array_mut().unwrap() {
        rule["action"]["timeout_ms"] = 20_000.into();
    }
    assert_eq!(mesh.put_document(0, &document), 200);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut first = [0; 4_096];
            let Ok(count) = stream.read(&mut first) else {
                continue;
            };
            let head = String::from_utf8_lossy(&first[..count]).into_owned();
            let length = header(&head, "content-length").map_or(0, |text| text.parse().unwrap());
            let mut left = length - body(&head).len();
            if length > 0 {
                std::thread::sleep(Duration::from_millis(3_000));
            }
            let mut buffer = vec![0; 1 << 20];
            while left > 0 {
                match stream.read(&mut buffer) {
                    Ok(count) if count > 0 => left -= count,
                    _ => break,
                }
            }
            let id = header(&head, "attempt-id").unwrap_or_default();
            let read = (length - left).to_string();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\
                 Attempt-Id: {id}\r\nServer-Seal: seal\r\n\r\n{read}",
                read.len()
            );
            // The peer may have closed the connection.
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    assert_eq!(mesh.report(2, "i-1", &addr, "ready", 1), 200);
    let send = |n: usize, body_bytes: usize| {
        let request = format!(
            "POST /commit/1 HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: a1\r\n\
             Deadline-Ms: 15000\r\nContent-Length: {body_bytes}\r\n\r\n{}",
            "x".repeat(body_bytes)
        );
        exchange(&mesh.outbound_addr(n), &request).unwrap_or_default()
    };
    for n in [2, 1] {
        wait_for("a response", || (status(&send(n, 0)) == 200).then_some(()));
        let response = send(n, LONG_BODY_BYTES);
        assert_eq!(status(&response), 200, "through d{n}: {response}");
        assert_eq!(body(&response), LONG_BODY_BYTES.to_string(), "through d{n}");
    }
}

/// How the way between callers and an executor ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WayEnd {
    GatewayKilled,
    CallersLeft,
    ConnectionsReset,
}

/// Requests that wait at the executor when the way ends.
const QUEUED: usize = 5;
/// Time in which an executor cancels what it has of a lost connection.
const CANCEL_TIME: Duration = Duration::from_millis(500);
/// Time that a run takes, so that requests wait behind it.
const RUN_MS: u64 = 400;

#[test]
fn request_that_waits_at_an_executor_does_not_run_after_its_gateway_is_gone() {
    let topology = Topology {
        replicas: 1,
        sidecars: 2,
        domains: 3,
        has_links: true,
    };
    let mut mesh = Mesh::start_with(topology);
    let mut document = document(1);
    for rule in document["listeners"][0]["rule_set"].as_array_mut().unwrap() {
        rule["target_latency_ms"] = 15_000.into();
        rule["action"]["timeout_ms"] = 20_000.into();
    }
    assert_eq!(mesh.put_document(0, &document), 200);
    let server = Server::start();
    let platform = mesh.platform_addr(2);
    let mut reports = 0;
    // The queue takes more requests once it knows how long those of a route run.
    server.set_script(Script::Slow(RUN_MS));
    for end in [
        WayEnd::CallersLeft,
        WayEnd::ConnectionsReset,
        WayEnd::GatewayKilled,
    ] {
        reports += 1;
        report_process(&platform, "i-1", &server.addr, "ready", (1, reports), 1);
        let addr = mesh.outbound_addr(1);
        let request = |target: &str, id: &str| {
            format!(
                "{target}{id} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
                 Deadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n"
            )
        };
        for target in ["GET /view/", "POST /commit/"] {
            wait_for("a response", || {
                let response = exchange(&addr, &request(target, "first"))?;
                (status(&response) == 200).then_some(())
            });
        }
        server.clear_received();
        let mut callers: Vec<TcpStream> = (0..=QUEUED)
            .map(|n| {
                let target = ["POST /commit/", "GET /view/"][n % 2];
                let mut stream = TcpStream::connect(&addr).unwrap();
                let text = request(target, &format!("queued-{n}"));
                stream.write_all(text.as_bytes()).unwrap();
                stream
            })
            .collect();
        wait_for("a run", || (server.received_count() > 0).then_some(()));
        // The others have reached the queue.
        std::thread::sleep(Duration::from_millis(RUN_MS / 2));
        let ended_at = Instant::now();
        match end {
            WayEnd::GatewayKilled => mesh.kill(1),
            WayEnd::CallersLeft => callers.clear(),
            WayEnd::ConnectionsReset => {
                mesh.faults.end_connections("d2", ConnectionFault::Reset);
            }
        }
        let statuses: Vec<u16> = callers
            .iter_mut()
            .map(|stream| status(&read_message(stream).unwrap_or_default()))
            .collect();
        if end == WayEnd::ConnectionsReset {
            assert_eq!(statuses.len(), QUEUED + 1);
            // An idempotent request may be sent again, and is served or refused then.
            let mut commits = statuses.iter().step_by(2);
            assert!(commits.all(|status| *status == 502), "{statuses:?}");
        }
        std::thread::sleep(Duration::from_millis(3 * RUN_MS));
        let received = server.received.lock().unwrap();
        let is_late = |arrival: &&Arrival| {
            let is_sent_again = end == WayEnd::ConnectionsReset && arrival.text.starts_with("GET");
            arrival.at > ended_at + CANCEL_TIME && !is_sent_again
        };
        let late = received.iter().filter(is_late).count();
        assert_eq!(late, 0, "{end:?}: requests that nobody waited for arrived");
    }
}

/// Callers that read nothing of a response that is longer than all buffers on its way.
const BLOCKED_CALLERS: usize = 45;

#[test]
fn callers_that_read_nothing_do_not_block_the_others_of_their_hop() {
    let mesh = Mesh::start(2);
    let mut document = document(1);
    for rule in document["listeners"][0]["rule_set"].as_array_mut().unwrap() {
        rule["action"]["timeout_ms"] = 60_000.into();
    }
    assert_eq!(mesh.put_document(0, &document), 200);
    let server = Server::start();
    let (platform, addr) = (mesh.platform_addr(2), server.addr.clone());
    std::thread::spawn(move || {
        // Each report renews the lease. The last one fails as the daemon has ended.
        let report = |at| report_process(&platform, "i-1", &addr, "ready", (1, at), 100);
        for _ in (1..).take_while(|at| report(*at) == 200) {
            std::thread::sleep(Duration::from_secs(1));
        }
    });
    let outbound = mesh.outbound_addr(1);
    let request = |id: &str, deadline_ms: u64| {
        format!(
            "GET /view/{id} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
        )
    };
    let send_small = || exchange(&outbound, &request("small", 3_000)).unwrap_or_default();
    wait_for("a response", || {
        (status(&send_small()) == 200).then_some(())
    });
    server.set_script(Script::Endless(Endless::Chunks));
    let _callers: Vec<TcpStream> = (0..BLOCKED_CALLERS)
        .map(|n| {
            let mut stream = TcpStream::connect(&outbound).unwrap();
            set_socket_recv_buffer_size(&stream, 4_096).unwrap();
            let text = request(&format!("endless-{n}"), 60_000);
            stream.write_all(text.as_bytes()).unwrap();
            stream
        })
        .collect();
    wait_for("the arrivals", || {
        (server.received_count() > BLOCKED_CALLERS).then_some(())
    });
    server.set_script(Script::Echo);
    let metrics = || {
        let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
        let text = exchange(&mesh.metrics_addr(1), text).unwrap_or_default();
        let lines = text.lines().filter(|line| line.contains("callers"));
        lines.map(str::to_owned).collect::<Vec<_>>()
    };
    wait_for("full buffers", || {
        let before = metrics();
        std::thread::sleep(Duration::from_millis(700));
        (before == metrics()).then_some(())
    });
    for _ in 0..3 {
        let response = send_small();
        assert_eq!(status(&response), 200, "{response}");
    }
}
