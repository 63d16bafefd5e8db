//! Timeouts of attempts.

use crate::support::*;

#[test]
fn the_first_attempts_of_a_new_router_have_a_long_timeout() {
    // Guards against too low an initial latency estimate: a tenth of all attempts timed out under low load.
    let mut host = TestHost::new(settings(), 3);
    for _ in 0..5 {
        let (_, actions) = host.request(EVENTUAL_READ);
        let is_short = |action: &Action| match action {
            Action::Send { timeout, .. } => *timeout < TimeDelta::from_millis(300),
            _ => false,
        };
        assert!(!actions.iter().any(is_short));
        host.advance_clock(500);
    }
}

#[test]
fn an_attempt_without_alternative_may_take_until_the_deadline() {
    // Guards against giving a read up at its latency objective. Neither a timeout nor a cancellation stops
    // the endpoint's work; the connection is lost, and the client sends the request again at once.
    let mut host = TestHost::new(settings(), 1);
    let (id, actions) = host.request(EVENTUAL_READ);
    let timeout = actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert_eq!(timeout, Some(TimeDelta::from_millis(1_000)), "the latency objective is 400 ms");
    let actions = host.advance(900);
    assert!(rejection(&actions, id).is_none() && !is_failed(&actions, id));
}

#[test]
fn a_queued_read_is_not_dispatched_with_less_time_left_than_a_response_takes() {
    // Guards against dispatching queued reads too late, such as with 40 ms left for 145 ms of work.
    let mut host = TestHost::new(settings(), 2);
    let (id, actions) = host.request(STRONG_READ);
    assert!(sent_to(&actions).is_empty());
    let actions = host.advance(390);
    assert!(rejection(&actions, id).is_some());
    assert!(sent_to(&host.complete_health_check(1, Role::Primary, 0)).is_empty());
}
