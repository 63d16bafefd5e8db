//! Retries: reads are retried at other endpoints, writes only if they provably never ran.

use crate::support::*;

#[test]
fn a_write_that_may_have_run_fails_and_is_not_retried() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::Timeout,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::Cancelled,
    ] {
        for class in [KEYED_WRITE, PLAIN_WRITE] {
            let mut host = TestHost::with_primary(settings());
            let (id, actions) = host.request(class);
            assert_eq!(sent_to(&actions), [endpoint_id(1)]);
            let actions = host.complete_attempt(id, 0, 1, outcome);
            assert!(is_failed(&actions, id), "the write must fail after {outcome:?}");
            assert!(sent_to(&actions).is_empty() && rejection(&actions, id).is_none());
            assert!(sent_to(&host.advance(2_000)).is_empty());
        }
    }
}

#[test]
fn reads_are_retried_at_another_endpoint_and_finally_rejected_with_a_retry_after() {
    let mut host = TestHost::new(settings(), 2);
    let (id, actions) = host.request(EVENTUAL_READ);
    let first = sent_to_first_or_second(&actions);
    assert_eq!(
        sent_to(&host.complete_attempt(id, 0, first, AttemptOutcome::Error)),
        [endpoint_id(3 - first)]
    );
    host.advance_clock(390);
    let actions = host.complete_attempt(id, 1, 3 - first, AttemptOutcome::Error);
    let retry_after = rejection(&actions, id).and_then(|rejection| rejection.retry_after);
    assert!(retry_after.is_some_and(|delay| delay > TimeDelta(0) && delay <= TimeDelta::from_millis(2_000)));
}

#[test]
fn a_rejection_has_no_retry_after_where_it_is_not_allowed() {
    let mut host = TestHost::new(Settings { retry_after_allowed: false, max_attempts: 1, ..settings() }, 2);
    let (id, actions) = host.request(EVENTUAL_READ);
    let at = sent_to_first_or_second(&actions);
    let actions = host.complete_attempt(id, 0, at, AttemptOutcome::Error);
    assert_eq!(rejection(&actions, id), Some(Rejection { retry_after: None }));
}

#[test]
fn rejected_reads_are_not_retried_excessively() {
    // Guards against up to 15 attempts for a request, nearly all of them rejected.
    let mut host = TestHost::new(settings(), 2);
    let mut attempt_count = 0;
    for _ in 0..100 {
        let (id, mut actions) = host.request(EVENTUAL_READ);
        let mut attempt = 0;
        while let Some(to) = sent_to(&actions).first() {
            attempt_count += 1;
            host.advance_clock(1);
            let at = if *to == endpoint_id(1) { 1 } else { 2 };
            actions = host.complete_attempt(id, attempt, at, AttemptOutcome::Rejected);
            attempt += 1;
        }
    }
    assert!(attempt_count < 300, "{attempt_count} attempts for 100 requests");
}

#[test]
fn a_write_is_retried_while_its_primary_drains_unannounced() {
    // The primary rejects all attempts for 1.5 s before an update of the endpoint list would show that it is
    // draining.
    let mut host = TestHost::with_primary(settings());
    let (id, actions) = host.request_with_deadline(PLAIN_WRITE, 5_000);
    assert_eq!(sent_to(&actions), [endpoint_id(1)]);
    let (mut attempts, mut is_in_flight) = (1, true);
    for _ in 0..150 {
        if is_in_flight {
            let actions = host.complete_attempt(id, attempts - 1, 1, AttemptOutcome::Rejected);
            assert!(
                rejection(&actions, id).is_none() && !is_failed(&actions, id),
                "given up after {attempts} attempts"
            );
        }
        let sent = sent_to(&host.advance(10));
        assert!(sent.iter().all(|to| *to == endpoint_id(1)), "attempts must go only to the primary");
        is_in_flight = !sent.is_empty();
        attempts += sent.len() as u32;
    }
    assert!((4..8).contains(&attempts), "{attempts} attempts sent, 8 permitted");
}
