//! Real daemons that receive odd reports of backend servers, again and again, while they elect leaders,
//! write snapshots and restart.

mod mesh_support;

use mesh_support::{
    document, exchange, put_document, report, report_process, status, wait_for, Mesh, Server,
    Topology,
};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const REPLICAS: usize = 3;
/// The sidecar with the backend server, and another one.
const HOME: usize = REPLICAS;
const OTHER: usize = REPLICAS + 1;
/// Time after which a backend server that leaves receives no more requests.
const DRAIN: Duration = Duration::from_secs(2);
const A_YEAR_MS: u64 = 365 * 24 * 3_600_000;
const DEPTH: usize = 100_000;

/// A proper report, of which one value is replaced.
fn with(path: &str, value: Value) -> Vec<u8> {
    let mut body = json!({
        "address": "127.0.0.1:9", "born": 1,
        "info": {"service": "viewer", "version": "v1", "zone": "z", "capacity": 4},
        "status": {"state": "ready", "sequence": 1, "warmup_left_ms": 0},
    });
    *body.pointer_mut(path).expect("a value of the report") = value;
    body.to_string().into_bytes()
}

/// A proper report with a text in place of the number of slots.
fn with_capacity(text: &str) -> Vec<u8> {
    let body = String::from_utf8(with("/info/capacity", json!(4))).expect("UTF-8");
    body.replace("\"capacity\":4", &format!("\"capacity\":{text}"))
        .into_bytes()
}

fn odd_reports() -> Vec<(&'static str, Vec<u8>)> {
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let objects = "{\"a\":".repeat(DEPTH) + "1" + &"}".repeat(DEPTH);
    vec![
        ("nothing", Vec::new()),
        ("no JSON", b"\xff\xfe\x00{".to_vec()),
        ("cut short", with("/born", json!(1))[..40].to_vec()),
        ("nested lists", nested.clone().into_bytes()),
        ("nested objects", objects.into_bytes()),
        ("nested value", with_capacity(&nested)),
        ("huge exponent", with_capacity("1e400")),
        (
            "number above 64 bits",
            with_capacity("184467440737095516160"),
        ),
        ("many slots", with_capacity("4294967295")),
        ("no slots", with_capacity("0")),
        ("negative slots", with_capacity("-1")),
        (
            "port out of range",
            with("/address", json!("127.0.0.1:70000")),
        ),
        ("port 0", with("/address", json!("127.0.0.1:0"))),
        ("no single address", with("/address", json!("0.0.0.0:80"))),
        ("group address", with("/address", json!("224.0.0.1:80"))),
        ("address without port", with("/address", json!("127.0.0.1"))),
        ("unknown state", with("/status/state", json!("resting"))),
        (
            "state of another type",
            with("/status/state", json!({"a": 1})),
        ),
        ("no info", with("/info", json!(null))),
        (
            "long version",
            with("/info/version", json!("v".repeat(1 << 20))),
        ),
        ("start in the far future", with("/born", json!(u64::MAX))),
        (
            "sequence out of range",
            with("/status/sequence", json!(u64::MAX)),
        ),
    ]
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(now.expect("a time").as_millis()).expect("milliseconds")
}

/// Sends a report; its status, or `None` if the daemon is not running.
fn send_report(platform: &str, server: &str, body: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(platform).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let head = format!(
        "PUT /foxtailgauge/instances/{server} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    (!response.is_empty()).then(|| status(&response))
}

fn view(mesh: &Mesh, n: usize) -> u16 {
    let text = "GET /view/1 HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 1000\r\n\r\n";
    exchange(&mesh.outbound_addr(n), text).map_or(0, |response| status(&response))
}

fn start() -> (Mesh, Server) {
    let mesh = Mesh::start_with(Topology {
        replicas: REPLICAS,
        sidecars: 2,
        domains: REPLICAS,
        has_links: false,
    });
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let server = Server::start();
    let home = mesh.platform_addr(HOME);
    assert_eq!(report(&home, "i-1", &server.addr, "ready", 1), 200);
    wait_for("a response", || (view(&mesh, OTHER) == 200).then_some(()));
    (mesh, server)
}

/// Guards against a report that is taken although it names no backend server, or that keeps later ones
/// of the backend server from being followed: a sequence or start out of range was newer than all of
/// them.
#[test]
fn odd_report_is_refused_and_later_reports_are_followed() {
    let (mesh, server) = start();
    let home = mesh.platform_addr(HOME);
    for (name, body) in odd_reports() {
        for id in ["i-1", "odd-1"] {
            let refused = send_report(&home, id, &body);
            assert_eq!(refused, Some(400), "{name} under {id}");
        }
        assert_eq!(view(&mesh, OTHER), 200, "after {name}");
    }
    // Proper in itself, but later than the clock and the time since the known process started allow.
    let ahead_ms = unix_ms() + A_YEAR_MS;
    for id in ["i-1", "odd-1"] {
        let refused = report_process(&home, id, &server.addr, "ready", (ahead_ms, 1), 4);
        assert_eq!(refused, 400, "start a year ahead under {id}");
    }
    assert_eq!(report(&home, "i-1", &server.addr, "draining", 2), 200);
    std::thread::sleep(DRAIN);
    assert_eq!(view(&mesh, OTHER), 503, "the backend server leaves");
}

/// Guards against a restarted backend server that is taken for an odd entry: its daemon, which restarted
/// too, has known the earlier process for a moment only.
#[test]
fn server_that_restarts_after_a_long_life_is_used_at_once() {
    let (mut mesh, server) = start();
    let now_ms = unix_ms();
    mesh.kill(HOME);
    mesh.start_daemon(HOME, false);
    let home = mesh.platform_addr(HOME);
    wait_for("the daemon", || TcpStream::connect(&home).ok());
    for started_ms in [now_ms - A_YEAR_MS, now_ms] {
        let reported = report_process(&home, "i-1", &server.addr, "ready", (started_ms, 1), 4);
        assert_eq!(reported, 200, "started at {started_ms}");
    }
    wait_for("a response", || (view(&mesh, OTHER) == 200).then_some(()));
}

/// Guards against odd reports that end a daemon or keep it from following the others.
#[test]
fn storm_of_odd_reports_harms_neither_daemons_nor_backend_servers() {
    let (mut mesh, server) = start();
    let is_done = AtomicBool::new(false);
    let version = AtomicU64::new(1);
    let (served, failed, sent) = (
        AtomicUsize::default(),
        AtomicUsize::default(),
        AtomicUsize::default(),
    );
    let platforms: Vec<String> = (0..=OTHER).map(|n| mesh.platform_addr(n)).collect();
    let outbound = mesh.outbound_addr(OTHER);
    let is_running = || !is_done.load(Ordering::Relaxed);
    std::thread::scope(|scope| {
        for platform in &platforms {
            let (is_running, sent) = (&is_running, &sent);
            scope.spawn(move || {
                let reports = odd_reports();
                for (n, (_, body)) in reports.iter().cycle().enumerate() {
                    if !is_running() {
                        return;
                    }
                    let id = ["i-1", "odd-1", "odd-2"][n % 3];
                    // A replica may be down at present.
                    send_report(platform, id, body);
                    sent.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(5));
                }
            });
        }
        scope.spawn(|| {
            for sequence in 2.. {
                if !is_running() {
                    return;
                }
                report(&platforms[HOME], "i-1", &server.addr, "ready", sequence);
                std::thread::sleep(Duration::from_millis(400));
            }
        });
        // Changes at intervals shorter than it takes to write a snapshot of each twenty.
        scope.spawn(|| {
            while is_running() {
                let base = version.load(Ordering::Relaxed);
                let next = document(base + 1);
                if platforms[..REPLICAS]
                    .iter()
                    .any(|platform| matches!(put_document(platform, base, &next), Some(200 | 412)))
                {
                    version.store(base + 1, Ordering::Relaxed);
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        scope.spawn(|| {
            let text = "GET /view/1 HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: a1\r\n\
                        Deadline-Ms: 1000\r\n\r\n";
            while is_running() {
                let response = exchange(&outbound, text).unwrap_or_default();
                match status(&response) {
                    200 => served.fetch_add(1, Ordering::Relaxed),
                    _ => failed.fetch_add(1, Ordering::Relaxed),
                };
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        for n in 0..REPLICAS {
            std::thread::sleep(Duration::from_secs(1));
            mesh.kill(n);
            std::thread::sleep(Duration::from_millis(700));
            mesh.start_daemon(n, false);
        }
        std::thread::sleep(Duration::from_secs(2));
        is_done.store(true, Ordering::Relaxed);
    });
    for n in 0..=OTHER {
        assert!(!mesh.has_exited(n), "daemon {n} ended");
    }
    let [served, failed, sent] = [served, failed, sent].map(|count| count.into_inner());
    println!("{sent} odd reports, {served} requests served, {failed} failed, {version:?}");
    assert!(failed * 100 <= served, "{failed} failed, {served} served");
    let logged: usize = (0..REPLICAS)
        .map(|n| mesh.grep(n, "\"event\":2004").len())
        .sum();
    assert!(logged > 0, "no snapshot was written");
    let started = Instant::now();
    let home = mesh.platform_addr(HOME);
    assert_eq!(
        report(&home, "i-1", &server.addr, "draining", 1_000_000),
        200
    );
    wait_for("the end of the requests", || {
        (view(&mesh, OTHER) == 503).then_some(())
    });
    assert!(started.elapsed() < DRAIN);
}
