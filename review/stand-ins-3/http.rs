//! A small blocking HTTP/1.1 client and the parts of a server that the stand-ins need.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends one request on a new connection that closes after the response. `None` without a complete
/// response within `timeout`; the connection is closed then.
pub fn call(
    addr: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let deadline = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    let left = deadline.checked_duration_since(Instant::now())?;
    call_on(stream, start, headers, body, left)
}

/// Like [`call`], on a connection that is open already.
pub fn call_on(
    mut stream: TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let deadline = Instant::now() + timeout;
    let addr = stream.peer_addr().ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{start} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    loop {
        if let Some(response) = parse_response(&bytes) {
            return Some(response);
        }
        let left = deadline.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return parse_response(&bytes),
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

fn parse_response(bytes: &[u8]) -> Option<Response> {
    let end = find(bytes, b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines.filter_map(split_header).collect();
    let length = header(&headers, "content-length")?.parse::<usize>().ok()?;
    let body = bytes.get(end + 4..end + 4 + length)?;
    Some(Response {
        status,
        headers,
        body: String::from_utf8_lossy(body).into_owned(),
    })
}

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Reads the next request of a kept connection; `None` at its end.
pub fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(end) = find(bytes, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut start = lines.next()?.split(' ');
            let (method, path) = (start.next()?.to_owned(), start.next()?.to_owned());
            let headers: Vec<(String, String)> = lines.filter_map(split_header).collect();
            let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
            let total = end + 4 + length.unwrap_or(0);
            if bytes.len() >= total {
                bytes.drain(..total);
                return Some(Request {
                    method,
                    path,
                    headers,
                });
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

fn split_header(line: &str) -> Option<(String, String)> {
    let (name, value) = line.split_once(':')?;
    Some((name.to_owned(), value.trim().to_owned()))
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
