//! Reads and logs what a backend server states about itself in its responses.

use crate::emit;
use crate::events;
use crate::executor::forward_server::ForwardServer;
use crate::hop::forward_headers::header;
use foxtailgauge_core::{RequestRate, ServerStatement};
use foxtailgauge_platform::{headers, is_leaving_value, parse_rate_limit, parse_server_load};
use hyper::header::HeaderMap;
use slog::Logger;
use std::sync::Arc;
use std::time::Instant;

/// Applies the statements in the head of the response to a request sent at `sent_at`. A rate limit
/// that cannot be read leaves the previous one in force. Returns whether the backend server states
/// for the first time that it is leaving.
pub(crate) fn apply(
    log: &Logger,
    server: &Arc<ForwardServer>,
    response: &HeaderMap,
    sent_at: Instant,
) -> bool {
    if let Some(load) = header(response, headers::SERVER_LOAD) {
        apply_load(log, server, load);
    }
    let rate_limit = header(response, headers::RATE_LIMIT).map(parse_rate_limit);
    let rate_limit = rate_limit.transpose().unwrap_or_else(|error| {
        emit!(log, events::SERVER_STATEMENT_IGNORED, "server" => server.name(),
            "error" => error.to_string());
        server.statement().rate_limit
    });
    let statement = ServerStatement {
        rate_limit,
        is_leaving: header(response, headers::LEAVING).is_some_and(is_leaving_value),
    };
    let (previous, current) = server.apply_statement(statement, sent_at);
    if previous.rate_limit != current.rate_limit {
        emit!(log, events::SERVER_RATE_LIMIT, "server" => server.name(),
            "limit_per_s" => current.rate_limit.map(RequestRate::per_s),
            "previous_per_s" => previous.rate_limit.map(RequestRate::per_s));
    }
    current.is_leaving && !previous.is_leaving
}

/// Applies the load that a response or a health check states. One that cannot be read is ignored.
pub(crate) fn apply_load(log: &Logger, server: &Arc<ForwardServer>, load: &str) {
    match parse_server_load(load) {
        Ok(None) => {}
        Ok(Some(pace)) => server.record_pace(pace),
        Err(error) => {
            emit!(log, events::SERVER_STATEMENT_IGNORED, "server" => server.name(),
                "error" => error.to_string());
        }
    }
}
