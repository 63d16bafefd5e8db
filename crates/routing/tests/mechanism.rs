//! The mechanism of the design page, part by part.

mod common;
use common::*;
use pooler_routing::*;
use std::collections::BTreeMap;

#[test]
fn idle_reads_spread_over_all_members() {
    let mut host = Host::new(settings(), 4);
    let mut seen = BTreeMap::new();
    for _ in 0..400 {
        let (id, actions) = host.ask(ANY);
        let to = sends(&actions).remove(0);
        let at = (1..=4).find(|at| member(*at) == to).unwrap();
        *seen.entry(at).or_insert(0) += 1;
        host.now = host.now + TimeDelta::from_millis(5);
        host.end(id, 0, at, AttemptOutcome::Ok);
    }
    assert!((1..=4).all(|at| seen[&at] > 60), "{seen:?}");
}

#[test]
fn a_loaded_first_pick_is_stepped_over() {
    let mut host = Host::new(settings(), 2);
    let busy = sends(&host.ask(ANY).1).remove(0);
    // The second and later reads must leave a member that holds more than its part.
    let second = sends(&host.ask(ANY).1).remove(0);
    assert_ne!(busy, second);
}

#[test]
fn a_fresh_router_starts_its_walk_at_the_lowest_id_and_moves_on_proof() {
    let mut host = Host::new(settings(), 3);
    let (id, actions) = host.ask(UNSAFE);
    assert_eq!(sends(&actions), [member(1)]);
    let actions = host.end_with(id, 0, 1, AttemptOutcome::NotEligible, Some(Role::Replica));
    assert_eq!(sends(&actions), [member(2)]);
    let actions = host.end(id, 1, 2, AttemptOutcome::ConnectionRefused);
    assert_eq!(sends(&actions), [member(3)]);
    host.end_with(id, 2, 3, AttemptOutcome::Ok, Some(Role::Primary));
    assert_eq!(sends(&host.ask(KEYED).1), [member(3)], "an answer from the primary sets the mark");
}

#[test]
fn the_list_shows_where_a_walk_starts() {
    let mut host = Host::new(settings(), 3);
    let listed = EndpointEntry { primary: true, ..entry(2) };
    host.tell(Event::EndpointUpdate(EndpointUpdate::Delta(vec![listed])));
    assert_eq!(sends(&host.ask(UNSAFE).1), [member(2)]);
}

#[test]
fn a_fresh_router_asks_the_listed_primary_before_it_asks_all() {
    let mut host = Host::new(Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() }, 5);
    host.tell(Event::EndpointUpdate(EndpointUpdate::Delta(vec![EndpointEntry {
        primary: true,
        ..entry(3)
    }])));
    let (_, actions) = host.ask(FRESH);
    assert_eq!(probes(&actions), [member(3)]);
    assert!(probes(&host.pass(240)).is_empty(), "its word is waited for");
    host.now = host.now + TimeDelta::from_millis(10);
    assert_eq!(
        probes(&host.ask(FRESH).1).len(),
        5,
        "it is silent: all are asked, as where the list is wrong"
    );
    assert_eq!(sends(&host.probed(4, true, 5)), [member(4)]);
}

#[test]
fn after_one_round_of_misses_a_write_waits_for_a_shown_primary() {
    let mut host = Host::new(settings(), 3);
    let (id, _) = host.ask(UNSAFE);
    host.end_with(id, 0, 1, AttemptOutcome::NotEligible, Some(Role::Replica));
    host.end_with(id, 1, 2, AttemptOutcome::NotEligible, Some(Role::Replica));
    let actions = host.end_with(id, 2, 3, AttemptOutcome::NotEligible, Some(Role::Replica));
    assert!(sends(&actions).is_empty());
    let waiting = host.pass(300);
    assert!(sends(&waiting).is_empty());
    assert!(!probes(&waiting).is_empty(), "the primary is looked for meanwhile");
    let (other, actions) = host.ask(KEYED);
    assert!(sends(&actions).is_empty(), "the next write waits too");
    let actions = host.probed(2, true, 1);
    assert_eq!(sends(&actions), [member(2), member(2)], "both are released, once");
    assert!(sends(&host.pass(100)).is_empty());
    assert!(!failed(&host.end_with(other, 0, 2, AttemptOutcome::Ok, Some(Role::Primary)), other));
}

#[test]
fn half_the_attempts_bound_the_walk() {
    let mut host = Host::new(Settings { max_attempts: 4, ..settings() }, 6);
    let (id, _) = host.ask(UNSAFE);
    let second = host.end_with(id, 0, 1, AttemptOutcome::NotEligible, Some(Role::Replica));
    assert_eq!(sends(&second).len(), 1);
    let third = host.end_with(id, 1, 2, AttemptOutcome::NotEligible, Some(Role::Replica));
    assert!(sends(&third).is_empty());
}

#[test]
fn a_held_write_fails_at_its_deadline() {
    let mut host = Host::new(settings(), 1);
    let (id, _) = host.ask(UNSAFE);
    host.end_with(id, 0, 1, AttemptOutcome::NotEligible, Some(Role::Replica));
    let early = host.pass(900);
    assert!(!failed(&early, id) && refused(&early, id).is_none());
    assert!(failed(&host.pass(110), id));
}

#[test]
fn bounded_reads_keep_to_known_positions_where_members_do_not_check() {
    let mut host = Host::new(Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() }, 3);
    let (_, actions) = host.ask(READ);
    assert!(sends(&actions).is_empty(), "nothing is known of any member");
    assert_eq!(probes(&actions).len(), 3);
    assert!(probes(&host.ask(READ).1).is_empty(), "at most one probe a bound");
    host.now = host.now + TimeDelta::from_millis(2);
    let actions = host.probed(2, false, 10);
    assert_eq!(sends(&actions), [member(2), member(2)]);
    host.probed(3, false, 5_000);
    assert_eq!(sends(&host.ask(READ).1), [member(2)], "member 3 is shown to lag");
}

#[test]
fn a_read_of_an_own_write_has_every_replica_asked_anew_well_within_a_bound() {
    let mut host = Host::new(Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() }, 4);
    host.probed(1, true, 0);
    (2..=4).for_each(|at| drop(host.probed(at, false, 10)));
    host.ask(READ);
    host.now = host.now + TimeDelta::from_millis(200);
    let (id, _) = host.ask_as(UNSAFE, Some(7));
    host.now = host.now + TimeDelta::from_millis(5);
    host.end_with(id, 0, 1, AttemptOutcome::Ok, Some(Role::Primary));
    host.now = host.now + TimeDelta::from_millis(20);
    let sorted = |mut asked: Vec<EndpointId>| {
        asked.sort();
        asked
    };
    let all = [member(2), member(3), member(4)];
    let asked = sorted(probes(&host.ask_as(OWN, Some(7)).1));
    assert_eq!(asked, all, "what is known is older than the write");
    assert!(probes(&host.ask_as(OWN, Some(7)).1).is_empty(), "asked a moment ago");
    // They had not applied it then; a tenth of a second later, long before a bound is over, they may have.
    host.now = host.now + TimeDelta::from_millis(100);
    assert_eq!(sorted(probes(&host.ask_as(OWN, Some(7)).1)), all);
    host.probed(3, false, 20);
    let session = sends(&host.ask_as(OWN, Some(7)).1);
    assert_eq!(session, [member(3)], "shown to have the write");
    let (_, bounded) = host.ask(READ);
    assert!(probes(&bounded).is_empty(), "for bounded reads all do");
}

#[test]
fn meanwhile_the_groups_reads_go_to_a_shown_primary() {
    let mut host = Host::new(Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() }, 3);
    host.probed(1, true, 0);
    assert_eq!(sends(&host.ask(READ).1), [member(1)]);
}

#[test]
fn where_probes_are_dear_one_replica_is_asked_and_only_while_none_is_known_to_do() {
    let asked = |probe_price| {
        let mut host = Host::new(
            Settings {
                stale_read_policy: StaleReadPolicy::Serve,
                health_check_cost: probe_price,
                ..settings()
            },
            4,
        );
        host.probed(1, true, 0);
        (2..=4).for_each(|at| drop(host.probed(at, false, 10)));
        // Three of these are older than the bound now; what is saved up is spent on them.
        let mut counts = Vec::new();
        for _ in 0..20 {
            host.now = host.now + TimeDelta::from_millis(1_100);
            let (_, actions) = host.ask(READ);
            counts.push(probes(&actions).len());
            for member in probes(&actions) {
                let at = (2..=4).find(|at| common::member(*at) == member).unwrap();
                host.probed(at, false, 10);
            }
        }
        host.probed(2, false, 10);
        (counts.iter().sum::<usize>(), probes(&host.ask(READ).1).len())
    };
    assert_eq!(asked(0.001), (60, 0), "all, each time");
    // No more than was saved up and each request brings, and nobody while one is known to do.
    let (dear, beside) = asked(0.05);
    assert!((15..=18).contains(&dear) && beside == 0, "{dear} and {beside}");
}

#[test]
fn a_replica_that_lags_within_the_bound_is_asked_anew_when_what_is_known_of_it_is_too_old() {
    let mut host = Host::new(Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() }, 3);
    host.probed(1, true, 0);
    host.probed(2, false, 600);
    host.probed(3, false, 5_000);
    host.now = host.now + TimeDelta::from_millis(450);
    // Half a bound later it may be sent nothing, though it has kept up all the while.
    assert_eq!(probes(&host.ask(READ).1), [member(2)], "and not the one that is far behind");
    host.now = host.now + TimeDelta::from_millis(2);
    host.probed(2, false, 600);
    assert_eq!(sends(&host.ask(READ).1), [member(2)]);
}

#[test]
fn among_many_routers_a_part_of_the_reads_still_goes_to_the_primary() {
    // The first limit is shared by all routers: the reads' part of this one's is less than a whole place.
    let settings = Settings { stale_read_policy: StaleReadPolicy::Serve, router_count: 100, ..settings() };
    let sent = |seed| {
        let mut host = Host::seeded(seed, settings.clone(), 3);
        host.probed(1, true, 0);
        let first = sends(&host.ask(READ).1).len();
        (first, sends(&host.ask(READ).1).len() * first)
    };
    let (first, second): (Vec<_>, Vec<_>) = (1..=200).map(sent).unzip();
    let first: usize = first.iter().sum();
    assert!((100..200).contains(&first), "{first} of 200 sent, no other member being known to do");
    assert_eq!(second.iter().sum::<usize>(), 0, "no second one beside it");
}

#[test]
fn reads_do_not_add_to_a_jam_at_the_primary() {
    let settings = Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() };
    let sent = |took: i64| {
        let one = |seed| {
            let mut host = Host::seeded(seed, settings.clone(), 3);
            host.probed(1, true, 0);
            for at in 0..12 {
                let (id, actions) = host.ask(UNSAFE);
                if !sends(&actions).is_empty() {
                    host.answer(id, 0, 1, if at % 3 == 0 { 20 } else { took });
                }
            }
            // The replicas are known to lag by far.
            (2..=3).for_each(|at| drop(host.probed(at, false, 60_000)));
            sends(&host.ask(READ).1).len()
        };
        (1..=100).map(one).sum::<usize>()
    };
    assert!(sent(20) >= 90, "{} of 100", sent(20));
    assert!(sent(250) <= 3, "{} of 100: the writes alone fill it", sent(250));
}

#[test]
fn unknown_members_count_where_members_check() {
    let mut host = Host::new(settings(), 3);
    assert_eq!(sends(&host.ask(READ).1).len(), 1);
}

#[test]
fn a_member_that_refused_a_read_as_behind_is_passed_over_for_a_while() {
    let mut host = Host::new(settings(), 2);
    let (id, actions) = host.ask(READ);
    let behind = if sends(&actions) == [member(1)] { 1 } else { 2 };
    let other = member(3 - behind);
    assert_eq!(
        sends(&host.end_with(id, 0, behind, AttemptOutcome::NotEligible, Some(Role::Replica))),
        std::slice::from_ref(&other)
    );
    for _ in 0..3 {
        assert_eq!(sends(&host.ask(READ).1), std::slice::from_ref(&other));
    }
}

#[test]
fn a_session_read_follows_its_remembered_write() {
    let mut host = Host::new(Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() }, 3);
    host.probed(1, true, 0);
    host.probed(2, false, 50);
    let (id, actions) = host.ask_as(KEYED, Some(9));
    assert_eq!(sends(&actions), [member(1)]);
    host.now = host.now + TimeDelta::from_millis(10);
    let now = host.now;
    let outcome = |position| AttemptCompletion {
        request: id,
        attempt: AttemptNumber(0),
        endpoint: member(1),
        outcome: AttemptOutcome::Ok,
        metadata: Some(ResponseMetadata { role: Some(Role::Primary), position: Some(position) }),
        elapsed: TimeDelta::from_millis(5),
        request_closed: true,
        load_report: None,
    };
    host.tell(Event::AttemptCompleted(outcome(now)));
    assert_eq!(sends(&host.ask_as(OWN, Some(9)).1), [member(1)], "member 2 has not shown the write");
    assert_eq!(sends(&host.ask_as(OWN, Some(8)).1).len(), 1, "another session may read anywhere");
    host.now = host.now + TimeDelta::from_millis(50);
    host.probed(2, false, 10);
    assert_eq!(sends(&host.ask_as(OWN, Some(9)).1), [member(2)]);
}

#[test]
fn a_carried_token_is_met_by_position() {
    let settings = Settings {
        stale_read_policy: StaleReadPolicy::Serve,
        session_token_source: SessionTokenSource::Request,
        ..settings()
    };
    let mut host = Host::new(settings, 2);
    host.probed(1, false, 300);
    host.probed(2, false, 20);
    let request = Request {
        id: RequestId(77),
        class: OWN,
        tenant: None,
        session: None,
        time_remaining: TimeDelta::from_millis(1_000),
        group: GroupId(0),
        since_last_write: Some(TimeDelta::from_millis(100)),
        expected_work: None,
    };
    assert_eq!(sends(&host.tell(Event::Request(request))), [member(2)]);
}

#[test]
fn fresh_reads_wait_for_a_shown_primary() {
    let mut host = Host::new(settings(), 3);
    let (_, actions) = host.ask(FRESH);
    assert!(sends(&actions).is_empty());
    assert_eq!(probes(&actions).len(), 3);
    assert_eq!(sends(&host.probed(3, true, 1)), [member(3)]);
}
