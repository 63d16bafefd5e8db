//! The membership's ordering table, cell by cell, and what must hold under any order of news.

use pooler_routing::membership::*;
use pooler_routing::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::sync::Arc;

const LIST: SourceId = SourceId(0);
const REGISTRY: SourceId = SourceId(1);
const STATES: [Lifecycle; 3] = [Lifecycle::Active, Lifecycle::Draining, Lifecycle::Removed];

fn id(at: usize) -> EndpointId {
    EndpointId(Arc::from(format!("s-{at}")))
}

fn claim(at: usize, state: Lifecycle, started: Option<i64>, stamp: i64) -> EndpointClaim {
    let started = started.map(Timestamp);
    EndpointClaim {
        endpoint: id(at),
        address: format!("127.0.0.1:{}", 7_000 + at % 50_000).parse().ok(),
        group: Some(GroupId(2)),
        zone: "adum".into(),
        primary: false,
        started_at: started,
        lifecycle: state,
        version: RecordVersion { started_at: started, change_stamp: stamp, ..RecordVersion::default() },
    }
}

fn up(at: usize, stamp: i64) -> EndpointClaim {
    claim(at, Lifecycle::Active, None, stamp)
}

fn members() -> Membership {
    let mut members = Membership::new(TimeDelta::from_millis(60_000), 100);
    members.set_self_preservation(
        REGISTRY,
        SelfPreservation { max_missing_fraction: 0.5, accept_after: Some(TimeDelta::from_millis(10_000)) },
    );
    members
}

fn state(members: &Membership, at: usize) -> Option<Lifecycle> {
    members.get(&id(at)).map(|known| known.lifecycle)
}

fn changes(members: &mut Membership, at_ms: i64, claims: Vec<EndpointClaim>) -> MergeResult {
    members.merge(Timestamp(at_ms * 1_000), REGISTRY, WatchEvent::Delta(claims))
}

fn full(members: &mut Membership, at_ms: i64, view: i64, claims: Vec<EndpointClaim>) -> MergeResult {
    members.merge(Timestamp(at_ms * 1_000), REGISTRY, WatchEvent::Snapshot { claims, version: view })
}

#[test]
fn every_cell_of_the_ordering_table() {
    // What is held, what comes, how new that is, what counts then.
    let rank = |state| STATES.iter().position(|one| *one == state);
    let ages = [(Some(6), 1, "a later start"), (Some(5), 8, "a later stamp"), (Some(5), 7, "the same")];
    let older = [(Some(5), 6, "an earlier stamp"), (Some(4), 9, "an earlier start")];
    for held in STATES {
        for comes in STATES {
            for (started, stamp, what) in ages.into_iter().chain(older) {
                let mut members = members();
                changes(&mut members, 0, vec![claim(1, held, Some(5), 7)]);
                let taken = changes(&mut members, 1, vec![claim(1, comes, started, stamp)]);
                let expected = match what {
                    "a later start" | "a later stamp" => comes,
                    "the same" if rank(comes) > rank(held) => comes,
                    _ => held,
                };
                assert_eq!(state(&members, 1), Some(expected), "held {held:?}, {what} says {comes:?}");
                let back = rank(comes) < rank(held) && expected == held;
                assert_eq!(
                    taken.rejected_revivals,
                    usize::from(back),
                    "held {held:?}, {what} says {comes:?}"
                );
                let told = expected != held || what == "a later start";
                assert_eq!(!taken.changed.is_empty(), told, "only what changes is told");
            }
        }
    }
}

#[test]
fn a_box_that_no_list_names_goes_and_only_a_newer_list_brings_it_back() {
    let mut members = members();
    full(&mut members, 0, 30, vec![up(1, 10), up(2, 20), up(3, 30)]);
    // A peer that is behind never knew of the third: that tells nothing of it.
    full(&mut members, 1, 20, vec![up(1, 10), up(2, 20)]);
    assert_eq!(state(&members, 3), Some(Lifecycle::Active));
    // One that knows more than the box's own stamp and does not name it says that it is gone.
    full(&mut members, 2, 40, vec![up(1, 10), up(2, 20), up(4, 40)]);
    assert_eq!(state(&members, 3), Some(Lifecycle::Removed));
    // An older list, and a delta with the same registration, bring back nobody.
    assert_eq!(full(&mut members, 3, 30, vec![up(1, 10), up(2, 20), up(3, 30)]).rejected_revivals, 1);
    assert_eq!(changes(&mut members, 4, vec![up(3, 30)]).rejected_revivals, 1);
    assert_eq!(state(&members, 3), Some(Lifecycle::Removed));
    full(&mut members, 5, 41, vec![up(1, 10), up(2, 20), up(3, 30), up(4, 41)]);
    assert_eq!(state(&members, 3), Some(Lifecycle::Active));
    // What a delta has deleted is another matter: only a new registration counts.
    changes(&mut members, 6, vec![claim(3, Lifecycle::Removed, None, 30)]);
    full(&mut members, 7, 50, vec![up(1, 10), up(2, 20), up(3, 30), up(4, 50)]);
    assert_eq!(state(&members, 3), Some(Lifecycle::Removed));
    full(&mut members, 8, 50, vec![up(1, 10), up(2, 20), up(3, 51), up(4, 50)]);
    assert_eq!(state(&members, 3), Some(Lifecycle::Active));
}

#[test]
fn a_list_that_has_lost_most_is_doubted_until_its_story_has_lasted() {
    let mut members = members();
    full(&mut members, 0, 9, (1..=8).map(|at| up(at, 9)).collect());
    let taken = full(&mut members, 1, 9, (1..=3).map(|at| up(at, 9)).collect());
    assert_eq!(
        (taken.suspected_loss, taken.changed.len()),
        (Some(SuspectedLoss { missing: 5, active: 8 }), 0),
        "five of eight"
    );
    assert_eq!(
        full(&mut members, 2, 0, Vec::new()).suspected_loss,
        Some(SuspectedLoss { missing: 0, active: 8 }),
        "nothing at all is no list"
    );
    assert_eq!(
        full(&mut members, 3, 9, Vec::new()).suspected_loss,
        Some(SuspectedLoss { missing: 8, active: 8 })
    );
    // A registry that fills up again is doubted until it names all; a named drain counts always.
    let mut named: Vec<EndpointClaim> = (1..=7).map(|at| up(at, 9)).collect();
    named[0] = claim(1, Lifecycle::Draining, None, 9);
    assert_eq!(full(&mut members, 4, 9, named).suspected_loss, Some(SuspectedLoss { missing: 1, active: 8 }));
    assert_eq!(state(&members, 1), Some(Lifecycle::Draining));
    full(&mut members, 4, 9, (1..=8).map(|at| up(at, 9)).collect());
    // From then on a smaller fleet is believed again.
    assert_eq!(full(&mut members, 4, 9, (1..=5).map(|at| up(at, 9)).collect()).suspected_loss, None);
    assert_eq!(members.iter().filter(|(_, known)| known.lifecycle == Lifecycle::Active).count(), 4);
    // The same doubted story for ten seconds is believed.
    assert_eq!(
        full(&mut members, 5, 9, Vec::new()).suspected_loss,
        Some(SuspectedLoss { missing: 4, active: 4 })
    );
    assert_eq!(
        full(&mut members, 9_000, 9, Vec::new()).suspected_loss,
        Some(SuspectedLoss { missing: 4, active: 4 })
    );
    assert_eq!(full(&mut members, 10_005, 9, Vec::new()).suspected_loss, None);
    assert!(members.iter().all(|(_, known)| known.lifecycle == Lifecycle::Removed));
}

#[test]
fn an_empty_list_from_a_registry_that_forgot_all_removes_nobody() {
    let mut members = members();
    full(&mut members, 0, 9, (1..=4).map(|at| up(at, 9)).collect());
    full(&mut members, 1, 0, Vec::new());
    // The boxes register anew one by one, each with a later stamp.
    for at in 1..=4 {
        full(&mut members, 10, 20 + at as i64, (1..=at).map(|at| up(at, 20 + at as i64)).collect());
        assert!((1..=4).all(|at| state(&members, at) == Some(Lifecycle::Active)), "after {at}");
    }
}

#[test]
fn the_worst_of_two_sources_counts_until_a_later_start_is_shown() {
    let mut members = members();
    let told = |members: &mut Membership, at_ms: i64, source, claim| {
        members.merge(Timestamp(at_ms * 1_000), source, WatchEvent::Delta(vec![claim]))
    };
    told(&mut members, 10, LIST, up(1, 1));
    told(&mut members, 11, REGISTRY, up(1, 500));
    told(&mut members, 12, LIST, claim(1, Lifecycle::Draining, None, 2));
    // The registry still says UP, even with a later stamp of its own: stamps of two sources don't compare.
    told(&mut members, 13, REGISTRY, up(1, 900));
    assert_eq!(state(&members, 1), Some(Lifecycle::Draining));
    // A start after the drain was told does.
    told(&mut members, 14, REGISTRY, claim(1, Lifecycle::Active, Some(13_500), 901));
    assert_eq!(state(&members, 1), Some(Lifecycle::Active));
    told(&mut members, 15, REGISTRY, claim(1, Lifecycle::Removed, Some(13_500), 902));
    assert_eq!(state(&members, 1), Some(Lifecycle::Removed), "the worst of them");
}

#[test]
fn the_later_word_of_one_memory_counts_and_of_another_does_not() {
    let authority = |server, lease_started_ms| Some(RecordAuthority { server, lease_started_ms });
    let word = |lifecycle, authority, updated_at_ms| {
        let mut one = claim(1, lifecycle, None, 7);
        (one.version.authority, one.version.updated_at_ms) = (authority, updated_at_ms);
        one
    };
    // Another server, another lease, no memory, and an earlier word of the same bring nobody back.
    for (memory, told) in
        [(authority(1, 100), 60), (authority(0, 101), 60), (None, 60), (authority(0, 100), 49)]
    {
        let mut members = members();
        changes(&mut members, 0, vec![word(Lifecycle::Active, authority(0, 100), 40)]);
        changes(&mut members, 1, vec![word(Lifecycle::Draining, authority(0, 100), 50)]);
        changes(&mut members, 2, vec![word(Lifecycle::Active, memory, told)]);
        assert_eq!(state(&members, 1), Some(Lifecycle::Draining), "{memory:?} {told}");
        changes(&mut members, 3, vec![word(Lifecycle::Active, authority(0, 100), 60)]);
        assert_eq!(state(&members, 1), Some(Lifecycle::Active));
    }
}

#[test]
fn one_id_with_two_addresses_stays_where_it_was_until_something_newer_says_else() {
    let mut members = members();
    let at = |port: u16, stamp| EndpointClaim {
        address: format!("127.0.0.1:{port}").parse().ok(),
        ..up(1, stamp)
    };
    let address = |members: &Membership| members.get(&id(1)).and_then(|known| known.address).unwrap().port();
    changes(&mut members, 0, vec![at(7_001, 5)]);
    assert_eq!(changes(&mut members, 1, vec![at(7_002, 5)]).address_conflicts, 1);
    assert_eq!(address(&members), 7_001);
    changes(&mut members, 2, vec![at(7_002, 6)]);
    assert_eq!(address(&members), 7_002);
}

#[test]
fn ever_new_members_fill_no_more_than_agreed_and_drains_still_count() {
    let mut members = members();
    let taken = changes(&mut members, 0, (0..MAX_ENDPOINTS + 5).map(|at| up(at, 1)).collect());
    assert_eq!(
        (taken.changed.len(), taken.stale_claims, members.iter().count()),
        (MAX_ENDPOINTS, 5, MAX_ENDPOINTS)
    );
    changes(&mut members, 1, vec![claim(7, Lifecycle::Draining, None, 2)]);
    assert_eq!(state(&members, 7), Some(Lifecycle::Draining));
}

#[test]
fn who_is_gone_is_forgotten_in_time_and_in_number() {
    let mut members = Membership::new(TimeDelta::from_millis(1_000), 2);
    let gone = |at| claim(at, Lifecycle::Removed, None, 2);
    for at in 1..=3 {
        changes(&mut members, 0, vec![up(at, 1)]);
        changes(&mut members, at as i64, vec![gone(at)]);
    }
    assert_eq!(state(&members, 1), None, "more than two");
    let taken = changes(&mut members, 1_002, Vec::new());
    assert_eq!(taken.evicted, [id(2)]);
    // Who came back meanwhile is not forgotten.
    changes(&mut members, 1_002, vec![up(3, 3)]);
    assert_eq!(changes(&mut members, 9_000, Vec::new()).evicted, []);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes in whatever order: who was told to drain with a stamp is not in service again by anything that is
    /// no newer, what is told adds up to what is held, and no more gone members are held than agreed.
    #[test]
    fn no_order_of_news_brings_back_who_drains(steps in prop::collection::vec(
        (0..4_usize, 0..3_usize, 0..6_i64, any::<bool>(), 0..2_u8), 1..60))
    {
        let mut members = Membership::new(TimeDelta::from_millis(1_000_000), 2);
        members.set_self_preservation(REGISTRY, SelfPreservation { max_missing_fraction: 0.5, accept_after: None });
        let (mut ups, mut drains) = (BTreeMap::new(), BTreeMap::new());
        let mut told: BTreeMap<EndpointId, Lifecycle> = BTreeMap::new();
        for (now, (at, of, stamp, whole, source)) in steps.into_iter().enumerate() {
            let one = claim(at, STATES[of], None, stamp);
            let news = if whole { WatchEvent::Snapshot { claims: vec![one], version: stamp } } else { WatchEvent::Delta(vec![one]) };
            let taken = members.merge(Timestamp(now as i64), SourceId(source), news);
            let newest = |of: &mut BTreeMap<(u8, usize), i64>| {
                let held = of.entry((source, at)).or_insert(stamp);
                *held = (*held).max(stamp);
            };
            match STATES[of] {
                Lifecycle::Active => newest(&mut ups),
                Lifecycle::Draining => newest(&mut drains),
                Lifecycle::Removed => {}
            }
            for entry in taken.changed {
                told.insert(entry.endpoint, entry.lifecycle);
            }
            for member in &taken.evicted {
                told.remove(member);
                ups.retain(|(_, of), _| id(*of) != *member);
                drains.retain(|(_, of), _| id(*of) != *member);
            }
            for (member, known) in members.iter() {
                prop_assert_eq!(told.get(member), Some(&known.lifecycle));
            }
            prop_assert!(members.iter().filter(|(_, known)| known.lifecycle == Lifecycle::Removed).count() <= 2);
            // A drain is lifted by its own source only, with a later stamp.
            for ((source, of), drained) in drains.iter().filter(|((_, of), _)| state(&members, *of) == Some(Lifecycle::Active)) {
                prop_assert!(ups.get(&(*source, *of)) > Some(drained), "{of} drained by {source} at {drained}");
            }
        }
    }
}
