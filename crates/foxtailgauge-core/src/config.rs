//! The configuration of a team: INI parser, validation and typed form.

use crate::config_fields::Fields;
use crate::host_route::{CallerLimits, HostRoute};
use crate::ids::{RouteName, ServiceName, TeamName, WorkspaceName};
use crate::stored_route::StoredRoute;
use crate::workspace::{Allotment, KeyDigest, Workspace};
use ini::Ini;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

/// Shortest deadline that a route may set, in milliseconds.
pub const MIN_DEADLINE_MS: u64 = 10;
/// Longest deadline that a route may set, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 300_000;
/// Largest retry budget that a service may set, in percent of its calls.
pub const MAX_RETRY_PERCENT: u64 = 50;
/// Default retry budget of a service, in percent of its calls.
pub const DEFAULT_RETRY_PERCENT: u64 = 10;
/// Largest queue limit per backend server that a service may set, in requests.
pub const MAX_QUEUE_REQUESTS: u64 = 10_000;
/// Default queue limit per backend server, in requests.
pub const DEFAULT_QUEUE_REQUESTS: u64 = 64;
/// Default number of connections that a backend server accepts.
pub const DEFAULT_CONNECTIONS: u64 = 100;
/// Largest number of connections that a service may set.
pub const MAX_CONNECTIONS: u64 = 1_000_000;
/// Largest number of attempts that a host route may set.
pub const MAX_ATTEMPTS: u64 = 100;
/// Largest burst of a workspace, in requests.
const MAX_BURST_REQUESTS: u64 = 1_000_000_000;
/// Largest configuration text of one team, in bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 20;

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Retry budget, in percent of calls; at most `MAX_RETRY_PERCENT`.
    pub retry_percent: u64,
    /// Requests that may wait for a slot of one backend server.
    pub queue_requests: u64,
    /// Path of the health check of a backend server; empty if it has none.
    pub health_path: String,
    /// Connections that a backend server accepts, over all callers.
    pub connections: u64,
}

/// A rule that routes callers' requests to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "StoredRoute", try_from = "StoredRoute")]
pub struct Route {
    /// Path prefix, starting with `/`; matches whole path segments only.
    pub prefix: String,
    /// Allowed methods, in upper case; never empty.
    pub methods: BTreeSet<String>,
    /// Target service; present in the same snapshot.
    pub service: ServiceName,
    /// Total time allowed for a call, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a call is a billable action, which runs at most once per key.
    pub billable: bool,
    /// Whether an attempt with unknown outcome may be repeated; never set on a billable route.
    pub idempotent: bool,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// All services and routes of one team, keyed by their qualified names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamConfig {
    /// Services by qualified name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Routes by qualified name.
    pub routes: BTreeMap<RouteName, Route>,
    /// Host routes by qualified name.
    pub host_routes: BTreeMap<RouteName, HostRoute>,
    /// Limits on the requests of callers of the host routes.
    pub caller_limits: Option<CallerLimits>,
    /// Workspaces of callers by name.
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
}

/// Kind of a problem in a configuration text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigProblemKind {
    /// The text is not valid INI.
    Syntax {
        /// Line number, from 1.
        line: u64,
    },
    /// The text exceeds [`MAX_TEXT_BYTES`].
    TooLarge,
    /// The section is none of `services/NAME`, `routes/NAME`, `host-routes/NAME`,
    /// `workspaces/NAME`, `caller-limits`.
    UnknownSection,
    /// The section occurs more than once.
    DuplicateSection,
    /// The name is not valid; see [`is_valid_name`].
    BadName,
    /// The key is not defined for this section.
    UnknownKey,
    /// The key occurs more than once.
    DuplicateKey,
    /// A required key is absent.
    MissingKey,
    /// The value is not allowed.
    BadValue {
        /// The value in the text.
        found: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// The target service of the route is not defined.
    UnknownService {
        /// Qualified name of the target service.
        service: ServiceName,
    },
    /// A route of another section matches some of the same calls.
    RouteClash {
        /// The other route.
        with: RouteName,
    },
    /// Another team owns the path, a prefix of it or a path below it.
    ForeignPath {
        /// The owner.
        team: TeamName,
    },
    /// The document version is not above that of the team's current document.
    NumberNotAbove {
        /// Version of the current document.
        current: u64,
    },
    /// The service would be removed, but is still the target of another team's route.
    ServiceInUse {
        /// The other team's route.
        by: RouteName,
    },
    /// The key also belongs to another workspace.
    SharedKey {
        /// The other workspace.
        with: WorkspaceName,
    },
    /// Another team has a workspace of this name.
    ForeignWorkspace {
        /// The other team.
        team: TeamName,
    },
}

/// A problem in a configuration text, with its section and key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProblem {
    /// Section of the text, empty if the problem concerns the text as a whole.
    pub section: String,
    /// Key in the section, empty if the problem concerns the section as a whole.
    pub key: String,
    /// What is wrong.
    pub kind: ConfigProblemKind,
}

impl ConfigProblem {
    pub(crate) fn new(section: &str, key: &str, kind: ConfigProblemKind) -> Self {
        ConfigProblem {
            section: section.to_owned(),
            key: key.to_owned(),
            kind,
        }
    }
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}: ", self.section, self.key)?;
        match &self.kind {
            ConfigProblemKind::Syntax { line } => write!(f, "not INI at line {line}"),
            ConfigProblemKind::TooLarge => write!(f, "text exceeds {MAX_TEXT_BYTES} bytes"),
            ConfigProblemKind::UnknownSection => {
                write!(
                    f,
                    "unknown section; allowed: services/NAME, routes/NAME, host-routes/NAME, \
                     workspaces/NAME, caller-limits"
                )
            }
            ConfigProblemKind::DuplicateSection => write!(f, "section stands twice"),
            ConfigProblemKind::BadName => write!(f, "name may hold only a-z, 0-9 and -"),
            ConfigProblemKind::UnknownKey => write!(f, "unknown key"),
            ConfigProblemKind::DuplicateKey => write!(f, "key stands twice"),
            ConfigProblemKind::MissingKey => write!(f, "required key is missing"),
            ConfigProblemKind::BadValue { found, allowed } => {
                write!(f, "found `{found}`, allowed: {allowed}")
            }
            ConfigProblemKind::UnknownService { service } => {
                write!(f, "service `{service}` is not defined")
            }
            ConfigProblemKind::RouteClash { with } => write!(f, "clashes with route `{with}`"),
            ConfigProblemKind::ForeignPath { team } => {
                write!(f, "path belongs to team `{team}`")
            }
            ConfigProblemKind::NumberNotAbove { current } => {
                write!(f, "document number is not above the current one, {current}")
            }
            ConfigProblemKind::SharedKey { with } => {
                write!(f, "a key also belongs to workspace `{with}`")
            }
            ConfigProblemKind::ForeignWorkspace { team } => {
                write!(f, "workspace belongs to team `{team}`")
            }
            ConfigProblemKind::ServiceInUse { by } => {
                write!(f, "service is still the target of route `{by}`")
            }
        }
    }
}

/// Whether `name` is valid for a team, a service or a route: 1 to 64 characters `a-z`, `0-9` and
/// `-`.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !name.is_empty() && name.len() <= 64 && name.chars().all(is_allowed)
}

/// Parses the text of one team and checks what does not depend on other teams.
///
/// # Errors
///
/// Returns all problems found; only the first one if the text is too large or not valid INI.
pub fn parse_team(team: &str, text: &str) -> Result<TeamConfig, Vec<ConfigProblem>> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(vec![ConfigProblem::new(
            "",
            "",
            ConfigProblemKind::TooLarge,
        )]);
    }
    let mut parser = Parser::new(team);
    parser.text(text)?;
    parser.finish()
}

/// A parsed text, and the number of its sections that were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedTeam {
    /// The configuration.
    pub config: TeamConfig,
    /// Sections that were read; the others were taken from the base.
    pub sections_read: usize,
}

/// Parses the text of one team like [`parse_team`], and takes host routes whose sections are the
/// same in the text that `base` was parsed from.
///
/// Documents describe thousands of routes and change a few of them at a time, and every replica
/// parses each of them.
///
/// # Errors
///
/// The same as [`parse_team`].
pub fn parse_team_from(
    team: &str,
    text: &str,
    base: Option<(&str, &TeamConfig)>,
) -> Result<ParsedTeam, Vec<ConfigProblem>> {
    let parsed = base.and_then(|(base_text, base)| parse_changed(team, text, base_text, base));
    match parsed {
        Some(parsed) => Ok(parsed),
        None => Ok(ParsedTeam {
            config: parse_team(team, text)?,
            sections_read: blocks(text).count(),
        }),
    }
}

/// Parses only the sections that differ from the base. `None` if the texts cannot be compared by
/// section or there is a problem; problems are reported by [`parse_team`], with their lines.
fn parse_changed(team: &str, text: &str, base_text: &str, base: &TeamConfig) -> Option<ParsedTeam> {
    // A quoted value may span lines that look like sections.
    let is_quoted = |text: &str| text.contains(['"', '\'']);
    if text.len() > MAX_TEXT_BYTES || is_quoted(text) || is_quoted(base_text) {
        return None;
    }
    let mut base_blocks = HashMap::new();
    for block in blocks(base_text) {
        if base_blocks.insert(block.lines().next(), block).is_some() {
            return None;
        }
    }
    let mut parser = Parser::new(team);
    let mut changed = String::new();
    let mut sections_read = 0;
    for block in blocks(text) {
        let heading = block.lines().next();
        let is_same = base_blocks.get(&heading) == Some(&block);
        // An indented heading starts a section too.
        let is_heading = |line: &str| line.trim_start().starts_with('[');
        if block.lines().skip(1).any(is_heading) {
            return None;
        }
        let same_route = heading
            .filter(|_| is_same)
            .and_then(|heading| heading.strip_prefix("[host-routes/")?.strip_suffix(']'))
            .and_then(|name| base.host_routes.get_key_value(&format!("{team}/{name}")));
        match same_route {
            Some((name, route)) => {
                let earlier = parser
                    .config
                    .host_routes
                    .insert(name.clone(), route.clone());
                if earlier.is_some() {
                    return None;
                }
            }
            None => {
                changed.push_str(block);
                sections_read += 1;
            }
        }
    }
    parser.text(&changed).ok()?;
    let config = parser.finish().ok()?;
    Some(ParsedTeam {
        config,
        sections_read,
    })
}

/// Parts of a text, each from a section's heading to the next one. What precedes the first heading
/// belongs to the first part.
fn blocks(text: &str) -> impl Iterator<Item = &str> {
    let mut rest = text;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let end = rest.find("\n[").map_or(rest.len(), |index| index + 1);
        let (block, others) = rest.split_at(end);
        rest = others;
        Some(block)
    })
}

struct Parser<'a> {
    team: &'a str,
    config: TeamConfig,
    /// Workspaces read so far, by key.
    key_owners: HashMap<KeyDigest, WorkspaceName>,
    problems: Vec<ConfigProblem>,
}

impl<'a> Parser<'a> {
    fn new(team: &'a str) -> Self {
        Parser {
            team,
            config: TeamConfig::default(),
            key_owners: HashMap::new(),
            problems: Vec::new(),
        }
    }

    fn push_problem(&mut self, section: &str, key: &str, kind: ConfigProblemKind) {
        self.problems.push(ConfigProblem::new(section, key, kind));
    }

    /// Reads the sections of a text; fails if it is not valid INI.
    fn text(&mut self, text: &str) -> Result<(), Vec<ConfigProblem>> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| {
            let line = error.line as u64;
            vec![ConfigProblem::new(
                "",
                "",
                ConfigProblemKind::Syntax { line },
            )]
        })?;
        for (section, properties) in ini.iter() {
            let pairs: Vec<(&str, &str)> = properties.iter().collect();
            match section {
                Some(section) => self.section(section, &pairs),
                None if pairs.is_empty() => {}
                None => self.push_problem("", pairs[0].0, ConfigProblemKind::UnknownSection),
            }
        }
        Ok(())
    }

    fn section(&mut self, section: &str, pairs: &[(&str, &str)]) {
        if section == "caller-limits" {
            return self.caller_limits(section, pairs);
        }
        let Some((kind, name)) = section.split_once('/') else {
            return self.push_problem(section, "", ConfigProblemKind::UnknownSection);
        };
        if !is_valid_name(name) {
            return self.push_problem(section, "", ConfigProblemKind::BadName);
        }
        let qualified = format!("{}/{name}", self.team);
        match kind {
            "services" => self.service(section, qualified, pairs),
            "routes" => self.route(section, qualified, pairs),
            "host-routes" => self.host_route(section, qualified, pairs),
            "workspaces" => self.workspace(section, name.to_owned(), pairs),
            _ => self.push_problem(section, "", ConfigProblemKind::UnknownSection),
        }
    }

    fn service(&mut self, section: &str, name: ServiceName, pairs: &[(&str, &str)]) {
        let known_keys = [
            "retry_percent",
            "queue_requests",
            "health_path",
            "connections",
        ];
        let mut fields = Fields::new(section, pairs, &known_keys);
        let service = Service {
            retry_percent: fields.number(
                "retry_percent",
                0..=MAX_RETRY_PERCENT,
                Some(DEFAULT_RETRY_PERCENT),
            ),
            queue_requests: fields.number(
                "queue_requests",
                0..=MAX_QUEUE_REQUESTS,
                Some(DEFAULT_QUEUE_REQUESTS),
            ),
            health_path: fields.health_path(),
            connections: fields.number(
                "connections",
                1..=MAX_CONNECTIONS,
                Some(DEFAULT_CONNECTIONS),
            ),
        };
        self.problems.append(&mut fields.problems);
        if self.config.services.insert(name, service).is_some() {
            self.push_problem(section, "", ConfigProblemKind::DuplicateSection);
        }
    }

    fn route(&mut self, section: &str, name: RouteName, pairs: &[(&str, &str)]) {
        let known_keys = [
            "prefix",
            "methods",
            "service",
            "deadline_ms",
            "billable",
            "idempotent",
            "public",
        ];
        let mut fields = Fields::new(section, pairs, &known_keys);
        let billable = fields.boolean("billable", false);
        let methods = fields.methods();
        let is_safe = methods.iter().all(|m| m == "GET" || m == "HEAD");
        let idempotent = fields.boolean("idempotent", is_safe && !billable);
        if billable && idempotent {
            fields.bad_value("idempotent", "true", "false on a billable route");
        }
        let route = Route {
            prefix: fields.prefix(),
            methods,
            service: fields.service(self.team),
            deadline_ms: fields.number("deadline_ms", MIN_DEADLINE_MS..=MAX_DEADLINE_MS, None),
            billable,
            idempotent,
            is_public: fields.boolean("public", false),
        };
        self.problems.append(&mut fields.problems);
        if self.config.routes.insert(name, route).is_some() {
            self.push_problem(section, "", ConfigProblemKind::DuplicateSection);
        }
    }

    fn host_route(&mut self, section: &str, name: RouteName, pairs: &[(&str, &str)]) {
        let known_keys = [
            "host",
            "prefix",
            "split",
            "timeout_ms",
            "attempts",
            "rank",
            "latency_ms",
            "idempotent",
            "public",
            "bulk",
        ];
        let mut fields = Fields::new(section, pairs, &known_keys);
        let route = HostRoute {
            host: fields.host(),
            prefix: fields.literal_prefix(),
            split: fields.weighted_services(self.team),
            timeout_ms: fields.number("timeout_ms", 1..=MAX_DEADLINE_MS, None),
            attempts: fields.number("attempts", 1..=MAX_ATTEMPTS, Some(1)),
            rank: fields.number("rank", 0..=u64::from(u32::MAX), Some(0)),
            latency_ms: fields.number("latency_ms", 0..=MAX_DEADLINE_MS, Some(0)),
            idempotent: fields.boolean("idempotent", false),
            is_public: fields.boolean("public", false),
            is_bulk: fields.boolean("bulk", false),
        };
        self.problems.append(&mut fields.problems);
        if self.config.host_routes.insert(name, route).is_some() {
            self.push_problem(section, "", ConfigProblemKind::DuplicateSection);
        }
    }

    fn workspace(&mut self, section: &str, name: WorkspaceName, pairs: &[(&str, &str)]) {
        let known_keys = ["keys", "rank", "rate_per_s", "burst"];
        let mut fields = Fields::new(section, pairs, &known_keys);
        let keys = fields.keys();
        let rank = fields.optional_number("rank", 0..=u64::from(u32::MAX));
        let rate_milli = fields.rate_milli("rate_per_s");
        let burst_requests = fields.number("burst", 0..=MAX_BURST_REQUESTS, Some(0));
        let allotment = (rate_milli > 0).then_some(Allotment {
            rate_milli,
            burst_requests,
        });
        self.problems.append(&mut fields.problems);
        for key in &keys {
            if let Some(with) = self.key_owners.insert(*key, name.clone()) {
                self.push_problem(section, "keys", ConfigProblemKind::SharedKey { with });
            }
        }
        let workspace = Workspace {
            keys,
            rank,
            allotment,
        };
        if self.config.workspaces.insert(name, workspace).is_some() {
            self.push_problem(section, "", ConfigProblemKind::DuplicateSection);
        }
    }

    fn caller_limits(&mut self, section: &str, pairs: &[(&str, &str)]) {
        let known_keys = ["header_bytes", "body_bytes", "header_ms", "idle_ms"];
        let mut fields = Fields::new(section, pairs, &known_keys);
        let limits = CallerLimits {
            header_bytes: fields.number("header_bytes", 0..=u64::MAX, Some(0)),
            body_bytes: fields.number("body_bytes", 0..=u64::MAX, Some(0)),
            header_ms: fields.number("header_ms", 0..=u64::MAX, Some(0)),
            idle_ms: fields.number("idle_ms", 0..=u64::MAX, Some(0)),
        };
        self.problems.append(&mut fields.problems);
        if self.config.caller_limits.replace(limits).is_some() {
            self.push_problem(section, "", ConfigProblemKind::DuplicateSection);
        }
    }

    fn finish(self) -> Result<TeamConfig, Vec<ConfigProblem>> {
        if self.problems.is_empty() {
            Ok(self.config)
        } else {
            Err(self.problems)
        }
    }
}

/// Whether `prefix` is a prefix of `path` that ends at a segment boundary.
pub fn prefix_matches(prefix: &str, path: &str) -> bool {
    if prefix == "/" {
        return path.starts_with('/');
    }
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
