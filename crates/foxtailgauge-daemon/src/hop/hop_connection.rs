//! Connections that carry requests between daemons: one HTTP/2 connection per daemon, shared by all
//! requests to it, and another one for the requests of bulk routes. HTTP/2 compresses headers, which
//! matters on slow links, where HTTP/1.1 headers are larger than most bodies.
//!
//! Bulk responses have a connection of their own because a connection delivers its bytes in order:
//! what the sockets have taken of large responses would delay every small one behind it.

use crate::executor::http_pool::{connect, SendError};
use crate::hop::forward_body::ForwardBody;
use crate::meter::MeteredStream;
use crate::peer_client::PeerIdentity;
use crate::shared::lock;
use async_std::net::TcpStream;
use foxtailgauge_wire::handshake;
use futures::future::{BoxFuture, FutureExt, Shared};
use futures::io::{AsyncRead, AsyncWrite};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper::{Request, Response};
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Timeout for opening a connection to another daemon, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum size of the head of a request or response; heads from callers are limited earlier.
const MAX_HEAD_BYTES: u32 = 256 << 10;
/// Maximum number of requests in flight on a connection; the queues of the backend servers reach
/// their bounds well below it.
const MAX_STREAMS: u32 = 4_096;
/// Flow-control window of one body, in bytes.
const STREAM_WINDOW: u32 = 128 << 10;
/// The same on a connection for bulk routes. At 11 Mbit/s enough for a round trip of 23 ms; more
/// would only wait in the buffers of the link, where the executor can't see it.
const BULK_STREAM_WINDOW: u32 = 32 << 10;
/// Flow-control window of all bodies on a connection, in bytes: those that nobody reads, such as
/// responses to callers that have stopped reading, must not use it up, as this would hold up all others.
const CONNECTION_WINDOW: u32 = 512 * STREAM_WINDOW;
/// Bytes of a response that are kept for a connection that takes no more, in addition to one piece
/// of its body.
const MAX_SEND_BUFFER: usize = 64 << 10;

/// Spawns the tasks of connections.
#[derive(Clone, Copy, Debug)]
struct Spawner;

impl<F> hyper::rt::Executor<F> for Spawner
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, task: F) {
        async_std::task::spawn(task);
    }
}

/// Which requests a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum HopTraffic {
    /// Requests of bulk routes.
    Bulk,
    /// All others.
    Regular,
}

impl HopTraffic {
    /// Traffic of a route that is for bulk responses, or not.
    pub(crate) fn of_route(is_bulk: bool) -> Self {
        match is_bulk {
            true => HopTraffic::Bulk,
            false => HopTraffic::Regular,
        }
    }

    fn stream_window(self) -> u32 {
        match self {
            HopTraffic::Bulk => BULK_STREAM_WINDOW,
            HopTraffic::Regular => STREAM_WINDOW,
        }
    }
}

/// Address of a daemon, and the traffic of a connection to it.
type ConnectionKey = (String, HopTraffic);

type ConnectResult = Result<SendRequest<ForwardBody>, Arc<io::Error>>;

/// State of the connection to a daemon.
#[derive(Clone)]
enum ConnectionState {
    Open(SendRequest<ForwardBody>),
    /// Concurrent requests wait for the same attempt to connect.
    Opening(Shared<BoxFuture<'static, ConnectResult>>),
}

/// Sender for one request.
pub(crate) struct HopSender {
    sender: SendRequest<ForwardBody>,
    /// Whether the connection was already open: it may have been closed unnoticed.
    pub(crate) is_reused: bool,
}

/// Connections to other daemons.
pub(crate) struct HopConnections {
    identity: PeerIdentity,
    connections: Mutex<HashMap<ConnectionKey, ConnectionState>>,
}

impl HopConnections {
    /// Creates an empty set of connections.
    pub(crate) fn new(identity: PeerIdentity) -> Self {
        HopConnections {
            identity,
            connections: Mutex::default(),
        }
    }

    /// Returns a sender to the daemon at an address, connecting if necessary.
    pub(crate) async fn sender(
        &self,
        addr: &str,
        traffic: HopTraffic,
    ) -> Result<HopSender, Arc<io::Error>> {
        let key = (addr.to_owned(), traffic);
        let opening = match self.state_or_connect(&key) {
            ConnectionState::Open(sender) => {
                return Ok(HopSender {
                    sender,
                    is_reused: true,
                })
            }
            ConnectionState::Opening(opening) => opening,
        };
        let opened = opening.clone().await;
        let mut connections = lock(&self.connections);
        let is_current = matches!(
            connections.get(&key),
            Some(ConnectionState::Opening(current)) if current.ptr_eq(&opening)
        );
        if is_current {
            match &opened {
                Ok(sender) => connections.insert(key, ConnectionState::Open(sender.clone())),
                Err(_) => connections.remove(&key),
            };
        }
        Ok(HopSender {
            sender: opened?,
            is_reused: false,
        })
    }

    /// State of a connection; starts connecting if there is none.
    fn state_or_connect(&self, key: &ConnectionKey) -> ConnectionState {
        let mut connections = lock(&self.connections);
        let existing = match connections.get(key) {
            Some(ConnectionState::Open(sender)) if sender.is_closed() => None,
            existing => existing.cloned(),
        };
        existing.unwrap_or_else(|| {
            // Drop closed connections, so that entries of removed daemons do not pile up.
            connections.retain(
                |_, state| !matches!(state, ConnectionState::Open(sender) if sender.is_closed()),
            );
            let opening = open(key.clone(), self.identity.clone()).boxed().shared();
            let state = ConnectionState::Opening(opening);
            connections.insert(key.clone(), state.clone());
            state
        })
    }

    /// Makes the next request open a new connection. Requests in flight stay on the old one.
    pub(crate) fn remove(&self, addr: &str, traffic: HopTraffic) {
        lock(&self.connections).remove(&(addr.to_owned(), traffic));
    }
}

impl HopSender {
    /// Sends a request and waits for the head of the response. Dropping the future cancels the
    /// request at the peer.
    pub(crate) async fn send(
        &mut self,
        request: Request<ForwardBody>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotSent(Box::new(request))),
                None => Err(SendError::Broken(error.into_error())),
            },
        }
    }
}

async fn open((addr, traffic): ConnectionKey, identity: PeerIdentity) -> ConnectResult {
    let opening = async {
        let mut stream: TcpStream = connect(&addr).await?;
        handshake::connect(&mut stream, &identity.hello, &identity.key)
            .await
            .map_err(|error| io::Error::other(error.to_string()))?;
        let stream = MeteredStream::new(stream, identity.counters.clone());
        http2::Builder::new(Spawner)
            .initial_stream_window_size(traffic.stream_window())
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_header_list_size(MAX_HEAD_BYTES)
            .initial_max_send_streams(MAX_STREAMS as usize)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)
    };
    let opened = async_std::future::timeout(CONNECT_TIMEOUT, opening).await;
    let (sender, connection) = opened
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(Arc::new)?;
    async_std::task::spawn(async move {
        // Requests waiting for a response get the error themselves.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Serves requests from another daemon until its connection ends.
pub(crate) async fn serve<S, H, F>(stream: S, handler: H)
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ForwardBody>> + Send + 'static,
{
    let service = hyper::service::service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = hyper::server::conn::http2::Builder::new(Spawner)
        .auto_date_header(false)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_header_list_size(MAX_HEAD_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_send_buf_size(MAX_SEND_BUFFER)
        // A daemon that resumes after a pause finds many requests reset by their callers meanwhile.
        .max_pending_accept_reset_streams(MAX_STREAMS as usize)
        .serve_connection(FuturesIo::new(stream), service);
    // The gateway at the other end detects a broken connection itself.
    let _ = connection.await;
}
