//! A small deployment on loopback: daemons as separate processes, and stand-ins for the platform,
//! the backend servers, the callers and the operator. Uses the standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Bounds of the deployment, as the platform states them for `vonjalnik`.
pub const BOUNDS: &str = "seed_lag_s=3,addr_reuse_s=2,contact_ms=3000,ack_timeout_ms=4000,catch_up_s=4,drain_ms=2000,grace_s=6,loss_slack_ms=200,config_apply_ms=2000,rollback_slack_ms=250,max_stretch_ms=5000,retry_budget_ratio=0.2,budget_window_s=10,budget_slack=62,recovery_s=15";
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const DRAIN: Duration = Duration::from_millis(2_000);
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Offsets from the first port of the deployment.
const RANGE_LAST: u16 = 15;
const PLATFORM: u16 = 16;
const OUTBOUND: u16 = 17;
const READY: u16 = 18;
const INBOUND: u16 = 19;
const APP: u16 = 20;
const PORTS: u16 = 24;
/// Port of the metrics in the templates of the deploy file.
const METRICS: u16 = 9464;

/// Whether the disruption takes place (`TROUBLE` is not `0`).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Writes `record.txt`, each line with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("cannot create the record");
        Record {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{at:>7} ms  {}", text.as_ref());
    }
}

/// Time after which a case that hangs is given up.
const WATCHDOG: Duration = Duration::from_secs(112);

/// Processes that are running, by id.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn running() -> std::sync::MutexGuard<'static, Vec<u32>> {
    RUNNING.lock().unwrap_or_else(|e| e.into_inner())
}

/// Ends all processes and the case with the code for one that could not run.
fn watch() {
    std::thread::spawn(|| {
        std::thread::sleep(WATCHDOG);
        for pid in running().iter() {
            let _ = Command::new("kill")
                .arg("-KILL")
                .arg(pid.to_string())
                .status();
        }
        println!("NOT RUN: no end within {WATCHDOG:?}");
        std::process::exit(2);
    });
}

/// Result of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// Runs a case and maps its verdict to the exit code. The first argument is the path of the record.
pub fn run_case(case: impl FnOnce(&Record) -> Verdict + std::panic::UnwindSafe) -> ExitCode {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    let record = Record::create(Path::new(&path));
    record.line(format!("trouble: {}", has_trouble()));
    watch();
    let for_case = record.clone();
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&for_case)));
    let (code, text) = match verdict {
        Ok(Verdict::Held(text)) => (0, format!("HELD: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("BROKEN: {text}")),
        Ok(Verdict::NotRun(text)) => (2, format!("NOT RUN: {text}")),
        Err(_) => (2, "NOT RUN: the stand-in failed".to_owned()),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}

/// A daemon of the deployment.
pub struct Daemon {
    pub name: String,
    pub ip: String,
    pub zone: String,
    /// Service of the colocated backend server; empty for a replica.
    pub service: String,
    pub is_replica: bool,
    /// Whether the machine was removed for good.
    is_removed: bool,
    child: Option<Child>,
}

/// The deployment. Kills its processes and removes its folder when dropped.
pub struct Fleet {
    pub daemons: Vec<Daemon>,
    pub record: Record,
    dir: PathBuf,
    port: u16,
    first_sidecar: usize,
    version: u64,
    /// Value of the placeholder `bounds`.
    bounds: String,
}

impl Fleet {
    /// Starts replicas in the zones z0, z1, z2 in turn, and a sidecar for each service. Waits until
    /// all of them accept connections.
    pub fn start(record: &Record, replicas: usize, services: &[&str]) -> Result<Self, String> {
        Fleet::start_with(record, replicas, services, &bounds_as_table(BOUNDS))
    }

    /// The same with another value of the placeholder `bounds`.
    pub fn start_with(
        record: &Record,
        replicas: usize,
        services: &[&str],
        bounds: &str,
    ) -> Result<Self, String> {
        let seed = unix_ms() ^ (u64::from(std::process::id()) << 20);
        let block = (seed / 7 % 200 + 20, seed / 1_409 % 250);
        let mut daemons = Vec::new();
        for n in 0..replicas + services.len() {
            let is_replica = n < replicas;
            let zone = match is_replica {
                true => n % 3,
                false => (n - replicas) % 3,
            };
            daemons.push(Daemon {
                name: match is_replica {
                    true => format!("core-z{zone}-{n}"),
                    false => format!("sidecar-z{zone}-{}", n - replicas),
                },
                ip: format!("127.{}.{}.{}", block.0, block.1, n + 10),
                zone: format!("z{zone}"),
                service: match is_replica {
                    true => String::new(),
                    false => services[n - replicas].to_owned(),
                },
                is_replica,
                is_removed: false,
                child: None,
            });
        }
        let dir = std::env::temp_dir().join(format!("foxtailgauge-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
        let mut fleet = Fleet {
            port: free_port(&daemons, seed)?,
            daemons,
            record: record.clone(),
            dir,
            first_sidecar: replicas,
            version: 0,
            bounds: bounds.to_owned(),
        };
        for n in 0..fleet.daemons.len() {
            fleet.start_daemon(n, true)?;
        }
        let deadline = Instant::now() + Duration::from_secs(20);
        for n in 0..fleet.daemons.len() {
            while TcpStream::connect(fleet.platform(n)).is_err() {
                if Instant::now() > deadline {
                    return Err(format!("{} does not listen", fleet.daemons[n].name));
                }
                sleep_ms(20);
            }
        }
        Ok(fleet)
    }

    fn addr(&self, n: usize, offset: u16) -> String {
        format!("{}:{}", self.daemons[n].ip, self.port + offset)
    }

    /// Address for the operator and for check-ins.
    pub fn platform(&self, n: usize) -> String {
        self.addr(n, PLATFORM)
    }

    pub fn outbound(&self, n: usize) -> String {
        self.addr(n, OUTBOUND)
    }

    pub fn ready_addr(&self, n: usize) -> String {
        self.addr(n, READY)
    }

    /// Address of the backend server next to a sidecar.
    pub fn app(&self, n: usize) -> String {
        self.addr(n, APP)
    }

    /// Replicas that have not been removed.
    pub fn replicas(&self) -> impl Iterator<Item = usize> + '_ {
        let daemons = self.daemons.iter().enumerate();
        daemons
            .filter(|(_, daemon)| daemon.is_replica && !daemon.is_removed)
            .map(|(n, _)| n)
    }

    /// Ends a replica for good and starts another one in its zone, at a new address and with an
    /// empty disk.
    pub fn replace_replica(&mut self, n: usize, after: Duration) -> Result<usize, String> {
        self.kill(n);
        self.daemons[n].is_removed = true;
        self.record
            .line(format!("{} is removed", self.daemons[n].name));
        std::thread::sleep(after);
        let next = self.daemons.len();
        let zone = self.daemons[n].zone.clone();
        let block = self.daemons[n]
            .ip
            .rsplit_once('.')
            .map_or("127.0.0", |(block, _)| block);
        self.daemons.push(Daemon {
            name: format!("core-{zone}-{next}"),
            ip: format!("{block}.{}", next + 10),
            zone,
            service: String::new(),
            is_replica: true,
            is_removed: false,
            child: None,
        });
        self.start_daemon(next, false)?;
        Ok(next)
    }

    /// Index of the first sidecar.
    pub fn first_sidecar(&self) -> usize {
        self.first_sidecar
    }

    /// Starts a daemon with the command and the template of the deploy file.
    pub fn start_daemon(&mut self, n: usize, is_first_start: bool) -> Result<(), String> {
        let file = self.dir.join(format!("{}.conf", self.daemons[n].name));
        let settings = self.settings(n, is_first_start)?;
        std::fs::write(&file, settings).map_err(|error| error.to_string())?;
        let deploy = std::fs::read_to_string("deploy/system.toml").map_err(|e| e.to_string())?;
        let role = match self.daemons[n].is_replica {
            true => "replica",
            false => "sidecar",
        };
        let command = run_of(&deploy, role).ok_or("no command in the deploy file")?;
        let mut words = command.split(' ').map(|word| match word {
            "/etc/foxtailgauge/boot.conf" => file.display().to_string(),
            word => word.to_owned(),
        });
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", self.daemons[n].name)))
            .map_err(|error| error.to_string())?;
        let program = words.next().unwrap_or_default();
        let child = Command::new(program)
            .args(words)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("cannot start the daemon: {error}"))?;
        self.record.line(format!(
            "start {} as process {}",
            self.daemons[n].name,
            child.id()
        ));
        running().push(child.id());
        self.daemons[n].child = Some(child);
        Ok(())
    }

    fn settings(&self, n: usize, is_first_start: bool) -> Result<String, String> {
        let daemon = &self.daemons[n];
        let template = if daemon.is_replica {
            "deploy/replica.ini"
        } else {
            "deploy/sidecar.ini"
        };
        let mut text = std::fs::read_to_string(template).map_err(|error| error.to_string())?;
        // What the operator's list holds when the file is written, at most three.
        let seeds: Vec<String> = self.replicas().map(|n| self.platform(n)).take(3).collect();
        let data_dir = self.dir.join(format!("{}.data", daemon.name));
        let values = [
            ("node", daemon.name.clone()),
            ("zone", daemon.zone.clone()),
            ("ip", daemon.ip.clone()),
            (
                "port_range",
                format!("{},{}", self.port, self.port + RANGE_LAST),
            ),
            ("seed_nodes", seeds.join(",")),
            ("first_start", is_first_start.to_string()),
            ("data_dir", data_dir.display().to_string()),
            ("listen.control_plane", self.platform(n)),
            ("listen.outbound", self.outbound(n)),
            ("listen.inbound", self.addr(n, INBOUND)),
            ("listen.ready", self.ready_addr(n)),
            ("heartbeat_ms", HEARTBEAT.as_millis().to_string()),
            ("bounds", self.bounds.clone()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("service", daemon.service.clone()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        match text.contains("{{") {
            true => Err(format!("unknown placeholder in {template}")),
            false => Ok(text),
        }
    }

    /// Sends a signal to a daemon by its process id.
    pub fn signal(&self, n: usize, signal: &str) {
        let Some(child) = &self.daemons[n].child else {
            return;
        };
        self.record
            .line(format!("{signal} to {}", self.daemons[n].name));
        let _ = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(child.id().to_string())
            .status();
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self, n: usize) {
        self.record
            .line(format!("KILL to {}", self.daemons[n].name));
        if let Some(child) = self.daemons[n].child.take() {
            end(child);
        }
    }

    /// Whether the process of a daemon is running.
    pub fn is_running(&mut self, n: usize) -> bool {
        let child = self.daemons[n].child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self, n: usize) -> bool {
        let request = "GET /foxtailgauge/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        let answer = exchange(
            &self.ready_addr(n),
            request.as_bytes(),
            Duration::from_secs(1),
        );
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Sends a configuration with these routes until it is confirmed; the operator moves on to
    /// another replica after a failure.
    pub fn configure(&mut self, routes: &[Route]) -> Result<Instant, String> {
        let (base, version) = (self.version, self.version + 1);
        let body = configuration(version, routes);
        let request = format!(
            "PUT /foxtailgauge/config HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n\
             If-Match: {base:08x}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let deadline = Instant::now() + Duration::from_secs(20);
        let replicas: Vec<usize> = self.replicas().collect();
        for n in replicas.into_iter().cycle() {
            let addr = self.platform(n);
            let answer = exchange(&addr, request.as_bytes(), Duration::from_secs(4));
            match answer.map_or(0, |answer| answer.status) {
                200 => {
                    self.record
                        .line(format!("configuration {version} confirmed by {addr}"));
                    self.version = version;
                    return Ok(Instant::now());
                }
                0 | 500.. => {}
                status => return Err(format!("configuration {version} refused: {status}")),
            }
            if Instant::now() > deadline {
                return Err(format!("configuration {version} is not confirmed"));
            }
            sleep_ms(100);
        }
        unreachable!()
    }

    /// Waits until all sidecars are ready and a request to each route succeeds at each of them.
    pub fn wait_until_served(&self, probes: &[(&str, &str)]) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        let sidecars = (0..self.daemons.len()).filter(|n| !self.daemons[*n].is_replica);
        for n in sidecars {
            for (method, path) in probes {
                loop {
                    let sent = send(&self.outbound(n), method, path, b"", 2_000);
                    if self.is_ready(n) && sent.answer.as_ref().is_some_and(|a| a.status == 200) {
                        break;
                    }
                    if Instant::now() > deadline {
                        return Err(format!("{} does not serve {path}", self.daemons[n].name));
                    }
                    sleep_ms(100);
                }
            }
        }
        Ok(())
    }

    /// Lines of a daemon's log that contain a text.
    pub fn grep(&self, n: usize, text: &str) -> Vec<String> {
        let file = self.dir.join(format!("{}.log", self.daemons[n].name));
        let log = std::fs::read_to_string(file).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(child) = daemon.child.take() {
                end(child);
            }
        }
        match std::env::var("KEEP_LOGS") {
            Ok(_) => self
                .record
                .line(format!("logs kept in {}", self.dir.display())),
            Err(_) => drop(std::fs::remove_dir_all(&self.dir)),
        }
    }
}

/// Sends SIGKILL and waits for the end of the process.
fn end(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
    running().retain(|pid| *pid != child.id());
}

/// Bounds as the platform fills them into a template: a table, rendered as JSON.
pub fn bounds_as_table(list: &str) -> String {
    let fields: Vec<String> = list
        .split(',')
        .filter_map(|field| field.split_once('='))
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{{}}}", fields.join(","))
}

/// The command of a role in the deploy file.
fn run_of(deploy: &str, role: &str) -> Option<String> {
    let section = deploy.split(&format!("[roles.{role}]")).nth(1)?;
    let line = section.lines().find(|line| line.starts_with("run = "))?;
    Some(
        line.trim_start_matches("run = ")
            .trim_matches('"')
            .to_owned(),
    )
}

/// First port of a range that is free on the addresses of all daemons.
fn free_port(daemons: &[Daemon], seed: u64) -> Result<u16, String> {
    let is_free = |ip: &str, port: u16| TcpListener::bind(format!("{ip}:{port}")).is_ok();
    for attempt in 0..50 {
        let first = 20_000 + ((seed / 13 + attempt * 977) % 10_000) as u16;
        let mut ports = (first..first + PORTS).chain([METRICS]);
        if ports.all(|port| daemons.iter().all(|daemon| is_free(&daemon.ip, port))) {
            return Ok(first);
        }
    }
    Err("no free ports".to_owned())
}

/// A route of the configuration, with one service.
pub struct Route {
    pub name: &'static str,
    pub is_safe: bool,
    pub prefix: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub max_attempts: u64,
}

/// Host of all routes.
pub const HOST: &str = "jepu9.example";

fn configuration(version: u64, routes: &[Route]) -> String {
    let rule = |route: &Route| {
        format!(
            r#"{{"name":"{}","route_type":"{}","target_latency_ms":600,"priority":1,"match":{{"path_prefix":"{}"}},"action":{{"service":"{}","timeout_ms":{},"max_attempts":{}}}}}"#,
            route.name,
            if route.is_safe { "safe" } else { "unsafe" },
            route.prefix,
            route.service,
            route.timeout_ms,
            route.max_attempts
        )
    };
    let rules: Vec<String> = routes.iter().map(rule).collect();
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let cluster = |name: &&str| {
        format!(
            r#"{{"name":"{name}","health_check_path":"/health","max_connections":110,"protocol":"h1","tls":false}}"#
        )
    };
    let clusters: Vec<String> = services.iter().map(cluster).collect();
    format!(
        r#"{{"version":"{version:08x}","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"listeners":[{{"host":"{HOST}","rule_set":[{}]}}],"clusters":[{}]}}"#,
        rules.join(","),
        clusters.join(",")
    )
}

/// A message with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message; `None` if the connection ends before its head is complete.
pub fn read_message(stream: &mut impl Read) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => return None,
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.lines();
    let start = lines.next()?.to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let mut message = Message {
        status: start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0),
        start,
        headers: headers
            .map(|(k, v)| (k.to_ascii_lowercase(), v.trim().to_owned()))
            .collect(),
        body: Vec::new(),
        is_whole: true,
    };
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        message.is_whole = read_chunks(stream, &mut message.body).is_some();
    } else {
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        let mut read = 0;
        while read < length {
            match stream.read(&mut message.body[read..]) {
                Ok(count) if count > 0 => read += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => break,
            }
        }
        message.body.truncate(read);
        message.is_whole = read == length;
    }
    Some(message)
}

fn read_line(stream: &mut impl Read) -> Option<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") {
        stream.read_exact(&mut byte).ok()?;
        line.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&line).trim().to_owned())
}

fn read_chunks(stream: &mut impl Read, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let size = usize::from_str_radix(&read_line(stream)?, 16).ok()?;
        if size == 0 {
            read_line(stream)?;
            return Some(());
        }
        let start = body.len();
        body.resize(start + size, 0);
        stream.read_exact(&mut body[start..]).ok()?;
        read_line(stream)?;
    }
}

/// Sends raw bytes on a new connection and reads one answer.
pub fn exchange(addr: &str, request: &[u8], timeout: Duration) -> Option<Message> {
    let addr: SocketAddr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    // The daemon may answer before it has read all.
    let _ = stream.write_all(request);
    read_message(&mut stream)
}

/// An attempt of a caller and its answer.
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub answer: Option<Message>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new attempt id.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (unix_ms() << 20) ^ number)
}

/// Head of a request of a caller.
pub fn head(method: &str, path: &str, id: &str, length: usize, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

/// Sends a request of a caller on a new connection.
pub fn send(addr: &str, method: &str, path: &str, body: &[u8], deadline_ms: u64) -> Sent {
    let id = new_id();
    let mut request = head(method, path, &id, body.len(), deadline_ms).into_bytes();
    request.extend_from_slice(body);
    let at = Instant::now();
    let timeout = Duration::from_millis(deadline_ms + 1_000);
    let answer = exchange(addr, &request, timeout);
    Sent { id, at, answer }
}

/// What became of a request, in a few words.
pub fn outcome(answer: &Option<Message>) -> String {
    match answer {
        None => "closed without an answer".to_owned(),
        Some(answer) => {
            let seal = if answer.header("server-seal").is_empty() {
                "no seal"
            } else {
                "seal"
            };
            format!("{}, {seal}", answer.status)
        }
    }
}

/// A request that a backend server received completely.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub server: String,
    pub at: Instant,
    pub message: Message,
}

/// What a backend server does with a request.
pub enum Action {
    /// Answers 200 with this body after a delay.
    Answer(Duration, Vec<u8>),
    /// Writes these bytes and closes the connection.
    Break(Vec<u8>),
    /// Writes these bytes, then the process ends: all connections and the listener are closed.
    Crash(Vec<u8>),
}

type Script = Arc<dyn Fn(&Message) -> Action + Send + Sync>;

/// One lifetime of a backend server.
pub struct Backend {
    pub id: String,
    pub born_ms: u64,
    addr: String,
    service: String,
    zone: String,
    own_platform: String,
    sequence: AtomicU64,
    is_down: AtomicBool,
    pub is_leaving: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// The backend server next to a sidecar, over its lifetimes.
pub struct BackendHost {
    pub current: Mutex<Arc<Backend>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Times of its crashes.
    pub crashes: Mutex<Vec<Instant>>,
    /// Time after a crash until the next lifetime starts.
    back_after: Duration,
    script: Script,
    record: Record,
}

impl Backend {
    /// Body of a check-in.
    pub fn check_in_body(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"{}","capacity":12}},"status":{{"state":"{state}","sequence":{sequence},"warmup_left_ms":0}}}}"#,
            self.addr, self.born_ms, self.service, self.zone
        )
    }

    /// Sends a check-in to a daemon; whether it is confirmed within a second.
    pub fn check_in(&self, platform: &str, state: &str) -> bool {
        let body = self.check_in_body(state);
        let request = format!(
            "PUT /foxtailgauge/instances/{} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        let answer = exchange(platform, request.as_bytes(), Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status / 100 == 2)
    }

    /// Deregisters at a daemon; whether it is confirmed within a second.
    pub fn deregister(&self, platform: &str) -> bool {
        let body = format!(r#"{{"born":{}}}"#, self.born_ms);
        let request = format!(
            "DELETE /foxtailgauge/instances/{} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        let answer = exchange(platform, request.as_bytes(), Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status / 100 == 2)
    }

    /// Address of the daemon next to it for check-ins.
    pub fn own_platform(&self) -> &str {
        &self.own_platform
    }

    pub fn is_up(&self) -> bool {
        !self.is_down.load(Ordering::SeqCst)
    }

    /// Ends the process: closes the listener, then all connections. A daemon that sees a closed
    /// connection finds the port closed, as after the end of a real process.
    pub fn end(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for _ in 0..200 {
            // Wakes the listener, which closes.
            if TcpStream::connect(&self.addr).is_err() {
                break;
            }
            sleep_ms(1);
        }
        let mut connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        for connection in connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl BackendHost {
    /// Starts a backend server next to sidecar `n`; it checks in every heartbeat.
    pub fn start(
        fleet: &Fleet,
        n: usize,
        back_after: Duration,
        script: impl Fn(&Message) -> Action + Send + Sync + 'static,
    ) -> Arc<Self> {
        let daemon = &fleet.daemons[n];
        let first = Arc::new(lifetime(
            &fleet.app(n),
            &daemon.service,
            &daemon.zone,
            &fleet.platform(n),
        ));
        let host = Arc::new(BackendHost {
            current: Mutex::new(Arc::clone(&first)),
            arrivals: Arc::default(),
            crashes: Mutex::default(),
            back_after,
            script: Arc::new(script),
            record: fleet.record.clone(),
        });
        Arc::clone(&host).live(first);
        host
    }

    pub fn backend(&self) -> Arc<Backend> {
        Arc::clone(&self.current.lock().unwrap_or_else(|e| e.into_inner()))
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }

    fn live(self: Arc<Self>, backend: Arc<Backend>) {
        let deadline = Instant::now() + Duration::from_secs(5);
        let listener = loop {
            match TcpListener::bind(&backend.addr) {
                Ok(listener) => break listener,
                Err(error) if Instant::now() > deadline => panic!("cannot listen: {error}"),
                Err(_) => sleep_ms(20),
            }
        };
        let beating = Arc::clone(&backend);
        std::thread::spawn(move || {
            while beating.is_up() {
                if !beating.is_leaving.load(Ordering::SeqCst) {
                    beating.check_in(&beating.own_platform, "ready");
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !backend.is_up() {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    backend
                        .connections
                        .lock()
                        .unwrap_or_else(|e| e.into_inner())
                        .push(copy);
                }
                let (host, backend) = (Arc::clone(&self), Arc::clone(&backend));
                std::thread::spawn(move || host.serve(&backend, stream));
            }
        });
    }

    fn serve(self: Arc<Self>, backend: &Arc<Backend>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(message) = read_message(&mut stream) {
            if !message.is_whole || !backend.is_up() {
                return;
            }
            let id = message.header("attempt-id").to_owned();
            if message.path() == "/health" {
                let status = match backend.is_leaving.load(Ordering::SeqCst) {
                    true => "503 Service Unavailable",
                    false => "200 OK",
                };
                let head = format!(
                    "HTTP/1.1 {status}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    backend.id
                );
                if stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let target = message.header("target-instance");
            if !target.is_empty() && target != backend.id {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    backend.id
                );
                if stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let action = (self.script)(&message);
            self.arrivals
                .lock()
                .unwrap_or_else(|e| e.into_inner())
                .push(Arrival {
                    server: backend.id.clone(),
                    at: Instant::now(),
                    message,
                });
            match action {
                Action::Answer(delay, body) => {
                    std::thread::sleep(delay);
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    let is_written = stream
                        .write_all(head.as_bytes())
                        .and_then(|()| stream.write_all(&body));
                    if !backend.is_up() || is_written.is_err() {
                        return;
                    }
                }
                Action::Break(bytes) => {
                    let _ = stream.write_all(&bytes);
                    return;
                }
                Action::Crash(bytes) => {
                    let _ = stream.write_all(&bytes);
                    return self.crash(backend, &id);
                }
            }
        }
    }

    /// Ends the current lifetime and starts the next one some seconds later.
    fn crash(self: Arc<Self>, backend: &Arc<Backend>, id: &str) {
        self.crashes
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(Instant::now());
        self.record.line(format!(
            "backend server {} crashes while it runs {id}",
            backend.id
        ));
        backend.end();
        let (addr, service) = (backend.addr.clone(), backend.service.clone());
        let (zone, platform) = (backend.zone.clone(), backend.own_platform.clone());
        std::thread::spawn(move || {
            std::thread::sleep(self.back_after);
            let next = Arc::new(lifetime(&addr, &service, &zone, &platform));
            self.record
                .line(format!("backend server {} starts at {addr}", next.id));
            *self.current.lock().unwrap_or_else(|e| e.into_inner()) = Arc::clone(&next);
            Arc::clone(&self).live(next);
        });
    }
}

fn lifetime(addr: &str, service: &str, zone: &str, own_platform: &str) -> Backend {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    Backend {
        id: format!(
            "i-{:08x}",
            (unix_ms() as u32).wrapping_mul(2_654_435_761) ^ number as u32
        ),
        born_ms: unix_ms(),
        addr: addr.to_owned(),
        service: service.to_owned(),
        zone: zone.to_owned(),
        own_platform: own_platform.to_owned(),
        sequence: AtomicU64::new(0),
        is_down: AtomicBool::new(false),
        is_leaving: AtomicBool::new(false),
        connections: Mutex::default(),
    }
}
