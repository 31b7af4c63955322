//! A small HTTP/1.1 client connection on top of async-h1.

use async_h1::client;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::headers::{HeaderName, HeaderValue};
use http_types::{Method, Request, Url};
use std::fmt;
use std::net::SocketAddr;

/// Headers that concern one connection only and are never passed on.
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

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers, without those of [`HOP_BY_HOP_HEADERS`].
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// First value of a header; names are compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let (_, value) = headers.find(|(n, _)| n.eq_ignore_ascii_case(name))?;
        Some(value)
    }
}

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub struct HttpRequest<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Headers; those of [`HOP_BY_HOP_HEADERS`] are left out.
    pub headers: &'a [(String, String)],
    /// The whole body.
    pub body: &'a [u8],
}

/// Why an exchange failed.
#[derive(Debug)]
pub enum HttpError {
    /// The request is not valid HTTP. Nothing was sent.
    BadRequest,
    /// No connection. Nothing was sent.
    Connect(std::io::Error),
    /// The connection broke, or the answer was not HTTP. The request may have arrived.
    Broken,
    /// The answer exceeds the limit. The request has run.
    TooLarge,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::BadRequest => write!(f, "request is not valid HTTP"),
            HttpError::Connect(error) => write!(f, "no connection: {error}"),
            HttpError::Broken => write!(f, "connection broke before a whole answer"),
            HttpError::TooLarge => write!(f, "answer exceeds the limit"),
        }
    }
}

impl std::error::Error for HttpError {}

/// A connection that carries one exchange at a time.
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

    /// Whether another exchange may follow.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable
    }

    /// Sends a request and reads the whole answer of at most `limit_bytes`.
    pub async fn exchange(
        &mut self,
        request: HttpRequest<'_>,
        limit_bytes: usize,
    ) -> Result<HttpResponse, HttpError> {
        let message = build(self.addr, request)?;
        // Only a completed exchange makes the connection fit for another one.
        self.is_reusable = false;
        let mut response = client::connect(self.stream.clone(), message)
            .await
            .map_err(|_| HttpError::Broken)?;
        let has_length = response.header("content-length").is_some()
            || response.header("transfer-encoding").is_some();
        let is_kept = response
            .header("connection")
            .is_none_or(|values| !values.as_str().eq_ignore_ascii_case("close"));
        let headers = end_to_end_headers(response.iter());
        let status = u16::from(response.status());
        let mut body = Vec::new();
        let limit = limit_bytes as u64 + 1;
        let read = response
            .take_body()
            .take(limit)
            .read_to_end(&mut body)
            .await;
        read.map_err(|_| HttpError::Broken)?;
        if body.len() > limit_bytes {
            return Err(HttpError::TooLarge);
        }
        self.is_reusable = has_length && is_kept;
        Ok(HttpResponse {
            status,
            headers,
            body,
        })
    }
}

/// Sends one request over a connection of its own.
pub async fn fetch(
    addr: SocketAddr,
    request: HttpRequest<'_>,
    limit_bytes: usize,
) -> Result<HttpResponse, HttpError> {
    HttpConnection::open(addr)
        .await?
        .exchange(request, limit_bytes)
        .await
}

/// Headers that are passed on, in order.
pub fn end_to_end_headers<'a>(
    headers: impl Iterator<Item = (&'a HeaderName, &'a http_types::headers::HeaderValues)>,
) -> Vec<(String, String)> {
    let is_passed_on = |name: &HeaderName| {
        !HOP_BY_HOP_HEADERS
            .iter()
            .any(|hop| name.as_str().eq_ignore_ascii_case(hop))
    };
    headers
        .filter(|(name, _)| is_passed_on(name))
        .flat_map(|(name, values)| {
            let pair = |value: &HeaderValue| (name.as_str().to_owned(), value.as_str().to_owned());
            values.iter().map(pair).collect::<Vec<_>>()
        })
        .collect()
}

fn build(addr: SocketAddr, request: HttpRequest<'_>) -> Result<Request, HttpError> {
    let bad = |_| HttpError::BadRequest;
    let method: Method = request.method.parse().map_err(bad)?;
    let url = format!("http://{addr}{}", request.target);
    let url = Url::parse(&url).map_err(|_| HttpError::BadRequest)?;
    let mut message = Request::new(method, url);
    for (name, value) in request.headers {
        if HOP_BY_HOP_HEADERS
            .iter()
            .any(|hop| name.eq_ignore_ascii_case(hop))
        {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes().to_vec()).map_err(bad)?;
        let value = HeaderValue::from_bytes(value.as_bytes().to_vec()).map_err(bad)?;
        message.append_header(name, value);
    }
    message.set_body(request.body);
    Ok(message)
}
