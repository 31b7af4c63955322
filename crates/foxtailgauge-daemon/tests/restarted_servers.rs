//! Backend servers that start again under the name that they had.

mod mesh_support;

use mesh_support::{document, exchange, report_process, status, wait_for, Mesh, Script, Server};
use std::time::Duration;

fn view(mesh: &Mesh, id: &str) -> u16 {
    let text = format!(
        "GET /view/{id} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n"
    );
    status(&exchange(&mesh.outbound_addr(1), &text).unwrap_or_default())
}

/// One sidecar whose backend server serves.
fn start() -> (Mesh, Server) {
    let mesh = Mesh::start(1);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let server = Server::start();
    assert_eq!(report(&mesh, &server, 1), 200);
    wait_for("a response", || (view(&mesh, "first") == 200).then_some(()));
    (mesh, server)
}

/// First report of a process.
fn report(mesh: &Mesh, server: &Server, born: u64) -> u16 {
    let platform = mesh.platform_addr(1);
    report_process(&platform, "i-0", &server.addr, "ready", (born, 1), 4)
}

#[test]
fn late_response_of_an_earlier_process_does_not_stop_its_successor() {
    let (mesh, earlier) = start();
    earlier.set_script(Script::Slow(600));
    earlier.set_extra_headers("Server-Leaving: 1\r\n");
    let later = Server::start();
    std::thread::scope(|scope| {
        scope.spawn(|| view(&mesh, "late"));
        wait_for("the request", || {
            let received = earlier.received.lock().expect("received requests");
            let is_late = |text: &str| text.contains("/view/late");
            received
                .iter()
                .any(|arrival| is_late(&arrival.text))
                .then_some(())
        });
        assert_eq!(report(&mesh, &later, 2), 200);
        assert_eq!(view(&mesh, "before"), 200);
    });
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(view(&mesh, "after"), 200);
}

#[test]
fn late_deregistration_of_an_earlier_process_does_not_stop_its_successor() {
    let (mesh, server) = start();
    assert_eq!(report(&mesh, &server, 2), 200);
    let body = "{\"born\":1}";
    let request = format!(
        "DELETE /foxtailgauge/instances/i-0 HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let response = exchange(&mesh.platform_addr(1), &request).unwrap_or_default();
    assert_eq!(status(&response), 200);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(view(&mesh, "after"), 200);
}
