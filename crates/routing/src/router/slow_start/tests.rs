use super::{ListedStart, Throughput, WarmUp};
use crate::router::fleet_clock::FleetClock;
use crate::{Settings, TimeDelta, Timestamp};

const NOW: Timestamp = Timestamp(50_000_000);

fn settings() -> Settings {
    Settings {
        slow_start_floor: 0.25,
        slow_start_window: TimeDelta::from_millis(10_000),
        overload_multiple: 1.0,
        overload_window: TimeDelta::from_millis(1_000),
        ..Settings::default()
    }
}

/// The throughput of a router that received 100 responses a second from each of two endpoints for 50 s.
fn throughput() -> Throughput {
    let mut throughput = Throughput::default();
    for index in 0..10_000 {
        throughput.record_success(NOW - TimeDelta((10_000 - index) * 5_000));
    }
    throughput
}

fn listed_start(fleet_time: Timestamp, is_recent: bool) -> ListedStart {
    ListedStart { fleet_time, is_recent, initial_tokens: 0.5 }
}

#[test]
fn an_endpoint_warms_up_within_the_window() {
    let (settings, mut warm_up) = (settings(), WarmUp::default());
    assert_eq!(warm_up.capacity_fraction(NOW, &settings), 1.0, "an endpoint that started long ago is warm");
    warm_up.restart(NOW, NOW, 0.0);
    let fraction = |ms| warm_up.capacity_fraction(NOW + TimeDelta::from_millis(ms), &settings);
    assert_eq!([fraction(0), fraction(5_000), fraction(20_000)], [0.25, 0.625, 1.0]);
}

#[test]
fn tokens_accrue_at_the_capacity_of_the_warming_endpoint() {
    let (settings, mut warm_up) = (settings(), WarmUp::default());
    warm_up.restart(NOW, NOW, 0.0);
    let capacity = throughput().capacity_per_endpoint(NOW, 2, true);
    let tokens = warm_up.available_tokens(NOW + TimeDelta::from_millis(40), capacity, &settings);
    assert!((tokens - 1.0).abs() < 0.05, "0.25 of 100 tokens a second for 40 ms: {tokens}");
    let saved = warm_up.available_tokens(NOW + TimeDelta::from_millis(900), capacity, &settings);
    assert!((saved - 3.5).abs() < 0.1, "one token, and those that accrue in 100 ms: {saved}");
}

#[test]
fn the_token_balance_is_never_negative() {
    let (settings, mut warm_up) = (settings(), WarmUp::default());
    warm_up.spend_token(NOW, 0.3);
    let capacity = Throughput::default().capacity_per_endpoint(NOW, 2, true);
    assert_eq!(warm_up.available_tokens(NOW, capacity, &settings), 0.0);
}

#[test]
fn a_listed_start_begins_a_warm_up_once() {
    let (clock, mut warm_up) = (FleetClock::default(), WarmUp::default());
    let start = listed_start(NOW - TimeDelta::from_millis(500), false);
    assert!(warm_up.observe_listed_start(NOW, start, &clock));
    assert!(!warm_up.observe_listed_start(NOW, start, &clock));
    assert!(warm_up.observe_listed_start(NOW, listed_start(NOW, false), &clock));
}

#[test]
fn a_recent_start_is_taken_to_be_now_until_the_clock_is_confirmed() {
    let (settings, mut clock, mut warm_up) = (settings(), FleetClock::default(), WarmUp::default());
    let start = listed_start(NOW - TimeDelta::from_millis(5_000), true);
    assert!(warm_up.observe_listed_start(NOW, start, &clock));
    assert_eq!(warm_up.capacity_fraction(NOW, &settings), 0.25);
    clock.observe_primary_position(NOW, NOW, TimeDelta::ZERO);
    assert!(
        !warm_up.recompute_listed_start(NOW, &clock),
        "the same start with a corrected time is no new start"
    );
    assert_eq!(warm_up.capacity_fraction(NOW, &settings), 0.625);
}
