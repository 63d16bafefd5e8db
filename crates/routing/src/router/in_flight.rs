//! The outstanding work of an endpoint for this router: attempts in flight, and abandoned attempts that the
//! endpoint may still work on.

#[cfg(test)]
mod tests;

use super::latency::LatencyEstimates;
use crate::{AttemptNumber, ClassId, RequestId, SessionKey, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// An endpoint counts as silent if an attempt is unanswered for this multiple of the time after which it is
/// overdue.
const SILENCE_FACTOR: f64 = 2.0;
/// The largest weight of an attempt in flight in the load of its endpoint; its weight is its age as a
/// multiple of the mean latency.
const MAX_ATTEMPT_LOAD: f64 = 4.0;

/// Identifies an attempt among all those of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    /// The request that the attempt belongs to.
    pub(super) request: RequestId,
    /// The number of the attempt among those of its request.
    pub(super) number: AttemptNumber,
}

/// What is kept of an attempt in flight until it completes.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    /// When the attempt was sent.
    pub(super) sent_at: Timestamp,
    /// The class of the request.
    pub(super) class: ClassId,
    /// The session of the request.
    pub(super) session: Option<SessionKey>,
    /// The log position that the endpoint must have applied to serve the request.
    pub(super) required_position: Option<Timestamp>,
}

impl InFlightAttempt {
    fn is_long_overdue(&self, now: Timestamp, latency: &LatencyEstimates) -> bool {
        let silent_after = latency.of(self.class).overdue_after().mul_f64(SILENCE_FACTOR);
        now - self.sent_at > silent_after
    }
}

/// The attempts of this router that an endpoint works on.
#[derive(Clone, Debug)]
pub(super) struct EndpointWork {
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// For each abandoned attempt, when the endpoint should finish it by the usual latency.
    abandoned_until: Vec<Timestamp>,
    last_response_at: Timestamp,
    /// The latest time at which an attempt that succeeded was sent.
    latest_success_sent_at: Timestamp,
}

impl Default for EndpointWork {
    fn default() -> Self {
        Self {
            in_flight: BTreeMap::new(),
            abandoned_until: Vec::new(),
            last_response_at: Timestamp::default(),
            latest_success_sent_at: Timestamp::DISTANT_PAST,
        }
    }
}

impl EndpointWork {
    /// Adds an attempt that is sent.
    pub(super) fn start(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.in_flight.insert(id, attempt);
    }

    /// Removes an attempt that completed.
    pub(super) fn finish(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.in_flight.remove(&id)
    }

    /// Records that an attempt was abandoned. The endpoint still works on it for the time `remaining`.
    pub(super) fn record_abandoned(&mut self, now: Timestamp, remaining: TimeDelta) {
        self.abandoned_until.retain(|done_at| now < *done_at);
        self.abandoned_until.push(now + remaining);
    }

    /// Records a response to an attempt, other than a rejection for lack of capacity.
    pub(super) fn record_response(&mut self, now: Timestamp) {
        self.last_response_at = now;
    }

    /// Records the success of an attempt that was sent at `sent_at`.
    pub(super) fn record_success(&mut self, sent_at: Timestamp) {
        self.latest_success_sent_at = self.latest_success_sent_at.max(sent_at);
    }

    /// Whether no attempt is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Whether the endpoint responded to any attempt after `time`.
    pub(super) fn has_responded_since(&self, time: Timestamp) -> bool {
        self.last_response_at > time
    }

    /// Whether an attempt is long overdue and the endpoint has responded to nothing since it was sent.
    pub(super) fn is_silent(&self, now: Timestamp, latency: &LatencyEstimates) -> bool {
        let unanswered = |attempt: &InFlightAttempt| attempt.sent_at > self.last_response_at;
        self.in_flight.values().any(|attempt| unanswered(attempt) && attempt.is_long_overdue(now, latency))
    }

    /// Whether an attempt is long overdue although one that was sent later succeeded.
    pub(super) fn was_overtaken(
        &self,
        attempt: &InFlightAttempt,
        now: Timestamp,
        latency: &LatencyEstimates,
    ) -> bool {
        attempt.sent_at < self.latest_success_sent_at && self.is_lost(attempt, now, latency)
    }

    /// Whether an attempt is long overdue and the endpoint no longer works on it: one that was sent later
    /// succeeded, or the endpoint has responded to nothing since. Otherwise the attempt may still be queued
    /// at the endpoint.
    fn is_lost(&self, attempt: &InFlightAttempt, now: Timestamp, latency: &LatencyEstimates) -> bool {
        let overtaken = attempt.sent_at < self.latest_success_sent_at;
        attempt.is_long_overdue(now, latency) && (overtaken || attempt.sent_at > self.last_response_at)
    }

    /// The number of attempts in flight that are not lost.
    pub(super) fn live_count(&self, now: Timestamp, latency: &LatencyEstimates) -> f64 {
        self.in_flight.values().filter(|attempt| !self.is_lost(attempt, now, latency)).count() as f64
    }

    fn abandoned(&self, now: Timestamp) -> f64 {
        self.abandoned_until.iter().filter(|done_at| now < **done_at).count() as f64
    }

    /// The number of attempts that the endpoint works on: those in flight that are not lost, and those
    /// abandoned.
    pub(super) fn outstanding_count(&self, now: Timestamp, latency: &LatencyEstimates) -> f64 {
        self.live_count(now, latency) + self.abandoned(now)
    }

    /// The outstanding work plus 1, in which an attempt in flight has a higher weight the older it is.
    pub(super) fn weighted_load(&self, now: Timestamp, latency: &LatencyEstimates) -> f64 {
        let weight = |attempt: &InFlightAttempt| {
            latency.of(attempt.class).relative(now - attempt.sent_at).clamp(1.0, MAX_ATTEMPT_LOAD)
        };
        let in_flight: f64 = self.in_flight.values().map(weight).sum();
        1.0 + in_flight + self.abandoned(now)
    }
}
