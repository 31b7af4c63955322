//! Sends one request and prints the whole answer.

use crate::json_file::{BenchError, BenchResult};
use clap::Args;
use error_stack::{Report, ResultExt};
use foxtailgauge_wire::http::{fetch, HttpRequest, HttpResponse};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Largest answer.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;
/// Time for one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Wait before another try if the answer names none.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);

/// Arguments of `call`.
#[derive(Clone, Debug, Args)]
pub struct CallArguments {
    /// Daemon to send to.
    #[arg(long)]
    to: SocketAddr,
    /// Method.
    #[arg(long, default_value = "GET")]
    method: String,
    /// Path and query.
    #[arg(long)]
    path: String,
    /// Idempotency key.
    #[arg(long)]
    key: Option<String>,
    /// Body.
    #[arg(long, default_value = "")]
    body: String,
    /// Time for which a request that was not run is sent again when the answer says so, in seconds.
    #[arg(long, default_value_t = 0)]
    patience_s: u64,
}

/// Sends the request; prints status, headers and body.
pub async fn run(arguments: &CallArguments) -> BenchResult<()> {
    let end = Instant::now() + Duration::from_secs(arguments.patience_s);
    let answer = loop {
        let answer = send(arguments).await?;
        let is_not_run = answer.header("foxtailgauge-outcome") == Some("not-run");
        let wait = retry_after(&answer);
        if !is_not_run || Instant::now() + wait > end {
            break answer;
        }
        async_std::task::sleep(wait).await;
    };
    println!("{}", answer.status);
    for (name, value) in &answer.headers {
        println!("{name}: {value}");
    }
    println!("\n{}", String::from_utf8_lossy(&answer.body));
    Ok(())
}

fn retry_after(answer: &HttpResponse) -> Duration {
    let seconds = answer
        .header("retry-after")
        .and_then(|value| value.parse().ok());
    seconds.map_or(DEFAULT_WAIT, Duration::from_secs)
}

async fn send(arguments: &CallArguments) -> BenchResult<HttpResponse> {
    let key = arguments
        .key
        .iter()
        .map(|key| ("Idempotency-Key".to_owned(), key.clone()));
    let headers: Vec<(String, String)> = key.collect();
    let request = HttpRequest {
        method: &arguments.method,
        target: &arguments.path,
        headers: &headers,
        body: arguments.body.as_bytes(),
    };
    let exchange = fetch(arguments.to, request, ANSWER_LIMIT_BYTES);
    match async_std::future::timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(answer) => answer.change_context(BenchError::Network),
        Err(_) => Err(Report::new(BenchError::TimedOut)),
    }
}
