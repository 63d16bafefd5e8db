use super::{AttemptId, EndpointWork, InFlightAttempt};
use crate::router::test_support::latency_of_one_class;
use crate::{AttemptNumber, ClassId, RequestId, TimeDelta, Timestamp};

const NOW: Timestamp = Timestamp(5_000_000);
/// An age at which an attempt of the class is long overdue, which it is after 600 ms.
const LONG_OVERDUE: TimeDelta = TimeDelta::from_millis(700);

fn id(request: u64) -> AttemptId {
    AttemptId { request: RequestId(request), number: AttemptNumber(0) }
}

fn attempt(sent_at: Timestamp) -> InFlightAttempt {
    InFlightAttempt { sent_at, class: ClassId(0), session: None, required_position: None }
}

#[test]
fn an_endpoint_is_silent_if_it_responds_to_nothing_after_an_attempt_that_is_long_overdue() {
    let (latency, mut work) = (latency_of_one_class(), EndpointWork::default());
    work.start(id(1), attempt(NOW));
    assert!(!work.is_silent(NOW + TimeDelta::from_millis(600), &latency));
    assert!(work.is_silent(NOW + LONG_OVERDUE, &latency));
    work.record_response(NOW + TimeDelta::from_millis(1));
    assert!(!work.is_silent(NOW + LONG_OVERDUE, &latency), "the endpoint has responded since");
}

#[test]
fn a_lost_attempt_does_not_count_as_work() {
    let (latency, mut work) = (latency_of_one_class(), EndpointWork::default());
    work.start(id(1), attempt(NOW));
    assert_eq!(work.outstanding_count(NOW, &latency), 1.0);
    assert_eq!(
        work.outstanding_count(NOW + LONG_OVERDUE, &latency),
        0.0,
        "the endpoint has not responded since the attempt was sent"
    );
    work.record_response(NOW + TimeDelta::from_millis(1));
    assert_eq!(
        work.outstanding_count(NOW + LONG_OVERDUE, &latency),
        1.0,
        "the attempt may still be queued at the endpoint"
    );
    work.record_success(NOW + TimeDelta::from_millis(2));
    assert!(work.was_overtaken(&attempt(NOW), NOW + LONG_OVERDUE, &latency));
    assert_eq!(work.outstanding_count(NOW + LONG_OVERDUE, &latency), 0.0, "a later attempt succeeded");
}

#[test]
fn an_abandoned_attempt_counts_as_work_until_its_remaining_time_has_passed() {
    let (latency, mut work) = (latency_of_one_class(), EndpointWork::default());
    work.start(id(1), attempt(NOW));
    assert!(work.finish(id(1)).is_some() && work.is_idle());
    work.record_abandoned(NOW, TimeDelta::from_millis(100));
    assert_eq!(work.outstanding_count(NOW + TimeDelta::from_millis(99), &latency), 1.0);
    assert_eq!(work.outstanding_count(NOW + TimeDelta::from_millis(100), &latency), 0.0);
}

#[test]
fn the_weight_of_an_attempt_grows_with_its_age_up_to_a_bound() {
    let (latency, mut work) = (latency_of_one_class(), EndpointWork::default());
    work.start(id(1), attempt(NOW));
    let weight = |ms| work.weighted_load(NOW + TimeDelta::from_millis(ms), &latency);
    assert_eq!([weight(0), weight(100), weight(250), weight(5_000)], [2.0, 2.0, 3.5, 5.0]);
}
