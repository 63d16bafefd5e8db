//! Load balancing of reads among eligible endpoints.

use crate::support::*;
use std::collections::BTreeMap;

#[test]
fn reads_spill_over_to_a_primary_that_is_less_loaded_than_its_replicas() {
    // Guards against reads that stay on overloaded replicas, which answer none of them in time, while the
    // primary is half idle.
    for slow_ms in [20, 200] {
        let mut host = TestHost::new(settings(), 3);
        let mut to_primary = 0;
        for _ in 0..80 {
            host.complete_health_check(1, Role::Primary, 0);
            let (id, actions) = host.request(EVENTUAL_READ);
            for target in sent_to(&actions) {
                let endpoint = endpoint_number(3, &target);
                let latency_ms = if endpoint == 1 { 20 } else { slow_ms };
                to_primary += usize::from(endpoint == 1);
                host.respond_after(id, 0, endpoint, latency_ms);
            }
        }
        assert_eq!(
            to_primary > 10,
            slow_ms > 100,
            "{to_primary} of 80 reads went to the primary, replicas respond in {slow_ms} ms"
        );
    }
}

#[test]
fn an_endpoint_that_was_slow_once_receives_reads_again_under_low_load() {
    // Guards against passing over an endpoint for good: its slowness raises its load above the threshold, and
    // is updated only by responses to reads that it then no longer gets.
    let mut host = TestHost::new(settings(), 4);
    let mut reads_since_slow = 0;
    let mut slow_endpoint = None;
    let mut reads_of_slow = 0;
    for _ in 0..800 {
        let (id, actions) = host.request(EVENTUAL_READ);
        let targets = sent_to(&actions);
        let endpoint = (1..=4)
            .find(|endpoint| targets == [endpoint_id(*endpoint)])
            .expect("the read was not sent at once");
        let is_slow_response = slow_endpoint.is_none() && host.now > START + TimeDelta::from_millis(1_000);
        host.respond_after(id, 0, endpoint, if is_slow_response { 300 } else { 5 });
        if is_slow_response {
            slow_endpoint = Some(endpoint);
        } else if slow_endpoint.is_some() {
            reads_since_slow += 1;
            reads_of_slow += usize::from(slow_endpoint == Some(endpoint));
        }
        host.advance_clock(20);
    }
    assert!(reads_since_slow > 500);
    assert!(
        reads_of_slow > reads_since_slow / 20,
        "{reads_of_slow} of {reads_since_slow} later reads went to the endpoint"
    );
}

/// Sends `count` reads one after another, each answered before the next one, and returns how many of them
/// went to endpoint 1 of four. Endpoint 1 responds in `first_ms`, the others in 5 ms.
fn reads_of_first(host: &mut TestHost, count: usize, first_ms: i64) -> usize {
    let mut reads = 0;
    for _ in 0..count {
        let (id, actions) = host.request(EVENTUAL_READ);
        let endpoint = endpoint_number(4, &sent_to(&actions)[0]);
        let latency_ms = if endpoint == 1 { first_ms } else { 5 };
        reads += usize::from(endpoint == 1);
        host.respond_after(id, 0, endpoint, latency_ms);
    }
    reads
}

#[test]
fn an_endpoint_that_was_slow_once_serves_within_sixty_reads_and_regains_its_share() {
    for seed in 1..=100 {
        for slow_ms in [12, 50, 500] {
            let mut host = TestHost::with_seed(seed, settings(), 4);
            reads_of_first(&mut host, 200, 5);
            // Endpoint 1 responds slowly once.
            while reads_of_first(&mut host, 1, slow_ms) == 0 {}
            assert!(reads_of_first(&mut host, 60, 5) > 0, "seed {seed}, {slow_ms} ms");
            let later = reads_of_first(&mut host, 200, 5);
            assert!(later > 200 / 8, "seed {seed}, {slow_ms} ms: {later} of 200 reads; an even share is 50");
        }
    }
}

#[test]
fn an_endpoint_whose_first_response_was_slow_serves_within_sixty_reads() {
    for seed in 1..=100 {
        let mut host = TestHost::with_seed(seed, settings(), 4);
        while reads_of_first(&mut host, 1, 100) == 0 {}
        assert!(reads_of_first(&mut host, 60, 5) > 0, "seed {seed}");
    }
}

#[test]
fn an_endpoint_that_stays_slow_gets_few_reads() {
    for seed in 1..=20 {
        for slow_ms in [50, 500] {
            let mut host = TestHost::with_seed(seed, settings(), 4);
            reads_of_first(&mut host, 200, 5);
            let reads = reads_of_first(&mut host, 1_000, slow_ms);
            assert!(
                reads <= 1_000 / 40,
                "seed {seed}, {slow_ms} ms: {reads} of 1000 reads; an even share is 250"
            );
        }
    }
}

#[test]
fn reads_under_low_load_are_spread_over_all_endpoints() {
    let mut host = TestHost::new(settings(), 4);
    let mut reads_by_endpoint = BTreeMap::new();
    for _ in 0..400 {
        let (id, actions) = host.request(EVENTUAL_READ);
        let target = sent_to(&actions).remove(0);
        let endpoint = endpoint_number(4, &target);
        *reads_by_endpoint.entry(endpoint).or_insert(0) += 1;
        host.advance_clock(5);
        host.complete_attempt(id, 0, endpoint, AttemptOutcome::Ok);
    }
    assert!(
        (1..=4).all(|endpoint| reads_by_endpoint[&endpoint] > 60),
        "reads by endpoint: {reads_by_endpoint:?}"
    );
}

#[test]
fn a_loaded_first_pick_is_passed_over() {
    let mut host = TestHost::new(settings(), 2);
    let first = sent_to(&host.request(EVENTUAL_READ).1).remove(0);
    // The second read must avoid the endpoint that already has an attempt in flight.
    let second = sent_to(&host.request(EVENTUAL_READ).1).remove(0);
    assert_ne!(first, second);
}
