//! The endpoints known, and what is kept of them.

use crate::support::*;

#[test]
fn an_evicted_endpoint_leaves_no_state_and_may_return() {
    let mut host = TestHost::with_primary(settings());
    host.set_lifecycle(1, Lifecycle::Removed);
    host.report(Event::EndpointUpdate(EndpointUpdate::Evicted(vec![endpoint_id(1), endpoint_id(9)])));
    // An active endpoint is not forgotten, whatever the eviction names.
    host.report(Event::EndpointUpdate(EndpointUpdate::Evicted(vec![endpoint_id(2)])));
    let (_, actions) = host.request(EVENTUAL_READ);
    assert!(!sent_to(&actions).contains(&endpoint_id(1)) && !sent_to(&actions).is_empty());
    host.update_endpoints(vec![endpoint_entry(1)]);
    let (id, actions) = host.request(PLAIN_WRITE);
    assert!(!sent_to(&actions).is_empty());
    host.complete_attempt_as(id, 0, 1, AttemptOutcome::Ok, Role::Primary);
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
        "a group without endpoints still answers its requests"
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
    for at in 0..1_000 {
        let request = Request {
            id: RequestId(1_000_000 + at),
            class: [BOUNDED_READ, PLAIN_WRITE][at as usize % 2],
            tenant: None,
            session: None,
            time_remaining: TimeDelta::from_millis(200),
            group: GroupId(770_000 + at as i64),
            since_last_write: None,
            expected_work: None,
        };
        host.report(Event::Request(request));
    }
    host.advance(400);
    assert!(!format!("{:?}", host.router).contains("GroupId(770"), "forgotten with the last of its requests");
    assert_eq!(sent_to(&host.request(PLAIN_WRITE).1), [endpoint_id(1)], "and the others are still known");
}

#[test]
fn an_endpoint_that_changes_its_group_receives_nothing_for_the_old_one() {
    let mut host = TestHost::new(settings(), 2);
    let (id, actions) = host.request(EVENTUAL_READ);
    let at = first_or_second(&actions);
    let moved = EndpointEntry { group: GroupId(7), ..endpoint_entry(at) };
    host.update_endpoints(vec![moved]);
    assert!(
        !host.router.still_eligible(host.now, id, &endpoint_id(at)),
        "nor a request that waits for its connection"
    );
    for _ in 0..20 {
        assert!(!sent_to(&host.request(EVENTUAL_READ).1).contains(&endpoint_id(at)));
    }
}
