//! Outlier ejection: endpoints that fail are ejected, and no others.

use crate::support::*;
use std::collections::BTreeSet;

#[test]
fn a_request_that_fails_everywhere_ejects_no_endpoint() {
    // Guards against ejecting endpoints for faulty requests: if a third of the requests return an error from
    // every endpoint, four such errors in a row must not eject one.
    let mut host = TestHost::new(settings(), 3);
    for _ in 0..60 {
        let (id, mut actions) = host.request(EVENTUAL_READ);
        let mut attempt = 0;
        while let Some(to) = sent_to(&actions).first().cloned() {
            let number = endpoint_number(3, &to);
            actions = host.complete_attempt(id, attempt, number, AttemptOutcome::Error);
            attempt += 1;
        }
        assert!(attempt <= 2, "{attempt} attempts for a request that fails at every endpoint");
        assert!(rejection(&actions, id).is_some());
    }
    let used: BTreeSet<EndpointId> = (0..40).flat_map(|_| sent_to(&host.request(EVENTUAL_READ).1)).collect();
    assert_eq!(used.len(), 3, "all endpoints still serve");
}

#[test]
fn a_flapping_endpoint_keeps_its_failure_score_across_recoveries() {
    // Guards against one success that clears all earlier ejections: a flapping endpoint would be trusted in
    // full after each recovery.
    for failures in [1, 4] {
        let mut host = TestHost::new(Settings { slow_start_floor: 1.0, max_attempts: 1, ..settings() }, 1);
        for _ in 0..failures {
            let (id, actions) = host.request(EVENTUAL_READ);
            assert_eq!(sent_to(&actions).len(), 1);
            host.complete_attempt(id, 0, 1, AttemptOutcome::ConnectionRefused);
            host.advance_clock(8_000);
        }
        host.complete_health_check(1, Role::Primary, 0);
        let (id, _) = host.request(STRONG_READ);
        host.respond_after(id, 0, 1, 20);
        assert_eq!(sent_to(&host.request(STRONG_READ).1).len(), 1);
        // While earlier ejections still count, the endpoint is sent one attempt at a time.
        assert_eq!(
            sent_to(&host.request(STRONG_READ).1).len(),
            usize::from(failures == 1),
            "{failures} failures"
        );
    }
}

#[test]
fn timeouts_during_a_stall_of_the_router_eject_no_endpoint() {
    for stall in [false, true] {
        let mut host = TestHost::new(settings(), 3);
        let (id, actions) = host.request(EVENTUAL_READ);
        let to = sent_to(&actions).remove(0);
        let number = endpoint_number(3, &to);
        let ids: Vec<RequestId> = (0..12).map(|_| host.request(EVENTUAL_READ).0).collect();
        if stall {
            host.advance_clock(900);
            host.report(Event::TimerFired);
        }
        for id in ids.into_iter().chain([id]) {
            for attempt in 0..2 {
                host.complete_attempt(id, attempt, number, AttemptOutcome::Timeout);
            }
        }
        host.advance_clock(20);
        let next: Vec<EndpointId> = (0..30).flat_map(|_| sent_to(&host.request(EVENTUAL_READ).1)).collect();
        assert_eq!(next.contains(&to), stall, "stall: {stall}");
    }
}

#[test]
fn an_endpoint_that_fails_fast_is_avoided_although_it_appears_idle() {
    let mut host = TestHost::new(settings(), 3);
    let mut to_failing = 0;
    for _ in 0..60 {
        let (id, mut actions) = host.request(EVENTUAL_READ);
        let mut attempt = 0;
        while let Some(to) = sent_to(&actions).first().cloned() {
            host.advance_clock(1);
            let number = endpoint_number(3, &to);
            to_failing += usize::from(number == 2);
            let outcome = if number == 2 { AttemptOutcome::Error } else { AttemptOutcome::Ok };
            actions = host.complete_attempt(id, attempt, number, outcome);
            attempt += 1;
        }
    }
    assert!(to_failing <= 12, "{to_failing} of 60 reads went to the failing endpoint");
}

#[test]
fn a_silent_endpoint_receives_no_new_reads() {
    let mut host = TestHost::new(settings(), 3);
    let mut sent_to_silent = 0;
    for round in 0..40 {
        let (id, actions) = host.request(EVENTUAL_READ);
        for to in sent_to(&actions) {
            let number = endpoint_number(3, &to);
            if number == 3 {
                sent_to_silent += usize::from(round >= 20);
            } else {
                host.advance_clock(10);
                host.complete_attempt(id, 0, number, AttemptOutcome::Ok);
            }
        }
        host.advance_clock(40);
    }
    assert_eq!(sent_to_silent, 0);
}
