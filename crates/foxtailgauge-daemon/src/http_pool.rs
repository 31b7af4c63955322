//! HTTP connections that a daemon opens: to other daemons and to backend servers.

use crate::forward_body::ForwardBody;
use crate::shared::lock;
use crate::socket;
use async_std::net::TcpStream;
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

/// Idle connections kept to one address.
const MAX_IDLE: usize = 64;

/// Why there is no answer.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// No connection; the request was not sent.
    NotSent(io::Error),
    /// The connection broke after the request may have been sent.
    Broken(hyper::Error),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::NotSent(error) => write!(f, "not sent: {error}"),
            ExchangeError::Broken(error) => write!(f, "broken off: {error}"),
        }
    }
}

impl std::error::Error for ExchangeError {}

struct Idle {
    sender: SendRequest<ForwardBody>,
    since: Instant,
}

/// A connection with a request under way.
pub(crate) struct PooledConnection {
    sender: SendRequest<ForwardBody>,
    addr: String,
}

/// Idle connections by address, the one used last first.
#[derive(Default)]
pub(crate) struct HttpPool {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
}

impl HttpPool {
    /// An idle connection that was used within `max_idle`.
    pub(crate) fn take_idle(&self, addr: &str, max_idle: Duration) -> Option<PooledConnection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(addr)?;
        while let Some(connection) = connections.pop() {
            if connection.since.elapsed() > max_idle {
                // All others were idle for even longer.
                connections.clear();
                break;
            }
            if connection.sender.is_ready() {
                return Some(PooledConnection {
                    sender: connection.sender,
                    addr: addr.to_owned(),
                });
            }
        }
        None
    }

    /// Opens a connection over a stream.
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
            let stream = stream.await?;
            let handshake = http1::handshake(FuturesIo::new(stream)).await;
            handshake.map_err(io::Error::other)
        };
        let (sender, connection) = async_std::future::timeout(timeout, opening)
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(ExchangeError::NotSent)?;
        async_std::task::spawn(async move {
            // Whoever waits for an answer on the connection learns of its end.
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender,
            addr: addr.to_owned(),
        })
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn release(&self, connection: PooledConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = lock(&self.idle);
        let connections = idle.entry(connection.addr).or_default();
        if connections.len() >= MAX_IDLE {
            connections.remove(0);
        }
        connections.push(Idle {
            sender: connection.sender,
            since: Instant::now(),
        });
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_idle(&self, addr: &str) {
        lock(&self.idle).remove(addr);
    }
}

impl PooledConnection {
    /// Sends a request and waits for the head of the answer. Dropping the future closes the
    /// connection, which cancels the request at the other side.
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

/// Why a request on an open connection has no answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The connection was closed before; the request comes back.
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
