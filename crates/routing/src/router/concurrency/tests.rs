use super::ConcurrencyLimit;
use crate::{TimeDelta, Timestamp};

const NOW: Timestamp = Timestamp(5_000_000);
const ELAPSED: TimeDelta = TimeDelta::from_millis(20);

/// The number of attempts in flight up to which the limit admits another one.
fn admitted(limit: &ConcurrencyLimit, now: Timestamp) -> u32 {
    (0..1_000).take_while(|work| limit.has_room(now, f64::from(*work))).count() as u32
}

#[test]
fn routers_share_the_initial_limit() {
    assert_eq!(admitted(&ConcurrencyLimit::initial(1), NOW), 16);
    assert_eq!(admitted(&ConcurrencyLimit::initial(4), NOW), 4);
    assert_eq!(admitted(&ConcurrencyLimit::initial(500), NOW), 2);
}

#[test]
fn the_limit_grows_only_while_most_of_it_is_in_use() {
    let mut limit = ConcurrencyLimit::initial(4);
    limit.record_success(NOW, ELAPSED, 1.0, false);
    assert_eq!(admitted(&limit, NOW), 4);
    for _ in 0..8 {
        limit.record_success(NOW, ELAPSED, 8.0, false);
    }
    assert_eq!(admitted(&limit, NOW), 6);
}

#[test]
fn a_sign_of_overload_lowers_the_limit_once_per_response_time() {
    let mut limit = ConcurrencyLimit::initial(1);
    limit.record_success(NOW, ELAPSED, 15.0, true);
    assert_eq!(admitted(&limit, NOW), 12);
    limit.lower(NOW + TimeDelta::from_millis(1), ELAPSED, 15.0);
    assert_eq!(admitted(&limit, NOW), 12, "the attempt was sent before the limit was lowered");
    limit.lower(NOW + ELAPSED, ELAPSED, 1.0);
    assert_eq!(admitted(&limit, NOW), 2, "the decrease starts from the attempts in flight");
}

#[test]
fn the_backoff_after_rejected_writes_doubles_up_to_a_bound() {
    let mut limit = ConcurrencyLimit::initial(1);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        limit.back_off(NOW, Some(ELAPSED), true);
        let ends = (0..1_000).find(|ms| limit.has_room(NOW + TimeDelta::from_millis(*ms), 0.0));
        pauses.push(ends.unwrap());
    }
    assert_eq!(pauses, [20, 40, 80, 160, 250]);
    limit.back_off(NOW, Some(ELAPSED), false);
    assert!(
        limit.has_room(NOW + ELAPSED, 0.0),
        "the backoff after a rejected read lasts for one response time"
    );
}
