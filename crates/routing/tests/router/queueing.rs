//! Requests that are queued until an endpoint can take them.

use crate::support::*;

#[test]
fn a_queued_read_is_rejected_while_its_client_has_time_to_retry() {
    // Guards against queueing reads of a class with a late weight until their deadline while no endpoint can
    // serve them, for example while the primary is down.
    let mut settings = settings();
    settings.classes[BOUNDED_READ.0].late_weight = 0.2;
    let mut host = TestHost::new(settings, 1);
    host.set_lifecycle(1, Lifecycle::Draining);
    let (id, actions) = host.request(BOUNDED_READ);
    assert!(
        actions.iter().all(|action| matches!(action, Action::SetTimer { .. })),
        "the read must be queued: {actions:?}"
    );
    assert!(rejection(&host.advance(300), id).is_none(), "an endpoint may still become eligible");
    let rejection =
        rejection(&host.advance(195), id).expect("the read must be rejected before half its time has passed");
    assert!(rejection.retry_after.is_some(), "the rejection must have a retry-after");
}

#[test]
fn queued_requests_are_dispatched_by_priority_weight() {
    let mut settings = settings();
    settings.classes[STRONG_READ.0].priority_weight = 1.0;
    settings.classes[KEYED_WRITE.0].priority_weight = 6.0;
    let mut host = TestHost::new(settings, 1);
    let (rejected, _) = host.request(PLAIN_WRITE);
    host.complete_attempt_as(rejected, 0, 1, AttemptOutcome::NotEligible, Role::Replica);
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
        "requests in the order of dispatch: {order:?}"
    );
}

#[test]
fn a_queued_write_fails_at_its_deadline() {
    let mut host = TestHost::new(settings(), 1);
    let (id, _) = host.request(PLAIN_WRITE);
    host.complete_attempt_as(id, 0, 1, AttemptOutcome::NotEligible, Role::Replica);
    let actions = host.advance(900);
    assert!(!is_failed(&actions, id) && rejection(&actions, id).is_none());
    assert!(is_failed(&host.advance(110), id));
}
