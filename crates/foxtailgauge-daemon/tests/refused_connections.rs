//! Connections to a backend server that refuses a part of its requests.

mod mesh_support;

use mesh_support::{document, exchange, report_process, status, wait_for, Mesh, Script, Server};

/// Callers with one request at a time each, and refused requests of each.
const CALLERS: usize = 6;
const REFUSALS: usize = 50;
/// One connection for each caller, and those that are being closed.
const MAX_CONNECTIONS: usize = 2 * CALLERS;

fn commit(mesh: &Mesh, name: &str) -> u16 {
    let text = format!(
        "POST /commit/{name} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {name}\r\n\
         Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n"
    );
    status(&exchange(&mesh.outbound_addr(1), &text).unwrap_or_default())
}

/// Number of connections to the server that are open at its end.
fn open_connections(server: &Server) -> usize {
    let (_, port) = server.addr.rsplit_once(':').expect("no port");
    let port = format!(":{:04X}", port.parse::<u16>().expect("no port"));
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("cannot read the sockets");
    let is_open = |line: &&str| {
        let fields: Vec<&str> = line.split_whitespace().take(4).collect();
        matches!(fields[..], [_, local, _, "01"] if local.ends_with(&port))
    };
    sockets.lines().filter(is_open).count()
}

#[test]
fn connections_behind_refusals_do_not_pile_up() {
    let mesh = Mesh::start(1);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let server = Server::start();
    let (platform, slots) = (mesh.platform_addr(1), 2 * CALLERS as u32);
    let reported = report_process(&platform, "i-0", &server.addr, "ready", (1, 1), slots);
    assert_eq!(reported, 200);
    wait_for("a response", || {
        (commit(&mesh, "first") == 200).then_some(())
    });
    server.set_script(Script::ByTarget);
    let most = std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let mesh = &mesh;
            scope.spawn(move || {
                for n in 0..REFUSALS {
                    assert_eq!(commit(mesh, &format!("decline-{caller}-{n}")), 503);
                    assert_eq!(commit(mesh, &format!("next-{caller}-{n}")), 200);
                }
            });
        }
        let count = |_| {
            std::thread::sleep(std::time::Duration::from_millis(100));
            open_connections(&server)
        };
        (0..20).map(count).max().unwrap_or(0)
    });
    println!("{most} connections open at once for {CALLERS} callers");
    assert!(most > 0 && most <= MAX_CONNECTIONS, "{most} connections");
}
