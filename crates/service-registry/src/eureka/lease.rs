//! The lease of the pooler's own registration: which request is due, and when. A failed request is retried
//! later, so that an unavailable registry delays nothing else. Performs no I/O and reads no clock.

use super::instance::InstanceStatus;
use pooler_routing::{TimeDelta, Timestamp};

/// The delay before the first retry of a failed request. It doubles with each further failure.
const INITIAL_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(1_000);
/// The maximum delay before a retry.
const MAX_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(30_000);
/// The maximum number of times that the retry delay doubles.
const MAX_RETRY_DOUBLINGS: u32 = 5;

/// A request to the registry about the pooler's own lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Registers the pooler with its full instance data and this status (`POST apps/{app}`).
    Register(InstanceStatus),
    /// Renews the lease with a heartbeat that carries this status (`PUT apps/{app}/{id}`).
    Renew(InstanceStatus),
    /// Deregisters the pooler (`DELETE apps/{app}/{id}`).
    Cancel,
}

/// The outcome of a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The registry accepted the request.
    Accepted,
    /// The registry holds no registration of this pooler.
    NotRegistered,
    /// The request failed, or its outcome is unknown.
    Failed,
}

/// The state of the pooler's registration lease.
#[derive(Clone, Debug)]
pub struct RegistrationLease {
    renewal_interval: TimeDelta,
    /// The status to register; `None` if the registration is to be cancelled.
    desired_status: Option<InstanceStatus>,
    /// The status that the registry accepted last; `None` while it holds no registration.
    registered_status: Option<InstanceStatus>,
    /// Eureka's `lastDirtyTimestamp`: when the pooler last changed its instance data, in ms. Every change
    /// increases the value.
    last_dirty_ms: i64,
    next_request_at: Timestamp,
    consecutive_failures: u32,
}

impl RegistrationLease {
    /// Creates a lease that is renewed at this interval. Its first request is due at `now` and registers the
    /// pooler with [`InstanceStatus::Starting`].
    #[must_use]
    pub fn new(renewal_interval: TimeDelta, now: Timestamp) -> Self {
        Self {
            renewal_interval,
            desired_status: Some(InstanceStatus::Starting),
            registered_status: None,
            last_dirty_ms: now.0 / 1_000,
            next_request_at: now,
            consecutive_failures: 0,
        }
    }

    /// Sets the status to register; `None` cancels the registration. A request for a changed status is due at
    /// once, even during the backoff after a failure.
    pub fn set_status(&mut self, now: Timestamp, status: Option<InstanceStatus>) {
        if self.desired_status != status {
            self.desired_status = status;
            self.advance_last_dirty(now);
            self.next_request_at = now;
            self.consecutive_failures = 0;
        }
    }

    /// The `lastDirtyTimestamp` to send with the next request, in ms.
    #[must_use]
    pub fn last_dirty_ms(&self) -> i64 {
        self.last_dirty_ms
    }

    /// When the next request is due; `None` if there is no status to register and no registration to cancel.
    #[must_use]
    pub fn next_request_at(&self) -> Option<Timestamp> {
        let needs_requests = self.desired_status.is_some() || self.registered_status.is_some();
        needs_requests.then_some(self.next_request_at)
    }

    /// The request that is due at `now`, if any.
    #[must_use]
    pub fn due_request(&self, now: Timestamp) -> Option<LeaseRequest> {
        if self.next_request_at().is_none_or(|due| due > now) {
            return None;
        }
        match (self.desired_status, self.registered_status) {
            (None, Some(_)) => Some(LeaseRequest::Cancel),
            (None, None) => None,
            (Some(desired), registered) if registered == Some(desired) => Some(LeaseRequest::Renew(desired)),
            (Some(desired), _) => Some(LeaseRequest::Register(desired)),
        }
    }

    /// Records the outcome of a request and schedules the next one.
    pub fn record_outcome(&mut self, now: Timestamp, request: LeaseRequest, outcome: LeaseOutcome) {
        match (request, outcome) {
            (LeaseRequest::Register(status) | LeaseRequest::Renew(status), LeaseOutcome::Accepted) => {
                self.registered_status = Some(status);
                self.next_request_at = now + self.renewal_interval;
                self.consecutive_failures = 0;
            }
            (LeaseRequest::Cancel, LeaseOutcome::Accepted | LeaseOutcome::NotRegistered) => {
                self.registered_status = None;
            }
            // The registry lost the registration: register again at once, with a later `lastDirtyTimestamp`.
            (LeaseRequest::Renew(_), LeaseOutcome::NotRegistered) => {
                self.registered_status = None;
                self.advance_last_dirty(now);
                self.next_request_at = now;
            }
            _ => {
                self.next_request_at = now + self.retry_delay();
                self.consecutive_failures += 1;
            }
        }
    }

    fn advance_last_dirty(&mut self, now: Timestamp) {
        self.last_dirty_ms = (now.0 / 1_000).max(self.last_dirty_ms + 1);
    }

    fn retry_delay(&self) -> TimeDelta {
        let doublings = self.consecutive_failures.min(MAX_RETRY_DOUBLINGS);
        INITIAL_RETRY_DELAY.mul_f64(f64::from(1_u32 << doublings)).min(MAX_RETRY_DELAY)
    }
}
