//! Ports for planned processes.

use crate::json_file::{BenchError, BenchResult};
use error_stack::Report;
use rustix::net::{bind, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::OnceLock;

/// Ports below the range that systems give to outgoing connections, so that none of those takes a
/// planned port before its daemon starts.
const PORTS: std::ops::Range<u16> = 10_240..32_000;

/// A free port that this process has not planned before.
pub fn free_port() -> BenchResult<SocketAddr> {
    let ip = IpAddr::from(Ipv4Addr::LOCALHOST);
    let port = free_ports(&[ip], 1)?;
    Ok(SocketAddr::new(ip, port))
}

/// The first of `count` ports in a row that are free on all of the addresses and that this process
/// has not planned before.
pub fn free_ports(ips: &[IpAddr], count: u16) -> BenchResult<u16> {
    static NEXT: OnceLock<AtomicU16> = OnceLock::new();
    let next = NEXT.get_or_init(|| AtomicU16::new(rand::random_range(PORTS)));
    for _ in PORTS.step_by(usize::from(count)) {
        let taken = next.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |port| {
            let after = port + count;
            Some(if after + count > PORTS.end {
                PORTS.start
            } else {
                after
            })
        });
        let first = taken.unwrap_or(PORTS.start).min(PORTS.end - count);
        let mut row = (first..first + count).flat_map(|port| ips.iter().map(move |ip| (*ip, port)));
        if row.all(|(ip, port)| is_free(SocketAddr::new(ip, port))) {
            return Ok(first);
        }
    }
    Err(Report::new(BenchError::Network).attach("no free ports"))
}

/// Whether nobody listens on an address. The probe itself never listens: a process that another
/// thread starts holds a copy of the socket for a moment, and a copy that listens would keep the
/// port from its owner.
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
