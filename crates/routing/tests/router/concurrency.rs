//! Concurrency limits of endpoints.

use crate::support::*;

#[test]
fn abandoned_attempts_count_against_the_limit_until_the_usual_latency_has_passed() {
    // Guards against overload by impatient clients: they give up early and retry, while the endpoints still
    // work on the abandoned attempts but appear idle.
    let mut host = TestHost::new(settings(), 1);
    let mut sent = Vec::new();
    loop {
        let (id, actions) = host.request(EVENTUAL_READ);
        if sent_to(&actions).is_empty() {
            host.report(Event::RequestAbandoned(id));
            break;
        }
        sent.push(id);
    }
    for id in &sent {
        host.report(Event::RequestAbandoned(*id));
        host.complete_attempt(*id, 0, 1, AttemptOutcome::Cancelled);
    }
    let (id, actions) = host.request(EVENTUAL_READ);
    assert!(sent_to(&actions).is_empty(), "abandoned attempts use up the limit");
    let actions = host.advance(150);
    assert_eq!(sent_to(&actions).len(), 1, "abandoned attempts count no longer after the usual latency");
    host.complete_attempt(id, 0, 1, AttemptOutcome::Ok);
}

#[test]
fn with_many_routers_the_primary_still_receives_a_share_of_the_reads() {
    // All routers share the initial limit, so the part of it that the reads of one router may fill is less
    // than one request.
    let settings = Settings { stale_read_policy: StaleReadPolicy::Serve, router_count: 100, ..settings() };
    let sent = |seed| {
        let mut host = TestHost::with_seed(seed, settings.clone(), 3);
        host.complete_health_check(1, Role::Primary, 0);
        let first = sent_to(&host.request(BOUNDED_READ).1).len();
        (first, sent_to(&host.request(BOUNDED_READ).1).len() * first)
    };
    let (first, second): (Vec<_>, Vec<_>) = (1..=200).map(sent).unzip();
    let first: usize = first.iter().sum();
    assert!((100..200).contains(&first), "{first} of 200 first reads sent to the only eligible endpoint");
    assert_eq!(second.iter().sum::<usize>(), 0, "no second read beside the first one");
}
