//! The router's timer, and the schedules of sweeps and of polls of the endpoint list.

#[cfg(test)]
mod tests;

use crate::{Discovery, TimeDelta, Timestamp};

/// The shortest interval between two sweeps, which dispatch queued requests again.
pub(super) const SWEEP_INTERVAL: TimeDelta = TimeDelta::from_millis(10);
/// A timer that fires later than this shows that the router itself stalled, not the endpoints.
const STALL_THRESHOLD: TimeDelta = TimeDelta::from_millis(60);
/// The delay after which a failed poll of the endpoint list is repeated.
const POLL_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(1_000);

/// The state of the router's timer and schedules.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timers {
    /// When the timer fires, if it is set.
    timer_at: Option<Timestamp>,
    swept_at: Timestamp,
    /// The end of the last stall.
    stalled_at: Timestamp,
    /// `None` if no poll is scheduled.
    next_poll_at: Option<Timestamp>,
}

impl Timers {
    /// Creates the state with no timer set. If discovery polls the endpoint list, the first poll is due.
    pub(super) fn new(discovery: Discovery) -> Self {
        Self {
            timer_at: None,
            swept_at: Timestamp::DISTANT_PAST,
            stalled_at: Timestamp::DISTANT_PAST,
            next_poll_at: (discovery == Discovery::Poll).then_some(Timestamp::DISTANT_PAST),
        }
    }

    /// Updates the timer at an event of any kind: a timer whose time has come is no longer set, and one that
    /// is too late shows a stall of the router.
    pub(super) fn on_event(&mut self, now: Timestamp) {
        if self.timer_at.is_some_and(|at| now - at > STALL_THRESHOLD) {
            self.stalled_at = now;
        }
        self.timer_at = self.timer_at.filter(|at| now < *at);
    }

    /// Whether the router itself stalled until `now`. What became overdue during the stall proves nothing
    /// about endpoints.
    pub(super) fn has_stalled(&self, now: Timestamp) -> bool {
        self.stalled_at == now
    }

    /// Returns whether a sweep is due, and if so records it as started.
    pub(super) fn start_sweep(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.swept_at >= SWEEP_INTERVAL;
        if is_due {
            self.swept_at = now;
        }
        is_due
    }

    /// Returns whether a poll of the endpoint list is due, and if so removes it from the schedule.
    pub(super) fn start_poll(&mut self, now: Timestamp) -> bool {
        self.next_poll_at.take_if(|at| now >= *at).is_some()
    }

    /// Schedules another poll after a failed one.
    pub(super) fn retry_poll(&mut self, now: Timestamp) {
        self.next_poll_at = Some(now + POLL_RETRY_DELAY);
    }

    /// Returns the time to set the timer to, or `None` if it is already set to that time or an earlier one.
    /// The timer covers the next check of a request, the next poll of the endpoint list and, if requests are
    /// queued, the next sweep.
    pub(super) fn reschedule(
        &mut self,
        now: Timestamp,
        next_check_at: Option<Timestamp>,
        has_queued_requests: bool,
    ) -> Option<Timestamp> {
        let sweep_at = has_queued_requests.then_some(now + SWEEP_INTERVAL);
        let next_check_at = next_check_at.map(|at| at.max(now + TimeDelta(1)));
        let at = next_check_at.into_iter().chain(sweep_at).chain(self.next_poll_at).min()?;
        if self.timer_at.is_some_and(|timer_at| at >= timer_at) {
            return None;
        }
        self.timer_at = Some(at);
        Some(at)
    }
}
