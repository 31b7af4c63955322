//! Options of TCP connections between daemons and to backend servers.

use async_std::net::TcpStream;
use rustix::net::sockopt;
use std::io;
use std::time::Duration;

/// Time without acknowledgement of what was sent, or of a probe, after which a connection counts as
/// dead: one that a partition cut would otherwise hang until long after the partition has healed.
const PEER_SILENCE: Duration = Duration::from_millis(1_200);
/// Idle time after which a connection is probed, and the time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as dead.
const PROBES: u32 = 2;

/// Sends small messages at once, and notices the silence of the other side.
pub(crate) fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let silence_ms = u32::try_from(PEER_SILENCE.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, silence_ms)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, PROBES)?;
    Ok(())
}
