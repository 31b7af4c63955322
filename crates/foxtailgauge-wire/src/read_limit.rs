//! Bound on the bytes that a peer may send, for parsers without one.

use async_std::io::{Read, Write};
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// Maximum size of what precedes the body of a response: interim responses and its head.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 256 << 10;

/// Largest read. Parsers size their buffers by the reads that fill them: without it, up to 400 KB in
/// several buffers for each body that is streamed.
const MAX_READ_BYTES: usize = 32 << 10;

/// Bytes that may still be read from a stream; shared by its reader and the [`LimitedStream`].
#[derive(Clone, Debug)]
pub struct ReadLimit(Arc<AtomicUsize>);

impl ReadLimit {
    /// Permits `bytes` from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Number of bytes that may still be read.
    pub fn rest_bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Permits any number of bytes.
    pub fn remove(&self) {
        self.set(usize::MAX);
    }
}

/// A stream that fails with [`io::ErrorKind::InvalidData`] once its limit is used up.
#[derive(Clone, Debug)]
pub struct LimitedStream<S> {
    inner: S,
    limit: ReadLimit,
}

impl<S> LimitedStream<S> {
    /// Wraps a stream, at first without a limit.
    pub fn new(inner: S) -> (Self, ReadLimit) {
        let limit = ReadLimit(Arc::new(AtomicUsize::new(usize::MAX)));
        let stream = LimitedStream {
            inner,
            limit: limit.clone(),
        };
        (stream, limit)
    }
}

impl<S: Read + Unpin> Read for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let permitted = self.limit.0.load(Ordering::Relaxed);
        if permitted == 0 {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let length = buf.len().min(permitted).min(MAX_READ_BYTES);
        let result = Pin::new(&mut self.inner).poll_read(cx, &mut buf[..length]);
        if let (Poll::Ready(Ok(count)), false) = (&result, permitted == usize::MAX) {
            // The limit may have been replaced meanwhile, which must not be undone.
            let rest = permitted - count;
            let (success, failure) = (Ordering::Relaxed, Ordering::Relaxed);
            let _ = (self.limit.0).compare_exchange(permitted, rest, success, failure);
        }
        result
    }
}

impl<S: Write + Unpin> Write for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
