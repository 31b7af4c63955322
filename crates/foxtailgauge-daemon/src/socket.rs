//! Accepting TCP connections, socket options of connections between daemons and to backend
//! servers, and the state of a connection.

use crate::emit;
use crate::events;
use crate::shared::Shared;
use async_std::net::{TcpListener, TcpStream};
use futures::future::{select, Either};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::sockopt;
use slog::Logger;
use std::io;
use std::pin::pin;
use std::time::Duration;

/// Time without acknowledgement of sent data or of a probe (`TCP_USER_TIMEOUT`) after which a
/// connection is closed. Otherwise a connection interrupted by a network partition would hang until
/// long after the partition has healed.
const USER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Delay after a failed accept, for example for lack of file descriptors, so that other connections
/// can close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts the next connection of a listener, retrying on errors.
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

/// Accepts the next connection; `None` at the end of the drain of a stop.
pub(crate) async fn accept_until_drained(
    listener: &TcpListener,
    shared: &Shared,
) -> Option<TcpStream> {
    let accepting = pin!(accept(listener, &shared.log));
    match select(accepting, pin!(shared.stop.drained())).await {
        Either::Left((stream, _)) => Some(stream),
        Either::Right(_) => None,
    }
}

/// Disables Nagle's algorithm, so that small messages are sent at once, and enables the detection
/// of an unresponsive peer.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    set_options_for_slow_reader(stream)?;
    let user_timeout_ms = u32::try_from(USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, user_timeout_ms).map_err(io::Error::from)
}

/// The same for a peer that may read nothing for a while: `TCP_USER_TIMEOUT` would end a connection
/// whose peer has no room for more. A peer that goes silent is detected only while no sent data is
/// unacknowledged.
pub(crate) fn set_options_for_slow_reader(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    Ok(())
}

/// Whether the peer sends nothing more, seen without reading what it has sent.
pub(crate) fn has_input_end(stream: &TcpStream) -> bool {
    poll_now(stream).intersects(PollFlags::RDHUP)
}

/// Whether the peer has reset the connection, which one that has closed it does at the next write.
pub(crate) fn is_reset(stream: &TcpStream) -> bool {
    poll_now(stream).intersects(PollFlags::HUP | PollFlags::ERR)
}

fn poll_now(stream: &TcpStream) -> PollFlags {
    let mut fds = [PollFd::new(stream, PollFlags::RDHUP)];
    match poll(&mut fds, Some(&Timespec::default())) {
        Ok(_) => fds[0].revents(),
        Err(_) => PollFlags::empty(),
    }
}
