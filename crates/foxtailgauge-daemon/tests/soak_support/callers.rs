//! Callers, which send requests and record their results.

use super::record::{RequestKind, RequestRecord, RequestResult};
use super::requests::{method_and_target, request_text};
use super::run::{lock, Soak};
use crate::mesh_support::{body, header, read_message, status};
use rand::seq::IndexedRandom;
use rand::Rng;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Requests that a caller sends in one write: the last caller of a sidecar sends rows.
const ROW_LENGTH: usize = 2;
/// Time after the deadline at which a caller stops waiting for a response.
const READ_TIMEOUT_SLACK: Duration = Duration::from_secs(3);

impl Soak {
    /// Sends requests of one caller until the end of the run, on a persistent connection.
    pub(super) fn send_requests(&self, n: usize, caller: usize) {
        let load = self.plan.profile.load();
        let mut rng = self.rng(n * load.callers + caller);
        let addr = lock(&self.mesh).outbound_addr(n);
        let mut connection: Option<TcpStream> = None;
        let mut serial = 0;
        while !self.is_done() {
            let newest = lock(&self.versions)
                .last()
                .map_or(1, |(version, _)| *version);
            let length = match caller + 1 == load.callers {
                true => ROW_LENGTH,
                false => 1,
            };
            let row: Vec<_> = (0..length)
                .map(|_| {
                    serial += 1;
                    let kind = match rng.random_range(0..10) {
                        0..4 => RequestKind::View,
                        4..8 => RequestKind::Commit,
                        8 => RequestKind::Version(newest),
                        _ => RequestKind::Unrouted,
                    };
                    (format!("r{n}-{caller}-{serial}"), kind)
                })
                .collect();
            let deadline_ms = *load.deadlines_ms.choose(&mut rng).expect("no deadlines");
            let deadline = Duration::from_millis(deadline_ms);
            let connect = || TcpStream::connect(&addr).ok();
            if let Some(stream) = connection.take().or_else(connect) {
                let (requests, stream) = self.send_row(stream, row, n, deadline);
                connection = stream;
                lock(&self.requests).extend(requests);
            }
            std::thread::sleep(self.shared_pause(load.interval));
        }
    }

    /// Sends requests in one write; returns their records, and the connection if it can be reused.
    pub(super) fn send_row(
        &self,
        mut stream: TcpStream,
        row: Vec<(String, RequestKind)>,
        n: usize,
        deadline: Duration,
    ) -> (Vec<RequestRecord>, Option<TcpStream>) {
        let text: String = row
            .iter()
            .map(|(id, kind)| request_text(id, *kind, deadline))
            .collect();
        let restart_count = || self.restart_counts[n].load(Ordering::Relaxed);
        let (before, sent_at) = (restart_count(), Instant::now());
        let timeout_result = stream.set_read_timeout(Some(deadline + READ_TIMEOUT_SLACK));
        timeout_result.expect("cannot set the read timeout");
        // A write to a closed connection may succeed or fail; the read determines the result.
        let _ = stream.write_all(text.as_bytes());
        let mut records = Vec::new();
        let mut is_open = true;
        let mut is_broken = false;
        for (id, kind) in row {
            let response = is_open.then(|| read_message(&mut stream)).flatten();
            let ended_at = Instant::now();
            let result = match &response {
                Some(response) => {
                    let (method, target) = method_and_target(&id, kind);
                    RequestResult::Response {
                        status: status(response),
                        has_server_proof: header(response, "server-seal").is_some(),
                        is_echo: header(response, "server-seal").is_some()
                            && body(response).starts_with(&format!("{method} {target} ")),
                    }
                }
                None if is_broken => RequestResult::BehindBreak,
                None if !is_open => RequestResult::BehindClose,
                None if ended_at.duration_since(sent_at) < deadline + READ_TIMEOUT_SLACK => {
                    RequestResult::Closed
                }
                None => RequestResult::TimedOut,
            };
            is_broken |= is_open && response.is_none();
            is_open &= response.is_some_and(|response| header(&response, "connection").is_none());
            records.push(RequestRecord {
                id,
                kind,
                daemon: n,
                restart_counts: (before, restart_count()),
                sent_at,
                ended_at,
                deadline,
                result,
            });
        }
        (records, is_open.then_some(stream))
    }
}
