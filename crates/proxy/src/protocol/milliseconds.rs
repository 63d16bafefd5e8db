//! Conversion of times that are milliseconds on the wire to the router's microseconds. Fractions of a microsecond are
//! cut off, and values saturate at the limits of `i64`.

use pooler_routing::{TimeDelta, Timestamp};

const MICROS_PER_MILLI: f64 = 1_000.0;

/// The time difference of so many milliseconds.
pub(super) fn to_time_delta(millis: f64) -> TimeDelta {
    TimeDelta((millis * MICROS_PER_MILLI) as i64)
}

/// The time so many milliseconds after the Unix epoch.
pub(super) fn to_timestamp(millis: f64) -> Timestamp {
    Timestamp((millis * MICROS_PER_MILLI) as i64)
}
