//! A minimal HTTP/1.1 client.

use crate::http_response::read_response;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use futures::FutureExt;
use http_types::headers::{HeaderName, HeaderValue};
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Headers that apply to a single connection and are never forwarded.
pub const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Statuses that HTTP defines; anything else is no response (RFC 9110, section 15).
pub const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// An HTTP response with its complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code, from 200 to 599.
    pub status: u16,
    /// End-to-end headers, without [`HOP_BY_HOP_HEADERS`].
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// First value of a header; the name is case-insensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let (_, value) = headers.find(|(n, _)| n.eq_ignore_ascii_case(name))?;
        Some(value)
    }
}

/// An HTTP request with its complete body.
#[derive(Clone, Copy, Debug)]
pub struct HttpRequest<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Headers; [`HOP_BY_HOP_HEADERS`] among them are not sent.
    pub headers: &'a [(String, String)],
    /// The whole body.
    pub body: &'a [u8],
}

/// Why an exchange of request and response failed.
#[derive(Debug)]
pub enum HttpError {
    /// The request is not valid HTTP. Nothing was sent.
    BadRequest,
    /// The connection could not be opened. Nothing was sent.
    Connect(std::io::Error),
    /// The connection failed, or the response was not valid HTTP or states no length of its body.
    /// The request may have been received.
    Broken,
    /// The response exceeds the size limit. The request was executed.
    TooLarge,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::BadRequest => write!(f, "request is not valid HTTP"),
            HttpError::Connect(error) => write!(f, "cannot connect: {error}"),
            HttpError::Broken => write!(f, "connection failed before a complete response"),
            HttpError::TooLarge => write!(f, "response exceeds the size limit"),
        }
    }
}

impl std::error::Error for HttpError {}

/// A client connection that carries one exchange at a time.
#[derive(Debug)]
pub struct HttpConnection {
    addr: SocketAddr,
    stream: TcpStream,
    is_reusable: bool,
}

impl HttpConnection {
    /// Opens a connection.
    pub async fn open(addr: SocketAddr) -> Result<Self, HttpError> {
        let stream = TcpStream::connect(addr).await.map_err(HttpError::Connect)?;
        stream.set_nodelay(true).map_err(HttpError::Connect)?;
        Ok(HttpConnection {
            addr,
            stream,
            is_reusable: true,
        })
    }

    /// Whether the connection can be used for another exchange: the last response was complete, and
    /// the peer has neither sent anything after it nor closed the connection.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable && self.is_silent()
    }

    fn is_silent(&self) -> bool {
        self.stream.peek(&mut [0]).now_or_never().is_none()
    }

    /// Sends a request and reads the response, whose body may have up to `max_response_bytes`.
    pub async fn exchange(
        &mut self,
        request: HttpRequest<'_>,
        max_response_bytes: usize,
    ) -> Result<HttpResponse, HttpError> {
        let is_head = request.method == "HEAD";
        let message = encode_request(self.addr, request)?;
        // What arrives before the request is not its response.
        if !self.is_silent() {
            self.is_reusable = false;
            return Err(HttpError::Connect(std::io::ErrorKind::InvalidData.into()));
        }
        // The connection is reusable only after a complete exchange.
        self.is_reusable = false;
        let written = self.stream.write_all(&message).await;
        written.map_err(|_| HttpError::Broken)?;
        let (response, is_reusable) =
            read_response(&self.stream, is_head, max_response_bytes).await?;
        self.is_reusable = is_reusable;
        Ok(response)
    }
}

/// Sends one request over a new connection.
pub async fn fetch(
    addr: SocketAddr,
    request: HttpRequest<'_>,
    max_response_bytes: usize,
) -> Result<HttpResponse, HttpError> {
    HttpConnection::open(addr)
        .await?
        .exchange(request, max_response_bytes)
        .await
}

/// Bytes of a request. Method and target are sent as they are, `..` included.
fn encode_request(addr: SocketAddr, request: HttpRequest<'_>) -> Result<Vec<u8>, HttpError> {
    let is_visible = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic());
    if !is_visible(request.method) || !is_visible(request.target) {
        return Err(HttpError::BadRequest);
    }
    let bad_request = |_| HttpError::BadRequest;
    let (method, target) = (request.method, request.target);
    let length = request.body.len();
    let mut head =
        format!("{method} {target} HTTP/1.1\r\nhost: {addr}\r\ncontent-length: {length}\r\n");
    for (name, value) in request.headers {
        let is_name = |hop: &&str| name.eq_ignore_ascii_case(hop);
        if HOP_BY_HOP_HEADERS.iter().any(is_name) {
            continue;
        }
        HeaderName::from_bytes(name.as_bytes().to_vec()).map_err(bad_request)?;
        HeaderValue::from_bytes(value.as_bytes().to_vec()).map_err(bad_request)?;
        if value.contains(['\r', '\n', '\0']) || !is_visible(name) || name.contains(':') {
            return Err(HttpError::BadRequest);
        }
        head.push_str(name);
        head.push_str(": ");
        head.push_str(value);
        head.push_str("\r\n");
    }
    head.push_str("\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(request.body);
    Ok(message)
}
