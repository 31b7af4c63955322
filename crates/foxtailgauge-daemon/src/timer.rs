//! Waiting until a point in time.

use futures::future::BoxFuture;
use std::time::Instant;

/// Ends at the instant.
pub(crate) fn sleep_until(deadline: Instant) -> BoxFuture<'static, ()> {
    let delay = deadline.saturating_duration_since(Instant::now());
    Box::pin(async_std::task::sleep(delay))
}
