use super::{Failure, FailureScore};
use crate::{TimeDelta, Timestamp};

const NOW: Timestamp = Timestamp(5_000_000);

#[test]
fn one_refused_connection_ejects_an_endpoint_and_one_lost_response_does_not() {
    let mut refused = FailureScore::default();
    assert!(refused.record_failure(NOW, Failure::NoConnection));
    assert!(refused.is_ejected(NOW) && refused.is_on_probation());
    let mut lost = FailureScore::default();
    assert!(!lost.record_failure(NOW, Failure::LostResponse));
    assert!(!lost.is_ejected(NOW));
}

#[test]
fn each_consecutive_ejection_lasts_twice_as_long_up_to_a_bound() {
    let (mut failures, mut now, mut durations) = (FailureScore::default(), NOW, Vec::new());
    for _ in 0..7 {
        assert!(failures.record_failure(now, Failure::NoConnection));
        durations.push((failures.ejected_until() - now).0 / 1_000);
        now = failures.ejected_until();
        assert!(!failures.is_ejected(now));
    }
    assert_eq!(durations, [250, 500, 1_000, 2_000, 4_000, 4_000, 4_000]);
}

#[test]
fn failures_during_an_ejection_do_not_extend_it() {
    let mut failures = FailureScore::default();
    failures.record_failure(NOW, Failure::NoConnection);
    let until = failures.ejected_until();
    assert!(!failures.record_failure(NOW + TimeDelta::from_millis(100), Failure::NoConnection));
    assert_eq!(failures.ejected_until(), until);
}

#[test]
fn a_success_ends_the_ejection_and_lowers_the_load_factor() {
    let mut failures = FailureScore::default();
    failures.record_failure(NOW, Failure::NoConnection);
    let load_factor = failures.load_factor();
    failures.record_success();
    assert!(!failures.is_ejected(NOW) && !failures.is_on_probation());
    assert!(failures.load_factor() < load_factor);
}
