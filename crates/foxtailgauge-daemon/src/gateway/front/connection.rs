//! One caller's connection: reads requests, runs them as `Pipeline` decides, and writes their
//! responses. One task drives all of it, so dropping it cancels all requests.

use crate::gateway::forward_refusal::{refusal_response, Refusal};
use crate::gateway::front::body_reader::{BodyPart, BodyReader};
use crate::gateway::front::request::{poll_caught, Entry, IncomingBody, Responder, Stage};
use crate::gateway::front::request_head::{
    has_token, BodyFraming, HeadError, HeadReader, RequestHead,
};
use crate::gateway::front::response_writer::{
    ResponseContext, ResponseWriter, CONTINUE, RESPONSE_START,
};
use crate::hop::forward_body::{BodyError, BodyFeed, ForwardBody, MAX_BUFFERED_BYTES};
use crate::meter::{ByteCounters, MeteredStream};
use crate::socket::has_input_end;
use crate::stop::StopState;
use async_std::net::TcpStream;
use bytes::{Buf, Bytes, BytesMut};
use foxtailgauge_core::{Pipeline, PipelineAction, PipelineId, RequestKind, LARGE_RESPONSE_BYTES};
use futures::future::{BoxFuture, FutureExt};
use futures::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use hyper::header::CONNECTION;
use hyper::{Method, Request, Version};
use rustix::net::sockopt::{set_socket_linger, socket_error};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Bytes of one read.
const READ_BYTES: usize = 8 << 10;
/// Bytes of a response that are buffered for writing before more of its body is read.
const WRITE_BYTES: usize = 64 << 10;
/// Interval at which an idle connection is checked against the timeouts of the configuration, which
/// are in the range of seconds.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The same while the connection is not read: it reports its failure only when asked, and requests
/// are to be cancelled within 500 ms.
const PAUSED_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time until the first check after the end of the input: the caller's system needs one round trip
/// to report that nobody reads the responses.
const INPUT_END_CHECK_DELAY: Duration = Duration::from_millis(10);
/// Time for which bytes are discarded after the last response. Closing a connection with unread
/// bytes resets it, which may discard the response at the caller.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// After a response, or while idle.
    Closed,
    /// It failed, or a response is incomplete.
    Broken,
}

/// Invariant: `entries` and `pipeline` hold the same requests in the same order.
struct Connection<R> {
    responder: Arc<R>,
    stream: MeteredStream<TcpStream>,
    socket: TcpStream,
    inbox: BytesMut,
    out: BytesMut,
    heads: HeadReader,
    body: Option<IncomingBody>,
    pipeline: Pipeline,
    entries: VecDeque<Entry>,
    next_id: PipelineId,
    end: Option<End>,
    /// Whether nothing more of the input is read as requests.
    is_input_ended: bool,
    /// Whether the caller has closed its sending direction.
    is_eof: bool,
    /// End of the drain, once the daemon stops.
    drain_end: Option<Instant>,
    /// Whether the connection is not read.
    is_paused: bool,
    /// Whether the first bytes of the next response are written already.
    is_start_written: bool,
    /// Time of the last write.
    active_at: Instant,
    /// When the first byte of an incomplete head arrived.
    head_since: Option<Instant>,
    timer: BoxFuture<'static, ()>,
}

/// Serves a connection until it ends.
pub(crate) async fn serve<R: Responder>(
    responder: Arc<R>,
    socket: TcpStream,
    counters: ByteCounters,
) {
    let mut connection = Connection {
        responder,
        stream: MeteredStream::new(socket.clone(), counters),
        socket,
        inbox: BytesMut::new(),
        out: BytesMut::new(),
        heads: HeadReader::default(),
        body: None,
        pipeline: Pipeline::default(),
        entries: VecDeque::new(),
        next_id: 0,
        end: None,
        is_input_ended: false,
        is_eof: false,
        drain_end: None,
        is_paused: false,
        is_start_written: false,
        active_at: Instant::now(),
        head_since: None,
        timer: async_std::task::sleep(IDLE_CHECK_INTERVAL).boxed(),
    };
    let end = poll_fn(|cx| connection.poll(cx)).await;
    if end == End::Closed && !connection.is_eof {
        connection.linger().await;
    }
}

impl<R: Responder> Connection<R> {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<End> {
        loop {
            self.observe_stop();
            let mut has_progress = self.poll_runs(cx);
            has_progress |= self.poll_write(cx);
            has_progress |= self.read_inbox(cx);
            has_progress |= self.poll_timer(cx);
            has_progress |= self.end_at_drain_end();
            if let Some(end) = self.end {
                return Poll::Ready(end);
            }
            if !has_progress && !self.poll_read(cx) {
                return Poll::Pending;
            }
        }
    }

    fn observe_stop(&mut self) {
        let drain_end = self.responder.stop().and_then(StopState::drain_end);
        if self.drain_end.is_none() && drain_end.is_some() {
            self.drain_end = drain_end;
            let actions = self.pipeline.stop();
            self.apply(actions);
            self.timer = async_std::task::sleep(self.check_interval()).boxed();
        }
    }

    /// Breaks off a streamed response that is not complete at the end of the drain, and closes a
    /// connection without requests: the process may end before it reads another one.
    fn end_at_drain_end(&mut self) -> bool {
        let stop = self.responder.stop().filter(|stop| stop.is_drained());
        let (Some(stop), None) = (stop, self.end) else {
            return false;
        };
        if self.pipeline.is_empty() {
            self.end = Some(End::Closed);
            return true;
        }
        if !self.entries.front().is_some_and(Entry::is_streaming) {
            return false;
        }
        stop.record_cut(self.entries.len());
        self.break_off(&BodyError::TimedOut);
        true
    }

    fn apply(&mut self, actions: Vec<PipelineAction>) {
        for action in actions {
            match action {
                PipelineAction::Start(id) => self.start(id),
                PipelineAction::Send { id, closes } => self.send(id, closes),
                PipelineAction::Hold(_) => {}
                PipelineAction::Cancel(id) => self.entries.retain(|entry| entry.id != id),
                PipelineAction::Close => self.end = self.end.or(Some(End::Closed)),
            }
        }
    }

    fn start(&mut self, id: PipelineId) {
        let Some(entry) = self.entries.iter_mut().find(|entry| entry.id == id) else {
            return;
        };
        match std::mem::replace(&mut entry.stage, Stage::Moved) {
            Stage::Waiting(request) => {
                let responder = Arc::clone(&self.responder);
                let responding = responder.respond(*request, entry.read_at, &self.socket);
                entry.stage = Stage::Running(responding);
            }
            stage => entry.stage = stage,
        }
    }

    fn send(&mut self, id: PipelineId, closes: bool) {
        let Some(entry) = self.entries.iter_mut().find(|entry| entry.id == id) else {
            return;
        };
        match std::mem::replace(&mut entry.stage, Stage::Moved) {
            Stage::Ready(response) => {
                let context = ResponseContext {
                    is_head_request: entry.is_head_request,
                    is_http_10: entry.is_http_10,
                    closes,
                    is_started: std::mem::take(&mut self.is_start_written),
                };
                let writer = ResponseWriter::start(*response, context, &mut self.out);
                entry.stage = Stage::Sending {
                    writer: Box::new(writer),
                    is_complete: false,
                };
            }
            stage => entry.stage = stage,
        }
    }

    /// Polls the running requests and the deadlines of responses that wait for their turn.
    fn poll_runs(&mut self, cx: &mut Context<'_>) -> bool {
        let mut ready = Vec::new();
        for entry in &mut self.entries {
            let response = match &mut entry.stage {
                Stage::Running(running) => poll_caught(running, cx),
                Stage::Ready(response) => {
                    let is_expired = response.body_mut().poll_expired(cx);
                    is_expired.then(|| refusal_response(&Refusal::TimedOut))
                }
                _ => None,
            };
            if let Some(response) = response {
                let body = response.body();
                let held_bytes = match body.bytes() {
                    Some(bytes) => bytes.len(),
                    None => LARGE_RESPONSE_BYTES.max(body.buffered_length() as usize),
                };
                let closes = has_token(response.headers(), &CONNECTION, "close");
                entry.stage = Stage::Ready(Box::new(response));
                ready.push((entry.id, held_bytes, closes));
            }
        }
        let has_progress = !ready.is_empty();
        for (id, held_bytes, closes) in ready {
            // The caller may be sending the rest of its body for a long time.
            let is_body_unread = self
                .body
                .as_ref()
                .is_some_and(|body| body.id == id && !body.reader.is_end());
            let closes = closes || is_body_unread;
            let actions = self.pipeline.response_ready(id, held_bytes, closes);
            self.apply(actions);
        }
        has_progress
    }

    /// Writes the response whose turn it is.
    fn poll_write(&mut self, cx: &mut Context<'_>) -> bool {
        let mut has_progress = self.write_continue();
        while self.end != Some(End::Broken) {
            let is_blocked = self.out.len() >= WRITE_BYTES;
            let polled = match self.entries.front_mut().map(|entry| &mut entry.stage) {
                Some(Stage::Sending {
                    writer,
                    is_complete,
                }) if !*is_complete && !is_blocked => match writer.poll_body(cx, &mut self.out) {
                    Poll::Ready(Ok(is_end)) => {
                        *is_complete = is_end;
                        has_progress = true;
                        continue;
                    }
                    Poll::Ready(Err(error)) => {
                        self.break_off(&error);
                        return true;
                    }
                    Poll::Pending => false,
                },
                Some(Stage::Sending { is_complete, .. }) => *is_complete,
                _ => false,
            };
            if !self.out.is_empty() {
                match Pin::new(&mut self.stream).poll_write(cx, &self.out) {
                    Poll::Ready(Ok(count)) if count > 0 => {
                        self.out.advance(count);
                        self.active_at = Instant::now();
                        has_progress = true;
                        continue;
                    }
                    Poll::Ready(_) => {
                        self.reset();
                        return true;
                    }
                    Poll::Pending => return self.poll_blocked(cx) || has_progress,
                }
            }
            if !polled {
                return has_progress;
            }
            if let Some(entry) = self.entries.pop_front() {
                let actions = self.pipeline.response_sent(entry.id);
                drop(entry);
                self.apply(actions);
                has_progress = true;
            }
            if self.end.is_some() {
                return true;
            }
        }
        has_progress
    }

    /// Ends the connection if the caller does not read a streamed response before its deadline.
    fn poll_blocked(&mut self, cx: &mut Context<'_>) -> bool {
        let is_expired = match self.entries.front_mut().map(|entry| &mut entry.stage) {
            Some(Stage::Sending {
                writer,
                is_complete: false,
            }) => writer.poll_expired(cx),
            _ => false,
        };
        if is_expired {
            self.break_off(&BodyError::TimedOut);
        }
        is_expired
    }

    /// Answers `Expect: 100-continue` once the body is wanted and no response stands before it.
    fn write_continue(&mut self) -> bool {
        let Some(body) = &mut self.body else {
            return false;
        };
        let is_wanted = |feed: &BodyFeed| feed.is_wanted.load(Ordering::Relaxed);
        let is_due = body.expects_continue
            && !self.is_start_written
            && self.inbox.is_empty()
            && body.feed.as_ref().is_some_and(is_wanted)
            && self.pipeline.is_first(body.id);
        if is_due {
            body.expects_continue = false;
            self.out.extend_from_slice(CONTINUE);
        }
        is_due
    }

    /// A response cannot be completed. Callers detect it by the missing bytes; one whose end is that
    /// of the connection needs a reset.
    fn break_off(&mut self, _error: &BodyError) {
        let is_http_10 = self.entries.front().is_some_and(|entry| entry.is_http_10);
        if is_http_10 {
            // Without the reset the caller gets the close alone.
            let _ = set_socket_linger(&self.socket, Some(Duration::ZERO));
        }
        self.reset();
    }

    fn reset(&mut self) {
        self.end = Some(End::Broken);
        let actions = self.pipeline.caller_reset();
        self.apply(actions);
    }

    /// Takes bodies and heads from the bytes read.
    fn read_inbox(&mut self, cx: &mut Context<'_>) -> bool {
        let mut has_progress = false;
        while self.end.is_none() {
            let is_read = match self.body.is_some() {
                true => self.read_body(cx),
                false => self.read_head(),
            };
            if !is_read {
                break;
            }
            has_progress = true;
        }
        has_progress
    }

    fn read_body(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(body) = &mut self.body else {
            return false;
        };
        if let Some(feed) = &mut body.feed {
            match feed.chunks.poll_ready(cx) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(_)) => body.feed = None,
                Poll::Pending => return false,
            }
        }
        let chunk = match body.reader.read(&mut self.inbox) {
            Ok(BodyPart::Data(data)) => Ok(data),
            Ok(BodyPart::End) => Ok(Bytes::new()),
            Ok(BodyPart::Incomplete) if !self.is_input_ended => return false,
            Ok(BodyPart::Incomplete) | Err(_) => Err(BodyError::Malformed),
        };
        let is_malformed = chunk.is_err();
        let is_end = chunk.as_ref().map_or(true, Bytes::is_empty);
        if let Some(feed) = &mut body.feed {
            // It fails if the request ended, which discards the rest.
            let _ = feed.chunks.start_send(chunk);
        }
        if is_end {
            self.body = None;
        }
        if is_malformed {
            self.end_input();
        }
        true
    }

    fn read_head(&mut self) -> bool {
        if self.inbox.is_empty() || self.is_input_ended || !self.pipeline.wants_head() {
            return false;
        }
        match self.heads.read(&mut self.inbox) {
            Ok(Some(head)) => {
                self.accept(head);
                self.head_since = None;
                true
            }
            Ok(None) => {
                if !self.inbox.is_empty() {
                    self.head_since.get_or_insert_with(Instant::now);
                }
                false
            }
            Err(error) => {
                self.refuse(error);
                true
            }
        }
    }

    fn accept(&mut self, head: RequestHead) {
        let RequestHead { parts, framing, .. } = head;
        let id = self.take_id();
        let kind = match head.expects_continue {
            true => RequestKind::NonIdempotent,
            false => self.responder.kind(&parts),
        };
        let body = match framing {
            BodyFraming::Length(0) => ForwardBody::default(),
            BodyFraming::Length(length)
                if length <= self.inbox.len().min(MAX_BUFFERED_BYTES) as u64 =>
            {
                ForwardBody::from_bytes(self.inbox.split_to(length as usize))
            }
            BodyFraming::Length(_) | BodyFraming::Chunked => {
                let length = match framing {
                    BodyFraming::Length(length) => Some(length),
                    BodyFraming::Chunked => None,
                };
                let (body, feed) = ForwardBody::fed(length);
                self.body = Some(IncomingBody {
                    id,
                    reader: BodyReader::new(framing),
                    feed: Some(feed),
                    expects_continue: head.expects_continue,
                });
                body
            }
        };
        let head_bytes = head.bytes + body.buffered_length() as usize;
        self.entries.push_back(Entry {
            id,
            read_at: Instant::now(),
            is_head_request: parts.method == Method::HEAD,
            is_http_10: parts.version == Version::HTTP_10,
            stage: Stage::Waiting(Box::new(Request::from_parts(parts, body))),
            _guard: self.responder.begin(),
        });
        let mut actions = self.pipeline.head_read(id, kind, head_bytes);
        if head.closes {
            actions.append(&mut self.pipeline.input_ended());
        }
        self.apply(actions);
    }

    fn refuse(&mut self, error: HeadError) {
        let id = self.take_id();
        self.entries.push_back(Entry {
            id,
            read_at: Instant::now(),
            is_head_request: false,
            is_http_10: false,
            stage: Stage::Ready(Box::new(self.responder.refuse_head(error))),
            _guard: self.responder.begin(),
        });
        self.inbox.clear();
        let actions = self.pipeline.head_refused(id);
        self.apply(actions);
    }

    fn take_id(&mut self) -> PipelineId {
        self.next_id += 1;
        self.next_id
    }

    /// Whether bytes may be read.
    fn wants_bytes(&self) -> bool {
        !self.is_input_ended && (self.body.is_some() || self.pipeline.wants_head())
    }

    /// Reads bytes once. What was read before has been taken from the inbox as far as possible.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> bool {
        let is_inbox_full = self.body.is_some() && self.inbox.len() >= READ_BYTES;
        let is_paused = !self.wants_bytes() || is_inbox_full;
        let was_paused = std::mem::replace(&mut self.is_paused, is_paused);
        if is_paused {
            if !was_paused && !self.is_input_ended {
                self.timer = async_std::task::sleep(PAUSED_CHECK_INTERVAL).boxed();
            }
            // The new timer has to be polled.
            return !was_paused;
        }
        let mut chunk = [0; READ_BYTES];
        match Pin::new(&mut self.stream).poll_read(cx, &mut chunk) {
            Poll::Pending => return false,
            Poll::Ready(Ok(0)) => {
                self.is_eof = true;
                self.end_input();
            }
            Poll::Ready(Ok(count)) => self.inbox.extend_from_slice(&chunk[..count]),
            Poll::Ready(Err(_)) => self.reset(),
        }
        true
    }

    /// The caller sends nothing more. It may still read the responses, or have closed the
    /// connection, which only a write can tell: the first bytes, which all responses share, are
    /// written now, so that the requests of a caller that is gone are cancelled.
    fn end_input(&mut self) {
        self.is_input_ended = true;
        let actions = self.pipeline.input_ended();
        self.apply(actions);
        self.probe_caller();
    }

    /// Writes the first bytes of the next response, unless one is being written. A failure is found
    /// by the next check.
    fn probe_caller(&mut self) {
        let first = self.entries.front().map(|entry| &entry.stage);
        let is_waiting = matches!(first, Some(Stage::Waiting(_) | Stage::Running(_)));
        if is_waiting && !self.is_start_written {
            self.out.extend_from_slice(RESPONSE_START);
            self.is_start_written = true;
        }
        if !self.pipeline.is_empty() {
            self.timer = async_std::task::sleep(INPUT_END_CHECK_DELAY).boxed();
        }
    }

    fn poll_timer(&mut self, cx: &mut Context<'_>) -> bool {
        if self.timer.poll_unpin(cx).is_pending() {
            return false;
        }
        self.timer = async_std::task::sleep(self.check_interval()).boxed();
        if self.is_paused {
            if !matches!(socket_error(&self.socket), Ok(Ok(()))) {
                self.reset();
                return true;
            }
            if !self.is_input_ended && !self.is_start_written && has_input_end(&self.socket) {
                self.probe_caller();
            }
        }
        let limits = self.responder.limits();
        let is_exceeded = |since: Instant, limit_ms: u64| {
            limit_ms > 0 && since.elapsed() > Duration::from_millis(limit_ms)
        };
        match self.head_since {
            Some(since) if is_exceeded(since, limits.header_ms) => {
                self.head_since = None;
                self.inbox.clear();
                let caller = self.socket.peer_addr().map(|addr| addr.to_string());
                self.responder.head_timed_out(caller.ok());
                // Requests before this one are answered first.
                self.is_input_ended = true;
                let actions = self.pipeline.input_ended();
                self.apply(actions);
            }
            None if self.pipeline.is_empty() && is_exceeded(self.active_at, limits.idle_ms) => {
                self.end = Some(End::Closed);
            }
            _ => {}
        }
        true
    }

    /// Time until the next check, which is not later than the end of the drain.
    fn check_interval(&self) -> Duration {
        let interval = match self.is_paused {
            true => PAUSED_CHECK_INTERVAL,
            false => IDLE_CHECK_INTERVAL,
        };
        let now = Instant::now();
        let left = self
            .drain_end
            .and_then(|end| end.checked_duration_since(now));
        left.map_or(interval, |left| left.min(interval))
    }

    /// Closes the sending direction and discards what the caller still sends.
    async fn linger(mut self) {
        let closing = async {
            self.socket.shutdown(Shutdown::Write)?;
            let mut chunk = [0; 1 << 10];
            while self.stream.read(&mut chunk).await? > 0 {}
            std::io::Result::Ok(())
        };
        // The connection is dropped in any case.
        let _ = async_std::future::timeout(LINGER_TIME, closing).await;
    }
}
