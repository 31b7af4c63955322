//! Generates a fleet on loopback: settings, keys, ports and the list of processes to start.

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

/// Number of slots of each backend server.
const SLOTS_PER_SERVER: u32 = 20;

/// Predefined deployments: those of the users at their present sizes, and one for tests.
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
    /// Deployment to generate.
    #[arg(long, value_enum, default_value = "rybar")]
    pub deployment: Deployment,
    /// Factor applied to the number of backend servers of each service.
    #[arg(long, default_value_t = 1)]
    pub scale: usize,
    /// Route all connections between daemons through links that can be cut.
    #[arg(long)]
    pub cuttable: bool,
    /// Time over which directory changes are batched, in milliseconds.
    #[arg(long, default_value_t = 50)]
    pub batch_ms: u64,
    /// Directory for the files of the fleet.
    #[arg(long)]
    pub dir: PathBuf,
}

/// A generated fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fleet {
    /// Team that owns the configuration.
    pub team: String,
    /// File with the team's admin token.
    pub token_file: PathBuf,
    /// File with the team's configuration.
    pub config_file: PathBuf,
    /// Daemons.
    pub daemons: Vec<DaemonPlan>,
    /// Backend servers.
    pub backend_servers: Vec<BackendPlan>,
    /// Process id of the relay that runs the links, 0 without cuttable links.
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
    /// HTTP address for callers.
    pub caller_addr: SocketAddr,
    /// HTTP address for operators.
    pub admin_addr: SocketAddr,
    /// HTTP address for announcements of backend servers.
    pub announce_addr: SocketAddr,
    /// Whether it is a replica.
    pub replica: bool,
    /// Data directory of a replica.
    pub data_dir: Option<PathBuf>,
    /// Settings file.
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
    /// Address on which it serves requests.
    pub addr: SocketAddr,
    /// Journal file.
    pub journal: PathBuf,
    /// Name of the daemon on the same instance.
    pub daemon: String,
}

struct DeploymentSpec {
    team: &'static str,
    domains: &'static [&'static str],
    /// Services with the number of their backend servers.
    services: &'static [(&'static str, usize)],
    config: &'static str,
}

const RYBAR: DeploymentSpec = DeploymentSpec {
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

const SUGARBIRD: DeploymentSpec = DeploymentSpec {
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

const TRIO: DeploymentSpec = DeploymentSpec {
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
    fn spec(self) -> &'static DeploymentSpec {
        match self {
            Deployment::Rybar => &RYBAR,
            Deployment::Sugarbird => &SUGARBIRD,
            Deployment::Trio => &TRIO,
        }
    }
}

/// Number of replicas in a fleet.
const REPLICA_COUNT: usize = 3;

/// Addresses of one daemon and its backend server.
struct InstanceAddrs {
    callers: SocketAddr,
    admin: SocketAddr,
    announce: SocketAddr,
    control: SocketAddr,
    calls: SocketAddr,
    /// Link addresses in front of `control` and `calls`, if the fleet has cuttable links.
    links: Option<(SocketAddr, SocketAddr)>,
    backend: SocketAddr,
}

impl InstanceAddrs {
    fn advertised_control_addr(&self) -> SocketAddr {
        self.links.map_or(self.control, |(control, _)| control)
    }
}

/// Writes the files of a fleet.
pub fn run(arguments: &PlanArguments) -> BenchResult<()> {
    let dir = create_dir(&arguments.dir)?;
    let spec = arguments.deployment.spec();
    let instances = instances(spec, arguments.scale);
    let addrs = allocate_addrs(instances.len(), arguments.cuttable)?;
    let key_file = dir.join("cluster.key");
    write_text(&key_file, &random_hex())?;
    let token_file = dir.join(format!("{}.token", spec.team));
    let token = random_hex();
    write_text(&token_file, &token)?;
    let token_hashes_file = dir.join("tokens.ini");
    let hash = hex(&Sha256::digest(&token));
    write_text(
        &token_hashes_file,
        &format!("[tokens]\n{} = {hash}\n", spec.team),
    )?;
    let config_file = dir.join(format!("{}.ini", spec.team));
    write_text(&config_file, spec.config)?;
    let replicas: Vec<String> = instances
        .iter()
        .zip(&addrs)
        .filter(|(instance, _)| instance.is_replica)
        .map(|(_, addrs)| addrs.advertised_control_addr().to_string())
        .collect();
    let mut fleet = Fleet {
        team: spec.team.to_owned(),
        token_file,
        config_file,
        daemons: Vec::new(),
        backend_servers: Vec::new(),
        relay_pid: 0,
    };
    let shared_settings = format!(
        "[replicas]\ncontrol = {}\n\n[cluster]\nkey_file = {}\n\n[admin]\ntoken_file = {}\n\n\
         [distribution]\nbatch_ms = {}\n",
        replicas.join(","),
        key_file.display(),
        token_hashes_file.display(),
        arguments.batch_ms
    );
    for (instance, addrs) in instances.iter().zip(&addrs) {
        let daemon = write_daemon(&dir, instance, addrs, &shared_settings)?;
        fleet.backend_servers.push(BackendPlan {
            name: format!("{}-server", instance.name),
            service: format!("{}/{}", spec.team, instance.service),
            failure_domain: instance.failure_domain.clone(),
            pid: 0,
            addr: addrs.backend,
            journal: dir.join(format!("{}-server.journal", instance.name)),
            daemon: instance.name.clone(),
        });
        fleet.daemons.push(daemon);
    }
    if arguments.cuttable {
        write_json(&dir.join("relay.json"), &relay_plan(&instances, &addrs))?;
        write_text(&dir.join("cuts"), "")?;
    }
    write_json(&dir.join("fleet.json"), &fleet)?;
    write_text(
        &dir.join("processes.tsv"),
        &process_table(&dir, &fleet, arguments.cuttable),
    )
}

struct InstancePlan {
    name: String,
    failure_domain: String,
    service: &'static str,
    is_replica: bool,
}

/// Plans instances with one daemon and one backend server each, distributed round-robin over the
/// failure domains.
fn instances(spec: &DeploymentSpec, scale: usize) -> Vec<InstancePlan> {
    let mut instances = Vec::new();
    for (service, count) in spec.services {
        for number in 0..count * scale {
            let index = instances.len();
            let domain = spec.domains[index % spec.domains.len()];
            instances.push(InstancePlan {
                name: format!("{service}-{number}"),
                failure_domain: domain.to_owned(),
                service,
                is_replica: index < REPLICA_COUNT,
            });
        }
    }
    instances
}

fn write_daemon(
    dir: &Path,
    instance: &InstancePlan,
    addrs: &InstanceAddrs,
    shared_settings: &str,
) -> BenchResult<DaemonPlan> {
    let data_dir = instance
        .is_replica
        .then(|| dir.join(format!("{}.data", instance.name)));
    let mut text = format!(
        "[instance]\nname = {}\nfailure_domain = {}\n\n[listen]\ncallers = {}\nadmin = {}\n\
         announce = {}\ncontrol = {}\ncalls = {}\n\n",
        instance.name,
        instance.failure_domain,
        addrs.callers,
        addrs.admin,
        addrs.announce,
        addrs.control,
        addrs.calls
    );
    if let Some((control, calls)) = addrs.links {
        text.push_str(&format!(
            "[advertise]\ncontrol = {control}\ncalls = {calls}\n\n"
        ));
    }
    if let Some(data_dir) = &data_dir {
        text.push_str(&format!("[store]\ndir = {}\n\n", data_dir.display()));
    }
    text.push_str(shared_settings);
    let settings_file = dir.join(format!("{}.ini", instance.name));
    write_text(&settings_file, &text)?;
    Ok(DaemonPlan {
        name: instance.name.clone(),
        failure_domain: instance.failure_domain.clone(),
        pid: 0,
        caller_addr: addrs.callers,
        admin_addr: addrs.admin,
        announce_addr: addrs.announce,
        replica: instance.is_replica,
        data_dir,
        settings_file,
    })
}

fn relay_plan(instances: &[InstancePlan], addrs: &[InstanceAddrs]) -> RelayPlan {
    let mut links = Vec::new();
    for (instance, addrs) in instances.iter().zip(addrs) {
        let Some((control, calls)) = addrs.links else {
            continue;
        };
        for (listen, target) in [(control, addrs.control), (calls, addrs.calls)] {
            links.push(Link {
                listen,
                target,
                failure_domain: instance.failure_domain.clone(),
                name: instance.name.clone(),
            });
        }
    }
    RelayPlan { links }
}

/// Formats one line per process: name, program and arguments, separated by tabs.
fn process_table(dir: &Path, fleet: &Fleet, is_cuttable: bool) -> String {
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
             --announce\t{}\t--slots\t{SLOTS_PER_SERVER}\t--journal\t{}",
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

fn create_dir(dir: &Path) -> BenchResult<PathBuf> {
    let file_error = || BenchError::File(dir.to_owned());
    std::fs::create_dir_all(dir).change_context_lazy(file_error)?;
    dir.canonicalize().change_context_lazy(file_error)
}

fn allocate_addrs(count: usize, is_cuttable: bool) -> BenchResult<Vec<InstanceAddrs>> {
    let mut addrs = Vec::new();
    for _ in 0..count {
        addrs.push(InstanceAddrs {
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
    Ok(addrs)
}

fn random_hex() -> String {
    let mut bytes = [0; 32];
    rand::rng().fill_bytes(&mut bytes);
    hex(&bytes)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
