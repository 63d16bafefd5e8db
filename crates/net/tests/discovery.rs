//! When a fleet asks for its watches again.

use linnetdeal_net::discovery::Pauses;
use std::time::Duration;

/// How many calls a fleet makes in each second after all its watches broke at once, when each call fails after it
/// has waited two seconds.
fn calls(fleet: u32, seconds: usize) -> Vec<usize> {
    let mut calls = vec![0; seconds];
    for seed in 0..u64::from(fleet) {
        let mut pauses = Pauses::new(seed, fleet);
        let mut at = pauses.next_pause(true);
        while let Some(second) = calls.get_mut(at.as_secs() as usize) {
            *second += 1;
            at += Duration::from_secs(2) + pauses.next_pause(false);
        }
    }
    calls
}

#[test]
fn a_fleet_that_lost_its_watches_together_comes_back_spread_out() {
    let calls = calls(100, 40);
    assert!(calls[..10].iter().all(|calls| *calls <= 32), "{calls:?}");
    assert!(calls[20..].iter().all(|calls| *calls <= 22), "{calls:?}: fewer while discovery is swamped");
    assert!(calls[20..].iter().sum::<usize>() > 100, "{calls:?}: nobody gives up");
}

#[test]
fn a_small_fleet_and_a_watch_that_had_lived_lose_little_time() {
    let mut few = Pauses::new(1, 2);
    assert!((0..50).all(|_| few.next_pause(true) <= Duration::from_millis(150)));
    assert!((0..50).all(|_| few.next_pause(false) <= Duration::from_millis(450)));
    let mut one = Pauses::new(2, 100);
    for _ in 0..10 {
        one.next_pause(false);
    }
    assert!(
        (0..50).all(|_| one.next_pause(true) <= Duration::from_millis(5_050)),
        "failures before are past"
    );
}
