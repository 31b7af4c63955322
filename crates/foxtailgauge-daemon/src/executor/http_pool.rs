//! Pool of the HTTP/1.1 connections that a daemon opens to backend servers.

use crate::hop::forward_body::ForwardBody;
use crate::shared::lock;
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
    sender: SendRequest<ForwardBody>,
    read_limit: ReadLimit,
    since: Instant,
}

/// A connection taken from the pool or newly opened, for one request at a time.
pub(crate) struct PooledConnection {
    sender: SendRequest<ForwardBody>,
    /// Limits the bytes before the body of each response.
    read_limit: ReadLimit,
    addr: String,
}

/// Idle connections by address; the most recently used one is last and is taken first.
#[derive(Default)]
pub(crate) struct HttpPool {
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
}

impl HttpPool {
    /// Takes an idle connection that was used within `max_idle`.
    pub(crate) fn take_idle(&self, addr: &str, max_idle: Duration) -> Option<PooledConnection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(addr)?;
        while let Some(connection) = connections.pop() {
            if connection.since.elapsed() > max_idle {
                // All others have been idle for longer.
                connections.clear();
                break;
            }
            if connection.sender.is_ready() {
                return Some(PooledConnection {
                    sender: connection.sender,
                    read_limit: connection.read_limit,
                    addr: addr.to_owned(),
                });
            }
        }
        None
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
        })
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn release(&self, connection: PooledConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = lock(&self.idle);
        let connections = idle.entry(connection.addr).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDR {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            sender: connection.sender,
            read_limit: connection.read_limit,
            since: Instant::now(),
        });
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_idle(&self, addr: &str) {
        lock(&self.idle).remove(addr);
    }
}

impl PooledConnection {
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

/// Opens a TCP connection to a backend server. Unlike those between daemons it has no timeout for
/// unacknowledged data: a server that reads nothing for a while, as it waits for a slot, is not
/// gone, and the end of its process closes the connection.
pub(crate) async fn connect(addr: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
