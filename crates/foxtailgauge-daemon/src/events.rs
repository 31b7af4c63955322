//! Numbered log events. Operators find the catalogue in docs/EVENTS.md.

use slog::Level;
use std::collections::HashMap;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Instant;

/// A kind of log event.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Number of the event; never reused.
    pub number: u32,
    /// Level of its log lines.
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
    STOPPING = 1002, Info, "daemon stopping: draining requests";
    STOPPED = 1003, Info, "daemon stopped";
    LISTEN_FAILED = 1004, Critical, "cannot listen on address";
    TASK_FAILED = 1005, Error, "connection or task ended with an error";
    RELOAD_REQUESTED = 1006, Info, "reload requested: seeds are read again, other settings take effect at the next start";
    ACCEPT_FAILED = 1007, Warning, "cannot accept connections: retrying";
    SEEDS_CHANGED = 1009, Info, "seeds in the settings file have changed";
    SEEDS_UNREADABLE = 1010, Warning, "seeds cannot be read from the settings file: the previous ones stay";
    BOUND_UNSTATED = 1011, Info, "bound stated by neither the settings nor the platform: default used";
    LOCK_WAITED = 1012, Warning, "a thread waited long for a lock";
    STOP_UNFINISHED = 1008, Warning, "requests are in progress at the end of a stop: given up";
    STORE_OPENED = 2001, Info, "store opened";
    STORE_TAIL_TRUNCATED = 2002, Warning, "incomplete last batch of the log truncated";
    STORE_FAILED = 2003, Critical, "store failed: replica stopped";
    SNAPSHOT_SAVED = 2004, Info, "log compacted into a snapshot";
    SNAPSHOT_INSTALLED = 2005, Info, "snapshot of the leader installed";
    DAEMONS_NOT_STORED = 2006, Warning, "addresses of the daemons cannot be stored or read";
    GROUP_FORMED = 2101, Info, "group formed with its initial members";
    GROUP_JOINED = 2102, Info, "replica asked to join the group as a learner";
    ROLE_CHANGED = 2103, Info, "replica changed its role";
    MEMBERSHIP_CHANGED = 2104, Info, "membership of the group changed";
    GROUP_LEFT = 2105, Info, "group prepared for the stop of this replica";
    GROUP_NOT_LEFT = 2106, Warning, "group not prepared for the stop of this replica";
    VOTER_RECOVERING = 2107, Warning, "replica without its disk votes for the one that it was";
    CHANGE_ACCEPTED = 3001, Info, "change accepted";
    CHANGE_REFUSED = 3002, Info, "change refused";
    VERSION_CURRENT = 3003, Info, "configuration version in force";
    UPDATE_REFUSED = 3004, Warning, "update not applied";
    CHANGE_UNDECIDED = 3005, Info, "change not decided: the version it is based on did not come in time";
    SOURCE_CHANGED = 3101, Info, "configuration source changed";
    SOURCE_FAILED = 3102, Warning, "configuration source does not respond";
    SOURCE_STALE = 3103, Warning, "configuration source is behind or has no contact with a majority";
    SOURCE_BUSY = 3104, Info, "configuration source accepts no new sessions at present";
    REPLICAS_SEARCHED = 3105, Info, "no known replica responds: other daemons asked for the replicas";
    POLL_STALLED = 3106, Warning, "poll took longer than its timeout: this daemon stood still";
    ROLLOUT_UNANSWERED = 3404, Warning, "no definite answer from the replicas to the order of a rollout";
    ROLLOUT_ORDERED = 3401, Info, "rollout ordered";
    ROLLOUT_MOVED = 3402, Info, "rollout changed its phase or share";
    ROLLOUT_DECIDED = 3403, Warning, "rollout decided";
    DAEMON_LOST = 3201, Warning, "daemon marked as lost";
    LOST_REFUTED = 3202, Info, "daemon refuted its own mark as lost";
    DAEMON_FORGOTTEN = 3203, Info, "lost daemon forgotten by operators";
    DAEMONS_INTRODUCED = 3204, Info, "daemons that do not report were told where this replica is";
    SERVER_ANNOUNCED = 4001, Info, "backend server announced";
    SERVER_LEAVING = 4002, Info, "backend server leaving";
    SERVER_GONE = 4003, Info, "backend server removed";
    SERVER_DIED = 4004, Warning, "connection to backend server broke with a request in flight";
    ACTION_UNKNOWN = 4101, Warning, "outcome of a billable action is unknown";
    LEDGER_RETRY = 4102, Warning, "ledger did not accept a record: retrying";
    REQUEST_QUARANTINED = 4103, Warning, "request refused: it was in flight when backend servers died";
    SERVER_REPORTED = 4201, Info, "report of a backend server changed its recorded state";
    SERVER_UNREACHABLE = 4202, Warning, "backend server does not accept connections: no requests sent until its next report";
    REPORT_REFUSED = 4203, Warning, "report of a backend server refused";
    SERVER_RATE_LIMIT = 4204, Warning, "backend server changed its rate limit";
    SERVER_STATEMENT_IGNORED = 4205, Warning, "statement of a backend server ignored";
    WORK_REFUSED = 4301, Info, "queue of a backend server refused a request";
    RESPONSE_MISMATCHED = 4302, Warning, "response of a backend server belongs to another request";
    RESPONSE_INCOMPLETE = 4303, Info, "incomplete response of a backend server";
    SERVER_DECLINED = 4304, Info, "backend server refused a request";
    FORWARD_RETRIED = 4401, Info, "request retried on another backend server";
    FORWARD_REFUSED = 4402, Info, "gateway responded in place of a backend server";
    PEER_UNREACHABLE = 4403, Info, "cannot connect to another daemon to forward requests";
    CALLER_TOO_SLOW = 4404, Info, "connection closed: the head of a request took too long";
    BODY_TIMED_OUT = 4405, Info, "response ended at its deadline: its body was not complete";
    WORKSPACE_LIMITED = 4501, Warning, "workspace limited: it sends more than its allotment";
    WORKSPACE_NOT_LIMITED = 4502, Info, "workspace no longer limited";
    USAGE_UNREPORTED = 4503, Info, "no answer from a collector of usage: trying another one";
    DOCUMENT_REFUSED = 3301, Warning, "operator's document cannot be translated";
    DOCUMENT_UNANSWERED = 3302, Warning, "no definite answer from the replicas to an operator's document";
    PEER_REFUSED = 5001, Warning, "peer refused: handshake failed";
    ADMIN_DENIED = 5002, Warning, "admin request without a valid token";
}

/// Maximum number of log lines per event and second; events at level `Critical` are not limited.
const LINES_PER_SECOND: u64 = 4;

/// Log lines of one event in the current second.
#[derive(Default)]
struct LineCount {
    second: u64,
    lines: u64,
    left_out: u64,
}

/// Applies the rate limit to an event. Returns the number of its lines left out since the last one,
/// or `None` if this line must be left out.
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

/// Logs an event with key-value pairs, subject to the rate limit of [`admit`].
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
