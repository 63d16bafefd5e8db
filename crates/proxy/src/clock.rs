//! The pooler's clock: Unix time in microseconds, read once at the start and carried on by the monotonic clock, so that
//! it never runs backwards.

use pooler_routing::{TimeDelta, Timestamp};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The Unix epoch on the router's time scale.
const EPOCH: Timestamp = Timestamp(0);

/// Unix time that only moves forward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix: Timestamp,
}

impl Clock {
    /// A clock anchored at the system's time.
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

    /// The instant of the monotonic clock at which this clock shows `timestamp`; its start for an earlier timestamp.
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.started + (timestamp - self.started_unix).to_duration()
    }
}
