//! The lease of the pooler's own registration: which request is due, and when. An unavailable registry delays nothing:
//! a request that failed is retried later. No I/O, no clock.

use super::instance::InstanceStatus;
use pooler_routing::{TimeDelta, Timestamp};

/// The delay before the first retry of a failed request; it doubles from there.
const INITIAL_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(1_000);
/// The longest delay between two retries.
const MAX_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(30_000);
/// The retry delay doubles no more often than this.
const MAX_RETRY_DOUBLINGS: u32 = 5;

/// A request of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Registers the pooler with all its data and this status (`POST apps/{app}`).
    Register(InstanceStatus),
    /// Renews the lease: the heartbeat (`PUT apps/{app}/{id}`).
    Renew(InstanceStatus),
    /// Takes the registration back (`DELETE apps/{app}/{id}`).
    Cancel,
}

/// The outcome of a request of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseResponse {
    /// The registry accepted it.
    Accepted,
    /// The registry knows no such registration.
    NotRegistered,
    /// It failed, or its outcome is unknown.
    Failed,
}

/// The lease as it stands.
#[derive(Clone, Debug)]
pub struct RegistrationLease {
    renewal_interval: TimeDelta,
    /// `None` once the pooler has ended.
    desired_status: Option<InstanceStatus>,
    /// What the registry accepted last; `None` while it holds no registration.
    registered_status: Option<InstanceStatus>,
    /// When the pooler last changed itself, in ms: Eureka's `lastDirtyTimestamp`. Each change makes it later.
    last_dirty_ms: i64,
    next_request_at: Timestamp,
    consecutive_failures: u32,
}

impl RegistrationLease {
    /// A lease that is renewed at this interval and starts at `now` with [`InstanceStatus::Starting`].
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

    /// Sets the pooler's status; `None` once it has ended. A changed status is due at once, whatever failed before.
    pub fn set_status(&mut self, now: Timestamp, status: Option<InstanceStatus>) {
        if self.desired_status != status {
            self.desired_status = status;
            self.advance_last_dirty(now);
            self.next_request_at = now;
            self.consecutive_failures = 0;
        }
    }

    /// The `lastDirtyTimestamp` that goes with the next request.
    #[must_use]
    pub fn last_dirty_ms(&self) -> i64 {
        self.last_dirty_ms
    }

    /// When the next request is due; `None` once the registry has taken the registration back.
    #[must_use]
    pub fn next_request_at(&self) -> Option<Timestamp> {
        let is_open = self.desired_status.is_some() || self.registered_status.is_some();
        is_open.then_some(self.next_request_at)
    }

    /// The request that is due, if one is.
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

    /// Records the outcome of a request.
    pub fn record_response(&mut self, now: Timestamp, request: LeaseRequest, response: LeaseResponse) {
        match (request, response) {
            (LeaseRequest::Register(status) | LeaseRequest::Renew(status), LeaseResponse::Accepted) => {
                self.registered_status = Some(status);
                self.next_request_at = now + self.renewal_interval;
                self.consecutive_failures = 0;
            }
            (LeaseRequest::Cancel, LeaseResponse::Accepted | LeaseResponse::NotRegistered) => {
                self.registered_status = None;
            }
            // The registry lost the registration: register at once, as a changed instance.
            (LeaseRequest::Renew(_), LeaseResponse::NotRegistered) => {
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
