//! Hedging: a second attempt while a slow first attempt is in flight.

use crate::support::*;

#[test]
fn a_slow_attempt_is_not_hedged_where_hedging_is_not_allowed() {
    let mut host = TestHost::new(settings(), 3);
    let (_, actions) = host.request(EVENTUAL_READ);
    assert_eq!(sent_to(&actions).len(), 1);
    assert!(sent_to(&host.advance(395)).is_empty());
}

#[test]
fn a_hedge_goes_to_another_endpoint_and_the_slower_attempt_is_cancelled() {
    let mut host = TestHost::new(Settings { hedging_allowed: true, ..settings() }, 3);
    for _ in 0..10 {
        let (id, actions) = host.request(EVENTUAL_READ);
        let target = sent_to(&actions).remove(0);
        host.respond_after(id, 0, endpoint_number(3, &target), 20);
    }
    let (id, actions) = host.request(EVENTUAL_READ);
    let first = sent_to(&actions).remove(0);
    let hedges = sent_to(&host.advance(250));
    assert_eq!(hedges.len(), 1);
    assert_ne!(hedges[0], first);
    let number = endpoint_number(3, &hedges[0]);
    let actions = host.complete_attempt(id, 1, number, AttemptOutcome::Ok);
    assert!(actions.contains(&Action::Cancel { request: id, attempt: AttemptNumber(0) }));
}

#[test]
fn hedging_resumes_after_a_surge_of_timeouts() {
    // Guards against charging every timeout of a surge to the retry budget: the debt outlived the surge and
    // prevented hedges.
    let mut host = TestHost::new(Settings { hedging_allowed: true, ..settings() }, 3);
    let number = |target: &EndpointId| endpoint_number(3, target);
    for _ in 0..300 {
        let (id, actions) = host.request(EVENTUAL_READ);
        host.advance_clock(395);
        for target in sent_to(&actions) {
            host.complete_attempt(id, 0, number(&target), AttemptOutcome::Timeout);
        }
    }
    host.advance_clock(10_000);
    for _ in 0..200 {
        let (id, actions) = host.request(EVENTUAL_READ);
        host.advance_clock(20);
        for target in sent_to(&actions) {
            host.complete_attempt(id, 0, number(&target), AttemptOutcome::Ok);
        }
    }
    let (_, actions) = host.request(EVENTUAL_READ);
    assert_eq!(sent_to(&actions).len(), 1);
    assert_eq!(sent_to(&host.advance(390)).len(), 1, "exactly one hedge must be sent");
}
