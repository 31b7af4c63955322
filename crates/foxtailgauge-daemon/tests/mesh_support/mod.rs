//! A small fleet of real daemons that carry plain HTTP, with backend servers by script.
//!
//! Each test file uses a part of it.
#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest time that anything may take.
pub const LIMIT: Duration = Duration::from_secs(30);

/// What a backend server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Script {
    /// Answers with the head and body it received.
    Echo,
    /// Answers after a time, in milliseconds.
    Slow(u64),
    /// Says that it did not run the request.
    Decline,
    /// Answers 500.
    Fail,
    /// Closes the connection without an answer.
    Break,
    /// Announces more bytes than it sends.
    Truncate,
    /// Answers another request.
    Stray,
    /// Dies: closes its connections and takes no more.
    Die,
    /// Answers 503 without saying that it did not run.
    BareUnavailable,
}

/// A backend server. It keeps the raw requests that it received.
pub struct Server {
    pub addr: String,
    pub script: Arc<Mutex<Script>>,
    pub seen: Arc<Mutex<Vec<String>>>,
}

impl Server {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address").to_string();
        let script = Arc::new(Mutex::new(Script::Echo));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (with_script, with_seen) = (Arc::clone(&script), Arc::clone(&seen));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if with_seen
                    .lock()
                    .expect("seen")
                    .iter()
                    .any(|r: &String| r.contains("/poison"))
                {
                    return;
                }
                let (script, seen) = (Arc::clone(&with_script), Arc::clone(&with_seen));
                std::thread::spawn(move || serve(stream, &script, &seen));
            }
        });
        Server { addr, script, seen }
    }

    pub fn set(&self, script: Script) {
        *self.script.lock().expect("script") = script;
    }

    /// Forgets what it received.
    pub fn forget(&self) {
        self.seen.lock().expect("seen").clear();
    }

    pub fn count(&self) -> usize {
        self.seen.lock().expect("seen").len()
    }
}

fn serve(mut stream: TcpStream, script: &Mutex<Script>, seen: &Mutex<Vec<String>>) {
    while let Some(request) = read_message(&mut stream) {
        seen.lock().expect("seen").push(request.clone());
        let id = header(&request, "attempt-id").unwrap_or_default();
        let script = *script.lock().expect("script");
        if let Script::Slow(ms) = script {
            std::thread::sleep(Duration::from_millis(ms));
        }
        let answer = match script {
            Script::Echo | Script::Slow(_) => answer("200 OK", &id, "", &request),
            Script::Decline => answer("503 No", &id, "Not-Executed: 1\r\n", ""),
            Script::Fail => answer("500 Failed", &id, "", "failed"),
            Script::Stray => answer("200 OK", "another", "", "not yours"),
            Script::BareUnavailable => answer("503 No", &id, "", "ran"),
            Script::Truncate => {
                let head = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n";
                let text = format!("{head}Attempt-Id: {id}\r\n\r\nshort");
                // The other side may be gone.
                let _ = stream.write_all(text.as_bytes());
                return;
            }
            Script::Die => {
                // The listener ends with the next connection, before the caller is told.
                let addr = stream.local_addr().expect("an address");
                drop(TcpStream::connect(addr));
                std::thread::sleep(Duration::from_millis(20));
                return;
            }
            Script::Break => return,
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn answer(status: &str, id: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nAttempt-Id: {id}\r\n\
         Server-Seal: seal\r\n{more}\r\n{body}"
    )
}

/// Reads one message with its body by `Content-Length`; `None` at the end of the stream.
pub fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => return None,
        }
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let length = header(&head, "content-length").map_or(0, |text| text.parse().unwrap_or(0));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

/// A header's value in a raw message.
pub fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    let mut lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    Some(found.1.trim().to_owned())
}

/// Status of a raw answer; 0 if it is none.
pub fn status(message: &str) -> u16 {
    let code = message.split(' ').nth(1);
    code.and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Body of a raw message.
pub fn body(message: &str) -> &str {
    message.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

/// Sends raw bytes and reads one answer; `None` if the connection ends without a whole one.
pub fn exchange(addr: &str, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(LIMIT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream)
}

/// Waits until a probe gives a value.
pub fn wait_for<T>(what: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + LIMIT;
    loop {
        if let Some(value) = probe() {
            return value;
        }
        assert!(Instant::now() < end, "{what} took longer than {LIMIT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// One replica and some sidecars.
pub struct Mesh {
    dir: tempfile::TempDir,
    ports: Vec<u16>,
    children: Vec<Child>,
}

/// Ports of each daemon: five of the range, then outbound, ready, platform, metrics.
const PORTS: usize = 9;

impl Mesh {
    pub fn start(sidecars: usize) -> Self {
        let mut mesh = Mesh {
            dir: tempfile::tempdir().expect("a folder"),
            ports: free_ports(sidecars + 1),
            children: Vec::new(),
        };
        std::fs::write(mesh.path("key"), "a key of more than sixteen bytes").expect("a key file");
        for n in 0..=sidecars {
            let settings = mesh.settings(n);
            let file = mesh.path(&format!("d{n}.ini"));
            std::fs::write(&file, settings).expect("settings");
            let log = std::fs::File::create(mesh.path(&format!("d{n}.log"))).expect("a log");
            let child = Command::new(env!("CARGO_BIN_EXE_foxtailgauged"))
                .arg("--settings")
                .arg(&file)
                .stdout(log.try_clone().expect("a log"))
                .stderr(log)
                .stdin(Stdio::null())
                .spawn()
                .expect("the daemon");
            mesh.children.push(child);
        }
        mesh
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Each daemon has an address of its own, as all use the same control port.
    fn ip(n: usize) -> String {
        format!("127.0.0.{}", n + 1)
    }

    fn settings(&self, n: usize) -> String {
        let first = self.ports[0];
        let last = first + 4;
        let ip = Self::ip(n);
        let key = self.path("key");
        let seeds = format!("{}:{}", Self::ip(0), self.platform_port());
        let role = if n == 0 {
            format!("[store]\ndir = {}\n", self.path("store").display())
        } else {
            String::new()
        };
        let outbound = if n == 0 {
            String::new()
        } else {
            let (outbound, ready) = (self.outbound(n), self.ready(n));
            let metrics = self.metrics(n);
            format!(
                "outbound = {outbound}\nready = {ready}\nmetrics = {metrics}\nservice = viewer\n"
            )
        };
        format!(
            "[instance]\nname = d{n}\nfailure_domain = z{n}\n\
             [listen]\naddress = {ip}\nports = {first},{last}\n\
             [replicas]\nseeds = {seeds}\nmay_form = true\n\
             [cluster]\nkey_file = {}\n{role}\
             [mesh]\nworkspace = mesh\nplatform = {}\nreport_interval_ms = 1000\n\
             stop_grace_ms = 3000\n{outbound}[log]\nlevel = debug\n",
            key.display(),
            self.platform(n),
        )
    }

    fn platform_port(&self) -> u16 {
        self.ports[0] + 7
    }

    /// Where callers on sidecar `n` send their requests.
    pub fn outbound(&self, n: usize) -> String {
        format!("{}:{}", Self::ip(n), self.ports[0] + 5)
    }

    pub fn ready(&self, n: usize) -> String {
        format!("{}:{}", Self::ip(n), self.ports[0] + 6)
    }

    pub fn metrics(&self, n: usize) -> String {
        format!("{}:{}", Self::ip(n), self.ports[0] + 8)
    }

    pub fn platform(&self, n: usize) -> String {
        format!("{}:{}", Self::ip(n), self.platform_port())
    }

    /// Sends an operator's document, again and again until it has a clear answer.
    pub fn put_document(&self, base: u64, document: &serde_json::Value) -> u16 {
        wait_for("a clear answer to the document", || {
            let body = document.to_string();
            let request = format!(
                "PUT /foxtailgauge/config HTTP/1.1\r\nHost: x\r\nIf-Match: {base:08x}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let status = status(&exchange(&self.platform(0), &request)?);
            (status != 503).then_some(status)
        })
    }

    /// Reports a backend server to the daemon beside it.
    pub fn report(&self, n: usize, server: &str, addr: &str, state: &str, sequence: u64) -> u16 {
        let body = serde_json::json!({
            "address": addr, "born": 1,
            "info": {"service": "viewer", "version": "v1", "zone": "z", "capacity": 4},
            "status": {"state": state, "sequence": sequence, "warmup_left_ms": 0},
        })
        .to_string();
        let request = format!(
            "PUT /foxtailgauge/instances/{server} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        exchange(&self.platform(n), &request).map_or(0, |answer| status(&answer))
    }

    pub fn is_ready(&self, n: usize) -> bool {
        let request = "GET /foxtailgauge/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        exchange(&self.ready(n), request).is_some_and(|answer| status(&answer) == 200)
    }

    /// Log lines of a daemon that hold a text, as `grep` finds them.
    pub fn grep(&self, n: usize, text: &str) -> Vec<serde_json::Value> {
        let log = std::fs::read_to_string(self.path(&format!("d{n}.log"))).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Tells a daemon to stop.
    pub fn terminate(&self, n: usize) {
        let pid = i32::try_from(self.children[n].id()).expect("a pid");
        let pid = rustix::process::Pid::from_raw(pid).expect("a pid");
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("a signal");
    }

    /// Waits for the end of a daemon.
    pub fn wait_end(&mut self, n: usize) {
        let child = &mut self.children[n];
        wait_for("the end of a daemon", || child.try_wait().ok().flatten());
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for child in &mut self.children {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// First of a run of ports that are free on all the daemons' addresses.
fn free_ports(daemons: usize) -> Vec<u16> {
    for _ in 0..200 {
        let first = 20_000 + rand::random::<u16>() % 12_000;
        let is_free = |port: u16| {
            (0..daemons).all(|n| TcpListener::bind((Mesh::ip(n).as_str(), port)).is_ok())
        };
        let run: Vec<u16> = (first..first + PORTS as u16).collect();
        if run.iter().all(|port| is_free(*port)) {
            return run;
        }
    }
    panic!("no free ports");
}

/// A document with one host, an idempotent route `/view/` and a once-only route `/commit/`.
pub fn document(version: u64) -> serde_json::Value {
    let rule = |name: &str, kind: &str, prefix: &str| {
        serde_json::json!({
            "name": name, "route_type": kind, "target_latency_ms": 500, "priority": 1,
            "match": {"path_prefix": prefix},
            "action": {"service": "viewer", "timeout_ms": 1500, "max_attempts": 2}})
    };
    serde_json::json!({
        "version": format!("{version:08x}"),
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 200_000,
                   "header_timeout_ms": 1000, "idle_timeout_ms": 5000},
        "listeners": [{"host": "plans.example", "rule_set": [
            rule("view", "safe", "/view/"), rule("commit", "unsafe", "/commit/")]}],
        "clusters": [{"name": "viewer", "health_check_path": "/health", "max_connections": 50}],
    })
}
