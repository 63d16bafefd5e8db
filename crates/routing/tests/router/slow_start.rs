//! The budget of an endpoint that has just started, against what all routers together send it.

use crate::support::*;

#[test]
fn many_routers_together_do_not_overload_a_cold_endpoint() {
    // Seen in simulation: 510 routers that may each always send one request to an endpoint that just started.
    let routers = 500;
    let mut together = 0;
    for seed in 0..routers {
        let many = Settings { router_count: routers as u32, ..settings() };
        let mut host = TestHost::with_seed(seed, many, 2);
        // Each serves two requests, then one of two endpoints restarts, and two more come.
        for _ in 0..2 {
            let (id, actions) = host.request(EVENTUAL_READ);
            host.advance_clock(20);
            let at = first_or_second(&actions);
            host.complete_attempt(id, 0, at, AttemptOutcome::Ok);
        }
        host.set_started_at(2, host.now);
        host.set_lifecycle(1, Lifecycle::Draining);
        for _ in 0..2 {
            host.advance_clock(200);
            together += sent_to(&host.request(EVENTUAL_READ).1).len();
        }
    }
    assert!(together <= 120, "{together} sends in 0.4 s by 500 routers");
    assert!(together >= 10, "{together}: thinned by chance, not shut out");
}

#[test]
fn an_endpoint_that_refused_a_connection_is_cold_when_it_returns() {
    // Seen in simulation: no update announced the restart; endpoints that returned were overloaded for good.
    // Seen on real sockets: one that was unreachable for a while is not cold, and was treated so for 16 s.
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
        assert_eq!(burst == 0, is_cold, "{burst} sends at once");
    }
}

#[test]
fn requests_sent_while_warm_do_not_count_against_the_cold_budget() {
    let mut host = TestHost::new(settings(), 1);
    let request = |host: &mut TestHost| {
        let (id, actions) = host.request(EVENTUAL_READ);
        (id, !sent_to(&actions).is_empty())
    };
    // More than the cold budget would ever allow, all of it served well.
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
fn a_started_endpoint_receives_no_burst() {
    let mut host = TestHost::new(settings(), 1);
    host.set_started_at(1, host.now);
    let burst: usize = (0..50).map(|_| sent_to(&host.request(EVENTUAL_READ).1).len()).sum();
    assert!(burst <= 2, "{burst} sends to a cold endpoint of unknown size");
}

#[test]
fn a_new_router_sizes_the_cold_budget_by_the_load_it_has_seen() {
    // Seen in simulation: a router that had run for 5 s took its endpoints for half as busy as they were, and when
    // all endpoints restarted queued its reads until they were too late.
    let mut host = TestHost::new(settings(), 2);
    let serve = |host: &mut TestHost, every: i64, count: usize| {
        let mut served = 0;
        for _ in 0..count {
            host.advance_clock(every - 5);
            let (id, actions) = host.request_with_deadline(EVENTUAL_READ, 400);
            let to = sent_to(&actions);
            let at = if to == [endpoint_id(1)] { 1 } else { 2 };
            served += to.len();
            host.advance_clock(5);
            if !to.is_empty() {
                host.complete_attempt(id, 0, at, AttemptOutcome::Ok);
            }
        }
        served
    };
    // Ten a second, for two seconds.
    assert_eq!(serve(&mut host, 100, 20), 20);
    host.set_started_at(2, host.now);
    host.set_lifecycle(1, Lifecycle::Draining);
    let sent = serve(&mut host, 50, 40);
    // Two seconds of three times a fifth to a third of an endpoint's ten a second, and some more.
    assert!((10..=21).contains(&sent), "{sent} sends");
}

#[test]
fn rejected_attempts_do_not_raise_the_cold_budget() {
    // Seen in simulation: in a surge warm endpoints rejected most requests, and counting those as their usual load
    // let cold ones be overloaded.
    let mut host = TestHost::new(settings(), 2);
    for _ in 0..200 {
        let (id, actions) = host.request(EVENTUAL_READ);
        for (attempt, to) in sent_to(&actions).into_iter().enumerate() {
            let at = if to == endpoint_id(1) { 1 } else { 2 };
            host.complete_attempt(id, attempt as u32, at, AttemptOutcome::Rejected);
        }
    }
    host.set_started_at(2, host.now);
    host.set_lifecycle(1, Lifecycle::Draining);
    let burst: usize = (0..50).map(|_| sent_to(&host.request(EVENTUAL_READ).1).len()).sum();
    assert!(burst <= 2, "{burst} sends");
}

#[test]
fn a_new_router_serves_from_endpoints_that_have_all_just_started() {
    // Nothing has been served yet by which to tell their capacity; the budget allows a few requests all the same.
    for fleet in [1, 3, 30] {
        let settings = Settings { router_count: fleet, ..settings() };
        let mut hosts: Vec<TestHost> =
            (0..u64::from(fleet)).map(|seed| TestHost::with_seed(seed, settings.clone(), 0)).collect();
        let began = hosts[0].now;
        for host in &mut hosts {
            let started = Some(began);
            let entries =
                (1..=3).map(|at| EndpointEntry { started_at: started, ..endpoint_entry(at) }).collect();
            host.replace_endpoints(entries);
        }
        let (mut served, mut requested) = (0, 0);
        let mut first_window = [0_usize; 4];
        // Ten requests a second, of the whole fleet.
        for turn in 0..80_i64 {
            let now = began + TimeDelta::from_millis(turn * 100);
            let at = turn as usize % hosts.len();
            let host = &mut hosts[at];
            host.now = now;
            let (id, actions) = host.request_with_deadline(EVENTUAL_READ, 400);
            requested += 1;
            if let Some(to) = sent_to(&actions).first() {
                let at = endpoint_number(3, to);
                first_window[at] += usize::from(now < began + settings.overload_window);
                host.now = now + TimeDelta::from_millis(20);
                host.complete_attempt(id, 0, at, AttemptOutcome::Ok);
                served += 1;
            }
        }
        assert!(first_window.iter().all(|count| *count <= 3), "{fleet}: {first_window:?}");
        assert!(served * 4 >= requested, "{fleet}: {served} of {requested} served in 8 s");
    }
}
