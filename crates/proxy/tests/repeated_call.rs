//! Calls that are repeated while earlier ones are unanswered.

use async_io::Timer;
use futures_lite::future::block_on;
use pooler_proxy::discovery::repeated_call::first_success;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// The delay after which a call is repeated.
const DELAY: Duration = Duration::from_millis(40);

/// Makes calls that end after these times, in units of a quarter of the delay; the calls after the last one are never
/// answered. Returns the result, the number of calls, and the time taken in the same unit.
fn play(calls: &[(u32, Result<u32, u32>)]) -> (Result<u32, u32>, usize, u128) {
    let (made, started) = (Cell::new(0), Instant::now());
    let call = || {
        let outcome = calls.get(made.get()).copied();
        made.set(made.get() + 1);
        async move {
            let Some((quarters, result)) = outcome else { return std::future::pending().await };
            Timer::after(DELAY / 4 * quarters).await;
            result
        }
    };
    let result = block_on(first_success(call, || DELAY));
    (result, made.get(), started.elapsed().as_millis() / (DELAY / 4).as_millis())
}

#[test]
fn a_late_answer_is_heard_although_the_call_was_repeated() {
    // Guards against a slow service each of whose answers comes after its call was given up.
    let (result, calls, _) = play(&[(6, Ok(1)), (40, Ok(2))]);
    assert_eq!((result, calls), (Ok(1), 2));
}

#[test]
fn a_call_without_an_answer_does_not_delay_the_next_one() {
    let (result, calls, quarters) = play(&[(400, Ok(1)), (400, Ok(2)), (1, Ok(3))]);
    assert_eq!((result, calls), (Ok(3), 3));
    assert!(quarters < 40, "{quarters}");
}

#[test]
fn a_failure_ends_the_calls_only_if_none_is_pending() {
    assert_eq!(play(&[(1, Err(1))]).0, Err(1));
    assert_eq!(play(&[(6, Ok(1)), (0, Err(2))]).0, Ok(1));
    assert_eq!(play(&[(5, Err(1)), (2, Err(2))]).0, Err(2));
}

#[test]
fn the_oldest_call_is_given_up_for_a_further_one() {
    // The first call would be answered while the fourth is pending.
    let (result, calls, _) = play(&[(14, Ok(1)), (400, Ok(2)), (400, Ok(3)), (6, Ok(4))]);
    assert_eq!((result, calls), (Ok(4), 5));
}
