//! A stream wrapper that counts the bytes read and written.

use futures::io::{AsyncRead, AsyncWrite};
use prometheus_client::metrics::counter::Counter;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Byte counters of one kind of connection.
#[derive(Clone, Debug, Default)]
pub struct ByteCounters {
    /// Bytes received.
    pub received: Counter,
    /// Bytes sent.
    pub sent: Counter,
}

/// A stream that counts its bytes.
#[derive(Debug)]
pub struct MeteredStream<S> {
    inner: S,
    counters: ByteCounters,
}

impl<S> MeteredStream<S> {
    /// Wraps `inner` and counts its bytes in `counters`.
    pub fn new(inner: S, counters: ByteCounters) -> Self {
        MeteredStream { inner, counters }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = &result {
            self.counters.received.inc_by(*count as u64);
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = &result {
            self.counters.sent.inc_by(*count as u64);
        }
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(count)) = &result {
            self.counters.sent.inc_by(*count as u64);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
