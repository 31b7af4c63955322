//! TCP connections: how they are accepted, and the options of those between daemons and to backend
//! servers.

use crate::emit;
use crate::events;
use async_std::net::{TcpListener, TcpStream};
use rustix::net::sockopt;
use slog::Logger;
use std::io;
use std::time::Duration;

/// Time without acknowledgement of what was sent, or of a probe, after which a connection counts as
/// dead: one that a partition cut would otherwise hang until long after the partition has healed.
const USER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Idle time after which a connection is probed, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

/// Wait after a failed accept, such as for lack of descriptors: time for others to be closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The next connection of a listener.
pub(crate) async fn accept(listener: &TcpListener, log: &Logger) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                emit!(log, events::ACCEPT_FAILED, "error" => error.to_string());
                async_std::task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Sends small messages at once, and notices the silence of the other side.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let user_timeout_ms = u32::try_from(USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, user_timeout_ms)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    Ok(())
}
