//! The bounds on the time that clients have waited to be accepted.

use pooler_proxy::client::accept_queue::AcceptQueue;
use std::time::{Duration, Instant};

#[test]
fn a_client_has_waited_no_longer_than_since_the_queue_was_empty() {
    let start = Instant::now();
    let at_ms = |ms| start + Duration::from_millis(ms);
    let mut queue = AcceptQueue::new(100, at_ms(0));
    assert_eq!(queue.record_accepted(at_ms(10)), at_ms(0));
    queue.record_empty(at_ms(500));
    assert_eq!(queue.record_accepted(at_ms(501)), at_ms(500));
    assert_eq!(queue.record_accepted(at_ms(700)), at_ms(500));
}

#[test]
fn a_client_has_waited_no_longer_than_the_queue_is_long() {
    // Guards against clients that are taken to have waited for as long as a flood of others has gone on.
    let start = Instant::now();
    let at_ms = |ms| start + Duration::from_millis(ms);
    let mut queue = AcceptQueue::new(3, at_ms(0));
    let bounds: Vec<Instant> = (1..=7).map(|ms| queue.record_accepted(at_ms(ms))).collect();
    // With three others ahead of it, a client can join only once the one ahead of those is accepted.
    assert_eq!(bounds, [0, 0, 0, 0, 1, 2, 3].map(at_ms));
}
