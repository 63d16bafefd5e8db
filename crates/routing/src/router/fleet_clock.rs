//! The fleet's clock, on which log positions, commits and starts are dated. The router's own clock measures
//! durations; what it is set to may be off by seconds or by an hour, which shows only in the times that
//! endpoints report.

#[cfg(test)]
mod tests;

use crate::{TimeDelta, Timestamp};

/// A larger difference is not an error of the clock, but an invalid value.
const MAX_ERROR: TimeDelta = TimeDelta::from_millis(2 * 3_600_000);
/// A smaller difference confirms the clock: reports are of different ages.
const TOLERANCE: TimeDelta = TimeDelta::from_millis(500);
/// How long a router that has just started waits for a primary to confirm its clock.
const MAX_CONFIRMATION_WAIT: TimeDelta = TimeDelta::from_millis(100);

/// The fleet's time, estimated from the router's clock and from what endpoints report.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetClock {
    /// How far the fleet's clock is ahead of the router's.
    offset: TimeDelta,
    /// The latest position that any endpoint reported.
    latest_position: Timestamp,
    /// Whether a primary agreed with it.
    is_confirmed: bool,
    /// When a read first waited for that.
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
    /// The fleet's time at a moment of the router's clock.
    pub(super) fn to_fleet_time(self, router_time: Timestamp) -> Timestamp {
        router_time + self.offset
    }

    /// The router's time at a moment of the fleet's clock.
    pub(super) fn to_router_time(self, fleet_time: Timestamp) -> Timestamp {
        fleet_time - self.offset
    }

    /// Whether a primary agreed with it.
    pub(super) fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Waits for a primary to confirm it, and returns whether that has lasted too long.
    pub(super) fn has_awaited_confirmation(&mut self, now: Timestamp) -> bool {
        now - *self.confirmation_awaited_since.get_or_insert(now) >= MAX_CONFIRMATION_WAIT
    }

    /// Some endpoint has applied the log up to this position, so the present is no earlier. Returns whether
    /// the position is valid.
    pub(super) fn observe_position(&mut self, now: Timestamp, position: Timestamp) -> bool {
        let error = position - self.to_fleet_time(now);
        if error > MAX_ERROR {
            return false;
        }
        if error > TimeDelta::ZERO {
            self.offset = self.offset + error;
        }
        self.latest_position = self.latest_position.max(position);
        true
    }

    /// A primary reported its position in response to a health check that took `elapsed`: the present is
    /// there, or a little later.
    pub(super) fn observe_primary_position(
        &mut self,
        now: Timestamp,
        position: Timestamp,
        elapsed: TimeDelta,
    ) {
        self.is_confirmed |= self.to_fleet_time(now) - position <= TOLERANCE + elapsed;
    }

    /// A write that was sent `elapsed` ago was committed at `commit`: the present is no later than that after
    /// its commit. Returns whether the clock was ahead and has been set back. It is never set back behind the
    /// latest position, or stale data would count as fresh.
    pub(super) fn observe_commit(&mut self, now: Timestamp, commit: Timestamp, elapsed: TimeDelta) -> bool {
        let error = self.to_fleet_time(now) - (commit + elapsed).max(self.latest_position);
        if error > MAX_ERROR {
            return false;
        }
        self.is_confirmed = true;
        let was_ahead = error > TOLERANCE;
        if was_ahead {
            self.offset = self.offset - error;
        }
        was_ahead
    }
}
