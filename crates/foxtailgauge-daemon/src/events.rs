//! Numbered log events. The catalogue for operators is docs/EVENTS.md.

use slog::Level;
use std::collections::HashMap;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Instant;

/// One kind of log event.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Number, never reused.
    pub number: u32,
    /// Level it is logged at.
    pub level: Level,
    /// Text of the log line.
    pub text: &'static str,
}

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)+) => {
        $(
            #[doc = $text]
            pub const $name: Event = Event {
                number: $number,
                level: Level::$level,
                text: $text,
            };
        )+

        /// All events.
        pub const ALL: &[Event] = &[$($name),+];
    };
}

events! {
    STARTED = 1001, Info, "daemon started";
    STOPPING = 1002, Info, "daemon stops: draining";
    STOPPED = 1003, Info, "daemon stopped";
    LISTEN_FAILED = 1004, Critical, "address cannot be listened on";
    TASK_FAILED = 1005, Error, "connection or task ended with an error";
    RELOAD_REQUESTED = 1006, Info, "reload asked for: settings take effect at the next start";
    ACCEPT_FAILED = 1007, Warning, "no connection can be accepted: trying again";
    STORE_OPENED = 2001, Info, "store opened";
    STORE_TAIL_TRUNCATED = 2002, Warning, "unfinished last batch of the log was cut off";
    STORE_FAILED = 2003, Critical, "store failed: replica stops";
    SNAPSHOT_SAVED = 2004, Info, "log compacted into a snapshot";
    SNAPSHOT_INSTALLED = 2005, Info, "snapshot of the leader installed";
    GROUP_FORMED = 2101, Info, "group formed with its first members";
    GROUP_JOINED = 2102, Info, "replica asked to join the group as a learner";
    ROLE_CHANGED = 2103, Info, "replica changed its role";
    MEMBERSHIP_CHANGED = 2104, Info, "membership of the group changed";
    CHANGE_ACCEPTED = 3001, Info, "change accepted";
    CHANGE_REFUSED = 3002, Info, "change refused";
    VERSION_CURRENT = 3003, Info, "configuration version in force";
    UPDATE_REFUSED = 3004, Warning, "update not taken over";
    SOURCE_CHANGED = 3101, Info, "source of configuration changed";
    SOURCE_FAILED = 3102, Warning, "source of configuration does not answer";
    SOURCE_STALE = 3103, Warning, "source of configuration is behind or without a majority";
    SOURCE_BUSY = 3104, Info, "source of configuration admits no session now";
    DAEMON_LOST = 3201, Warning, "daemon is lost";
    LOST_REFUTED = 3202, Info, "mark as lost refuted";
    DAEMON_FORGOTTEN = 3203, Info, "lost daemon forgotten by operators";
    SERVER_ANNOUNCED = 4001, Info, "backend server announced";
    SERVER_LEAVING = 4002, Info, "backend server leaves";
    SERVER_GONE = 4003, Info, "backend server gone";
    SERVER_DIED = 4004, Warning, "connection to backend server broke with a request in flight";
    ACTION_UNKNOWN = 4101, Warning, "outcome of a billable action is unknown";
    LEDGER_RETRY = 4102, Warning, "ledger does not take a record: trying again";
    REQUEST_QUARANTINED = 4103, Warning, "request refused: it was in flight when backend servers died";
    SERVER_REPORTED = 4201, Info, "report of a backend server changed what is known of it";
    SERVER_UNREACHABLE = 4202, Warning, "backend server does not accept connections: nothing goes there until it reports";
    REPORT_REFUSED = 4203, Warning, "report of a backend server refused";
    WORK_REFUSED = 4301, Info, "queue of a backend server refused a request";
    RESPONSE_MISMATCHED = 4302, Warning, "backend server answered another request";
    RESPONSE_INCOMPLETE = 4303, Info, "no whole answer of a backend server";
    FORWARD_RETRIED = 4401, Info, "request goes to another backend server";
    FORWARD_REFUSED = 4402, Info, "gateway answered in place of a backend server";
    PEER_UNREACHABLE = 4403, Info, "no connection to another daemon for requests";
    CALLER_TOO_SLOW = 4404, Info, "connection ended: the head of a request took too long";
    DOCUMENT_REFUSED = 3301, Warning, "operator's document cannot be translated";
    DOCUMENT_UNANSWERED = 3302, Warning, "no clear answer to an operator's document";
    PEER_REFUSED = 5001, Warning, "peer refused: handshake failed";
    ADMIN_DENIED = 5002, Warning, "admin request without a fitting token";
}

/// Lines of one event that are written in a second; events at level `Critical` are not bounded.
const LINES_PER_SECOND: u64 = 4;

/// Lines of one event in one second.
#[derive(Default)]
struct LineCount {
    second: u64,
    lines: u64,
    left_out: u64,
}

/// Whether an event may be logged now, with the number of its lines left out before.
pub fn admit(event: &Event) -> Option<u64> {
    static LINE_COUNTS: OnceLock<Mutex<HashMap<u32, LineCount>>> = OnceLock::new();
    static STARTED: OnceLock<Instant> = OnceLock::new();
    let second = STARTED.get_or_init(Instant::now).elapsed().as_secs();
    let mut line_counts = LINE_COUNTS
        .get_or_init(Mutex::default)
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let line_count = line_counts.entry(event.number).or_default();
    if line_count.second != second {
        line_count.second = second;
        line_count.lines = 0;
    }
    if line_count.lines >= LINES_PER_SECOND && event.level != Level::Critical {
        line_count.left_out += 1;
        return None;
    }
    line_count.lines += 1;
    Some(std::mem::take(&mut line_count.left_out))
}

/// Logs an event with key-value pairs, unless too many lines of it were written in this second.
#[macro_export]
macro_rules! emit {
    ($log:expr, $event:expr $(, $key:literal => $value:expr)* $(,)?) => {{
        use slog::Drain as _;
        if $log.is_enabled($event.level) {
            if let Some(left_out) = $crate::events::admit(&$event) {
                slog::log!($log, $event.level, "", "{}", $event.text;
                    "event" => $event.number, "left_out" => left_out $(, $key => $value)*)
            }
        }
    }};
}
