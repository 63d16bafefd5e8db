//! The eligibility of endpoints for reads by the freshness of their data.

use crate::support::*;

#[test]
fn a_former_primary_that_responds_as_a_replica_counts_as_one() {
    // Guards against a stale read after a primary hangs with writes in flight: a health check still shows it
    // as the primary, then the late responses to the writes show a replica, whose data is too old for the
    // read.
    let mut host = TestHost::with_primary(settings_serving_stale_reads());
    let (write, _) = host.request(PLAIN_WRITE);
    let sent = host.now;
    host.advance_clock(300);
    host.complete_health_check(1, Role::Primary, 0);
    host.advance_clock(400);
    host.report(Event::AttemptCompleted(AttemptCompletion {
        metadata: Some(ResponseMetadata { role: Some(Role::Replica), position: None }),
        elapsed: host.now - sent,
        ..completion(write, 0, 1, AttemptOutcome::Error)
    }));
    host.advance(800);
    let (_, actions) = host.request(BOUNDED_READ);
    assert!(sent_to(&actions).is_empty(), "the data of endpoint 1 is 1.2 s old, 1 s is allowed");
}

#[test]
fn the_reads_of_a_session_include_its_abandoned_write() {
    // Guards against a stale read by a client that leaves a few milliseconds after its commit and returns.
    for outcome in [AttemptOutcome::Cancelled, AttemptOutcome::Timeout, AttemptOutcome::ConnectionReset] {
        let mut host = TestHost::with_primary(settings_serving_stale_reads());
        host.complete_health_check(2, Role::Replica, 10);
        host.complete_health_check(3, Role::Replica, 10);
        let (write, _) = host.request_in_session(PLAIN_WRITE, 7);
        host.advance_clock(5);
        host.report(Event::RequestAbandoned(write));
        host.complete_attempt(write, 0, 1, outcome);
        host.advance_clock(20);
        for _ in 0..8 {
            let (_, actions) = host.request_in_session(SESSION_READ, 7);
            let to = sent_to(&actions);
            assert!(
                to.iter().all(|to| *to == endpoint_id(1)),
                "{outcome:?}: {to:?} may not have applied the write yet"
            );
        }
        let (_, actions) = host.request_in_session(SESSION_READ, 8);
        assert_eq!(sent_to(&actions).len(), 1, "another session has written nothing");
        // A replica that has reported a position past the write is eligible.
        host.complete_health_check(2, Role::Replica, 0);
        let (_, actions) = host.request_in_session(SESSION_READ, 7);
        assert_eq!(sent_to(&actions), [endpoint_id(2)], "{outcome:?}");
    }
}

#[test]
fn a_read_stays_eligible_only_while_the_data_is_fresh_enough() {
    let mut host = TestHost::with_primary(settings_serving_stale_reads());
    host.complete_health_check(2, Role::Replica, 600);
    let (read, actions) = host.request(BOUNDED_READ);
    assert_eq!(sent_to(&actions), [endpoint_id(2)]);
    host.advance_clock(390);
    assert!(
        host.router.still_eligible(host.now, read, &endpoint_id(2)),
        "the data of endpoint 2 is 990 ms old, 1,000 ms are allowed"
    );
    host.advance_clock(20);
    assert!(!host.router.still_eligible(host.now, read, &endpoint_id(2)));
    assert!(host.router.still_eligible(host.now, read, &endpoint_id(1)), "a primary is always up to date");
    host.complete_health_check(2, Role::Replica, 0);
    assert!(host.router.still_eligible(host.now, read, &endpoint_id(2)));
    host.complete_attempt(read, 0, 2, AttemptOutcome::Ok);
    assert!(
        !host.router.still_eligible(host.now, read, &endpoint_id(2)),
        "the request has its final response"
    );
    let (write, _) = host.request(PLAIN_WRITE);
    assert!(host.router.still_eligible(host.now, write, &endpoint_id(3)), "a write needs no position");
}

#[test]
fn bounded_reads_need_a_known_position_where_endpoints_serve_stale_reads() {
    let mut host = TestHost::new(settings_serving_stale_reads(), 3);
    let (_, actions) = host.request(BOUNDED_READ);
    assert!(sent_to(&actions).is_empty(), "nothing is known of any endpoint");
    assert_eq!(health_checked(&actions).len(), 3);
    assert!(
        health_checked(&host.request(BOUNDED_READ).1).is_empty(),
        "at most one health check in the time of the bound"
    );
    host.advance_clock(2);
    let actions = host.complete_health_check(2, Role::Replica, 10);
    assert_eq!(sent_to(&actions), [endpoint_id(2), endpoint_id(2)]);
    host.complete_health_check(3, Role::Replica, 5_000);
    assert_eq!(sent_to(&host.request(BOUNDED_READ).1), [endpoint_id(2)], "endpoint 3 is known to lag");
}

#[test]
fn bounded_reads_go_to_a_known_primary_while_replicas_are_unknown() {
    let mut host = TestHost::new(settings_serving_stale_reads(), 3);
    host.complete_health_check(1, Role::Primary, 0);
    assert_eq!(sent_to(&host.request(BOUNDED_READ).1), [endpoint_id(1)]);
}

#[test]
fn endpoints_of_unknown_position_are_eligible_where_they_reject_stale_reads() {
    let mut host = TestHost::new(settings(), 3);
    assert_eq!(sent_to(&host.request(BOUNDED_READ).1).len(), 1);
}

#[test]
fn an_endpoint_that_rejected_a_read_as_stale_is_skipped_for_a_while() {
    let mut host = TestHost::new(settings(), 2);
    let (id, actions) = host.request(BOUNDED_READ);
    let behind = sent_to_first_or_second(&actions);
    let other = endpoint_id(3 - behind);
    assert_eq!(
        sent_to(&host.complete_attempt_as(id, 0, behind, AttemptOutcome::NotEligible, Role::Replica)),
        std::slice::from_ref(&other)
    );
    for _ in 0..3 {
        assert_eq!(sent_to(&host.request(BOUNDED_READ).1), std::slice::from_ref(&other));
    }
}

#[test]
fn a_session_read_goes_to_an_endpoint_known_to_have_applied_the_write_of_its_session() {
    let mut host = TestHost::new(settings_serving_stale_reads(), 3);
    host.complete_health_check(1, Role::Primary, 0);
    host.complete_health_check(2, Role::Replica, 50);
    let (id, actions) = host.request_in_session(KEYED_WRITE, 9);
    assert_eq!(sent_to(&actions), [endpoint_id(1)]);
    host.advance_clock(10);
    host.complete_at_position(id, 1, host.now);
    assert_eq!(
        sent_to(&host.request_in_session(SESSION_READ, 9).1),
        [endpoint_id(1)],
        "endpoint 2 is not known to have applied the write"
    );
    assert_eq!(
        sent_to(&host.request_in_session(SESSION_READ, 8).1).len(),
        1,
        "another session may read anywhere"
    );
    host.advance_clock(50);
    host.complete_health_check(2, Role::Replica, 10);
    assert_eq!(sent_to(&host.request_in_session(SESSION_READ, 9).1), [endpoint_id(2)]);
}

#[test]
fn a_session_token_in_the_request_is_compared_with_the_positions_of_endpoints() {
    let settings = Settings {
        stale_read_policy: StaleReadPolicy::Serve,
        session_token_source: SessionTokenSource::Request,
        ..settings()
    };
    let mut host = TestHost::new(settings, 2);
    host.complete_health_check(1, Role::Replica, 300);
    host.complete_health_check(2, Role::Replica, 20);
    let request = Request {
        id: RequestId(77),
        class: SESSION_READ,
        tenant: None,
        session: None,
        time_remaining: TimeDelta::from_millis(1_000),
        group: GroupId(0),
        since_last_write: Some(TimeDelta::from_millis(100)),
        expected_work: None,
    };
    assert_eq!(sent_to(&host.report(Event::Request(request))), [endpoint_id(2)]);
}

/// More sessions than a router keeps tokens for once all endpoints have applied them.
const MANY_SESSIONS: u64 = 8_300;
/// The number of reads in a check: enough that each eligible endpoint gets some.
const READS: u64 = 60;

/// Lets [`MANY_SESSIONS`] sessions write at the primary, endpoint 1, and then reports from endpoints 1 to 3 that
/// they have applied all of it. Advances the clock, so that the tokens are removed.
fn write_in_many_sessions(host: &mut TestHost) {
    for session in 0..MANY_SESSIONS {
        let (id, actions) = host.request_in_session(KEYED_WRITE, session);
        assert_eq!(sent_to(&actions), [endpoint_id(1)]);
        host.advance_clock(1);
        host.complete_at_position(id, 1, host.now);
    }
    host.complete_health_check(1, Role::Primary, 0);
    host.complete_health_check(2, Role::Replica, 0);
    host.complete_health_check(3, Role::Replica, 0);
    host.advance(100);
}

/// Makes [`READS`] reads, each of a session that has written, and returns whether any was sent to an endpoint.
fn session_reads_reach(host: &mut TestHost, endpoint: usize) -> bool {
    let mut reached = false;
    for session in 0..READS {
        let (id, actions) = host.request_in_session(SESSION_READ, session);
        for sent in sent_to(&actions) {
            reached |= sent == endpoint_id(endpoint);
            host.complete_attempt(id, 0, endpoint_number(4, &sent), AttemptOutcome::Ok);
        }
    }
    reached
}

#[test]
fn an_endpoint_that_joins_with_older_data_gets_no_reads_of_sessions_that_wrote_before() {
    // Guards against a stale read after so many sessions have written that their tokens are removed: a new
    // endpoint starts from an older copy.
    let mut host = TestHost::with_primary(settings_serving_stale_reads());
    write_in_many_sessions(&mut host);
    host.update_endpoints(vec![endpoint_entry(4)]);
    assert!(!session_reads_reach(&mut host, 4), "nothing is known of the data of endpoint 4");
    host.complete_health_check(4, Role::Replica, 6_000);
    assert!(!session_reads_reach(&mut host, 4), "endpoint 4 lacks the writes of the last 6 s");
    host.complete_health_check(4, Role::Replica, 0);
    assert!(session_reads_reach(&mut host, 4), "endpoint 4 has caught up");
}

#[test]
fn an_endpoint_that_returns_with_older_data_gets_no_reads_of_sessions_that_wrote_meanwhile() {
    // Guards against the same for an endpoint that was drained, and so did not count, when the tokens were
    // removed.
    let mut host = TestHost::with_primary(settings_serving_stale_reads());
    host.update_endpoints(vec![endpoint_entry(4)]);
    host.complete_health_check(4, Role::Replica, 0);
    assert!(session_reads_reach(&mut host, 4));
    host.set_lifecycle(4, Lifecycle::Draining);
    write_in_many_sessions(&mut host);
    host.set_lifecycle(4, Lifecycle::Active);
    assert!(!session_reads_reach(&mut host, 4), "endpoint 4 lacks the writes since its drain");
    host.complete_health_check(4, Role::Replica, 0);
    assert!(session_reads_reach(&mut host, 4), "endpoint 4 has caught up");
}

#[test]
fn an_endpoint_that_rejects_stale_reads_itself_gets_reads_of_sessions_without_a_token() {
    // Guards against reads held back from an endpoint that would check them by itself.
    let mut host = TestHost::with_primary(settings());
    write_in_many_sessions(&mut host);
    host.update_endpoints(vec![endpoint_entry(4)]);
    host.complete_health_check(4, Role::Replica, 6_000);
    assert!(session_reads_reach(&mut host, 4));
}
