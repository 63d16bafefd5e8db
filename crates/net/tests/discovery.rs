//! When a pooler asks for its watch again.

use linnetdeal_net::discovery::Pauses;
use std::time::Duration;

/// How long discovery lets a call wait before it refuses it.
const REFUSED_AFTER: Duration = Duration::from_secs(2);

/// How many calls a fleet makes in each second after all its watches broke at once, when each call fails after it
/// has waited two seconds.
fn calls(fleet: u32, shared: bool, seconds: usize) -> Vec<usize> {
    let mut calls = vec![0; seconds];
    for seed in 0..u64::from(fleet) {
        let mut pauses = Pauses::new(seed, fleet, shared);
        let mut at = pauses.next_pause(false);
        while let Some(second) = calls.get_mut(at.as_secs() as usize) {
            *second += 1;
            at += REFUSED_AFTER + pauses.next_pause(true);
        }
    }
    calls
}

#[test]
fn a_fleet_that_shares_one_service_comes_back_spread_out() {
    let calls = calls(100, true, 40);
    assert!(calls.iter().all(|calls| *calls <= 45), "{calls:?}");
    assert!(calls[3..].iter().all(|calls| *calls >= 10), "{calls:?}: nobody gives up");
}

#[test]
fn a_fleet_that_was_refused_spreads_out_as_well() {
    let calls = calls(100, false, 40);
    assert!(calls[2..].iter().all(|calls| *calls <= 45), "{calls:?}");
}

#[test]
fn a_broken_watch_is_asked_for_again_at_once_however_large_the_fleet() {
    // What the agent has binds after the grace of a drain, half a second.
    for fleet in [1, 100, 1_000] {
        let mut one = Pauses::new(2, fleet, false);
        one.next_pause(true);
        assert!((0..50).all(|_| one.next_pause(false) <= Duration::from_millis(200)));
    }
}

#[test]
fn whatever_call_failed_the_next_comes_within_six_seconds_of_a_change() {
    for (fleet, shared) in [(1, true), (100, false), (1_000, false), (1_000, true)] {
        let mut one = Pauses::new(3, fleet, shared);
        let longest = (0..200).map(|at| one.next_pause(at % 2 == 0)).max().unwrap();
        assert!(REFUSED_AFTER + longest <= Duration::from_millis(5_100), "{fleet} {shared}: {longest:?}");
    }
}
