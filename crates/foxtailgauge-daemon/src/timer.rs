//! Sleeping until a deadline.

use futures::future::BoxFuture;
use std::time::Instant;

/// Completes at `deadline`, or at once if it has passed.
pub(crate) fn sleep_until(deadline: Instant) -> BoxFuture<'static, ()> {
    let delay = deadline.saturating_duration_since(Instant::now());
    Box::pin(async_std::task::sleep(delay))
}
