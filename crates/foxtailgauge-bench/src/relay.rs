//! Links between daemons, with faults: cut in one or both directions, delayed, reset, silenced.
//!
//! Bytes that meet a cut stand still until it is healed.

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
use std::time::Duration;

/// Interval at which the list of cuts is read, and at which a link looks whether it is healed.
const CUT_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which an idle connection looks whether it is to be reset.
const BREAK_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes moved at a time.
const CHUNK_BYTES: usize = 64 << 10;

/// Arguments of `relay`.
#[derive(Debug, Args)]
pub struct RelayArguments {
    /// Links.
    #[arg(long)]
    pub plan: PathBuf,
    /// File with one cut failure domain a line. A file with `.applied` behind its name tells which
    /// cuts are in force.
    #[arg(long)]
    pub cuts: PathBuf,
}

/// All links.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayPlan {
    /// All links.
    pub links: Vec<Link>,
}

/// A link to one port of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Link {
    /// Address of the link.
    pub listen: SocketAddr,
    /// Address it leads to.
    pub target: SocketAddr,
    /// Failure domain of the daemon.
    pub failure_domain: String,
    /// Name of the daemon.
    pub name: String,
}

/// What is wrong with the links of a daemon or of a whole failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing crosses.
    Cut,
    /// Nothing leaves.
    CutOutbound,
    /// Nothing enters.
    CutInbound,
    /// All that crosses takes this much longer.
    Delayed(Duration),
}

/// How open connections end, while new ones work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFault {
    /// Both sides see the end.
    Reset,
    /// Neither side hears anything more.
    BlackHole,
}

/// The faults in force, by the name of a daemon or of a failure domain.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<FaultTable>>);

#[derive(Debug, Default)]
struct FaultTable {
    links: BTreeMap<String, LinkFault>,
    /// Breaks so far; a connection takes part in those after its start.
    breaks: Vec<(String, ConnectionFault)>,
}

/// One end of a connection.
#[derive(Clone, Debug)]
struct End {
    failure_domain: String,
    name: String,
}

impl Faults {
    fn table(&self) -> MutexGuard<'_, FaultTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a fault in force, or heals with `None`.
    pub fn set(&self, subject: &str, fault: Option<LinkFault>) {
        let links = &mut self.table().links;
        match fault {
            Some(fault) => links.insert(subject.to_owned(), fault),
            None => links.remove(subject),
        };
    }

    /// Ends all open connections of a daemon or a failure domain.
    pub fn end_connections(&self, subject: &str, how: ConnectionFault) {
        self.table().breaks.push((subject.to_owned(), how));
    }

    fn cut_exactly(&self, subjects: impl Iterator<Item = String>) {
        self.table().links = subjects.map(|name| (name, LinkFault::Cut)).collect();
    }

    /// What keeps bytes on their way from one end to another: a cut, or time.
    fn hindrance(&self, from: &End, to: &End) -> Option<Hindrance> {
        let table = self.table();
        let mut delay = Duration::ZERO;
        for (subject, fault) in &table.links {
            let leaves = from.is(subject) && !to.is(subject);
            let enters = to.is(subject) && !from.is(subject);
            match fault {
                LinkFault::Cut if leaves || enters => return Some(Hindrance::Cut),
                LinkFault::CutOutbound if leaves => return Some(Hindrance::Cut),
                LinkFault::CutInbound if enters => return Some(Hindrance::Cut),
                LinkFault::Delayed(time) if leaves || enters => delay += *time,
                _ => {}
            }
        }
        (!delay.is_zero()).then_some(Hindrance::Delay(delay))
    }

    fn breaks(&self) -> usize {
        self.table().breaks.len()
    }

    /// The first break of a connection that has seen `since` breaks at its start.
    fn broken(&self, since: usize, ends: &(End, End)) -> Option<ConnectionFault> {
        let table = self.table();
        let later = table.breaks.get(since..).unwrap_or_default();
        let concerns = |subject: &str| ends.0.is(subject) != ends.1.is(subject);
        let found = later.iter().find(|(subject, _)| concerns(subject));
        found.map(|(_, how)| *how)
    }
}

enum Hindrance {
    Cut,
    Delay(Duration),
}

impl End {
    fn is(&self, subject: &str) -> bool {
        self.failure_domain == subject || self.name == subject
    }
}

impl From<Hello> for End {
    fn from(hello: Hello) -> Self {
        End {
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

/// Runs the links until the process is ended.
pub async fn run(arguments: &RelayArguments) -> BenchResult<()> {
    let faults = Faults::default();
    listen(read_json(&arguments.plan)?, &faults).await?;
    let mut last = None;
    loop {
        let text = std::fs::read_to_string(&arguments.cuts).unwrap_or_default();
        if last.as_ref() != Some(&text) {
            let names = text.lines().map(str::trim).filter(|name| !name.is_empty());
            faults.cut_exactly(names.map(str::to_owned));
            write_text(&applied_path(&arguments.cuts), &text)?;
            last = Some(text);
        }
        task::sleep(CUT_INTERVAL).await;
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
            task::spawn(carry(link.clone(), stream, faults.clone()));
        }
    }
}

async fn carry(link: Link, mut from: TcpStream, faults: Faults) -> Option<()> {
    from.set_nodelay(true).ok()?;
    let since = faults.breaks();
    let (hello, frame) = read_hello(&mut from).await.ok()?;
    let target = End {
        failure_domain: link.failure_domain,
        name: link.name,
    };
    let there = (End::from(hello), target);
    let back = (there.1.clone(), there.0.clone());
    cross(&faults, &there).await;
    let mut to = TcpStream::connect(link.target).await.ok()?;
    to.set_nodelay(true).ok()?;
    to.write_all(&frame).await.ok()?;
    let answers = pump(to.clone(), from.clone(), faults.clone(), back, since);
    let answers = task::spawn(answers);
    pump(from, to, faults, there, since).await;
    answers.await;
    Some(())
}

/// Waits as long as the faults on the way ask for.
async fn cross(faults: &Faults, (from, to): &(End, End)) {
    loop {
        match faults.hindrance(from, to) {
            None => return,
            Some(Hindrance::Cut) => task::sleep(CUT_INTERVAL).await,
            Some(Hindrance::Delay(time)) => return task::sleep(time).await,
        }
    }
}

async fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    faults: Faults,
    ends: (End, End),
    since: usize,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = async_std::future::timeout(BREAK_INTERVAL, from.read(&mut chunk)).await;
        match faults.broken(since, &ends) {
            None => {}
            Some(ConnectionFault::Reset) => break,
            // Held open: a close would tell.
            Some(ConnectionFault::BlackHole) => return std::mem::forget((from, to)),
        }
        let count = match read {
            Err(_) => continue,
            Ok(Ok(count)) if count > 0 => count,
            Ok(_) => break,
        };
        cross(&faults, &ends).await;
        if to.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    // The end of the connection crosses a cut no more than its bytes do.
    cross(&faults, &ends).await;
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
