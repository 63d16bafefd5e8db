use super::Timers;
use crate::{Discovery, TimeDelta, Timestamp};

const NOW: Timestamp = Timestamp(50_000_000);

fn ms(milliseconds: i64) -> TimeDelta {
    TimeDelta::from_millis(milliseconds)
}

#[test]
fn the_timer_is_set_again_only_for_an_earlier_time() {
    let mut timers = Timers::new(Discovery::Push);
    assert_eq!(timers.reschedule(NOW, None, false), None);
    assert_eq!(timers.reschedule(NOW, Some(NOW + ms(100)), false), Some(NOW + ms(100)));
    assert_eq!(timers.reschedule(NOW, Some(NOW + ms(200)), false), None);
    assert_eq!(timers.reschedule(NOW, Some(NOW + ms(200)), true), Some(NOW + ms(10)));
    timers.on_event(NOW + ms(10));
    assert_eq!(timers.reschedule(NOW + ms(10), Some(NOW), false), Some(NOW + ms(10) + TimeDelta(1)));
}

#[test]
fn a_timer_that_fires_late_indicates_a_stall_of_the_router() {
    let mut timers = Timers::new(Discovery::Push);
    timers.reschedule(NOW, Some(NOW + ms(10)), false);
    timers.on_event(NOW + ms(70));
    assert!(!timers.has_stalled(NOW + ms(70)));
    timers.reschedule(NOW + ms(70), Some(NOW + ms(80)), false);
    timers.on_event(NOW + ms(141));
    assert!(timers.has_stalled(NOW + ms(141)));
    assert!(!timers.has_stalled(NOW + ms(142)), "only events at the same time are excused");
}

#[test]
fn sweeps_are_at_least_one_interval_apart() {
    let mut timers = Timers::new(Discovery::Push);
    assert!(timers.start_sweep(NOW));
    assert!(!timers.start_sweep(NOW + ms(9)));
    assert!(timers.start_sweep(NOW + ms(10)));
}

#[test]
fn a_failed_poll_is_repeated_after_a_second() {
    let mut timers = Timers::new(Discovery::Poll);
    assert!(timers.start_poll(NOW) && !timers.start_poll(NOW));
    timers.retry_poll(NOW);
    assert!(!timers.start_poll(NOW + ms(999)));
    assert!(timers.start_poll(NOW + ms(1_000)));
    assert!(!Timers::new(Discovery::Push).start_poll(NOW), "a pushed endpoint list is not polled");
}
