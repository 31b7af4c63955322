//! Planned stops of a daemon under load: what it still takes, and what it answers before it ends.

mod mesh_support;

use mesh_support::{
    exchange, header, read_message, report_process, status, wait_for, Mesh, Script, Server,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Grace period in the settings of the fleet.
const GRACE: Duration = Duration::from_secs(3);
/// Time after SIGTERM in which a request of one second is still expected to be served.
const SERVED_TIME: Duration = Duration::from_millis(600);

/// A document whose requests may take far longer than the grace period.
fn patient_document() -> serde_json::Value {
    let mut document = mesh_support::document(1);
    for rule in [0, 1] {
        let rule = &mut document["listeners"][0]["rule_set"][rule];
        rule["action"]["timeout_ms"] = 20_000.into();
    }
    document
}

/// Starts one replica and two sidecars; `homes` are the daemons with a backend server.
fn start(homes: &[usize]) -> (Mesh, Vec<Server>) {
    let mesh = Mesh::start(2);
    assert_eq!(mesh.put_document(0, &patient_document()), 200);
    let servers: Vec<Server> = homes.iter().map(|_| Server::start()).collect();
    bring_up(&mesh, homes, &servers);
    (mesh, servers)
}

/// Reports the backend servers until both sidecars use them.
fn bring_up(mesh: &Mesh, homes: &[usize], servers: &[Server]) {
    for (n, server) in homes.iter().zip(servers) {
        server.set_script(Script::ByTarget);
        let (platform, name) = (mesh.platform_addr(*n), format!("i-{n}"));
        // The second report confirms the server.
        for sequence in [1, 2] {
            let reported =
                report_process(&platform, &name, &server.addr, "ready", (1, sequence), 50);
            assert_eq!(reported, 200);
            std::thread::sleep(Duration::from_millis(500));
        }
    }
    for n in [1, 2] {
        let addr = mesh.outbound_addr(n);
        wait_for("a response", || {
            let response = exchange(&addr, &request("GET", "/view/1", "warm", ""))?;
            (status(&response) == 200).then_some(())
        });
    }
}

fn request(method: &str, target: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {target} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 20000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// What a caller saw of one request.
struct Seen {
    id: String,
    method: &'static str,
    sent_at: Instant,
    /// `None` if the connection ended without a response.
    status: Option<u16>,
}

/// Sends one request after the other on kept connections until `is_done` or nobody listens.
fn call_until(addr: &str, caller: &str, is_done: &AtomicBool) -> Vec<Seen> {
    let mut seen = Vec::new();
    let mut kept: Option<TcpStream> = None;
    while !is_done.load(Ordering::Relaxed) {
        let Some(mut stream) = kept.take().or_else(|| TcpStream::connect(addr).ok()) else {
            break;
        };
        let id = format!("{caller}-{}", seen.len());
        let (method, target) = match seen.len() % 2 {
            0 => ("POST", "/commit/slower"),
            _ => ("GET", "/view/slow"),
        };
        let sent_at = Instant::now();
        let is_sent =
            stream.write_all(request(method, &format!("{target}-{id}"), &id, "x").as_bytes());
        let response = is_sent.ok().and_then(|()| read_message(&mut stream));
        let status = response.as_deref().map(status);
        let closes = response.and_then(|text| header(&text, "connection"));
        seen.push(Seen {
            id,
            method,
            sent_at,
            status,
        });
        if closes.is_none() && status.is_some() {
            kept = Some(stream);
        }
        if status == Some(503) {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    seen
}

/// Guards against requests that are taken late in a stop and cut at its end, against a refusal of a
/// request that ran, and against a stop that outlasts its grace period.
#[test]
fn requests_taken_during_a_stop_are_answered() {
    let (mut mesh, servers) = start(&[1, 2]);
    let is_done = AtomicBool::new(false);
    let (stopped_at, took, seen) = std::thread::scope(|scope| {
        let call = |daemon: usize, n: usize| {
            let (addr, is_done) = (mesh.outbound_addr(daemon), &is_done);
            scope.spawn(move || call_until(&addr, &format!("{daemon}-{n}"), is_done))
        };
        let at_stopping: Vec<_> = (0..8).map(|n| call(1, n)).collect();
        let elsewhere: Vec<_> = (0..8).map(|n| call(2, n)).collect();
        std::thread::sleep(Duration::from_millis(1_500));
        let stopped_at = Instant::now();
        mesh.terminate(1);
        mesh.wait_for_exit(1);
        let took = stopped_at.elapsed();
        is_done.store(true, Ordering::Relaxed);
        let join = |callers: Vec<std::thread::ScopedJoinHandle<'_, Vec<Seen>>>| -> Vec<Seen> {
            let seen = callers
                .into_iter()
                .map(|caller| caller.join().expect("a caller"));
            seen.flatten().collect()
        };
        (stopped_at, took, [join(at_stopping), join(elsewhere)])
    });
    let arrived = |seen: &Seen| {
        let line = format!("-{} HTTP/1.1", seen.id);
        let has_arrived = |server: &Server| {
            let received = server.received.lock().expect("received requests");
            received.iter().any(|arrival| arrival.text.contains(&line))
        };
        servers.iter().any(has_arrived)
    };
    let describe = |seen: &Seen| {
        let sent_ms = seen
            .sent_at
            .saturating_duration_since(stopped_at)
            .as_millis();
        format!(
            "{} {} {sent_ms} ms: {:?}",
            seen.method, seen.id, seen.status
        )
    };
    let [at_stopping, elsewhere] = &seen;
    let all = || seen.iter().flatten();
    let list = |wrong: Vec<&Seen>| wrong.into_iter().map(describe).collect::<Vec<_>>();
    let lost = list(all().filter(|s| s.status.is_none() && arrived(s)).collect());
    let refused = list(
        all()
            .filter(|s| s.status == Some(503) && arrived(s))
            .collect(),
    );
    let unserved = list(elsewhere.iter().filter(|s| s.status != Some(200)).collect());
    let early = at_stopping
        .iter()
        .filter(|s| s.sent_at < stopped_at + SERVED_TIME);
    let unserved_early = list(early.filter(|s| s.status != Some(200)).collect());
    let wrong = [lost, refused, unserved, unserved_early];
    assert_eq!(
        wrong,
        [const { Vec::<String>::new() }; 4],
        "lost, refused, unserved elsewhere, early"
    );
    assert!(
        at_stopping.iter().any(|s| s.status == Some(503)),
        "none was refused"
    );
    assert!(took < GRACE, "{took:?}");
}

/// Reads until the end of a connection; returns the bytes and whether it ended without an error.
fn read_to_end(stream: &mut TcpStream) -> (String, bool) {
    let mut bytes = Vec::new();
    let is_clean = stream.read_to_end(&mut bytes).is_ok();
    (String::from_utf8_lossy(&bytes).into_owned(), is_clean)
}

/// Requests that daemon 1 has passed on to its backend server.
fn requests_sent(mesh: &Mesh) -> u64 {
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let response = exchange(&mesh.metrics_addr(1), text).unwrap_or_default();
    let line = response
        .lines()
        .find(|line| line.starts_with("foxtailgauge_server_requests_total"));
    let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
    value.expect("a counter of requests")
}

/// Guards against requests that outlast the grace period and are cut without a response, against a
/// streamed response that looks complete when it is cut, and against a stop that doesn't log them.
#[test]
fn requests_that_outlast_a_stop_get_a_final_answer() {
    let (mut mesh, servers) = start(&[1]);
    let commit = |id: &str| request("POST", &format!("/commit/hang-{id}"), id, "layout");
    let stream = request("GET", "/view/stream", "d", "");
    let half = request("POST", "/commit/late", "e", "layout").replace("layout", "lay");
    let upload = request("POST", "/commit/upload", "f", &"x".repeat(150_000));
    // Gateway, request and status.
    let cases = [
        (1, commit("a"), 502),
        (1, request("GET", "/view/hang-b", "b", ""), 502),
        (2, commit("c"), 502),
        (1, half.replace("late", "half"), 503),
        (1, half, 503),
        (1, upload[..100_000].to_owned(), 502),
        (1, stream.clone(), 200),
        (1, stream.replace("HTTP/1.1", "HTTP/1.0"), 200),
    ];
    let arrivals = servers[0].received_count();
    let sent = requests_sent(&mesh);
    let streams: Vec<TcpStream> = cases
        .iter()
        .map(|(gateway, text, _)| {
            let mut stream =
                TcpStream::connect(mesh.outbound_addr(*gateway)).expect("a connection");
            stream.write_all(text.as_bytes()).expect("a request");
            stream
        })
        .collect();
    wait_for("the arrivals", || {
        (servers[0].received_count() == arrivals + 5).then_some(())
    });
    // The server does not record the upload, which is not complete.
    wait_for("the upload", || {
        (requests_sent(&mesh) == sent + 6).then_some(())
    });
    let stopped_at = Instant::now();
    mesh.terminate(1);
    let readers: Vec<_> = streams
        .into_iter()
        .map(|mut stream| std::thread::spawn(move || read_to_end(&mut stream)))
        .collect();
    mesh.wait_for_exit(1);
    let took = stopped_at.elapsed();
    for (reader, (gateway, text, expected)) in readers.into_iter().zip(&cases) {
        // The connection to the gateway that doesn't stop stays open.
        if *gateway == 2 {
            let seen = || {
                mesh.grep(2, "\"event\":4402")
                    .into_iter()
                    .find(|line| line["request"] == "c")
            };
            assert_eq!(wait_for("a final answer", seen)["status"], 502);
            continue;
        }
        let (response, is_clean) = reader.join().expect("a reader");
        assert_eq!(status(&response), *expected, "{text:.80}: {response:.300}");
        let is_streamed = *expected == 200;
        assert!(
            !is_streamed || !response.ends_with("0\r\n\r\n"),
            "{text:.80}"
        );
        assert!(!text.contains("HTTP/1.0") || !is_clean, "looks complete");
    }
    assert!(took < GRACE, "{took:?}");
    let ended = mesh.grep(1, "\"event\":1008");
    assert_eq!(ended.len(), 1);
    assert_eq!(
        (&ended[0]["requests"], &ended[0]["running"]),
        (&7.into(), &6.into())
    );
    let stopped = mesh.grep(1, "\"event\":1003");
    assert_eq!(stopped.len(), 1);
    assert_eq!(
        (&stopped[0]["unknown"], &stopped[0]["cut"]),
        (&3.into(), &2.into())
    );
}

/// Guards against a stop that ends long before the platform kills the process, with requests in
/// flight that could have been answered.
#[test]
fn stop_uses_the_grace_period_of_the_platform() {
    for bounds in [
        "contact_ms=3000,grace_s=10",
        "{\"contact_ms\":3000,\"grace_s\":10}",
    ] {
        let (mut mesh, servers) = start(&[2]);
        (mesh.bounds, mesh.stop_grace_ms) = (bounds, "");
        mesh.kill(1);
        mesh.start_daemon(1, false);
        bring_up(&mesh, &[2], &servers);
        servers[0].set_script(Script::Slow(4_000));
        mesh.terminate(1);
        std::thread::sleep(Duration::from_millis(2_500));
        let text = request("POST", "/commit/1", "a", "layout");
        let response = exchange(&mesh.outbound_addr(1), &text).unwrap_or_default();
        assert_eq!(status(&response), 200, "{bounds}: {response}");
        mesh.wait_for_exit(1);
        let stopping = mesh.grep(1, "\"event\":1002");
        assert_eq!(stopping[0]["drain_ms"], 9_400, "{bounds}: {stopping:?}");
    }
}

/// Guards against requests on a backend server that starts beside a stopping daemon, which the end of
/// the daemon cuts off.
#[test]
fn server_that_starts_beside_a_stopping_daemon_receives_no_requests() {
    let (mut mesh, _servers) = start(&[1]);
    mesh.terminate(1);
    wait_for("not ready", || (!mesh.is_ready(1)).then_some(()));
    let late = Server::start();
    let platform = mesh.platform_addr(1);
    for sequence in [1, 2] {
        let report = report_process(&platform, "i-late", &late.addr, "ready", (2, sequence), 50);
        assert_eq!(report, 200);
        // The second report confirms the server.
        std::thread::sleep(Duration::from_millis(500));
    }
    for n in 0..20 {
        let text = request("GET", &format!("/view/{n}"), "a", "");
        let response = exchange(&mesh.outbound_addr(2), &text).unwrap_or_default();
        assert_eq!(status(&response), 503, "{response}");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(late.received_count(), 0);
    mesh.wait_for_exit(1);
}

/// Configures an own route and announces a backend server for it at a daemon.
fn serve_own_route(mesh: &Mesh, home: usize, server: &Server) {
    server.set_script(Script::ByTarget);
    let text = "[services/desk]\n[routes/plans]\nprefix = /plans\nmethods = GET\nservice = desk\n\
                deadline_ms = 20000\nidempotent = false\n";
    let change = serde_json::json!({
        "change_id": "c1", "base_revision": 0, "text": text, "author": "test"});
    put(&mesh.admin_addr(0), "/v1/teams/rybar/config", &change);
    announce(mesh, home, server);
}

fn announce(mesh: &Mesh, home: usize, server: &Server) {
    let announcement = serde_json::json!({
        "service": "rybar/desk", "addr": server.addr, "slots": 20, "state": "ready",
        "lease_ms": 60_000});
    put(
        &mesh.announce_addr(home),
        "/v1/servers/desk-1",
        &announcement,
    );
}

/// Sends a request until it is accepted.
fn put(addr: &str, target: &str, body: &serde_json::Value) {
    let text = request("PUT", target, "", &body.to_string());
    wait_for(target, || {
        let response = exchange(addr, &text)?;
        (status(&response) == 200).then_some(())
    });
}

/// Guards against announcements, which servers repeat, that open a gate which the stop has closed.
#[test]
fn announcement_does_not_reopen_a_server_of_a_stopping_daemon() {
    let (mut mesh, _servers) = start(&[1]);
    let own = Server::start();
    serve_own_route(&mesh, 1, &own);
    let call = || {
        let text = request("GET", "/plans/1", "", "");
        exchange(&mesh.callers_addr(2), &text).map(|response| status(&response))
    };
    wait_for("a response", || (call() == Some(200)).then_some(()));
    mesh.terminate(1);
    wait_for("the end of the offer", || {
        (call() == Some(503)).then_some(())
    });
    own.clear_received();
    announce(&mesh, 1, &own);
    for _ in 0..20 {
        assert_eq!(call(), Some(503));
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(own.received_count(), 0);
    mesh.wait_for_exit(1);
}

/// Guards against requests at own routes that run on another instance and are cut by a stop, also
/// those that outlast it, and against new ones that are taken although they may.
#[test]
fn requests_at_own_routes_are_answered_during_a_stop() {
    let (mut mesh, servers) = start(&[1]);
    let own = Server::start();
    serve_own_route(&mesh, 1, &own);
    let addr = mesh.callers_addr(0);
    let call = |target: &str, extra: &str| {
        let text = request("GET", &format!("/plans/{target}"), "", "");
        let addr = addr.clone();
        let text = text.replacen("\r\n\r\n", &format!("\r\n{extra}\r\n"), 1);
        std::thread::spawn(move || exchange(&addr, &text).unwrap_or_default())
    };
    wait_for("a response", || {
        let response = call("1", "").join().expect("a caller");
        (status(&response) == 200).then_some(())
    });
    own.clear_received();
    // Requests before the stop; those that may last until after its end; and one that can't.
    let before = [("slower", 200, "ran"), ("hang", 502, "unknown")];
    let late = [
        ("", 503, "not-run"),
        ("Idempotency-Key: k\r\n", 503, "unknown"),
        ("Foxtailgauge-Deadline-Ms: 1000\r\n", 200, "ran"),
    ];
    let callers = before.map(|(target, ..)| call(target, ""));
    wait_for("the arrivals", || (own.received_count() == 2).then_some(()));
    mesh.terminate(0);
    wait_for("the stop", || {
        (!mesh.grep(0, "\"event\":1002").is_empty()).then_some(())
    });
    let late_callers = late.map(|(extra, ..)| call("slow", extra));
    let expected = before.iter().chain(&late);
    for (caller, (name, expected, outcome)) in callers.into_iter().chain(late_callers).zip(expected)
    {
        let response = caller.join().expect("a caller");
        let seen = header(&response, "foxtailgauge-outcome");
        assert_eq!(
            (status(&response), seen.as_deref()),
            (*expected, Some(*outcome)),
            "{name}: {response}"
        );
    }
    assert_eq!(own.received_count(), 3);
    mesh.wait_for_exit(0);
    drop(servers);
}

/// Guards against the last lines of the log being lost at the exit.
#[test]
fn end_of_a_stop_is_logged() {
    const STOPS: usize = 10;
    let mut mesh = Mesh::start(0);
    for _ in 0..STOPS {
        wait_for("the start", || TcpStream::connect(mesh.admin_addr(0)).ok());
        mesh.terminate(0);
        mesh.wait_for_exit(0);
        mesh.start_daemon(0, false);
    }
    assert_eq!(mesh.grep(0, "\"event\":1003").len(), STOPS);
}
