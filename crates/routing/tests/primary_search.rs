//! Tests of the search for a new primary: which endpoints it checks, and how often.

use pooler_routing::primary_search::{PrimarySearch, SearchTarget};
use pooler_routing::{EndpointId, TimeDelta, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;

/// A replication group without a primary. The endpoint at index 0 was last known as the primary.
struct ReplicationGroup {
    endpoints: Vec<EndpointId>,
    positions: Vec<Timestamp>,
    health_checked_at: Vec<Timestamp>,
}

impl ReplicationGroup {
    fn new(positions: &[i64]) -> Self {
        let endpoints =
            (0..positions.len()).map(|index| EndpointId(Arc::from(format!("s-{index}")))).collect();
        let positions: Vec<Timestamp> = positions.iter().map(|ms| Timestamp(ms * 1_000)).collect();
        let health_checked_at = vec![Timestamp(-10_000_000); positions.len()];
        Self { endpoints, positions, health_checked_at }
    }

    /// Continues `search` every 10 ms for `for_ms`, and returns the times in milliseconds at which each
    /// endpoint was checked.
    fn run(
        &mut self,
        search: &mut PrimarySearch,
        router_count: u32,
        from_ms: i64,
        for_ms: i64,
    ) -> Vec<Vec<i64>> {
        let mut checks = vec![Vec::new(); self.endpoints.len()];
        for ms in (from_ms..from_ms + for_ms).step_by(10) {
            let now = Timestamp(ms * 1_000);
            let targets: Vec<SearchTarget<'_>> = (0..self.endpoints.len())
                .map(|index| SearchTarget {
                    endpoint: &self.endpoints[index],
                    position: self.positions[index],
                    health_checked_at: self.health_checked_at[index],
                    was_primary: index == 0,
                })
                .collect();
            for endpoint in search.next_health_checks(now, router_count, &targets) {
                let index = self.endpoints.iter().position(|id| *id == endpoint).unwrap();
                self.health_checked_at[index] = now;
                checks[index].push(ms);
            }
        }
        checks
    }
}

/// The longest time between two successive checks, in milliseconds.
fn longest_gap(checks: &[i64]) -> i64 {
    checks.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(i64::MAX)
}

#[test]
fn a_promotion_candidate_is_checked_more_often_than_other_endpoints() {
    let mut group = ReplicationGroup::new(&[5_000, 4_980, 4_990, 4_970, 4_900]);
    let checks = group.run(&mut PrimarySearch::default(), 5, 10_000, 5_000);
    assert!(longest_gap(&checks[2]) <= 110, "checks of the promotion candidate: {:?}", checks[2]);
    let others: usize = [0, 1, 3, 4].iter().map(|index| checks[*index].len()).sum();
    assert!((16..=48).contains(&others), "{others} health checks of the four other endpoints in 5 s");
    assert!(
        [0, 1, 3, 4].iter().all(|index| longest_gap(&checks[*index]) <= 1_010),
        "another endpoint may be promoted, and must be checked about once a second"
    );
}

#[test]
fn all_endpoints_are_checked_equally_if_too_many_share_the_highest_position() {
    let mut group = ReplicationGroup::new(&[5_000, 4_990, 4_990, 4_990, 4_990]);
    let checks = group.run(&mut PrimarySearch::default(), 5, 10_000, 5_000);
    assert!(checks.iter().all(|checks| (5..=14).contains(&checks.len())), "{checks:?}");
    // Two endpoints that share the highest position are both promotion candidates.
    let mut group = ReplicationGroup::new(&[5_000, 4_990, 4_991, 4_900, 4_900]);
    let checks = group.run(&mut PrimarySearch::default(), 5, 10_000, 5_000);
    assert!(longest_gap(&checks[1]) <= 110 && longest_gap(&checks[2]) <= 110);
}

#[test]
fn a_search_that_was_not_continued_starts_over_with_a_round() {
    let (mut group, mut search) = (ReplicationGroup::new(&[5_000, 4_980, 4_990]), PrimarySearch::default());
    group.run(&mut search, 1, 10_000, 3_000);
    let checks = group.run(&mut search, 1, 60_000, 200);
    assert!(checks.iter().all(|checks| checks.first() == Some(&60_000)), "{checks:?}");
    assert!(checks[0].contains(&60_100), "the second round follows after the initial delay: {checks:?}");
}

#[test]
fn a_search_without_targets_checks_nothing_and_the_interval_is_bounded() {
    assert!(PrimarySearch::default().next_health_checks(Timestamp(0), 1, &[]).is_empty());
    assert_eq!(PrimarySearch::interval(0), TimeDelta::from_millis(100));
    assert_eq!(PrimarySearch::interval(u32::MAX), TimeDelta::from_millis(1_000));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// For any number of routers and endpoints, no endpoint receives over 100 checks a second from all
    /// routers together, except in rounds, in which each of many routers sends one a second.
    #[test]
    fn endpoints_are_checked_no_more_often_than_allowed(
        positions in prop::collection::vec(0..5_000_i64, 1..9), router_count in 1..600_u32)
    {
        let mut group = ReplicationGroup::new(&positions);
        let checks = group.run(&mut PrimarySearch::default(), router_count, 10_000, 10_000);
        let max_rate = 100.0_f64.max(f64::from(router_count));
        for checks in &checks {
            let rate = checks.len() as f64 / 10.0 * f64::from(router_count);
            prop_assert!(rate <= max_rate * 1.2 + 1.0, "{rate} checks a second from all routers");
            prop_assert!(
                checks.windows(2).all(|pair| pair[1] - pair[0] >= 100),
                "two checks of one endpoint within 100 ms");
        }
        prop_assert!(checks.iter().all(|checks| !checks.is_empty()), "every endpoint is checked");
    }
}
