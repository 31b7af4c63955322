//! Bodies forwarded by a daemon: small ones are buffered, larger ones are streamed.

use bytes::{Bytes, BytesMut};
use futures::channel::mpsc;
use futures::future::{BoxFuture, FutureExt};
use futures::stream::Stream;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::any::Any;
use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Bytes of a body that are buffered before it is forwarded. A body within this limit can be sent
/// again.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Observes how a body is passed on. It is dropped with the body, without `on_end` if that is not
/// complete.
pub(crate) trait BodyObserver: Send {
    /// Time to wait before the next piece of this size is passed on. Called once for each piece.
    fn wait_before_piece(&mut self, bytes: u64) -> Duration;
    /// These bytes are passed on.
    fn on_data(&mut self, bytes: u64);
    /// The last bytes have been passed on.
    fn on_end(&mut self);
}

/// How the source of a streamed body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SourceEnd {
    /// All of the body was received.
    Complete,
    /// The connection to the sender failed before.
    Broken,
}

type SourceEndListener = Box<dyn FnOnce(SourceEnd) + Send>;

/// Chunks of a caller's body that wait to be forwarded; each is at most one read of its connection.
const FEED_CHUNKS: usize = 2;

/// The same for responses of bulk routes at the executor. A response within the limit frees the slot of
/// its backend server at once; with the smaller limit, downloads that wait for the link held the
/// slots of nested lookups. 40 of them take 10 MB.
pub(crate) const MAX_BUFFERED_BULK_BYTES: usize = 256 << 10;

/// Largest piece of an observed body. The observer learns of a piece once the connection has room for
/// it, so that smaller ones follow the link more closely.
pub(crate) const OBSERVED_PIECE_BYTES: usize = 16 << 10;

/// A body: the bytes buffered so far and the stream of the rest.
#[derive(Default)]
pub(crate) struct ForwardBody {
    head: Bytes,
    rest: Option<BodySource>,
    /// Dropped when the body ends.
    guard: Option<Box<dyn Any + Send>>,
    /// Bytes that may still be forwarded; more are an error, [`BodyError::TooLarge`].
    limit: Option<u64>,
    deadline: Option<BodyDeadline>,
    observer: Option<Box<dyn BodyObserver>>,
    /// Called once the source ends; not if the body is dropped before.
    on_source_end: Option<SourceEndListener>,
    /// Wait before the piece at the start of `head`.
    pause: Option<BoxFuture<'static, ()>>,
}

/// Where the rest of a body comes from.
enum BodySource {
    /// A connection served by hyper.
    Incoming(Incoming),
    /// A caller's connection.
    Fed(FedBody),
}

/// A body whose bytes arrive through a channel.
struct FedBody {
    chunks: mpsc::Receiver<Result<Bytes, BodyError>>,
    /// Bytes still to be received, if the sender stated the length.
    length: Option<u64>,
    is_wanted: Arc<AtomicBool>,
}

/// Sends the bytes of a [`ForwardBody::fed`]. An empty chunk ends the body; if the feed is dropped
/// before, the body fails with [`BodyError::Malformed`].
pub(crate) struct BodyFeed {
    pub(crate) chunks: mpsc::Sender<Result<Bytes, BodyError>>,
    /// Whether the body was read at least once.
    pub(crate) is_wanted: Arc<AtomicBool>,
}

impl BodySource {
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self {
            BodySource::Incoming(incoming) => {
                Pin::new(incoming).poll_frame(cx).map_err(BodyError::Broken)
            }
            BodySource::Fed(fed) => {
                fed.is_wanted.store(true, Ordering::Relaxed);
                match std::task::ready!(Pin::new(&mut fed.chunks).poll_next(cx)) {
                    Some(Ok(data)) if data.is_empty() => {
                        fed.length = Some(0);
                        Poll::Ready(None)
                    }
                    Some(Ok(data)) => {
                        if let Some(length) = &mut fed.length {
                            *length = length.saturating_sub(data.len() as u64);
                        }
                        Poll::Ready(Some(Ok(Frame::data(data))))
                    }
                    Some(Err(error)) => Poll::Ready(Some(Err(error))),
                    None if fed.length == Some(0) => Poll::Ready(None),
                    None => Poll::Ready(Some(Err(BodyError::Malformed))),
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            BodySource::Incoming(incoming) => incoming.is_end_stream(),
            BodySource::Fed(fed) => fed.length == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            BodySource::Incoming(incoming) => incoming.size_hint(),
            BodySource::Fed(fed) => fed.length.map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// End of the time in which a streamed body may be forwarded.
struct BodyDeadline {
    timer: BoxFuture<'static, ()>,
    on_expiry: Option<Box<dyn FnOnce() + Send>>,
}

impl fmt::Debug for ForwardBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rest = self.rest.is_some();
        write!(f, "ForwardBody({} bytes, more: {rest})", self.head.len())
    }
}

/// Why a body ended early.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// The connection to the sender failed.
    Broken(hyper::Error),
    /// The caller's connection ended or sent bytes that are not a body.
    Malformed,
    /// The body exceeds its limit.
    TooLarge,
    /// The body was not complete at its deadline.
    TimedOut,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::Broken(error) => write!(f, "body ended early: {error}"),
            BodyError::Malformed => write!(f, "body is incomplete or malformed"),
            BodyError::TooLarge => write!(f, "body exceeds the size limit"),
            BodyError::TimedOut => write!(f, "body is not complete at its deadline"),
        }
    }
}

impl std::error::Error for BodyError {}

impl ForwardBody {
    /// Creates a complete body from bytes.
    pub(crate) fn from_bytes(bytes: impl Into<Bytes>) -> Self {
        ForwardBody {
            head: bytes.into(),
            ..Default::default()
        }
    }

    /// Creates a body whose bytes the returned feed sends. `length` is the number of bytes, if known.
    pub(crate) fn fed(length: Option<u64>) -> (Self, BodyFeed) {
        let (sender, chunks) = mpsc::channel(FEED_CHUNKS);
        let is_wanted = Arc::new(AtomicBool::new(false));
        let feed = BodyFeed {
            chunks: sender,
            is_wanted: Arc::clone(&is_wanted),
        };
        let fed = FedBody {
            chunks,
            length,
            is_wanted,
        };
        let body = ForwardBody {
            rest: Some(BodySource::Fed(fed)),
            ..Default::default()
        };
        (body, feed)
    }

    /// Reads a body to its end, or until at least [`MAX_BUFFERED_BYTES`] are buffered.
    pub(crate) async fn read(incoming: Incoming) -> Result<Self, BodyError> {
        ForwardBody::read_up_to(incoming, MAX_BUFFERED_BYTES).await
    }

    /// Reads a body to its end, or until at least `max_bytes` are buffered.
    pub(crate) async fn read_up_to(
        incoming: Incoming,
        max_bytes: usize,
    ) -> Result<Self, BodyError> {
        let mut body = ForwardBody {
            rest: Some(BodySource::Incoming(incoming)),
            ..Default::default()
        };
        body.buffer_up_to(max_bytes).await?;
        Ok(body)
    }

    /// Reads the rest of a body that has not been read, as [`ForwardBody::read`] does.
    pub(crate) async fn buffer(&mut self) -> Result<(), BodyError> {
        self.buffer_up_to(MAX_BUFFERED_BYTES).await
    }

    async fn buffer_up_to(&mut self, max_bytes: usize) -> Result<(), BodyError> {
        let Some(mut rest) = self.rest.take() else {
            return Ok(());
        };
        let mut first_chunk: Option<Bytes> = None;
        let mut joined = BytesMut::new();
        while !rest.is_end_stream() {
            let frame = match poll_fn(|cx| rest.poll_data(cx)).await {
                Some(frame) => frame?,
                None => break,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if first_chunk.is_none() {
                first_chunk = Some(data);
            } else {
                if joined.is_empty() {
                    // Growth by doubling would take up to twice the limit.
                    let rest_bytes = usize::try_from(rest.size_hint().lower()).unwrap_or(max_bytes);
                    let read = first_chunk.as_ref().map_or(0, Bytes::len) + data.len();
                    joined.reserve(read + rest_bytes.min(max_bytes));
                    joined.extend_from_slice(first_chunk.as_deref().unwrap_or_default());
                }
                joined.extend_from_slice(&data);
            }
            let length = joined.len().max(first_chunk.as_ref().map_or(0, Bytes::len));
            if length >= max_bytes && !rest.is_end_stream() {
                self.rest = Some(rest);
                break;
            }
        }
        self.head = assemble(first_chunk, joined);
        Ok(())
    }

    /// The complete body, if all of it is buffered.
    pub(crate) fn bytes(&self) -> Option<&Bytes> {
        self.rest.is_none().then_some(&self.head)
    }

    /// The buffered bytes: all of a small body, the first part of a streamed one.
    pub(crate) fn buffered(&self) -> &[u8] {
        &self.head
    }

    /// Number of buffered bytes: all of a small body, the first part of a streamed one.
    pub(crate) fn buffered_length(&self) -> u64 {
        self.head.len() as u64
    }

    /// Keeps `guard` alive until the end of the body.
    pub(crate) fn attach_guard(&mut self, guard: impl Any + Send) {
        self.guard = Some(Box::new(guard));
    }

    /// Sets the observer of a body.
    pub(crate) fn set_observer(&mut self, observer: impl BodyObserver + 'static) {
        self.observer = Some(Box::new(observer));
    }

    /// Sets what is called once the source of a streamed body ends.
    pub(crate) fn set_source_end_listener(
        &mut self,
        listener: impl FnOnce(SourceEnd) + Send + 'static,
    ) {
        self.on_source_end = Some(Box::new(listener));
    }

    fn source_ended(&mut self, end: SourceEnd) {
        if let Some(listener) = self.on_source_end.take() {
            listener(end);
        }
    }

    /// Notifies the observer of the end if there is nothing left to pass on. The last piece of a
    /// body may be known to be the last, and the body is then not polled again.
    fn notify_if_ended(&mut self) {
        if self.is_end_stream() {
            self.source_ended(SourceEnd::Complete);
            if let Some(mut observer) = self.observer.take() {
                observer.on_end();
            }
        }
    }

    /// Waits until the observer lets the next piece pass.
    fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(observer) = self.observer.as_mut() else {
            return Poll::Ready(());
        };
        if self.pause.is_none() {
            let bytes = self.head.len().min(OBSERVED_PIECE_BYTES) as u64;
            let wait = observer.wait_before_piece(bytes);
            if wait.is_zero() {
                return Poll::Ready(());
            }
            self.pause = Some(async_std::task::sleep(wait).boxed());
        }
        if let Some(pause) = self.pause.as_mut() {
            std::task::ready!(pause.poll_unpin(cx));
        }
        self.pause = None;
        Poll::Ready(())
    }

    /// Makes a streamed body fail with [`BodyError::TimedOut`] at the deadline, after `on_expiry`.
    pub(crate) fn set_deadline(&mut self, at: Instant, on_expiry: impl FnOnce() + Send + 'static) {
        if self.rest.is_some() {
            let time_left = at.saturating_duration_since(Instant::now());
            self.deadline = Some(BodyDeadline {
                timer: async_std::task::sleep(time_left).boxed(),
                on_expiry: Some(Box::new(on_expiry)),
            });
        }
    }

    /// Whether a streamed body has passed its deadline; registers the task for it otherwise.
    pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> bool {
        self.rest.is_some() && self.is_expired(cx)
    }

    /// Whether the deadline has passed; registers the task for it otherwise.
    fn is_expired(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(deadline) = self.deadline.as_mut() else {
            return false;
        };
        // A completed timer must not be polled again.
        if deadline.on_expiry.is_some() && deadline.timer.poll_unpin(cx).is_pending() {
            return false;
        }
        if let Some(on_expiry) = deadline.on_expiry.take() {
            on_expiry();
        }
        true
    }

    /// Makes the body fail with [`BodyError::TooLarge`] beyond `limit` bytes.
    pub(crate) fn set_limit(&mut self, limit: u64) {
        self.limit = Some(limit);
    }
}

fn assemble(first_chunk: Option<Bytes>, joined: BytesMut) -> Bytes {
    if joined.is_empty() {
        first_chunk.unwrap_or_default()
    } else {
        joined.freeze()
    }
}

impl Body for ForwardBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.rest.is_some() && self.is_expired(cx) {
            return Poll::Ready(Some(Err(BodyError::TimedOut)));
        }
        if self.head.is_empty() {
            let Some(rest) = self.rest.as_mut() else {
                self.guard = None;
                return Poll::Ready(None);
            };
            match rest.poll_data(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    self.rest = None;
                    self.guard = None;
                    self.notify_if_ended();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    self.source_ended(SourceEnd::Broken);
                    return Poll::Ready(Some(Err(error)));
                }
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => self.head = data,
                    Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
                },
            }
        }
        std::task::ready!(self.poll_pause(cx));
        let mut data = std::mem::take(&mut self.head);
        if self.observer.is_some() && data.len() > OBSERVED_PIECE_BYTES {
            self.head = data.split_off(OBSERVED_PIECE_BYTES);
        }
        if let Some(limit) = self.limit {
            let Some(remaining) = limit.checked_sub(data.len() as u64) else {
                return Poll::Ready(Some(Err(BodyError::TooLarge)));
            };
            self.limit = Some(remaining);
        }
        if let Some(observer) = self.observer.as_mut() {
            observer.on_data(data.len() as u64);
        }
        self.notify_if_ended();
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.head.is_empty() && self.rest.as_ref().is_none_or(BodySource::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let head = self.head.len() as u64;
        let rest = match &self.rest {
            Some(rest) => rest.size_hint(),
            None => SizeHint::with_exact(0),
        };
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + head);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + head);
        }
        hint
    }
}
