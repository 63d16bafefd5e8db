//! Waiting for a point in time on the clock of the decisions.

use async_io::Timer;
use pooler_routing::Timestamp;
use std::time::Duration;

/// Waits until `due`; `now` is the time of the call.
pub(crate) async fn sleep_until(now: Timestamp, due: Timestamp) {
    let wait = Duration::from_micros(u64::try_from((due - now).0).unwrap_or(0));
    if !wait.is_zero() {
        Timer::after(wait).await;
    }
}
