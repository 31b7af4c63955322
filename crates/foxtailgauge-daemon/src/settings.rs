//! Settings of one daemon: an INI file, checked as a whole before anything starts.

use foxtailgauge_core::is_valid_name;
use foxtailgauge_wire::handshake::{ClusterKey, MIN_KEY_BYTES};
use ini::Ini;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Addresses a daemon listens on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Operators' HTTP and metrics.
    pub admin: SocketAddr,
    /// Announcements of backend servers.
    pub announce: SocketAddr,
    /// Consensus and configuration between daemons.
    pub control: SocketAddr,
    /// Calls between daemons.
    pub calls: SocketAddr,
}

/// Settings of distribution.
#[derive(Clone, Copy, Debug)]
pub struct Distribution {
    /// Time over which changes of the directory are gathered before they are sent on.
    pub batch: Duration,
    /// Longest time a source holds a poll without news.
    pub hold: Duration,
    /// Daemons of a failure domain that take their configuration from replicas.
    pub relays: usize,
    /// New sessions a source admits in a second.
    pub sessions_per_second: u64,
}

/// Limits of calls.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body of a request or an answer.
    pub body_bytes: usize,
    /// Callers' connections at a time.
    pub connections: usize,
    /// Connections to one backend server.
    pub server_connections: usize,
}

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique name.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Listening addresses.
    pub listen: Listen,
    /// Control address that other daemons use.
    pub advertise_control: String,
    /// Call address that other daemons use.
    pub advertise_calls: String,
    /// Control addresses of the replicas.
    pub replicas: Vec<String>,
    /// Data folder; present on replicas only.
    pub store_dir: Option<PathBuf>,
    /// Secret shared by all daemons.
    pub cluster_key: ClusterKey,
    /// SHA-256 hashes of admin tokens, by team; `None`: no tokens needed, on loopback only.
    pub admin_tokens: Option<BTreeMap<String, Vec<u8>>>,
    /// Distribution.
    pub distribution: Distribution,
    /// Limits.
    pub limits: Limits,
    /// Time for which the ledger keeps what became of an action.
    pub ledger_retention: Duration,
    /// Lowest level logged.
    pub log_level: slog::Level,
}

/// One problem of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsProblem {
    /// File.
    pub file: PathBuf,
    /// Section.
    pub section: String,
    /// Key.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
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

/// All problems of a settings file.
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

/// Sections and their keys.
const KNOWN: &[(&str, &[&str])] = &[
    ("instance", &["name", "failure_domain"]),
    (
        "listen",
        &["callers", "admin", "announce", "control", "calls"],
    ),
    ("advertise", &["control", "calls"]),
    ("replicas", &["control"]),
    ("store", &["dir"]),
    ("cluster", &["key_file"]),
    ("admin", &["token_file"]),
    (
        "distribution",
        &["batch_ms", "hold_ms", "relays", "sessions_per_second"],
    ),
    (
        "limits",
        &["body_bytes", "connections", "server_connections"],
    ),
    ("ledger", &["retention_hours"]),
    ("log", &["level"]),
];

/// Reads and checks a settings file.
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

struct Reader<'a> {
    file: &'a Path,
    ini: Ini,
    problems: Vec<SettingsProblem>,
}

impl<'a> Reader<'a> {
    fn open(file: &'a Path) -> Result<Self, SettingsError> {
        let failed = |found: String, allowed: &str| SettingsError {
            problems: vec![SettingsProblem {
                file: file.to_owned(),
                section: String::new(),
                key: String::new(),
                found,
                allowed: allowed.to_owned(),
            }],
        };
        let text = std::fs::read_to_string(file)
            .map_err(|error| failed(error.to_string(), "a readable file"))?;
        let ini = Ini::load_from_str_noescape(&text)
            .map_err(|error| failed(error.to_string(), "INI text"))?;
        let mut reader = Reader {
            file,
            ini,
            problems: Vec::new(),
        };
        reader.check_names();
        Ok(reader)
    }

    fn problem(&mut self, section: &str, key: &str, found: impl Into<String>, allowed: &str) {
        self.problems.push(SettingsProblem {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            found: found.into(),
            allowed: allowed.to_owned(),
        });
    }

    /// Finds unknown sections, unknown keys and keys that stand twice.
    fn check_names(&mut self) {
        let mut found = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("").to_owned();
            let keys: Vec<String> = properties.iter().map(|(key, _)| key.to_owned()).collect();
            found.push((section, keys));
        }
        for (section, keys) in found {
            let Some((_, known)) = KNOWN.iter().find(|(name, _)| *name == section) else {
                if !(section.is_empty() && keys.is_empty()) {
                    let names: Vec<&str> = KNOWN.iter().map(|(name, _)| *name).collect();
                    self.problem(&section, "", "unknown section", &names.join(", "));
                }
                continue;
            };
            let mut seen = BTreeSet::new();
            for key in keys {
                if !known.contains(&key.as_str()) {
                    self.problem(&section, &key, "unknown key", &known.join(", "));
                } else if !seen.insert(key.clone()) {
                    self.problem(&section, &key, "key twice", "each key once");
                }
            }
        }
    }

    fn settings(&mut self) -> Option<Settings> {
        let name = self.name("instance", "name");
        let failure_domain = self.name("instance", "failure_domain");
        let listen = self.listen();
        let replicas = self.replicas();
        let store_dir = self.store_dir();
        let cluster_key = self.cluster_key();
        let admin_tokens = self.admin_tokens(listen.as_ref());
        let distribution = Distribution {
            batch: self.millis("distribution", "batch_ms", 0..=10_000, 50),
            hold: self.millis("distribution", "hold_ms", 100..=60_000, 10_000),
            relays: self.number("distribution", "relays", 1..=64, 2) as usize,
            sessions_per_second: self.number(
                "distribution",
                "sessions_per_second",
                1..=100_000,
                200,
            ),
        };
        let limits = Limits {
            body_bytes: self.number("limits", "body_bytes", 1..=16 << 20, 1 << 20) as usize,
            connections: self.number("limits", "connections", 1..=100_000, 4096) as usize,
            server_connections: self.number("limits", "server_connections", 1..=10_000, 100)
                as usize,
        };
        let hours = self.number("ledger", "retention_hours", 1..=8760, 48);
        let log_level = self.log_level();
        let listen = listen?;
        let advertise_control = self.advertised("control", listen.control);
        let advertise_calls = self.advertised("calls", listen.calls);
        if store_dir.is_some() && !replicas.contains(&advertise_control) {
            let found = format!("no `{advertise_control}`");
            let allowed = "a list with the control address of every daemon that has [store] dir";
            self.problem("replicas", "control", found, allowed);
        }
        Some(Settings {
            name: name?,
            failure_domain: failure_domain?,
            advertise_control,
            advertise_calls,
            listen,
            replicas,
            store_dir,
            cluster_key: cluster_key?,
            admin_tokens,
            distribution,
            limits,
            ledger_retention: Duration::from_secs(hours * 3600),
            log_level,
        })
    }

    fn value(&self, section: &str, key: &str) -> Option<String> {
        let value = self.ini.get_from(Some(section), key)?;
        Some(value.trim().to_owned())
    }

    fn required(&mut self, section: &str, key: &str, allowed: &str) -> Option<String> {
        let value = self.value(section, key);
        if value.is_none() {
            self.problem(section, key, "nothing", allowed);
        }
        value
    }

    fn name(&mut self, section: &str, key: &str) -> Option<String> {
        const ALLOWED: &str = "1 to 64 characters a-z, 0-9 and -";
        let name = self.required(section, key, ALLOWED)?;
        if !is_valid_name(&name) {
            self.problem(section, key, format!("`{name}`"), ALLOWED);
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
                self.problem(section, key, format!("`{text}`"), &allowed);
                default
            }
        }
    }

    fn millis(
        &mut self,
        section: &str,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Duration {
        Duration::from_millis(self.number(section, key, range, default))
    }

    fn listen(&mut self) -> Option<Listen> {
        let callers = self.address("callers");
        let admin = self.address("admin");
        let announce = self.address("announce");
        let control = self.address("control");
        let calls = self.address("calls");
        let listen = Listen {
            callers: callers?,
            admin: admin?,
            announce: announce?,
            control: control?,
            calls: calls?,
        };
        self.check_clash(&listen);
        Some(listen)
    }

    fn address(&mut self, key: &str) -> Option<SocketAddr> {
        const ALLOWED: &str = "IP:PORT";
        let text = self.required("listen", key, ALLOWED)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.problem("listen", key, format!("`{text}`"), ALLOWED);
        }
        address
    }

    fn check_clash(&mut self, listen: &Listen) {
        let all = [
            ("callers", listen.callers),
            ("admin", listen.admin),
            ("announce", listen.announce),
            ("control", listen.control),
            ("calls", listen.calls),
        ];
        let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for (key, address) in all {
            if let Some(other) = seen.insert(address, key) {
                let found = format!("{address}, the same as `{other}`");
                self.problem("listen", key, found, "an address of its own");
            }
        }
    }

    fn advertised(&mut self, key: &str, listen: SocketAddr) -> String {
        let Some(text) = self.value("advertise", key) else {
            return listen.to_string();
        };
        if text.parse::<SocketAddr>().is_err() {
            self.problem("advertise", key, format!("`{text}`"), "IP:PORT");
        }
        text
    }

    fn replicas(&mut self) -> Vec<String> {
        const ALLOWED: &str = "1 to 9 addresses IP:PORT, separated by commas";
        let Some(text) = self.required("replicas", "control", ALLOWED) else {
            return Vec::new();
        };
        let list: Vec<String> = text.split(',').map(|a| a.trim().to_owned()).collect();
        let is_valid = list.iter().all(|a| a.parse::<SocketAddr>().is_ok());
        let distinct: BTreeSet<&String> = list.iter().collect();
        if !is_valid || distinct.len() != list.len() || list.len() > 9 {
            self.problem("replicas", "control", format!("`{text}`"), ALLOWED);
        }
        list
    }

    fn store_dir(&mut self) -> Option<PathBuf> {
        let dir = PathBuf::from(self.value("store", "dir")?);
        if let Err(error) = check_folder(&dir) {
            let found = format!("`{}`: {error}", dir.display());
            self.problem(
                "store",
                "dir",
                found,
                "a folder that can be read and written",
            );
        }
        Some(dir)
    }

    fn cluster_key(&mut self) -> Option<ClusterKey> {
        let allowed = format!("a file with at least {MIN_KEY_BYTES} bytes");
        let file = self.required("cluster", "key_file", &allowed)?;
        match std::fs::read(&file) {
            Err(error) => {
                self.problem(
                    "cluster",
                    "key_file",
                    format!("`{file}`: {error}"),
                    &allowed,
                );
                None
            }
            Ok(bytes) => {
                let count = bytes.len();
                let key = ClusterKey::new(bytes);
                if key.is_none() {
                    let found = format!("`{file}` with {count} bytes");
                    self.problem("cluster", "key_file", found, &allowed);
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
                self.problem("admin", "token_file", "nothing", allowed);
            }
            return None;
        };
        match read_tokens(&file) {
            Ok(tokens) => Some(tokens),
            Err(found) => {
                self.problem("admin", "token_file", format!("`{file}`: {found}"), ALLOWED);
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
            self.problem("log", "level", format!("`{text}`"), allowed);
            slog::Level::Info
        })
    }
}

fn check_folder(dir: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(dir)?;
    std::fs::read_dir(dir)?;
    let probe = dir.join(".probe");
    std::fs::write(&probe, b"probe")?;
    std::fs::remove_file(&probe)
}

fn read_tokens(file: &str) -> Result<BTreeMap<String, Vec<u8>>, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    let ini = Ini::load_from_str_noescape(&text).map_err(|error| error.to_string())?;
    let section = ini.section(Some("tokens")).ok_or("no section [tokens]")?;
    let mut tokens = BTreeMap::new();
    for (team, hex) in section.iter() {
        let hash = parse_hex(hex).filter(|hash| hash.len() == 32);
        let hash = hash.ok_or_else(|| format!("`{team}` has no SHA-256 in hex"))?;
        tokens.insert(team.to_owned(), hash);
    }
    Ok(tokens)
}

fn parse_hex(text: &str) -> Option<Vec<u8>> {
    let text = text.trim();
    let digit_pairs = (0..text.len()).step_by(2);
    digit_pairs
        .map(|at| u8::from_str_radix(text.get(at..at + 2)?, 16).ok())
        .collect()
}
