//! Who ends a forwarded request when gateways, executors and the connections between them fail, and
//! whether what the caller is told is true.

mod ends_support;
mod mesh_support;

use mesh_support::{
    body, document, exchange, header, report_process, status, wait_for, Arrival, Mesh, Script,
    Server,
};
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

/// Seed and time with faults in CI.
const CI_RUN: (u64, Duration) = (1, Duration::from_secs(6));

#[test]
fn callers_are_told_the_truth_while_daemons_and_links_fail() {
    let (seed, duration) = CI_RUN;
    let violations = ends_support::run(seed, duration);
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
        let violations = ends_support::run(seed, Duration::from_secs(seconds));
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
        mesh.signal(2, Signal::STOP);
        let statuses = send_many(target, "late", 150);
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
