//! Hedges: second attempts beside a slow first one.

use crate::support::*;

#[test]
fn a_slow_attempt_starts_no_second_one_where_hedging_is_forbidden() {
    let mut host = TestHost::new(settings(), 3);
    let (_, actions) = host.request(EVENTUAL_READ);
    assert_eq!(sent_to(&actions).len(), 1);
    assert!(sent_to(&host.advance(395)).is_empty());
}

#[test]
fn a_hedge_goes_elsewhere_and_the_slower_attempt_is_cancelled() {
    let mut host = TestHost::new(Settings { hedging_allowed: true, ..settings() }, 3);
    for _ in 0..10 {
        let (id, actions) = host.request(EVENTUAL_READ);
        let to = sent_to(&actions).remove(0);
        host.respond_after(id, 0, endpoint_number(3, &to), 20);
    }
    let (id, actions) = host.request(EVENTUAL_READ);
    let first = sent_to(&actions).remove(0);
    let hedges = sent_to(&host.advance(250));
    assert_eq!(hedges.len(), 1);
    assert_ne!(hedges[0], first);
    let at = endpoint_number(3, &hedges[0]);
    let actions = host.complete_attempt(id, 1, at, AttemptOutcome::Ok);
    assert!(actions.contains(&Action::Cancel { request: id, attempt: AttemptNumber(0) }));
}

#[test]
fn hedging_resumes_after_a_surge_of_timeouts() {
    // Found on review: every timeout of a surge was charged to the retry budget, and the debt outlived the surge.
    let mut host = TestHost::new(Settings { hedging_allowed: true, ..settings() }, 3);
    let number = |to: &EndpointId| endpoint_number(3, to);
    for _ in 0..300 {
        let (id, actions) = host.request(EVENTUAL_READ);
        host.advance_clock(395);
        for to in sent_to(&actions) {
            host.complete_attempt(id, 0, number(&to), AttemptOutcome::Timeout);
        }
    }
    host.advance_clock(10_000);
    for _ in 0..200 {
        let (id, actions) = host.request(EVENTUAL_READ);
        host.advance_clock(20);
        for to in sent_to(&actions) {
            host.complete_attempt(id, 0, number(&to), AttemptOutcome::Ok);
        }
    }
    let (_, actions) = host.request(EVENTUAL_READ);
    assert_eq!(sent_to(&actions).len(), 1);
    assert_eq!(sent_to(&host.advance(390)).len(), 1, "one hedge, and no second");
}
