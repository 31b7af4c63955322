//! Sends one request and prints the full response.

use crate::json_file::{BenchError, BenchResult};
use clap::Args;
use error_stack::{Report, ResultExt};
use foxtailgauge_wire::http::{fetch, HttpRequest, HttpResponse};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a retry if the response has no `Retry-After` header.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Arguments of `call`.
#[derive(Clone, Debug, Args)]
pub struct CallArguments {
    /// Address of the daemon to send to.
    #[arg(long)]
    to: SocketAddr,
    /// HTTP method.
    #[arg(long, default_value = "GET")]
    method: String,
    /// Path and query.
    #[arg(long)]
    path: String,
    /// Idempotency key.
    #[arg(long)]
    key: Option<String>,
    /// Request body.
    #[arg(long, default_value = "")]
    body: String,
    /// Time during which a request that was not run is retried after the delay that the response
    /// asks for, in seconds.
    #[arg(long, default_value_t = 0)]
    patience_s: u64,
}

/// Sends the request and prints status, headers and body of the response.
pub async fn run(arguments: &CallArguments) -> BenchResult<()> {
    let deadline = Instant::now() + Duration::from_secs(arguments.patience_s);
    let response = loop {
        let response = send(arguments).await?;
        let is_not_run = response.header("foxtailgauge-outcome") == Some("not-run");
        let delay = retry_after(&response);
        if !is_not_run || Instant::now() + delay > deadline {
            break response;
        }
        async_std::task::sleep(delay).await;
    };
    println!("{}", response.status);
    for (name, value) in &response.headers {
        println!("{name}: {value}");
    }
    println!("\n{}", String::from_utf8_lossy(&response.body));
    Ok(())
}

fn retry_after(response: &HttpResponse) -> Duration {
    let seconds = response
        .header("retry-after")
        .and_then(|value| value.parse().ok());
    seconds.map_or(DEFAULT_RETRY_DELAY, Duration::from_secs)
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
    let exchange = fetch(arguments.to, request, MAX_RESPONSE_BYTES);
    match async_std::future::timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(response) => response.change_context(BenchError::Network),
        Err(_) => Err(Report::new(BenchError::TimedOut)),
    }
}
