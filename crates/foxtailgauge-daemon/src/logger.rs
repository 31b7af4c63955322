//! Log output: plain lines on a terminal, JSON lines otherwise.

use slog::{
    o, Drain, FnValue, Level, Logger, OwnedKVList, PushFnValue, Record, RecordStatic,
    SendSyncUnwindSafeDrain,
};
use slog_async::{Async, AsyncGuard};
use std::io::IsTerminal;
use std::panic::{RefUnwindSafe, UnwindSafe};
use std::time::Duration;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Capacity of the queue to a slow output, in entries; further entries are dropped and counted.
const LOG_QUEUE_CAPACITY: usize = 4096;

/// Time allowed at exit for writing the queued lines, as the output may be blocked.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Flushes the queued lines when dropped; lines that are logged afterwards are discarded.
pub(crate) struct FlushGuard(Option<AsyncGuard>);

impl Drop for FlushGuard {
    fn drop(&mut self) {
        let guard = self.0.take();
        let (sender, flushed) = std::sync::mpsc::channel::<()>();
        std::thread::spawn(move || {
            drop(guard);
            drop(sender);
        });
        // Without the flush in time, the rest of the lines is given up.
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Builds a logger that writes to standard output.
pub(crate) fn build(level: Level, daemon: &str, failure_domain: &str) -> (Logger, FlushGuard) {
    let values = o!(
        "daemon" => daemon.to_owned(),
        "failure_domain" => failure_domain.to_owned(),
    );
    if std::io::stdout().is_terminal() {
        let decorator = slog_term::TermDecorator::new().stdout().build();
        let drain = slog_term::FullFormat::new(decorator).build().fuse();
        let (queue, guard) = queue(drain);
        (root_logger(queue, level, values), guard)
    } else {
        // Lines that the queue adds itself have no time of an event.
        let json = slog_json::Json::new(std::io::stdout()).add_key_value(o!(
            "ts" => FnValue(|record: &Record| match record.tag() {
                "" => now(),
                event_time => Some(event_time.to_owned()),
            }),
            "level" => FnValue(|record: &Record| record.level().as_short_str()),
            "msg" => PushFnValue(|record: &Record, serializer| serializer.emit(record.msg())),
        ));
        let (queue, guard) = queue(json.build().fuse());
        (root_logger(EventTime(queue), level, values), guard)
    }
}

/// Notes the time of an event in the tag of its record, which log events do not use otherwise. The
/// output evaluates its own values when the thread of the queue writes the line, and lines of two
/// daemons then have times in another order than their events.
struct EventTime<D>(D);

impl<D: Drain> Drain for EventTime<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<D::Ok, D::Err> {
        let event_time = now().unwrap_or_default();
        let fixed = RecordStatic {
            location: record.location(),
            tag: &event_time,
            level: record.level(),
        };
        let with_time = Record::new(&fixed, record.msg(), record.kv());
        self.0.log(&with_time, values)
    }
}

fn now() -> Option<String> {
    OffsetDateTime::now_utc().format(&Rfc3339).ok()
}

fn queue<D>(drain: D) -> (slog::IgnoreResult<Async>, FlushGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let builder = Async::new(drain).chan_size(LOG_QUEUE_CAPACITY);
    let (queue, guard) = builder.build_with_guard();
    // It fails only after the flush at exit.
    (queue.ignore_res(), FlushGuard(Some(guard)))
}

fn root_logger<D, T>(drain: D, level: Level, values: slog::OwnedKV<T>) -> Logger
where
    D: SendSyncUnwindSafeDrain<Err = slog::Never, Ok = ()> + UnwindSafe + RefUnwindSafe + 'static,
    T: slog::SendSyncRefUnwindSafeKV + 'static,
{
    Logger::root(slog::LevelFilter::new(drain, level).fuse(), values)
}
