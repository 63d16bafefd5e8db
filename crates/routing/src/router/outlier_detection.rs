//! Outlier detection: an endpoint whose failure score is too high is ejected for a time.

#[cfg(test)]
mod tests;

use crate::{TimeDelta, Timestamp};

/// An endpoint whose failure score reaches this value is ejected.
const EJECTION_THRESHOLD: f64 = 0.6;
/// The factor by which a success lowers the failure score.
const SCORE_RETENTION: f64 = 0.8;
/// The duration of the first ejection. Each further one lasts twice as long as the one before.
const BASE_EJECTION_TIME: TimeDelta = TimeDelta::from_millis(250);
/// The longest duration of an ejection.
const MAX_EJECTION_TIME: TimeDelta = TimeDelta::from_millis(4_000);
/// The largest number of times that the duration of the first ejection is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// What a failure score of 1 adds to the factor on the load that an endpoint appears to have.
const LOAD_PER_SCORE: f64 = 4.0;

/// A kind of failure that counts against an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) enum Failure {
    /// An attempt got no response: it timed out, or its connection broke.
    LostResponse,
    /// No connection to the endpoint could be opened.
    NoConnection,
    /// The endpoint returned an error for a request that another endpoint answered.
    ErrorAnsweredElsewhere,
}

impl Failure {
    /// The fraction of the distance to a score of 1 by which the failure raises the score.
    const fn weight(self) -> f64 {
        match self {
            Self::LostResponse => 0.3,
            Self::NoConnection => 0.7,
            Self::ErrorAnsweredElsewhere => 0.4,
        }
    }
}

/// The failure score of an endpoint, from 0 (no failures) to 1 (nothing but failures), and its ejections.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureScore {
    score: f64,
    /// The number of ejections less the successes since; each success takes one off, down to zero.
    ejections: u32,
    ejected_until: Timestamp,
}

impl FailureScore {
    /// Whether the endpoint is ejected at `now`.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// When the latest ejection ends.
    pub(super) fn ejected_until(&self) -> Timestamp {
        self.ejected_until
    }

    /// Whether the endpoint was ejected and has not had enough successes since to count as recovered.
    pub(super) fn is_on_probation(&self) -> bool {
        self.ejections > 0
    }

    /// The factor on the endpoint's load by which the load balancer accounts for its failures; at least 1.
    pub(super) fn load_factor(&self) -> f64 {
        1.0 + LOAD_PER_SCORE * self.score
    }

    /// Records a failure, and returns whether it ejects the endpoint.
    pub(super) fn record_failure(&mut self, now: Timestamp, failure: Failure) -> bool {
        self.score += (1.0 - self.score) * failure.weight();
        if self.score < EJECTION_THRESHOLD || self.is_ejected(now) {
            return false;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until =
            now + BASE_EJECTION_TIME.mul_f64(f64::from(1 << doublings)).min(MAX_EJECTION_TIME);
        self.ejections += 1;
        true
    }

    /// Records a success, which lowers the score and ends an ejection.
    pub(super) fn record_success(&mut self) {
        self.score *= SCORE_RETENTION;
        self.ejections = self.ejections.saturating_sub(1);
        self.ejected_until = Timestamp::DISTANT_PAST;
    }
}
