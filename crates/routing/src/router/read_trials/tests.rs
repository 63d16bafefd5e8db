use super::{MAX_INTERVAL, ReadTrials};

/// The number of reads for which the endpoint is passed over until a trial read is due.
fn reads_until_due(trials: &mut ReadTrials) -> u32 {
    let mut count = 0;
    while !trials.is_due() {
        trials.record_passed_over();
        count += 1;
    }
    count
}

#[test]
fn the_interval_doubles_while_the_endpoint_stays_slow_and_is_reset_when_it_recovers() {
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
fn failures_of_an_endpoint_that_is_not_passed_over_leave_the_interval() {
    let mut trials = ReadTrials::default();
    for _ in 0..10 {
        trials.record_failure();
    }
    assert_eq!(reads_until_due(&mut trials), 2);
}
