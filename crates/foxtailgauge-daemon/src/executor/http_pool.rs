//! Pool of the HTTP/1.1 connections that a daemon opens to backend servers.

use crate::hop::forward_body::ForwardBody;
use crate::shared::lock;
use crate::socket;
use async_std::net::TcpStream;
use foxtailgauge_wire::{LimitedStream, ReadLimit, MAX_RESPONSE_HEAD_BYTES};
use futures::io::{AsyncRead, AsyncWrite};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::io;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDR: usize = 64;
/// Idle time after which a connection is not reused: backend servers close idle connections, and a
/// request sent while the connection is being closed is lost.
const MAX_IDLE_TIME: Duration = Duration::from_millis(800);
/// Idle time after which a connection is not reused for a request that is not idempotent.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(250);
/// Number of refusals after which a connection is not reused, as their ids are kept.
const MAX_REFUSALS: usize = 16;

/// Error of a request that got no response.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// The request was not sent: no connection was established, or it was closed before.
    NotSent(io::Error),
    /// The connection broke; the request may have been sent.
    Broken(hyper::Error),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::NotSent(error) => write!(f, "not sent: {error}"),
            ExchangeError::Broken(error) => write!(f, "connection broke: {error}"),
        }
    }
}

impl std::error::Error for ExchangeError {}

struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
}

/// The request for which a connection is taken.
pub(crate) struct ConnectionUse<'a> {
    /// Empty if the request has none.
    pub(crate) request_id: &'a [u8],
    pub(crate) is_idempotent: bool,
}

impl ConnectionUse<'_> {
    /// Whether the request may use an idle connection. A backend server may write a refusal again: only
    /// idempotent requests go behind one, and none with the same id.
    fn permits(&self, idle: &IdleConnection, now: Instant) -> bool {
        let refused_ids = &idle.connection.refused_ids;
        match self.is_idempotent {
            true => !refused_ids.iter().any(|id| **id == *self.request_id),
            false => {
                let idle_time = now.saturating_duration_since(idle.since);
                refused_ids.is_empty() && idle_time <= MAX_IDLE_NON_IDEMPOTENT
            }
        }
    }
}

/// A connection taken from the pool or newly opened, for one request at a time.
pub(crate) struct PooledConnection {
    sender: SendRequest<ForwardBody>,
    /// Limits the bytes before the body of each response.
    read_limit: ReadLimit,
    addr: String,
    /// Whether it has carried another request before.
    is_reused: bool,
    /// Whether it is closed after its first response.
    is_single_use: bool,
    /// Ids of the requests that the backend server refused on it.
    refused_ids: Vec<Box<[u8]>>,
}

/// Idle connections by address; the most recently used one is last and is taken first.
#[derive(Default)]
pub(crate) struct HttpPool {
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
}

impl HttpPool {
    /// Takes the most recently used idle connection that the request may use. Without one the request
    /// needs a new connection, for which an idle one is closed: backend servers bound their number.
    pub(crate) fn take_idle(
        &self,
        addr: &str,
        usage: ConnectionUse<'_>,
    ) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(addr)?;
        connections.retain(|idle| {
            let idle_time = now.saturating_duration_since(idle.since);
            idle_time <= MAX_IDLE_TIME && !idle.connection.sender.is_closed()
        });
        let index = connections
            .iter()
            .rposition(|idle| idle.connection.sender.is_ready() && usage.permits(idle, now));
        let Some(index) = index else {
            // The connection opened instead takes the place of the one that has been idle for longest.
            drop(connections.drain(..connections.len().min(1)));
            return None;
        };
        let mut connection = connections.remove(index).connection;
        connection.is_reused = true;
        Some(connection)
    }

    /// Opens a connection over a stream; a timeout counts as not sent.
    pub(crate) async fn open<S>(
        &self,
        addr: &str,
        stream: impl Future<Output = io::Result<S>>,
        timeout: Duration,
    ) -> Result<PooledConnection, ExchangeError>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let opening = async {
            let (stream, read_limit) = LimitedStream::new(stream.await?);
            let handshake = http1::handshake(FuturesIo::new(stream)).await;
            let (sender, connection) = handshake.map_err(io::Error::other)?;
            Ok((sender, connection, read_limit))
        };
        let (sender, connection, read_limit) = async_std::future::timeout(timeout, opening)
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(ExchangeError::NotSent)?;
        async_std::task::spawn(async move {
            // A request waiting for a response gets the error itself.
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender,
            read_limit,
            addr: addr.to_owned(),
            is_reused: false,
            is_single_use: false,
            refused_ids: Vec::new(),
        })
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn release(&self, connection: PooledConnection) {
        let is_used_up = connection.is_single_use || connection.refused_ids.len() >= MAX_REFUSALS;
        if connection.sender.is_closed() || is_used_up {
            return;
        }
        let mut idle = lock(&self.idle);
        let connections = idle.entry(connection.addr.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDR {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            since: Instant::now(),
        });
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_idle(&self, addr: &str) {
        lock(&self.idle).remove(addr);
    }
}

impl PooledConnection {
    /// Whether it has carried another request before.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Closes the connection after its first response.
    pub(crate) fn set_single_use(&mut self) {
        self.is_single_use = true;
    }

    /// Records that the backend server refused the request with this id.
    pub(crate) fn record_refusal(&mut self, request_id: &[u8]) {
        self.refused_ids.push(request_id.into());
    }

    /// Sends a request and waits for the head of the response. Dropping the future closes the
    /// connection, which cancels the request at the peer.
    pub(crate) async fn send(
        &mut self,
        request: Request<ForwardBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.read_limit.set(MAX_RESPONSE_HEAD_BYTES);
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.read_limit.remove();
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotSent(Box::new(request))),
                None => Err(SendError::Broken(error.into_error())),
            },
        }
    }
}

/// Error of a request on an open connection.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The connection was closed before the request was sent; returns the request.
    NotSent(Box<Request<ForwardBody>>),
    /// The connection broke; the request may have arrived.
    Broken(hyper::Error),
}

/// Opens a TCP connection.
pub(crate) async fn connect(addr: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    socket::set_options(&stream)?;
    Ok(stream)
}

/// Opens a TCP connection for a body that the backend server may stop reading for a while.
pub(crate) async fn connect_for_upload(addr: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    socket::set_options_for_slow_reader(&stream)?;
    Ok(stream)
}
