//! Known endpoints and groups, and the state that is kept for them.

use crate::support::*;

#[test]
fn an_evicted_endpoint_leaves_no_state_and_may_return() {
    let mut host = TestHost::with_primary(settings());
    host.set_lifecycle(1, Lifecycle::Removed);
    host.report(Event::EndpointUpdate(EndpointUpdate::Evicted(vec![endpoint_id(1), endpoint_id(9)])));
    // An active endpoint is not evicted, even if the update names it.
    host.report(Event::EndpointUpdate(EndpointUpdate::Evicted(vec![endpoint_id(2)])));
    let (_, actions) = host.request(EVENTUAL_READ);
    assert!(!sent_to(&actions).contains(&endpoint_id(1)) && !sent_to(&actions).is_empty());
    host.update_endpoints(vec![endpoint_entry(1)]);
    let (id, actions) = host.request(PLAIN_WRITE);
    assert!(!sent_to(&actions).is_empty());
    host.complete_attempt_as(id, 0, 1, AttemptOutcome::Ok, Role::Primary);
}

#[test]
fn an_endpoint_that_is_evicted_during_an_attempt_leaves_no_state_after_it() {
    // Guards against endpoints that hang, are replaced and stay in the router for good.
    let mut host = TestHost::new(settings(), 1);
    let (id, actions) = host.request(EVENTUAL_READ);
    assert_eq!(sent_to(&actions), [endpoint_id(1)]);
    host.set_lifecycle(1, Lifecycle::Removed);
    host.report(Event::EndpointUpdate(EndpointUpdate::Evicted(vec![endpoint_id(1)])));
    host.complete_attempt(id, 0, 1, AttemptOutcome::Ok);
    host.report(Event::EndpointUpdate(EndpointUpdate::Evicted(vec![endpoint_id(9)])));
    let state = format!("{:?}", host.router);
    assert!(!state.contains(&format!("{:?}", endpoint_id(1))), "{state}");
    // An endpoint that has returned meanwhile stays.
    let mut host = TestHost::new(settings(), 1);
    let (id, _) = host.request(EVENTUAL_READ);
    host.set_lifecycle(1, Lifecycle::Removed);
    host.report(Event::EndpointUpdate(EndpointUpdate::Evicted(vec![endpoint_id(1)])));
    host.set_lifecycle(1, Lifecycle::Draining);
    host.complete_attempt(id, 0, 1, AttemptOutcome::Ok);
    host.report(Event::EndpointUpdate(EndpointUpdate::Evicted(vec![endpoint_id(9)])));
    assert!(format!("{:?}", host.router).contains(&format!("{:?}", endpoint_id(1))));
}

#[test]
fn a_failed_poll_is_repeated() {
    let polling = Settings { discovery: Discovery::Poll, ..settings() };
    let mut host = TestHost::new(polling.clone(), 0);
    let mut actions = Vec::new();
    let mut router = Router::new(1, polling);
    router.handle(host.now, Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![])), &mut actions);
    assert!(actions.contains(&Action::Subscribe));
    host.report(Event::EndpointUpdate(EndpointUpdate::PollFailed));
    assert!(host.advance(1_100).contains(&Action::Subscribe));
}

#[test]
fn unexpected_events_are_answered_or_ignored() {
    let mut host = TestHost::new(settings(), 0);
    let (id, actions) = host.request(EVENTUAL_READ);
    assert!(sent_to(&actions).is_empty());
    assert!(
        rejection(&host.advance(400), id).is_some(),
        "a request for a group without endpoints is still rejected"
    );
    host.complete_attempt(RequestId(999), 7, 9, AttemptOutcome::Ok);
    host.report(Event::RequestAbandoned(RequestId(999)));
    host.report(Event::ResponseStarted(RequestId(999)));
    for report in [vec![], vec![f64::NAN, f64::INFINITY], vec![1e300, -1e300, 5.0]] {
        host.report(Event::HealthCheckCompleted {
            endpoint: endpoint_id(1),
            outcome: AttemptOutcome::Ok,
            elapsed: TimeDelta(-5),
            load_report: Some(report),
        });
    }
    let (id, actions) = host.request(ClassId(99));
    assert!(is_failed(&actions, id));
}

#[test]
fn groups_without_endpoints_leave_no_state() {
    let mut host = TestHost::with_primary(settings());
    for index in 0..1_000 {
        let request = Request {
            id: RequestId(1_000_000 + index),
            class: [BOUNDED_READ, PLAIN_WRITE][index as usize % 2],
            tenant: None,
            session: None,
            time_remaining: TimeDelta::from_millis(200),
            group: GroupId(770_000 + index as i64),
            since_last_write: None,
            expected_work: None,
        };
        host.report(Event::Request(request));
    }
    host.advance(400);
    assert!(
        !format!("{:?}", host.router).contains("GroupId(770"),
        "a group without endpoints is removed with its last request"
    );
    assert_eq!(sent_to(&host.request(PLAIN_WRITE).1), [endpoint_id(1)], "other groups are kept");
}

#[test]
fn an_endpoint_that_changes_its_group_receives_no_requests_of_its_previous_group() {
    let mut host = TestHost::new(settings(), 2);
    let (id, actions) = host.request(EVENTUAL_READ);
    let number = sent_to_first_or_second(&actions);
    let moved = EndpointEntry { group: GroupId(7), ..endpoint_entry(number) };
    host.update_endpoints(vec![moved]);
    assert!(
        !host.router.still_eligible(host.now, id, &endpoint_id(number)),
        "a request that waits for its connection is not sent either"
    );
    for _ in 0..20 {
        assert!(!sent_to(&host.request(EVENTUAL_READ).1).contains(&endpoint_id(number)));
    }
}
