//! Conversion from milliseconds, the unit on the wire, to microseconds, the router's unit. Fractions of a
//! microsecond are truncated, and values saturate at the limits of `i64`.

use pooler_routing::{TimeDelta, Timestamp};

const MICROS_PER_MILLI: f64 = 1_000.0;

/// Converts a time span in milliseconds.
pub(super) fn to_time_delta(millis: f64) -> TimeDelta {
    TimeDelta((millis * MICROS_PER_MILLI) as i64)
}

/// Converts a Unix time in milliseconds.
pub(super) fn to_timestamp(millis: f64) -> Timestamp {
    Timestamp((millis * MICROS_PER_MILLI) as i64)
}
