//! Checks of all teams together: references, clashes of routes and foreign paths.

use crate::config::{prefix_matches, ConfigProblem, ConfigProblemKind, Route, TeamConfig};
use crate::ids::{RouteName, TeamName};
use std::collections::{BTreeMap, HashMap};

/// Checks all teams together: references, clashes of routes and foreign paths.
///
/// `changed` is the team whose text is under check; problems are told from its side.
pub fn check_fleet(
    changed: &str,
    teams: &BTreeMap<TeamName, TeamConfig>,
) -> Result<(), Vec<ConfigProblem>> {
    let mut problems = Vec::new();
    let is_defined = |service: &str| teams.values().any(|t| t.services.contains_key(service));
    for (team, config) in teams {
        for (name, route) in &config.routes {
            if is_defined(&route.service) {
                continue;
            }
            problems.push(missing_service(
                changed,
                team,
                ("routes", name),
                &route.service,
            ));
        }
        for (name, route) in &config.host_routes {
            for part in route.split.iter().filter(|p| !is_defined(&p.service)) {
                problems.push(missing_service(
                    changed,
                    team,
                    ("host-routes", name),
                    &part.service,
                ));
            }
        }
    }
    problems.extend(host_route_clashes(changed, teams));
    let own = teams.get(changed).cloned().unwrap_or_default();
    for (name, route) in &own.routes {
        problems.extend(route_problems(changed, name, route, teams));
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

/// Host routes of the changed team that share host and prefix with another one.
fn host_route_clashes(changed: &str, teams: &BTreeMap<TeamName, TeamConfig>) -> Vec<ConfigProblem> {
    let mut owners: HashMap<(&str, &str), &RouteName> = HashMap::new();
    let others = teams.iter().filter(|(team, _)| *team != changed);
    for (name, route) in others.flat_map(|(_, config)| &config.host_routes) {
        owners.insert((&route.host, &route.prefix), name);
    }
    let own = teams.get(changed).map(|config| &config.host_routes);
    let mut problems = Vec::new();
    for (name, route) in own.into_iter().flatten() {
        if let Some(with) = owners.insert((&route.host, &route.prefix), name) {
            let kind = ConfigProblemKind::RouteClash { with: with.clone() };
            let section = section_of("host-routes", name);
            problems.push(ConfigProblem::new(&section, "prefix", kind));
        }
    }
    problems
}

fn missing_service(
    changed: &str,
    team: &str,
    (section, route): (&str, &str),
    service: &str,
) -> ConfigProblem {
    if team == changed {
        let kind = ConfigProblemKind::UnknownService {
            service: service.to_owned(),
        };
        return ConfigProblem::new(&section_of(section, route), "service", kind);
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

fn route_problems(
    changed: &str,
    name: &str,
    route: &Route,
    teams: &BTreeMap<TeamName, TeamConfig>,
) -> Option<ConfigProblem> {
    let section = section_of("routes", name);
    for (team, config) in teams {
        for (other_name, other) in &config.routes {
            if team != changed && is_nested(&route.prefix, &other.prefix) {
                let kind = ConfigProblemKind::ForeignPath { team: team.clone() };
                return Some(ConfigProblem::new(&section, "prefix", kind));
            }
            let is_same = other_name != name
                && other.prefix == route.prefix
                && !other.methods.is_disjoint(&route.methods);
            if is_same {
                let kind = ConfigProblemKind::RouteClash {
                    with: other_name.clone(),
                };
                return Some(ConfigProblem::new(&section, "prefix", kind));
            }
        }
    }
    None
}

fn is_nested(a: &str, b: &str) -> bool {
    prefix_matches(a, b) || prefix_matches(b, a)
}
