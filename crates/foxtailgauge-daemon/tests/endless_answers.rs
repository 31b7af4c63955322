//! A backend server that sends bytes without end.

mod mesh_support;

use mesh_support::{document, exchange, header, status, wait_for, Endless, Mesh, Script, Server};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time that callers state.
const TIME_LEFT: Duration = Duration::from_millis(1_000);
/// Time after the deadline in which a caller has its outcome and the backend server is closed.
const GRACE: Duration = Duration::from_millis(500);
/// Growth of a daemon's memory: far below what a backend server sends within a deadline.
const MAX_GROWTH_KB: u64 = 24 << 10;
/// Callers at a time.
const CALLERS: usize = 4;

/// One replica and two sidecars; the first has a colocated backend server.
fn start() -> (Mesh, Server) {
    let mesh = Mesh::start(2);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let server = Server::start();
    assert_eq!(mesh.report(1, "i-0", &server.addr, "ready", 1), 200);
    for n in [1, 2] {
        wait_for("a served request", || {
            let response = exchange(&mesh.outbound_addr(n), &request("GET", "/view/1"));
            (status(&response.unwrap_or_default()) == 200).then_some(())
        });
    }
    server.clear_received();
    (mesh, server)
}

fn request(method: &str, target: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: a1\r\n\
         Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
        TIME_LEFT.as_millis()
    )
}

/// What a caller that reads all bytes gets: the status, whether the end looks like that of a whole
/// response, and the time.
fn outcome(outbound: &str, text: &str) -> (u16, bool, Duration) {
    let started = Instant::now();
    let mut stream = TcpStream::connect(outbound).expect("cannot connect");
    stream
        .set_read_timeout(Some(Duration::from_secs(8)))
        .expect("cannot set the timeout");
    stream.write_all(text.as_bytes()).expect("cannot send");
    let (mut first, mut last, mut buffer) = (Vec::new(), Vec::new(), [0; 16 << 10]);
    let is_closed = loop {
        assert!(started.elapsed() < TIME_LEFT * 3, "the response goes on");
        match stream.read(&mut buffer) {
            Ok(0) => break true,
            Ok(count) => {
                if first.len() < 4_096 {
                    first.extend_from_slice(&buffer[..count]);
                }
                last.extend_from_slice(&buffer[..count]);
                last.drain(..last.len().saturating_sub(16));
                let text = String::from_utf8_lossy(&first);
                let length = header(&text, "content-length").and_then(|text| text.parse().ok());
                let head = text.find("\r\n\r\n").map(|at| at + 4);
                if let (Some(length), Some(head)) = (length, head) {
                    let length: usize = length;
                    if first.len() >= head + length {
                        break false;
                    }
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break true,
            Err(error) => panic!("no end after {:?}: {error}", started.elapsed()),
        }
    };
    let is_whole = !is_closed || last.ends_with(b"0\r\n\r\n");
    let status = status(&String::from_utf8_lossy(&first));
    (status, is_whole, started.elapsed())
}

#[test]
fn heads_without_end_cost_one_request_and_little_memory() {
    check(&[Endless::Line, Endless::Headers, Endless::Interim]);
}

#[test]
fn bodies_without_end_are_ended_at_the_deadline() {
    check(&[Endless::Chunks, Endless::Body]);
}

fn check(kinds: &[Endless]) {
    let (mesh, server) = start();
    let idle_kb = [1, 2].map(|n| mesh.memory_kb(n));
    for &kind in kinds {
        for (gateway, method, target) in [
            (1, "GET", "/view/1"),
            (2, "GET", "/view/1"),
            (2, "POST", "/commit/1"),
        ] {
            server.clear_received();
            server.closed.lock().expect("closed connections").clear();
            server.set_script(Script::Endless(kind));
            let name = format!("{kind:?} {method} at {gateway}");
            let started = Instant::now();
            let outbound = mesh.outbound_addr(gateway);
            let callers: Vec<_> = (0..CALLERS)
                .map(|_| {
                    let outbound = outbound.clone();
                    std::thread::spawn(move || outcome(&outbound, &request(method, target)))
                })
                .collect();
            for caller in callers {
                let (status, is_whole, took) = caller.join().expect("caller");
                let is_failure = [502, 504].contains(&status) && is_whole;
                let is_broken_off = status == 200 && !is_whole;
                assert!(is_failure || is_broken_off, "{name}: {status} {is_whole}");
                assert!(took < TIME_LEFT + GRACE, "{name}: {took:?}");
            }
            let closed = wait_for(&format!("the closed connections of {name}"), || {
                let closed = server.closed.lock().expect("closed connections");
                (closed.len() >= server.received_count()).then(|| closed.clone())
            });
            for at in closed {
                let after = at.duration_since(started);
                assert!(after < TIME_LEFT + GRACE, "{name}: closed after {after:?}");
            }
            if method == "POST" {
                assert_eq!(server.received_count(), CALLERS, "{name}: once each");
            }
            for n in [1, 2] {
                let growth_kb = mesh.memory_kb(n).saturating_sub(idle_kb[n - 1]);
                assert!(growth_kb < MAX_GROWTH_KB, "{name}: {growth_kb} kB at {n}");
            }
            // The next request is not affected.
            server.set_script(Script::Echo);
            let response = exchange(&outbound, &request("POST", "/commit/2"));
            let response = response.unwrap_or_default();
            assert_eq!(mesh_support::status(&response), 200, "{name}: {response}");
        }
    }
}
