//! Slow start: the budget of requests that all routers together may send an endpoint that has just started.

use crate::support::*;

#[test]
fn many_routers_together_do_not_overload_a_cold_endpoint() {
    // Guards against a minimum of one request for each router: 510 routers together overload an endpoint that
    // has just started.
    let routers = 500;
    let mut total_sent = 0;
    for seed in 0..routers {
        let many = Settings { router_count: routers as u32, ..settings() };
        let mut host = TestHost::with_seed(seed, many, 2);
        // Each router serves two requests, then one of two endpoints restarts, and two more requests arrive.
        for _ in 0..2 {
            let (id, actions) = host.request(EVENTUAL_READ);
            host.advance_clock(20);
            let number = sent_to_first_or_second(&actions);
            host.complete_attempt(id, 0, number, AttemptOutcome::Ok);
        }
        host.set_started_at(2, host.now);
        host.set_lifecycle(1, Lifecycle::Draining);
        for _ in 0..2 {
            host.advance_clock(200);
            total_sent += sent_to(&host.request(EVENTUAL_READ).1).len();
        }
    }
    assert!(total_sent <= 120, "{total_sent} requests sent in 0.4 s by 500 routers");
    assert!(total_sent >= 10, "{total_sent} requests sent: they are thinned out at random, not stopped");
}

#[test]
fn an_endpoint_that_refused_a_connection_is_cold_when_it_returns() {
    // Guards against the permanent overload of endpoints that return from a restart that no update announced,
    // and against the opposite fault: an endpoint that was only unreachable for a while, and is not cold, was
    // treated as cold for 16 s.
    for (outcome, is_cold) in [
        (AttemptOutcome::Ok, false),
        (AttemptOutcome::ConnectTimeout, false),
        (AttemptOutcome::ConnectionRefused, true),
    ] {
        let mut host = TestHost::new(Settings { max_attempts: 1, ..settings() }, 1);
        let (id, _) = host.request(EVENTUAL_READ);
        host.complete_attempt(id, 0, 1, outcome);
        host.advance_clock(1_000);
        let (id, actions) = host.request(EVENTUAL_READ);
        if !sent_to(&actions).is_empty() {
            host.complete_attempt(id, 0, 1, AttemptOutcome::Ok);
        }
        host.advance_clock(50);
        let burst: usize = (0..10).map(|_| sent_to(&host.request(EVENTUAL_READ).1).len()).sum();
        assert_eq!(burst == 0, is_cold, "{burst} requests sent at once");
    }
}

#[test]
fn requests_sent_while_warm_do_not_count_against_the_slow_start_budget() {
    let mut host = TestHost::new(settings(), 1);
    let request = |host: &mut TestHost| {
        let (id, actions) = host.request(EVENTUAL_READ);
        (id, !sent_to(&actions).is_empty())
    };
    // More requests than the slow-start budget would ever permit, all of them served in time.
    for _ in 0..400 {
        let (id, sent) = request(&mut host);
        assert!(sent);
        host.advance_clock(5);
        host.complete_attempt(id, 0, 1, AttemptOutcome::Ok);
    }
    let (id, _) = request(&mut host);
    host.complete_attempt(id, 0, 1, AttemptOutcome::ConnectionRefused);
    host.report(Event::RequestAbandoned(id));
    host.advance(500);
    assert!((0..10).any(|_| {
        let (id, sent) = request(&mut host);
        host.report(Event::RequestAbandoned(id));
        host.advance(50);
        sent
    }));
}

#[test]
fn an_endpoint_that_has_just_started_receives_no_burst() {
    let mut host = TestHost::new(settings(), 1);
    host.set_started_at(1, host.now);
    let burst: usize = (0..50).map(|_| sent_to(&host.request(EVENTUAL_READ).1).len()).sum();
    assert!(burst <= 2, "{burst} requests sent to a cold endpoint of unknown capacity");
}

#[test]
fn a_new_router_sizes_the_slow_start_budget_by_the_throughput_it_has_seen() {
    // Guards against underestimating the throughput after a start of the router: after 5 s it was estimated
    // at half, and when all endpoints restarted, reads were queued until they were too late.
    let mut host = TestHost::new(settings(), 2);
    let serve = |host: &mut TestHost, every: i64, count: usize| {
        let mut served = 0;
        for _ in 0..count {
            host.advance_clock(every - 5);
            let (id, actions) = host.request_with_deadline(EVENTUAL_READ, 400);
            let to = sent_to(&actions);
            let number = if to == [endpoint_id(1)] { 1 } else { 2 };
            served += to.len();
            host.advance_clock(5);
            if !to.is_empty() {
                host.complete_attempt(id, 0, number, AttemptOutcome::Ok);
            }
        }
        served
    };
    // Ten requests a second for 2 s.
    assert_eq!(serve(&mut host, 100, 20), 20);
    host.set_started_at(2, host.now);
    host.set_lifecycle(1, Lifecycle::Draining);
    let sent = serve(&mut host, 50, 40);
    // The budget for 2 s: three times a fifth to a third of the throughput of ten requests a second, and a
    // small margin.
    assert!((10..=21).contains(&sent), "{sent} requests sent");
}

#[test]
fn rejected_attempts_do_not_raise_the_slow_start_budget() {
    // Guards against overloading cold endpoints in a surge: warm ones reject most requests, which must not
    // count as throughput.
    let mut host = TestHost::new(settings(), 2);
    for _ in 0..200 {
        let (id, actions) = host.request(EVENTUAL_READ);
        for (attempt, to) in sent_to(&actions).into_iter().enumerate() {
            let number = if to == endpoint_id(1) { 1 } else { 2 };
            host.complete_attempt(id, attempt as u32, number, AttemptOutcome::Rejected);
        }
    }
    host.set_started_at(2, host.now);
    host.set_lifecycle(1, Lifecycle::Draining);
    let burst: usize = (0..50).map(|_| sent_to(&host.request(EVENTUAL_READ).1).len()).sum();
    assert!(burst <= 2, "{burst} requests sent");
}

#[test]
fn a_new_router_serves_from_endpoints_that_have_all_just_started() {
    // No response has shown their capacity yet; the budget still permits a few requests.
    for routers in [1, 3, 30] {
        let settings = Settings { router_count: routers, ..settings() };
        let mut hosts: Vec<TestHost> =
            (0..u64::from(routers)).map(|seed| TestHost::with_seed(seed, settings.clone(), 0)).collect();
        let began = hosts[0].now;
        for host in &mut hosts {
            let started = Some(began);
            let entries = (1..=3)
                .map(|number| EndpointEntry { started_at: started, ..endpoint_entry(number) })
                .collect();
            host.replace_endpoints(entries);
        }
        let (mut served, mut requested) = (0, 0);
        let mut first_window = [0_usize; 4];
        // Ten requests a second over all routers.
        for step in 0..80_i64 {
            let now = began + TimeDelta::from_millis(step * 100);
            let router = step as usize % hosts.len();
            let host = &mut hosts[router];
            host.now = now;
            let (id, actions) = host.request_with_deadline(EVENTUAL_READ, 400);
            requested += 1;
            if let Some(to) = sent_to(&actions).first() {
                let number = endpoint_number(3, to);
                first_window[number] += usize::from(now < began + settings.overload_window);
                host.now = now + TimeDelta::from_millis(20);
                host.complete_attempt(id, 0, number, AttemptOutcome::Ok);
                served += 1;
            }
        }
        assert!(first_window.iter().all(|count| *count <= 3), "{routers}: {first_window:?}");
        assert!(served * 4 >= requested, "{routers}: {served} of {requested} served in 8 s");
    }
}
