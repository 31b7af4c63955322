//! Several requests on one connection of a caller: idempotent ones run together, all are answered
//! in order, and what happens to one of them leaves the others as they are.

mod mesh_support;

use mesh_support::{
    body, document, exchange, header, read_message, status, wait_for, Mesh, Script, Server,
};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The tests measure times, so they run one at a time.
static TURN: Mutex<()> = Mutex::new(());

/// Starts a sidecar with a colocated backend server.
fn start(slots: u32) -> (Mesh, Server, MutexGuard<'static, ()>) {
    let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mesh = Mesh::start(1);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let server = Server::start();
    wait_for("the report", || {
        let platform = mesh.platform_addr(1);
        let code =
            mesh_support::report_process(&platform, "i-1", &server.addr, "ready", (1, 1), slots);
        (code == 200).then_some(())
    });
    wait_for("a response", || {
        let response = exchange(&mesh.outbound_addr(1), &get("/view/first"));
        (status(&response.unwrap_or_default()) == 200).then_some(())
    });
    server.clear_received();
    (mesh, server, turn)
}

fn request(method: &str, target: &str, extra_headers: &str, body: &str) -> String {
    let id = target.rsplit('/').next().unwrap_or_default();
    format!(
        "{method} {target} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 1500\r\nContent-Length: {}\r\n{extra_headers}\r\n{body}",
        body.len()
    )
}

fn get(target: &str) -> String {
    request("GET", target, "", "")
}

fn connect(mesh: &Mesh) -> TcpStream {
    let stream = TcpStream::connect(mesh.outbound_addr(1)).expect("a connection");
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).expect("a time limit");
    stream
}

/// Responses until the connection ends or `count` have arrived.
fn read_responses(stream: &mut TcpStream, count: usize) -> Vec<String> {
    (0..count).map_while(|_| read_message(stream)).collect()
}

/// First line of the request that a response echoes.
fn echoed(response: &str) -> &str {
    body(response).lines().next().unwrap_or_default()
}

/// Guards against requests of a connection that wait for each other: served one after the other,
/// these six take the sum of their times, 1.2 s.
#[test]
fn requests_in_one_write_take_the_time_of_the_slowest() {
    let (mesh, server, _turn) = start(20);
    server.set_script(Script::Slow(200));
    let row: String = (0..6).map(|n| get(&format!("/view/{n}"))).collect();
    let mut stream = connect(&mesh);
    let started = Instant::now();
    stream.write_all(row.as_bytes()).expect("requests");
    let responses = read_responses(&mut stream, 6);
    let took = started.elapsed();
    for (n, response) in responses.iter().enumerate() {
        assert_eq!(echoed(response), format!("GET /view/{n} HTTP/1.1"));
    }
    assert_eq!(responses.len(), 6);
    assert!(took < Duration::from_millis(400), "{took:?}");
}

/// What is sent in the middle of a row, and what becomes of the row.
struct MiddleCase {
    name: &'static str,
    text: String,
    status: u16,
    /// Whether the connection closes behind its response.
    closes: bool,
}

fn middle_cases() -> Vec<MiddleCase> {
    let case = |name, text, status, closes| MiddleCase {
        name,
        text,
        status,
        closes,
    };
    let chunked = "Host: plans.example\r\nAttempt-Id: m\r\nDeadline-Ms: 1500\r\n\
                   Transfer-Encoding: chunked\r\n\r\n";
    let short = get("/view/hang-1").replace("Deadline-Ms: 1500", "Deadline-Ms: 300");
    vec![
        case("unknown route", get("/other/1"), 404, false),
        case("refusal of the server", get("/view/decline-1"), 503, false),
        case("failure", get("/view/fail-1"), 500, false),
        case("timeout", short, 504, false),
        case("broken response", get("/view/truncate-1"), 502, false),
        case(
            "unsafe request",
            request("POST", "/commit/1", "", "layout"),
            200,
            false,
        ),
        case(
            "chunked body with trailers",
            format!("POST /commit/1 HTTP/1.1\r\n{chunked}3;x=y\r\nabc\r\n0\r\nX-T: 1\r\n\r\n"),
            200,
            false,
        ),
        case(
            "closing request",
            request("GET", "/view/1", "Connection: close\r\n", ""),
            200,
            true,
        ),
        case(
            "HTTP/1.0",
            get("/view/1").replace("HTTP/1.1", "HTTP/1.0"),
            200,
            true,
        ),
        case(
            "no request",
            "\x16\x03\x01 no request\r\n\r\n".to_owned(),
            400,
            true,
        ),
        case(
            "bad chunk",
            format!("POST /commit/1 HTTP/1.1\r\n{chunked}xyz\r\nabc\r\n"),
            400,
            true,
        ),
        case(
            "long body",
            request("POST", "/commit/1", "", &"x".repeat(200_001)),
            413,
            true,
        ),
    ]
}

/// Guards against an event at one request that changes the responses to others: lost, in another
/// order, or of another request.
#[test]
fn events_in_the_middle_leave_the_other_responses_correct() {
    let (mesh, server, _turn) = start(40);
    server.set_script(Script::ByTarget);
    std::thread::scope(|scope| {
        for case in middle_cases() {
            let mesh = &mesh;
            scope.spawn(move || {
                for length in [2, 3, 7, 12, 16] {
                    check_row(mesh, &case, length);
                }
            });
        }
    });
}

fn check_row(mesh: &Mesh, case: &MiddleCase, length: usize) {
    let name = format!("{} in a row of {length}", case.name);
    let middle = length / 2;
    let target = |n: usize| match n % 3 {
        0 => format!("/view/slow-{n}"),
        _ => format!("/view/{n}"),
    };
    let row: String = (0..length)
        .map(|n| match n == middle {
            true => case.text.clone(),
            false => get(&target(n)),
        })
        .collect();
    let mut stream = connect(mesh);
    // The daemon may close the connection before it has read all.
    let _ = stream.write_all(row.as_bytes());
    let responses = read_responses(&mut stream, length);
    let expected = if case.closes { middle + 1 } else { length };
    assert_eq!(responses.len(), expected, "{name}: {responses:?}");
    for (n, response) in responses.iter().enumerate() {
        let has_close = header(response, "connection").as_deref() == Some("close");
        assert_eq!(has_close, n == middle && case.closes, "{name}: {response}");
        if n == middle {
            assert_eq!(status(response), case.status, "{name}: {response}");
        } else {
            let line = format!("GET {} HTTP/1.1", target(n));
            assert_eq!(echoed(response), line, "{name}");
        }
    }
    if case.closes {
        assert!(
            read_message(&mut stream).is_none(),
            "{name}: more behind the close"
        );
    }
}

/// Guards against a caller that loses its responses because it stopped sending.
#[test]
fn caller_that_stops_sending_gets_its_responses() {
    let (mesh, server, _turn) = start(20);
    server.set_script(Script::ByTarget);
    for length in [1, 2, 6, 16] {
        let targets = (0..length).map(|n| format!("/view/slow-{n}"));
        let targets: Vec<_> = targets.collect();
        let row: String = targets.iter().map(|target| get(target)).collect();
        let mut stream = connect(&mesh);
        stream.write_all(row.as_bytes()).expect("requests");
        stream
            .shutdown(Shutdown::Write)
            .expect("the end of the input");
        let responses = read_responses(&mut stream, length + 1);
        let echoes: Vec<_> = responses.iter().map(|response| echoed(response)).collect();
        let expected = targets
            .iter()
            .map(|target| format!("GET {target} HTTP/1.1"));
        assert_eq!(echoes, expected.collect::<Vec<_>>());
    }
}

/// Guards against requests that go on running for callers that are gone: they hold all slots here.
#[test]
fn requests_of_a_broken_connection_are_cancelled() {
    let (mesh, server, _turn) = start(6);
    for is_reset in [false, true] {
        server.set_script(Script::ByTarget);
        server.clear_received();
        let row: String = (0..16).map(|n| get(&format!("/view/slower-{n}"))).collect();
        let mut stream = connect(&mesh);
        stream.write_all(row.as_bytes()).expect("requests");
        wait_for("the arrivals", || {
            (server.received_count() == 6).then_some(())
        });
        if is_reset {
            rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO))
                .expect("a reset at the close");
        }
        drop(stream);
        let started = Instant::now();
        let response = exchange(&mesh.outbound_addr(1), &get("/view/next"));
        let took = started.elapsed();
        assert_eq!(
            status(&response.unwrap_or_default()),
            200,
            "reset: {is_reset}"
        );
        assert!(
            took < Duration::from_millis(500),
            "reset: {is_reset}: {took:?}"
        );
        assert_eq!(
            server.received_count(),
            7,
            "none of the others is forwarded"
        );
    }
}

/// Guards against requests that were forwarded before a stop and are cut off by it, against requests
/// that are forwarded after it, and against a connection that stays open behind the last response.
#[test]
fn stop_in_the_middle_of_a_row_answers_what_was_forwarded() {
    for length in [2, 7, 16] {
        let (mut mesh, server, _turn) = start(20);
        server.set_script(Script::Slow(400));
        let mut row: Vec<_> = (0..length).map(|n| get(&format!("/view/{n}"))).collect();
        row.push(request("POST", "/commit/1", "", "layout"));
        let mut stream = connect(&mesh);
        stream.write_all(row.concat().as_bytes()).expect("requests");
        wait_for("the arrivals", || {
            (server.received_count() == length.min(6)).then_some(())
        });
        mesh.terminate(1);
        let forwarded = length.min(6);
        let responses = read_responses(&mut stream, length);
        assert_eq!(responses.len(), forwarded, "{length}: {responses:?}");
        for (n, response) in responses.iter().enumerate() {
            assert_eq!(echoed(response), format!("GET /view/{n} HTTP/1.1"));
            let closes = header(response, "connection").as_deref() == Some("close");
            assert_eq!(closes, n + 1 == forwarded, "{length}: {n}");
        }
        assert_eq!(server.received_count(), forwarded, "{length}");
        mesh.wait_for_exit(1);
    }
}

/// Requests that run on the backend server beside daemon 1 or wait for it.
fn requests_in_progress(mesh: &Mesh) -> f64 {
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let response = exchange(&mesh.metrics_addr(1), text).unwrap_or_default();
    let gauges = ["foxtailgauge_slots_used{", "foxtailgauge_queued{"];
    let values = gauges.map(|gauge| {
        let line = response.lines().find(|line| line.starts_with(gauge));
        let value = line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        value.expect(gauge)
    });
    values.iter().sum()
}

/// Guards against memory and slots held by callers that send requests and read no response.
#[test]
fn callers_that_read_nothing_hold_little_memory_and_no_slot() {
    const CALLERS: usize = 20;
    /// Twice what the bounds of a connection allow.
    const MAX_GROWTH_KB: u64 = CALLERS as u64 * 2_000;
    const SLOTS: u32 = 6;
    let (mesh, server, _turn) = start(SLOTS);
    server.set_script(Script::Echo);
    let idle_kb = mesh.memory_kb(1);
    let row = request("GET", "/view/1", "", &"x".repeat(50_000)).repeat(16);
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let mut stream = connect(&mesh);
            stream.set_nonblocking(true).expect("a socket");
            // Part of it fits; the rest is not read.
            while stream.write(row.as_bytes()).is_ok() {}
            stream
        })
        .collect();
    // Until the responses have filled the buffers of the connections. On a busy machine nothing may
    // arrive for a while although requests wait; its entry expires unless the server reports again.
    let platform = mesh.platform_addr(1);
    let mut sequence = 1;
    wait_for("the end of the arrivals", || {
        sequence += 1;
        let report = (1, sequence);
        mesh_support::report_process(&platform, "i-1", &server.addr, "ready", report, SLOTS);
        let count = server.received_count();
        std::thread::sleep(Duration::from_millis(500));
        let is_settled = server.received_count() == count && requests_in_progress(&mesh) == 0.0;
        is_settled.then_some(())
    });
    let growth_kb = mesh.memory_kb(1).saturating_sub(idle_kb);
    assert!(growth_kb < MAX_GROWTH_KB, "{growth_kb} kB");
    let response = exchange(&mesh.outbound_addr(1), &get("/view/next"));
    let response = response.unwrap_or_default();
    assert_eq!(status(&response), 200, "{response}");
    drop(callers);
}
