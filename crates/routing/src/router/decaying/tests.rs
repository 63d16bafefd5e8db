use super::{DecayingCount, DecayingRatio};
use crate::{TimeDelta, Timestamp};

const MEMORY: TimeDelta = TimeDelta::from_millis(1_000);
const NOW: Timestamp = Timestamp(5_000_000);

#[test]
fn a_count_decays_by_a_factor_of_e_in_the_memory_time() {
    let mut count = DecayingCount::default();
    assert_eq!(count.value(NOW, MEMORY), 0.0);
    count.increment(NOW, MEMORY);
    count.increment(NOW, MEMORY);
    assert_eq!(count.value(NOW, MEMORY), 2.0);
    let later = count.value(NOW + MEMORY, MEMORY);
    assert!((later - 2.0 / std::f64::consts::E).abs() < 1e-12, "{later}");
}

#[test]
fn a_ratio_returns_to_its_prior_as_its_samples_decay() {
    let mut ratio = DecayingRatio::default();
    assert!((ratio.estimate(NOW, MEMORY, 0.2) - 0.2).abs() < 1e-12);
    ratio.add(NOW, MEMORY, 27.0, 27.0);
    assert!((ratio.estimate(NOW, MEMORY, 0.0) - 0.9).abs() < 1e-12, "27 of 30, where the prior counts for 3");
    let much_later = NOW + TimeDelta::from_millis(60_000);
    assert!((ratio.estimate(much_later, MEMORY, 0.2) - 0.2).abs() < 1e-9);
}
