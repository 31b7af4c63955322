//! A small deployment on loopback addresses: the daemons of the deploy file as separate processes,
//! with the templates filled in as the platform does.

use crate::http::call;
use crate::record::Record;
use std::fs::{create_dir_all, read_to_string, remove_dir_all, write, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const DAEMON: &str = "target/deploy/foxtailgauged";
const FIRST_PORT: u16 = 7600;
const BOUNDS: &str =
    "seed_lag_s=3,addr_reuse_s=2,contact_ms=3000,ack_timeout_ms=4000,catch_up_s=4,\
drain_ms=2000,grace_s=6,loss_slack_ms=200,config_apply_ms=2000,rollback_slack_ms=250,\
max_stretch_ms=5000,retry_budget_ratio=0.2,budget_window_s=10,budget_slack=56,recovery_s=15";

/// Processes that were started; all of them are killed at the end.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    let mut started = match STARTED.lock() {
        Ok(started) => started,
        Err(poisoned) => poisoned.into_inner(),
    };
    for child in started.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    started.clear();
}

/// Sends a signal to a process that was started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("sh")
        .args(["-c", &format!("kill -{name} {pid}")])
        .status();
}

/// Kills a process and waits for its end.
pub fn kill(pid: u32) {
    let mut started = STARTED.lock().expect("processes");
    if let Some(child) = started.iter_mut().find(|child| child.id() == pid) {
        let _ = child.kill();
        let _ = child.wait();
    }
    started.retain(|child| child.id() != pid);
}

fn spawn(mut command: Command, log: &Path) -> u32 {
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("log");
    let errors = file.try_clone().expect("log");
    command.stdin(Stdio::null()).stdout(file).stderr(errors);
    let child = command.spawn().expect("a process cannot be started");
    let pid = child.id();
    STARTED.lock().expect("processes").push(child);
    pid
}

#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    pub ip: String,
    pub pid: u32,
}

impl Node {
    pub fn at(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("address")
    }
    pub fn callers(&self) -> SocketAddr {
        self.at(FIRST_PORT + 2)
    }
    pub fn admin(&self) -> SocketAddr {
        self.at(FIRST_PORT + 3)
    }
    pub fn announce(&self) -> SocketAddr {
        self.at(FIRST_PORT + 4)
    }
}

pub struct Fleet {
    pub dir: PathBuf,
    pub replicas: Vec<Node>,
    pub sidecars: Vec<Node>,
    pub record: Record,
    seeds: String,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        kill_all();
        let _ = remove_dir_all(&self.dir);
    }
}

impl Fleet {
    /// Starts three replicas and some sidecars, each in one of three failure domains.
    pub fn start(record: &Record, sidecars: usize) -> Self {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("foxtailgauge-review-3-{pid}"));
        create_dir_all(&dir).expect("temporary folder");
        let net = format!("127.{}.{}", 20 + pid % 200, (pid / 200) % 250);
        let ip = |n: usize| format!("{net}.{}", n + 1);
        let seeds: Vec<String> = (0..3).map(|n| format!("{}:8620", ip(n))).collect();
        let mut fleet = Fleet {
            dir,
            replicas: Vec::new(),
            sidecars: Vec::new(),
            record: record.clone(),
            seeds: seeds.join(","),
        };
        for n in 0..3 {
            let node = fleet.start_node("deploy/replica.ini", &format!("core-{n}"), &ip(n), n);
            fleet.replicas.push(node);
        }
        for n in 0..sidecars {
            let name = format!("sidecar-{n}");
            let node = fleet.start_node("deploy/sidecar.ini", &name, &ip(3 + n), n);
            fleet.sidecars.push(node);
        }
        fleet
    }

    /// Starts a daemon with a filled-in template.
    pub fn start_node(&self, template: &str, name: &str, ip: &str, zone: usize) -> Node {
        let data = self.dir.join(format!("{name}.data"));
        create_dir_all(&data).expect("data folder");
        let values = [
            ("node", name.to_owned()),
            ("zone", format!("zone-{}", zone % 3)),
            ("ip", ip.to_owned()),
            ("port_range", format!("{FIRST_PORT},{}", FIRST_PORT + 15)),
            ("seed_nodes", self.seeds.clone()),
            ("first_start", "true".to_owned()),
            ("data_dir", data.display().to_string()),
            ("listen.control_plane", format!("{ip}:8620")),
            ("listen.outbound", format!("{ip}:8629")),
            ("listen.ready", format!("{ip}:8625")),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("heartbeat_ms", "1500".to_owned()),
            ("service", "app".to_owned()),
            ("bounds", BOUNDS.to_owned()),
        ];
        let mut text = read_to_string(template).expect("template");
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        let settings = self.dir.join(format!("{name}.conf"));
        write(&settings, text).expect("settings");
        let mut command = Command::new(DAEMON);
        command.arg("--settings").arg(&settings).env_clear();
        for variable in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(variable) {
                command.env(variable, value);
            }
        }
        let pid = spawn(command, &self.dir.join(format!("{name}.log")));
        self.record.line(name, &format!("daemon started at {ip}"));
        Node {
            name: name.to_owned(),
            ip: ip.to_owned(),
            pid,
        }
    }

    /// Starts a stand-in backend server as a process of its own.
    pub fn start_server(&self, arguments: &[(&str, &str)]) -> u32 {
        let this = std::env::current_exe().expect("own path");
        let mut command = Command::new(this);
        command.arg("server");
        for (name, value) in arguments {
            command.arg(format!("--{name}")).arg(value);
        }
        command.arg("--journal").arg(self.journal());
        spawn(command, &self.dir.join("servers.log"))
    }

    pub fn journal(&self) -> PathBuf {
        self.dir.join("servers.journal")
    }

    /// What the servers have logged so far: time, server and text.
    pub fn journal_lines(&self) -> Vec<(u64, String, String)> {
        let text = read_to_string(self.journal()).unwrap_or_default();
        let line = |line: &str| {
            let mut parts = line.splitn(3, ' ');
            let at = parts.next()?.parse().ok()?;
            Some((at, parts.next()?.to_owned(), parts.next()?.to_owned()))
        };
        text.lines().filter_map(line).collect()
    }

    /// Sends the configuration of team `desk` until a replica accepts it.
    pub fn configure(&self, text: &str) -> bool {
        let text = text.replace('\n', "\\n");
        let body = format!(
            "{{\"change_id\":\"c1\",\"base_revision\":0,\"text\":\"{text}\",\"author\":\"operator\"}}"
        );
        let json = [("Content-Type", "application/json")];
        wait_for(Duration::from_secs(15), || {
            let admin = self.replicas[0].admin();
            let start = "PUT /v1/teams/desk/config";
            let answer = call(admin, start, &json, &body, Duration::from_secs(3));
            answer.is_some_and(|response| response.status == 200)
        })
    }
}

/// Waits until `is_done`; returns whether it was in time.
pub fn wait_for(timeout: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if is_done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
