//! The clock that positions, commits and starts are told in. This router's own clock measures spans; what it
//! was set to may be off by seconds or by an hour, and shows only where the fleet tells of the present.

use crate::state::NEVER;
use crate::{TimeDelta, Timestamp};

/// What is further off than this is no sign of the clock but nonsense.
const LARGEST_ERROR: TimeDelta = TimeDelta::from_millis(2 * 3_600_000);
/// A clock that agrees within this is right: reports are of different ages.
const TOLERANCE: TimeDelta = TimeDelta::from_millis(500);

/// The fleet's time, by the router's own and what it has been told.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetClock {
    /// What the fleet's clock is ahead of the router's own.
    ahead: TimeDelta,
    /// The latest position that was told.
    latest: Timestamp,
    /// A primary's word has agreed with it.
    confirmed: bool,
}

impl Default for FleetClock {
    fn default() -> Self {
        Self { ahead: TimeDelta(0), latest: NEVER, confirmed: false }
    }
}

impl FleetClock {
    /// The fleet's time at a moment of the router's own clock.
    pub(super) fn at(&self, own: Timestamp) -> Timestamp {
        own + self.ahead
    }

    /// A moment of the fleet's time on the router's own clock.
    pub(super) fn own(&self, fleet: Timestamp) -> Timestamp {
        fleet - self.ahead
    }

    /// Whether a primary's word has agreed with it.
    pub(super) fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Some member has applied all up to this position: the present is no earlier. Whether it can be.
    pub(super) fn heard_position(&mut self, own: Timestamp, position: Timestamp) -> bool {
        let error = position - self.at(own);
        if error > LARGEST_ERROR {
            return false;
        }
        if error > TimeDelta(0) {
            self.ahead = self.ahead + error;
        }
        self.latest = self.latest.max(position);
        true
    }

    /// A primary said where it stood after a question that took so long: there, or a little later, is the
    /// present.
    pub(super) fn heard_primary(&mut self, own: Timestamp, position: Timestamp, took: TimeDelta) {
        self.confirmed |= self.at(own) - position <= TOLERANCE + took;
    }

    /// A write was committed after it was sent so long ago: the present is no later than that after its
    /// commit. Gives whether the clock was ahead and has been set back. No further than to what others told:
    /// data that is too old must not come to look fresh.
    pub(super) fn heard_commit(&mut self, own: Timestamp, commit: Timestamp, took: TimeDelta) -> bool {
        let error = self.at(own) - (commit + took).max(self.latest);
        if error > LARGEST_ERROR {
            return false;
        }
        self.confirmed = true;
        let was_ahead = error > TOLERANCE;
        if was_ahead {
            self.ahead = self.ahead - error;
        }
        was_ahead
    }
}
