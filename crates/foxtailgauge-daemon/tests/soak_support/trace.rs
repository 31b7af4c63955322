//! Paths of requests, for the analysis of violations.

use super::record::{attempt_id, Record};
use crate::mesh_support::Arrival;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;
use std::time::Instant;

/// Maximum number of requests with a trace.
const MAX_TRACES: usize = 20;

/// The paths of the first requests that the violations name by id: each request, its arrivals with what
/// its servers did, and the daemons' log lines. Times are in milliseconds since the start of the run.
pub fn traces(record: &Record, violations: &[String], dir: &Path) -> String {
    let named = violations
        .iter()
        .flat_map(|text| text.split("id: \"").skip(1));
    let ids = named.filter_map(|text| text.split('"').next());
    let ids: BTreeSet<&str> = ids.take(MAX_TRACES).collect();
    let logs: Vec<(String, String)> = std::fs::read_dir(dir)
        .expect("cannot read the directory")
        .flatten()
        .filter(|file| {
            file.path()
                .extension()
                .is_some_and(|suffix| suffix == "log")
        })
        .map(|file| {
            let name = file.file_name().to_string_lossy().into_owned();
            let text = std::fs::read(file.path()).unwrap_or_default();
            (name, String::from_utf8_lossy(&text).into_owned())
        })
        .collect();
    let ms = |at: Instant| at.duration_since(record.started).as_millis();
    let mut text = String::new();
    for id in ids {
        text += &format!("{id}\n");
        for request in record.requests.iter().filter(|request| request.id == id) {
            let (sent, ended) = (ms(request.sent_at), ms(request.ended_at));
            let _ = writeln!(text, "  sent {sent} ended {ended}: {request:?}");
        }
        for (server, arrival) in record.arrivals(id) {
            text += &format!("  {server} {}", format_arrival(arrival, ms(arrival.at)));
            if let Some(before) = before(record, server, arrival) {
                let ms = ms(before.at);
                text += &format!("    before it {}", format_arrival(before, ms));
            }
        }
        for (name, log) in &logs {
            let lines = log
                .lines()
                .filter(|line| line.contains(&format!("\"{id}\"")));
            lines.for_each(|line| text += &format!("  {name} {line}\n"));
        }
    }
    text
}

/// The request that arrived before on the same connection.
fn before<'a>(record: &'a Record, server: &str, arrival: &Arrival) -> Option<&'a Arrival> {
    let server = record.servers.iter().find(|found| found.name == server)?;
    let is_earlier =
        |other: &&Arrival| other.peer_port == arrival.peer_port && other.at < arrival.at;
    server.arrivals.iter().rev().find(is_earlier)
}

fn format_arrival(arrival: &Arrival, ms: u128) -> String {
    let Arrival {
        is_started,
        run_time,
        quirk,
        peer_port,
        ..
    } = arrival;
    let id = attempt_id(arrival);
    format!("{id} at {ms}, port {peer_port}, started {is_started}, ran {run_time:?}, {quirk:?}\n")
}
