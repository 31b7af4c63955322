//! Order of the requests on one caller's connection.
//!
//! Load pattern: callers write several safe requests at once and wait for all responses. Served one
//! after the other, six of them take the sum of their run times instead of the longest one.
//!
//! Idempotent requests run concurrently and are answered in order. A non-idempotent request starts
//! when all requests before it are answered, and no request behind it starts before its response
//! has been sent. Behind a response that closes the connection, requests count as not read.
//!
//! A large response may break off after its beginning has been sent, and the connection ends with it. No
//! request starts behind one that is expected or known to have such a response: it would run without an answer.

use std::collections::VecDeque;

/// Requests of one connection that are read and not answered. Callers pipeline up to about ten.
pub const MAX_PIPELINED: usize = 16;
/// Requests of one connection that run at once, so that a caller with a long pipeline does not
/// crowd out callers with one request.
pub const MAX_RUNNING: usize = 6;
/// Bytes of heads and buffered bodies of requests that are not answered. The limit for one head is
/// separate: a connection without requests reads any head.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes of responses that wait for their turn. At the bound no request is read or started; those
/// that run may add [`LARGE_RESPONSE_BYTES`] each.
pub const MAX_HELD_BYTES: usize = 256 << 10;
/// Size from which a response is not buffered whole: it occupies its slot until its turn.
pub const LARGE_RESPONSE_BYTES: usize = 64 << 10;

/// Number of a request on its connection.
pub type PipelineId = u64;

/// What may run beside a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Runs beside the requests before and behind it.
    Idempotent,
    /// Idempotent, and its response is expected to be large: runs beside the requests before it.
    Bulk,
    /// Runs alone.
    NonIdempotent,
}

/// What the connection has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PipelineAction {
    /// Run the request.
    Start(PipelineId),
    /// Send the response; with `closes`, state that the connection closes after it.
    Send {
        /// The request that the response belongs to.
        id: PipelineId,
        /// Whether the connection closes after this response.
        closes: bool,
    },
    /// Keep the response until its turn.
    Hold(PipelineId),
    /// Drop the request and its response.
    Cancel(PipelineId),
    /// Close the connection.
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Running,
    Ready { held_bytes: usize, closes: bool },
    Sending { closes: bool, is_large: bool },
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    id: PipelineId,
    kind: RequestKind,
    head_bytes: usize,
    state: State,
}

impl Entry {
    fn has_large_response(&self) -> bool {
        match self.state {
            State::Ready { held_bytes, .. } => held_bytes >= LARGE_RESPONSE_BYTES,
            State::Sending { is_large, .. } => is_large,
            State::Waiting | State::Running => false,
        }
    }

    /// Whether the requests behind it wait for its response.
    fn is_barrier(&self) -> bool {
        self.kind != RequestKind::Idempotent || self.has_large_response()
    }
}

/// State of one connection.
///
/// Invariants: at most the first entry is being sent; entries behind a response that closes are
/// removed; an entry behind a bulk or a non-idempotent one is waiting or refused.
#[derive(Debug, Default)]
pub struct Pipeline {
    entries: VecDeque<Entry>,
    /// No further head is read.
    is_ended: bool,
    /// The last response closes the connection, and nothing is read behind a request.
    is_stopping: bool,
    is_closed: bool,
}

impl Pipeline {
    /// Whether another head may be read; otherwise reading pauses.
    pub fn wants_head(&self) -> bool {
        let head_bytes: usize = self.entries.iter().map(|entry| entry.head_bytes).sum();
        let is_behind_last = self.is_stopping && !self.entries.is_empty();
        !self.is_ended
            && !is_behind_last
            && self.entries.len() < MAX_PIPELINED
            && head_bytes < MAX_HEAD_BYTES
            && self.held_bytes() < MAX_HELD_BYTES
    }

    /// Whether no request is outstanding.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether all requests before this one are answered.
    pub fn is_first(&self, id: PipelineId) -> bool {
        self.entries.front().is_some_and(|entry| entry.id == id)
    }

    /// A request was read. Ids ascend.
    pub fn head_read(
        &mut self,
        id: PipelineId,
        kind: RequestKind,
        head_bytes: usize,
    ) -> Vec<PipelineAction> {
        self.push(id, kind, head_bytes, State::Waiting);
        self.advance()
    }

    /// Bytes that are not a request were read; their refusal closes the connection in its turn.
    pub fn head_refused(&mut self, id: PipelineId) -> Vec<PipelineAction> {
        self.is_ended = true;
        let closes = true;
        let held_bytes = 0;
        let state = State::Ready { held_bytes, closes };
        self.push(id, RequestKind::Idempotent, 0, state);
        self.advance()
    }

    /// The response to a request is ready, with `held_bytes` of it in memory. Ignored if the request
    /// was cancelled.
    pub fn response_ready(
        &mut self,
        id: PipelineId,
        held_bytes: usize,
        closes: bool,
    ) -> Vec<PipelineAction> {
        let Some(at) = self.entries.iter().position(|entry| entry.id == id) else {
            return Vec::new();
        };
        self.entries[at].state = State::Ready { held_bytes, closes };
        let mut actions = Vec::new();
        if closes {
            self.is_ended = true;
            self.cancel_behind(at, &mut actions);
        }
        if at > 0 {
            actions.push(PipelineAction::Hold(id));
        }
        actions.append(&mut self.advance());
        actions
    }

    /// The response to the first request was written to the connection completely.
    pub fn response_sent(&mut self, id: PipelineId) -> Vec<PipelineAction> {
        let Some(first) = self.entries.front().filter(|entry| entry.id == id) else {
            return Vec::new();
        };
        let closes = matches!(first.state, State::Sending { closes: true, .. });
        self.entries.pop_front();
        if closes {
            return self.close();
        }
        self.advance()
    }

    /// The caller's connection failed.
    pub fn caller_reset(&mut self) -> Vec<PipelineAction> {
        self.close()
    }

    /// The caller sends nothing more, or what it sends cannot be read. Outstanding requests are
    /// answered, then the connection closes.
    pub fn input_ended(&mut self) -> Vec<PipelineAction> {
        self.is_ended = true;
        self.advance()
    }

    /// The daemon stops: requests that have started are answered, and the last response closes the
    /// connection. Requests behind them are not forwarded; their callers send them again.
    pub fn stop(&mut self) -> Vec<PipelineAction> {
        self.is_stopping = true;
        let is_waiting = |entry: &Entry| entry.state == State::Waiting;
        let is_sending = |entry: &Entry| matches!(entry.state, State::Sending { .. });
        let mut actions = Vec::new();
        if let Some(last_started) = self.entries.iter().skip(1).position(is_waiting) {
            // A response that is being sent does not state the close, so one more request is served.
            let last = last_started + usize::from(is_sending(&self.entries[last_started]));
            self.cancel_behind(last, &mut actions);
        }
        actions
    }

    fn push(&mut self, id: PipelineId, kind: RequestKind, head_bytes: usize, state: State) {
        if !self.is_closed {
            self.entries.push_back(Entry {
                id,
                kind,
                head_bytes,
                state,
            });
        }
    }

    fn held_bytes(&self) -> usize {
        let held = |entry: &Entry| match entry.state {
            State::Ready { held_bytes, .. } => held_bytes.min(LARGE_RESPONSE_BYTES),
            _ => 0,
        };
        self.entries.iter().map(held).sum()
    }

    /// Requests that occupy a slot of a backend server.
    fn running(&self) -> usize {
        let is_running = |entry: &&Entry| match entry.state {
            State::Running => true,
            State::Ready { .. } => entry.has_large_response(),
            State::Waiting | State::Sending { .. } => false,
        };
        self.entries.iter().filter(is_running).count()
    }

    fn cancel_behind(&mut self, at: usize, actions: &mut Vec<PipelineAction>) {
        let cancelled = self.entries.drain(at + 1..);
        actions.extend(cancelled.map(|entry| PipelineAction::Cancel(entry.id)));
    }

    fn close(&mut self) -> Vec<PipelineAction> {
        if std::mem::replace(&mut self.is_closed, true) {
            return Vec::new();
        }
        self.is_ended = true;
        let cancelled = self.entries.drain(..);
        let mut actions: Vec<_> = cancelled
            .map(|entry| PipelineAction::Cancel(entry.id))
            .collect();
        actions.push(PipelineAction::Close);
        actions
    }

    fn advance(&mut self) -> Vec<PipelineAction> {
        if self.entries.is_empty() && self.is_ended {
            return self.close();
        }
        let mut actions = Vec::new();
        self.send_first(&mut actions);
        self.start_waiting(&mut actions);
        actions
    }

    fn send_first(&mut self, actions: &mut Vec<PipelineAction>) {
        let is_last = (self.is_stopping || self.is_ended) && self.entries.len() == 1;
        let Some(first) = self.entries.front_mut() else {
            return;
        };
        let State::Ready { closes, .. } = first.state else {
            return;
        };
        let closes = closes || is_last;
        let is_large = first.has_large_response();
        first.state = State::Sending { closes, is_large };
        let id = first.id;
        if closes {
            self.is_ended = true;
            self.cancel_behind(0, actions);
        }
        actions.push(PipelineAction::Send { id, closes });
    }

    fn start_waiting(&mut self, actions: &mut Vec<PipelineAction>) {
        let mut running = self.running();
        let is_full = self.held_bytes() >= MAX_HELD_BYTES;
        for (at, entry) in self.entries.iter_mut().enumerate() {
            let may_start = entry.kind != RequestKind::NonIdempotent || at == 0;
            if entry.state == State::Waiting {
                if !may_start || running >= MAX_RUNNING || (is_full && at > 0) {
                    return;
                }
                entry.state = State::Running;
                running += 1;
                actions.push(PipelineAction::Start(entry.id));
            }
            if entry.is_barrier() {
                return;
            }
        }
    }
}
