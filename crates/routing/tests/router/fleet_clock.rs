//! Routers whose own clock is wrong, while positions, commits and starts are dated by the fleet clock.

use crate::support::*;

const HOUR_MS: i64 = 3_600_000;

/// Sends bounded reads; returns the endpoints that they are dispatched to.
fn send_bounded_reads(host: &mut TestHost, count: usize) -> Vec<EndpointId> {
    (0..count).flat_map(|_| sent_to(&host.request(BOUNDED_READ).1)).collect()
}

#[test]
fn a_clock_that_is_behind_does_not_make_stale_data_eligible() {
    for behind in [2_000, 5_000, HOUR_MS] {
        let mut host = TestHost::new(settings_serving_stale_reads(), 3);
        host.complete_health_check(1, Role::Primary, -behind);
        // Endpoint 2 lags by the error of the clock, endpoint 3 by 10 ms.
        host.complete_health_check(2, Role::Replica, 0);
        host.complete_health_check(3, Role::Replica, 10 - behind);
        let sent = send_bounded_reads(&mut host, 40);
        assert!(
            !sent.contains(&endpoint_id(2)),
            "clock {behind} ms behind: the data of endpoint 2 is {behind} ms old, 1,000 ms are allowed"
        );
        assert!(sent.contains(&endpoint_id(3)), "clock {behind} ms behind: the data of endpoint 3 is fresh");
    }
}

#[test]
fn a_commit_corrects_a_clock_that_is_ahead() {
    for ahead in [5_000, HOUR_MS] {
        let mut host = TestHost::new(settings_serving_stale_reads(), 3);
        let (id, actions) = host.request(PLAIN_WRITE);
        assert_eq!(sent_to(&actions), [endpoint_id(1)]);
        host.advance_clock(5);
        let commit = host.now - TimeDelta::from_millis(ahead + 2);
        host.complete_at_position(id, 1, commit);
        host.complete_health_check(2, Role::Replica, ahead + 20);
        host.complete_health_check(3, Role::Replica, ahead + 1_500);
        let sent = send_bounded_reads(&mut host, 40);
        assert!(sent.contains(&endpoint_id(2)), "clock {ahead} ms ahead: the data of endpoint 2 is fresh");
        assert!(
            !sent.contains(&endpoint_id(3)),
            "clock {ahead} ms ahead: the data of endpoint 3 is over 1,000 ms old"
        );
    }
}

#[test]
fn an_implausible_commit_does_not_set_the_clock_back() {
    // Other reports agree on the present. A single commit dated long ago must not make stale data count as
    // fresh.
    for behind in [30_000, HOUR_MS, 24 * HOUR_MS] {
        let mut host = TestHost::new(settings_serving_stale_reads(), 3);
        host.complete_health_check(1, Role::Primary, 0);
        host.complete_health_check(2, Role::Replica, 5_000);
        let (id, _) = host.request(PLAIN_WRITE);
        host.advance_clock(5);
        host.complete_at_position(id, 1, host.now - TimeDelta::from_millis(behind));
        assert!(
            !send_bounded_reads(&mut host, 40).contains(&endpoint_id(2)),
            "commit dated {behind} ms ago: the data of endpoint 2 is 5 s old"
        );
    }
}

#[test]
fn the_data_of_a_former_primary_is_dated_by_the_fleet_clock() {
    // The router's clock is an hour ahead: the data that a primary had at some time must not be dated by it.
    let mut host = TestHost::new(settings_serving_stale_reads(), 3);
    for _ in 0..20 {
        let (id, actions) = host.request(STRONG_READ);
        if let Some(to) = sent_to(&actions).first().cloned() {
            let number = endpoint_number(3, &to);
            host.complete_attempt_as(id, 0, number, AttemptOutcome::Ok, Role::Primary);
        } else {
            host.complete_health_check(1, Role::Primary, HOUR_MS);
        }
        host.advance_clock(20);
    }
    // Endpoint 1 hands the primary role over to endpoint 2, and lags from then on.
    host.complete_health_check(1, Role::Replica, HOUR_MS + 500);
    host.complete_health_check(2, Role::Primary, HOUR_MS);
    host.advance_clock(5_000);
    host.complete_health_check(2, Role::Primary, HOUR_MS);
    assert!(
        !send_bounded_reads(&mut host, 40).contains(&endpoint_id(1)),
        "the last known position of endpoint 1 is over 5 s old"
    );
}

/// The number of requests that are sent to an endpoint after an endpoint update has reported its restart.
/// Until then its group of two endpoints has served ten reads a second.
fn sends_to_a_restarted_endpoint(started_ago_ms: i64, wait_ms: i64) -> usize {
    let mut host = TestHost::new(settings(), 2);
    for _ in 0..40 {
        host.advance_clock(95);
        let (id, actions) = host.request_with_deadline(EVENTUAL_READ, 400);
        let number = sent_to_first_or_second(&actions);
        host.advance_clock(5);
        host.complete_attempt(id, 0, number, AttemptOutcome::Ok);
    }
    let started = host.now - TimeDelta::from_millis(started_ago_ms);
    host.set_started_at(2, started);
    host.set_lifecycle(1, Lifecycle::Draining);
    host.advance(wait_ms);
    let mut sent = 0;
    for _ in 0..50 {
        let (id, actions) = host.request_with_deadline(EVENTUAL_READ, 400);
        sent += sent_to(&actions).len();
        if !sent_to(&actions).is_empty() {
            host.complete_attempt(id, 0, 2, AttemptOutcome::Ok);
        }
    }
    sent
}

#[test]
fn a_restarted_endpoint_is_cold_whatever_the_error_of_the_clock() {
    for ago in [0, 30_000, HOUR_MS, -HOUR_MS] {
        let burst = sends_to_a_restarted_endpoint(ago, 0);
        assert!(burst <= 2, "restart dated {ago} ms ago: {burst} requests sent at once to the endpoint");
    }
}

#[test]
fn a_restarted_endpoint_is_warm_after_the_slow_start_window_whatever_the_error_of_the_clock() {
    for ago in [0, 30_000, HOUR_MS, -HOUR_MS] {
        let sent = sends_to_a_restarted_endpoint(ago, 10_500);
        assert!(
            sent >= 30,
            "restart dated {ago} ms ago: {sent} requests sent to an endpoint that has been warm for 0.5 s"
        );
    }
}

#[test]
fn a_new_router_waits_for_the_primary_before_it_trusts_its_clock() {
    // The router's clock is 5 s behind. Of the endpoints that it health-checks at its first read, a replica
    // whose data is 5 s old responds first.
    let mut host = TestHost::new(settings_serving_stale_reads(), 0);
    let entries =
        (1..=3).map(|number| EndpointEntry { primary: number == 1, ..endpoint_entry(number) }).collect();
    host.replace_endpoints(entries);
    let (_, actions) = host.request(BOUNDED_READ);
    assert!(sent_to(&actions).is_empty());
    assert!(
        health_checked(&actions).contains(&endpoint_id(1)),
        "the listed primary is health-checked: {actions:?}"
    );
    host.advance_clock(2);
    assert_eq!(
        sent_to(&host.complete_health_check(2, Role::Replica, 0)),
        [],
        "no response has confirmed the clock yet"
    );
    assert!(send_bounded_reads(&mut host, 5).is_empty());
    host.advance_clock(2);
    let dispatched = sent_to(&host.complete_health_check(1, Role::Primary, -5_000));
    assert!(!dispatched.is_empty() && dispatched.iter().all(|to| *to == endpoint_id(1)), "{dispatched:?}");
    host.complete_health_check(3, Role::Replica, -4_990);
    let sent = send_bounded_reads(&mut host, 40);
    assert!(sent.contains(&endpoint_id(3)) && !sent.contains(&endpoint_id(2)), "{sent:?}");
}

#[test]
fn a_silent_primary_delays_reads_only_briefly() {
    let mut host = TestHost::new(settings_serving_stale_reads(), 0);
    let entries =
        (1..=3).map(|number| EndpointEntry { primary: number == 1, ..endpoint_entry(number) }).collect();
    host.replace_endpoints(entries);
    host.request(BOUNDED_READ);
    host.advance_clock(2);
    host.complete_health_check(2, Role::Replica, 10);
    let dispatched = sent_to(&host.advance(300));
    assert_eq!(dispatched, [endpoint_id(2)], "the router goes by its own clock");
}
