//! Sends requests and measures latency and outcomes.

use crate::json_file::{BenchError, BenchResult};
use async_std::task;
use clap::Args;
use error_stack::ResultExt;
use foxtailgauge_wire::http::{HttpAnswer, HttpConnection, HttpError, HttpRequest};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Largest answer.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;
/// Significant digits of the latency figures.
const DIGITS: u8 = 3;
/// Longest latency told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Arguments of `load`.
#[derive(Clone, Debug, Args)]
pub struct LoadArguments {
    /// Addresses to send to, in turn.
    #[arg(long, value_delimiter = ',', required = true)]
    to: Vec<SocketAddr>,
    /// Method.
    #[arg(long, default_value = "GET")]
    method: String,
    /// Path and query.
    #[arg(long)]
    path: String,
    /// Send a new idempotency key with each request.
    #[arg(long)]
    billable: bool,
    /// Bytes of each body.
    #[arg(long, default_value_t = 0)]
    body_bytes: usize,
    /// Requests in all.
    #[arg(long, default_value_t = 1000)]
    requests: u64,
    /// Connections, each with one request at a time.
    #[arg(long, default_value_t = 4)]
    connections: usize,
    /// Time after which a caller goes away, in milliseconds.
    #[arg(long, default_value_t = 30_000)]
    deadline_ms: u64,
    /// Requests a second in all; 0: as fast as the answers come.
    #[arg(long, default_value_t = 0.0)]
    rate: f64,
}

/// What a run measured.
#[derive(Debug, Serialize)]
struct LoadResult {
    requests: u64,
    seconds: f64,
    per_second: f64,
    /// Answers with status 200 within the deadline, a second.
    good_per_second: f64,
    p50_us: u64,
    p99_us: u64,
    max_us: u64,
    /// Answers by status and outcome header.
    answers: BTreeMap<String, u64>,
}

struct Shared {
    arguments: LoadArguments,
    next: AtomicU64,
    started: Instant,
}

struct Tally {
    latency_us: Histogram<u64>,
    answers: BTreeMap<String, u64>,
    good: u64,
}

/// Runs a load and prints what it measured as one JSON line.
pub async fn run(arguments: &LoadArguments) -> BenchResult<()> {
    let shared = Arc::new(Shared {
        arguments: arguments.clone(),
        next: AtomicU64::new(0),
        started: Instant::now(),
    });
    let workers: Vec<_> = (0..arguments.connections)
        .map(|worker| task::spawn(work(Arc::clone(&shared), worker)))
        .collect();
    let mut total = tally()?;
    for worker in workers {
        let part = worker.await?;
        total
            .latency_us
            .add(&part.latency_us)
            .change_context(BenchError::Unexpected)?;
        total.good += part.good;
        for (answer, count) in part.answers {
            *total.answers.entry(answer).or_insert(0) += count;
        }
    }
    let seconds = shared.started.elapsed().as_secs_f64();
    let result = LoadResult {
        requests: total.latency_us.len(),
        seconds,
        per_second: total.latency_us.len() as f64 / seconds,
        good_per_second: total.good as f64 / seconds,
        p50_us: total.latency_us.value_at_quantile(0.5),
        p99_us: total.latency_us.value_at_quantile(0.99),
        max_us: total.latency_us.max(),
        answers: total.answers,
    };
    println!(
        "{}",
        serde_json::to_string(&result).change_context(BenchError::Unexpected)?
    );
    Ok(())
}

fn tally() -> BenchResult<Tally> {
    let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS)
        .change_context(BenchError::Unexpected)?;
    Ok(Tally {
        latency_us,
        answers: BTreeMap::new(),
        good: 0,
    })
}

async fn work(shared: Arc<Shared>, worker: usize) -> BenchResult<Tally> {
    let arguments = &shared.arguments;
    let addr = arguments.to[worker % arguments.to.len()];
    let body = vec![b'x'; arguments.body_bytes];
    let mut tally = tally()?;
    let mut connection = None;
    loop {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        if number >= arguments.requests {
            return Ok(tally);
        }
        // With a rate, latency counts from the time the request was due.
        let due = match arguments.rate > 0.0 {
            true => shared.started + Duration::from_secs_f64(number as f64 / arguments.rate),
            false => Instant::now(),
        };
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let patience = Duration::from_millis(arguments.deadline_ms).saturating_sub(due.elapsed());
        let exchange = send(arguments, addr, &body, &mut connection);
        let answer = async_std::future::timeout(patience, exchange).await;
        if matches!(&answer, Ok(Ok(answer)) if answer.status == 200) {
            tally.good += 1;
        }
        let latency_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        tally.latency_us.saturating_record(latency_us.max(1));
        *tally.answers.entry(describe(answer.ok())).or_insert(0) += 1;
    }
}

async fn send(
    arguments: &LoadArguments,
    addr: SocketAddr,
    body: &[u8],
    connection: &mut Option<HttpConnection>,
) -> Result<HttpAnswer, HttpError> {
    let headers = match arguments.billable {
        true => vec![("Idempotency-Key".to_owned(), Uuid::now_v7().to_string())],
        false => Vec::new(),
    };
    let request = HttpRequest {
        method: &arguments.method,
        target: &arguments.path,
        headers: &headers,
        body,
    };
    let mut open = match connection.take() {
        Some(open) => open,
        None => HttpConnection::open(addr).await?,
    };
    let answer = open.exchange(request, ANSWER_LIMIT_BYTES).await?;
    if open.is_reusable() {
        *connection = Some(open);
    }
    Ok(answer)
}

fn describe(answer: Option<Result<HttpAnswer, HttpError>>) -> String {
    match answer {
        Some(Ok(answer)) => {
            let outcome = answer.header("foxtailgauge-outcome").unwrap_or("none");
            format!("{} {outcome}", answer.status)
        }
        Some(Err(error)) => format!("error: {error}"),
        None => "error: timeout".to_owned(),
    }
}
