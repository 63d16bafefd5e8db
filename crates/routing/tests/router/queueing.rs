//! Requests that wait for an endpoint.

use crate::support::*;

#[test]
fn a_queued_read_is_rejected_while_its_client_has_time_to_retry() {
    // Seen on real sockets: with the primary down, reads with a late weight were queued until their deadline.
    let mut settings = settings();
    settings.classes[BOUNDED_READ.0].late_weight = 0.2;
    let mut host = TestHost::new(settings, 1);
    host.set_lifecycle(1, Lifecycle::Draining);
    let (id, actions) = host.request(BOUNDED_READ);
    assert!(actions.iter().all(|action| matches!(action, Action::SetTimer { .. })), "it waits: {actions:?}");
    assert!(rejection(&host.advance(300), id).is_none(), "an endpoint may still become eligible");
    let rejection = rejection(&host.advance(195), id).expect("half its time has not passed");
    assert!(rejection.retry_after.is_some(), "and the client is told when to retry");
}

#[test]
fn queued_requests_are_dispatched_by_priority_weight() {
    let mut settings = settings();
    settings.classes[STRONG_READ.0].priority_weight = 1.0;
    settings.classes[KEYED_WRITE.0].priority_weight = 6.0;
    let mut host = TestHost::new(settings, 1);
    let (first, _) = host.request(PLAIN_WRITE);
    host.complete_attempt_as(first, 0, 1, AttemptOutcome::NotEligible, Role::Replica);
    let (low, _) = host.request(STRONG_READ);
    let (high, _) = host.request(KEYED_WRITE);
    let actions = host.complete_health_check(1, Role::Primary, 0);
    let order: Vec<RequestId> = actions
        .iter()
        .filter_map(|action| if let Action::Send { request, .. } = action { Some(*request) } else { None })
        .collect();
    let position = |id| order.iter().position(|other| *other == id);
    assert!(
        position(high).is_some() && position(low).is_none_or(|low| Some(low) > position(high)),
        "{order:?}"
    );
}

#[test]
fn a_queued_write_fails_at_its_deadline() {
    let mut host = TestHost::new(settings(), 1);
    let (id, _) = host.request(PLAIN_WRITE);
    host.complete_attempt_as(id, 0, 1, AttemptOutcome::NotEligible, Role::Replica);
    let early = host.advance(900);
    assert!(!is_failed(&early, id) && rejection(&early, id).is_none());
    assert!(is_failed(&host.advance(110), id));
}
