//! Connections that carry requests between daemons: HTTP/2, one to a daemon, shared by all requests
//! to it. Its compressed heads matter on slow links, where those of HTTP/1.1 outweigh most bodies.

use crate::forward_body::ForwardBody;
use crate::http_pool::{connect, SendError};
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

/// Time to open a connection to another daemon, the handshake included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest head of a request or an answer; a caller's is limited before.
const MAX_HEAD_BYTES: u32 = 256 << 10;
/// Requests under way on one connection; backend servers' queues bound them long before.
const MAX_STREAMS: u32 = 4_096;
/// Bytes of one body that may be under way without having been read, and of all bodies of a
/// connection: a body that nobody reads must not hold up the others.
const STREAM_WINDOW: u32 = 128 << 10;
const CONNECTION_WINDOW: u32 = 4 << 20;

/// Runs the tasks of connections.
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

type Opened = Result<SendRequest<ForwardBody>, Arc<io::Error>>;

/// The connection to one daemon.
#[derive(Clone)]
enum Slot {
    Open(SendRequest<ForwardBody>),
    /// All requests of this moment wait for the same attempt.
    Opening(Shared<BoxFuture<'static, Opened>>),
}

/// The right to send one request.
pub(crate) struct HopSender {
    sender: SendRequest<ForwardBody>,
    /// Whether the connection was open before: it may have ended without this daemon's knowledge.
    pub(crate) is_reused: bool,
}

/// Connections to other daemons, by address.
pub(crate) struct HopConnections {
    identity: PeerIdentity,
    slots: Mutex<HashMap<String, Slot>>,
}

impl HopConnections {
    /// No connections yet.
    pub(crate) fn new(identity: PeerIdentity) -> Self {
        HopConnections {
            identity,
            slots: Mutex::default(),
        }
    }

    /// A sender to the daemon at an address.
    pub(crate) async fn sender(&self, addr: &str) -> Result<HopSender, Arc<io::Error>> {
        let opening = match self.slot(addr) {
            Slot::Open(sender) => {
                return Ok(HopSender {
                    sender,
                    is_reused: true,
                })
            }
            Slot::Opening(opening) => opening,
        };
        let opened = opening.clone().await;
        let mut slots = lock(&self.slots);
        let is_same =
            matches!(slots.get(addr), Some(Slot::Opening(current)) if current.ptr_eq(&opening));
        if is_same {
            match &opened {
                Ok(sender) => slots.insert(addr.to_owned(), Slot::Open(sender.clone())),
                Err(_) => slots.remove(addr),
            };
        }
        Ok(HopSender {
            sender: opened?,
            is_reused: false,
        })
    }

    /// The connection to an address as it is, opened if there is none.
    fn slot(&self, addr: &str) -> Slot {
        let mut slots = lock(&self.slots);
        let known = match slots.get(addr) {
            Some(Slot::Open(sender)) if sender.is_closed() => None,
            known => known.cloned(),
        };
        known.unwrap_or_else(|| {
            // Daemons that are gone for good leave no trace.
            slots.retain(|_, slot| !matches!(slot, Slot::Open(sender) if sender.is_closed()));
            let opening = open(addr.to_owned(), self.identity.clone())
                .boxed()
                .shared();
            let slot = Slot::Opening(opening);
            slots.insert(addr.to_owned(), slot.clone());
            slot
        })
    }

    /// Opens a new connection for the next request. Requests under way stay on the old one.
    pub(crate) fn remove(&self, addr: &str) {
        lock(&self.slots).remove(addr);
    }
}

impl HopSender {
    /// Sends a request and waits for the head of the answer. Dropping the future cancels the request
    /// at the other side.
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

async fn open(addr: String, identity: PeerIdentity) -> Opened {
    let opening = async {
        let mut stream: TcpStream = connect(&addr).await?;
        handshake::connect(&mut stream, &identity.hello, &identity.key)
            .await
            .map_err(|error| io::Error::other(error.to_string()))?;
        let stream = MeteredStream::new(stream, identity.counters.clone());
        http2::Builder::new(Spawner)
            .initial_stream_window_size(STREAM_WINDOW)
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
        // Whoever waits for an answer on the connection learns of its end.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Serves the requests of another daemon until its connection ends.
pub(crate) async fn serve<S, A, F>(stream: S, answer: A)
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    A: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ForwardBody>> + Send + 'static,
{
    let service = hyper::service::service_fn(move |request| {
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = hyper::server::conn::http2::Builder::new(Spawner)
        .auto_date_header(false)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_header_list_size(MAX_HEAD_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        // A daemon that was paused finds many requests whose callers have gone since.
        .max_pending_accept_reset_streams(MAX_STREAMS as usize)
        .serve_connection(FuturesIo::new(stream), service);
    // The gateway at the other end learns of a broken connection itself.
    let _ = connection.await;
}
