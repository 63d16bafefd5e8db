//! The pooler's clock: Unix time in microseconds. The system time is read once at the start and advanced by
//! the monotonic clock, which ensures that the time never goes backwards.

use pooler_routing::{TimeDelta, Timestamp};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The Unix epoch on the router's time scale.
const EPOCH: Timestamp = Timestamp(0);

/// A Unix clock that never goes backwards; it doesn't follow later adjustments of the system time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix: Timestamp,
}

impl Clock {
    /// Starts a clock at the current system time.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), started_unix: EPOCH + TimeDelta::from(since_epoch) }
    }

    /// The current time, in microseconds since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.started_unix + TimeDelta::from(self.started.elapsed())
    }

    /// The monotonic instant at which this clock reads `timestamp`; the start of the clock for an earlier
    /// timestamp.
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.started + (timestamp - self.started_unix).to_duration()
    }
}
