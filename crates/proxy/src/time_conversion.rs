//! Conversion between the router's time differences and the standard library's durations.

use pooler_routing::TimeDelta;
use std::time::Duration;

/// The difference as a duration; zero for a negative one.
#[must_use]
pub fn to_duration(delta: TimeDelta) -> Duration {
    Duration::from_micros(u64::try_from(delta.0).unwrap_or(0))
}

/// The duration in whole microseconds, saturating at the limit of `i64`.
#[must_use]
pub fn to_time_delta(duration: Duration) -> TimeDelta {
    TimeDelta(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
}
