//! The concurrency limit of an endpoint for the attempts of this router: additive increase with timely
//! responses, multiplicative decrease with rejections and late responses.

#[cfg(test)]
mod tests;

use crate::{TimeDelta, Timestamp};

/// The initial limit of an endpoint for all routers together.
const INITIAL_LIMIT: f64 = 16.0;
/// The lowest initial limit of one router.
const MIN_INITIAL_LIMIT: f64 = 1.5;
/// The lowest limit after decreases and restarts.
const MIN_LIMIT: f64 = 1.0;
/// After a sign of overload, the limit is this fraction of what it was, or of the outstanding attempts if
/// those are fewer.
const DECREASE_FACTOR: f64 = 0.7;
/// The limit grows only if at least this fraction of it is in use.
const GROWTH_UTILIZATION: f64 = 0.7;
/// The largest growth by one response, as a fraction of the limit.
const MAX_GROWTH: f64 = 0.5;
/// The shortest backoff after a rejection.
const MIN_BACKOFF: TimeDelta = TimeDelta::from_millis(10);
/// The longest backoff after a rejected write, unless a usual response takes longer.
const MAX_BACKOFF: TimeDelta = TimeDelta::from_millis(250);
/// The number of consecutive rejected writes after which the backoff is no longer doubled.
const MAX_REJECTED_WRITES: u32 = 5;

/// The concurrency limit of an endpoint, and the backoff after its rejections.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    limit_lowered_at: Timestamp,
    backoff_until: Timestamp,
    /// The number of writes that the endpoint rejected since its last success, up to [`MAX_REJECTED_WRITES`].
    rejected_writes: u32,
}

impl ConcurrencyLimit {
    /// Creates the initial limit for one of `router_count` routers. It is a share of [`INITIAL_LIMIT`], since
    /// the routers may start together and each sees only its own attempts.
    pub(super) fn initial(router_count: u32) -> Self {
        Self {
            limit: (INITIAL_LIMIT / f64::from(router_count)).max(MIN_INITIAL_LIMIT),
            limit_lowered_at: Timestamp::default(),
            backoff_until: Timestamp::default(),
            rejected_writes: 0,
        }
    }

    /// Whether the endpoint may be sent another attempt while it works on `work` attempts of this router.
    pub(super) fn has_room(&self, now: Timestamp, work: f64) -> bool {
        now >= self.backoff_until && work < self.limit
    }

    /// Whether `work` attempts use at most this fraction of the limit.
    pub(super) fn is_within_fraction(&self, work: f64, fraction: f64) -> bool {
        work <= self.limit * fraction
    }

    /// Lowers the limit to [`MIN_LIMIT`], from which it grows again.
    pub(super) fn reset(&mut self) {
        self.limit = MIN_LIMIT;
    }

    /// Records a success. A slow response is a sign of overload; after another one the limit grows if most of
    /// it is in use.
    pub(super) fn record_success(&mut self, now: Timestamp, elapsed: TimeDelta, work: f64, is_slow: bool) {
        if is_slow {
            self.lower(now, elapsed, work);
        } else if work + 1.0 >= self.limit * GROWTH_UTILIZATION {
            self.limit += (1.0 / self.limit).min(self.limit * MAX_GROWTH);
        }
        self.rejected_writes = 0;
    }

    /// Records a sign of overload. The limit is lowered at most once per response time: responses to attempts
    /// that were sent before the limit was lowered are signs of the same overload.
    pub(super) fn lower(&mut self, now: Timestamp, elapsed: TimeDelta, work: f64) {
        if now - elapsed >= self.limit_lowered_at {
            self.limit = (self.limit.min(work + 1.0) * DECREASE_FACTOR).max(MIN_LIMIT);
            self.limit_lowered_at = now;
        }
    }

    /// Sends no attempts for a time after a rejection: the endpoint is at its capacity, or it is draining,
    /// which discovery reports late. The backoff lasts as long as a usual response takes, and doubles with
    /// each consecutive rejected write, or a write would use up all its attempts within one drain.
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
