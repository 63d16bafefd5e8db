//! The believed primary: how it is found, confirmed and replaced.

use crate::support::*;

#[test]
fn a_write_that_was_not_sent_is_no_evidence_against_the_primary() {
    // Guards against a search that moves on from a healthy primary: a host that is short of file descriptors
    // sends nothing at all.
    let mut host = TestHost::with_primary(settings());
    let (id, _) = host.request(PLAIN_WRITE);
    assert_eq!(sent_to(&host.complete_attempt(id, 0, 1, AttemptOutcome::NotSent)), [endpoint_id(1)]);
    assert_eq!(sent_to(&host.request(PLAIN_WRITE).1), [endpoint_id(1)]);
}

#[test]
fn a_connection_lost_before_send_neither_makes_the_primary_cold_nor_replaces_it() {
    let mut host = TestHost::with_primary(settings());
    let (id, actions) = host.request(PLAIN_WRITE);
    assert_eq!(sent_to(&actions), [endpoint_id(1)]);
    let actions = host.complete_attempt(id, 0, 1, AttemptOutcome::ConnectionLostBeforeSend);
    assert_eq!(sent_to(&actions), [endpoint_id(1)], "the write is retried at endpoint 1 at once");
    host.complete_attempt_as(id, 1, 1, AttemptOutcome::Ok, Role::Primary);
    // The primary does not count as cold: a burst of writes is sent.
    let burst: Vec<_> = (0..3).map(|_| host.request(PLAIN_WRITE).1).collect();
    assert!(burst.iter().all(|actions| sent_to(actions) == [endpoint_id(1)]), "{burst:?}");
}

#[test]
fn a_refused_connection_beside_answered_requests_keeps_the_believed_primary() {
    for answered in [false, true] {
        let mut host = TestHost::with_primary(settings());
        let (lost, _) = host.request(PLAIN_WRITE);
        let (id, _) = host.request(PLAIN_WRITE);
        host.advance_clock(250);
        if answered {
            host.complete_attempt_as(id, 0, 1, AttemptOutcome::Ok, Role::Primary);
        }
        let actions = host.report(Event::AttemptCompleted(AttemptCompletion {
            elapsed: TimeDelta::from_millis(250),
            ..completion(lost, 0, 1, AttemptOutcome::ConnectionRefused)
        }));
        // The write is retried at endpoint 1 if that has answered another request, else at the next
        // candidate.
        assert_eq!(sent_to(&actions), [endpoint_id(if answered { 1 } else { 2 })]);
    }
}

#[test]
fn a_silent_primary_is_probed_by_one_strong_read_at_a_time() {
    // Guards against a standstill: three writes without a response stopped the whole group until their
    // deadline.
    let mut host = TestHost::with_primary(settings());
    let lost: Vec<_> = (0..3).map(|_| host.request_with_deadline(PLAIN_WRITE, 5_000).0).collect();
    host.advance(1_500);
    let (write, actions) = host.request_with_deadline(PLAIN_WRITE, 3_000);
    assert!(sent_to(&actions).is_empty(), "a write does not probe the primary");
    let (probe, actions) = host.request(STRONG_READ);
    assert_eq!(sent_to(&actions), [endpoint_id(1)]);
    let (queued, actions) = host.request(STRONG_READ);
    assert!(sent_to(&actions).is_empty(), "one probe at a time");
    let actions = host.complete_attempt_as(probe, 0, 1, AttemptOutcome::Ok, Role::Primary);
    assert_eq!(
        sent_to(&actions),
        [endpoint_id(1), endpoint_id(1)],
        "the response to the probe shows that the endpoint is up"
    );
    host.complete_attempt_as(queued, 0, 1, AttemptOutcome::Ok, Role::Primary);
    host.complete_attempt_as(write, 0, 1, AttemptOutcome::Ok, Role::Primary);
    assert!(
        lost.iter().all(|id| !host.complete_attempt(*id, 0, 1, AttemptOutcome::Timeout).is_empty()),
        "the unanswered writes fail"
    );
}

#[test]
fn a_health_check_is_no_evidence_that_requests_are_answered() {
    // An endpoint that accepts requests and answers none still answers health checks, which bypass its queue.
    let mut host = TestHost::with_primary(settings());
    let (_, actions) = host.request(PLAIN_WRITE);
    assert_eq!(sent_to(&actions), [endpoint_id(1)]);
    host.advance_clock(700);
    host.complete_health_check(1, Role::Primary, 0);
    assert!(sent_to(&host.request(KEYED_WRITE).1).is_empty(), "the silent primary is sent nothing more");
    host.advance_clock(20);
    assert_eq!(
        sent_to(&host.complete_health_check(2, Role::Primary, 0)),
        [endpoint_id(2)],
        "the queued write is sent to the primary that is confirmed later"
    );
}

#[test]
fn the_primary_is_searched_for_only_when_it_is_unknown() {
    // Guards against unneeded health checks: reads that find every endpoint at its limit must not start a
    // search while the primary is known.
    let mut host = TestHost::with_primary(settings());
    let checked: usize = (0..200).map(|_| health_checked(&host.request(EVENTUAL_READ).1).len()).sum();
    assert_eq!(checked, 0);
}

#[test]
fn a_new_router_searches_the_primary_from_the_lowest_id_and_moves_on_when_one_is_disproved() {
    let mut host = TestHost::new(settings(), 3);
    let (id, actions) = host.request(PLAIN_WRITE);
    assert_eq!(sent_to(&actions), [endpoint_id(1)]);
    let actions = host.complete_attempt_as(id, 0, 1, AttemptOutcome::NotEligible, Role::Replica);
    assert_eq!(sent_to(&actions), [endpoint_id(2)]);
    let actions = host.complete_attempt(id, 1, 2, AttemptOutcome::ConnectionRefused);
    assert_eq!(sent_to(&actions), [endpoint_id(3)]);
    host.complete_attempt_as(id, 2, 3, AttemptOutcome::Ok, Role::Primary);
    assert_eq!(
        sent_to(&host.request(KEYED_WRITE).1),
        [endpoint_id(3)],
        "a response from the primary sets the believed primary"
    );
}

#[test]
fn the_search_starts_at_the_listed_primary() {
    let mut host = TestHost::new(settings(), 3);
    host.list_as_primary(2);
    assert_eq!(sent_to(&host.request(PLAIN_WRITE).1), [endpoint_id(2)]);
}

#[test]
fn a_new_router_health_checks_the_listed_primary_before_all_others() {
    let mut host = TestHost::new(settings_serving_stale_reads(), 5);
    host.list_as_primary(3);
    let (_, actions) = host.request(STRONG_READ);
    assert_eq!(health_checked(&actions), [endpoint_id(3)]);
    assert!(
        health_checked(&host.advance(240)).is_empty(),
        "the router waits for the response of the listed primary"
    );
    host.advance_clock(10);
    assert_eq!(
        health_checked(&host.request(STRONG_READ).1).len(),
        5,
        "no response: all are checked, since the endpoint list may be wrong"
    );
    assert_eq!(sent_to(&host.complete_health_check(4, Role::Primary, 5)), [endpoint_id(4)]);
}

#[test]
fn after_an_attempt_at_each_endpoint_a_write_is_queued_until_the_primary_is_known() {
    let mut host = TestHost::new(settings(), 3);
    let (id, _) = host.request(PLAIN_WRITE);
    host.complete_attempt_as(id, 0, 1, AttemptOutcome::NotEligible, Role::Replica);
    host.complete_attempt_as(id, 1, 2, AttemptOutcome::NotEligible, Role::Replica);
    let actions = host.complete_attempt_as(id, 2, 3, AttemptOutcome::NotEligible, Role::Replica);
    assert!(sent_to(&actions).is_empty());
    let waiting = host.advance(300);
    assert!(sent_to(&waiting).is_empty());
    assert!(!health_checked(&waiting).is_empty(), "the primary is searched for meanwhile");
    let (other, actions) = host.request(KEYED_WRITE);
    assert!(sent_to(&actions).is_empty(), "the next write is queued too");
    let actions = host.complete_health_check(2, Role::Primary, 1);
    assert_eq!(sent_to(&actions), [endpoint_id(2), endpoint_id(2)], "both writes are dispatched, once each");
    assert!(sent_to(&host.advance(100)).is_empty());
    assert!(!is_failed(&host.complete_attempt_as(other, 0, 2, AttemptOutcome::Ok, Role::Primary), other));
}

#[test]
fn the_search_uses_at_most_half_of_the_attempts() {
    let mut host = TestHost::new(Settings { max_attempts: 4, ..settings() }, 6);
    let (id, _) = host.request(PLAIN_WRITE);
    let second = host.complete_attempt_as(id, 0, 1, AttemptOutcome::NotEligible, Role::Replica);
    assert_eq!(sent_to(&second).len(), 1);
    let third = host.complete_attempt_as(id, 1, 2, AttemptOutcome::NotEligible, Role::Replica);
    assert!(sent_to(&third).is_empty());
}

#[test]
fn strong_reads_are_queued_until_the_primary_is_known() {
    let mut host = TestHost::new(settings(), 3);
    let (_, actions) = host.request(STRONG_READ);
    assert!(sent_to(&actions).is_empty());
    assert_eq!(health_checked(&actions).len(), 3);
    assert_eq!(sent_to(&host.complete_health_check(3, Role::Primary, 1)), [endpoint_id(3)]);
}
