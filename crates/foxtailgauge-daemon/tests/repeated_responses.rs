//! Backend servers on the product's own routes that write a response once more on its connection.

mod mesh_support;

use mesh_support::{body, exchange, status, wait_for, Mesh, Script, Server};
use std::time::Duration;

/// Sends a request with a body to a port of a daemon's range.
fn send(admin_addr: &str, port_offset: i32, start: &str, body: &str) -> String {
    let (ip, admin) = admin_addr.rsplit_once(':').expect("no port");
    let port = admin.parse::<i32>().expect("no port") + port_offset;
    let text = format!(
        "{start} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(&format!("{ip}:{port}"), &text).unwrap_or_default()
}

#[test]
fn response_that_is_written_again_is_not_the_response_to_the_next_lookup() {
    const CALLERS: i32 = -1;
    const ANNOUNCE: i32 = 1;
    let mesh = Mesh::start(1);
    let text = "[services/viewer]\n[routes/plans]\nprefix = /plans\nmethods = GET\n\
                service = viewer\ndeadline_ms = 2000\n";
    let change =
        serde_json::json!({"change_id": "c1", "base_revision": 0, "text": text, "author": "a"});
    wait_for("an accepted change", || {
        let start = "PUT /v1/teams/desk/config";
        let response = send(&mesh.admin_addr(0), 0, start, &change.to_string());
        (status(&response) == 200).then_some(())
    });
    let server = Server::start();
    let announcement = serde_json::json!({"service": "desk/viewer", "addr": server.addr,
        "slots": 4, "state": "ready", "lease_ms": 60_000});
    let start = "PUT /v1/servers/i-0";
    let announced = send(
        &mesh.admin_addr(1),
        ANNOUNCE,
        start,
        &announcement.to_string(),
    );
    assert_eq!(status(&announced), 200, "{announced}");
    let view = |name: &str| {
        send(
            &mesh.admin_addr(1),
            CALLERS,
            &format!("GET /plans/{name}"),
            "",
        )
    };
    wait_for("a response", || {
        (status(&view("first")) == 200).then_some(())
    });
    server.set_script(Script::Twice);
    assert!(body(&view("one")).contains("/plans/one"));
    // The response is written again after 30 ms.
    std::thread::sleep(Duration::from_millis(100));
    let next = view("two");
    assert!(
        !body(&next).contains("/plans/one"),
        "response to another request: {next}"
    );
}
