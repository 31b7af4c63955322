//! Allocation of ports for processes that are started later.

use crate::json_file::{BenchError, BenchResult};
use error_stack::Report;
use rustix::net::{bind, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Mutex, PoisonError};

/// Range from which ports are allocated; below the ephemeral port range, so that no outgoing
/// connection takes an allocated port before its daemon starts.
const PORTS: std::ops::Range<u16> = 10_240..32_000;
/// Ports that are reserved for a process at a time.
pub const BLOCK_PORTS: u16 = 64;

/// Allocates a free port on loopback that no running process has allocated.
pub fn free_port() -> BenchResult<SocketAddr> {
    let ip = IpAddr::from(Ipv4Addr::LOCALHOST);
    let port = free_ports(&[ip], 1)?;
    Ok(SocketAddr::new(ip, port))
}

/// Allocates `count` consecutive ports, at most [`BLOCK_PORTS`], that are free on all of the addresses
/// and that no running process has allocated; returns the first one.
pub fn free_ports(ips: &[IpAddr], count: u16) -> BenchResult<u16> {
    static BLOCK: Mutex<Option<Block>> = Mutex::new(None);
    let mut block = BLOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let no_ports = || Report::new(BenchError::Network).attach("no free ports");
    for _ in 0..PORTS.len() {
        let first = match block.as_mut().and_then(|block| block.take(count)) {
            Some(first) => first,
            None => {
                *block = Some(Block::reserve().ok_or_else(no_ports)?);
                continue;
            }
        };
        let mut candidates =
            (first..first + count).flat_map(|port| ips.iter().map(move |ip| (*ip, port)));
        if candidates.all(|(ip, port)| is_free(SocketAddr::new(ip, port))) {
            return Ok(first);
        }
    }
    Err(no_ports())
}

/// Ports that are reserved for this process.
struct Block {
    next: u16,
    end: u16,
}

impl Block {
    /// Reserves a block until this process exits, by binding the UDP counterpart of its first port,
    /// which no daemon uses. `None` if all are reserved.
    fn reserve() -> Option<Self> {
        static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());
        let blocks = (PORTS.end - PORTS.start) / BLOCK_PORTS;
        let start = rand::random_range(0..blocks);
        for index in (start..blocks).chain(0..start) {
            let first = PORTS.start + index * BLOCK_PORTS;
            if let Ok(socket) = UdpSocket::bind((Ipv4Addr::LOCALHOST, first)) {
                let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
                reserved.push(socket);
                return Some(Block {
                    next: first,
                    end: first + BLOCK_PORTS,
                });
            }
        }
        None
    }

    fn take(&mut self, count: u16) -> Option<u16> {
        let first = self.next;
        let is_enough = count <= self.end - first;
        is_enough.then(|| {
            self.next += count;
            first
        })
    }
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
