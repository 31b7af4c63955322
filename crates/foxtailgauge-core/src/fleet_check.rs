//! Validation across teams: references to services, conflicting routes, workspaces and paths of
//! other teams.

use crate::config::{prefix_matches, ConfigProblem, ConfigProblemKind, Route, TeamConfig};
use crate::ids::{RouteName, TeamName};
use crate::workspace::KeyDigest;
use std::collections::{BTreeMap, HashMap};

/// Configurations of all teams, by name: the changed one as it would be, the others as they are.
type Teams<'a> = Vec<(&'a str, &'a TeamConfig)>;

/// Validates the configurations of all teams together.
///
/// `changed` is the new configuration of `changed_team`; `current` holds those in force. Problems
/// refer to sections of the changed team's text.
///
/// # Errors
///
/// Returns all references to missing services, all host routes and workspaces of `changed_team` that
/// conflict with another one, and the first problem of each of its routes.
pub fn check_fleet(
    changed_team: &str,
    changed: &TeamConfig,
    current: &BTreeMap<TeamName, TeamConfig>,
) -> Result<(), Vec<ConfigProblem>> {
    let mut teams: Teams<'_> = current
        .iter()
        .map(|(team, config)| (team.as_str(), config))
        .filter(|(team, _)| *team != changed_team)
        .collect();
    teams.push((changed_team, changed));
    teams.sort_unstable_by_key(|(team, _)| *team);
    let mut problems = Vec::new();
    let is_defined = |service: &str| teams.iter().any(|(_, t)| t.services.contains_key(service));
    for (team, config) in &teams {
        for (name, route) in &config.routes {
            if is_defined(&route.service) {
                continue;
            }
            problems.push(missing_service(
                changed_team,
                team,
                ("routes", name),
                &route.service,
            ));
        }
        for (name, route) in &config.host_routes {
            for target in route.split.iter().filter(|t| !is_defined(&t.service)) {
                problems.push(missing_service(
                    changed_team,
                    team,
                    ("host-routes", name),
                    &target.service,
                ));
            }
        }
    }
    problems.extend(host_route_clashes(changed_team, changed, &teams));
    problems.extend(workspace_clashes(changed_team, changed, &teams));
    for (name, route) in &changed.routes {
        problems.extend(find_route_problem(changed_team, name, route, &teams));
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

/// Problems of the changed team's host routes that have the host and prefix of another host route.
fn host_route_clashes(
    changed_team: &str,
    changed: &TeamConfig,
    teams: &Teams<'_>,
) -> Vec<ConfigProblem> {
    let mut owners: HashMap<(&str, &str), &RouteName> = HashMap::new();
    let others = teams.iter().filter(|(team, _)| *team != changed_team);
    for (name, route) in others.flat_map(|(_, config)| &config.host_routes) {
        owners.insert((&route.host, &route.prefix), name);
    }
    let mut problems = Vec::new();
    for (name, route) in &changed.host_routes {
        if let Some(with) = owners.insert((&route.host, &route.prefix), name) {
            let kind = ConfigProblemKind::RouteClash { with: with.clone() };
            let section = section_of("host-routes", name);
            problems.push(ConfigProblem::new(&section, "prefix", kind));
        }
    }
    problems
}

/// Problems of the changed team's workspaces that have the name or a key of another team's workspace.
fn workspace_clashes(
    changed_team: &str,
    changed: &TeamConfig,
    teams: &Teams<'_>,
) -> Vec<ConfigProblem> {
    let mut name_owners: HashMap<&str, &str> = HashMap::new();
    let mut key_owners: HashMap<&KeyDigest, &str> = HashMap::new();
    for (team, config) in teams.iter().filter(|(team, _)| *team != changed_team) {
        for (name, workspace) in &config.workspaces {
            name_owners.insert(name, team);
            key_owners.extend(workspace.keys.iter().map(|key| (key, name.as_str())));
        }
    }
    let mut problems = Vec::new();
    for (name, workspace) in &changed.workspaces {
        let section = format!("workspaces/{name}");
        if let Some(team) = name_owners.get(name.as_str()) {
            let team = (*team).to_owned();
            let kind = ConfigProblemKind::ForeignWorkspace { team };
            problems.push(ConfigProblem::new(&section, "", kind));
        }
        if let Some(with) = workspace.keys.iter().find_map(|key| key_owners.get(key)) {
            let with = (*with).to_owned();
            let kind = ConfigProblemKind::SharedKey { with };
            problems.push(ConfigProblem::new(&section, "keys", kind));
        }
    }
    problems
}

/// Problem of a reference to a missing service, as seen by the changed team: its own route refers
/// to an unknown service, or its text lacks a service that another team uses.
fn missing_service(
    changed_team: &str,
    team: &str,
    (section_kind, route): (&str, &str),
    service: &str,
) -> ConfigProblem {
    if team == changed_team {
        let kind = ConfigProblemKind::UnknownService {
            service: service.to_owned(),
        };
        return ConfigProblem::new(&section_of(section_kind, route), "service", kind);
    }
    let kind = ConfigProblemKind::ServiceInUse {
        by: route.to_owned(),
    };
    ConfigProblem::new(&section_of("services", service), "", kind)
}

fn section_of(kind: &str, qualified: &str) -> String {
    let name = qualified
        .split_once('/')
        .map_or(qualified, |(_, name)| name);
    format!("{kind}/{name}")
}

/// First conflict of a route with another route: a prefix that overlaps one of another team, or the
/// same prefix with a common method.
fn find_route_problem(
    changed_team: &str,
    name: &str,
    route: &Route,
    teams: &Teams<'_>,
) -> Option<ConfigProblem> {
    let section = section_of("routes", name);
    for (team, config) in teams {
        for (other_name, other) in &config.routes {
            if *team != changed_team && is_nested(&route.prefix, &other.prefix) {
                let kind = ConfigProblemKind::ForeignPath {
                    team: (*team).to_owned(),
                };
                return Some(ConfigProblem::new(&section, "prefix", kind));
            }
            let has_common_calls = other_name != name
                && other.prefix == route.prefix
                && !other.methods.is_disjoint(&route.methods);
            if has_common_calls {
                let kind = ConfigProblemKind::RouteClash {
                    with: other_name.clone(),
                };
                return Some(ConfigProblem::new(&section, "prefix", kind));
            }
        }
    }
    None
}

/// Whether one of two path prefixes contains the other.
fn is_nested(a: &str, b: &str) -> bool {
    prefix_matches(a, b) || prefix_matches(b, a)
}
