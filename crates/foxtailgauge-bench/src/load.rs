//! Sends requests and measures latency and outcomes.

use crate::json_file::{BenchError, BenchResult};
use async_std::task;
use clap::Args;
use error_stack::ResultExt;
use foxtailgauge_wire::http::{HttpConnection, HttpError, HttpRequest, HttpResponse};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;
/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Arguments of `load`.
#[derive(Clone, Debug, Args)]
pub struct LoadArguments {
    /// Addresses to send to; connections are distributed over them round-robin.
    #[arg(long, value_delimiter = ',', required = true)]
    to: Vec<SocketAddr>,
    /// HTTP method.
    #[arg(long, default_value = "GET")]
    method: String,
    /// Path and query.
    #[arg(long)]
    path: String,
    /// Send a new idempotency key with each request.
    #[arg(long)]
    billable: bool,
    /// Size of each request body, in bytes.
    #[arg(long, default_value_t = 0)]
    body_bytes: usize,
    /// Total number of requests.
    #[arg(long, default_value_t = 1000)]
    requests: u64,
    /// Number of connections; each sends one request at a time.
    #[arg(long, default_value_t = 4)]
    connections: usize,
    /// Time after which a caller abandons its request, in milliseconds.
    #[arg(long, default_value_t = 30_000)]
    deadline_ms: u64,
    /// Total requests per second; 0 sends each request as soon as its connection is free.
    #[arg(long, default_value_t = 0.0)]
    rate: f64,
}

/// Result of a load run.
#[derive(Debug, Serialize)]
struct LoadResult {
    requests: u64,
    seconds: f64,
    per_second: f64,
    /// Responses per second that arrived with status 200 within the deadline.
    good_per_second: f64,
    p50_us: u64,
    p99_us: u64,
    max_us: u64,
    /// Number of requests by status and outcome header of the response, or by error.
    answers: BTreeMap<String, u64>,
}

struct LoadRun {
    arguments: LoadArguments,
    next_request: AtomicU64,
    started: Instant,
}

struct WorkerStats {
    latency_us: Histogram<u64>,
    response_counts: BTreeMap<String, u64>,
    good: u64,
}

/// Runs a load and prints the result as one JSON line.
pub async fn run(arguments: &LoadArguments) -> BenchResult<()> {
    let load = Arc::new(LoadRun {
        arguments: arguments.clone(),
        next_request: AtomicU64::new(0),
        started: Instant::now(),
    });
    let workers: Vec<_> = (0..arguments.connections)
        .map(|worker| task::spawn(run_worker(Arc::clone(&load), worker)))
        .collect();
    let mut total = new_stats()?;
    for worker in workers {
        let worker_stats = worker.await?;
        total
            .latency_us
            .add(&worker_stats.latency_us)
            .change_context(BenchError::Unexpected)?;
        total.good += worker_stats.good;
        for (response, count) in worker_stats.response_counts {
            *total.response_counts.entry(response).or_insert(0) += count;
        }
    }
    let seconds = load.started.elapsed().as_secs_f64();
    let result = LoadResult {
        requests: total.latency_us.len(),
        seconds,
        per_second: total.latency_us.len() as f64 / seconds,
        good_per_second: total.good as f64 / seconds,
        p50_us: total.latency_us.value_at_quantile(0.5),
        p99_us: total.latency_us.value_at_quantile(0.99),
        max_us: total.latency_us.max(),
        answers: total.response_counts,
    };
    println!(
        "{}",
        serde_json::to_string(&result).change_context(BenchError::Unexpected)?
    );
    Ok(())
}

fn new_stats() -> BenchResult<WorkerStats> {
    let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
        .change_context(BenchError::Unexpected)?;
    Ok(WorkerStats {
        latency_us,
        response_counts: BTreeMap::new(),
        good: 0,
    })
}

async fn run_worker(load: Arc<LoadRun>, worker: usize) -> BenchResult<WorkerStats> {
    let arguments = &load.arguments;
    let addr = arguments.to[worker % arguments.to.len()];
    let body = vec![b'x'; arguments.body_bytes];
    let mut stats = new_stats()?;
    let mut connection = None;
    loop {
        let number = load.next_request.fetch_add(1, Ordering::Relaxed);
        if number >= arguments.requests {
            return Ok(stats);
        }
        // At a fixed rate, latency is measured from the scheduled time of the request.
        let scheduled = match arguments.rate > 0.0 {
            true => load.started + Duration::from_secs_f64(number as f64 / arguments.rate),
            false => Instant::now(),
        };
        task::sleep(scheduled.saturating_duration_since(Instant::now())).await;
        let time_left =
            Duration::from_millis(arguments.deadline_ms).saturating_sub(scheduled.elapsed());
        let exchange = send(arguments, addr, &body, &mut connection);
        let response = async_std::future::timeout(time_left, exchange).await;
        if matches!(&response, Ok(Ok(response)) if response.status == 200) {
            stats.good += 1;
        }
        let latency_us = u64::try_from(scheduled.elapsed().as_micros()).unwrap_or(u64::MAX);
        stats.latency_us.saturating_record(latency_us.max(1));
        *stats
            .response_counts
            .entry(classify(response.ok()))
            .or_insert(0) += 1;
    }
}

async fn send(
    arguments: &LoadArguments,
    addr: SocketAddr,
    body: &[u8],
    connection: &mut Option<HttpConnection>,
) -> Result<HttpResponse, HttpError> {
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
    let response = open.exchange(request, MAX_RESPONSE_BYTES).await?;
    if open.is_reusable() {
        *connection = Some(open);
    }
    Ok(response)
}

/// Returns the status and outcome, or the error, under which a response is counted.
fn classify(response: Option<Result<HttpResponse, HttpError>>) -> String {
    match response {
        Some(Ok(response)) => {
            let outcome = response.header("foxtailgauge-outcome").unwrap_or("none");
            format!("{} {outcome}", response.status)
        }
        Some(Err(error)) => format!("error: {error}"),
        None => "error: timeout".to_owned(),
    }
}
