use super::{PendingRequest, PendingRequests};
use crate::{
    AttemptNumber, AttemptOutcome, ClassId, Consistency, EndpointId, GroupId, Idempotency, Operation,
    Request, RequestClass, RequestId, TimeDelta, Timestamp,
};
use std::sync::Arc;

const NOW: Timestamp = Timestamp(50_000_000);

fn ms(milliseconds: i64) -> TimeDelta {
    TimeDelta::from_millis(milliseconds)
}

fn endpoint(name: &str) -> EndpointId {
    EndpointId(Arc::from(name))
}

/// A request with 1000 ms left and an objective of 400 ms, extended by 100 ms for 50 ms of expected work.
fn pending(id: u64) -> PendingRequest {
    let class = RequestClass {
        name: "read".to_owned(),
        idempotency: Idempotency::Idempotent,
        operation: Operation::Read(Consistency::Eventual),
        latency_objective: ms(400),
        objective_work_multiple: 2.0,
        priority_weight: 1.0,
        late_weight: 0.0,
    };
    let request = Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        session: None,
        time_remaining: ms(1_000),
        group: GroupId(0),
        since_last_write: None,
        expected_work: Some(ms(50)),
    };
    PendingRequest::new(NOW, &request, &class, None)
}

#[test]
fn expected_work_extends_the_objective() {
    assert_eq!(pending(1).objective_deadline(), NOW + ms(500));
    assert_eq!(pending(1).deadline(), NOW + ms(1_000));
}

#[test]
fn the_queueing_limit_applies_only_before_the_first_attempt() {
    let mut request = pending(1);
    assert!(!request.has_queued_too_long(NOW + ms(400)));
    assert!(request.has_queued_too_long(NOW + ms(401)));
    assert!(request.has_time_to_dispatch(NOW + ms(989)) && !request.has_time_to_dispatch(NOW + ms(990)));
    request.start_attempt(endpoint("a"));
    assert!(!request.has_queued_too_long(NOW + ms(401)));
}

#[test]
fn attempts_are_numbered_in_order_and_recorded_by_endpoint() {
    let mut request = pending(1);
    assert_eq!(request.start_attempt(endpoint("a")), AttemptNumber(0));
    assert_eq!(request.start_attempt(endpoint("b")), AttemptNumber(1));
    request.complete_attempt(AttemptNumber(0), AttemptOutcome::Rejected);
    assert_eq!(request.in_flight_attempts().collect::<Vec<_>>(), [AttemptNumber(1)]);
    assert!(request.has_tried(&endpoint("a")) && !request.has_tried(&endpoint("c")));
    assert!(!request.may_have_run());
    request.complete_attempt(AttemptNumber(1), AttemptOutcome::Timeout);
    assert!(request.may_have_run() && !request.is_in_flight());
}

#[test]
fn a_request_for_which_two_attempts_return_errors_is_at_fault() {
    let mut request = pending(1);
    for name in ["a", "b"] {
        assert!(!request.is_at_fault());
        let number = request.start_attempt(endpoint(name));
        request.complete_attempt(number, AttemptOutcome::Error);
    }
    assert!(request.is_at_fault());
    assert_eq!(request.first_erroring_endpoint(), Some(&endpoint("a")));
}

#[test]
fn requests_are_due_in_the_order_of_their_scheduled_checks() {
    let mut requests = PendingRequests::default();
    requests.insert(pending(1));
    requests.insert(pending(2));
    requests.schedule_check(RequestId(2), NOW + ms(100));
    assert_eq!(requests.next_check_at(), Some(NOW + ms(100)));
    assert_eq!(requests.first_due(NOW + ms(99)), None);
    assert_eq!(requests.first_due(NOW + ms(100)), Some(RequestId(2)));
    requests.schedule_check_at_deadline(RequestId(2));
    assert_eq!(requests.next_check_at(), Some(NOW + ms(1_000)));
    assert!(requests.remove(RequestId(1)).is_some() && requests.remove(RequestId(1)).is_none());
    assert_eq!(requests.first_due(NOW + ms(1_000)), Some(RequestId(2)));
}
