//! Timestamps and time differences with a resolution of one microsecond.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A time on the host's monotonic clock, in microseconds since an epoch that the host chooses. The clock
/// never goes backwards; only differences between timestamps are meaningful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub i64);

impl Timestamp {
    /// A timestamp before every event, far enough from the limits of `i64` to be subtracted from.
    pub const DISTANT_PAST: Self = Self(i64::MIN / 4);
}

/// The signed difference between two timestamps, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeDelta(pub i64);

impl TimeDelta {
    /// A difference of zero microseconds.
    pub const ZERO: Self = Self(0);

    /// The difference of this many milliseconds, saturating at the limits of `i64` microseconds.
    #[must_use]
    pub const fn from_millis(milliseconds: i64) -> Self {
        Self(milliseconds.saturating_mul(1_000))
    }

    /// Converts the difference to a standard library [`Duration`]; a negative difference becomes zero.
    #[must_use]
    pub fn to_duration(self) -> Duration {
        Duration::from_micros(u64::try_from(self.0).unwrap_or(0))
    }

    /// Multiplies the difference by `factor` and rounds towards zero. An infinite or NaN factor counts as
    /// zero.
    #[must_use]
    pub fn mul_f64(self, factor: f64) -> Self {
        let factor = if factor.is_finite() { factor } else { 0.0 };
        Self((self.0 as f64 * factor) as i64)
    }
}

impl From<Duration> for TimeDelta {
    /// Converts to whole microseconds, saturating at `i64::MAX`.
    fn from(duration: Duration) -> Self {
        Self(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Self;
    fn add(self, delta: TimeDelta) -> Self {
        Self(self.0.saturating_add(delta.0))
    }
}

impl Add for TimeDelta {
    type Output = Self;
    fn add(self, delta: Self) -> Self {
        Self(self.0.saturating_add(delta.0))
    }
}

impl Sub for TimeDelta {
    type Output = Self;
    fn sub(self, delta: Self) -> Self {
        Self(self.0.saturating_sub(delta.0))
    }
}

impl Sub<TimeDelta> for Timestamp {
    type Output = Self;
    fn sub(self, delta: TimeDelta) -> Self {
        Self(self.0.saturating_sub(delta.0))
    }
}

impl Sub for Timestamp {
    type Output = TimeDelta;
    fn sub(self, earlier: Self) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(earlier.0))
    }
}

/// A duration in microseconds that may have a fractional part, for averages.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct Microseconds(pub(crate) f64);

impl From<TimeDelta> for Microseconds {
    fn from(delta: TimeDelta) -> Self {
        Self(delta.0 as f64)
    }
}
