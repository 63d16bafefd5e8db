//! When replicas are health-checked.

use crate::support::*;

#[test]
fn a_session_read_has_every_replica_checked_again_long_before_the_staleness_bound_has_passed() {
    let mut host = TestHost::new(settings_serving_stale_reads(), 4);
    host.complete_health_check(1, Role::Primary, 0);
    (2..=4).for_each(|number| drop(host.complete_health_check(number, Role::Replica, 10)));
    host.request(BOUNDED_READ);
    host.advance_clock(200);
    let (id, _) = host.request_in_session(PLAIN_WRITE, 7);
    host.advance_clock(5);
    host.complete_attempt_as(id, 0, 1, AttemptOutcome::Ok, Role::Primary);
    host.advance_clock(20);
    let sorted = |mut endpoints: Vec<EndpointId>| {
        endpoints.sort();
        endpoints
    };
    let all = [endpoint_id(2), endpoint_id(3), endpoint_id(4)];
    let checked = sorted(health_checked(&host.request_in_session(SESSION_READ, 7).1));
    assert_eq!(checked, all, "the known positions are older than the write");
    assert!(health_checked(&host.request_in_session(SESSION_READ, 7).1).is_empty(), "checked a moment ago");
    // They had not applied the write then, but may have 100 ms later, long before the staleness bound has
    // passed.
    host.advance_clock(100);
    assert_eq!(sorted(health_checked(&host.request_in_session(SESSION_READ, 7).1)), all);
    host.complete_health_check(3, Role::Replica, 20);
    let session = sent_to(&host.request_in_session(SESSION_READ, 7).1);
    assert_eq!(session, [endpoint_id(3)], "only endpoint 3 is known to have applied the write");
    let (_, bounded) = host.request(BOUNDED_READ);
    assert!(health_checked(&bounded).is_empty(), "all replicas are eligible for bounded reads");
}

#[test]
fn costly_health_checks_go_to_one_replica_and_only_while_none_is_eligible() {
    let checks_at_cost = |health_check_cost| {
        let mut host = TestHost::new(Settings { health_check_cost, ..settings_serving_stale_reads() }, 4);
        host.complete_health_check(1, Role::Primary, 0);
        (2..=4).for_each(|number| drop(host.complete_health_check(number, Role::Replica, 10)));
        // Each time, the positions of all three replicas are older than the bound; checking them uses up the
        // budget.
        let mut counts = Vec::new();
        for _ in 0..20 {
            host.advance_clock(1_100);
            let (_, actions) = host.request(BOUNDED_READ);
            counts.push(health_checked(&actions).len());
            for endpoint in health_checked(&actions) {
                let number = (2..=4).find(|number| endpoint_id(*number) == endpoint).unwrap();
                host.complete_health_check(number, Role::Replica, 10);
            }
        }
        host.complete_health_check(2, Role::Replica, 10);
        (counts.iter().sum::<usize>(), health_checked(&host.request(BOUNDED_READ).1).len())
    };
    assert_eq!(checks_at_cost(0.001), (60, 0), "all replicas are checked each time");
    // No more than the full budget and what each request adds to it, and none while a replica is known to be
    // eligible.
    let (while_none, while_eligible) = checks_at_cost(0.05);
    assert!((15..=18).contains(&while_none) && while_eligible == 0, "{while_none} and {while_eligible}");
}

#[test]
fn a_replica_that_lags_within_the_bound_is_checked_again_once_its_position_is_too_old() {
    let mut host = TestHost::new(settings_serving_stale_reads(), 3);
    host.complete_health_check(1, Role::Primary, 0);
    host.complete_health_check(2, Role::Replica, 600);
    host.complete_health_check(3, Role::Replica, 5_000);
    host.advance_clock(450);
    // About half a bound later its known position is too old for the bound, although its lag has not grown.
    assert_eq!(
        health_checked(&host.request(BOUNDED_READ).1),
        [endpoint_id(2)],
        "endpoint 3, which lags far behind, is not checked"
    );
    host.advance_clock(2);
    host.complete_health_check(2, Role::Replica, 600);
    assert_eq!(sent_to(&host.request(BOUNDED_READ).1), [endpoint_id(2)]);
}
