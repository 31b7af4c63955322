//! Plans a fleet on loopback: settings, keys, ports, and the processes to start.

use crate::json_file::{write_json, write_text, BenchError, BenchResult};
use crate::ports::free_port;
use crate::relay::{Link, RelayPlan};
use clap::{Args, ValueEnum};
use error_stack::ResultExt;
use rand::RngCore;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Slots of one backend server.
const SLOTS: u32 = 20;

/// Users' deployments, at the sizes of today.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Deployment {
    /// Three failure domains, three services.
    Rybar,
    /// Four failure domains, three services.
    Sugarbird,
    /// Three failure domains, one service, all daemons replicas; for tests.
    Trio,
}

/// Arguments of `plan`.
#[derive(Debug, Args)]
pub struct PlanArguments {
    /// Deployment.
    #[arg(long, value_enum, default_value = "rybar")]
    pub deployment: Deployment,
    /// Multiplies the backend servers of each service.
    #[arg(long, default_value_t = 1)]
    pub scale: usize,
    /// Lead all connections between daemons over links that can be cut.
    #[arg(long)]
    pub cuttable: bool,
    /// Time over which changes of the directory are gathered, in milliseconds.
    #[arg(long, default_value_t = 50)]
    pub batch_ms: u64,
    /// Folder of the fleet.
    #[arg(long)]
    pub dir: PathBuf,
}

/// A planned fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fleet {
    /// Team that owns the configuration.
    pub team: String,
    /// File with the team's admin token.
    pub token_file: PathBuf,
    /// The team's configuration.
    pub config_file: PathBuf,
    /// Daemons.
    pub daemons: Vec<DaemonPlan>,
    /// Backend servers.
    pub backend_servers: Vec<BackendPlan>,
    /// Process id of the links, 0 if the fleet cannot be cut.
    pub relay_pid: u32,
}

/// One daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DaemonPlan {
    /// Unique name.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Process id, 0 before the start.
    pub pid: u32,
    /// Callers' HTTP.
    pub caller_addr: SocketAddr,
    /// Operators' HTTP.
    pub admin_addr: SocketAddr,
    /// Announcements of backend servers.
    pub announce_addr: SocketAddr,
    /// Whether it keeps replicated state.
    pub replica: bool,
    /// Data folder of a replica.
    pub data_dir: Option<PathBuf>,
    /// Settings.
    pub settings_file: PathBuf,
}

/// One backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BackendPlan {
    /// Unique name.
    pub name: String,
    /// Service it belongs to.
    pub service: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Process id, 0 before the start.
    pub pid: u32,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Journal file.
    pub journal: PathBuf,
    /// Daemon beside it.
    pub daemon: String,
}

struct Shape {
    team: &'static str,
    domains: &'static [&'static str],
    /// Services and their backend servers.
    services: &'static [(&'static str, usize)],
    config: &'static str,
}

const RYBAR: Shape = Shape {
    team: "rybar",
    domains: &["bratislava", "trnava", "nitra"],
    services: &[("plan-viewer", 4), ("layout", 3), ("fitter", 3)],
    config: "[services/plan-viewer]\nretry_percent = 20\n\n\
             [services/layout]\n\n[services/fitter]\n\n\
             [routes/plans]\nprefix = /plans\nmethods = GET,HEAD\n\
             service = plan-viewer\ndeadline_ms = 2000\n\n\
             [routes/commit-layout]\nprefix = /layouts\nmethods = POST\n\
             service = layout\ndeadline_ms = 5000\nbillable = true\n\n\
             [routes/book-fitter]\nprefix = /fitters\nmethods = POST\n\
             service = fitter\ndeadline_ms = 5000\nbillable = true\n",
};

const SUGARBIRD: Shape = Shape {
    team: "sugarbird",
    domains: &["johannesburg", "pretoria", "soweto", "vereeniging"],
    services: &[("catalogue", 4), ("orders", 4), ("dispatch", 4)],
    config: "[services/catalogue]\nretry_percent = 20\n\n\
             [services/orders]\n\n[services/dispatch]\n\n\
             [routes/catalogue]\nprefix = /catalogue\nmethods = GET,HEAD\n\
             service = catalogue\ndeadline_ms = 2000\n\n\
             [routes/orders]\nprefix = /orders\nmethods = POST\n\
             service = orders\ndeadline_ms = 5000\nbillable = true\n\n\
             [routes/couriers]\nprefix = /couriers\nmethods = POST\n\
             service = dispatch\ndeadline_ms = 5000\nbillable = true\n",
};

const TRIO: Shape = Shape {
    team: "rybar",
    domains: &["a", "b", "c"],
    services: &[("layout", 3)],
    config: "[services/layout]\nretry_percent = 50\n\n\
             [routes/plans]\nprefix = /plans\nmethods = GET,HEAD\n\
             service = layout\ndeadline_ms = 5000\n\n\
             [routes/notes]\nprefix = /notes\nmethods = POST\n\
             service = layout\ndeadline_ms = 5000\n\n\
             [routes/commit-layout]\nprefix = /layouts\nmethods = POST\n\
             service = layout\ndeadline_ms = 5000\nbillable = true\n",
};

impl Deployment {
    fn shape(self) -> &'static Shape {
        match self {
            Deployment::Rybar => &RYBAR,
            Deployment::Sugarbird => &SUGARBIRD,
            Deployment::Trio => &TRIO,
        }
    }
}

/// Number of replicas of a planned fleet.
const REPLICAS: usize = 3;

/// Ports of one daemon.
struct Ports {
    callers: SocketAddr,
    admin: SocketAddr,
    announce: SocketAddr,
    control: SocketAddr,
    calls: SocketAddr,
    /// Links in front of control and calls, if the fleet can be cut.
    links: Option<(SocketAddr, SocketAddr)>,
    backend: SocketAddr,
}

impl Ports {
    fn advertised_control(&self) -> SocketAddr {
        self.links.map_or(self.control, |(control, _)| control)
    }
}

/// Writes a plan.
pub fn run(arguments: &PlanArguments) -> BenchResult<()> {
    let dir = absolute(&arguments.dir)?;
    let shape = arguments.deployment.shape();
    let members = members(shape, arguments.scale);
    let ports = free_ports(members.len(), arguments.cuttable)?;
    let key_file = dir.join("cluster.key");
    write_text(&key_file, &random_hex())?;
    let token_file = dir.join(format!("{}.token", shape.team));
    let token = random_hex();
    write_text(&token_file, &token)?;
    let hashes_file = dir.join("tokens.ini");
    let hash = hex(&Sha256::digest(&token));
    write_text(
        &hashes_file,
        &format!("[tokens]\n{} = {hash}\n", shape.team),
    )?;
    let config_file = dir.join(format!("{}.ini", shape.team));
    write_text(&config_file, shape.config)?;
    let replicas: Vec<String> = members
        .iter()
        .zip(&ports)
        .filter(|(member, _)| member.is_replica)
        .map(|(_, ports)| ports.advertised_control().to_string())
        .collect();
    let mut fleet = Fleet {
        team: shape.team.to_owned(),
        token_file,
        config_file,
        daemons: Vec::new(),
        backend_servers: Vec::new(),
        relay_pid: 0,
    };
    let common = format!(
        "[replicas]\ncontrol = {}\n\n[cluster]\nkey_file = {}\n\n[admin]\ntoken_file = {}\n\n\
         [distribution]\nbatch_ms = {}\n",
        replicas.join(","),
        key_file.display(),
        hashes_file.display(),
        arguments.batch_ms
    );
    for (member, ports) in members.iter().zip(&ports) {
        let daemon = write_daemon(&dir, member, ports, &common)?;
        fleet.backend_servers.push(BackendPlan {
            name: format!("{}-server", member.name),
            service: format!("{}/{}", shape.team, member.service),
            failure_domain: member.failure_domain.clone(),
            pid: 0,
            addr: ports.backend,
            journal: dir.join(format!("{}-server.journal", member.name)),
            daemon: member.name.clone(),
        });
        fleet.daemons.push(daemon);
    }
    if arguments.cuttable {
        write_json(&dir.join("relay.json"), &relay_plan(&members, &ports))?;
        write_text(&dir.join("cuts"), "")?;
    }
    write_json(&dir.join("fleet.json"), &fleet)?;
    write_text(
        &dir.join("processes.tsv"),
        &processes(&dir, &fleet, arguments.cuttable),
    )
}

struct MemberPlan {
    name: String,
    failure_domain: String,
    service: &'static str,
    is_replica: bool,
}

/// One daemon and one backend server on each instance, spread over the failure domains.
fn members(shape: &Shape, scale: usize) -> Vec<MemberPlan> {
    let mut members = Vec::new();
    for (service, count) in shape.services {
        for number in 0..count * scale {
            let index = members.len();
            let domain = shape.domains[index % shape.domains.len()];
            members.push(MemberPlan {
                name: format!("{service}-{number}"),
                failure_domain: domain.to_owned(),
                service,
                is_replica: index < REPLICAS,
            });
        }
    }
    members
}

fn write_daemon(
    dir: &Path,
    member: &MemberPlan,
    ports: &Ports,
    common: &str,
) -> BenchResult<DaemonPlan> {
    let data_dir = member
        .is_replica
        .then(|| dir.join(format!("{}.data", member.name)));
    let mut text = format!(
        "[instance]\nname = {}\nfailure_domain = {}\n\n[listen]\ncallers = {}\nadmin = {}\n\
         announce = {}\ncontrol = {}\ncalls = {}\n\n",
        member.name,
        member.failure_domain,
        ports.callers,
        ports.admin,
        ports.announce,
        ports.control,
        ports.calls
    );
    if let Some((control, calls)) = ports.links {
        text.push_str(&format!(
            "[advertise]\ncontrol = {control}\ncalls = {calls}\n\n"
        ));
    }
    if let Some(data_dir) = &data_dir {
        text.push_str(&format!("[store]\ndir = {}\n\n", data_dir.display()));
    }
    text.push_str(common);
    let settings_file = dir.join(format!("{}.ini", member.name));
    write_text(&settings_file, &text)?;
    Ok(DaemonPlan {
        name: member.name.clone(),
        failure_domain: member.failure_domain.clone(),
        pid: 0,
        caller_addr: ports.callers,
        admin_addr: ports.admin,
        announce_addr: ports.announce,
        replica: member.is_replica,
        data_dir,
        settings_file,
    })
}

fn relay_plan(members: &[MemberPlan], ports: &[Ports]) -> RelayPlan {
    let mut links = Vec::new();
    for (member, ports) in members.iter().zip(ports) {
        let Some((control, calls)) = ports.links else {
            continue;
        };
        for (listen, target) in [(control, ports.control), (calls, ports.calls)] {
            links.push(Link {
                listen,
                target,
                failure_domain: member.failure_domain.clone(),
                name: member.name.clone(),
            });
        }
    }
    RelayPlan { links }
}

/// One line a process: name, program, arguments; separated by tabs.
fn processes(dir: &Path, fleet: &Fleet, is_cuttable: bool) -> String {
    let mut lines = Vec::new();
    if is_cuttable {
        let plan = dir.join("relay.json");
        let cuts = dir.join("cuts");
        lines.push(format!(
            "relay\tfoxtailgauge-bench\trelay\t--plan\t{}\t--cuts\t{}",
            plan.display(),
            cuts.display()
        ));
    }
    for daemon in &fleet.daemons {
        let settings = daemon.settings_file.display();
        lines.push(format!(
            "{}\tfoxtailgauged\t--settings\t{settings}",
            daemon.name
        ));
    }
    for (server, daemon) in fleet.backend_servers.iter().zip(&fleet.daemons) {
        lines.push(format!(
            "{}\tfoxtailgauge-bench\tbackend\t--name\t{}\t--service\t{}\t--addr\t{}\t\
             --announce\t{}\t--slots\t{SLOTS}\t--journal\t{}",
            server.name,
            server.name,
            server.service,
            server.addr,
            daemon.announce_addr,
            server.journal.display()
        ));
    }
    lines.join("\n") + "\n"
}

fn absolute(dir: &Path) -> BenchResult<PathBuf> {
    let failed = || BenchError::File(dir.to_owned());
    std::fs::create_dir_all(dir).change_context_lazy(failed)?;
    dir.canonicalize().change_context_lazy(failed)
}

fn free_ports(daemons: usize, is_cuttable: bool) -> BenchResult<Vec<Ports>> {
    let mut ports = Vec::new();
    for _ in 0..daemons {
        ports.push(Ports {
            callers: free_port()?,
            admin: free_port()?,
            announce: free_port()?,
            control: free_port()?,
            calls: free_port()?,
            links: if is_cuttable {
                Some((free_port()?, free_port()?))
            } else {
                None
            },
            backend: free_port()?,
        });
    }
    Ok(ports)
}

fn random_hex() -> String {
    let mut bytes = [0; 32];
    rand::rng().fill_bytes(&mut bytes);
    hex(&bytes)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
