//! Backend servers whose responses have a status that HTTP does not define.

mod mesh_support;

use mesh_support::{document, exchange, header, status, wait_for, Mesh, Script, Server};
use serde_json::json;

/// Statuses outside of 100 to 599, and texts that are no status.
const INVALID: [&str; 10] = [
    "000 X", "001 X", "099 X", "600 X", "999 X", "20 X", "2000 X", "-01 X", "0x1 X", "000",
];

fn request(method: &str, target: &str, id: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n"
    )
}

/// One replica and two sidecars, each with a backend server.
fn start() -> (Mesh, [Server; 2]) {
    let mesh = Mesh::start(2);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let servers = [Server::start(), Server::start()];
    for (n, server) in servers.iter().enumerate() {
        let name = format!("i-{n}");
        assert_eq!(mesh.report(n + 1, &name, &server.addr, "ready", 1), 200);
    }
    for n in [1, 2] {
        wait_for("a served request", || {
            let response = exchange(&mesh.outbound_addr(n), &request("GET", "/view/1", "a"));
            (status(&response.unwrap_or_default()) == 200).then_some(())
        });
    }
    servers.iter().for_each(Server::clear_received);
    (mesh, servers)
}

/// Guards against a status such as 000 or 999 that reaches a caller as the response of a backend
/// server: 600 and 999 did, with the seal.
#[test]
fn callers_on_host_routes_get_no_invalid_status() {
    let (mesh, servers) = start();
    for text in INVALID {
        servers[0].set_script(Script::Status(text));
        for gateway in [1, 2] {
            for turn in 0..6 {
                // A safe request goes to the other backend server, within the limits for retries.
                let id = format!("s{turn}");
                let response = exchange(
                    &mesh.outbound_addr(gateway),
                    &request("GET", "/view/1", &id),
                );
                let response = response.unwrap_or_default();
                let seen = status(&response);
                let is_sealed = header(&response, "server-seal").is_some();
                let is_valid = (seen == 200 && is_sealed) || (seen == 502 && !is_sealed);
                assert!(is_valid, "{text:?} at {gateway}: {response}");
                let id = format!("u{gateway}{turn}");
                let response = exchange(
                    &mesh.outbound_addr(gateway),
                    &request("POST", "/commit/1", &id),
                );
                let response = response.unwrap_or_default();
                let seen = status(&response);
                let is_sealed = header(&response, "server-seal").is_some();
                let is_valid = (seen == 200 && is_sealed) || (seen == 502 && !is_sealed);
                assert!(is_valid, "{text:?} at {gateway}: {response}");
            }
        }
        // Whether it ran is unknown: a request that is not safe went to one backend server.
        let received: Vec<String> = servers.iter().flat_map(Server::received_texts).collect();
        let ids: Vec<String> = received
            .iter()
            .filter(|text| text.starts_with("POST"))
            .filter_map(|text| header(text, "attempt-id"))
            .collect();
        let mut unique = ids.clone();
        unique.sort();
        unique.dedup();
        assert_eq!(unique.len(), ids.len(), "{text:?}: {ids:?}");
        servers[0].set_script(Script::Echo);
        servers.iter().for_each(Server::clear_received);
        wait_for("the backend server in use again", || {
            let _ = exchange(&mesh.outbound_addr(1), &request("GET", "/view/1", "b"));
            (servers[0].received_count() > 0).then_some(())
        });
        servers.iter().for_each(Server::clear_received);
    }
}

/// The same on the product's own routes, where such a response was also recorded for the key.
#[test]
fn callers_on_own_routes_get_no_invalid_status() {
    let mesh = Mesh::start(1);
    let server = Server::start();
    let text = "[services/desk]\n[routes/plans]\nprefix = /plans\nmethods = GET\n\
                service = desk\ndeadline_ms = 1000\nbillable = true\n\
                [routes/view]\nprefix = /view\nmethods = GET\nservice = desk\n\
                deadline_ms = 1000\nidempotent = true\n";
    let change = json!({"change_id": "c1", "base_revision": 0, "text": text, "author": "test"});
    mesh_support::put_json(&mesh.admin_addr(0), "/v1/teams/rybar/config", &change);
    let announcement = json!({"service": "rybar/desk", "addr": server.addr, "slots": 20,
        "state": "ready", "lease_ms": 60_000});
    mesh_support::put_json(&mesh.announce_addr(1), "/v1/servers/desk-1", &announcement);
    let send = |gateway: usize, target: &str, key: Option<&str>| {
        let key = key.map_or_else(String::new, |key| format!("Idempotency-Key: {key}\r\n"));
        let text = format!(
            "GET {target} HTTP/1.1\r\nHost: x\r\n{key}Foxtailgauge-Deadline-Ms: 900\r\n\
             Content-Length: 0\r\n\r\n"
        );
        exchange(&mesh.callers_addr(gateway), &text).unwrap_or_default()
    };
    for gateway in [0, 1] {
        wait_for("a served request", || {
            (status(&send(gateway, "/view/1", None)) == 200).then_some(())
        });
    }
    for (n, text) in INVALID.into_iter().enumerate() {
        for gateway in [0, 1] {
            server.set_script(Script::Status(text));
            let response = send(gateway, &format!("/view/{n}{gateway}"), None);
            assert!(
                [502, 503, 504].contains(&status(&response)),
                "{text:?} at {gateway}: {response}"
            );
            server.clear_received();
            // A request that repeatedly gets no response is refused after some time.
            let key = uuid::Uuid::now_v7().to_string();
            let target = format!("/plans/{key}");
            for _ in 0..2 {
                let response = send(gateway, &target, Some(&key));
                let outcome = header(&response, "foxtailgauge-outcome");
                assert!(
                    (500..=599).contains(&status(&response)),
                    "{text:?} at {gateway}: {response}"
                );
                assert_eq!(
                    outcome.as_deref(),
                    Some("unknown"),
                    "{text:?} at {gateway}: {response}"
                );
            }
            let received = server.received_texts();
            assert!(received.len() <= 1, "{text:?}: run twice: {received:#?}");
            server.set_script(Script::Echo);
            wait_for("a served request", || {
                (status(&send(gateway, "/view/1", None)) == 200).then_some(())
            });
        }
    }
}
