//! Backend servers that misbehave on a share of their requests, as real ones do.

use super::{format_response, header};
use rand::Rng;
use rustix::net::sockopt::set_socket_linger;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Time after which [`Quirk::CloseIdle`] closes an idle connection.
const IDLE_LIMIT: Duration = Duration::from_millis(8);
/// Id of a request that no caller sent.
const OTHER_ID: &str = "another";

/// What a server does in place of answering a request. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quirk {
    /// Declines, and writes the same refusal again after this time.
    RepeatRefusal(u64),
    /// Answers, and writes the same answer again after this time.
    RepeatAnswer(u64),
    /// Responds 421.
    Misdirect,
    /// Answers after a refusal that has the id of another request.
    StrayRefusal,
    /// Answers after a success that has the id of another request.
    StrayAnswer,
    /// Runs the request and ends its answer in the middle of the head.
    BreakHead,
    /// Resets the connection without running the request, like a full server.
    Reset,
    /// Answers, and closes the connection without notice as soon as it is idle.
    CloseIdle,
}

/// All quirks. A repeated response is written at once, or when the next request is in flight.
pub const QUIRKS: [Quirk; 10] = [
    Quirk::RepeatRefusal(0),
    Quirk::RepeatRefusal(5),
    Quirk::RepeatAnswer(0),
    Quirk::RepeatAnswer(5),
    Quirk::Misdirect,
    Quirk::StrayRefusal,
    Quirk::StrayAnswer,
    Quirk::BreakHead,
    Quirk::Reset,
    Quirk::CloseIdle,
];

/// Runs requests for up to twice `run_ms`, and misbehaves on `percent` of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quirky {
    pub run_ms: u64,
    pub percent: u32,
    pub quirk: Quirk,
}

impl Quirky {
    /// Chooses the quirk and the run time of one request; no time if it is not run.
    pub(super) fn choose(self) -> (Option<Quirk>, Option<Duration>) {
        let mut rng = rand::rng();
        let quirk = Some(self.quirk).filter(|_| rng.random_range(0..100) < self.percent);
        let is_run = !matches!(
            quirk,
            Some(Quirk::RepeatRefusal(_) | Quirk::Misdirect | Quirk::Reset)
        );
        let run_time = Duration::from_millis(rng.random_range(0..=2 * self.run_ms));
        (quirk, is_run.then_some(run_time))
    }
}

/// Writes the response to a request; returns whether the connection stays open.
pub(super) fn respond(stream: &mut TcpStream, quirk: Option<Quirk>, request: &str) -> bool {
    let id = header(request, "attempt-id").unwrap_or_default();
    let refusal = |id: &str| format_response("503 No", id, "Not-Executed: 1\r\n", "");
    let answer = format_response("200 OK", &id, "", request);
    let (text, repeat_ms) = match quirk {
        None | Some(Quirk::CloseIdle) => (answer, None),
        Some(Quirk::RepeatRefusal(ms)) => (refusal(&id), Some(ms)),
        Some(Quirk::RepeatAnswer(ms)) => (answer, Some(ms)),
        Some(Quirk::Misdirect) => (format_response("421 Wrong", &id, "", ""), None),
        Some(Quirk::StrayRefusal) => (refusal(OTHER_ID) + &answer, None),
        Some(Quirk::StrayAnswer) => {
            let stray = format_response("200 OK", OTHER_ID, "", "not yours");
            (stray + &answer, None)
        }
        Some(Quirk::BreakHead) => (answer[..30].to_owned(), None),
        Some(Quirk::Reset) => {
            set_socket_linger(&*stream, Some(Duration::ZERO)).expect("cannot set the linger time");
            return false;
        }
    };
    let mut is_open = match repeat_ms {
        Some(0) => stream.write_all(text.repeat(2).as_bytes()),
        _ => stream.write_all(text.as_bytes()),
    }
    .is_ok();
    if let Some(ms @ 1..) = repeat_ms {
        std::thread::sleep(Duration::from_millis(ms));
        // The peer may have closed the connection.
        is_open &= stream.write_all(text.as_bytes()).is_ok();
    }
    if quirk == Some(Quirk::CloseIdle) {
        let set_timeout = |limit| stream.set_read_timeout(limit).is_ok();
        // Bytes of the next request, or the end of the stream.
        let is_used = set_timeout(Some(IDLE_LIMIT)) && stream.peek(&mut [0]).is_ok();
        is_open &= is_used && set_timeout(None);
    }
    is_open && quirk != Some(Quirk::BreakHead)
}
