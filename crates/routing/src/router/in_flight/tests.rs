use super::{AttemptId, EndpointWork, InFlightAttempt};
use crate::router::test_support::latency_of_one_class;
use crate::{AttemptNumber, ClassId, RequestId, TimeDelta, Timestamp};

const NOW: Timestamp = Timestamp(5_000_000);
/// Longer than any attempt of the class takes before it is overdue, which is 600 ms.
const LONG: TimeDelta = TimeDelta::from_millis(700);

fn id(request: u64) -> AttemptId {
    AttemptId { request: RequestId(request), number: AttemptNumber(0) }
}

fn attempt(sent_at: Timestamp) -> InFlightAttempt {
    InFlightAttempt { sent_at, class: ClassId(0), session: None, required_position: None }
}

#[test]
fn an_endpoint_is_silent_while_an_overdue_attempt_is_its_latest_sign() {
    let (latency, mut work) = (latency_of_one_class(), EndpointWork::default());
    work.start(id(1), attempt(NOW));
    assert!(!work.is_silent(NOW + TimeDelta::from_millis(600), &latency));
    assert!(work.is_silent(NOW + LONG, &latency));
    work.record_response(NOW + TimeDelta::from_millis(1));
    assert!(!work.is_silent(NOW + LONG, &latency), "it has responded to something since");
}

#[test]
fn a_lost_attempt_is_no_work() {
    let (latency, mut work) = (latency_of_one_class(), EndpointWork::default());
    work.start(id(1), attempt(NOW));
    assert_eq!(work.total(NOW, &latency), 1.0);
    assert_eq!(work.total(NOW + LONG, &latency), 0.0, "nothing came since it was sent");
    work.record_response(NOW + TimeDelta::from_millis(1));
    assert_eq!(work.total(NOW + LONG, &latency), 1.0, "it may be waiting for its turn");
    work.record_success(NOW + TimeDelta::from_millis(2));
    assert!(work.was_overtaken(&attempt(NOW), NOW + LONG, &latency));
    assert_eq!(work.total(NOW + LONG, &latency), 0.0, "a later attempt was answered");
}

#[test]
fn an_abandoned_attempt_is_work_until_it_is_finished_by_the_usual_latency_of_one_class() {
    let (latency, mut work) = (latency_of_one_class(), EndpointWork::default());
    work.start(id(1), attempt(NOW));
    assert!(work.finish(id(1)).is_some() && work.is_idle());
    work.record_abandoned(NOW, TimeDelta::from_millis(100));
    assert_eq!(work.total(NOW + TimeDelta::from_millis(99), &latency), 1.0);
    assert_eq!(work.total(NOW + TimeDelta::from_millis(100), &latency), 0.0);
}

#[test]
fn the_weight_of_an_attempt_grows_with_its_age_up_to_a_bound() {
    let (latency, mut work) = (latency_of_one_class(), EndpointWork::default());
    work.start(id(1), attempt(NOW));
    let weight = |ms| work.weighted(NOW + TimeDelta::from_millis(ms), &latency);
    assert_eq!([weight(0), weight(100), weight(250), weight(5_000)], [2.0, 2.0, 3.5, 5.0]);
}
