//! Allocation of ports for processes that are started later.

use crate::json_file::{BenchError, BenchResult};
use error_stack::Report;
use rustix::net::{bind, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::OnceLock;

/// Range from which ports are allocated; below the ephemeral port range, so that no outgoing
/// connection takes an allocated port before its daemon starts.
const PORTS: std::ops::Range<u16> = 10_240..32_000;

/// Allocates a free port on loopback that this process has not allocated before.
pub fn free_port() -> BenchResult<SocketAddr> {
    let ip = IpAddr::from(Ipv4Addr::LOCALHOST);
    let port = free_ports(&[ip], 1)?;
    Ok(SocketAddr::new(ip, port))
}

/// Allocates `count` consecutive ports that are free on all of the addresses and that this process
/// has not allocated before; returns the first one.
pub fn free_ports(ips: &[IpAddr], count: u16) -> BenchResult<u16> {
    static NEXT: OnceLock<AtomicU16> = OnceLock::new();
    let next = NEXT.get_or_init(|| AtomicU16::new(rand::random_range(PORTS)));
    for _ in PORTS.step_by(usize::from(count)) {
        let reserved = next.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |port| {
            let following = port + count;
            Some(if following + count > PORTS.end {
                PORTS.start
            } else {
                following
            })
        });
        let first = reserved.unwrap_or(PORTS.start).min(PORTS.end - count);
        let mut candidates =
            (first..first + count).flat_map(|port| ips.iter().map(move |ip| (*ip, port)));
        if candidates.all(|(ip, port)| is_free(SocketAddr::new(ip, port))) {
            return Ok(first);
        }
    }
    Err(Report::new(BenchError::Network).attach("no free ports on the requested addresses"))
}

/// Whether no process listens on an address. The probe binds a socket but does not listen on it: a
/// process that another thread starts inherits the socket for a moment, and a listening copy would
/// prevent the owner from using the port.
fn is_free(addr: SocketAddr) -> bool {
    let probe = || {
        let family = match addr {
            SocketAddr::V4(_) => AddressFamily::INET,
            SocketAddr::V6(_) => AddressFamily::INET6,
        };
        let socket = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
        sockopt::set_socket_reuseaddr(&socket, true)?;
        bind(&socket, &addr)
    };
    probe().is_ok()
}
