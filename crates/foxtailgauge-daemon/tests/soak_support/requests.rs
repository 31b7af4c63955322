//! Documents and requests of a run.

use super::record::RequestKind;
use super::rollouts::SERVICES;
use crate::mesh_support::document;
use std::time::Duration;

/// The common test document with one more route for each version in `routes`.
pub fn document_with_routes(routes: &[u64], version: u64) -> serde_json::Value {
    let mut document = document(version);
    let rules = document["listeners"][0]["rule_set"]
        .as_array_mut()
        .expect("rule_set is not an array");
    for (service, _) in SERVICES {
        let mut rule = rules[0].clone();
        rule["name"] = service.into();
        rule["match"]["path_prefix"] = format!("/{service}/").into();
        rule["action"]["service"] = service.into();
        rules.push(rule);
    }
    for route in routes {
        let mut rule = rules[0].clone();
        rule["name"] = format!("v{route}").into();
        rule["match"]["path_prefix"] = format!("/v{route}/").into();
        rules.push(rule);
    }
    let clusters = document["clusters"].as_array_mut();
    let clusters = clusters.expect("clusters is not an array");
    for (service, _) in SERVICES {
        let mut cluster = clusters[0].clone();
        cluster["name"] = service.into();
        clusters.push(cluster);
    }
    document
}

/// Method and target of a request.
pub fn method_and_target(id: &str, kind: RequestKind) -> (&'static str, String) {
    match kind {
        RequestKind::View => ("GET", format!("/view/{id}")),
        RequestKind::Commit => ("POST", format!("/commit/{id}")),
        RequestKind::Unrouted => ("GET", format!("/nowhere/{id}")),
        RequestKind::Version(version) => ("GET", format!("/v{version}/{id}")),
    }
}

/// A request as sent.
pub fn request_text(id: &str, kind: RequestKind, deadline: Duration) -> String {
    let (method, target) = method_and_target(id, kind);
    format!(
        "{method} {target} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
        deadline.as_millis()
    )
}
