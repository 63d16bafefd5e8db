//! The pending requests, which have no final response yet, and the schedule of their next checks.

#[cfg(test)]
mod tests;

use crate::{
    AttemptNumber, AttemptOutcome, ClassId, EndpointId, GroupId, Request, RequestClass, RequestId,
    SessionKey, TenantId, TimeDelta, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// A request with no more time left than this is not dispatched.
const MIN_TIME_TO_DISPATCH: TimeDelta = TimeDelta::from_millis(10);
/// The longest wait of a read for its first dispatch, as a fraction of the time between its arrival and its
/// deadline. After a later rejection, the client would have no time to retry elsewhere.
const MAX_QUEUE_TIME: f64 = 0.4;
/// The number of attempts with errors from which the request itself is taken to be at fault.
const ERRORS_TO_BLAME_REQUEST: usize = 2;

/// The state of an attempt that its request keeps. The attempt's number is its index in the request.
#[derive(Clone, Debug)]
struct Attempt {
    endpoint: EndpointId,
    is_in_flight: bool,
    returned_error: bool,
}

/// A request without a final response, and its attempts.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    id: RequestId,
    class: ClassId,
    tenant: Option<TenantId>,
    group: GroupId,
    session: Option<SessionKey>,
    session_token: Option<Timestamp>,
    arrived_at: Timestamp,
    /// The time until which a response counts with the full priority weight; never after `deadline`.
    objective_deadline: Timestamp,
    deadline: Timestamp,
    attempts: Vec<Attempt>,
    /// Whether any attempt may have run.
    may_have_run: bool,
    /// The number of attempts that proved that their endpoint is not a primary that is up.
    failed_primaries: u32,
    /// When the request is checked next: at its deadline, or when its hedge is due.
    next_check_at: Timestamp,
}

impl PendingRequest {
    /// Creates a request that has just arrived. A read with read-your-writes consistency must see all commits
    /// up to `session_token`.
    pub(super) fn new(
        now: Timestamp,
        request: &Request,
        class: &RequestClass,
        session_token: Option<Timestamp>,
    ) -> Self {
        let extension =
            request.expected_work.map_or(TimeDelta::ZERO, |work| work.mul_f64(class.objective_work_multiple));
        let deadline = now + request.time_remaining;
        Self {
            id: request.id,
            class: request.class,
            tenant: request.tenant,
            group: request.group,
            session: request.session,
            session_token,
            arrived_at: now,
            objective_deadline: (now + class.latency_objective + extension).min(deadline),
            deadline,
            attempts: Vec::new(),
            may_have_run: false,
            failed_primaries: 0,
            next_check_at: deadline,
        }
    }

    pub(super) fn id(&self) -> RequestId {
        self.id
    }

    pub(super) fn class(&self) -> ClassId {
        self.class
    }

    pub(super) fn tenant(&self) -> Option<TenantId> {
        self.tenant
    }

    /// The replication group that holds the data of the request.
    pub(super) fn group(&self) -> GroupId {
        self.group
    }

    pub(super) fn session(&self) -> Option<SessionKey> {
        self.session
    }

    /// The position of the last known commit of the request's session.
    pub(super) fn session_token(&self) -> Option<Timestamp> {
        self.session_token
    }

    pub(super) fn arrived_at(&self) -> Timestamp {
        self.arrived_at
    }

    /// The time until which a response counts with the full priority weight.
    pub(super) fn objective_deadline(&self) -> Timestamp {
        self.objective_deadline
    }

    /// The time at which the client gives up.
    pub(super) fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Whether the request arrived with the current event and has no attempts yet.
    pub(super) fn is_new(&self, now: Timestamp) -> bool {
        self.attempts.is_empty() && now == self.arrived_at
    }

    /// Whether the request waited so long for its first dispatch that its client should retry elsewhere.
    pub(super) fn has_queued_too_long(&self, now: Timestamp) -> bool {
        let max_wait = (self.deadline - self.arrived_at).mul_f64(MAX_QUEUE_TIME);
        self.attempts.is_empty() && now - self.arrived_at > max_wait
    }

    /// Whether enough time is left before the deadline to dispatch the request.
    pub(super) fn has_time_to_dispatch(&self, now: Timestamp) -> bool {
        now + MIN_TIME_TO_DISPATCH < self.deadline
    }

    /// Whether any completed attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// The number of attempts sent, including those in flight.
    pub(super) fn attempt_count(&self) -> u32 {
        self.attempts.len() as u32
    }

    pub(super) fn in_flight_count(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight).count()
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }

    /// The numbers of the attempts in flight, in ascending order.
    pub(super) fn in_flight_attempts(&self) -> impl Iterator<Item = AttemptNumber> {
        let in_flight = self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_in_flight);
        in_flight.map(|(index, _)| AttemptNumber(index as u32))
    }

    /// Whether any attempt was sent to this endpoint, whatever its outcome.
    pub(super) fn has_tried(&self, endpoint: &EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == *endpoint)
    }

    /// Whether so many attempts returned errors that the request itself is taken to be at fault.
    pub(super) fn is_at_fault(&self) -> bool {
        self.attempts.iter().filter(|attempt| attempt.returned_error).count() >= ERRORS_TO_BLAME_REQUEST
    }

    /// The endpoint of the first attempt, in the order of sending, that returned an error.
    pub(super) fn first_erroring_endpoint(&self) -> Option<&EndpointId> {
        self.attempts.iter().find(|attempt| attempt.returned_error).map(|attempt| &attempt.endpoint)
    }

    /// The number of attempts that proved that their endpoint is not a primary that is up.
    pub(super) fn failed_primaries(&self) -> u32 {
        self.failed_primaries
    }

    /// Records that an attempt proved that its endpoint is not a primary that is up.
    pub(super) fn record_failed_primary(&mut self) {
        self.failed_primaries += 1;
    }

    /// Adds an attempt in flight and returns its number.
    pub(super) fn start_attempt(&mut self, endpoint: EndpointId) -> AttemptNumber {
        let number = AttemptNumber(self.attempt_count());
        self.attempts.push(Attempt { endpoint, is_in_flight: true, returned_error: false });
        number
    }

    /// Records the outcome of an attempt, which is then no longer in flight.
    pub(super) fn complete_attempt(&mut self, number: AttemptNumber, outcome: AttemptOutcome) {
        if let Some(attempt) = self.attempts.get_mut(number.0 as usize) {
            attempt.is_in_flight = false;
            attempt.returned_error = outcome == AttemptOutcome::Error;
        }
        self.may_have_run |= !outcome.never_ran();
    }
}

/// An entry of the check schedule, ordered by time and then by request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledCheck {
    at: Timestamp,
    request: RequestId,
}

/// All pending requests. Each has exactly one scheduled check, at its `next_check_at`.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    checks: BTreeSet<ScheduledCheck>,
}

impl PendingRequests {
    /// Adds a request and schedules its first check.
    pub(super) fn insert(&mut self, request: PendingRequest) {
        self.checks.insert(ScheduledCheck { at: request.next_check_at, request: request.id });
        self.requests.insert(request.id, request);
    }

    /// A pending request; `None` once it was removed.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// A pending request, to record its attempts.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Removes a request and its scheduled check.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.checks.remove(&ScheduledCheck { at: request.next_check_at, request: id });
        Some(request)
    }

    /// Replaces the scheduled check of a request.
    pub(super) fn schedule_check(&mut self, id: RequestId, at: Timestamp) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.checks.remove(&ScheduledCheck { at: request.next_check_at, request: id });
        self.checks.insert(ScheduledCheck { at, request: id });
        request.next_check_at = at;
    }

    /// Replaces the scheduled check of a request by one at its deadline.
    pub(super) fn schedule_check_at_deadline(&mut self, id: RequestId) {
        if let Some(deadline) = self.get(id).map(PendingRequest::deadline) {
            self.schedule_check(id, deadline);
        }
    }

    /// The time of the earliest scheduled check.
    pub(super) fn next_check_at(&self) -> Option<Timestamp> {
        self.checks.first().map(|check| check.at)
    }

    /// The request with the earliest scheduled check, if that is due.
    pub(super) fn first_due(&self, now: Timestamp) -> Option<RequestId> {
        self.checks.first().filter(|check| check.at <= now).map(|check| check.request)
    }
}
