//! Order of the requests on one connection of a caller.

use foxtailgauge_core::{
    Pipeline, PipelineAction, RequestKind, LARGE_RESPONSE_BYTES, MAX_HELD_BYTES, MAX_PIPELINED,
    MAX_RUNNING,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use Event::{Broken, Bulk, Ended, Ready, Refused, Safe, Sent, Stop, Unsafe};
use PipelineAction::{Cancel, Close, Hold, Send, Start};

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The head of an idempotent request was read.
    Safe(u64),
    /// The head of an idempotent request was read, whose response is expected to be large.
    Bulk(u64),
    /// The head of a request that is not idempotent was read.
    Unsafe(u64),
    /// Bytes that are no request were read.
    Refused(u64),
    /// A response of some bytes is ready, and whether it closes the connection.
    Ready(u64, usize, bool),
    Sent(u64),
    /// The caller sends nothing more.
    Ended,
    Stop,
    Broken,
}

fn apply(pipeline: &mut Pipeline, event: Event) -> Vec<PipelineAction> {
    match event {
        Safe(id) => pipeline.head_read(id, RequestKind::Idempotent, 100),
        Bulk(id) => pipeline.head_read(id, RequestKind::Bulk, 100),
        Unsafe(id) => pipeline.head_read(id, RequestKind::NonIdempotent, 100),
        Refused(id) => pipeline.head_refused(id),
        Ready(id, bytes, closes) => pipeline.response_ready(id, bytes, closes),
        Sent(id) => pipeline.response_sent(id),
        Ended => pipeline.input_ended(),
        Stop => pipeline.stop(),
        Broken => pipeline.caller_reset(),
    }
}

fn send(id: u64) -> PipelineAction {
    Send { id, closes: false }
}

fn send_last(id: u64) -> PipelineAction {
    Send { id, closes: true }
}

type Step = (Event, Vec<PipelineAction>);

/// Each case guards against a response that is out of order, lost or sent twice, and against a
/// request that runs although it must not.
#[test]
fn actions_after_each_event() {
    let cases: Vec<(&str, Vec<Step>)> = vec![
        (
            "safe requests run together and are answered in order",
            vec![
                (Safe(1), vec![Start(1)]),
                (Safe(2), vec![Start(2)]),
                (Ready(2, 10, false), vec![Hold(2)]),
                (Ready(1, 10, false), vec![send(1)]),
                (Sent(1), vec![send(2)]),
                (Sent(2), vec![]),
                (Safe(3), vec![Start(3)]),
            ],
        ),
        (
            "an unsafe request runs alone",
            vec![
                (Safe(1), vec![Start(1)]),
                (Unsafe(2), vec![]),
                (Safe(3), vec![]),
                (Ready(1, 10, false), vec![send(1)]),
                (Sent(1), vec![Start(2)]),
                (Ready(2, 10, false), vec![send(2)]),
                (Sent(2), vec![Start(3)]),
            ],
        ),
        (
            "no request starts behind a large response until it is sent",
            vec![
                (Safe(1), vec![Start(1)]),
                (Safe(2), vec![Start(2)]),
                (Ready(1, LARGE_RESPONSE_BYTES, false), vec![send(1)]),
                (Safe(3), vec![]),
                (Ready(2, 10, false), vec![Hold(2)]),
                (Sent(1), vec![send(2), Start(3)]),
            ],
        ),
        (
            "no request starts behind a bulk request until it is answered",
            vec![
                (Safe(1), vec![Start(1)]),
                (Bulk(2), vec![Start(2)]),
                (Safe(3), vec![]),
                (Ready(1, 10, false), vec![send(1)]),
                (Sent(1), vec![]),
                (Ready(2, 10, false), vec![send(2)]),
                (Sent(2), vec![Start(3)]),
            ],
        ),
        (
            "a closing response in the middle cancels what stands behind it",
            vec![
                (Safe(1), vec![Start(1)]),
                (Safe(2), vec![Start(2)]),
                (Safe(3), vec![Start(3)]),
                (Ready(2, 10, true), vec![Cancel(3), Hold(2)]),
                (Ready(3, 10, false), vec![]),
                (Ready(1, 10, false), vec![send(1)]),
                (Sent(1), vec![send_last(2)]),
                (Sent(2), vec![Close]),
            ],
        ),
        (
            "a stop answers what has started and closes behind it",
            vec![
                (Safe(1), vec![Start(1)]),
                (Safe(2), vec![Start(2)]),
                (Unsafe(3), vec![]),
                (Safe(4), vec![]),
                (Stop, vec![Cancel(3), Cancel(4)]),
                (Ready(1, 10, false), vec![send(1)]),
                (Sent(1), vec![]),
                (Ready(2, 10, false), vec![send_last(2)]),
                (Sent(2), vec![Close]),
            ],
        ),
        (
            "a stop while a response is sent closes behind the last one that has started",
            vec![
                (Safe(1), vec![Start(1)]),
                (Safe(2), vec![Start(2)]),
                (Unsafe(3), vec![]),
                (Ready(1, 10, false), vec![send(1)]),
                (Stop, vec![Cancel(3)]),
                (Sent(1), vec![]),
                (Ready(2, 10, false), vec![send_last(2)]),
                (Sent(2), vec![Close]),
            ],
        ),
        (
            "a stop while the only response is sent serves one more request",
            vec![
                (Safe(1), vec![Start(1)]),
                (Unsafe(2), vec![]),
                (Unsafe(3), vec![]),
                (Ready(1, 10, false), vec![send(1)]),
                (Stop, vec![Cancel(3)]),
                (Sent(1), vec![Start(2)]),
                (Ready(2, 10, false), vec![send_last(2)]),
                (Sent(2), vec![Close]),
            ],
        ),
        (
            "an idle connection stays open at a stop until its next response",
            vec![
                (Stop, vec![]),
                (Safe(1), vec![Start(1)]),
                (Ready(1, 10, false), vec![send_last(1)]),
            ],
        ),
        (
            "a caller that sends nothing more gets its responses",
            vec![
                (Safe(1), vec![Start(1)]),
                (Unsafe(2), vec![]),
                (Ended, vec![]),
                (Ready(1, 10, false), vec![send(1)]),
                (Sent(1), vec![Start(2)]),
                (Ready(2, 10, false), vec![send_last(2)]),
                (Sent(2), vec![Close]),
            ],
        ),
        (
            "bytes that are no request are refused in their turn",
            vec![
                (Safe(1), vec![Start(1)]),
                (Refused(2), vec![]),
                (Ready(1, 10, false), vec![send(1)]),
                (Sent(1), vec![send_last(2)]),
                (Sent(2), vec![Close]),
            ],
        ),
        (
            "a broken connection cancels all, once",
            vec![
                (Safe(1), vec![Start(1)]),
                (Safe(2), vec![Start(2)]),
                (Ready(1, 10, false), vec![send(1)]),
                (Broken, vec![Cancel(1), Cancel(2), Close]),
                (Ready(2, 10, false), vec![]),
                (Sent(1), vec![]),
                (Broken, vec![]),
            ],
        ),
        ("an idle connection ends", vec![(Ended, vec![Close])]),
    ];
    for (name, steps) in cases {
        let mut pipeline = Pipeline::default();
        for (event, expected) in steps {
            assert_eq!(apply(&mut pipeline, event), expected, "{name}: {event:?}");
        }
    }
}

/// Guards against a connection that is read without bound, or not read again.
#[test]
fn reading_pauses_at_each_bound() {
    // Bytes of heads, bytes of responses that wait, requests read.
    let held = LARGE_RESPONSE_BYTES - 1;
    let cases = [
        ("requests", 100, None, MAX_PIPELINED),
        ("heads", 8 << 10, None, 8),
        ("one large head", 200 << 10, None, 1),
        // Each waits for the first one, which is not ready.
        ("responses", 100, Some(held), MAX_HELD_BYTES / held + 2),
        (
            "large responses",
            100,
            Some(LARGE_RESPONSE_BYTES),
            MAX_HELD_BYTES / LARGE_RESPONSE_BYTES + 1,
        ),
    ];
    for (name, head_bytes, held_bytes, expected) in cases {
        let mut pipeline = Pipeline::default();
        let mut ids = 0;
        while pipeline.wants_head() {
            ids += 1;
            pipeline.head_read(ids, RequestKind::Idempotent, head_bytes);
            if let Some(held_bytes) = held_bytes.filter(|_| ids > 1) {
                pipeline.response_ready(ids, held_bytes, false);
            }
        }
        assert_eq!(ids as usize, expected, "{name}");
        for id in 1..=ids {
            pipeline.response_ready(id, 10, false);
        }
        for id in 1..=ids {
            pipeline.response_sent(id);
        }
        assert!(pipeline.wants_head() && pipeline.is_empty(), "{name}");
    }
}

/// A model of the connection, which checks the rules after each event.
#[derive(Default)]
struct Model {
    pipeline: Pipeline,
    /// Requests that were read.
    read: BTreeMap<u64, RequestKind>,
    /// Those with a large response.
    large: BTreeSet<u64>,
    started: BTreeSet<u64>,
    running: BTreeSet<u64>,
    sending: Option<u64>,
    sent: Vec<u64>,
    cancelled: BTreeSet<u64>,
    is_closed: bool,
}

impl Model {
    fn apply(&mut self, event: Event) {
        for action in apply(&mut self.pipeline, event) {
            assert!(!self.is_closed, "{action:?} behind the close");
            match action {
                Start(id) => {
                    assert!(self.started.insert(id), "{id} starts once");
                    assert!(!self.cancelled.contains(&id));
                    let runs_alone = self.read[&id] == RequestKind::NonIdempotent;
                    let ahead = |(&other, &kind): (&u64, &RequestKind)| {
                        let is_answered = self.sent.contains(&other) || other >= id;
                        let is_large = self.large.contains(&other);
                        is_answered || (kind == RequestKind::Idempotent && !is_large && !runs_alone)
                    };
                    assert!(self.read.iter().all(ahead), "{id} starts too early");
                    self.running.insert(id);
                    assert!(self.running.len() <= MAX_RUNNING);
                }
                Send { id, .. } => {
                    assert_eq!(self.sending.replace(id), None, "one at a time");
                    assert!(self.started.contains(&id));
                    assert!(self.sent.last().is_none_or(|&last| last < id));
                }
                Hold(id) => assert_ne!(self.sending, Some(id)),
                Cancel(id) => {
                    self.running.remove(&id);
                    self.cancelled.insert(id);
                }
                Close => self.is_closed = true,
            }
        }
    }

    /// Applies one of the events that can happen now.
    fn step(&mut self, choice: u8) {
        match choice % 16 {
            0..=5 if self.pipeline.wants_head() => {
                let id = self.read.len() as u64 + 1;
                let (kind, event) = match choice {
                    0..180 => (RequestKind::Idempotent, Safe(id)),
                    180..200 => (RequestKind::Bulk, Bulk(id)),
                    200.. => (RequestKind::NonIdempotent, Unsafe(id)),
                };
                self.read.insert(id, kind);
                self.apply(event);
            }
            6..=9 => {
                let at = usize::from(choice / 16) % self.running.len().max(1);
                if let Some(&id) = self.running.iter().nth(at) {
                    self.running.remove(&id);
                    let bytes = usize::from(choice) << 9;
                    if bytes >= LARGE_RESPONSE_BYTES {
                        self.large.insert(id);
                    }
                    self.apply(Ready(id, bytes, choice == 250));
                }
            }
            10..=13 => {
                if let Some(id) = self.sending.take() {
                    self.sent.push(id);
                    self.apply(Sent(id));
                }
            }
            14 if choice > 220 => self.apply(Stop),
            15 if choice > 220 => self.apply(Ended),
            _ => {}
        }
    }
}

proptest! {
    /// Guards against any order of events that answers out of order, runs a request beside an
    /// unsafe one or behind a large response, exceeds the bound of running requests, or leaves a request without an answer.
    #[test]
    fn rules_hold_for_any_order_of_events(choices in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut model = Model::default();
        choices.into_iter().for_each(|choice| model.step(choice));
        // Whatever is outstanding ends.
        for _ in 0..MAX_PIPELINED * 4 {
            (0..=255).filter(|choice| (6..=13).contains(&(choice % 16)) && *choice != 250)
                .for_each(|choice| model.step(choice));
        }
        let answered = |id: &u64| model.sent.contains(id) || model.cancelled.contains(id);
        prop_assert!(model.read.keys().all(answered));
    }
}
