use super::FleetClock;
use crate::{TimeDelta, Timestamp};

const NOW: Timestamp = Timestamp(50_000_000);
const ELAPSED: TimeDelta = TimeDelta::from_millis(2);

fn seconds(seconds: i64) -> TimeDelta {
    TimeDelta::from_millis(seconds * 1_000)
}

#[test]
fn a_position_in_the_future_sets_the_clock_forward() {
    let mut clock = FleetClock::default();
    assert!(clock.observe_position(NOW, NOW + seconds(3)));
    assert_eq!(clock.to_fleet_time(NOW), NOW + seconds(3));
    assert_eq!(clock.to_router_time(NOW + seconds(3)), NOW);
    assert!(!clock.is_confirmed(), "only a primary's report confirms the clock");
}

#[test]
fn a_position_that_is_hours_ahead_is_invalid_and_leaves_the_clock() {
    let mut clock = FleetClock::default();
    assert!(!clock.observe_position(NOW, NOW + seconds(3 * 3_600)));
    assert_eq!(clock.to_fleet_time(NOW), NOW);
}

#[test]
fn a_primary_confirms_the_clock_only_if_it_agrees() {
    let mut clock = FleetClock::default();
    clock.observe_primary_position(NOW, NOW - seconds(5), ELAPSED);
    assert!(!clock.is_confirmed());
    clock.observe_primary_position(NOW, NOW - ELAPSED, ELAPSED);
    assert!(clock.is_confirmed());
}

#[test]
fn a_commit_sets_the_clock_back_but_not_behind_a_reported_position() {
    let mut clock = FleetClock::default();
    assert!(clock.observe_position(NOW, NOW - seconds(1)));
    assert!(clock.observe_commit(NOW, NOW - seconds(4), ELAPSED));
    assert!(clock.is_confirmed());
    assert_eq!(clock.to_fleet_time(NOW), NOW - seconds(1));
}

#[test]
fn the_wait_for_a_confirmation_is_bounded() {
    let mut clock = FleetClock::default();
    assert!(!clock.has_confirmation_wait_expired(NOW));
    assert!(!clock.has_confirmation_wait_expired(NOW + TimeDelta::from_millis(99)));
    assert!(clock.has_confirmation_wait_expired(NOW + TimeDelta::from_millis(100)));
}
