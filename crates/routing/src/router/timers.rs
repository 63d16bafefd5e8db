//! When the router has something to do without an event: its timer, its sweeps, and polls of the endpoint
//! list.

#[cfg(test)]
mod tests;

use crate::{Discovery, TimeDelta, Timestamp};

/// How often queued requests are dispatched again.
pub(super) const SWEEP_INTERVAL: TimeDelta = TimeDelta::from_millis(10);
/// A timer that fires this late shows that the router itself stalled, rather than the endpoints.
const STALL_THRESHOLD: TimeDelta = TimeDelta::from_millis(60);
/// When a failed poll of the endpoint list is repeated.
const POLL_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(1_000);

/// The router's timer, and what it is for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timers {
    timer_at: Option<Timestamp>,
    swept_at: Timestamp,
    stalled_at: Timestamp,
    next_poll_at: Option<Timestamp>,
}

impl Timers {
    /// No timer is set. If the endpoint list is polled, that is due.
    pub(super) fn new(discovery: Discovery) -> Self {
        Self {
            timer_at: None,
            swept_at: Timestamp::DISTANT_PAST,
            stalled_at: Timestamp::DISTANT_PAST,
            next_poll_at: (discovery == Discovery::Poll).then_some(Timestamp::DISTANT_PAST),
        }
    }

    /// An event happened: the timer may have fired, or may be late.
    pub(super) fn on_event(&mut self, now: Timestamp) {
        if self.timer_at.is_some_and(|at| now - at > STALL_THRESHOLD) {
            self.stalled_at = now;
        }
        self.timer_at = self.timer_at.filter(|at| now < *at);
    }

    /// Whether the router itself stalled until just now, so that what became overdue meanwhile proves
    /// nothing.
    pub(super) fn has_stalled(&self, now: Timestamp) -> bool {
        self.stalled_at == now
    }

    /// Whether a sweep is due; it counts as done then.
    pub(super) fn start_sweep(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.swept_at >= SWEEP_INTERVAL;
        if is_due {
            self.swept_at = now;
        }
        is_due
    }

    /// Whether the endpoint list is to be polled; it counts as done then.
    pub(super) fn start_poll(&mut self, now: Timestamp) -> bool {
        self.next_poll_at.take_if(|at| now >= *at).is_some()
    }

    /// A poll failed.
    pub(super) fn retry_poll(&mut self, now: Timestamp) {
        self.next_poll_at = Some(now + POLL_RETRY_DELAY);
    }

    /// The time to set the timer to, unless it is set to no later time: for the next check of a request, for
    /// a poll of the endpoint list, and if requests are queued for the next sweep.
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
