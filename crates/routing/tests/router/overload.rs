//! Overload: when requests are shed, and when not.

use crate::support::*;

#[test]
fn overload_known_from_few_responses_is_soon_forgotten() {
    // Seen in simulation: where a router sees two responses a second from a group, its reads were rejected for
    // seconds after an outage, beside endpoints that were healthy and idle.
    let is_rejected = |seed| {
        let mut host = TestHost::with_seed(seed, settings(), 4);
        for _ in 0..8 {
            let (id, actions) = host.request(EVENTUAL_READ);
            let to = sent_to(&actions);
            if let Some(at) = (1..=4).find(|at| to.contains(&endpoint_id(*at))) {
                host.respond_after(id, 0, at, 350);
            }
            host.advance_clock(250);
        }
        host.advance_clock(4_500);
        let (id, actions) = host.request(EVENTUAL_READ);
        usize::from(rejection(&actions, id).is_some())
    };
    let all: usize = (0..100).map(is_rejected).sum();
    assert!(all <= 30, "{all} of 100 rejected");
}

#[test]
fn a_short_deadline_is_served_while_nothing_is_overloaded() {
    // Clients that come with little time left must not be rejected by load shedding alone.
    let mut host = TestHost::new(settings(), 3);
    for _ in 0..20 {
        let (id, actions) = host.request_with_deadline(EVENTUAL_READ, 120);
        let to = sent_to(&actions);
        assert_eq!(to.len(), 1);
        let at = endpoint_number(3, &to[0]);
        host.respond_after(id, 0, at, 20);
    }
}

#[test]
fn reads_do_not_add_to_an_overloaded_primary() {
    let settings = settings_where_stale_reads_are_served();
    let sent = |latency_ms: i64| {
        let one = |seed| {
            let mut host = TestHost::with_seed(seed, settings.clone(), 3);
            host.complete_health_check(1, Role::Primary, 0);
            for at in 0..12 {
                let (id, actions) = host.request(PLAIN_WRITE);
                if !sent_to(&actions).is_empty() {
                    host.respond_after(id, 0, 1, if at % 3 == 0 { 20 } else { latency_ms });
                }
            }
            // The replicas are known to lag by far.
            (2..=3).for_each(|at| drop(host.complete_health_check(at, Role::Replica, 60_000)));
            sent_to(&host.request(BOUNDED_READ).1).len()
        };
        (1..=100).map(one).sum::<usize>()
    };
    assert!(sent(20) >= 90, "{} of 100", sent(20));
    assert!(sent(250) <= 3, "{} of 100: the writes alone fill it", sent(250));
}
