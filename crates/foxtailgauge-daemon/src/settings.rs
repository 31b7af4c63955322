//! Settings of one daemon, read from an INI file. The whole file is validated before the daemon
//! starts, and all problems are reported together.

use crate::listen_settings::Listen;
use crate::mesh_settings::{self, MeshSettings};
use crate::retry_settings;
use crate::settings_files::{check_dir, read_tokens};
use foxtailgauge_core::{is_valid_name, RetryLimits};
use foxtailgauge_wire::handshake::{ClusterKey, MIN_KEY_BYTES};
use ini::Ini;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Bounds of the rate of an instance's link, in Mbit/s.
const MIN_LINK_MBPS: f64 = 0.1;
const MAX_LINK_MBPS: f64 = 1_000_000.0;
/// Bytes per second of 1 Mbit/s.
const BYTES_PER_S_PER_MBPS: f64 = 1e6 / 8.0;

/// Settings of the distribution of configuration and directory.
#[derive(Clone, Copy, Debug)]
pub struct Distribution {
    /// Interval over which directory changes are collected into one batch.
    pub batch_interval: Duration,
    /// Maximum time a source holds a poll open when there are no changes.
    pub poll_timeout: Duration,
    /// Number of daemons per failure domain that fetch the configuration from replicas.
    pub relays: usize,
    /// Maximum number of new sessions that a source accepts per second.
    pub sessions_per_second: u64,
}

/// Limits of calls.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request or response body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of concurrent connections from callers.
    pub connections: usize,
    /// Maximum number of connections to one backend server.
    pub server_connections: usize,
    /// Rate of the instance's link, in bytes per second; `None` if it is not limited.
    pub link_bytes_per_s: Option<f64>,
    /// Bound on the retries of all gateways together; `None` if there is none.
    pub retries: Option<RetryLimits>,
}

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// File that they were read from.
    pub file: PathBuf,
    /// Unique name of the daemon.
    pub name: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Listening addresses.
    pub listen: Listen,
    /// Control address advertised to other daemons.
    pub advertise_control: String,
    /// Call address advertised to other daemons.
    pub advertise_calls: String,
    /// Control addresses of the replicas, or of some of them, when the file was written. Replicas are
    /// replaced while a daemon runs: `Shared::replica_addrs` has the addresses to use.
    pub seeds: Vec<String>,
    /// How the initial group of replicas is formed.
    pub formation: Formation,
    /// Data directory; set on replicas only.
    pub store_dir: Option<PathBuf>,
    /// Secret shared by all daemons.
    pub cluster_key: ClusterKey,
    /// SHA-256 hashes of the admin tokens, by team. `None` disables the token check, which is
    /// allowed on loopback addresses only.
    pub admin_tokens: Option<BTreeMap<String, Vec<u8>>>,
    /// Settings of the distribution.
    pub distribution: Distribution,
    /// Limits of calls.
    pub limits: Limits,
    /// Retention period of the ledger's records of actions.
    pub ledger_retention: Duration,
    /// Least severe level that is logged.
    pub log_level: slog::Level,
    /// Settings of host-routed plain HTTP, if the instance forwards it.
    pub mesh: Option<MeshSettings>,
}

/// How the initial group of replicas is formed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Formation {
    /// All listed replicas form the group.
    Listed,
    /// The replicas among the seeds form the group, and other replicas join it.
    Seeds,
    /// The group exists already: a replica with an empty store joins it.
    JoinOnly,
}

/// One problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Section; empty if the problem concerns the file.
    pub section: String,
    /// Key; empty if the problem concerns the section or the file.
    pub key: String,
    /// Value or fault that was found.
    pub found: String,
    /// Allowed values.
    pub allowed: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SettingsProblem {
            file,
            section,
            key,
            found,
            allowed,
        } = self;
        let file = file.display();
        write!(
            f,
            "{file}: [{section}] {key}: found {found}; allowed: {allowed}"
        )
    }
}

/// All problems in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// At least one problem.
    pub problems: Vec<SettingsProblem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.problems {
            writeln!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Known sections and their keys.
const KNOWN_KEYS: &[(&str, &[&str])] = &[
    ("instance", &["name", "failure_domain"]),
    (
        "listen",
        &[
            "callers", "admin", "announce", "control", "calls", "address", "ports",
        ],
    ),
    ("advertise", &["control", "calls"]),
    ("replicas", &["control", "seeds", "may_form"]),
    ("store", &["dir"]),
    ("cluster", &["key_file"]),
    ("admin", &["token_file"]),
    (
        "distribution",
        &["batch_ms", "hold_ms", "relays", "sessions_per_second"],
    ),
    (
        "limits",
        &[
            "body_bytes",
            "connections",
            "server_connections",
            "link_mbps",
            "retry_budget_percent",
            "retry_budget_slack",
        ],
    ),
    ("ledger", &["retention_hours"]),
    ("log", &["level"]),
];

/// Reads and validates a settings file; on failure returns all problems.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    let mut reader = Reader::open(file)?;
    let settings = reader.settings();
    match settings {
        Some(settings) if reader.problems.is_empty() => Ok(settings),
        _ => Err(SettingsError {
            problems: reader.problems,
        }),
    }
}

/// Reads the seeds of a settings file anew.
pub(crate) fn read_seeds(file: &Path) -> Result<Vec<String>, SettingsError> {
    let mut reader = Reader::open(file)?;
    let listen = reader.listen();
    let (seeds, _) = reader.replicas(listen.as_ref());
    match reader.problems.is_empty() {
        true => Ok(seeds),
        false => Err(SettingsError {
            problems: reader.problems,
        }),
    }
}

pub(crate) struct Reader<'a> {
    file: &'a Path,
    ini: Ini,
    problems: Vec<SettingsProblem>,
}

impl<'a> Reader<'a> {
    fn open(file: &'a Path) -> Result<Self, SettingsError> {
        let file_error = |found: String, allowed: &str| SettingsError {
            problems: vec![SettingsProblem {
                file: file.to_owned(),
                section: String::new(),
                key: String::new(),
                found,
                allowed: allowed.to_owned(),
            }],
        };
        let text = std::fs::read_to_string(file)
            .map_err(|error| file_error(error.to_string(), "a readable file"))?;
        let ini = Ini::load_from_str_noescape(&text)
            .map_err(|error| file_error(error.to_string(), "INI text"))?;
        let mut reader = Reader {
            file,
            ini,
            problems: Vec::new(),
        };
        reader.check_keys();
        Ok(reader)
    }

    pub(crate) fn add_problem(
        &mut self,
        section: &str,
        key: &str,
        found: impl Into<String>,
        allowed: &str,
    ) {
        self.problems.push(SettingsProblem {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            found: found.into(),
            allowed: allowed.to_owned(),
        });
    }

    /// Reports unknown sections, unknown keys and duplicate keys.
    fn check_keys(&mut self) {
        let mut sections = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("").to_owned();
            let keys: Vec<String> = properties.iter().map(|(key, _)| key.to_owned()).collect();
            sections.push((section, keys));
        }
        for (section, keys) in sections {
            let known_sections = || KNOWN_KEYS.iter().chain(mesh_settings::KNOWN_KEYS);
            let Some((_, known_keys)) = known_sections().find(|(name, _)| *name == section) else {
                if !(section.is_empty() && keys.is_empty()) {
                    let names: Vec<&str> = known_sections().map(|(name, _)| *name).collect();
                    self.add_problem(&section, "", "unknown section", &names.join(", "));
                }
                continue;
            };
            let mut seen = BTreeSet::new();
            for key in keys {
                if !known_keys.contains(&key.as_str()) {
                    self.add_problem(&section, &key, "unknown key", &known_keys.join(", "));
                } else if !seen.insert(key.clone()) {
                    self.add_problem(&section, &key, "duplicate key", "each key once");
                }
            }
        }
    }

    fn settings(&mut self) -> Option<Settings> {
        let name = self.name("instance", "name");
        let failure_domain = self.name("instance", "failure_domain");
        let listen = self.listen();
        let (replicas, formation) = self.replicas(listen.as_ref());
        let store_dir = self.store_dir();
        let cluster_key = self.cluster_key();
        let admin_tokens = self.admin_tokens(listen.as_ref());
        let distribution = Distribution {
            batch_interval: self.duration_ms("distribution", "batch_ms", 0..=10_000, 50),
            poll_timeout: self.duration_ms("distribution", "hold_ms", 100..=60_000, 10_000),
            relays: self.number("distribution", "relays", 1..=64, 2) as usize,
            sessions_per_second: self.number(
                "distribution",
                "sessions_per_second",
                1..=100_000,
                200,
            ),
        };
        let bounds = mesh_settings::read_bounds(self);
        let limits = Limits {
            body_bytes: self.number("limits", "body_bytes", 1..=16 << 20, 1 << 20) as usize,
            connections: self.number("limits", "connections", 1..=100_000, 4096) as usize,
            server_connections: self.number("limits", "server_connections", 1..=10_000, 100)
                as usize,
            link_bytes_per_s: self.link_bytes_per_s(),
            retries: retry_settings::read(self, bounds.retries),
        };
        let hours = self.number("ledger", "retention_hours", 1..=8760, 48);
        let log_level = self.log_level();
        let listen = listen?;
        let advertise_control = self.advertised_address("control", listen.control);
        let advertise_calls = self.advertised_address("calls", listen.calls);
        let mesh = mesh_settings::read(self, &bounds, limits.retries);
        let is_in_list = replicas.contains(&advertise_control);
        if store_dir.is_some() && formation == Formation::Listed && !is_in_list {
            let found = format!("no `{advertise_control}`");
            let allowed = "a list with the control address of every daemon that has [store] dir";
            self.add_problem("replicas", "control", found, allowed);
        }
        Some(Settings {
            file: self.file.to_owned(),
            name: name?,
            failure_domain: failure_domain?,
            advertise_control,
            advertise_calls,
            listen,
            seeds: replicas,
            formation,
            store_dir,
            cluster_key: cluster_key?,
            admin_tokens,
            distribution,
            limits,
            ledger_retention: Duration::from_secs(hours * 3600),
            log_level,
            mesh,
        })
    }

    pub(crate) fn value(&self, section: &str, key: &str) -> Option<String> {
        let value = self.ini.get_from(Some(section), key)?;
        Some(value.trim().to_owned())
    }

    pub(crate) fn required_value(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
    ) -> Option<String> {
        let value = self.value(section, key);
        if value.is_none() {
            self.add_problem(section, key, "nothing", allowed);
        }
        value
    }

    fn name(&mut self, section: &str, key: &str) -> Option<String> {
        const ALLOWED: &str = "1 to 64 characters a-z, 0-9 and -";
        let name = self.required_value(section, key, ALLOWED)?;
        if !is_valid_name(&name) {
            self.add_problem(section, key, format!("`{name}`"), ALLOWED);
            return None;
        }
        Some(name)
    }

    fn number(
        &mut self,
        section: &str,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(text) = self.value(section, key) else {
            return default;
        };
        match text.parse::<u64>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let (start, end) = (range.start(), range.end());
                let allowed = format!("a whole number from {start} to {end}, without a unit");
                self.add_problem(section, key, format!("`{text}`"), &allowed);
                default
            }
        }
    }

    /// Rate of the instance's link; `None` if the key is missing or empty.
    fn link_bytes_per_s(&mut self) -> Option<f64> {
        let range = MIN_LINK_MBPS..=MAX_LINK_MBPS;
        let mbps = self.optional_decimal("limits", "link_mbps", range, ", in Mbit/s");
        mbps.map(|mbps| mbps * BYTES_PER_S_PER_MBPS)
    }

    /// Decimal number; `None` if the key is missing or empty, or if the value is invalid, which is
    /// reported. `unit` follows the allowed range in the report.
    pub(crate) fn optional_decimal(
        &mut self,
        section: &str,
        key: &str,
        range: RangeInclusive<f64>,
        unit: &str,
    ) -> Option<f64> {
        let text = self.non_empty_value(section, key)?;
        let number = text.parse::<f64>().ok();
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            let (start, end) = (range.start(), range.end());
            let allowed = format!("a number from {start} to {end}{unit}");
            self.add_problem(section, key, format!("`{text}`"), &allowed);
        }
        number
    }

    pub(crate) fn duration_ms(
        &mut self,
        section: &str,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Duration {
        Duration::from_millis(self.number(section, key, range, default))
    }

    /// Value of a key; `None` if the key is missing or empty.
    pub(crate) fn non_empty_value(&self, section: &str, key: &str) -> Option<String> {
        self.value(section, key).filter(|value| !value.is_empty())
    }

    /// Address in section `mesh`; `None` if the key is missing or empty, or if the address is
    /// invalid, which is reported.
    pub(crate) fn optional_address(&mut self, key: &str) -> Option<SocketAddr> {
        let text = self.non_empty_value("mesh", key)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.add_problem("mesh", key, format!("`{text}`"), "IP:PORT");
        }
        address
    }

    fn replicas(&mut self, listen: Option<&Listen>) -> (Vec<String>, Formation) {
        const ALLOWED: &str = "1 to 9 addresses IP:PORT, separated by commas";
        if let Some(seeds) = self.value("replicas", "seeds") {
            let port = listen.map_or(0, |listen| listen.control.port());
            return (self.seeds(&seeds, port), self.formation());
        }
        let Some(text) = self.required_value("replicas", "control", ALLOWED) else {
            return (Vec::new(), Formation::Listed);
        };
        let list: Vec<String> = text.split(',').map(|a| a.trim().to_owned()).collect();
        let is_valid = list.iter().all(|a| a.parse::<SocketAddr>().is_ok());
        let distinct: BTreeSet<&String> = list.iter().collect();
        if !is_valid || distinct.len() != list.len() || list.len() > 9 {
            self.add_problem("replicas", "control", format!("`{text}`"), ALLOWED);
        }
        (list, Formation::Listed)
    }

    /// Control addresses at the IP addresses of the seeds: all daemons use the same control port.
    fn seeds(&mut self, text: &str, control_port: u16) -> Vec<String> {
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        let seeds: Option<Vec<SocketAddr>> = items.map(|item| item.parse().ok()).collect();
        let Some(seeds) = seeds.filter(|seeds| !seeds.is_empty()) else {
            let allowed = "addresses IP:PORT, separated by commas";
            self.add_problem("replicas", "seeds", format!("`{text}`"), allowed);
            return Vec::new();
        };
        let control_addr = |seed: SocketAddr| SocketAddr::new(seed.ip(), control_port).to_string();
        let distinct: BTreeSet<String> = seeds.into_iter().map(control_addr).collect();
        distinct.into_iter().collect()
    }

    fn formation(&mut self) -> Formation {
        match self.value("replicas", "may_form").as_deref() {
            None | Some("true") => Formation::Seeds,
            Some("false") => Formation::JoinOnly,
            Some(found) => {
                let found = format!("`{found}`");
                self.add_problem("replicas", "may_form", found, "true or false");
                Formation::JoinOnly
            }
        }
    }

    fn store_dir(&mut self) -> Option<PathBuf> {
        let dir = PathBuf::from(self.non_empty_value("store", "dir")?);
        if let Err(error) = check_dir(&dir) {
            let found = format!("`{}`: {error}", dir.display());
            self.add_problem(
                "store",
                "dir",
                found,
                "a directory that can be read and written",
            );
        }
        Some(dir)
    }

    fn cluster_key(&mut self) -> Option<ClusterKey> {
        let allowed = format!("a file with at least {MIN_KEY_BYTES} bytes");
        let file = self.required_value("cluster", "key_file", &allowed)?;
        match std::fs::read(&file) {
            Err(error) => {
                self.add_problem(
                    "cluster",
                    "key_file",
                    format!("`{file}`: {error}"),
                    &allowed,
                );
                None
            }
            Ok(bytes) => {
                let byte_count = bytes.len();
                let key = ClusterKey::new(bytes);
                if key.is_none() {
                    let found = format!("`{file}` with {byte_count} bytes");
                    self.add_problem("cluster", "key_file", found, &allowed);
                }
                key
            }
        }
    }

    fn admin_tokens(&mut self, listen: Option<&Listen>) -> Option<BTreeMap<String, Vec<u8>>> {
        const ALLOWED: &str = "a file with section [tokens] and lines TEAM = SHA-256 in hex";
        let Some(file) = self.value("admin", "token_file") else {
            if listen.is_some_and(|listen| !listen.admin.ip().is_loopback()) {
                let allowed = "a token file, when [listen] admin is not a loopback address";
                self.add_problem("admin", "token_file", "nothing", allowed);
            }
            return None;
        };
        match read_tokens(&file) {
            Ok(tokens) => Some(tokens),
            Err(found) => {
                self.add_problem("admin", "token_file", format!("`{file}`: {found}"), ALLOWED);
                None
            }
        }
    }

    fn log_level(&mut self) -> slog::Level {
        let text = self
            .value("log", "level")
            .unwrap_or_else(|| "info".to_owned());
        text.parse().unwrap_or_else(|()| {
            let allowed = "critical, error, warning, info, debug, trace";
            self.add_problem("log", "level", format!("`{text}`"), allowed);
            slog::Level::Info
        })
    }
}
