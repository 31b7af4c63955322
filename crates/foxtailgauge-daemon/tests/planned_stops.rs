//! Planned stops of a daemon.

mod mesh_support;

use mesh_support::{wait_for, Mesh};
use std::net::TcpStream;

/// Guards against the last lines of the log being lost at the exit.
#[test]
fn end_of_a_stop_is_logged() {
    const STOPS: usize = 10;
    let mut mesh = Mesh::start(0);
    for _ in 0..STOPS {
        wait_for("the start", || TcpStream::connect(mesh.admin_addr(0)).ok());
        mesh.terminate(0);
        mesh.wait_for_exit(0);
        mesh.start_daemon(0, false);
    }
    assert_eq!(mesh.grep(0, "\"event\":1003").len(), STOPS);
}
