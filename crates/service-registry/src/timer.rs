//! Waiting for a point in time on the clock of the decisions.

use async_io::Timer;
use pooler_routing::Timestamp;

/// Waits until `due`; `now` is the time of the call.
pub(crate) async fn sleep_until(now: Timestamp, due: Timestamp) {
    let wait = (due - now).to_duration();
    if !wait.is_zero() {
        Timer::after(wait).await;
    }
}
