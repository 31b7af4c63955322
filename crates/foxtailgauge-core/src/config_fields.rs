//! Reads the keys of one section of a configuration text.

use crate::config::{is_valid_name, ConfigProblem, ConfigProblemKind};
use crate::host_route::WeightedService;
use crate::ids::ServiceName;
use crate::workspace::KeyDigest;
use std::collections::{BTreeMap, BTreeSet};

/// Largest length of the host and of the prefix of a host route, in bytes.
const MAX_HOST_ROUTE_BYTES: usize = 2_048;
/// Largest rate of a workspace, in requests per second.
const MAX_RATE_PER_S: f64 = 1_000_000_000.0;

/// The keys of one section, with the problems found while reading them.
pub(crate) struct Fields<'a> {
    section: &'a str,
    values: BTreeMap<&'a str, &'a str>,
    pub(crate) problems: Vec<ConfigProblem>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(section: &'a str, pairs: &[(&'a str, &'a str)], known_keys: &[&str]) -> Self {
        let mut fields = Fields {
            section,
            values: BTreeMap::new(),
            problems: Vec::new(),
        };
        for (key, value) in pairs {
            if !known_keys.contains(key) {
                fields.push_problem(key, ConfigProblemKind::UnknownKey);
            }
            if fields.values.insert(key, value.trim()).is_some() {
                fields.push_problem(key, ConfigProblemKind::DuplicateKey);
            }
        }
        fields
    }

    pub(crate) fn push_problem(&mut self, key: &str, kind: ConfigProblemKind) {
        self.problems
            .push(ConfigProblem::new(self.section, key, kind));
    }

    pub(crate) fn bad_value(&mut self, key: &str, found: &str, allowed: &str) {
        let kind = ConfigProblemKind::BadValue {
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        };
        self.push_problem(key, kind);
    }

    pub(crate) fn required(&mut self, key: &str) -> Option<&'a str> {
        let value = self.values.get(key).copied();
        if value.is_none() {
            self.push_problem(key, ConfigProblemKind::MissingKey);
        }
        value
    }

    pub(crate) fn number(
        &mut self,
        key: &str,
        range: std::ops::RangeInclusive<u64>,
        default: Option<u64>,
    ) -> u64 {
        let found = match (self.values.get(key).copied(), default) {
            (Some(found), _) => found,
            (None, Some(default)) => return default,
            (None, None) => {
                self.push_problem(key, ConfigProblemKind::MissingKey);
                return 0;
            }
        };
        match found.parse::<u64>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let allowed = format!("a whole number from {} to {}", range.start(), range.end());
                self.bad_value(key, found, &allowed);
                0
            }
        }
    }

    pub(crate) fn optional_number(
        &mut self,
        key: &str,
        range: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        self.values
            .contains_key(key)
            .then(|| self.number(key, range, None))
    }

    /// Reads a decimal rate per second, in thousandths; 0 if it is absent.
    pub(crate) fn rate_milli(&mut self, key: &str) -> u64 {
        let Some(found) = self.values.get(key).copied() else {
            return 0;
        };
        match found.parse::<f64>() {
            Ok(rate) if (0.0..=MAX_RATE_PER_S).contains(&rate) => (rate * 1_000.0).ceil() as u64,
            _ => {
                let allowed = format!("a number from 0 to {MAX_RATE_PER_S}");
                self.bad_value(key, found, &allowed);
                0
            }
        }
    }

    /// Reads a list of SHA-256 digests in hexadecimal digits.
    pub(crate) fn keys(&mut self) -> BTreeSet<KeyDigest> {
        let list = self.values.get("keys").copied().unwrap_or_default();
        let items = list.split(',').map(str::trim).filter(|i| !i.is_empty());
        let mut keys = BTreeSet::new();
        for item in items {
            match KeyDigest::from_hex(item) {
                Some(key) => drop(keys.insert(key)),
                None => {
                    self.bad_value(
                        "keys",
                        "..",
                        "SHA-256 digests of keys, 64 hexadecimal digits",
                    );
                    return keys;
                }
            }
        }
        keys
    }

    pub(crate) fn boolean(&mut self, key: &str, default: bool) -> bool {
        match self.values.get(key).copied() {
            None => default,
            Some("true") => true,
            Some("false") => false,
            Some(found) => {
                self.bad_value(key, found, "true or false");
                default
            }
        }
    }

    pub(crate) fn methods(&mut self) -> BTreeSet<String> {
        const KNOWN_METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
        let Some(list) = self.required("methods") else {
            return BTreeSet::new();
        };
        let methods: BTreeSet<String> = list.split(',').map(|m| m.trim().to_owned()).collect();
        if !methods.iter().all(|m| KNOWN_METHODS.contains(&m.as_str())) {
            self.bad_value(
                "methods",
                list,
                "a list of GET, HEAD, POST, PUT, PATCH, DELETE",
            );
        }
        methods
    }

    pub(crate) fn prefix(&mut self) -> String {
        let Some(prefix) = self.required("prefix") else {
            return String::new();
        };
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "/-_.~".contains(c);
        let is_normal = prefix.starts_with('/')
            && !prefix.contains("//")
            && !prefix
                .split('/')
                .any(|segment| segment == "." || segment == "..")
            && prefix.chars().all(is_allowed);
        if !is_normal {
            self.bad_value(
                "prefix",
                prefix,
                "a path such as /plans, without empty segments",
            );
        }
        let trimmed = prefix.trim_end_matches('/');
        if trimmed.is_empty() { "/" } else { trimmed }.to_owned()
    }

    pub(crate) fn service(&mut self, team: &str) -> ServiceName {
        let Some(service) = self.required("service") else {
            return String::new();
        };
        self.qualified("service", service, team)
    }

    pub(crate) fn qualified(&mut self, key: &str, service: &str, team: &str) -> ServiceName {
        let (owner, name) = service.split_once('/').unwrap_or((team, service));
        if !is_valid_name(owner) || !is_valid_name(name) {
            self.bad_value(key, service, "NAME or TEAM/NAME");
        }
        format!("{owner}/{name}")
    }

    pub(crate) fn health_path(&mut self) -> String {
        let path = self.values.get("health_path").copied().unwrap_or("");
        if !path.is_empty() && !path.starts_with('/') {
            self.bad_value("health_path", path, "a path such as /health");
        }
        path.to_owned()
    }

    pub(crate) fn host(&mut self) -> String {
        let Some(host) = self.required("host") else {
            return String::new();
        };
        let is_allowed = |c: char| c.is_ascii_graphic() && !"/:?#@".contains(c);
        let is_valid =
            !host.is_empty() && host.len() <= MAX_HOST_ROUTE_BYTES && host.chars().all(is_allowed);
        if !is_valid {
            self.bad_value("host", host, "a host name, without a port");
        }
        host.to_ascii_lowercase()
    }

    /// Reads the prefix of a host route, which is compared with the raw path as a plain string.
    pub(crate) fn literal_prefix(&mut self) -> String {
        let Some(prefix) = self.required("prefix") else {
            return String::new();
        };
        let is_allowed = |c: char| c.is_ascii_graphic() && !"?#".contains(c);
        let is_valid = prefix.starts_with('/')
            && prefix.len() <= MAX_HOST_ROUTE_BYTES
            && prefix.chars().all(is_allowed);
        if !is_valid {
            self.bad_value("prefix", prefix, "a path prefix such as /plans/");
        }
        prefix.to_owned()
    }

    /// Reads `NAME:WEIGHT, NAME:WEIGHT`; a name alone has weight 1.
    pub(crate) fn weighted_services(&mut self, team: &str) -> Vec<WeightedService> {
        const ALLOWED: &str = "NAME:WEIGHT, NAME:WEIGHT, with a sum above 0";
        let Some(list) = self.required("split") else {
            return Vec::new();
        };
        let mut targets = Vec::new();
        for item in list.split(',').map(str::trim) {
            let (name, weight) = item.split_once(':').unwrap_or((item, "1"));
            let Ok(weight) = weight.trim().parse::<u32>() else {
                self.bad_value("split", list, ALLOWED);
                return targets;
            };
            targets.push(WeightedService {
                service: self.qualified("split", name.trim(), team),
                weight: u64::from(weight),
            });
        }
        if targets.iter().all(|target| target.weight == 0) {
            self.bad_value("split", list, ALLOWED);
        }
        targets
    }
}
