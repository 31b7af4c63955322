//! Backend servers whose answers break off at any part. No caller may take what arrived for a whole
//! success.

mod mesh_support;

use mesh_support::{document, header, read_message, report, status, wait_for, Mesh};
use rustix::net::sockopt::set_socket_linger;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// More than daemons buffer of an answer before they send its head.
const LARGE_BYTES: usize = 150_000;
/// More than daemons and the connections between them buffer.
const STREAMED_BYTES: usize = 1_000_000;
/// What daemons buffer.
const BUFFERED_BYTES: usize = 64 << 10;
/// Requests that fill the budget for one retry.
const REQUESTS_PER_RETRY: usize = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

/// How the connection of an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Close,
    Reset,
}

/// An answer that breaks off after some bytes the first time that its request arrives.
#[derive(Clone, Copy, Debug)]
struct Breaking {
    framing: Framing,
    body_bytes: usize,
    at: usize,
    cut: Cut,
    /// Whether the server answers before it has read the body of the request.
    is_early: bool,
}

impl Breaking {
    /// A whole answer; set `at` to break it off.
    fn new(framing: Framing, body_bytes: usize, cut: Cut) -> Self {
        Breaking {
            framing,
            body_bytes,
            at: usize::MAX,
            cut,
            is_early: false,
        }
    }

    fn body(&self) -> String {
        "0123456789".repeat(self.body_bytes / 10)
    }

    /// Head and body; all but the framing stands before the place where a head can break off unseen.
    fn answer(&self, id: &str) -> String {
        let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\n");
        let body = self.body();
        match self.framing {
            Framing::Length => format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()),
            Framing::UntilClose => format!("{head}Connection: close\r\n\r\n{body}"),
            Framing::Chunked => {
                let (first, second) = body.split_at(body.len() / 2);
                let (one, two) = (first.len(), second.len());
                format!(
                    "{head}Transfer-Encoding: chunked\r\n\r\n{one:x}\r\n{first}\r\n{two:x}\r\n{second}\r\n0\r\n\r\n"
                )
            }
        }
    }
}

/// State of the two backend servers.
#[derive(Default)]
struct Script {
    breaking: Option<Breaking>,
    seen: HashSet<String>,
    arrivals: usize,
}

fn start_server(script: Arc<Mutex<Script>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = Arc::clone(&script);
            std::thread::spawn(move || serve(stream, &script));
        }
    });
    addr
}

fn serve(mut stream: TcpStream, script: &Mutex<Script>) {
    loop {
        let is_early = script.lock().unwrap().breaking.is_some_and(|b| b.is_early);
        let request = match is_early {
            true => read_head(&mut stream),
            false => read_message(&mut stream),
        };
        let Some(request) = request else {
            return;
        };
        let id = header(&request, "attempt-id").unwrap_or_default();
        let mut state = script.lock().unwrap();
        let breaking = state.breaking.filter(|_| id.starts_with("breaks"));
        let is_first = breaking.is_some() && state.seen.insert(id.clone());
        state.arrivals += usize::from(breaking.is_some());
        drop(state);
        let Some(breaking) = breaking else {
            let text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer-Seal: seal\r\n";
            // The peer may have closed the connection.
            let _ = stream.write_all(format!("{text}Attempt-Id: {id}\r\n\r\n").as_bytes());
            continue;
        };
        let answer = breaking.answer(&id);
        let bytes = match is_first {
            true => &answer.as_bytes()[..breaking.at.min(answer.len())],
            false => answer.as_bytes(),
        };
        let _ = stream.write_all(bytes);
        if is_first && breaking.cut == Cut::Reset {
            // What was sent arrives before the reset.
            std::thread::sleep(Duration::from_millis(10));
            set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
        }
        if is_first || breaking.framing == Framing::UntilClose {
            return;
        }
    }
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// What a caller got: a status, and the body if the response is whole in its framing.
#[derive(Debug)]
struct Received {
    status: u16,
    whole_body: Option<String>,
}

fn receive(stream: &mut TcpStream) -> Received {
    let head = read_head(stream).unwrap_or_default();
    let length = header(&head, "content-length").and_then(|text| text.parse().ok());
    let whole_body = match length {
        _ if head.is_empty() => None,
        Some(length) => read_exactly(stream, length),
        None if header(&head, "transfer-encoding").is_some() => read_chunks(stream),
        None => {
            let mut body = String::new();
            stream.read_to_string(&mut body).is_ok().then_some(body)
        }
    };
    let status = status(&head);
    Received { status, whole_body }
}

fn read_exactly(stream: &mut TcpStream, length: usize) -> Option<String> {
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_chunks(stream: &mut TcpStream) -> Option<String> {
    let mut body = String::new();
    loop {
        let mut line = String::new();
        while !line.ends_with("\r\n") {
            line += &read_exactly(stream, 1)?;
        }
        let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
        body += &read_exactly(stream, length)?;
        read_exactly(stream, 2)?;
        if length == 0 {
            return Some(body);
        }
    }
}

/// Three sidecars, two of them with a backend server; both servers run the same script.
struct Fixture {
    mesh: Mesh,
    script: Arc<Mutex<Script>>,
    next_id: usize,
}

/// Sidecar beside a backend server.
const LOCAL: usize = 1;
/// Sidecar without one: all its requests go over a hop.
const REMOTE: usize = 3;

impl Fixture {
    fn start() -> Self {
        let mesh = Mesh::start(3);
        assert_eq!(mesh.put_document(0, &document(1)), 200);
        let script = Arc::new(Mutex::new(Script::default()));
        for n in [1, 2] {
            let (addr, platform) = (start_server(Arc::clone(&script)), mesh.platform_addr(n));
            // Each report renews the lease. The last one fails as the daemon has ended.
            std::thread::spawn(move || {
                let report = |at| report(&platform, &format!("i-{n}"), &addr, "ready", at);
                for at in (1..).take_while(|at| report(*at) == 200) {
                    std::thread::sleep(Duration::from_secs(at.min(2)));
                }
            });
        }
        let next_id = 0;
        let mut fixture = Fixture {
            mesh,
            script,
            next_id,
        };
        for n in 1..=3 {
            wait_for("readiness", || fixture.mesh.is_ready(n).then_some(()));
            wait_for("a response", || {
                (fixture.send(n, "GET /view/", "plain", "HTTP/1.1", 0).status == 200).then_some(())
            });
        }
        // All daemons know both servers.
        std::thread::sleep(Duration::from_millis(500));
        fixture
    }

    fn send(
        &mut self,
        n: usize,
        target: &str,
        kind: &str,
        version: &str,
        body_bytes: usize,
    ) -> Received {
        self.next_id += 1;
        let id = format!("{kind}-{:05}", self.next_id);
        let mut stream = TcpStream::connect(self.mesh.outbound_addr(n)).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        let head = format!(
            "{target}{id} {version}\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: 1000\r\nContent-Length: {body_bytes}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        // The daemon answers and closes if the server answers early.
        let _ = stream.write_all("b".repeat(body_bytes).as_bytes());
        receive(&mut stream)
    }

    /// Lets a request run into a breaking answer; returns what the caller got, and the arrivals.
    fn break_off(
        &mut self,
        n: usize,
        target: &str,
        version: &str,
        breaking: Breaking,
    ) -> (Received, usize) {
        let is_repeated = target.starts_with("GET");
        for _ in 0..if is_repeated { REQUESTS_PER_RETRY } else { 1 } {
            self.send(n, "GET /view/", "plain", "HTTP/1.1", 0);
        }
        let body_bytes = if breaking.is_early { LARGE_BYTES } else { 0 };
        let before = {
            let mut script = self.script.lock().unwrap();
            script.breaking = Some(breaking);
            script.arrivals
        };
        let received = self.send(n, target, "breaks", version, body_bytes);
        let mut script = self.script.lock().unwrap();
        script.breaking = None;
        (received, script.arrivals - before)
    }
}

/// Places of an answer at which it breaks off, by the text before them.
fn places(answer: &str, framing: Framing) -> Vec<(&'static str, usize)> {
    let behind = |text: &str| answer.find(text).map(|at| at + text.len()).unwrap();
    let head_end = behind("\r\n\r\n");
    let mut places = vec![
        ("in the status line", behind("HTTP/1.1 2")),
        ("before the end of the status line", behind("200 OK")),
        ("behind the status line", behind("200 OK\r\n")),
        ("in a header name", behind("\r\nServer-Se")),
        ("behind a header line", behind("Server-Seal: seal\r\n")),
        ("before the empty line", head_end - 2),
        ("in the empty line", head_end - 1),
        ("behind the head", head_end),
        ("in the body", (head_end + answer.len()) / 2),
        ("before the last byte", answer.len() - 1),
    ];
    if framing == Framing::Chunked {
        places.extend([
            ("in a chunk size", head_end + 1),
            ("in a chunk", head_end + 8),
            ("before the last chunk", answer.len() - "0\r\n\r\n".len()),
            ("in the last chunk", answer.len() - "\r\n".len()),
        ]);
    }
    places
}

#[test]
fn answer_that_breaks_off_at_any_part_is_no_whole_success() {
    let mut fixture = Fixture::start();
    for (framing, body_bytes, cut) in [
        (Framing::Length, 40, Cut::Close),
        (Framing::Length, 40, Cut::Reset),
        (Framing::Length, LARGE_BYTES, Cut::Close),
        (Framing::Chunked, 40, Cut::Close),
        (Framing::Chunked, LARGE_BYTES, Cut::Reset),
        (Framing::UntilClose, 40, Cut::Close),
        (Framing::UntilClose, 40, Cut::Reset),
        (Framing::UntilClose, LARGE_BYTES, Cut::Reset),
    ] {
        let whole = Breaking::new(framing, body_bytes, cut);
        let answer = whole.answer("breaks-00000");
        let head_end = answer.find("\r\n\r\n").unwrap() + 4;
        for (place, at) in places(&answer, framing) {
            if (framing, cut) == (Framing::UntilClose, Cut::Close) && at >= head_end {
                // Its end is that of the connection: it is whole.
                continue;
            }
            let breaking = Breaking { at, ..whole };
            for (n, target) in [
                (LOCAL, "POST /commit/"),
                (REMOTE, "POST /commit/"),
                (LOCAL, "GET /view/"),
                (REMOTE, "GET /view/"),
            ] {
                let case = format!("{place} of {breaking:?}, {target} at d{n}");
                let (received, arrivals) = fixture.break_off(n, target, "HTTP/1.1", breaking);
                let may_be_streamed = at.saturating_sub(head_end) > BUFFERED_BYTES;
                let is_whole = received.whole_body == Some(breaking.body());
                let is_expected = match (received.status, arrivals) {
                    // The head was sent before the answer broke off.
                    (200, 1) => may_be_streamed && received.whole_body.is_none(),
                    (200, 2) => target.starts_with("GET") && is_whole,
                    (502, 1) => target.starts_with("POST"),
                    _ => false,
                };
                let length = received.whole_body.as_ref().map(String::len);
                assert!(
                    is_expected,
                    "{case}: {}, whole body {length:?}, {arrivals} arrivals",
                    received.status
                );
            }
        }
    }
}

/// Every single byte of a small answer, which a daemon buffers.
#[test]
fn answer_that_breaks_off_at_any_byte_is_an_unknown_outcome() {
    let mut fixture = Fixture::start();
    for (framing, cut) in [
        (Framing::Length, Cut::Close),
        (Framing::Chunked, Cut::Close),
        (Framing::UntilClose, Cut::Reset),
    ] {
        let whole = Breaking::new(framing, 20, cut);
        for at in 0..whole.answer("breaks-00000").len() - 1 {
            let n = if at % 2 == 0 { LOCAL } else { REMOTE };
            let breaking = Breaking { at, ..whole };
            let (received, arrivals) = fixture.break_off(n, "POST /commit/", "HTTP/1.1", breaking);
            assert_eq!(
                (received.status, arrivals),
                (502, 1),
                "{breaking:?}: {received:?}"
            );
        }
    }
}

/// A caller of HTTP/1.0 takes the end of the connection for the end of the response.
#[test]
fn streamed_answer_that_breaks_off_resets_a_caller_that_reads_to_the_end() {
    let mut fixture = Fixture::start();
    for (framing, cut) in [
        (Framing::Chunked, Cut::Close),
        (Framing::UntilClose, Cut::Reset),
    ] {
        for n in [LOCAL, REMOTE] {
            let breaking = Breaking {
                at: STREAMED_BYTES * 9 / 10,
                ..Breaking::new(framing, STREAMED_BYTES, cut)
            };
            let (received, _) = fixture.break_off(n, "POST /commit/", "HTTP/1.0", breaking);
            let length = received.whole_body.map(|body| body.len());
            assert_eq!(
                (received.status, length),
                (200, None),
                "{breaking:?} at d{n}"
            );
        }
    }
}

#[test]
fn early_answer_that_breaks_off_is_no_whole_success() {
    let mut fixture = Fixture::start();
    for (framing, cut) in [
        (Framing::Length, Cut::Close),
        (Framing::Chunked, Cut::Close),
        (Framing::UntilClose, Cut::Reset),
    ] {
        let whole = Breaking {
            is_early: true,
            ..Breaking::new(framing, 40, cut)
        };
        for (place, at) in places(&whole.answer("breaks-00000"), framing) {
            for (n, target) in [(LOCAL, "POST /commit/"), (REMOTE, "GET /view/")] {
                let breaking = Breaking { at, ..whole };
                let (received, arrivals) = fixture.break_off(n, target, "HTTP/1.1", breaking);
                // A streamed body can't be sent again.
                assert_eq!(
                    (received.status, arrivals),
                    (502, 1),
                    "{place} of {breaking:?}, {target} at d{n}: {received:?}"
                );
            }
        }
    }
}
