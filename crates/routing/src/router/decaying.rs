//! Sums over the recent past, in which older contributions count exponentially less.

#[cfg(test)]
mod tests;

use crate::{TimeDelta, Timestamp};

/// The total that a prior counts for in an estimated ratio.
const PRIOR_WEIGHT: f64 = 3.0;

/// The fraction of its weight that something observed at `then` still has, after a decay by `e` in every
/// `memory`.
pub(super) fn remaining_weight(then: Timestamp, now: Timestamp, memory: TimeDelta) -> f64 {
    (-((now - then).0 as f64) / memory.0 as f64).exp()
}

/// A decaying sum.
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
    /// The sum as of `now`.
    pub(super) fn value(&self, now: Timestamp, memory: TimeDelta) -> f64 {
        self.sum * remaining_weight(self.updated_at, now, memory)
    }

    /// Adds one.
    pub(super) fn increment(&mut self, now: Timestamp, memory: TimeDelta) {
        self.sum = self.value(now, memory) + 1.0;
        self.updated_at = now;
    }
}

/// A decaying sum, and the part of it that has some property.
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
    /// Adds to both sums.
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

    /// The ratio as of `now`; the less was counted, the closer it is to `prior`.
    pub(super) fn estimate(&self, now: Timestamp, memory: TimeDelta, prior: f64) -> f64 {
        let weight = remaining_weight(self.updated_at, now, memory);
        (self.matching * weight + prior * PRIOR_WEIGHT) / (self.total * weight + PRIOR_WEIGHT)
    }
}
