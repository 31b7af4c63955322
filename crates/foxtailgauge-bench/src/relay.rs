//! TCP relays between daemons with fault injection: links can be cut in one or both directions,
//! delayed or limited in their rate, and open connections can be reset or black-holed.
//!
//! Data that reaches a cut link is held back and delivered once the link is restored.

use crate::json_file::{read_json, write_text, BenchError, BenchResult};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use clap::Args;
use error_stack::ResultExt;
use foxtailgauge_wire::handshake::{read_hello, Hello};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Interval at which the file of cuts is read and a cut link is checked for its restoration.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which an idle connection checks for a connection fault.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Size of a connection's copy buffer.
const BUFFER_BYTES: usize = 64 << 10;

/// Bytes that a connection passes over a limited link at a time; the connections take turns.
const LIMITED_PIECE_BYTES: usize = 4 << 10;

/// Time that a limited link catches up after a late timer; without it, the late timers of a busy
/// machine lower the rate.
const RATE_CATCH_UP: Duration = Duration::from_millis(20);

/// Arguments of `relay`.
#[derive(Debug, Args)]
pub struct RelayArguments {
    /// JSON file with the links.
    #[arg(long)]
    pub plan: PathBuf,
    /// File with the failure domains to cut, one per line. The cuts in force are written to a file
    /// of the same name with the suffix `.applied`.
    #[arg(long)]
    pub cuts: PathBuf,
}

/// Links of a fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayPlan {
    /// One link for each relayed port.
    pub links: Vec<Link>,
}

/// A relay in front of one port of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Link {
    /// Address the link listens on.
    pub listen: SocketAddr,
    /// Address connections are forwarded to.
    pub target: SocketAddr,
    /// Failure domain of the daemon.
    pub failure_domain: String,
    /// Name of the daemon.
    pub name: String,
}

/// Fault on all links of a daemon or of a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// No data passes in either direction.
    Cut,
    /// No data leaves the daemon or failure domain.
    CutOutbound,
    /// No data reaches the daemon or failure domain.
    CutInbound,
    /// Data is delayed by this time in both directions.
    Delayed(Duration),
    /// All connections together pass this many bytes a second out of the daemon or failure domain.
    OutboundRate {
        /// Above 0.
        bytes_per_s: u32,
    },
}

/// Fault on the connections that are open; new connections work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFault {
    /// Both sides see the connection close.
    Reset,
    /// The connection stays open, but no more data arrives on either side.
    BlackHole,
}

/// Injected faults, by the name of a daemon or of a failure domain.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<FaultTable>>);

#[derive(Debug, Default)]
struct FaultTable {
    links: BTreeMap<String, LinkFault>,
    /// Append-only; a connection is subject to the faults added after it was accepted.
    connection_faults: Vec<(String, ConnectionFault)>,
    /// When the limited link of a subject has passed all bytes so far.
    busy_until: BTreeMap<String, Instant>,
}

/// Daemon at one end of a connection.
#[derive(Clone, Debug)]
struct Endpoint {
    failure_domain: String,
    name: String,
}

impl Faults {
    fn table(&self) -> MutexGuard<'_, FaultTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the link fault of a daemon or failure domain, or clears it with `None`.
    pub fn set(&self, subject: &str, fault: Option<LinkFault>) {
        let links = &mut self.table().links;
        match fault {
            Some(fault) => links.insert(subject.to_owned(), fault),
            None => links.remove(subject),
        };
    }

    /// Applies a fault to all open connections of a daemon or a failure domain.
    pub fn end_connections(&self, subject: &str, fault: ConnectionFault) {
        self.table()
            .connection_faults
            .push((subject.to_owned(), fault));
    }

    fn replace_cuts(&self, subjects: impl Iterator<Item = String>) {
        self.table().links = subjects.map(|name| (name, LinkFault::Cut)).collect();
    }

    /// Combined effect of the link faults between two endpoints: a cut, or the sum of the delays.
    fn impairment(&self, from: &Endpoint, to: &Endpoint) -> Option<Impairment> {
        let table = self.table();
        let mut delay = Duration::ZERO;
        for (subject, fault) in &table.links {
            let leaves = from.matches_subject(subject) && !to.matches_subject(subject);
            let enters = to.matches_subject(subject) && !from.matches_subject(subject);
            match fault {
                LinkFault::Cut if leaves || enters => return Some(Impairment::Cut),
                LinkFault::CutOutbound if leaves => return Some(Impairment::Cut),
                LinkFault::CutInbound if enters => return Some(Impairment::Cut),
                LinkFault::Delayed(time) if leaves || enters => delay += *time,
                _ => {}
            }
        }
        (!delay.is_zero()).then_some(Impairment::Delay(delay))
    }

    fn is_limited(&self, (from, to): &(Endpoint, Endpoint)) -> bool {
        let limits = |(subject, fault): (&String, &LinkFault)| {
            let leaves = from.matches_subject(subject) && !to.matches_subject(subject);
            leaves && matches!(fault, LinkFault::OutboundRate { .. })
        };
        self.table().links.iter().any(limits)
    }

    /// Reserves the limited links between two endpoints for some bytes; returns the time until the
    /// last of these links has passed them.
    fn transmission_time(&self, bytes: usize, (from, to): &(Endpoint, Endpoint)) -> Duration {
        let now = Instant::now();
        let mut table = self.table();
        let FaultTable {
            links, busy_until, ..
        } = &mut *table;
        let mut longest = Duration::ZERO;
        for (subject, fault) in links {
            let leaves = from.matches_subject(subject) && !to.matches_subject(subject);
            let LinkFault::OutboundRate { bytes_per_s } = fault else {
                continue;
            };
            if leaves {
                let time = Duration::from_secs_f64(bytes as f64 / f64::from(*bytes_per_s));
                let until = busy_until.entry(subject.clone()).or_insert(now);
                *until = (*until).max(now - RATE_CATCH_UP) + time;
                longest = longest.max(until.saturating_duration_since(now));
            }
        }
        longest
    }

    fn connection_faults(&self) -> usize {
        self.table().connection_faults.len()
    }

    /// The first fault that applies to a connection accepted after `faults_before` faults.
    fn connection_fault(
        &self,
        faults_before: usize,
        path: &(Endpoint, Endpoint),
    ) -> Option<ConnectionFault> {
        let table = self.table();
        let later_faults = table
            .connection_faults
            .get(faults_before..)
            .unwrap_or_default();
        let crosses_boundary =
            |subject: &str| path.0.matches_subject(subject) != path.1.matches_subject(subject);
        let first_fault = later_faults
            .iter()
            .find(|(subject, _)| crosses_boundary(subject));
        first_fault.map(|(_, fault)| *fault)
    }
}

enum Impairment {
    Cut,
    Delay(Duration),
}

impl Endpoint {
    fn matches_subject(&self, subject: &str) -> bool {
        self.failure_domain == subject || self.name == subject
    }
}

impl From<Hello> for Endpoint {
    fn from(hello: Hello) -> Self {
        Endpoint {
            failure_domain: hello.failure_domain,
            name: hello.name,
        }
    }
}

/// Listens on all links.
pub async fn listen(plan: RelayPlan, faults: &Faults) -> BenchResult<()> {
    for link in plan.links {
        let listener = TcpListener::bind(link.listen)
            .await
            .change_context(BenchError::Network)?;
        task::spawn(accept(link, listener, faults.clone()));
    }
    Ok(())
}

/// Runs the links until the process is terminated.
pub async fn run(arguments: &RelayArguments) -> BenchResult<()> {
    let faults = Faults::default();
    listen(read_json(&arguments.plan)?, &faults).await?;
    let mut last_text = None;
    loop {
        let text = std::fs::read_to_string(&arguments.cuts).unwrap_or_default();
        if last_text.as_ref() != Some(&text) {
            let names = text.lines().map(str::trim).filter(|name| !name.is_empty());
            faults.replace_cuts(names.map(str::to_owned));
            write_text(&applied_path(&arguments.cuts), &text)?;
            last_text = Some(text);
        }
        task::sleep(CUT_POLL_INTERVAL).await;
    }
}

fn applied_path(cuts: &Path) -> PathBuf {
    let mut name = cuts.as_os_str().to_owned();
    name.push(".applied");
    PathBuf::from(name)
}

async fn accept(link: Link, listener: TcpListener, faults: Faults) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            task::spawn(forward_connection(link.clone(), stream, faults.clone()));
        }
    }
}

async fn forward_connection(link: Link, mut from: TcpStream, faults: Faults) -> Option<()> {
    from.set_nodelay(true).ok()?;
    let faults_before = faults.connection_faults();
    let (hello, frame) = read_hello(&mut from).await.ok()?;
    let target = Endpoint {
        failure_domain: link.failure_domain,
        name: link.name,
    };
    let request_path = (Endpoint::from(hello), target);
    let response_path = (request_path.1.clone(), request_path.0.clone());
    wait_for_link(&faults, &request_path).await;
    let mut to = TcpStream::connect(link.target).await.ok()?;
    to.set_nodelay(true).ok()?;
    to.write_all(&frame).await.ok()?;
    let responses = copy_bytes(
        to.clone(),
        from.clone(),
        faults.clone(),
        response_path,
        faults_before,
    );
    let responses = task::spawn(responses);
    copy_bytes(from, to, faults, request_path, faults_before).await;
    responses.await;
    Some(())
}

/// Waits until the link between the endpoints is not cut, or for its delay.
async fn wait_for_link(faults: &Faults, (from, to): &(Endpoint, Endpoint)) {
    loop {
        match faults.impairment(from, to) {
            None => return,
            Some(Impairment::Cut) => task::sleep(CUT_POLL_INTERVAL).await,
            Some(Impairment::Delay(time)) => return task::sleep(time).await,
        }
    }
}

async fn copy_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    faults: Faults,
    path: (Endpoint, Endpoint),
    faults_before: usize,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = async_std::future::timeout(FAULT_POLL_INTERVAL, from.read(&mut buffer)).await;
        match faults.connection_fault(faults_before, &path) {
            None => {}
            Some(ConnectionFault::Reset) => break,
            // Leaks the sockets, because closing them would notify the peers.
            Some(ConnectionFault::BlackHole) => return std::mem::forget((from, to)),
        }
        let count = match read {
            Err(_) => continue,
            Ok(Ok(count)) if count > 0 => count,
            Ok(_) => break,
        };
        wait_for_link(&faults, &path).await;
        let piece_bytes = match faults.is_limited(&path) {
            true => LIMITED_PIECE_BYTES,
            false => count,
        };
        let mut is_written = true;
        for piece in buffer[..count].chunks(piece_bytes) {
            let time = faults.transmission_time(piece.len(), &path);
            if !time.is_zero() {
                task::sleep(time).await;
            }
            is_written = is_written && to.write_all(piece).await.is_ok();
        }
        if !is_written {
            break;
        }
    }
    // A close must not pass a cut link either.
    wait_for_link(&faults, &path).await;
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
