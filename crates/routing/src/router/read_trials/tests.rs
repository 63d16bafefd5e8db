use super::{MAX_INTERVAL, ReadTrials};

/// How many reads it is passed over for until it takes one.
fn reads_until_due(trials: &mut ReadTrials) -> u32 {
    let mut count = 0;
    while !trials.is_due() {
        trials.record_passed_over();
        count += 1;
    }
    count
}

#[test]
fn an_endpoint_that_stays_slow_is_tried_ever_less_often_and_one_that_recovers_at_once() {
    let mut trials = ReadTrials::default();
    let mut intervals = Vec::new();
    for _ in 0..6 {
        intervals.push(reads_until_due(&mut trials));
        trials.record_failure();
    }
    assert_eq!(intervals, [2, 4, 8, 16, 32, MAX_INTERVAL]);
    trials.record_timely_response();
    assert_eq!(reads_until_due(&mut trials), 2);
}

#[test]
fn failures_of_an_endpoint_in_service_leave_the_interval() {
    let mut trials = ReadTrials::default();
    for _ in 0..10 {
        trials.record_failure();
    }
    assert_eq!(reads_until_due(&mut trials), 2);
}
