//! Actions that the router requests from its host.

use crate::{AttemptNumber, EndpointId, RequestId, TimeDelta, Timestamp};

/// An operation that the host must perform. The host carries out actions in the order in which the router
/// appended them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to an endpoint.
    Send {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The endpoint that receives the attempt.
        endpoint: EndpointId,
        /// The maximum time to wait for the response to the attempt.
        timeout: TimeDelta,
    },
    /// Send the final response "rejected": the client may safely retry the request.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// The delay before the client should retry; `None` if the rejection carries no retry-after.
        retry_after: Option<TimeDelta>,
    },
    /// Send the final response "failed": the request may have run.
    Fail {
        /// The failed request.
        request: RequestId,
    },
    /// Cancel an attempt: stop waiting for its response.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt to cancel.
        attempt: AttemptNumber,
    },
    /// Send a health check, which requests the load report of an endpoint.
    HealthCheck {
        /// The endpoint to check.
        endpoint: EndpointId,
    },
    /// Set the router's only timer, replacing the previous one. When the timer fires, the host reports
    /// [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer {
        /// The time at which the timer fires.
        at: Timestamp,
    },
    /// Obtain the endpoint list, by a subscription or a poll.
    Subscribe,
    /// Write a line to the operators' log.
    Log {
        /// The text of the line, without a line break.
        line: String,
    },
}
