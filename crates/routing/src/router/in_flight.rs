//! The work of an endpoint for this router: attempts in flight, and attempts that were abandoned while they
//! may run.

#[cfg(test)]
mod tests;

use super::latency::LatencyEstimates;
use crate::{AttemptNumber, ClassId, RequestId, SessionKey, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// After how many times the time in which an attempt becomes overdue its endpoint counts as silent.
const SILENCE_FACTOR: f64 = 2.0;
/// What an attempt in flight counts for in the load at most, as a multiple of a usual response.
const MAX_ATTEMPT_LOAD: f64 = 4.0;

/// An attempt, among all those of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    /// The request.
    pub(super) request: RequestId,
    /// Which of its attempts.
    pub(super) number: AttemptNumber,
}

/// An attempt in flight, as its endpoint's work sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    /// When it was sent.
    pub(super) sent_at: Timestamp,
    /// The class of its request.
    pub(super) class: ClassId,
    /// The session of its request.
    pub(super) session: Option<SessionKey>,
    /// The log position that the endpoint must have applied to serve it.
    pub(super) required_position: Option<Timestamp>,
}

impl InFlightAttempt {
    fn is_silent(&self, now: Timestamp, latency: &LatencyEstimates) -> bool {
        let patience = latency.of(self.class).overdue_after().mul_f64(SILENCE_FACTOR);
        now - self.sent_at > patience
    }
}

/// The work of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointWork {
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// When abandoned attempts are finished by the usual latency.
    abandoned_until: Vec<Timestamp>,
    last_response_at: Timestamp,
    /// When the latest of the successful attempts was sent.
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
    /// Adds an attempt.
    pub(super) fn start(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.in_flight.insert(id, attempt);
    }

    /// Removes an attempt.
    pub(super) fn finish(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.in_flight.remove(&id)
    }

    /// Records that an attempt was given up, which does not stop the endpoint's work on it.
    pub(super) fn record_abandoned(&mut self, now: Timestamp, remaining: TimeDelta) {
        self.abandoned_until.retain(|done_at| now < *done_at);
        self.abandoned_until.push(now + remaining);
    }

    /// Records a response of any kind.
    pub(super) fn record_response(&mut self, now: Timestamp) {
        self.last_response_at = now;
    }

    /// Records the success of an attempt sent at `sent_at`.
    pub(super) fn record_success(&mut self, sent_at: Timestamp) {
        self.latest_success_sent_at = self.latest_success_sent_at.max(sent_at);
    }

    /// Whether no attempt is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Whether any response came after `time`.
    pub(super) fn has_responded_since(&self, time: Timestamp) -> bool {
        self.last_response_at > time
    }

    /// Whether an attempt is in flight for far too long, and no response came since it was sent.
    pub(super) fn is_silent(&self, now: Timestamp, latency: &LatencyEstimates) -> bool {
        let unanswered = |attempt: &InFlightAttempt| attempt.sent_at > self.last_response_at;
        self.in_flight.values().any(|attempt| unanswered(attempt) && attempt.is_silent(now, latency))
    }

    /// Whether an attempt is in flight for far too long although a later one was answered.
    pub(super) fn was_overtaken(
        &self,
        attempt: &InFlightAttempt,
        now: Timestamp,
        latency: &LatencyEstimates,
    ) -> bool {
        attempt.sent_at < self.latest_success_sent_at && self.is_lost(attempt, now, latency)
    }

    /// Whether an attempt is in flight for far too long, and either a later one was answered or nothing was
    /// since. Otherwise it may still be waiting for its turn.
    fn is_lost(&self, attempt: &InFlightAttempt, now: Timestamp, latency: &LatencyEstimates) -> bool {
        let overtaken = attempt.sent_at < self.latest_success_sent_at;
        attempt.is_silent(now, latency) && (overtaken || attempt.sent_at > self.last_response_at)
    }

    /// The number of attempts in flight that are not lost.
    pub(super) fn live(&self, now: Timestamp, latency: &LatencyEstimates) -> f64 {
        self.in_flight.values().filter(|attempt| !self.is_lost(attempt, now, latency)).count() as f64
    }

    fn abandoned(&self, now: Timestamp) -> f64 {
        self.abandoned_until.iter().filter(|done_at| now < **done_at).count() as f64
    }

    /// The number of attempts that the endpoint works on: those not lost, and those abandoned.
    pub(super) fn total(&self, now: Timestamp, latency: &LatencyEstimates) -> f64 {
        self.live(now, latency) + self.abandoned(now)
    }

    /// The work, in which an attempt counts for more the longer it is in flight.
    pub(super) fn weighted(&self, now: Timestamp, latency: &LatencyEstimates) -> f64 {
        let weight = |attempt: &InFlightAttempt| {
            latency.of(attempt.class).relative(now - attempt.sent_at).clamp(1.0, MAX_ATTEMPT_LOAD)
        };
        let in_flight: f64 = self.in_flight.values().map(weight).sum();
        1.0 + in_flight + self.abandoned(now)
    }
}
