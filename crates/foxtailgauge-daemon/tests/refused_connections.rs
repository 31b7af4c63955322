//! Connections to a backend server that refuses a part of its requests, or connections while it is full.

mod mesh_support;

use mesh_support::{document, exchange, report_process, status, wait_for, Mesh, Script, Server};
use rustix::net::sockopt::set_socket_linger;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

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
            std::thread::sleep(Duration::from_millis(100));
            open_connections(&server)
        };
        (0..20).map(count).max().unwrap_or(0)
    });
    println!("{most} connections open at once for {CALLERS} callers");
    assert!(most > 0 && most <= MAX_CONNECTIONS, "{most} connections");
}

/// Address in front of a server at which connections are reset while it is full.
fn start_front(server: &Server, is_full: &Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let addr = listener.local_addr().expect("invalid address").to_string();
    let (target, is_full) = (server.addr.clone(), Arc::clone(is_full));
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            if is_full.load(Ordering::SeqCst) {
                // The reset is sent as the stream is dropped.
                set_socket_linger(&near, Some(Duration::ZERO)).expect("cannot set the option");
                continue;
            }
            let far = TcpStream::connect(&target).expect("no connection to the server");
            let clone = |stream: &TcpStream| stream.try_clone().expect("cannot clone the stream");
            for (mut from, mut to) in [(clone(&near), clone(&far)), (far, near)] {
                std::thread::spawn(move || {
                    // Either end may have closed its connection.
                    let _ = std::io::copy(&mut from, &mut to);
                    let _ = to.shutdown(std::net::Shutdown::Both);
                });
            }
        }
    });
    addr
}

#[test]
fn reset_of_a_new_connection_does_not_take_the_server_out_of_service() {
    let mesh = Mesh::start(1);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let (server, is_full) = (Server::start(), Arc::default());
    let addr = start_front(&server, &is_full);
    // Connections idle for 300 ms are not used again; the broken one was used just before.
    let cases = [("new", Script::Echo, 300), ("broken", Script::Break, 0)];
    for (sequence, (case, script, idle_ms)) in (1..).zip(cases) {
        assert_eq!(mesh.report(1, "i-0", &addr, "ready", sequence), 200);
        wait_for("a response", || {
            (commit(&mesh, &format!("{case}-first")) == 200).then_some(())
        });
        std::thread::sleep(Duration::from_millis(idle_ms));
        server.set_script(script);
        is_full.store(true, Ordering::SeqCst);
        let while_full = commit(&mesh, &format!("{case}-full"));
        assert!(matches!(while_full, 502 | 503), "{case}: {while_full}");
        is_full.store(false, Ordering::SeqCst);
        server.set_script(Script::Echo);
        // A server that is regarded as unreachable would get no request before its next report.
        wait_for("a response without another report", || {
            (commit(&mesh, &format!("{case}-after")) == 200).then_some(())
        });
    }
    let crashes = mesh.grep(1, "\"event\":4004");
    assert!(crashes.is_empty(), "{crashes:?}");
}
