use super::{LatencyEstimates, Slowness};
use crate::{
    ClassId, Consistency, Idempotency, Operation, RequestClass, TimeDelta, Timestamp, time::Microseconds,
};

const CLASS: ClassId = ClassId(0);

fn estimates() -> LatencyEstimates {
    LatencyEstimates::new(&[RequestClass {
        name: "read".to_owned(),
        idempotency: Idempotency::Idempotent,
        operation: Operation::Read(Consistency::Eventual),
        latency_objective: TimeDelta::from_millis(400),
        objective_stretch: 0.0,
        priority_weight: 1.0,
        late_weight: 0.0,
    }])
}

#[test]
fn the_first_guess_comes_from_the_objective() {
    let estimates = estimates();
    assert_eq!(estimates.of(CLASS).mean(), Microseconds(100_000.0));
    assert_eq!(estimates.of(CLASS).quantile_bound(2.0), TimeDelta::from_millis(200));
}

#[test]
fn estimates_follow_the_observed_latencies() {
    let mut estimates = estimates();
    for _ in 0..500 {
        estimates.observe(CLASS, TimeDelta::from_millis(20));
    }
    let typical = estimates.of(CLASS).typical();
    assert!((typical - TimeDelta::from_millis(20)).0.abs() < 100, "{typical:?}");
    let bound = estimates.of(CLASS).quantile_bound(4.0);
    assert!(bound < TimeDelta::from_millis(21), "equal latencies leave no deviation: {bound:?}");
}

#[test]
fn slowness_is_bounded_and_forgotten() {
    let (estimates, mut slowness, now) = (estimates(), Slowness::default(), Timestamp(1_000_000));
    for _ in 0..100 {
        slowness.observe(now, TimeDelta::from_millis(60_000), estimates.of(CLASS));
    }
    assert_eq!(slowness.factor(now), 10.0);
    let much_later = now + TimeDelta::from_millis(100_000);
    assert!((slowness.factor(much_later) - 1.0).abs() < 0.001);
}
