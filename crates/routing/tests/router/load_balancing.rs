//! The choice among eligible endpoints.

use crate::support::*;
use std::collections::BTreeMap;

#[test]
fn reads_spill_over_to_a_primary_that_is_less_loaded_than_its_replicas() {
    // Seen in simulation: replicas answered no request in time while primaries were half idle.
    for slow_ms in [20, 200] {
        let mut host = TestHost::new(settings(), 3);
        let mut to_primary = 0;
        for _ in 0..80 {
            host.complete_health_check(1, Role::Primary, 0);
            let (id, actions) = host.request(EVENTUAL_READ);
            for to in sent_to(&actions) {
                let at = endpoint_number(3, &to);
                let took = if at == 1 { 20 } else { slow_ms };
                to_primary += usize::from(at == 1);
                host.respond_after(id, 0, at, took);
            }
        }
        assert_eq!(to_primary > 10, slow_ms > 100, "{to_primary} of 80 at {slow_ms} ms");
    }
}

#[test]
fn an_endpoint_that_was_slow_once_receives_reads_again_while_others_idle() {
    // Slowness is learnt from responses only; it lifts the load over the threshold, and so kept further responses away.
    let mut host = TestHost::new(settings(), 4);
    let mut since_slow = 0;
    let mut slow = None;
    let mut again = 0;
    for _ in 0..800 {
        let (id, actions) = host.request(EVENTUAL_READ);
        let to = sent_to(&actions);
        let at = (1..=4).find(|at| to == [endpoint_id(*at)]).expect("sent at once");
        let first = slow.is_none() && host.now > START + TimeDelta::from_millis(1_000);
        host.respond_after(id, 0, at, if first { 300 } else { 5 });
        if first {
            slow = Some(at);
        } else if slow.is_some() {
            since_slow += 1;
            again += usize::from(slow == Some(at));
        }
        host.advance_clock(20);
    }
    assert!(since_slow > 500);
    assert!(again > since_slow / 20, "{again} of {since_slow} reads");
}

/// Sends so many reads one after another, each answered before the next one; how many went to endpoint 1 of four.
/// It answers in `first_ms`, the others in 5 ms.
fn reads_of_first(host: &mut TestHost, count: usize, first_ms: i64) -> usize {
    let mut of_first = 0;
    for _ in 0..count {
        let (id, actions) = host.request(EVENTUAL_READ);
        let at = endpoint_number(4, &sent_to(&actions)[0]);
        let took = if at == 1 { first_ms } else { 5 };
        of_first += usize::from(at == 1);
        host.respond_after(id, 0, at, took);
    }
    of_first
}

#[test]
fn an_endpoint_that_was_slow_once_serves_again_within_sixty_reads_and_then_its_share() {
    for seed in 1..=100 {
        for slow_ms in [12, 50, 500] {
            let mut host = TestHost::with_seed(seed, settings(), 4);
            reads_of_first(&mut host, 200, 5);
            // It is slow once.
            while reads_of_first(&mut host, 1, slow_ms) == 0 {}
            assert!(reads_of_first(&mut host, 60, 5) > 0, "seed {seed}, {slow_ms} ms");
            let later = reads_of_first(&mut host, 200, 5);
            assert!(later > 200 / 8, "seed {seed}, {slow_ms} ms: {later} of 200, where an even share is 50");
        }
    }
}

#[test]
fn an_endpoint_that_was_slow_at_the_start_serves_within_sixty_reads() {
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
            assert!(reads <= 1_000 / 40, "seed {seed}, {slow_ms} ms: {reads}, where an even share is 250");
        }
    }
}

#[test]
fn idle_reads_are_spread_over_all_endpoints() {
    let mut host = TestHost::new(settings(), 4);
    let mut seen = BTreeMap::new();
    for _ in 0..400 {
        let (id, actions) = host.request(EVENTUAL_READ);
        let to = sent_to(&actions).remove(0);
        let at = endpoint_number(4, &to);
        *seen.entry(at).or_insert(0) += 1;
        host.advance_clock(5);
        host.complete_attempt(id, 0, at, AttemptOutcome::Ok);
    }
    assert!((1..=4).all(|at| seen[&at] > 60), "{seen:?}");
}

#[test]
fn a_loaded_first_choice_is_skipped() {
    let mut host = TestHost::new(settings(), 2);
    let busy = sent_to(&host.request(EVENTUAL_READ).1).remove(0);
    // The second and later reads must avoid an endpoint with more than its share in flight.
    let second = sent_to(&host.request(EVENTUAL_READ).1).remove(0);
    assert_ne!(busy, second);
}
