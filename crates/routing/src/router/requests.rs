//! The requests that are owed a final response, and when each must be looked at.

#[cfg(test)]
mod tests;

use crate::{
    AttemptNumber, AttemptOutcome, ClassId, EndpointId, GroupId, Request, RequestClass, RequestId,
    SessionKey, TenantId, TimeDelta, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// A request with less time left than this is not dispatched any more.
const MIN_TIME_TO_DISPATCH: TimeDelta = TimeDelta::from_millis(10);
/// The fraction of its time that a read waits for its first dispatch. Rejected later, its client would have
/// no time to retry elsewhere.
const MAX_QUEUE_TIME: f64 = 0.4;
/// A request for which this many endpoints returned errors is at fault itself.
const MAX_ERRORS: usize = 2;

/// An attempt, as its request sees it.
#[derive(Clone, Debug)]
struct Attempt {
    endpoint: EndpointId,
    is_in_flight: bool,
    returned_error: bool,
}

/// A request that is owed its final response.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    id: RequestId,
    class: ClassId,
    tenant: Option<TenantId>,
    group: GroupId,
    session: Option<SessionKey>,
    session_token: Option<Timestamp>,
    arrived_at: Timestamp,
    /// Until when a response is worth the full priority weight.
    objective_at: Timestamp,
    deadline: Timestamp,
    attempts: Vec<Attempt>,
    /// Some attempt may have run.
    may_have_run: bool,
    /// Attempts that proved that their endpoint is not a primary that is up.
    failed_primaries: u32,
    /// When it is to be looked at: its deadline, or when its attempt is overdue.
    next_check_at: Timestamp,
}

impl PendingRequest {
    /// A request that has just arrived; a read of its session must see all up to `session_token`.
    pub(super) fn new(
        now: Timestamp,
        request: &Request,
        class: &RequestClass,
        session_token: Option<Timestamp>,
    ) -> Self {
        let stretch =
            request.expected_work.map_or(TimeDelta::ZERO, |work| work.mul_f64(class.objective_stretch));
        let deadline = now + request.time_remaining;
        Self {
            id: request.id,
            class: request.class,
            tenant: request.tenant,
            group: request.group,
            session: request.session,
            session_token,
            arrived_at: now,
            objective_at: (now + class.latency_objective + stretch).min(deadline),
            deadline,
            attempts: Vec::new(),
            may_have_run: false,
            failed_primaries: 0,
            next_check_at: deadline,
        }
    }

    /// Its identifier.
    pub(super) fn id(&self) -> RequestId {
        self.id
    }

    /// Its class.
    pub(super) fn class(&self) -> ClassId {
        self.class
    }

    /// Its tenant.
    pub(super) fn tenant(&self) -> Option<TenantId> {
        self.tenant
    }

    /// The group that holds its data.
    pub(super) fn group(&self) -> GroupId {
        self.group
    }

    /// Its session.
    pub(super) fn session(&self) -> Option<SessionKey> {
        self.session
    }

    /// The last commit of its session.
    pub(super) fn session_token(&self) -> Option<Timestamp> {
        self.session_token
    }

    /// When it arrived.
    pub(super) fn arrived_at(&self) -> Timestamp {
        self.arrived_at
    }

    /// Until when a response is worth the full priority weight.
    pub(super) fn objective_at(&self) -> Timestamp {
        self.objective_at
    }

    /// When the client gives up.
    pub(super) fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Whether it has just arrived.
    pub(super) fn is_new(&self, now: Timestamp) -> bool {
        self.attempts.is_empty() && now == self.arrived_at
    }

    /// Whether it waited so long for its first dispatch that its client should rather retry elsewhere.
    pub(super) fn has_queued_too_long(&self, now: Timestamp) -> bool {
        let max_wait = (self.deadline - self.arrived_at).mul_f64(MAX_QUEUE_TIME);
        self.attempts.is_empty() && now - self.arrived_at > max_wait
    }

    /// Whether there is still time to dispatch it.
    pub(super) fn has_time_to_dispatch(&self, now: Timestamp) -> bool {
        now + MIN_TIME_TO_DISPATCH < self.deadline
    }

    /// Whether some attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// The number of attempts that were sent.
    pub(super) fn attempt_count(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// The number of attempts in flight.
    pub(super) fn in_flight_count(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight).count()
    }

    /// Whether any attempt is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }

    /// The attempts in flight.
    pub(super) fn in_flight_attempts(&self) -> impl Iterator<Item = AttemptNumber> {
        let in_flight = self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_in_flight);
        in_flight.map(|(index, _)| AttemptNumber(index as u32))
    }

    /// Whether an attempt was sent to this endpoint.
    pub(super) fn has_tried(&self, endpoint: &EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == *endpoint)
    }

    /// Whether so many endpoints returned errors that the request itself is at fault.
    pub(super) fn is_at_fault(&self) -> bool {
        self.attempts.iter().filter(|attempt| attempt.returned_error).count() >= MAX_ERRORS
    }

    /// The first endpoint that returned an error.
    pub(super) fn first_erroring_endpoint(&self) -> Option<&EndpointId> {
        self.attempts.iter().find(|attempt| attempt.returned_error).map(|attempt| &attempt.endpoint)
    }

    /// The number of attempts that proved that their endpoint is not a primary that is up.
    pub(super) fn failed_primaries(&self) -> u32 {
        self.failed_primaries
    }

    /// An attempt proved that its endpoint is not a primary that is up.
    pub(super) fn record_failed_primary(&mut self) {
        self.failed_primaries += 1;
    }

    /// An attempt is sent.
    pub(super) fn start_attempt(&mut self, endpoint: EndpointId) -> AttemptNumber {
        let number = AttemptNumber(self.attempt_count());
        self.attempts.push(Attempt { endpoint, is_in_flight: true, returned_error: false });
        number
    }

    /// An attempt ended.
    pub(super) fn complete_attempt(&mut self, number: AttemptNumber, outcome: AttemptOutcome) {
        if let Some(attempt) = self.attempts.get_mut(number.0 as usize) {
            attempt.is_in_flight = false;
            attempt.returned_error = outcome == AttemptOutcome::Error;
        }
        self.may_have_run |= !outcome.never_ran();
    }
}

/// When a request is to be looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledCheck {
    at: Timestamp,
    request: RequestId,
}

/// All requests that are owed their final response.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    checks: BTreeSet<ScheduledCheck>,
}

impl PendingRequests {
    /// Adds a request, to be looked at when its deadline passes.
    pub(super) fn insert(&mut self, request: PendingRequest) {
        self.checks.insert(ScheduledCheck { at: request.next_check_at, request: request.id });
        self.requests.insert(request.id, request);
    }

    /// A request.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// A request, to record its attempts.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Removes a request that has received its final response.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.checks.remove(&ScheduledCheck { at: request.next_check_at, request: id });
        Some(request)
    }

    /// Sets when a request is to be looked at.
    pub(super) fn schedule_check(&mut self, id: RequestId, at: Timestamp) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.checks.remove(&ScheduledCheck { at: request.next_check_at, request: id });
        self.checks.insert(ScheduledCheck { at, request: id });
        request.next_check_at = at;
    }

    /// Has a request looked at when its deadline passes.
    pub(super) fn schedule_check_at_deadline(&mut self, id: RequestId) {
        if let Some(deadline) = self.get(id).map(PendingRequest::deadline) {
            self.schedule_check(id, deadline);
        }
    }

    /// When the first request is to be looked at.
    pub(super) fn next_check_at(&self) -> Option<Timestamp> {
        self.checks.first().map(|check| check.at)
    }

    /// The first request that is to be looked at by now.
    pub(super) fn first_due(&self, now: Timestamp) -> Option<RequestId> {
        self.checks.first().filter(|check| check.at <= now).map(|check| check.request)
    }
}
