//! The fleet clock: an estimate of the time by which endpoints date log positions, commits and starts. The
//! router's own clock is used for durations only: its absolute time may be off by seconds or by an hour,
//! which can be detected only from the times that endpoints report.

#[cfg(test)]
mod tests;

use crate::{TimeDelta, Timestamp};

/// A reported time that differs from the clock by more than this is invalid rather than evidence of a wrong
/// clock.
const MAX_CLOCK_ERROR: TimeDelta = TimeDelta::from_millis(2 * 3_600_000);
/// The clock counts as correct if it is ahead of a reported time by no more than this. Reported times lag the
/// present by differing amounts.
const CLOCK_TOLERANCE: TimeDelta = TimeDelta::from_millis(500);
/// How long a newly started router holds back bounded-staleness reads until a primary confirms its clock.
const MAX_CONFIRMATION_WAIT: TimeDelta = TimeDelta::from_millis(100);

/// The fleet time, estimated from the router's clock and from the times that endpoints report.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetClock {
    /// How far the fleet time is ahead of the router's clock; negative if it is behind.
    offset: TimeDelta,
    /// The latest valid position that any endpoint reported, on the fleet clock.
    latest_position: Timestamp,
    /// Whether a position or a commit time from a primary has confirmed or corrected the clock.
    is_confirmed: bool,
    /// When a read first waited for the confirmation, on the router's clock.
    confirmation_awaited_since: Option<Timestamp>,
}

impl Default for FleetClock {
    fn default() -> Self {
        Self {
            offset: TimeDelta::ZERO,
            latest_position: Timestamp::DISTANT_PAST,
            is_confirmed: false,
            confirmation_awaited_since: None,
        }
    }
}

impl FleetClock {
    /// Converts a time of the router's clock to fleet time.
    pub(super) fn to_fleet_time(self, router_time: Timestamp) -> Timestamp {
        router_time + self.offset
    }

    /// Converts a fleet time to the router's clock.
    pub(super) fn to_router_time(self, fleet_time: Timestamp) -> Timestamp {
        fleet_time - self.offset
    }

    /// Whether a position or a commit time from a primary has confirmed or corrected the clock.
    pub(super) fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Starts the wait for a confirmation if it has not begun, and returns whether it has lasted for
    /// [`MAX_CONFIRMATION_WAIT`].
    pub(super) fn has_confirmation_wait_expired(&mut self, now: Timestamp) -> bool {
        now - *self.confirmation_awaited_since.get_or_insert(now) >= MAX_CONFIRMATION_WAIT
    }

    /// Records that some endpoint has applied the log up to a position. The present is no earlier, so a clock
    /// that is behind the position is set forward. Returns whether the position is valid.
    pub(super) fn observe_position(&mut self, now: Timestamp, position: Timestamp) -> bool {
        let error = position - self.to_fleet_time(now);
        if error > MAX_CLOCK_ERROR {
            return false;
        }
        if error > TimeDelta::ZERO {
            self.offset = self.offset + error;
        }
        self.latest_position = self.latest_position.max(position);
        true
    }

    /// Records the position that a primary reported in response to a health check or an attempt sent
    /// `elapsed` ago. The present is at that position or a little later, so a clock that agrees is confirmed.
    pub(super) fn observe_primary_position(
        &mut self,
        now: Timestamp,
        position: Timestamp,
        elapsed: TimeDelta,
    ) {
        self.is_confirmed |= self.to_fleet_time(now) - position <= CLOCK_TOLERANCE + elapsed;
    }

    /// Records that a write sent `elapsed` ago was committed at `commit`. The present is no later than
    /// `elapsed` after the commit, so a clock that is ahead of that is set back. It is never set back behind
    /// the latest position, or stale data would count as fresh. Returns whether the clock was set back.
    pub(super) fn observe_commit(&mut self, now: Timestamp, commit: Timestamp, elapsed: TimeDelta) -> bool {
        let error = self.to_fleet_time(now) - (commit + elapsed).max(self.latest_position);
        if error > MAX_CLOCK_ERROR {
            return false;
        }
        self.is_confirmed = true;
        let was_ahead = error > CLOCK_TOLERANCE;
        if was_ahead {
            self.offset = self.offset - error;
        }
        was_ahead
    }
}
