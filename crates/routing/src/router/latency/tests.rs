use super::Slowness;
use crate::router::test_support::latency_of_one_class;
use crate::{ClassId, TimeDelta, Timestamp, time::Microseconds};

const CLASS: ClassId = ClassId(0);

#[test]
fn the_initial_estimate_is_derived_from_the_latency_objective() {
    let estimates = latency_of_one_class();
    assert_eq!(estimates.of(CLASS).mean(), Microseconds(100_000.0));
    assert_eq!(estimates.of(CLASS).quantile_bound(2.0), TimeDelta::from_millis(200));
}

#[test]
fn estimates_follow_the_observed_latencies() {
    let mut estimates = latency_of_one_class();
    for _ in 0..500 {
        estimates.observe(CLASS, TimeDelta::from_millis(20));
    }
    let typical = estimates.of(CLASS).typical();
    assert!((typical - TimeDelta::from_millis(20)).0.abs() < 100, "{typical:?}");
    let bound = estimates.of(CLASS).quantile_bound(4.0);
    assert!(
        bound < TimeDelta::from_millis(21),
        "the mean deviation of equal latencies approaches zero: {bound:?}"
    );
}

#[test]
fn slowness_is_bounded_and_decays_to_one() {
    let (estimates, mut slowness, now) = (latency_of_one_class(), Slowness::default(), Timestamp(1_000_000));
    for _ in 0..100 {
        slowness.observe(now, TimeDelta::from_millis(60_000), estimates.of(CLASS));
    }
    assert_eq!(slowness.factor(now), 10.0);
    let much_later = now + TimeDelta::from_millis(100_000);
    assert!((slowness.factor(much_later) - 1.0).abs() < 0.001);
}
