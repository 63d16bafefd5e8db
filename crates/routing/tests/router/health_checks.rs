//! When replicas are health checked.

use crate::support::*;

#[test]
fn a_session_read_has_every_replica_checked_again_well_within_the_bound() {
    let mut host = TestHost::new(settings_where_stale_reads_are_served(), 4);
    host.complete_health_check(1, Role::Primary, 0);
    (2..=4).for_each(|at| drop(host.complete_health_check(at, Role::Replica, 10)));
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
    assert_eq!(checked, all, "what is known is older than the write");
    assert!(health_checked(&host.request_in_session(SESSION_READ, 7).1).is_empty(), "checked a moment ago");
    // They had not applied it then; a tenth of a second later, long before the bound has passed, they may have.
    host.advance_clock(100);
    assert_eq!(sorted(health_checked(&host.request_in_session(SESSION_READ, 7).1)), all);
    host.complete_health_check(3, Role::Replica, 20);
    let session = sent_to(&host.request_in_session(SESSION_READ, 7).1);
    assert_eq!(session, [endpoint_id(3)], "shown to have the write");
    let (_, bounded) = host.request(BOUNDED_READ);
    assert!(health_checked(&bounded).is_empty(), "for bounded reads all are eligible");
}

#[test]
fn costly_health_checks_go_to_one_replica_and_only_while_none_is_eligible() {
    let checks_at_cost = |health_check_cost| {
        let mut host =
            TestHost::new(Settings { health_check_cost, ..settings_where_stale_reads_are_served() }, 4);
        host.complete_health_check(1, Role::Primary, 0);
        (2..=4).for_each(|at| drop(host.complete_health_check(at, Role::Replica, 10)));
        // Three positions are older than the bound each time; the budget saved up is spent on them.
        let mut counts = Vec::new();
        for _ in 0..20 {
            host.advance_clock(1_100);
            let (_, actions) = host.request(BOUNDED_READ);
            counts.push(health_checked(&actions).len());
            for endpoint in health_checked(&actions) {
                let at = (2..=4).find(|at| endpoint_id(*at) == endpoint).unwrap();
                host.complete_health_check(at, Role::Replica, 10);
            }
        }
        host.complete_health_check(2, Role::Replica, 10);
        (counts.iter().sum::<usize>(), health_checked(&host.request(BOUNDED_READ).1).len())
    };
    assert_eq!(checks_at_cost(0.001), (60, 0), "all, each time");
    // No more than the budget saved up and what each request adds, and none while a replica is known to be eligible.
    let (while_none, while_eligible) = checks_at_cost(0.05);
    assert!((15..=18).contains(&while_none) && while_eligible == 0, "{while_none} and {while_eligible}");
}

#[test]
fn a_replica_that_lags_within_the_bound_is_checked_again_once_its_position_is_too_old() {
    let mut host = TestHost::new(settings_where_stale_reads_are_served(), 3);
    host.complete_health_check(1, Role::Primary, 0);
    host.complete_health_check(2, Role::Replica, 600);
    host.complete_health_check(3, Role::Replica, 5_000);
    host.advance_clock(450);
    // Half a bound later it would no longer be eligible, though it has kept up all the while.
    assert_eq!(
        health_checked(&host.request(BOUNDED_READ).1),
        [endpoint_id(2)],
        "and not the one that is far behind"
    );
    host.advance_clock(2);
    host.complete_health_check(2, Role::Replica, 600);
    assert_eq!(sent_to(&host.request(BOUNDED_READ).1), [endpoint_id(2)]);
}
