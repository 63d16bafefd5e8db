//! The timeouts of attempts.

use crate::support::*;

#[test]
fn a_new_router_grants_its_first_attempts_a_long_timeout() {
    // Seen in simulation: with a short first estimate a tenth of a quiet day's attempts timed out.
    let mut host = TestHost::new(settings(), 3);
    for _ in 0..5 {
        let (_, actions) = host.request(EVENTUAL_READ);
        let early = |action: &Action| match action {
            Action::Send { timeout, .. } => *timeout < TimeDelta::from_millis(300),
            _ => false,
        };
        assert!(!actions.iter().any(early));
        host.advance_clock(500);
    }
}

#[test]
fn the_only_possible_attempt_may_take_until_the_deadline() {
    // Seen in simulation: to give a read up at its latency objective stopped no work, as neither a timeout nor a
    // cancellation does; it cost the connection, and the client asked again at once.
    let mut host = TestHost::new(settings(), 1);
    let (id, actions) = host.request(EVENTUAL_READ);
    let timeout = actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert_eq!(timeout, Some(TimeDelta::from_millis(1_000)), "the latency objective is 400 ms");
    let meanwhile = host.advance(900);
    assert!(rejection(&meanwhile, id).is_none() && !is_failed(&meanwhile, id));
}

#[test]
fn nothing_is_sent_with_less_time_left_than_a_response_takes() {
    // Seen in simulation: queued reads were sent with 40 ms left for 145 ms of work.
    let mut host = TestHost::new(settings(), 2);
    let (id, actions) = host.request(STRONG_READ);
    assert!(sent_to(&actions).is_empty());
    let waited = host.advance(390);
    assert!(rejection(&waited, id).is_some());
    assert!(sent_to(&host.complete_health_check(1, Role::Primary, 0)).is_empty());
}
