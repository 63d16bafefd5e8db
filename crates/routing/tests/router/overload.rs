//! Load shedding under overload.

use crate::support::*;

#[test]
fn an_overload_ratio_based_on_few_responses_soon_decays() {
    // Guards against an overload ratio that outlives the overload in a router with few responses: at two
    // responses a second from a group, reads were rejected for seconds after an outage although the endpoints
    // were healthy and idle.
    let is_rejected = |seed| {
        let mut host = TestHost::with_seed(seed, settings(), 4);
        for _ in 0..8 {
            let (id, actions) = host.request(EVENTUAL_READ);
            let targets = sent_to(&actions);
            if let Some(number) = (1..=4).find(|number| targets.contains(&endpoint_id(*number))) {
                host.respond_after(id, 0, number, 350);
            }
            host.advance_clock(250);
        }
        host.advance_clock(4_500);
        let (id, actions) = host.request(EVENTUAL_READ);
        usize::from(rejection(&actions, id).is_some())
    };
    let rejected: usize = (0..100).map(is_rejected).sum();
    assert!(rejected <= 30, "{rejected} of 100 reads rejected");
}

#[test]
fn requests_with_a_short_deadline_are_not_shed_without_overload() {
    // Load shedding alone must not reject requests that arrive with little time left.
    let mut host = TestHost::new(settings(), 3);
    for _ in 0..20 {
        let (id, actions) = host.request_with_deadline(EVENTUAL_READ, 120);
        let targets = sent_to(&actions);
        assert_eq!(targets.len(), 1);
        let number = endpoint_number(3, &targets[0]);
        host.respond_after(id, 0, number, 20);
    }
}

#[test]
fn reads_do_not_add_to_an_overloaded_primary() {
    let settings = settings_serving_stale_reads();
    let sent = |latency_ms: i64| {
        let sent_reads = |seed| {
            let mut host = TestHost::with_seed(seed, settings.clone(), 3);
            host.complete_health_check(1, Role::Primary, 0);
            for index in 0..12 {
                let (id, actions) = host.request(PLAIN_WRITE);
                if !sent_to(&actions).is_empty() {
                    host.respond_after(id, 0, 1, if index % 3 == 0 { 20 } else { latency_ms });
                }
            }
            // Health checks show that the replicas lag by a minute.
            (2..=3).for_each(|number| drop(host.complete_health_check(number, Role::Replica, 60_000)));
            sent_to(&host.request(BOUNDED_READ).1).len()
        };
        (1..=100).map(sent_reads).sum::<usize>()
    };
    assert!(sent(20) >= 90, "{} of 100 reads sent", sent(20));
    assert!(sent(250) <= 3, "{} of 100 reads sent to a primary that the writes alone overload", sent(250));
}
