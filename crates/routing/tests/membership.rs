//! Tests of membership: every case of the order of claims, and the invariants for any order of watch events.

use pooler_routing::membership::{
    EndpointClaim, MAX_ENDPOINTS, Membership, MergeResult, RecordAuthority, RecordVersion, SelfPreservation,
    SourceId, SuspectedLoss, WatchEvent,
};
use pooler_routing::{EndpointId, GroupId, Lifecycle, TimeDelta, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::sync::Arc;

const PLATFORM: SourceId = SourceId(0);
const REGISTRY: SourceId = SourceId(1);
const LIFECYCLES: [Lifecycle; 3] = [Lifecycle::Active, Lifecycle::Draining, Lifecycle::Removed];

fn endpoint_id(number: usize) -> EndpointId {
    EndpointId(Arc::from(format!("s-{number}")))
}

fn claim(number: usize, lifecycle: Lifecycle, started: Option<i64>, change_stamp: i64) -> EndpointClaim {
    let started_at = started.map(Timestamp);
    EndpointClaim {
        endpoint: endpoint_id(number),
        address: format!("127.0.0.1:{}", 7_000 + number % 50_000).parse().ok(),
        group: Some(GroupId(2)),
        zone: "adum".into(),
        primary: false,
        started_at,
        lifecycle,
        version: RecordVersion { started_at, change_stamp, ..RecordVersion::default() },
    }
}

fn active(number: usize, change_stamp: i64) -> EndpointClaim {
    claim(number, Lifecycle::Active, None, change_stamp)
}

fn new_membership() -> Membership {
    let mut membership = Membership::new(TimeDelta::from_millis(60_000), 100);
    membership.set_self_preservation(
        REGISTRY,
        SelfPreservation { max_missing_fraction: 0.5, accept_after: Some(TimeDelta::from_millis(10_000)) },
    );
    membership
}

fn lifecycle(membership: &Membership, number: usize) -> Option<Lifecycle> {
    membership.get(&endpoint_id(number)).map(|resolved| resolved.lifecycle)
}

fn merge_delta(membership: &mut Membership, at_ms: i64, claims: Vec<EndpointClaim>) -> MergeResult {
    membership.merge(Timestamp(at_ms * 1_000), REGISTRY, WatchEvent::Delta(claims))
}

fn merge_snapshot(
    membership: &mut Membership,
    at_ms: i64,
    version: i64,
    claims: Vec<EndpointClaim>,
) -> MergeResult {
    membership.merge(Timestamp(at_ms * 1_000), REGISTRY, WatchEvent::Snapshot { claims, version })
}

#[test]
fn a_claim_replaces_the_held_one_only_if_newer_or_more_severe() {
    // Every combination of held state, incoming state and order of their versions.
    let severity = |lifecycle| LIFECYCLES.iter().position(|state| *state == lifecycle);
    let at_least_as_new =
        [(Some(6), 1, "a later start"), (Some(5), 8, "a later stamp"), (Some(5), 7, "the same version")];
    let older = [(Some(5), 6, "an earlier stamp"), (Some(4), 9, "an earlier start")];
    for held in LIFECYCLES {
        for incoming in LIFECYCLES {
            for (started, stamp, version) in at_least_as_new.into_iter().chain(older) {
                let mut membership = new_membership();
                merge_delta(&mut membership, 0, vec![claim(1, held, Some(5), 7)]);
                let result = merge_delta(&mut membership, 1, vec![claim(1, incoming, started, stamp)]);
                let expected = match version {
                    "a later start" | "a later stamp" => incoming,
                    "the same version" if severity(incoming) > severity(held) => incoming,
                    _ => held,
                };
                assert_eq!(
                    lifecycle(&membership, 1),
                    Some(expected),
                    "held {held:?}, {version} says {incoming:?}"
                );
                let rejected_revival = severity(incoming) < severity(held) && expected == held;
                assert_eq!(
                    result.rejected_revivals,
                    usize::from(rejected_revival),
                    "held {held:?}, {version} says {incoming:?}"
                );
                let changed = expected != held || version == "a later start";
                assert_eq!(!result.changed.is_empty(), changed, "only changed endpoints are reported");
            }
        }
    }
}

#[test]
fn an_endpoint_missing_from_a_snapshot_is_removed_until_a_newer_snapshot_contains_it() {
    let mut membership = new_membership();
    merge_snapshot(&mut membership, 0, 30, vec![active(1, 10), active(2, 20), active(3, 30)]);
    // This snapshot is older than the registration of endpoint 3, and does not remove that endpoint.
    merge_snapshot(&mut membership, 1, 20, vec![active(1, 10), active(2, 20)]);
    assert_eq!(lifecycle(&membership, 3), Some(Lifecycle::Active));
    // A snapshot that is newer than the endpoint's change stamp and lacks the endpoint removes it.
    merge_snapshot(&mut membership, 2, 40, vec![active(1, 10), active(2, 20), active(4, 40)]);
    assert_eq!(lifecycle(&membership, 3), Some(Lifecycle::Removed));
    // Neither an older snapshot nor a delta with the same registration makes the endpoint active again.
    assert_eq!(
        merge_snapshot(&mut membership, 3, 30, vec![active(1, 10), active(2, 20), active(3, 30)])
            .rejected_revivals,
        1
    );
    assert_eq!(merge_delta(&mut membership, 4, vec![active(3, 30)]).rejected_revivals, 1);
    assert_eq!(lifecycle(&membership, 3), Some(Lifecycle::Removed));
    merge_snapshot(&mut membership, 5, 41, vec![active(1, 10), active(2, 20), active(3, 30), active(4, 41)]);
    assert_eq!(lifecycle(&membership, 3), Some(Lifecycle::Active));
    // An endpoint that was deleted by a delta becomes active again only with a new registration.
    merge_delta(&mut membership, 6, vec![claim(3, Lifecycle::Removed, None, 30)]);
    merge_snapshot(&mut membership, 7, 50, vec![active(1, 10), active(2, 20), active(3, 30), active(4, 50)]);
    assert_eq!(lifecycle(&membership, 3), Some(Lifecycle::Removed));
    merge_snapshot(&mut membership, 8, 50, vec![active(1, 10), active(2, 20), active(3, 51), active(4, 50)]);
    assert_eq!(lifecycle(&membership, 3), Some(Lifecycle::Active));
}

#[test]
fn self_preservation_suspects_a_smaller_snapshot_until_the_loss_persists() {
    let mut membership = new_membership();
    merge_snapshot(&mut membership, 0, 9, (1..=8).map(|number| active(number, 9)).collect());
    let result = merge_snapshot(&mut membership, 1, 9, (1..=3).map(|number| active(number, 9)).collect());
    assert_eq!(
        (result.suspected_loss, result.changed.len()),
        (Some(SuspectedLoss { missing: 5, active: 8 }), 0),
        "five of eight active endpoints are missing"
    );
    assert_eq!(
        merge_snapshot(&mut membership, 2, 0, Vec::new()).suspected_loss,
        Some(SuspectedLoss { missing: 0, active: 8 }),
        "an empty snapshot is suspected although its version is too old to remove endpoints"
    );
    assert_eq!(
        merge_snapshot(&mut membership, 3, 9, Vec::new()).suspected_loss,
        Some(SuspectedLoss { missing: 8, active: 8 })
    );
    // A registry that regains its endpoints is suspected until its snapshot contains all of them. A drain in
    // a suspected snapshot still takes effect.
    let mut named: Vec<EndpointClaim> = (1..=7).map(|number| active(number, 9)).collect();
    named[0] = claim(1, Lifecycle::Draining, None, 9);
    assert_eq!(
        merge_snapshot(&mut membership, 4, 9, named).suspected_loss,
        Some(SuspectedLoss { missing: 1, active: 8 })
    );
    assert_eq!(lifecycle(&membership, 1), Some(Lifecycle::Draining));
    merge_snapshot(&mut membership, 4, 9, (1..=8).map(|number| active(number, 9)).collect());
    // After that, a snapshot within the limit is accepted again.
    assert_eq!(
        merge_snapshot(&mut membership, 4, 9, (1..=5).map(|number| active(number, 9)).collect())
            .suspected_loss,
        None
    );
    assert_eq!(membership.iter().filter(|(_, resolved)| resolved.lifecycle == Lifecycle::Active).count(), 4);
    // A loss that has persisted for ten seconds is accepted.
    assert_eq!(
        merge_snapshot(&mut membership, 5, 9, Vec::new()).suspected_loss,
        Some(SuspectedLoss { missing: 4, active: 4 })
    );
    assert_eq!(
        merge_snapshot(&mut membership, 9_000, 9, Vec::new()).suspected_loss,
        Some(SuspectedLoss { missing: 4, active: 4 })
    );
    assert_eq!(merge_snapshot(&mut membership, 10_005, 9, Vec::new()).suspected_loss, None);
    assert!(membership.iter().all(|(_, resolved)| resolved.lifecycle == Lifecycle::Removed));
}

#[test]
fn an_empty_snapshot_from_a_restarted_registry_removes_no_endpoint() {
    let mut membership = new_membership();
    merge_snapshot(&mut membership, 0, 9, (1..=4).map(|number| active(number, 9)).collect());
    merge_snapshot(&mut membership, 1, 0, Vec::new());
    // The endpoints register again one by one, with later stamps.
    for count in 1..=4 {
        merge_snapshot(
            &mut membership,
            10,
            20 + count as i64,
            (1..=count).map(|number| active(number, 20 + count as i64)).collect(),
        );
        assert!(
            (1..=4).all(|number| lifecycle(&membership, number) == Some(Lifecycle::Active)),
            "after {count} endpoints have registered again"
        );
    }
}

#[test]
fn the_most_severe_claim_takes_effect_until_a_later_start_is_reported() {
    let mut membership = new_membership();
    let merge = |membership: &mut Membership, at_ms: i64, source, claim| {
        membership.merge(Timestamp(at_ms * 1_000), source, WatchEvent::Delta(vec![claim]))
    };
    merge(&mut membership, 10, PLATFORM, active(1, 1));
    merge(&mut membership, 11, REGISTRY, active(1, 500));
    merge(&mut membership, 12, PLATFORM, claim(1, Lifecycle::Draining, None, 2));
    // The registry still reports UP with a later stamp, but stamps of different sources are not comparable.
    merge(&mut membership, 13, REGISTRY, active(1, 900));
    assert_eq!(lifecycle(&membership, 1), Some(Lifecycle::Draining));
    // A start after the drain was reported ends the drain.
    merge(&mut membership, 14, REGISTRY, claim(1, Lifecycle::Active, Some(13_500), 901));
    assert_eq!(lifecycle(&membership, 1), Some(Lifecycle::Active));
    merge(&mut membership, 15, REGISTRY, claim(1, Lifecycle::Removed, Some(13_500), 902));
    assert_eq!(lifecycle(&membership, 1), Some(Lifecycle::Removed), "the most severe state takes effect");
}

#[test]
fn update_times_are_compared_only_within_one_authority() {
    let authority = |server, lease_started_ms| Some(RecordAuthority { server, lease_started_ms });
    let record = |lifecycle, authority, updated_at_ms| {
        let mut claim = claim(1, lifecycle, None, 7);
        claim.version.authority = authority;
        claim.version.updated_at_ms = updated_at_ms;
        claim
    };
    // A record does not end the drain if it has another server, another lease or no authority, or if it is an
    // earlier update by the same authority.
    for (other_authority, updated_at_ms) in
        [(authority(1, 100), 60), (authority(0, 101), 60), (None, 60), (authority(0, 100), 49)]
    {
        let mut membership = new_membership();
        merge_delta(&mut membership, 0, vec![record(Lifecycle::Active, authority(0, 100), 40)]);
        merge_delta(&mut membership, 1, vec![record(Lifecycle::Draining, authority(0, 100), 50)]);
        merge_delta(&mut membership, 2, vec![record(Lifecycle::Active, other_authority, updated_at_ms)]);
        assert_eq!(
            lifecycle(&membership, 1),
            Some(Lifecycle::Draining),
            "authority {other_authority:?}, updated at {updated_at_ms} ms"
        );
        merge_delta(&mut membership, 3, vec![record(Lifecycle::Active, authority(0, 100), 60)]);
        assert_eq!(lifecycle(&membership, 1), Some(Lifecycle::Active));
    }
}

#[test]
fn an_address_conflict_keeps_the_held_address_until_a_newer_record() {
    let mut membership = new_membership();
    let listening_on = |port: u16, stamp| EndpointClaim {
        address: format!("127.0.0.1:{port}").parse().ok(),
        ..active(1, stamp)
    };
    let address = |membership: &Membership| {
        membership.get(&endpoint_id(1)).and_then(|resolved| resolved.address).unwrap().port()
    };
    merge_delta(&mut membership, 0, vec![listening_on(7_001, 5)]);
    assert_eq!(merge_delta(&mut membership, 1, vec![listening_on(7_002, 5)]).address_conflicts, 1);
    assert_eq!(address(&membership), 7_001);
    merge_delta(&mut membership, 2, vec![listening_on(7_002, 6)]);
    assert_eq!(address(&membership), 7_002);
}

#[test]
fn the_table_is_bounded_and_drains_of_known_endpoints_still_apply() {
    let mut membership = new_membership();
    let result =
        merge_delta(&mut membership, 0, (0..MAX_ENDPOINTS + 5).map(|number| active(number, 1)).collect());
    assert_eq!(
        (result.changed.len(), result.stale_claims, membership.iter().count()),
        (MAX_ENDPOINTS, 5, MAX_ENDPOINTS)
    );
    merge_delta(&mut membership, 1, vec![claim(7, Lifecycle::Draining, None, 2)]);
    assert_eq!(lifecycle(&membership, 7), Some(Lifecycle::Draining));
}

/// The memory in a test of its limit, in bytes, and a number of endpoints that does not fit into it.
const FEW_ENDPOINTS_MEMORY: usize = 100_000;
const TOO_MANY_ENDPOINTS: usize = 1_000;

#[test]
fn new_endpoints_without_memory_are_refused_and_drains_of_known_ones_still_apply() {
    // Guards against a source that keeps naming new endpoints until the process is killed for its memory.
    let mut membership = new_membership().with_max_memory(FEW_ENDPOINTS_MEMORY);
    let named = (0..TOO_MANY_ENDPOINTS).map(|number| active(number, 1)).collect();
    let result = merge_delta(&mut membership, 0, named);
    let known = membership.iter().count();
    assert!(known > 0 && known < TOO_MANY_ENDPOINTS, "{known}");
    assert_eq!((result.changed.len(), result.refused_endpoints), (known, TOO_MANY_ENDPOINTS - known));
    merge_delta(&mut membership, 1, vec![claim(7, Lifecycle::Draining, None, 2)]);
    assert_eq!(lifecycle(&membership, 7), Some(Lifecycle::Draining));
    // Longer names leave room for fewer.
    let long_zone = |number| EndpointClaim { zone: "z".repeat(10_000), ..active(number, 1) };
    let mut membership = new_membership().with_max_memory(FEW_ENDPOINTS_MEMORY);
    merge_delta(&mut membership, 0, (0..TOO_MANY_ENDPOINTS).map(long_zone).collect());
    assert!(membership.iter().count() <= FEW_ENDPOINTS_MEMORY / 20_000, "{}", membership.iter().count());
}

#[test]
fn removed_endpoints_are_evicted_for_new_ones() {
    // Guards against endpoints that are refused while the memory is taken up by removed ones.
    let retention = TimeDelta::from_millis(60_000);
    let mut membership = Membership::new(retention, usize::MAX).with_max_memory(FEW_ENDPOINTS_MEMORY);
    for number in 0..TOO_MANY_ENDPOINTS {
        let at_ms = 2 * number as i64;
        assert_eq!(merge_delta(&mut membership, at_ms, vec![active(number, 1)]).refused_endpoints, 0);
        let removed = claim(number, Lifecycle::Removed, None, 2);
        assert_eq!(merge_delta(&mut membership, at_ms + 1, vec![removed]).refused_endpoints, 0);
    }
    assert_eq!(lifecycle(&membership, 0), None, "the endpoints that were removed first are evicted");
    assert_eq!(lifecycle(&membership, TOO_MANY_ENDPOINTS - 1), Some(Lifecycle::Removed));
}

#[test]
fn removed_endpoints_are_evicted_by_age_and_by_number() {
    let mut membership = Membership::new(TimeDelta::from_millis(1_000), 2);
    let removed = |number| claim(number, Lifecycle::Removed, None, 2);
    for number in 1..=3 {
        merge_delta(&mut membership, 0, vec![active(number, 1)]);
        merge_delta(&mut membership, number as i64, vec![removed(number)]);
    }
    assert_eq!(lifecycle(&membership, 1), None, "more than two removed endpoints");
    let result = merge_delta(&mut membership, 1_002, Vec::new());
    assert_eq!(result.evicted, [endpoint_id(2)]);
    // An endpoint that became active again in the meantime is not evicted.
    merge_delta(&mut membership, 1_002, vec![active(3, 3)]);
    assert_eq!(merge_delta(&mut membership, 9_000, Vec::new()).evicted, []);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// For any order of events: a draining endpoint becomes active again only through a newer record, the
    /// reported changes add up to the table, and the table retains no more removed endpoints than configured.
    #[test]
    fn no_order_of_watch_events_revives_a_draining_endpoint(steps in prop::collection::vec(
        (0..4_usize, 0..3_usize, 0..6_i64, any::<bool>(), 0..2_u8), 1..60))
    {
        let mut membership = Membership::new(TimeDelta::from_millis(1_000_000), 2);
        membership.set_self_preservation(
            REGISTRY, SelfPreservation { max_missing_fraction: 0.5, accept_after: None });
        let (mut newest_active, mut newest_drain) = (BTreeMap::new(), BTreeMap::new());
        let mut reported: BTreeMap<EndpointId, Lifecycle> = BTreeMap::new();
        for (now, (number, state, stamp, is_snapshot, source)) in steps.into_iter().enumerate() {
            let claim = claim(number, LIFECYCLES[state], None, stamp);
            let event = if is_snapshot {
                WatchEvent::Snapshot { claims: vec![claim], version: stamp }
            } else {
                WatchEvent::Delta(vec![claim])
            };
            let result = membership.merge(Timestamp(now as i64), SourceId(source), event);
            let keep_newest = |stamps: &mut BTreeMap<(u8, usize), i64>| {
                let held = stamps.entry((source, number)).or_insert(stamp);
                *held = (*held).max(stamp);
            };
            match LIFECYCLES[state] {
                Lifecycle::Active => keep_newest(&mut newest_active),
                Lifecycle::Draining => keep_newest(&mut newest_drain),
                Lifecycle::Removed => {}
            }
            for entry in result.changed {
                reported.insert(entry.endpoint, entry.lifecycle);
            }
            for endpoint in &result.evicted {
                reported.remove(endpoint);
                newest_active.retain(|(_, number), _| endpoint_id(*number) != *endpoint);
                newest_drain.retain(|(_, number), _| endpoint_id(*number) != *endpoint);
            }
            for (endpoint, resolved) in membership.iter() {
                prop_assert_eq!(reported.get(endpoint), Some(&resolved.lifecycle));
            }
            prop_assert!(
                membership.iter().filter(|(_, resolved)| resolved.lifecycle == Lifecycle::Removed).count()
                    <= 2);
            // A drain is ended only by the source that reported it, with a later stamp.
            for ((source, number), drained_at) in &newest_drain {
                if lifecycle(&membership, *number) == Some(Lifecycle::Active) {
                    let active_at = newest_active.get(&(*source, *number));
                    prop_assert!(
                        active_at > Some(drained_at),
                        "endpoint {number} drained by source {source} at stamp {drained_at}");
                }
            }
        }
    }
}
