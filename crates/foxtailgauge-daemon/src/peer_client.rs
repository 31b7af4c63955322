//! Client side of the connections between daemons.
//!
//! An RPC system is bound to its thread, so each client owns threads that keep one connection per
//! address. Requests are passed to them through a channel; dropping a request's future cancels it.

use crate::meter::{ByteCounters, MeteredStream};
use crate::socket;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::net::TcpStream;
use async_std::task;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use foxtailgauge_wire::foxtailgauge_capnp::{calls, control};
use foxtailgauge_wire::handshake::{self, ClusterKey, ConnectionKind, Hello};
use foxtailgauge_wire::{CallReply, CallRequest};
use futures::channel::oneshot;
use futures::future::{FutureExt, LocalBoxFuture, Shared};
use futures::io::{AsyncReadExt, BufReader, BufWriter};
use std::cell::RefCell;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// Capacity of the request queue of a client thread.
const REQUEST_QUEUE_CAPACITY: usize = 4096;
/// Timeout for opening a connection, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A request to another daemon.
#[derive(Debug)]
pub(crate) enum PeerRequest {
    /// Polls a source for changes.
    Poll(Vec<u8>),
    /// Reports to a source.
    Report(Vec<u8>),
    /// Asks a daemon for its freshness.
    Probe,
    /// Submits a request to a replica.
    Submit(Vec<u8>),
    /// Publishes a directory entry directly, outside of polls and reports.
    Publish(Vec<u8>),
    /// Executes a request on a backend server.
    Execute(Box<CallRequest>),
}

/// The reply of another daemon.
#[derive(Debug)]
pub(crate) enum PeerReply {
    /// Acknowledgement without a payload.
    Acknowledged,
    /// An encoded payload.
    Payload(Vec<u8>),
    /// The result of a call.
    Call(CallReply),
}

/// Reason for a missing reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// No connection could be opened; the request was not sent.
    NotSent,
    /// The request was passed to a connection, and no reply arrived.
    NoResponse,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::NotSent => write!(f, "no connection to the daemon"),
            PeerError::NoResponse => write!(f, "no response from the daemon"),
        }
    }
}

impl std::error::Error for PeerError {}

/// Handshake data of a client, and the counters of its connections.
#[derive(Clone, Debug)]
pub(crate) struct PeerIdentity {
    /// First message of the handshake.
    pub(crate) hello: Hello,
    /// Secret shared by all daemons.
    pub(crate) key: ClusterKey,
    /// Counters of the connections.
    pub(crate) counters: ByteCounters,
}

struct Command {
    addr: String,
    request: PeerRequest,
    timeout: Duration,
    reply: oneshot::Sender<Result<PeerReply, PeerError>>,
}

/// A client and its threads, which end when the last clone is dropped.
#[derive(Clone)]
pub(crate) struct PeerClient {
    threads: Vec<Sender<Command>>,
}

impl PeerClient {
    /// Starts a client with a number of threads.
    pub(crate) fn start(identity: &PeerIdentity, threads: usize) -> Self {
        let start = |_| {
            let (sender, receiver) = bounded(REQUEST_QUEUE_CAPACITY);
            let identity = identity.clone();
            std::thread::spawn(move || task::block_on(serve(identity, receiver)));
            sender
        };
        PeerClient {
            threads: (0..threads).map(start).collect(),
        }
    }

    /// Sends a request and waits for the reply. Dropping the future cancels the request.
    pub(crate) async fn call(
        &self,
        addr: &str,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let (reply, reply_receiver) = oneshot::channel();
        let command = Command {
            addr: addr.to_owned(),
            request,
            timeout,
            reply,
        };
        let thread = &self.threads[self.thread_of(addr)];
        thread.send(command).await.map_err(|_| PeerError::NotSent)?;
        reply_receiver.await.unwrap_or(Err(PeerError::NoResponse))
    }

    fn thread_of(&self, addr: &str) -> usize {
        let mut hasher = DefaultHasher::new();
        addr.hash(&mut hasher);
        hasher.finish() as usize % self.threads.len()
    }
}

#[derive(Clone)]
enum Remote {
    Control(control::Client),
    Calls(calls::Client),
}

/// Opening of a connection; every request to its address waits for the same one.
type Connecting = Shared<LocalBoxFuture<'static, Option<Remote>>>;

/// A connection that is open or being opened.
#[derive(Clone)]
struct Entry {
    serial: u64,
    connecting: Connecting,
}

struct Connections {
    identity: PeerIdentity,
    entries: RefCell<HashMap<String, Entry>>,
    next_serial: RefCell<u64>,
}

async fn serve(identity: PeerIdentity, commands: Receiver<Command>) {
    let connections = Rc::new(Connections {
        identity,
        entries: RefCell::new(HashMap::new()),
        next_serial: RefCell::new(0),
    });
    while let Ok(command) = commands.recv().await {
        task::spawn_local(handle_command(Rc::clone(&connections), command));
    }
}

async fn handle_command(connections: Rc<Connections>, command: Command) {
    let Command {
        addr,
        request,
        timeout,
        mut reply,
    } = command;
    let exchange = Box::pin(connections.exchange(addr, request, timeout));
    let outcome = match futures::future::select(exchange, reply.cancellation()).await {
        futures::future::Either::Left((outcome, _)) => outcome,
        futures::future::Either::Right(_) => return,
    };
    let _ = reply.send(outcome);
}

impl Connections {
    async fn exchange(
        &self,
        addr: String,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let entry = self.entry_or_connect(&addr);
        let Some(remote) = entry.connecting.clone().await else {
            self.remove(&addr, entry.serial);
            return Err(PeerError::NotSent);
        };
        let response = async_std::future::timeout(timeout, send(remote, request)).await;
        match response {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => {
                self.remove(&addr, entry.serial);
                Err(PeerError::NoResponse)
            }
            // The other daemon may be unresponsive: the next request opens a new connection.
            Err(_) => {
                self.remove(&addr, entry.serial);
                Err(PeerError::NoResponse)
            }
        }
    }

    fn entry_or_connect(&self, addr: &str) -> Entry {
        let mut entries = self.entries.borrow_mut();
        if let Some(entry) = entries.get(addr) {
            return entry.clone();
        }
        let mut serial = self.next_serial.borrow_mut();
        *serial += 1;
        let connecting = open(addr.to_owned(), self.identity.clone())
            .boxed_local()
            .shared();
        let entry = Entry {
            serial: *serial,
            connecting,
        };
        entries.insert(addr.to_owned(), entry.clone());
        entry
    }

    /// Removes a connection, unless a newer one to the address has replaced it.
    fn remove(&self, addr: &str, serial: u64) {
        let mut entries = self.entries.borrow_mut();
        if entries
            .get(addr)
            .is_some_and(|entry| entry.serial == serial)
        {
            entries.remove(addr);
        }
    }
}

async fn open(addr: String, identity: PeerIdentity) -> Option<Remote> {
    let connecting = connect(&addr, &identity);
    let stream = async_std::future::timeout(CONNECT_TIMEOUT, connecting).await;
    let stream = stream.ok()??;
    let metered = MeteredStream::new(stream, identity.counters);
    let (reader, writer) = metered.split();
    let network = Box::new(VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(writer),
        Side::Client,
        Default::default(),
    ));
    let mut system = RpcSystem::new(network, None);
    let remote = match identity.hello.kind {
        ConnectionKind::Calls => Remote::Calls(system.bootstrap(Side::Server)),
        ConnectionKind::Control | ConnectionKind::Consensus | ConnectionKind::Forward => {
            Remote::Control(system.bootstrap(Side::Server))
        }
    };
    task::spawn_local(async move {
        // A failed connection is reported to each request in flight by an error of its own.
        let _ = system.await;
    });
    Some(remote)
}

/// Opens a connection and proves knowledge of the cluster key.
pub(crate) async fn connect(addr: &str, identity: &PeerIdentity) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    socket::set_options(&stream).ok()?;
    handshake::connect(&mut stream, &identity.hello, &identity.key)
        .await
        .ok()?;
    Some(stream)
}

async fn send(remote: Remote, request: PeerRequest) -> capnp::Result<PeerReply> {
    match (remote, request) {
        (Remote::Calls(client), PeerRequest::Execute(call)) => {
            let mut request = client.execute_request();
            call.write(request.get().init_request());
            let response = request.send().promise.await?;
            Ok(PeerReply::Call(CallReply::read(
                response.get()?.get_reply()?,
            )?))
        }
        (Remote::Control(client), request) => send_control(&client, request).await,
        (Remote::Calls(_), _) => Err(wrong_connection_kind()),
    }
}

async fn send_control(client: &control::Client, request: PeerRequest) -> capnp::Result<PeerReply> {
    let payload = match request {
        PeerRequest::Poll(payload) => {
            let mut request = client.poll_request();
            request.get().set_request(&payload);
            request.send().promise.await?.get()?.get_reply()?.to_vec()
        }
        PeerRequest::Report(payload) => {
            let mut request = client.report_request();
            request.get().set_request(&payload);
            request.send().promise.await?.get()?.get_reply()?.to_vec()
        }
        PeerRequest::Probe => {
            let request = client.probe_request();
            request.send().promise.await?.get()?.get_reply()?.to_vec()
        }
        PeerRequest::Submit(payload) => {
            let mut request = client.submit_request();
            request.get().set_request(&payload);
            request.send().promise.await?.get()?.get_reply()?.to_vec()
        }
        PeerRequest::Publish(payload) => {
            let mut request = client.tell_request();
            request.get().set_instance(&payload);
            request.send().promise.await?;
            return Ok(PeerReply::Acknowledged);
        }
        PeerRequest::Execute(_) => return Err(wrong_connection_kind()),
    };
    Ok(PeerReply::Payload(payload))
}

fn wrong_connection_kind() -> capnp::Error {
    capnp::Error::failed("request not supported on this kind of connection".to_owned())
}
