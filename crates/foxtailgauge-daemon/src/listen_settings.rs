//! Addresses that a daemon listens on and advertises (sections `listen` and `advertise`).

use crate::settings::Reader;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Addresses a daemon listens on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// HTTP of callers.
    pub callers: SocketAddr,
    /// HTTP API of operators, and metrics.
    pub admin: SocketAddr,
    /// Announcements of backend servers.
    pub announce: SocketAddr,
    /// Consensus and configuration messages between daemons.
    pub control: SocketAddr,
    /// Calls forwarded between daemons.
    pub calls: SocketAddr,
}

impl Reader<'_> {
    /// Addresses with consecutive ports from the start of the range, in a fixed order. `admin` and
    /// `announce` listen on loopback.
    fn listen_in_range(&mut self, ip: &str) -> Option<Listen> {
        const ALLOWED: &str = "FIRST,LAST with at least 5 ports";
        let text = self.required_value("listen", "ports", ALLOWED)?;
        let ip: Option<std::net::IpAddr> = ip.parse().ok();
        if ip.is_none() {
            self.add_problem("listen", "address", "not an IP address", "an IP address");
        }
        let ports = text.split_once(',');
        let ports = ports.map(|(first, last)| (first.trim(), last.trim()));
        let ports = ports.and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
        let first = ports.and_then(|(first, last): (u16, u16)| {
            let last_offset = last.checked_sub(first)?;
            (last_offset >= 4).then_some(first)
        });
        let Some(first) = first else {
            self.add_problem("listen", "ports", format!("`{text}`"), ALLOWED);
            return None;
        };
        let address_at = |ip, offset| SocketAddr::new(ip, first + offset);
        let ip = ip?;
        let loopback = match ip.is_loopback() {
            true => ip,
            false => std::net::Ipv4Addr::LOCALHOST.into(),
        };
        Some(Listen {
            control: address_at(ip, 0),
            calls: address_at(ip, 1),
            callers: address_at(ip, 2),
            admin: address_at(loopback, 3),
            announce: address_at(loopback, 4),
        })
    }

    pub(crate) fn listen(&mut self) -> Option<Listen> {
        if let Some(ip) = self.non_empty_value("listen", "address") {
            return self.listen_in_range(&ip);
        }
        let callers = self.address("callers");
        let admin = self.address("admin");
        let announce = self.address("announce");
        let control = self.address("control");
        let calls = self.address("calls");
        let listen = Listen {
            callers: callers?,
            admin: admin?,
            announce: announce?,
            control: control?,
            calls: calls?,
        };
        self.check_duplicate_addresses(&listen);
        Some(listen)
    }

    fn address(&mut self, key: &str) -> Option<SocketAddr> {
        const ALLOWED: &str = "IP:PORT";
        let text = self.required_value("listen", key, ALLOWED)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.add_problem("listen", key, format!("`{text}`"), ALLOWED);
        }
        address
    }

    fn check_duplicate_addresses(&mut self, listen: &Listen) {
        let addresses = [
            ("callers", listen.callers),
            ("admin", listen.admin),
            ("announce", listen.announce),
            ("control", listen.control),
            ("calls", listen.calls),
        ];
        let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for (key, address) in addresses {
            if let Some(other) = seen.insert(address, key) {
                let found = format!("{address}, the same as `{other}`");
                self.add_problem("listen", key, found, "a unique address");
            }
        }
    }

    pub(crate) fn advertised_address(&mut self, key: &str, listen: SocketAddr) -> String {
        let Some(text) = self.value("advertise", key) else {
            return listen.to_string();
        };
        if text.parse::<SocketAddr>().is_err() {
            self.add_problem("advertise", key, format!("`{text}`"), "IP:PORT");
        }
        text
    }
}
