//! What all scripts of this review share: processes of a small deployment, settings filled in from the
//! templates of the deploy file, an operator, and a record. Uses only the standard library.
#![allow(dead_code)]

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Bounds of the small sites.
pub const BOUNDS: &str = "seed_lag_s=3,addr_reuse_s=2,contact_ms=3000,ack_timeout_ms=4000,catch_up_s=4,drain_ms=2000,grace_s=6,loss_slack_ms=200,config_apply_ms=2000,rollback_slack_ms=250,max_stretch_ms=5000,retry_budget_ratio=0.2,budget_window_s=10,budget_slack=56,recovery_s=15";

static START: OnceLock<Instant> = OnceLock::new();

/// Seconds since the start of the script.
pub fn now_s() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn new(path: &Path) -> Self {
        now_s();
        Record(Arc::new(Mutex::new(
            File::create(path).expect("the record can be written"),
        )))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{:9.3} s  {}", now_s(), text.as_ref());
        let _ = file.flush();
    }
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the script: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn exit(fleet: Fleet, record: &Record, code: i32, text: &str) -> ! {
    record.line(format!("result {code}: {text}"));
    println!("{code}: {text}");
    drop(fleet);
    std::process::exit(code)
}

/// One machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub class: &'static str,
    pub ip: String,
    pub zone: String,
    pub service: String,
}

impl Machine {
    /// Its name without the number of its deployment.
    pub fn file_name(&self) -> &str {
        self.name.rsplit('/').next().unwrap_or(&self.name)
    }
}

pub struct Process {
    pub machine: Machine,
    pub child: Child,
}

/// The processes of a deployment, in a temporary folder. Ends them when dropped.
pub struct Fleet {
    pub dir: PathBuf,
    pub record: Record,
    pub port: u16,
    pub processes: Vec<Process>,
    net: String,
}

impl Fleet {
    pub fn new(record: &Record) -> Self {
        Fleet::numbered(record, 0)
    }

    /// One of several deployments of a script, each with addresses of its own.
    pub fn numbered(record: &Record, number: u32) -> Self {
        let id = std::process::id();
        let dir = std::env::temp_dir().join(format!("foxtailgauge-review-{id}-{number}"));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let net = format!("127.{}.{}", 16 + id % 200, 1 + (id / 200 + number) % 250);
        Fleet {
            dir,
            record: record.clone(),
            port: free_ports(&net),
            processes: Vec::new(),
            net,
        }
    }

    pub fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.net)
    }

    pub fn control(&self, machine: &Machine) -> String {
        format!("{}:{}", machine.ip, self.port)
    }

    pub fn outbound(&self, machine: &Machine) -> String {
        format!("{}:{}", machine.ip, self.port + 1)
    }

    pub fn ready(&self, machine: &Machine) -> String {
        format!("{}:{}", machine.ip, self.port + 2)
    }

    pub fn app(&self, machine: &Machine) -> String {
        format!("{}:{}", machine.ip, self.port + 4)
    }

    pub fn port_range(&self) -> (u16, u16) {
        (self.port + 8, self.port + 23)
    }

    pub fn data_dir(&self, machine: &Machine) -> PathBuf {
        self.dir.join(machine.file_name()).join("data")
    }

    fn settings(&self, machine: &Machine, seeds: &[String], first_start: bool) -> String {
        let template = match machine.class {
            "core" => "deploy/replica.ini",
            _ => "deploy/sidecar.ini",
        };
        let text = fs::read_to_string(template).expect("started at the root of the repository");
        let (first, last) = self.port_range();
        let data_dir = match machine.class {
            "core" => self.data_dir(machine).display().to_string(),
            _ => String::new(),
        };
        let link_mbps = "1000.0".to_owned();
        let fields = [
            ("node", machine.file_name().to_owned()),
            ("zone", machine.zone.clone()),
            ("ip", machine.ip.clone()),
            ("port_range", format!("{first},{last}")),
            ("seed_nodes", seeds.join(",")),
            ("first_start", first_start.to_string()),
            ("data_dir", data_dir),
            ("listen.control_plane", self.control(machine)),
            ("listen.outbound", self.outbound(machine)),
            ("listen.ready", self.ready(machine)),
            ("listen.inbound", format!("{}:{}", machine.ip, self.port + 3)),
            ("heartbeat_ms", "1500".to_owned()),
            ("bounds", BOUNDS.to_owned()),
            ("service", machine.service.clone()),
            ("limits.link_mbps", link_mbps),
        ];
        let fill = |text: String, (name, value): &(&str, String)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        };
        fields.iter().fold(text, fill)
    }

    /// Starts the daemon of a machine, as the deploy file says.
    pub fn start(&mut self, machine: &Machine, seeds: &[String], first_start: bool) {
        let dir = self.dir.join(machine.file_name());
        fs::create_dir_all(&dir).expect("a folder of the machine");
        if machine.class == "core" {
            fs::create_dir_all(self.data_dir(machine)).expect("a data folder");
        }
        let file = dir.join("boot.conf");
        fs::write(&file, self.settings(machine, seeds, first_start)).expect("settings");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(dir.join("log"))
            .expect("a log");
        let child = Command::new("target/deploy/foxtailgauged")
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            println!("2: target/deploy/foxtailgauged cannot be started");
            std::process::exit(2);
        };
        self.record
            .line(format!("{} starts, first_start={first_start}", machine.name));
        let machine = machine.clone();
        self.processes.push(Process { machine, child });
    }

    pub fn pid(&self, machine: &Machine) -> Option<u32> {
        let is_it = |process: &&Process| process.machine.name == machine.name;
        self.processes.iter().find(is_it).map(|p| p.child.id())
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, machine: &Machine, signal: &str) {
        if let Some(pid) = self.pid(machine) {
            self.record.line(format!("{} gets SIG{signal}", machine.name));
            // The shell's own `kill`: the standard library sends no other signal than SIGKILL.
            let command = format!("kill -{signal} {pid}");
            let _ = Command::new("sh").arg("-c").arg(command).status();
        }
    }

    /// Waits until the process of a machine has ended, and forgets it.
    pub fn wait_end(&mut self, machine: &Machine) {
        let at = self.processes.iter().position(|p| p.machine.name == machine.name);
        if let Some(at) = at {
            let mut process = self.processes.remove(at);
            let status = process.child.wait();
            let text = status.map_or_else(|e| e.to_string(), |s| s.to_string());
            self.record.line(format!("{} has ended: {text}", machine.name));
        }
    }

    /// Whether the process of a machine has ended by itself.
    pub fn has_ended(&mut self, machine: &Machine) -> bool {
        let mut processes = self.processes.iter_mut();
        let process = processes.find(|p| p.machine.name == machine.name);
        process.is_none_or(|p| matches!(p.child.try_wait(), Ok(Some(_))))
    }

    pub fn wipe(&self, machine: &Machine) {
        self.record.line(format!("{} loses its disk", machine.name));
        let _ = fs::remove_dir_all(self.data_dir(machine));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// First of 24 ports in a row that are free on the addresses of the deployment.
fn free_ports(net: &str) -> u16 {
    let mut first = 20_000 + (std::process::id() % 9_000) as u16;
    loop {
        let is_free = |ip: u8| {
            (first..first + 24).all(|port| TcpListener::bind(format!("{net}.{ip}:{port}")).is_ok())
        };
        if (1..=14).all(is_free) {
            return first;
        }
        first += 24;
    }
}

/// An answer to a request of a stand-in.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Connects within a second.
pub fn connect(addr: &str, timeout: Duration) -> io::Result<TcpStream> {
    let socket: SocketAddr = addr.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect_timeout(&socket, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends one request on a new connection and reads the answer.
pub fn call(
    addr: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = connect(addr, timeout)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {addr}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads one answer with a length, or up to the end of the connection.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split(' ').nth(1).and_then(|text| text.trim().parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(reader)?;
    let mut answer = Answer {
        status,
        headers,
        body: Vec::new(),
    };
    let length = answer.header("content-length").and_then(|text| text.parse().ok());
    match length {
        Some(length) => {
            answer.body = vec![0; length];
            reader.read_exact(&mut answer.body)?;
        }
        None => {
            reader.read_to_end(&mut answer.body)?;
        }
    }
    Ok(answer)
}

pub fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// A configuration with one route of each type to one service. `timeout_ms` shows the version.
pub fn config(version: u32, host: &str, service: &str, extra: &str) -> String {
    let route = |name: &str, kind: &str, prefix: &str| {
        format!(
            r#"{{"name":"{name}","route_type":"{kind}","target_latency_ms":800,"priority":1,"match":{{"path_prefix":"{prefix}"}},"action":{{"service":"{service}","timeout_ms":5000,"max_attempts":2}}}}"#
        )
    };
    format!(
        r#"{{"version":"{version:08x}","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"listeners":[{{"host":"{host}","rule_set":[{},{}{extra}]}}],"clusters":[{{"name":"{service}","health_check_path":"/health","max_connections":110,"protocol":"h1","tls":false}}]}}"#,
        route("r-safe", "safe", "/safe/"),
        route("r-unsafe", "unsafe", "/unsafe/"),
    )
}

/// Sends an order of the operator until it is answered clearly, to one daemon after the other, for at
/// most `timeout`. Returns the status.
pub fn put_config(
    record: &Record,
    addrs: &[String],
    base: u32,
    body: &str,
    timeout: Duration,
) -> Option<u16> {
    let end = Instant::now() + timeout;
    let headers = [
        ("If-Match", format!("{base:08x}")),
        ("Content-Type", "application/json".to_owned()),
    ];
    let version = body.get(12..20).unwrap_or_default();
    let mut at = 0;
    while Instant::now() < end {
        let addr = &addrs[at % addrs.len()];
        at += 1;
        let answer = call(addr, "PUT", "/foxtailgauge/config", &headers, body.as_bytes(), Duration::from_secs(1));
        match answer {
            Ok(answer) => {
                record.line(format!("order of version {version} at {addr}: {}", answer.status));
                if !(answer.status >= 500 || [408, 429].contains(&answer.status)) {
                    return Some(answer.status);
                }
            }
            Err(error) => record.line(format!("order of version {version} at {addr}: {}", error.kind())),
        }
        sleep_ms((50 * at as u64).min(400));
    }
    None
}

/// Reads the configuration once: its version, or why there is none.
pub fn get_version(addr: &str) -> Result<String, String> {
    match call(addr, "GET", "/foxtailgauge/config", &[], b"", Duration::from_secs(1)) {
        Ok(answer) if answer.status == 200 => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let at = text.find("\"version\":\"").ok_or("no version")? + 11;
            Ok(text[at..at + 8].to_owned())
        }
        Ok(answer) => Err(answer.status.to_string()),
        Err(error) => Err(error.kind().to_string()),
    }
}
