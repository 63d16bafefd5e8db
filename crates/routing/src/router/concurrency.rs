//! The concurrency limit of an endpoint, as this router sees it: it grows with responses in good time, and
//! shrinks with rejections and with responses that come late.

#[cfg(test)]
mod tests;

use crate::{TimeDelta, Timestamp};

/// The first limit, for all routers together.
const INITIAL_LIMIT: f64 = 16.0;
/// The lowest first limit of one router.
const MIN_INITIAL_LIMIT: f64 = 1.5;
/// The lowest limit.
const MIN_LIMIT: f64 = 1.0;
/// What is left of the limit, or of the work if that is less, after a sign of overload.
const DECREASE_FACTOR: f64 = 0.7;
/// The fraction of the limit that must be in use for it to grow.
const GROWTH_UTILIZATION: f64 = 0.7;
/// The largest growth, as a fraction of the limit.
const MAX_GROWTH: f64 = 0.5;
/// The shortest pause after a rejection.
const MIN_BACKOFF: TimeDelta = TimeDelta::from_millis(10);
/// The longest pause after a rejected write, unless a usual response takes longer.
const MAX_BACKOFF: TimeDelta = TimeDelta::from_millis(250);
/// The number of rejected writes in a row that the pause depends on at most.
const MAX_REJECTED_WRITES: u32 = 5;

/// The limit, and the pause after rejections.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    limit_lowered_at: Timestamp,
    backoff_until: Timestamp,
    /// Writes that it rejected in a row.
    rejected_writes: u32,
}

impl ConcurrencyLimit {
    /// The first limit for one of `router_count` routers. They may start together, and each sees only its own
    /// work.
    pub(super) fn initial(router_count: u32) -> Self {
        Self {
            limit: (INITIAL_LIMIT / f64::from(router_count)).max(MIN_INITIAL_LIMIT),
            limit_lowered_at: Timestamp::default(),
            backoff_until: Timestamp::default(),
            rejected_writes: 0,
        }
    }

    /// Whether an endpoint that does so much work may be sent more.
    pub(super) fn has_room(&self, now: Timestamp, work: f64) -> bool {
        now >= self.backoff_until && work < self.limit
    }

    /// Whether so much work is within a fraction of the limit.
    pub(super) fn is_within_share(&self, work: f64, share: f64) -> bool {
        work <= self.limit * share
    }

    /// Starts over from the lowest limit.
    pub(super) fn reset(&mut self) {
        self.limit = MIN_LIMIT;
    }

    /// Records a success. If the response came in good time and the limit is nearly in use, the limit grows.
    pub(super) fn record_success(&mut self, now: Timestamp, elapsed: TimeDelta, work: f64, is_slow: bool) {
        if is_slow {
            self.lower(now, elapsed, work);
        } else if work + 1.0 >= self.limit * GROWTH_UTILIZATION {
            self.limit += (1.0 / self.limit).min(self.limit * MAX_GROWTH);
        }
        self.rejected_writes = 0;
    }

    /// Records a sign of overload. The limit is lowered at most once per response time: responses to attempts
    /// that were sent before it was lowered are signs of the same overload.
    pub(super) fn lower(&mut self, now: Timestamp, elapsed: TimeDelta, work: f64) {
        if now - elapsed >= self.limit_lowered_at {
            self.limit = (self.limit.min(work + 1.0) * DECREASE_FACTOR).max(MIN_LIMIT);
            self.limit_lowered_at = now;
        }
    }

    /// Pauses after a rejection: the endpoint is at its capacity, or draining, which discovery reports late.
    /// The pause lasts as long as a usual response takes, and longer with each rejected write in a row, or
    /// all the attempts of a write would be used up within one drain.
    pub(super) fn back_off(&mut self, now: Timestamp, usual_latency: Option<TimeDelta>, is_write: bool) {
        let pause = usual_latency.map_or(MIN_BACKOFF, |latency| latency.max(MIN_BACKOFF));
        let mut factor = 1.0;
        if is_write {
            self.rejected_writes = (self.rejected_writes + 1).min(MAX_REJECTED_WRITES);
            factor = f64::from(1 << (self.rejected_writes - 1));
        }
        self.backoff_until = now + pause.mul_f64(factor).min(MAX_BACKOFF).max(pause);
    }
}
