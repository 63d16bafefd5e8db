//! Endpoints that drain or are removed.

use crate::support::*;

#[test]
fn nothing_is_sent_to_a_draining_or_removed_endpoint() {
    for lifecycle in [Lifecycle::Draining, Lifecycle::Removed] {
        let mut host = TestHost::new(settings(), 2);
        host.set_lifecycle(1, lifecycle);
        for _ in 0..10 {
            assert!(!sent_to(&host.request(EVENTUAL_READ).1).contains(&endpoint_id(1)));
        }
    }
    let mut host = TestHost::new(settings(), 2);
    host.replace_endpoints(vec![endpoint_entry(2)]);
    assert!(
        !sent_to(&host.request(KEYED_WRITE).1).contains(&endpoint_id(1)),
        "an endpoint that is missing from a snapshot is removed"
    );
}

#[test]
fn with_soft_removal_only_a_drain_stops_new_requests() {
    let soft = Settings { soft_removal: true, ..settings() };
    let mut host = TestHost::new(soft.clone(), 1);
    host.set_lifecycle(1, Lifecycle::Removed);
    assert_eq!(sent_to(&host.request(EVENTUAL_READ).1), [endpoint_id(1)]);
    let mut host = TestHost::new(soft, 1);
    host.set_lifecycle(1, Lifecycle::Draining);
    host.replace_endpoints(vec![]);
    assert!(
        sent_to(&host.request(EVENTUAL_READ).1).is_empty(),
        "the endpoint was draining before it was removed"
    );
}

#[test]
fn successive_drains_leave_the_other_endpoints_serving_and_eject_none_of_them() {
    let mut host = TestHost::new(settings(), 6);
    for wave in [[1, 2], [3, 4]] {
        let mut in_flight = Vec::new();
        for _ in 0..6 {
            let (id, actions) = host.request(EVENTUAL_READ);
            in_flight.extend(sent_to(&actions).into_iter().map(|to| (id, to)));
        }
        let lifecycle = Lifecycle::Draining;
        let drained = wave.map(|number| EndpointEntry { lifecycle, ..endpoint_entry(number) });
        host.update_endpoints(drained.to_vec());
        for (id, to) in in_flight {
            let number = endpoint_number(6, &to);
            let is_drained = wave.contains(&number);
            let outcome = if is_drained { AttemptOutcome::ConnectionReset } else { AttemptOutcome::Ok };
            host.complete_attempt(id, 0, number, outcome);
        }
        host.advance_clock(500);
        let to: Vec<EndpointId> = (0..8).flat_map(|_| sent_to(&host.request(EVENTUAL_READ).1)).collect();
        assert!(to.len() >= 4 && !wave.iter().any(|number| to.contains(&endpoint_id(*number))), "{to:?}");
        host.advance_clock(1_500);
        host.report(Event::TimerFired);
    }
}
