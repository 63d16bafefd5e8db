//! Outlier detection: endpoints that fail are ejected for a time.

#[cfg(test)]
mod tests;

use crate::{TimeDelta, Timestamp};

/// The score from which an endpoint is ejected.
const EJECTION_THRESHOLD: f64 = 0.6;
/// What a success leaves of the score.
const SCORE_RETENTION: f64 = 0.8;
/// The duration of the first ejection; each further one lasts twice as long.
const BASE_EJECTION: TimeDelta = TimeDelta::from_millis(250);
/// The longest ejection.
const MAX_EJECTION: TimeDelta = TimeDelta::from_millis(4_000);
/// How often the duration is doubled at most.
const MAX_DOUBLINGS: u32 = 5;
/// By how much a score of 1 multiplies the load that an endpoint is seen to have, less one.
const LOAD_PER_SCORE: f64 = 4.0;

/// A failure of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) enum Failure {
    /// An attempt was sent and got no response.
    LostResponse,
    /// No connection could be opened.
    NoConnection,
    /// It returned an error for a request that another endpoint answered.
    ErrorAnsweredElsewhere,
}

impl Failure {
    /// The part of the way to a score of 1 that the failure adds.
    const fn weight(self) -> f64 {
        match self {
            Self::LostResponse => 0.3,
            Self::NoConnection => 0.7,
            Self::ErrorAnsweredElsewhere => 0.4,
        }
    }
}

/// The failures of an endpoint, from 0 (none) to 1 (nothing else), and its ejections.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureScore {
    score: f64,
    /// Ejections that successes have not made up for.
    ejections: u32,
    ejected_until: Timestamp,
}

impl FailureScore {
    /// Whether the endpoint is ejected.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// When the last ejection ends.
    pub(super) fn ejected_until(&self) -> Timestamp {
        self.ejected_until
    }

    /// Whether it was ejected and has not shown since then that it has recovered.
    pub(super) fn is_on_probation(&self) -> bool {
        self.ejections > 0
    }

    /// By what factor the failures increase the load that the endpoint is seen to have.
    pub(super) fn load_factor(&self) -> f64 {
        1.0 + LOAD_PER_SCORE * self.score
    }

    /// Records a failure and returns whether it ejects the endpoint.
    pub(super) fn record_failure(&mut self, now: Timestamp, failure: Failure) -> bool {
        self.score += (1.0 - self.score) * failure.weight();
        if self.score < EJECTION_THRESHOLD || self.is_ejected(now) {
            return false;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = now + BASE_EJECTION.mul_f64(f64::from(1 << doublings)).min(MAX_EJECTION);
        self.ejections += 1;
        true
    }

    /// Records a success, which ends an ejection.
    pub(super) fn record_success(&mut self) {
        self.score *= SCORE_RETENTION;
        self.ejections = self.ejections.saturating_sub(1);
        self.ejected_until = Timestamp::DISTANT_PAST;
    }
}
