//! Links between daemons that can be cut: connections over the border of a cut failure domain
//! stand still until it is healed.

use crate::json_file::{read_json, write_text, BenchError, BenchResult};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use clap::Args;
use error_stack::ResultExt;
use foxtailgauge_wire::handshake::read_hello;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// Interval at which the list of cuts is read, and at which a cut link looks whether it is healed.
const CUT_INTERVAL: Duration = Duration::from_millis(10);
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
    /// Failure domain.
    pub failure_domain: String,
}

type Cuts = Arc<RwLock<BTreeSet<String>>>;

/// Runs the links until the process is ended.
pub async fn run(arguments: &RelayArguments) -> BenchResult<()> {
    let plan: RelayPlan = read_json(&arguments.plan)?;
    let cuts = Cuts::default();
    for link in plan.links {
        let listener = TcpListener::bind(link.listen)
            .await
            .change_context(BenchError::Network)?;
        task::spawn(accept(link, listener, Arc::clone(&cuts)));
    }
    let mut last = None;
    loop {
        let text = std::fs::read_to_string(&arguments.cuts).unwrap_or_default();
        if last.as_ref() != Some(&text) {
            let names = text.lines().map(str::trim).filter(|name| !name.is_empty());
            *cuts.write().unwrap_or_else(PoisonError::into_inner) =
                names.map(str::to_owned).collect();
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

async fn accept(link: Link, listener: TcpListener, cuts: Cuts) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            task::spawn(carry(link.clone(), stream, Arc::clone(&cuts)));
        }
    }
}

/// Whether a connection between two failure domains stands still.
fn is_cut(cuts: &Cuts, a: &str, b: &str) -> bool {
    let cuts = cuts.read().unwrap_or_else(PoisonError::into_inner);
    a != b && (cuts.contains(a) || cuts.contains(b))
}

async fn carry(link: Link, mut from: TcpStream, cuts: Cuts) -> Option<()> {
    from.set_nodelay(true).ok()?;
    let (hello, frame) = read_hello(&mut from).await.ok()?;
    let domains = (hello.failure_domain, link.failure_domain);
    until_whole(&cuts, &domains).await;
    let mut to = TcpStream::connect(link.target).await.ok()?;
    to.set_nodelay(true).ok()?;
    to.write_all(&frame).await.ok()?;
    let back = pump(to.clone(), from.clone(), Arc::clone(&cuts), domains.clone());
    let back = task::spawn(back);
    pump(from, to, cuts, domains).await;
    back.await;
    Some(())
}

async fn until_whole(cuts: &Cuts, (a, b): &(String, String)) {
    while is_cut(cuts, a, b) {
        task::sleep(CUT_INTERVAL).await;
    }
}

async fn pump(mut from: TcpStream, mut to: TcpStream, cuts: Cuts, domains: (String, String)) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = match from.read(&mut chunk).await {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        until_whole(&cuts, &domains).await;
        if to.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    // The end of the connection crosses a cut no more than its bytes do.
    until_whole(&cuts, &domains).await;
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
