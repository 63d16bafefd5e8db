//! A router whose clock is off: positions, commits and starts are told on the fleet's clock, and its own was set wrong.

mod common;

use common::*;
use pooler_routing::*;

const HOUR: i64 = 3_600_000;

fn unchecked() -> Settings {
    Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() }
}

/// Where so many bounded reads go.
fn bounded(host: &mut Host, count: usize) -> Vec<EndpointId> {
    (0..count).flat_map(|_| sends(&host.ask(READ).1)).collect()
}

#[test]
fn a_clock_that_is_behind_makes_no_old_data_look_fresh() {
    for behind in [2_000, 5_000, HOUR] {
        let mut host = Host::new(unchecked(), 3);
        host.probed(1, true, -behind);
        // One replica lags by what the clock is off, the other hardly at all.
        host.probed(2, false, 0);
        host.probed(3, false, 10 - behind);
        let sent = bounded(&mut host, 40);
        assert!(!sent.contains(&member(2)), "{behind}: its data is {behind} ms old, and a second is allowed");
        assert!(sent.contains(&member(3)), "{behind}: its data is fresh");
    }
}

#[test]
fn a_commit_tells_a_clock_that_is_ahead() {
    for ahead in [5_000, HOUR] {
        let mut host = Host::new(unchecked(), 3);
        let (id, actions) = host.ask(UNSAFE);
        assert_eq!(sends(&actions), [member(1)]);
        host.now = host.now + TimeDelta::from_millis(5);
        let commit = host.now - TimeDelta::from_millis(ahead + 2);
        host.tell(Event::AttemptCompleted(AttemptCompletion {
            request: id,
            attempt: AttemptNumber(0),
            endpoint: member(1),
            outcome: AttemptOutcome::Ok,
            metadata: Some(ResponseMetadata { role: Some(Role::Primary), position: Some(commit) }),
            elapsed: TimeDelta::from_millis(5),
            request_closed: true,
            load_report: None,
        }));
        host.probed(2, false, ahead + 20);
        host.probed(3, false, ahead + 1_500);
        let sent = bounded(&mut host, 40);
        assert!(sent.contains(&member(2)), "{ahead}: its data is fresh");
        assert!(!sent.contains(&member(3)), "{ahead}: its data is older than a second");
    }
}

#[test]
fn a_commit_that_makes_no_sense_sets_no_clock_back() {
    // Others have told of the present, and a lone word of long ago does not make old data look fresh.
    for behind in [30_000, HOUR, 24 * HOUR] {
        let mut host = Host::new(unchecked(), 3);
        host.probed(1, true, 0);
        host.probed(2, false, 5_000);
        let (id, _) = host.ask(UNSAFE);
        host.now = host.now + TimeDelta::from_millis(5);
        host.tell(Event::AttemptCompleted(AttemptCompletion {
            request: id,
            attempt: AttemptNumber(0),
            endpoint: member(1),
            outcome: AttemptOutcome::Ok,
            metadata: Some(ResponseMetadata {
                role: Some(Role::Primary),
                position: Some(host.now - TimeDelta::from_millis(behind)),
            }),
            elapsed: TimeDelta::from_millis(5),
            request_closed: true,
            load_report: None,
        }));
        assert!(!bounded(&mut host, 40).contains(&member(2)), "{behind}: its data is five seconds old");
    }
}

#[test]
fn a_primary_of_before_is_no_fresher_than_the_fleets_clock() {
    // Its own clock is an hour ahead: what a primary had at some moment must not be dated by it.
    let mut host = Host::new(unchecked(), 3);
    for _ in 0..20 {
        let (id, actions) = host.ask(FRESH);
        if let Some(to) = sends(&actions).first().cloned() {
            let at = (1..=3).find(|at| member(*at) == to).unwrap();
            host.end_with(id, 0, at, AttemptOutcome::Ok, Some(Role::Primary));
        } else {
            host.probed(1, true, HOUR);
        }
        host.now = host.now + TimeDelta::from_millis(20);
    }
    // It hands over, and lags from then on.
    host.probed(1, false, HOUR + 500);
    host.probed(2, true, HOUR);
    host.now = host.now + TimeDelta::from_millis(5_000);
    host.probed(2, true, HOUR);
    assert!(!bounded(&mut host, 40).contains(&member(1)), "what is known of it is over five seconds old");
}

/// A router that is served ten reads a second by two members, of which the second then starts anew, as the list says.
fn sends_to_a_started_member(started_ago_ms: i64, wait_ms: i64) -> usize {
    let mut host = Host::new(settings(), 2);
    for _ in 0..40 {
        host.now = host.now + TimeDelta::from_millis(95);
        let (id, actions) = host.ask_within(ANY, 400);
        let at = if sends(&actions) == [member(1)] { 1 } else { 2 };
        host.now = host.now + TimeDelta::from_millis(5);
        host.end(id, 0, at, AttemptOutcome::Ok);
    }
    let started = Some(host.now - TimeDelta::from_millis(started_ago_ms));
    host.tell(Event::EndpointUpdate(EndpointUpdate::Delta(vec![EndpointEntry {
        started_at: started,
        ..entry(2)
    }])));
    host.tell(Event::EndpointUpdate(EndpointUpdate::Delta(vec![EndpointEntry {
        lifecycle: Lifecycle::Draining,
        ..entry(1)
    }])));
    host.pass(wait_ms);
    let mut sent = 0;
    for _ in 0..50 {
        let (id, actions) = host.ask_within(ANY, 400);
        sent += sends(&actions).len();
        if !sends(&actions).is_empty() {
            host.end(id, 0, 2, AttemptOutcome::Ok);
        }
    }
    sent
}

#[test]
fn who_just_started_is_cold_whatever_the_clock_says() {
    for ago in [0, 30_000, HOUR, -HOUR] {
        let burst = sends_to_a_started_member(ago, 0);
        assert!(burst <= 2, "{ago}: {burst} sends at once to a member that the list tells anew");
    }
}

#[test]
fn who_started_is_warm_after_its_time_whatever_the_clock_says() {
    for ago in [0, 30_000, HOUR, -HOUR] {
        let sent = sends_to_a_started_member(ago, 10_500);
        assert!(sent >= 30, "{ago}: {sent} sends to a member that has been warm for half a second");
    }
}

#[test]
fn a_router_that_has_just_begun_hears_the_primary_before_it_trusts_its_clock() {
    // Its clock is five seconds behind; of the members that it asks at its first read a replica answers first, whose
    // data is as old.
    let mut host = Host::new(unchecked(), 0);
    let entries = (1..=3).map(|at| EndpointEntry { primary: at == 1, ..entry(at) }).collect();
    host.tell(Event::EndpointUpdate(EndpointUpdate::Snapshot(entries)));
    let (_, actions) = host.ask(READ);
    assert!(sends(&actions).is_empty());
    assert!(probes(&actions).contains(&member(1)), "the listed primary is asked: {actions:?}");
    host.now = host.now + TimeDelta::from_millis(2);
    assert_eq!(sends(&host.probed(2, false, 0)), [], "nobody has told of the present yet");
    assert!(bounded(&mut host, 5).is_empty());
    host.now = host.now + TimeDelta::from_millis(2);
    let released = sends(&host.probed(1, true, -5_000));
    assert!(!released.is_empty() && released.iter().all(|to| *to == member(1)), "{released:?}");
    host.probed(3, false, -4_990);
    let sent = bounded(&mut host, 40);
    assert!(sent.contains(&member(3)) && !sent.contains(&member(2)), "{sent:?}");
}

#[test]
fn a_primary_that_does_not_answer_holds_no_read_up_for_long() {
    let mut host = Host::new(unchecked(), 0);
    let entries = (1..=3).map(|at| EndpointEntry { primary: at == 1, ..entry(at) }).collect();
    host.tell(Event::EndpointUpdate(EndpointUpdate::Snapshot(entries)));
    host.ask(READ);
    host.now = host.now + TimeDelta::from_millis(2);
    host.probed(2, false, 10);
    let released = sends(&host.pass(300));
    assert_eq!(released, [member(2)], "by the clock that there is");
}
