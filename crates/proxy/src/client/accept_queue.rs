//! How long clients may have waited to be accepted. The system does not tell when a connection came up; its time in
//! the queue is bounded by what the accept loop sees of the queue, which is served in order.

use std::collections::VecDeque;
use std::time::Instant;

/// The times that bound the wait of the next client in the queue.
#[derive(Debug)]
pub struct AcceptQueue {
    /// The largest length of the queue.
    max_length: usize,
    /// The queue was empty until this time.
    empty_until: Instant,
    /// The times at which the last clients were accepted, as many as the queue can hold.
    accepted: VecDeque<Instant>,
}

impl AcceptQueue {
    /// Creates the times of a queue of at most `max_length` connections that is empty until `now`.
    #[must_use]
    pub fn new(max_length: usize, now: Instant) -> Self {
        Self { max_length, empty_until: now, accepted: VecDeque::new() }
    }

    /// Records that the queue was empty until `now`.
    pub fn record_empty(&mut self, now: Instant) {
        self.empty_until = now;
        self.accepted.clear();
    }

    /// Records that a client was accepted, and returns the earliest time at which it can have joined the queue:
    /// there was room only once those that the queue could hold ahead of it had begun to be accepted.
    pub fn record_accepted(&mut self, now: Instant) -> Instant {
        let has_been_full = self.accepted.len() > self.max_length;
        let room_since = if has_been_full { self.accepted.pop_front() } else { None };
        self.accepted.push_back(now);
        room_since.map_or(self.empty_until, |room_since| room_since.max(self.empty_until))
    }
}
