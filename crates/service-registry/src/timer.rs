//! Sleeping until a [`Timestamp`].

use async_io::Timer;
use pooler_routing::Timestamp;

/// Sleeps until `due`; returns at once if `due` has passed. `now` is the current time on the same clock.
pub(crate) async fn sleep_until(now: Timestamp, due: Timestamp) {
    let wait = (due - now).to_duration();
    if !wait.is_zero() {
        Timer::after(wait).await;
    }
}
