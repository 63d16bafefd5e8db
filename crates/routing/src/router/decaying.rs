//! Exponentially decaying sums and ratios over the recent past.

#[cfg(test)]
mod tests;

use crate::{TimeDelta, Timestamp};

/// The total that the prior counts for in an estimated ratio.
const PRIOR_WEIGHT: f64 = 3.0;

/// The fraction of its weight that an observation at `then` still has at `now`. `memory` is the time
/// constant, in which the weight decays by a factor of e.
pub(super) fn remaining_weight(then: Timestamp, now: Timestamp, memory: TimeDelta) -> f64 {
    (-((now - then).0 as f64) / memory.0 as f64).exp()
}

/// An exponentially decaying count of events.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingCount {
    sum: f64,
    updated_at: Timestamp,
}

impl Default for DecayingCount {
    fn default() -> Self {
        Self { sum: 0.0, updated_at: Timestamp::DISTANT_PAST }
    }
}

impl DecayingCount {
    /// The count as of `now`.
    pub(super) fn value(&self, now: Timestamp, memory: TimeDelta) -> f64 {
        self.sum * remaining_weight(self.updated_at, now, memory)
    }

    /// Adds one event.
    pub(super) fn increment(&mut self, now: Timestamp, memory: TimeDelta) {
        self.sum = self.value(now, memory) + 1.0;
        self.updated_at = now;
    }
}

/// Two exponentially decaying sums: a total, and the part of it that matches some criterion.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingRatio {
    matching: f64,
    total: f64,
    updated_at: Timestamp,
}

impl Default for DecayingRatio {
    fn default() -> Self {
        Self { matching: 0.0, total: 0.0, updated_at: Timestamp::DISTANT_PAST }
    }
}

impl DecayingRatio {
    /// Adds to the two sums.
    pub(super) fn add(&mut self, now: Timestamp, memory: TimeDelta, matching: f64, total: f64) {
        let weight = remaining_weight(self.updated_at, now, memory);
        self.matching = self.matching * weight + matching;
        self.total = self.total * weight + total;
        self.updated_at = now;
    }

    /// The total as of `now`.
    pub(super) fn total(&self, now: Timestamp, memory: TimeDelta) -> f64 {
        self.total * remaining_weight(self.updated_at, now, memory)
    }

    /// The ratio of the matching part as of `now`. The smaller the total, the closer it is to `prior`.
    pub(super) fn estimate(&self, now: Timestamp, memory: TimeDelta, prior: f64) -> f64 {
        let weight = remaining_weight(self.updated_at, now, memory);
        (self.matching * weight + prior * PRIOR_WEIGHT) / (self.total * weight + PRIOR_WEIGHT)
    }
}
