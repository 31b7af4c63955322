//! Log output: plain lines on a terminal, JSON lines otherwise.

use slog::{o, Drain, Level, Logger};
use std::io::IsTerminal;

/// Capacity of the queue to a slow output, in entries; further entries are dropped and counted.
const LOG_QUEUE_CAPACITY: usize = 4096;

/// Builds a logger that writes to standard output.
pub(crate) fn build(level: Level, daemon: &str, failure_domain: &str) -> Logger {
    let values = o!(
        "daemon" => daemon.to_owned(),
        "failure_domain" => failure_domain.to_owned(),
    );
    if std::io::stdout().is_terminal() {
        let decorator = slog_term::TermDecorator::new().stdout().build();
        let drain = slog_term::FullFormat::new(decorator).build().fuse();
        root_logger(drain, level, values)
    } else {
        let drain = slog_json::Json::default(std::io::stdout()).fuse();
        root_logger(drain, level, values)
    }
}

fn root_logger<D, T>(drain: D, level: Level, values: slog::OwnedKV<T>) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
    T: slog::SendSyncRefUnwindSafeKV + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_CAPACITY)
        .build();
    let drain = slog::LevelFilter::new(drain.fuse(), level).fuse();
    Logger::root(drain, values)
}
